package keeper

import (
	"encoding/json"
	"fmt"
	"math/bits"
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

const (
	// tableRosterChunks holds the part of the roster that does not fit into its row.
	tableRosterChunks = "rosterChunks"
	// rosterChunkBytes is the size of the chunks of a roster that is spread over several.
	rosterChunkBytes = 16 << 10
)

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
func (l *Leadership) rosterItem(r *Roster) (saveItem, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return saveItem{}, fmt.Errorf("keeper: encode roster: %w", err)
	}
	chunks := 1
	if len(value) > maxWholeBytes {
		chunks = 1 << bits.Len(uint(len(value)/rosterChunkBytes))
	}
	var item saveItem
	next := make(chunkHashes, chunks)
	for n, part := range r.split(chunks) {
		if chunks > 1 {
			if value, err = json.Marshal(part); err != nil {
				return saveItem{}, fmt.Errorf("keeper: encode roster: %w", err)
			}
		}
		next[n] = xxhash.Sum64(value)
		if l.rosterChunks[n] != next[n] {
			item.writes = append(item.writes, Row{Key: rosterChunkKey(n), Value: value})
		}
	}
	for n := range l.rosterChunks {
		if n >= chunks {
			item.deletes = append(item.deletes, rosterChunkKey(n))
		}
	}
	item.stored = func() { l.rosterChunks = next }
	return item, nil
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
