package keeper

import (
	"encoding/json"
	"fmt"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	w "github.com/masticlead/masticlead/workload"
)

// Roster lists the targets that may run tasks.
type Roster struct {
	// Open lists the targets on which tasks may be started at any time.
	Open []w.TargetID `json:"open"`
	// Closed lists the targets on which no more tasks are started, with the names
	// of the steps whose tasks may still be running there.
	Closed map[w.TargetID][]string `json:"closed,omitempty"`
}

// tableRosterChunks holds the part of the roster that does not fit into its row.
const tableRosterChunks = "rosterChunks"

// rosterHashes holds the hashes of the chunks of the roster that are in the store, by
// number. A hash is 0 if the content of the chunk is not known.
type rosterHashes map[int]uint64

// rosterChunkKey returns the key of a chunk of the roster. The first one is the row of
// which earlier versions know.
func rosterChunkKey(n int) Key {
	if n == 0 {
		return Key{Table: TableControl, Name: rosterName}
	}
	return Key{Table: tableRosterChunks, Name: strconv.Itoa(n)}
}

// rosterItem returns what has to be written so that a roster is stored. A roster that is
// too large for a row is spread over chunks by the hash of the targets, so that most
// changes write one of them.
func (k *Keeper) rosterItem(l *Leadership, r *Roster) (saveItem, error) {
	values, err := r.encode(k.chunkBytes())
	if err != nil {
		return saveItem{}, err
	}
	var item saveItem
	next := make(rosterHashes, len(values))
	for n, value := range values {
		next[n] = xxhash.Sum64(value)
		if l.rosterChunks[n] != next[n] {
			item.writes = append(item.writes, Row{Key: rosterChunkKey(n), Value: value})
		}
	}
	for n := range l.rosterChunks {
		if n >= len(values) {
			item.deletes = append(item.deletes, rosterChunkKey(n))
		}
	}
	item.stored = func() { l.rosterChunks = next }
	return item, nil
}

// encode encodes the roster in chunks of at most limit bytes. Closed targets whose steps
// take more than half of that become open, which is safe.
func (r *Roster) encode(limit int) ([][]byte, error) {
	whole := r.openWide(limit / 2)
	value, err := json.Marshal(whole)
	if err != nil {
		return nil, fmt.Errorf("keeper: encode roster: %w", err)
	}
	if len(value) <= limit {
		return [][]byte{value}, nil
	}
	for parts := 1 << bits.Len(uint(2*len(value)/limit)); ; parts *= 2 {
		values := make([][]byte, 0, parts)
		for _, part := range whole.split(parts) {
			if value, err = json.Marshal(part); err != nil {
				return nil, fmt.Errorf("keeper: encode roster: %w", err)
			}
			if len(value) > limit && parts < len(r.Open)+len(r.Closed) {
				break
			}
			values = append(values, value)
		}
		if len(values) == parts {
			return values, nil
		}
	}
}

// openWide returns a roster in which closed targets with more than limit bytes of step
// names are open.
func (r *Roster) openWide(limit int) *Roster {
	out := &Roster{Open: slices.Clip(r.Open)}
	for id, steps := range r.Closed {
		size := 0
		for _, name := range steps {
			size += len(name) + len(`"",`)
		}
		if size > limit {
			out.Open = append(out.Open, id)
			continue
		}
		if out.Closed == nil {
			out.Closed = make(map[w.TargetID][]string)
		}
		out.Closed[id] = steps
	}
	return out
}

// split spreads a roster over a number of parts.
func (r *Roster) split(parts int) []Roster {
	if parts == 1 {
		return []Roster{*r}
	}
	out := make([]Roster, parts)
	part := func(id w.TargetID) *Roster { return &out[xxhash.Sum64String(string(id))%uint64(parts)] }
	for _, id := range r.Open {
		p := part(id)
		p.Open = append(p.Open, id)
	}
	for id, steps := range r.Closed {
		p := part(id)
		if p.Closed == nil {
			p.Closed = make(map[w.TargetID][]string)
		}
		p.Closed[id] = steps
	}
	return out
}

// merge adds the targets of another chunk.
func (r *Roster) merge(chunk *Roster) {
	r.Open = append(r.Open, chunk.Open...)
	for id, steps := range chunk.Closed {
		if r.Closed == nil {
			r.Closed = make(map[w.TargetID][]string)
		}
		r.Closed[id] = steps
	}
}

// UnknownTarget stands in a roster for all targets of a row that can't be decoded. No
// target has this identifier, so whatever the targets may run counts as running until
// their leases have ended.
const UnknownTarget w.TargetID = ""

// decodeRoster decodes a row of the roster. Earlier versions stored only a list of
// targets, which are open.
func decodeRoster(row *Row) (Roster, error) {
	var r Roster
	if row == nil {
		return r, nil
	}
	if err := json.Unmarshal(row.Value, &r.Open); err == nil {
		return r, nil
	}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Roster{Open: []w.TargetID{UnknownTarget}}, fmt.Errorf("keeper: decode roster: %w", err)
	}
	return r, nil
}

// addRosterChunk adds a chunk of the roster.
func (s *Snapshot) addRosterChunk(row *Row) error {
	n, err := strconv.Atoi(row.Name)
	if err != nil || n <= 0 {
		return fmt.Errorf("keeper: number of a roster chunk: %.80q", row.Name)
	}
	s.rosterChunks[n] = 0
	chunk, err := decodeRoster(row)
	s.Roster.merge(&chunk)
	return err
}
