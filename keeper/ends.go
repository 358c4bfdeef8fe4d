package keeper

import (
	"context"
	"encoding/json"
	"fmt"

	w "github.com/masticlead/masticlead/workload"
)

// TableEnds holds final states that callers have seen although the leader could not
// store them. The instances that keep them write the rows, so that the next leader
// finds them even if none of these instances is left. The rows are in one partition,
// since few exist at any time and a load then needs one scan for them.
const TableEnds = "ends"

// End is a row of TableEnds.
type End struct {
	ID    w.JobID `json:"-"`
	State w.State `json:"s"`
}

func endKey(id w.JobID) Key { return Key{Table: TableEnds, Name: string(id)} }

func decodeEnd(r *Row) (End, error) {
	var e End
	if err := json.Unmarshal(r.Value, &e); err != nil {
		return e, fmt.Errorf("keeper: decode end of %s: %w", r.Name, err)
	}
	e.ID = w.JobID(r.Name)
	if !e.State.Final() {
		return e, fmt.Errorf("keeper: end of %s is the state %v, which is not final", r.Name, e.State)
	}
	return e, nil
}

// SaveEnds writes ends of jobs. A row that exists is overwritten, since the end of a
// job does not change.
func (k *Keeper) SaveEnds(ctx context.Context, ends []End) error {
	for len(ends) > 0 {
		n := min(len(ends), maxTxRows)
		var tx Tx
		for _, e := range ends[:n] {
			value, err := json.Marshal(e)
			if err != nil {
				return fmt.Errorf("keeper: encode end of %s: %w", e.ID, err)
			}
			tx.Writes = append(tx.Writes, Row{Key: endKey(e.ID), Value: value})
		}
		if _, err := k.Store.Commit(ctx, &tx); err != nil {
			return fmt.Errorf("keeper: save %d ends: %w", n, err)
		}
		ends = ends[n:]
	}
	return nil
}

// Ends reads the ends that instances have written and the leader has not removed.
func (k *Keeper) Ends(ctx context.Context) (map[w.JobID]w.State, error) {
	rows, _, err := k.Store.Scan(ctx, TableEnds, "", "", "")
	if err != nil {
		return nil, fmt.Errorf("keeper: read ends: %w", err)
	}
	ends := make(map[w.JobID]w.State, len(rows))
	for i := range rows {
		// A row that cannot be decoded counts as missing and is written again.
		if e, err := decodeEnd(&rows[i]); err == nil {
			ends[e.ID] = e.State
		}
	}
	return ends, nil
}
