package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	w "github.com/masticlead/masticlead/workload"
)

// EarlyCancel is the cancellation of a job that was not stored when its client cancelled
// it. A write of the job may still be on its way. It applies to jobs of the same tenant,
// so that nobody can cancel a job of others before it arrives.
type EarlyCancel struct {
	ID     w.JobID      `json:"-"`
	Tenant w.TenantName `json:"u"`
}

func (k *Keeper) cancelKey(id w.JobID) Key {
	return Key{Table: TableCancellations, Partition: k.Partitions.Of(id), Name: string(id)}
}

// Cancel stores the cancellation of a job.
func (k *Keeper) Cancel(ctx context.Context, id w.JobID) error {
	return k.saveCancel(ctx, id, []byte("1"))
}

// CancelEarly stores the cancellation of a job that is not stored yet.
func (k *Keeper) CancelEarly(ctx context.Context, c EarlyCancel) error {
	value, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("keeper: encode cancellation of job %s: %w", c.ID, err)
	}
	return k.saveCancel(ctx, c.ID, value)
}

func (k *Keeper) saveCancel(ctx context.Context, id w.JobID, value []byte) error {
	if _, err := k.Store.Commit(ctx, &Tx{Writes: []Row{{Key: k.cancelKey(id), Value: value}}}); err != nil {
		return fmt.Errorf("keeper: cancel job %s: %w", id, err)
	}
	return nil
}

// decodeEarlyCancel returns the early cancellation in a row, or false if the row cancels
// the job whoever's it is.
func decodeEarlyCancel(r *Row) (EarlyCancel, bool) {
	c := EarlyCancel{ID: w.JobID(r.Name)}
	if len(r.Value) == 0 || r.Value[0] != '{' || json.Unmarshal(r.Value, &c) != nil {
		return EarlyCancel{}, false
	}
	return c, true
}

// cancels reports whether the row of a cancellation applies to the job in another row.
func cancels(cancel, job *Row) bool {
	c, early := decodeEarlyCancel(cancel)
	if !early {
		return true
	}
	j, err := decodeJob(job)
	return err == nil && j.Tenant == c.Tenant
}

// RemoveCancels removes the rows of early cancellations whose jobs never arrived.
func (k *Keeper) RemoveCancels(ctx context.Context, ids []w.JobID) error {
	byPartition := make(map[string][]Key)
	for _, id := range ids {
		key := k.cancelKey(id)
		byPartition[key.Partition] = append(byPartition[key.Partition], key)
	}
	var errs []error
	for _, keys := range byPartition {
		for chunk := range slices.Chunk(keys, maxTxRows) {
			if _, err := k.Store.Commit(ctx, &Tx{Deletes: chunk}); err != nil {
				errs = append(errs, fmt.Errorf("keeper: remove %d cancellations: %w", len(chunk), err))
			}
		}
	}
	return errors.Join(errs...)
}
