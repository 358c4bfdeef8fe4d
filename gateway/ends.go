package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// otherEndDelay is the time after which this instance writes an unsaved end that another
// instance is to write, since that instance may be lost.
const otherEndDelay = 4 * time.Second

// unsavedEnd is a final state that the coordinator sent before storing it. It is shown
// only once it is in the store: all memory that holds it may be lost together. Until the
// coordinator reports that the state is stored, it is passed to each new one.
type unsavedEnd struct {
	state   w.State
	own     bool      // this instance is to write it
	since   time.Time // when this instance learned of it
	written bool      // there is a row of it in keeper.TableEnds
}

// keepUnsaved records a final state that is not stored yet. g.mu must be held.
func (g *Gateway) keepUnsaved(s linker.JobState) {
	e := g.unsavedEnds[s.Job]
	if e == nil {
		e = &unsavedEnd{state: s.State, since: time.Now()}
		g.unsavedEnds[s.Job] = e
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
	if err := g.saveEnds(ctx, own); err != nil {
		g.signalOwnEnds()
		return err
	}
	if len(others) == 0 || g.StoreUnreachableFor() > 0 {
		return nil
	}
	// Another instance has probably written them.
	if err := g.readWrittenEnds(ctx); err != nil {
		return err
	}
	_, others = g.overdueEnds(now)
	return g.saveEnds(ctx, others)
}

// overdueEnds returns the ends that are to be written, those that other instances have not
// written in time apart.
func (g *Gateway) overdueEnds(now time.Time) (own, others []keeper.End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	unwritten := 0
	for id, e := range g.unsavedEnds {
		if !e.written {
			unwritten++
		}
		end := keeper.End{ID: id, State: e.state}
		switch {
		case e.written:
		case e.own:
			own = append(own, end)
		case now.Sub(e.since) >= otherEndDelay:
			others = append(others, end)
		}
	}
	g.Meter.SetGauge("endsUnsaved", float64(unwritten))
	return own, others
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

// saveEnds writes ends to the store and shows them.
func (g *Gateway) saveEnds(ctx context.Context, ends []keeper.End) error {
	if len(ends) == 0 {
		return nil
	}
	if err := g.Keeper.SaveEnds(ctx, ends); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.Meter.Count("end", "savedByInstance")
	g.mu.Lock()
	defer g.mu.Unlock()
	f := new(linker.Frame)
	for _, e := range ends {
		if u := g.unsavedEnds[e.ID]; u != nil {
			g.Log.Info("job end saved that no leader has stored", "job", e.ID, "state", e.State, "known", time.Since(u.since).Round(time.Millisecond))
		}
		g.endWritten(e)
		f.SavedEnds = append(f.SavedEnds, linker.JobState{Job: e.ID, State: e.State})
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
