package keeper

import (
	"context"
	"errors"
	"fmt"
	"slices"

	w "github.com/masticlead/masticlead/workload"
)

// endedJob is the value of a job's row without its content.
var endedJob = []byte(`{"z":true}`)

// DropContent removes the content of completed jobs without a tenant from their rows. The
// rows remain, since the IDs stay in use. Each load of the cell reads all rows, most of
// which are of jobs that have ended. The final states of the jobs must be stored.
//
// It needs no guard against a replaced leader: the end of a job does not change, and its row
// is removed minutes after it.
func (k *Keeper) DropContent(ctx context.Context, ids []w.JobID) error {
	var errs []error
	for chunk := range slices.Chunk(ids, maxTxRows) {
		tx := new(Tx)
		for _, id := range chunk {
			tx.Writes = append(tx.Writes, Row{Key: k.JobKey(id), Value: endedJob})
		}
		if _, err := k.Store.Commit(ctx, tx); err != nil {
			errs = append(errs, fmt.Errorf("keeper: drop the content of %d jobs: %w", len(chunk), err))
		}
	}
	return errors.Join(errs...)
}
