package keeper

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	w "github.com/masticlead/masticlead/workload"
)

const (
	// tableProgressChunks holds the progress of jobs that does not fit into the rows of
	// TableProgress.
	tableProgressChunks = "progressChunks"
	// tableCheckpoints holds the checkpoints of these jobs, so that neither their number
	// nor their size keeps the rest of the progress from being stored.
	tableCheckpoints = "checkpoints"
	// chunkTasks is the largest number of tasks of a job in a chunk.
	chunkTasks = 256
	// checkpointSaveInterval is the least time between two saves of a chunk in which only
	// checkpoints of running tasks have changed. Their targets list them as well.
	checkpointSaveInterval = 2 * time.Second
	// defaultMaxRowBytes is used if Keeper.MaxRowBytes is not known.
	defaultMaxRowBytes = 64 << 10
)

// chunkBytes returns the size above which a value is spread over several rows. It leaves
// room for the base64 form of a value, in case the store limits that.
func (k *Keeper) chunkBytes() int {
	if k.MaxRowBytes > 0 {
		return k.MaxRowBytes / 2
	}
	return defaultMaxRowBytes / 2
}

// jobChunks describes the rows of a job's progress that are in the store, besides its row
// in TableProgress.
type jobChunks struct {
	progress    chunkHashes
	checkpoints map[chunkNumber]checkpointChunk
}

func newJobChunks() *jobChunks {
	return &jobChunks{progress: make(chunkHashes), checkpoints: make(map[chunkNumber]checkpointChunk)}
}

// chunkHashes holds the hashes of the chunks that are in the store, by number. A hash is 0
// if the content of the chunk is not known.
type chunkHashes map[chunkNumber]uint64

// checkpointChunk describes a chunk of checkpoints in the store. Its zero value stands for
// one whose content is not known.
type checkpointChunk struct {
	hash    uint64
	waiting uint64 // hash of the checkpoints of tasks that don't run, or 0 if there are none
	savedAt time.Time
}

// chunkNumber names the tasks of a chunk: the block of chunkTasks tasks in its low half
// and, if the block is split in halves once or more, the node of that binary tree in its
// high half, where the children of node i are 2i and 2i+1 and the root is 0 instead of 1.
type chunkNumber int64

const chunkNodeShift = 32

func newChunkNumber(block, node int) chunkNumber {
	if node == 1 {
		node = 0
	}
	return chunkNumber(node)<<chunkNodeShift | chunkNumber(block)
}

func chunkKey(table string, id w.JobID, n chunkNumber) Key {
	return Key{Table: table, Name: string(id) + "/" + strconv.FormatInt(int64(n), 10)}
}

// parseChunkKey returns the job and the number of a chunk. Chunk 0 of progress is the job's
// row in TableProgress.
func parseChunkKey(key Key) (w.JobID, chunkNumber, error) {
	i := strings.LastIndexByte(key.Name, '/')
	if i < 0 {
		return "", 0, fmt.Errorf("keeper: name of a chunk without a number: %.80q", key.Name)
	}
	id := w.JobID(key.Name[:i])
	n, err := strconv.ParseInt(key.Name[i+1:], 10, 64)
	if err != nil || n < 0 || (n == 0 && key.Table == tableProgressChunks) {
		return id, 0, fmt.Errorf("keeper: number of a chunk: %.80q", key.Name)
	}
	return id, chunkNumber(n), nil
}

// progressItems returns what has to be written so that the progress of a job is stored.
// Progress that is too large for a row is spread over chunks by its encoded size, and its
// checkpoints over chunks of their own. Unchanged chunks are left out. The job's row comes
// after the chunks: until it is written, the former one still has what was moved. Chunks
// that are no longer used are deleted last. While both exist, a load merges them. If the
// store refuses a chunk, the former rows stay as they are.
func (k *Keeper) progressItems(l *Leadership, p *Progress) ([]saveItem, error) {
	limit := k.chunkBytes()
	stored := l.chunks[p.ID]
	if stored == nil {
		whole, err := encodeProgress(p)
		if err != nil {
			return nil, err
		}
		if len(whole) <= limit {
			return []saveItem{{writes: []Row{{Key: progressKey(p.ID), Value: whole}}}}, nil
		}
		stored = newJobChunks()
		if l.chunks == nil {
			l.chunks = make(map[w.JobID]*jobChunks)
		}
		l.chunks[p.ID] = stored
	}
	facts, checkpoints := p.separateCheckpoints()
	factChunks, err := facts.encodeChunks(limit)
	if err != nil {
		return nil, err
	}
	checkpointChunks, err := checkpoints.encodeChunks(limit)
	if err != nil {
		return nil, err
	}
	items := stored.checkpointItems(p.ID, checkpointChunks)
	group := new(itemGroup)
	items = append(items, stored.progressItems(p.ID, factChunks, group)...)
	first := factChunks[0].value
	if first == nil {
		if first, err = encodeProgress(&Progress{ID: p.ID, State: p.State, Started: p.Started}); err != nil {
			return nil, err
		}
	}
	items = append(items, saveItem{writes: []Row{{Key: progressKey(p.ID), Value: first}}, group: group, dependent: true})
	unused := stored.unused(p.ID, factChunks, checkpointChunks)
	for keys := range slices.Chunk(unused, maxTxRows) {
		items = append(items, saveItem{deletes: keys, stored: func() { l.forgetChunks(p.ID, keys) }, group: group, dependent: true})
	}
	return items, nil
}

