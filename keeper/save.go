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
	Roster        Roster // written if RosterChanged
	RosterChanged bool

	// SetAside lists the rows that the store refuses. Save writes the rest without them.
	SetAside []RefusedRow
}

// RefusedRow is a row that the store refuses for good.
type RefusedRow struct {
	Key
	Size     int // in bytes
	Err      error
	Repeated bool // it was refused in an earlier save already
}

// IsCheckpoint reports whether the row has checkpoints only, whose loss costs work but no
// end of a run.
func (r *RefusedRow) IsCheckpoint() bool { return r.Table == tableCheckpoints }

// RefusedJobs returns the jobs whose progress is among the rows that were set aside,
// without those of which only checkpoints are.
func (c *ChangeSet) RefusedJobs() []w.JobID {
	var ids []w.JobID
	for _, r := range c.SetAside {
		switch r.Table {
		case TableProgress:
			ids = append(ids, w.JobID(r.Name))
		case tableProgressChunks:
			if id, _, err := parseChunkKey(r.Key); err == nil {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// RosterRefused reports whether the roster is among the rows that were set aside.
func (c *ChangeSet) RosterRefused() bool {
	return slices.ContainsFunc(c.SetAside, func(r RefusedRow) bool { return r.Key == rosterChunkKey(0) || r.Table == tableRosterChunks })
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

	// group has the items of a job's progress, or is nil. Those with dependent set remove
	// what others write elsewhere, and are left out if any of the group before is refused.
	group     *itemGroup
	dependent bool
}

type itemGroup struct{ refused bool }

// leftOut reports whether the item depends on one that was refused.
func (i *saveItem) leftOut() bool { return i.dependent && i.group.refused }

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
// leadership. It returns a ConflictError if another leader took over. Rows that the store
// refuses are set aside, so that they don't hold up all others.
func (k *Keeper) Save(ctx context.Context, leadership *Leadership, changes *ChangeSet) error {
	leadership.saves++
	var items []saveItem
	for i := range changes.Progress {
		next, err := k.progressItems(leadership, &changes.Progress[i])
		if err != nil {
			return err
		}
		items = append(items, next...)
	}
	// The roster omits runs whose ends are in the progress, so it is written after it.
	if changes.RosterChanged {
		item, err := k.rosterItem(leadership, &changes.Roster)
		if err != nil {
			return err
		}
		items = append(items, item)
	}
	return k.saveItems(ctx, leadership, items, changes)
}

// saveItems writes items in transactions of up to maxTxRows rows and maxTxBytes.
func (k *Keeper) saveItems(ctx context.Context, leadership *Leadership, items []saveItem, changes *ChangeSet) error {
	items = slices.DeleteFunc(items, func(i saveItem) bool { return i.leftOut() || k.setAsideOversized(leadership, &i, changes) })
	for len(items) > 0 {
		rows, size, n := 0, 0, 0
		for n < len(items) && (n == 0 || (rows+items[n].rows() <= maxTxRows && size+items[n].size() <= maxTxBytes)) {
			rows += items[n].rows()
			size += items[n].size()
			n++
		}
		if err := k.saveTogether(ctx, leadership, items[:n], changes); err != nil {
			return err
		}
		items = items[n:]
	}
	return nil
}

// saveTogether writes items in one transaction or, if the store refuses that, in several,
// so that only what it refuses by itself is set aside.
func (k *Keeper) saveTogether(ctx context.Context, leadership *Leadership, items []saveItem, changes *ChangeSet) error {
	items = slices.DeleteFunc(slices.Clone(items), func(i saveItem) bool { return i.leftOut() })
	var tx Tx
	for i := range items {
		tx.Writes = append(tx.Writes, items[i].writes...)
		tx.Deletes = append(tx.Deletes, items[i].deletes...)
	}
	if len(tx.Writes)+len(tx.Deletes) == 0 {
		return nil
	}
	err := k.commitSave(ctx, leadership, &tx)
	switch {
	case err == nil:
		for i := range items {
			if items[i].stored != nil {
				items[i].stored()
			}
		}
		return nil
	case !errors.Is(err, ErrRejected):
		return fmt.Errorf("keeper: save %d rows: %w", len(tx.Writes)+len(tx.Deletes), err)
	case len(items) > 1:
		for _, half := range [...][]saveItem{items[:len(items)/2], items[len(items)/2:]} {
			if err := k.saveTogether(ctx, leadership, half, changes); err != nil {
				return err
			}
		}
		return nil
	}
	// A store that refuses even a save without rows refuses it for another reason.
	if emptyErr := k.commitSave(ctx, leadership, new(Tx)); emptyErr != nil {
		return fmt.Errorf("keeper: save %d rows: %w", len(tx.Writes)+len(tx.Deletes), err)
	}
	leadership.setAside(&items[0], err, changes)
	return nil
}

// refusal describes a row that the store refused.
type refusal struct {
	size int // in bytes
	save int // number of the save
}

// refusedRetryInterval is the number of saves after which a refused row is written again,
// if it has not become smaller before.
const refusedRetryInterval = 50

var errOversized = errors.New("keeper: row exceeds the size limit of the store")

// setAsideOversized sets an item aside that the store would refuse, and reports whether it
// did: one with a row over the limit, or one that was refused lately and has not become
// smaller.
func (k *Keeper) setAsideOversized(leadership *Leadership, item *saveItem, changes *ChangeSet) bool {
	for _, r := range item.writes {
		if refused, ok := leadership.refused[r.Key]; ok && len(r.Value) >= refused.size && leadership.saves-refused.save < refusedRetryInterval {
			changes.SetAside = append(changes.SetAside, RefusedRow{Key: r.Key, Size: len(r.Value), Err: ErrRejected, Repeated: true})
			item.recordRefused()
			return true
		}
	}
	for _, r := range item.writes {
		if k.MaxRowBytes > 0 && len(r.Value) > k.MaxRowBytes {
			leadership.setAside(item, errOversized, changes)
			return true
		}
	}
	return false
}

func (i *saveItem) recordRefused() {
	if i.group != nil {
		i.group.refused = true
	}
}

// setAside records that the store refuses an item.
func (l *Leadership) setAside(item *saveItem, err error, changes *ChangeSet) {
	item.recordRefused()
	if l.refused == nil {
		l.refused = make(map[Key]refusal)
	}
	for _, r := range item.writes {
		l.refused[r.Key] = refusal{size: len(r.Value), save: l.saves}
		changes.SetAside = append(changes.SetAside, RefusedRow{Key: r.Key, Size: len(r.Value), Err: err})
	}
	for _, key := range item.deletes {
		changes.SetAside = append(changes.SetAside, RefusedRow{Key: key, Err: err})
	}
}
