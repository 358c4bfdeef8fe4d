package keeper

import (
	"context"
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

// saveItem is a part of a save that is stored as a whole.
type saveItem struct {
	writes  []Row
	deletes []Key
	stored  func() // called once the item is stored, if it is not nil
}

func (i *saveItem) rows() int { return len(i.writes) + len(i.deletes) }

// size returns the size of the item's values in bytes.
func (i *saveItem) size() int {
	n := 0
	for _, r := range i.writes {
		n += len(r.Value)
	}
	return n
}

// Save writes changes on condition that the leader row still has the version of
// leadership. It returns a ConflictError if another leader took over.
func (k *Keeper) Save(ctx context.Context, leadership *Leadership, changes *ChangeSet) error {
	var items []saveItem
	for i := range changes.Progress {
		next, err := leadership.progressItems(&changes.Progress[i])
		if err != nil {
			return err
		}
		items = append(items, next...)
	}
	// The roster omits runs whose ends are in the progress, so it is written after it.
	if changes.RosterChanged {
		item, err := leadership.rosterItem(&changes.Roster)
		if err != nil {
			return err
		}
		items = append(items, item)
	}
	// Removals span partitions, so they get transactions of their own.
	if err := k.saveItems(ctx, leadership, items); err != nil {
		return err
	}
	items = items[:0]
	for _, id := range changes.Remove {
		key := k.JobKey(id)
		item := saveItem{deletes: []Key{progressKey(id)}, stored: func() { delete(leadership.chunks, id) }}
		for n := range leadership.chunks[id] {
			item.deletes = append(item.deletes, progressChunkKey(id, n))
		}
		for _, table := range [...]string{TableJobs, TableCancellations} {
			key.Table = table
			item.deletes = append(item.deletes, key)
		}
		items = append(items, item)
	}
	return k.saveItems(ctx, leadership, items)
}

// saveItems writes items in transactions of up to maxTxRows rows and maxTxBytes.
func (k *Keeper) saveItems(ctx context.Context, leadership *Leadership, items []saveItem) error {
	for len(items) > 0 {
		rows, size, n := 0, 0, 0
		for n < len(items) && (n == 0 || (rows+items[n].rows() <= maxTxRows && size+items[n].size() <= maxTxBytes)) {
			rows += items[n].rows()
			size += items[n].size()
			n++
		}
		var tx Tx
		for i := range items[:n] {
			tx.Writes = append(tx.Writes, items[i].writes...)
			tx.Deletes = append(tx.Deletes, items[i].deletes...)
		}
		if rows > 0 {
			if err := k.commitSave(ctx, leadership, &tx); err != nil {
				return fmt.Errorf("keeper: save %d rows: %w", rows, err)
			}
		}
		for i := range items[:n] {
			if items[i].stored != nil {
				items[i].stored()
			}
		}
		items = items[n:]
	}
	return nil
}
