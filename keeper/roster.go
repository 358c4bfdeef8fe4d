package keeper

import (
	"encoding/json"
	"fmt"

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

// rosterItem returns what has to be written so that a roster is stored.
func (l *Leadership) rosterItem(r *Roster) (saveItem, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return saveItem{}, fmt.Errorf("keeper: encode roster: %w", err)
	}
	return saveItem{writes: []Row{{Key: Key{Table: TableControl, Name: rosterName}, Value: value}}}, nil
}

// UnknownTarget stands in a roster for all targets of a row that can't be decoded. No
// target has this identifier, so whatever the targets may run counts as running until
// their leases have ended.
const UnknownTarget w.TargetID = ""

// decodeRoster decodes the roster row. Earlier versions stored only a list of
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
		return r, fmt.Errorf("keeper: decode roster: %w", err)
	}
	return r, nil
}
