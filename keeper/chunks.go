package keeper

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	w "github.com/masticlead/masticlead/workload"
)

const (
	// tableProgressChunks holds the progress of jobs that does not fit into the rows of
	// TableProgress.
	tableProgressChunks = "progressChunks"
	// maxWholeBytes is the size above which progress or a roster is spread over chunks.
	maxWholeBytes = 32 << 10
	// chunkTasks is the number of tasks of a job in a chunk of its progress. The record of
	// a task takes some 100 bytes at most.
	chunkTasks = 256
)

// chunkHashes holds the hashes of the chunks that are in the store, by number. A hash is 0
// if the content of the chunk is not known.
type chunkHashes map[int]uint64

func progressChunkKey(id w.JobID, chunk int) Key {
	return Key{Table: tableProgressChunks, Name: string(id) + "/" + strconv.Itoa(chunk)}
}

// parseProgressChunk returns the job and the number in the name of a chunk.
func parseProgressChunk(name string) (w.JobID, int, error) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return "", 0, fmt.Errorf("keeper: name of a progress chunk without a number: %.80q", name)
	}
	n, err := strconv.Atoi(name[i+1:])
	if err != nil || n <= 0 {
		return w.JobID(name[:i]), 0, fmt.Errorf("keeper: number of a progress chunk: %.80q", name)
	}
	return w.JobID(name[:i]), n, nil
}

// progressItems returns what has to be written so that the progress of a job is stored.
// Progress that is too large for a row is spread over chunks of chunkTasks tasks, of which
// the first one is in the job's row of TableProgress. Unchanged chunks are left out. The
// job's row comes last: until it is written, the former one still has what was moved.
func (l *Leadership) progressItems(p *Progress) ([]saveItem, error) {
	stored := l.chunks[p.ID]
	if len(stored) == 0 {
		whole, err := json.Marshal(p)
		if err != nil {
			return nil, fmt.Errorf("keeper: encode progress of %s: %w", p.ID, err)
		}
		if len(whole) <= maxWholeBytes {
			return []saveItem{{writes: []Row{{Key: progressKey(p.ID), Value: whole}}}}, nil
		}
	}
	parts := p.split()
	var items []saveItem
	var last saveItem
	for n, part := range parts {
		value, err := json.Marshal(part)
		if err != nil {
			return nil, fmt.Errorf("keeper: encode progress of %s: %w", p.ID, err)
		}
		if n == 0 {
			last.writes = []Row{{Key: progressKey(p.ID), Value: value}}
			continue
		}
		if hash := xxhash.Sum64(value); stored[n] != hash {
			items = append(items, saveItem{
				writes: []Row{{Key: progressChunkKey(p.ID, n), Value: value}},
				stored: func() { l.setChunk(p.ID, n, hash) },
			})
		}
	}
	var removed []int
	for n := range stored {
		if parts[n] == nil {
			removed = append(removed, n)
			last.deletes = append(last.deletes, progressChunkKey(p.ID, n))
		}
	}
	last.stored = func() { l.forgetChunks(p.ID, removed) }
	return append(items, last), nil
}

func (l *Leadership) setChunk(id w.JobID, n int, hash uint64) {
	if l.chunks == nil {
		l.chunks = make(map[w.JobID]chunkHashes)
	}
	if l.chunks[id] == nil {
		l.chunks[id] = make(chunkHashes)
	}
	l.chunks[id][n] = hash
}

func (l *Leadership) forgetChunks(id w.JobID, removed []int) {
	for _, n := range removed {
		delete(l.chunks[id], n)
	}
	if len(l.chunks[id]) == 0 {
		delete(l.chunks, id)
	}
}

// split spreads progress over chunks. The first chunk always exists.
func (p *Progress) split() map[int]*Progress {
	parts := map[int]*Progress{0: {ID: p.ID, State: p.State, Started: p.Started}}
	for i := range p.Steps {
		s := &p.Steps[i]
		for from := 0; from < max(1, s.Count); {
			n := (s.First + from) / chunkTasks
			to := min(max(1, s.Count), (n+1)*chunkTasks-s.First)
			if part := s.slice(from, to); part != nil {
				if parts[n] == nil {
					parts[n] = &Progress{ID: p.ID}
				}
				parts[n].Steps = append(parts[n].Steps, *part)
			}
			from = to
		}
	}
	return parts
}

// slice returns the part of a step's progress for the tasks in [from, to), or nil if there
// is none.
func (s *StepProgress) slice(from, to int) *StepProgress {
	if from == 0 && to >= s.Count {
		return s
	}
	part := &StepProgress{
		Occurrence: s.Occurrence, Index: s.Index, FailedRuns: sliceTasks(s.FailedRuns, from, to), Checkpoints: sliceTasks(s.Checkpoints, from, to),
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
	var part map[int]V
	for task, v := range entries {
		if task < from || task >= to {
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

func (s *StepProgress) merge(part *StepProgress) {
	for len(s.DoneBits) < len(part.DoneBits) {
		s.DoneBits = append(s.DoneBits, 0)
	}
	for i, bits := range part.DoneBits {
		s.DoneBits[i] |= bits
	}
	mergeTasks(&s.FailedRuns, part.FailedRuns)
	mergeTasks(&s.Checkpoints, part.Checkpoints)
	mergeTasks(&s.CrashedRuns, part.CrashedRuns)
	mergeTasks(&s.UnclearRuns, part.UnclearRuns)
}

func mergeTasks[V any](entries *map[int]V, part map[int]V) {
	if *entries == nil {
		*entries = part
		return
	}
	for task, v := range part {
		(*entries)[task] = v
	}
}
