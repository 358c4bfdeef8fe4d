package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

const (
	// ownEndDelay is the time after which this instance writes the unsaved end of a job
	// that it accepted to the store itself.
	ownEndDelay = 2 * time.Second
	// otherEndDelay is that time for other jobs, whose instances may be lost.
	otherEndDelay = 4 * time.Second
)

// unsavedEnd is a final state that the coordinator published before storing it. Until
// the coordinator reports that the state is stored, it is passed to each new one.
type unsavedEnd struct {
	state   w.State
	since   time.Time // when this instance learned of it
	written bool      // there is a row of it in keeper.TableEnds
}

// keepUnsaved records a final state that is not stored yet. g.mu must be held.
func (g *Gateway) keepUnsaved(s linker.JobState) {
	if g.unsavedEnds[s.Job] == nil {
		g.unsavedEnds[s.Job] = &unsavedEnd{state: s.State, since: time.Now()}
	}
}

// SaveUnsavedEnds writes the ends to the store that no coordinator has stored for a
// while although the store responds. It is to be called periodically.
func (g *Gateway) SaveUnsavedEnds(ctx context.Context, now time.Time) error {
	if g.StoreUnreachableFor() > 0 {
		return nil
	}
	ends, others := g.overdueEnds(now)
	if len(ends) == 0 {
		return nil
	}
	if others {
		// Another instance has probably written them.
		if err := g.readWrittenEnds(ctx); err != nil {
			return err
		}
		ends, _ = g.overdueEnds(now)
	}
	return g.saveEnds(ctx, ends)
}

// overdueEnds returns the ends that are to be written, and whether jobs that other
// instances accepted are among them.
func (g *Gateway) overdueEnds(now time.Time) (ends []keeper.End, others bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, e := range g.unsavedEnds {
		_, own := g.acceptedHere[id]
		age := now.Sub(e.since)
		if e.written || age < ownEndDelay || (!own && age < otherEndDelay) {
			continue
		}
		others = others || !own
		ends = append(ends, keeper.End{ID: id, State: e.state})
	}
	return ends, others
}

func (g *Gateway) readWrittenEnds(ctx context.Context) error {
	written, err := g.Keeper.Ends(ctx)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, state := range written {
		if e := g.unsavedEnds[id]; e != nil && e.state == state {
			e.written = true
		}
	}
	return nil
}

// saveEnds writes ends to the store.
func (g *Gateway) saveEnds(ctx context.Context, ends []keeper.End) error {
	if len(ends) == 0 {
		return nil
	}
	if err := g.Keeper.SaveEnds(ctx, ends); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.Meter.Count("end", "savedByInstance")
	g.Log.Info("ends saved that no leader has stored", "jobs", len(ends))
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range ends {
		if e := g.unsavedEnds[ends[i].ID]; e != nil {
			e.written = true
		}
	}
	return nil
}
