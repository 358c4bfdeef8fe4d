package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	w "github.com/masticlead/masticlead/workload"
)

// ChangeSet holds the changes that a coordinator saves together.
type ChangeSet struct {
	Progress      []Progress
	Remove        []w.JobID
	Roster        Roster // written if RosterChanged
	RosterChanged bool
}

// commitSave commits the next transaction of a leader. The response may be lost,
// and the store may apply the transaction seconds later. The row with the save
// sequence number is a precondition of every transaction, so that a delayed one
// cannot overwrite its retry or any later transaction.
func (k *Keeper) commitSave(ctx context.Context, leadership *Leadership, tx *Tx) error {
	if !leadership.saveOutcomeUnknown {
		leadership.saveSeq++
	}
	value := fmt.Sprintf("%d/%d", leadership.Epoch, leadership.saveSeq)
	guarded := Tx{
		Preconditions: []Precondition{{Key: leaderKey, Version: leadership.Version}, {Key: saveSeqKey, Version: leadership.saveSeqVersion}},
		Writes:        append(slices.Clip(tx.Writes), Row{Key: saveSeqKey, Value: []byte(value)}),
		Deletes:       tx.Deletes,
	}
	ver, err := k.Store.Commit(ctx, &guarded)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		stillLeading := false
		for i := range conflict.Rows {
			stillLeading = stillLeading || (conflict.Rows[i].Key == leaderKey && conflict.Rows[i].Version == leadership.Version)
		}
		for i := range conflict.Rows {
			if stillLeading && conflict.Rows[i].Key == saveSeqKey && conflict.Rows[i].Version != leadership.saveSeqVersion {
				// An attempt whose outcome was unknown has been applied. The content
				// may have grown since, so the caller has to write it again.
				leadership.saveSeqVersion, leadership.saveOutcomeUnknown = conflict.Rows[i].Version, false
				return fmt.Errorf("an earlier attempt was applied: %w", ErrNotExecuted)
			}
		}
		return err
	}
	if err != nil {
		leadership.saveOutcomeUnknown = leadership.saveOutcomeUnknown || !errors.Is(err, ErrNotExecuted)
		return err
	}
	leadership.saveSeqVersion, leadership.saveOutcomeUnknown = ver, false
	return nil
}

// Save writes changes on condition that the leader row still has the version of
// leadership. It returns a ConflictError if another leader took over.
func (k *Keeper) Save(ctx context.Context, leadership *Leadership, changes *ChangeSet) error {
	var tx Tx
	size := 0
	flush := func() error {
		if len(tx.Writes) == 0 && len(tx.Deletes) == 0 {
			return nil
		}
		if err := k.commitSave(ctx, leadership, &tx); err != nil {
			return fmt.Errorf("keeper: save %d rows: %w", len(tx.Writes), err)
		}
		tx, size = Tx{}, 0
		return nil
	}
	for i := range changes.Progress {
		value, err := json.Marshal(&changes.Progress[i])
		if err != nil {
			return fmt.Errorf("keeper: encode progress: %w", err)
		}
		tx.Writes = append(tx.Writes, Row{Key: progressKey(changes.Progress[i].ID), Value: value})
		if size += len(value); len(tx.Writes) >= maxTxRows || size >= maxTxBytes {
			if err := flush(); err != nil {
				return err
			}
		}
	}
	// The roster omits runs whose ends are in the progress, so it is written after it.
	if changes.RosterChanged {
		value, err := json.Marshal(changes.Roster)
		if err != nil {
			return fmt.Errorf("keeper: encode roster: %w", err)
		}
		tx.Writes = append(tx.Writes, Row{Key: Key{Table: TableControl, Name: rosterName}, Value: value})
	}
	// Removals span partitions, so they get transactions of their own.
	if err := flush(); err != nil {
		return err
	}
	for _, id := range changes.Remove {
		key := k.JobKey(id)
		tx.Deletes = append(tx.Deletes, progressKey(id))
		for _, table := range [...]string{TableJobs, TableCancellations} {
			key.Table = table
			tx.Deletes = append(tx.Deletes, key)
		}
		if len(tx.Deletes)+len(tx.Writes) >= maxTxRows {
			if err := flush(); err != nil {
				return err
			}
		}
	}
	return flush()
}