func encodeProgress(p *Progress) ([]byte, error) {
	value, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("keeper: encode progress of %s: %w", p.ID, err)
	}
	return value, nil
}

// checkpointItems returns the chunks of checkpoints that have to be written.
func (c *jobChunks) checkpointItems(id w.JobID, chunks map[chunkNumber]chunk) []saveItem {
	var items []saveItem
	now := time.Now()
	for _, n := range slices.Sorted(maps.Keys(chunks)) {
		next := checkpointChunk{hash: xxhash.Sum64(chunks[n].value), waiting: chunks[n].waiting, savedAt: now}
		old := c.checkpoints[n]
		if old.hash == next.hash || (old.waiting == next.waiting && now.Sub(old.savedAt) < checkpointSaveInterval) {
			continue
		}
		items = append(items, saveItem{
			writes: []Row{{Key: chunkKey(tableCheckpoints, id, n), Value: chunks[n].value}},
			stored: func() { c.checkpoints[n] = next },
		})
	}
	return items
}

// progressItems returns the chunks of progress that have to be written, but for chunk 0,
// which is the job's row in TableProgress.
func (c *jobChunks) progressItems(id w.JobID, chunks map[chunkNumber]chunk, group *itemGroup) []saveItem {
	var items []saveItem
	for _, n := range slices.Sorted(maps.Keys(chunks)) {
		hash := xxhash.Sum64(chunks[n].value)
		if n == 0 || c.progress[n] == hash {
			continue
		}
		items = append(items, saveItem{
			writes: []Row{{Key: chunkKey(tableProgressChunks, id, n), Value: chunks[n].value}},
			stored: func() { c.progress[n] = hash },
			group:  group,
		})
	}
	return items
}

// unused returns the keys of the stored chunks that are not among the given ones.
func (c *jobChunks) unused(id w.JobID, progress, checkpoints map[chunkNumber]chunk) []Key {
	var keys []Key
	for n := range c.progress {
		if _, used := progress[n]; !used {
			keys = append(keys, chunkKey(tableProgressChunks, id, n))
		}
	}
	for n := range c.checkpoints {
		if _, used := checkpoints[n]; !used {
			keys = append(keys, chunkKey(tableCheckpoints, id, n))
		}
	}
	return keys
}

// keys returns the keys of all stored chunks of a job.
func (c *jobChunks) keys(id w.JobID) []Key { return c.unused(id, nil, nil) }

// forgetChunks records that chunks of a job were deleted.
func (l *Leadership) forgetChunks(id w.JobID, deleted []Key) {
	c := l.chunks[id]
	for _, key := range deleted {
		_, n, err := parseChunkKey(key)
		switch {
		case err != nil || c == nil:
		case key.Table == tableCheckpoints:
			delete(c.checkpoints, n)
		default:
			delete(c.progress, n)
		}
	}
	if c != nil && len(c.progress)+len(c.checkpoints) == 0 {
		delete(l.chunks, id)
	}
}

// separateCheckpoints returns the progress without its checkpoints, and these.
func (p *Progress) separateCheckpoints() (facts, checkpoints *Progress) {
	facts, checkpoints = &Progress{ID: p.ID, State: p.State, Started: p.Started}, &Progress{ID: p.ID}
	for _, s := range p.Steps {
		if len(s.Checkpoints) > 0 {
			checkpoints.Steps = append(checkpoints.Steps, StepProgress{
				Occurrence: s.Occurrence, Index: s.Index, Checkpoints: s.Checkpoints, Waiting: s.Waiting, First: s.First, Count: s.Count,
			})
		}
		s.Checkpoints = nil
		facts.Steps = append(facts.Steps, s)
	}
	return facts, checkpoints
}

// chunk is an encoded part of a job's progress.
type chunk struct {
	value   []byte
	waiting uint64 // see checkpointChunk
}

// encodeChunks encodes progress in chunks of at most limit bytes each, unless a task alone
// takes more. Chunk 0 has the state of the job.
func (p *Progress) encodeChunks(limit int) (map[chunkNumber]chunk, error) {
	blocks := make(map[int][]StepProgress)
	for i := range p.Steps {
		s := &p.Steps[i]
		for block := s.First / chunkTasks; block*chunkTasks < s.First+s.count(); block++ {
			if part := s.slice(block*chunkTasks, (block+1)*chunkTasks); part != nil {
				blocks[block] = append(blocks[block], *part)
			}
		}
	}
	chunks := make(map[chunkNumber]chunk)
	for block, steps := range blocks {
		if err := p.encodeBlock(chunks, limit, block, 1, chunkTasks, steps); err != nil {
			return nil, err
		}
	}
	return chunks, nil
}

