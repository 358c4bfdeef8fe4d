package keeper

import (
	"context"
	"fmt"
	"slices"

	w "github.com/masticlead/masticlead/workload"
)

// Removal names a job whose rows are no longer needed.
type Removal struct {
	ID     w.JobID
	chunks []Key // rows with a part of its progress
}

// Removals returns the removals of jobs. It must not be called during a save.
func (l *Leadership) Removals(ids []w.JobID) []Removal {
	list := make([]Removal, len(ids))
	for i, id := range ids {
		list[i].ID = id
		if c := l.chunks[id]; c != nil {
			list[i].chunks = c.keys(id)
		}
		delete(l.chunks, id)
	}
	return list
}

// RemoveJobs removes the rows of jobs that ended at least the retention time ago, apart
// from the saves of a leader, which must not wait for a silent partition. It returns those
// of which rows may remain.
//
// The row of a job is removed before its progress, without which the job would count as
// new. It needs no guard against a replaced leader, since the end of a job does not change.
func (k *Keeper) RemoveJobs(ctx context.Context, jobs []Removal) ([]Removal, error) {
	ids := make([]w.JobID, len(jobs))
	for i := range jobs {
		ids[i] = jobs[i].ID
	}
	failed, err := k.byPartition(ids, maxTxRows/2, func(partition string, ids []w.JobID) error {
		tx := new(Tx)
		for _, id := range ids {
			tx.Deletes = append(tx.Deletes, Key{TableJobs, partition, string(id)}, Key{TableCancellations, partition, string(id)})
		}
		if _, err := k.Store.Commit(ctx, tx); err != nil {
			return fmt.Errorf("keeper: remove %d jobs: %w", len(ids), err)
		}
		return nil
	})
	var rest []Removal
	var progress []Key
	for _, j := range jobs {
		if slices.Contains(failed, j.ID) {
			rest = append(rest, j)
			continue
		}
		progress = append(append(progress, progressKey(j.ID)), j.chunks...)
	}
	for keys := range slices.Chunk(progress, maxTxRows) {
		if _, err := k.Store.Commit(ctx, &Tx{Deletes: keys}); err != nil {
			return jobs, fmt.Errorf("keeper: remove the progress of jobs: %w", err)
		}
	}
	return rest, err
}
