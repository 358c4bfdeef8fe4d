package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	w "github.com/masticlead/masticlead/workload"
)

// Change is a set of changes of a coordinator.
type Change struct {
	Progress      []Progress
	Remove        []w.JobID
	Roster        Roster // written if RosterChanged
	RosterChanged bool
}

// saveNext commits the next transaction of a leader. Its answer may be lost, and
// the store may carry it out seconds later: the row that numbers the
// transactions keeps a late one from undoing those that were repeated or came
// after it.
func (k *Keeper) saveNext(ctx context.Context, lead *Leadership, tx *Tx) error {
	if !lead.unsure {
		lead.number++
	}
	value := fmt.Sprintf("%d/%d", lead.Epoch, lead.number)
	full := Tx{
		Checks: []Check{{Key: leaderKey, Version: lead.Version}, {Key: saveKey, Version: lead.saved}},
		Writes: append(slices.Clip(tx.Writes), Row{Key: saveKey, Value: []byte(value)}),
		Drops:  tx.Drops,
	}
	ver, err := k.Store.Commit(ctx, &full)
	var c *Conflict
	if errors.As(err, &c) {
		led := false
		for i := range c.Rows {
			led = led || (c.Rows[i].Key == leaderKey && c.Rows[i].Version == lead.Version)
		}
		for i := range c.Rows {
			if led && c.Rows[i].Key == saveKey && c.Rows[i].Version != lead.saved {
				// An attempt without an answer was carried out after all. The
				// content may have grown since, so it is written once more.
				lead.saved, lead.unsure = c.Rows[i].Version, false
				return fmt.Errorf("an earlier attempt was carried out: %w", ErrNotDone)
			}
		}
		return err
	}
	if err != nil {
		lead.unsure = lead.unsure || !errors.Is(err, ErrNotDone)
		return err
	}
	lead.saved, lead.unsure = ver, false
	return nil
}

// Save writes changes under the condition that the leader row has the version
// of the writer. It returns a Conflict if another leader took over.
func (k *Keeper) Save(ctx context.Context, lead *Leadership, ch *Change) error {
	var tx Tx
	size := 0
	flush := func() error {
		if len(tx.Writes) == 0 && len(tx.Drops) == 0 {
			return nil
		}
		if err := k.saveNext(ctx, lead, &tx); err != nil {
			return fmt.Errorf("keeper: save %d rows: %w", len(tx.Writes), err)
		}
		tx, size = Tx{}, 0
		return nil
	}
	for i := range ch.Progress {
		value, err := json.Marshal(&ch.Progress[i])
		if err != nil {
			return fmt.Errorf("keeper: encode progress: %w", err)
		}
		tx.Writes = append(tx.Writes, Row{Key: progressKey(ch.Progress[i].ID), Value: value})
		if size += len(value); len(tx.Writes) >= txRows || size >= txBytes {
			if err := flush(); err != nil {
				return err
			}
		}
	}
	// The roster leaves out runs whose ends are in the progress, so it comes after.
	if ch.RosterChanged {
		value, err := json.Marshal(ch.Roster)
		if err != nil {
			return fmt.Errorf("keeper: encode roster: %w", err)
		}
		tx.Writes = append(tx.Writes, Row{Key: Key{Table: TableControl, Name: rosterName}, Value: value})
	}
	// Removals reach into other parts, so they are apart.
	if err := flush(); err != nil {
		return err
	}
	for _, id := range ch.Remove {
		key := k.JobKey(id)
		tx.Drops = append(tx.Drops, progressKey(id))
		for _, table := range [...]string{TableJobs, TableCancels} {
			key.Table = table
			tx.Drops = append(tx.Drops, key)
		}
		if len(tx.Drops)+len(tx.Writes) >= txRows {
			if err := flush(); err != nil {
				return err
			}
		}
	}
	return flush()
}