// encodeBlock encodes the steps of a node of a block, which has a number of tasks. If they
// exceed the limit, the node is split in halves.
func (p *Progress) encodeBlock(chunks map[chunkNumber]chunk, limit, block, node, tasks int, steps []StepProgress) error {
	part := Progress{ID: p.ID, Steps: steps}
	n := newChunkNumber(block, node)
	if n == 0 {
		part.State, part.Started = p.State, p.Started
	}
	value, err := encodeProgress(&part)
	if err != nil {
		return err
	}
	if len(value) <= limit || tasks == 1 {
		chunks[n] = chunk{value: value, waiting: waitingHash(steps)}
		return nil
	}
	tasks /= 2
	depth := bits.Len(uint(node))
	for _, child := range [...]int{2 * node, 2*node + 1} {
		from := block*chunkTasks + (child-1<<depth)*tasks
		var half []StepProgress
		for i := range steps {
			if s := steps[i].slice(from, from+tasks); s != nil {
				half = append(half, *s)
			}
		}
		if half == nil {
			continue
		}
		if err := p.encodeBlock(chunks, limit, block, child, tasks, half); err != nil {
			return err
		}
	}
	return nil
}

// waitingHash returns a hash of the checkpoints of tasks that don't run, or 0 if there are
// none.
func waitingHash(steps []StepProgress) uint64 {
	d := xxhash.New()
	found := false
	for i := range steps {
		s := &steps[i]
		for _, task := range slices.Sorted(maps.Keys(s.Checkpoints)) {
			if s.Waiting[task] {
				found = true
				_, _ = fmt.Fprintf(d, "%d %d %d %d ", s.Occurrence, s.Index, task, len(s.Checkpoints[task]))
				_, _ = d.WriteString(s.Checkpoints[task])
			}
		}
	}
	if !found {
		return 0
	}
	return d.Sum64()
}

func (s *StepProgress) count() int { return max(1, s.Count) }

// slice returns the part of a step's progress for the tasks with numbers in [from, to)
// among all tasks of the job, or nil if there is none.
func (s *StepProgress) slice(from, to int) *StepProgress {
	from, to = max(0, from-s.First), min(s.count(), to-s.First)
	part := &StepProgress{
		Occurrence: s.Occurrence, Index: s.Index, First: s.First, Count: s.Count, Waiting: s.Waiting,
		FailedRuns: sliceTasks(s.FailedRuns, from, to), Checkpoints: sliceTasks(s.Checkpoints, from, to),
		CrashedRuns: sliceTasks(s.CrashedRuns, from, to), UnclearRuns: sliceTasks(s.UnclearRuns, from, to),
	}
	for task := from; task < to; task++ {
		if s.Done(task) {
			part.setDone(task)
		}
	}
	if part.DoneBits == nil && part.FailedRuns == nil && part.Checkpoints == nil && part.CrashedRuns == nil && part.UnclearRuns == nil {
		return nil
	}
	return part
}

// sliceTasks returns the entries of the tasks in [from, to), or nil if there are none.
func sliceTasks[V any](entries map[int]V, from, to int) map[int]V {
	if len(entries) == 0 {
		return nil
	}
	var part map[int]V
	for task := from; task < to; task++ {
		v, ok := entries[task]
		if !ok {
			continue
		}
		if part == nil {
			part = make(map[int]V)
		}
		part[task] = v
	}
	return part
}

// merge adds the progress in another chunk of the same job.
func (p *Progress) merge(chunk *Progress) {
	known := make(map[StepKey]int, len(p.Steps))
	for i := range p.Steps {
		known[p.Steps[i].Key()] = i
	}
	for i := range chunk.Steps {
		part := &chunk.Steps[i]
		if at, ok := known[part.Key()]; ok {
			p.Steps[at].merge(part)
		} else {
			p.Steps = append(p.Steps, *part)
		}
	}
}

// merge adds the progress in another chunk, which may have an earlier or later state of the
// same tasks.
func (s *StepProgress) merge(part *StepProgress) {
	for len(s.DoneBits) < len(part.DoneBits) {
		s.DoneBits = append(s.DoneBits, 0)
	}
	for i, bits := range part.DoneBits {
		s.DoneBits[i] |= bits
	}
	mergeTasks(&s.FailedRuns, part.FailedRuns, unite)
	mergeTasks(&s.Checkpoints, part.Checkpoints, func(_, later string) string { return later })
	mergeTasks(&s.CrashedRuns, part.CrashedRuns, unite)
	mergeTasks(&s.UnclearRuns, part.UnclearRuns, unite)
}

func mergeTasks[V any](entries *map[int]V, part map[int]V, merge func(a, b V) V) {
	if *entries == nil {
		*entries = part
		return
	}
	for task, v := range part {
		if old, ok := (*entries)[task]; ok {
			v = merge(old, v)
		}
		(*entries)[task] = v
	}
}

// unite returns the runs in either list, in the order of their starts.
func unite(a, b []w.RunID) []w.RunID {
	runs := slices.Concat(a, b)
	slices.Sort(runs)
	return slices.Compact(runs)
}
