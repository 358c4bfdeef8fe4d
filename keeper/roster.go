package keeper

import (
	"encoding/json"
	"fmt"

	w "github.com/masticlead/masticlead/workload"
)

// Roster lists the targets that may run something.
type Roster struct {
	// Open lists the targets that may get starts at any time.
	Open []w.TargetID `json:"open"`
	// Closed lists the targets that get no more starts, with the names of the
	// steps whose tasks they may still run.
	Closed map[w.TargetID][]string `json:"closed,omitempty"`
}

// decodeRoster reads the row, which held only a list of targets at first.
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
