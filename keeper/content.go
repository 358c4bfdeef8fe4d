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
// It returns the jobs whose content may remain. A row that is written late, after the job
// was removed, counts for nothing, as it has no final state.
func (k *Keeper) DropContent(ctx context.Context, ids []w.JobID) ([]w.JobID, error) {
	return k.byPartition(ids, maxTxRows, func(partition string, ids []w.JobID) error {
		tx := new(Tx)
		for _, id := range ids {
			tx.Writes = append(tx.Writes, Row{Key: Key{TableJobs, partition, string(id)}, Value: endedJob})
		}
		if _, err := k.Store.Commit(ctx, tx); err != nil {
			return fmt.Errorf("keeper: drop the content of %d jobs: %w", len(ids), err)
		}
		return nil
	})
}

// byPartition calls write for the jobs of each partition, at most n at a time, so that a
// silent partition holds up no other. It returns the jobs for which write failed.
func (k *Keeper) byPartition(ids []w.JobID, n int, write func(partition string, ids []w.JobID) error) ([]w.JobID, error) {
	groups := make(map[string][]w.JobID)
	for _, id := range ids {
		p := k.Partitions.Of(id)
		groups[p] = append(groups[p], id)
	}
	var failed []w.JobID
	var errs []error
	for partition, group := range groups {
		for chunk := range slices.Chunk(group, n) {
			if err := write(partition, chunk); err != nil {
				failed, errs = append(failed, chunk...), append(errs, err)
			}
		}
	}
	return failed, errors.Join(errs...)
}

// isRemoved reports whether the row of a job is one that DropContent wrote after the job's
// removal.
func (k *Keeper) isRemoved(ctx context.Context, j *w.Job) (bool, error) {
	if !j.Ended {
		return false, nil
	}
	row, err := k.get(ctx, progressKey(j.ID))
	if err != nil || row == nil {
		return err == nil, err
	}
	p, err := decodeProgress(row)
	return err == nil && !p.State.Final(), err
}
