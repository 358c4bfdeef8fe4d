package instance

import (
	"time"

	"github.com/masticlead/masticlead/coordinator"
	"github.com/masticlead/masticlead/keeper"
)

// savedBatch is a batch that was saved, without the rows that the store refused.
type savedBatch struct {
	batch   *coordinator.Batch
	changes *keeper.ChangeSet
}

// save retries writing a batch until it is stored or the leadership ends.
func (l *leader) save(b *coordinator.Batch, saved chan<- savedBatch) {
	for l.ctx.Err() == nil {
		changes := &keeper.ChangeSet{Progress: b.Progress, Roster: b.Roster, RosterChanged: b.RosterChanged}
		err := l.in.Keeper.Save(l.ctx, &l.leadership, changes)
		if err == nil {
			l.reportRefused(changes)
			removals := l.leadership.Removals(b.Remove)
			saved <- savedBatch{b, changes}
			l.remove(len(removals), func() (err error) {
				removals, err = l.in.Keeper.RemoveJobs(l.ctx, removals)
				return err
			})
			l.remove(len(b.RemoveEnds), func() error { return l.in.Keeper.RemoveEnds(l.ctx, b.RemoveEnds) })
			content := b.DropContent
			l.remove(len(content), func() (err error) {
				content, err = l.in.Keeper.DropContent(l.ctx, content)
				return err
			})
			l.remove(len(b.RemoveCancels), func() error { return l.in.Keeper.RemoveCancels(l.ctx, b.RemoveCancels) })
			return
		}
		if l.stopIfSuperseded(err) {
			return
		}
		l.in.Log.Debug("could not save batch; retrying", "rows", len(b.Progress), "error", err)
		l.in.sleep(retryDelay)
	}
}

// reportRefused logs and counts the rows that the store refused to save.
func (l *leader) reportRefused(changes *keeper.ChangeSet) {
	for _, r := range changes.SetAside {
		kind := "row"
		if r.IsCheckpoint() {
			kind = "checkpoint"
		}
		l.in.Meter.Count("refused", kind)
		if r.Repeated {
			continue
		}
		if r.IsCheckpoint() {
			l.in.Log.Warn("checkpoint is not stored", "epoch", l.leadership.Epoch, "key", r.Name, "bytes", r.Size, "error", brief(r.Err))
			continue
		}
		l.in.Log.Error("row refused by the store is not saved", "epoch", l.leadership.Epoch, "table", r.Table, "key", r.Name, "bytes", r.Size, "error", brief(r.Err))
	}
}

// remove removes rows that are no longer needed, apart from the batches, which must not
// wait for a partition that is silent. Rows that remain are removed by a later leader.
func (l *leader) remove(rows int, write func() error) {
	const attempts = 10
	for attempt := 1; rows > 0 && l.ctx.Err() == nil; attempt++ {
		err := write()
		if err == nil || attempt == attempts {
			return
		}
		l.in.Log.Debug("could not remove rows", "rows", rows, "error", err)
		l.in.sleep(time.Second)
	}
}
