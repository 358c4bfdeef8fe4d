package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// otherEndDelay is the time after which this instance writes an unsaved end that another
// instance is to write, since that instance may be lost.
const otherEndDelay = 4 * time.Second

// justSentAge is the time for which an end counts as just sent by the leader, see
// keeper.SaveEnds.
const justSentAge = time.Second

// unsavedEnd is a final state that the coordinator sent before storing it. It is shown
// only once it is in the store: all memory that holds it may be lost together. Until the
// coordinator reports that the state is stored, it is passed to each new one.
type unsavedEnd struct {
	state   w.State
	own     bool           // this instance is to write it
	leader  keeper.Version // of the row of the last leader that sent it, 0 once that was replaced
	since   time.Time      // when that leader sent it first
	written bool           // there is a row of it in keeper.TableEnds
}

// errNotSent means that the current leader has not sent an end, so that it may not know it.
var errNotSent = errors.New("gateway: the end was sent by a leader that has been replaced")

// keepUnsaved records a final state that is not stored yet. g.mu must be held.
func (g *Gateway) keepUnsaved(s linker.JobState) {
	e := g.unsavedEnds[s.Job]
	if e == nil {
		e = &unsavedEnd{state: s.State}
		g.unsavedEnds[s.Job] = e
	}
	if e.leader != g.leader {
		e.leader, e.since, e.own = g.leader, time.Now(), false
	}
	if _, accepted := g.acceptedHere[s.Job]; (accepted || s.Save) && !e.own {
		e.own = true
		g.signalOwnEnds()
	}
}

func (g *Gateway) signalOwnEnds() {
	select {
	case g.ownEnds <- struct{}{}:
	default:
	}
}

// OwnEnds returns a channel that signals an unsaved end that this instance is to write: of
// a job that it accepted, or that the coordinator asks it to save. Its caller then calls
// SaveUnsavedEnds.
func (g *Gateway) OwnEnds() <-chan struct{} { return g.ownEnds }

// SaveUnsavedEnds writes the ends to the store that no coordinator has stored yet: its own
// at once, those of other instances after a while. It is to be called periodically and
// when OwnEnds signals.
func (g *Gateway) SaveUnsavedEnds(ctx context.Context, now time.Time) error {
	own, others := g.overdueEnds(now)
	for _, b := range own {
		if err := g.saveEnds(ctx, b); err != nil && !errors.Is(err, errNotSent) {
			g.signalOwnEnds()
			return err
		}
	}
	if len(others) == 0 || g.StoreUnreachableFor() > 0 {
		return nil
	}
	// Another instance has probably written them.
	if err := g.readWrittenEnds(ctx); err != nil {
		return err
	}
	_, others = g.overdueEnds(now)
	for _, b := range others {
		if err := g.saveEnds(ctx, b); err != nil && !errors.Is(err, errNotSent) {
			return err
		}
	}
	return nil
}

// endGroup names ends that are written together.
type endGroup struct {
	leader   keeper.Version
	justSent bool
}

// endBatch is a list of ends of a group.
type endBatch struct {
	endGroup
	ends []keeper.End
}

// overdueEnds returns the ends that are to be written, those that other instances have not
// written in time apart.
func (g *Gateway) overdueEnds(now time.Time) (own, others []endBatch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	unwritten := 0
	for id, e := range g.unsavedEnds {
		if e.written {
			continue
		}
		unwritten++
		end := keeper.End{ID: id, State: e.state}
		age := now.Sub(e.since)
		switch {
		case e.leader == 0:
		case e.own:
			own = addToBatch(own, endGroup{e.leader, age < justSentAge}, end)
		case age >= otherEndDelay:
			others = addToBatch(others, endGroup{leader: e.leader}, end)
		}
	}
	g.Meter.SetGauge("endsUnsaved", float64(unwritten))
	return own, others
}

// addToBatch adds an end to the batch of its group, and the batch if there is none.
func addToBatch(batches []endBatch, group endGroup, end keeper.End) []endBatch {
	for i := range batches {
		if batches[i].endGroup == group {
			batches[i].ends = append(batches[i].ends, end)
			return batches
		}
	}
	return append(batches, endBatch{group, []keeper.End{end}})
}

func (g *Gateway) readWrittenEnds(ctx context.Context) error {
	written, err := g.Keeper.Ends(ctx)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, state := range written {
		g.endWritten(keeper.End{ID: id, State: state})
	}
	return nil
}

// saveEnd writes the unsaved end of a job to the store and shows it.
func (g *Gateway) saveEnd(ctx context.Context, id w.JobID) error {
	g.mu.Lock()
	e := g.unsavedEnds[id]
	if e == nil || e.written {
		g.mu.Unlock()
		return nil
	}
	b := endBatch{endGroup{leader: e.leader}, []keeper.End{{ID: id, State: e.state}}}
	g.mu.Unlock()
	if b.leader == 0 {
		return errNotSent
	}
	return g.saveEnds(ctx, b)
}

// saveEnds writes ends to the store and shows them. It returns an error that wraps
// errNotSent if the leader that sent them has been replaced. The next one sends them again
// once it is told of them.
func (g *Gateway) saveEnds(ctx context.Context, b endBatch) error {
	err := g.Keeper.SaveEnds(ctx, b.ends, b.leader, b.justSent)
	g.mu.Lock()
	defer g.mu.Unlock()
	var conflict *keeper.ConflictError
	if errors.As(err, &conflict) {
		for _, end := range b.ends {
			if e := g.unsavedEnds[end.ID]; e != nil && e.leader == b.leader {
				e.leader, e.own = 0, false
			}
		}
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.Meter.Count("end", "savedByInstance")
	f := new(linker.Frame)
	for _, end := range b.ends {
		if e := g.unsavedEnds[end.ID]; e != nil {
			g.Log.Info("job end saved that no leader has stored", "job", end.ID, "state", end.State, "known", time.Since(e.since).Round(time.Millisecond))
		}
		g.endWritten(end)
		f.SavedEnds = append(f.SavedEnds, linker.JobState{Job: end.ID, State: end.State})
	}
	if g.conn != nil {
		g.conn.Send(f)
	}
	return nil
}

// endWritten records that the end of a job is in the store, so that callers may see it.
// g.mu must be held.
func (g *Gateway) endWritten(end keeper.End) {
	e := g.unsavedEnds[end.ID]
	if e == nil || e.state != end.State {
		return
	}
	e.written = true
	if !g.states[end.ID].Final() {
		g.states[end.ID] = end.State
	}
}
