package elector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/keeper"
	w "github.com/masticlead/masticlead/workload"
)

// TestDue guards against takeovers that come late, and against those that serve
// nobody.
func TestDue(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	lead := keeper.Leadership{Epoch: 3, Instance: "l"}
	const quick = 5 * time.Millisecond
	for name, c := range map[string]struct {
		lead  keeper.Leadership
		setup func(e *Elector)
		after time.Duration
		due   bool
	}{
		"no leader yet":        {keeper.Leadership{}, func(e *Elector) { e.Observe(keeper.Beat{}, 0, quick, nil, now) }, 0, true},
		"nothing read yet":     {lead, func(*Elector) {}, time.Minute, false},
		"connected":            {lead, func(e *Elector) { e.Observe(keeper.Beat{Epoch: 3}, time.Minute, quick, nil, now); e.Connected() }, 0, false},
		"lost, still renewing": {lead, func(e *Elector) { e.Observe(keeper.Beat{Epoch: 3}, 400*time.Millisecond, quick, nil, now) }, 0, false},
		"stopped renewing":     {lead, func(e *Elector) { e.Observe(keeper.Beat{Epoch: 3}, 1100*time.Millisecond, quick, nil, now) }, 0, true},
		"slow store": {lead, func(e *Elector) {
			e.Observe(keeper.Beat{Epoch: 3}, 1100*time.Millisecond, 300*time.Millisecond, nil, now)
		}, 0, false},
		"refuses, stopped": {lead, func(e *Elector) {
			e.Lost(Refuses, now)
			e.Observe(keeper.Beat{Epoch: 3}, 700*time.Millisecond, quick, nil, now)
		}, 0, true},
		"refuses, still at work": {lead, func(e *Elector) {
			e.Lost(Refuses, now)
			e.Observe(keeper.Beat{Epoch: 3}, 300*time.Millisecond, quick, nil, now)
		}, 0, false},
		"replaced": {lead, func(e *Elector) { e.Lost(Replaced, now); e.Observe(keeper.Beat{Epoch: 3}, 0, quick, nil, now) }, 0, true},
		"took over, no beat yet": {lead, func(e *Elector) {
			e.Observe(keeper.Beat{Epoch: 2}, time.Minute, quick, nil, now.Add(500*time.Millisecond))
		}, 500 * time.Millisecond, false},
		"took over, never began": {lead, func(e *Elector) { e.Observe(keeper.Beat{Epoch: 2}, time.Minute, quick, nil, now.Add(2*time.Second)) }, 2 * time.Second, true},
		"most complain": {lead, func(e *Elector) {
			e.Observe(keeper.Beat{Epoch: 3, Members: 1}, 0, quick, complaints(3, "a", "b", "c"), now.Add(900*time.Millisecond))
		}, 900 * time.Millisecond, true},
		"few complain": {lead, func(e *Elector) {
			e.Observe(keeper.Beat{Epoch: 3, Members: 5}, 0, quick, complaints(3, "a", "b", "c"), now.Add(900*time.Millisecond))
		}, 900 * time.Millisecond, false},
		"complaints of another epoch": {lead, func(e *Elector) {
			e.Observe(keeper.Beat{Epoch: 3, Members: 1}, 0, quick, complaints(2, "a", "b", "c"), now.Add(900*time.Millisecond))
		}, 900 * time.Millisecond, false},
		"most complain of a leader that still loads": {lead, func(e *Elector) {
			e.Observe(keeper.Beat{Epoch: 3}, 0, quick, complaints(3, "a", "b", "c"), now.Add(2*time.Second))
		}, 2 * time.Second, false},
		"most complain of a leader that has just loaded": {lead, func(e *Elector) {
			e.Observe(keeper.Beat{Epoch: 3}, 0, quick, complaints(3, "a", "b", "c"), now.Add(2*time.Second))
			e.Observe(keeper.Beat{Epoch: 3, Members: 1}, 0, quick, complaints(3, "a", "b", "c"), now.Add(2200*time.Millisecond))
		}, 2200 * time.Millisecond, false},
		"most complain of a leader that others reached": {lead, func(e *Elector) {
			e.Observe(keeper.Beat{Epoch: 3, Members: 1}, 0, quick, complaints(3, "a", "b", "c"), now.Add(2*time.Second))
			e.Observe(keeper.Beat{Epoch: 3, Members: 1}, 0, quick, []keeper.Complaint{
				{Instance: "a", Epoch: 3, Version: 11}, {Instance: "b", Epoch: 3, Version: 12}, {Instance: "c", Epoch: 3, Version: 13},
			}, now.Add(2800*time.Millisecond))
		}, 2800 * time.Millisecond, true},
		"most complain of a leader that nobody reached": {lead, func(e *Elector) {
			e.Observe(keeper.Beat{Epoch: 3}, 0, quick, complaints(3, "a", "b", "c"), now.Add(3*time.Second))
		}, 3 * time.Second, true},
		"most complain of a leader that lost them": {lead, func(e *Elector) {
			e.Connected()
			e.Lost(NoAnswer, now)
			e.Observe(keeper.Beat{Epoch: 3}, 0, quick, complaints(3, "a", "b", "c"), now.Add(900*time.Millisecond))
		}, 900 * time.Millisecond, true},
		"weak, leaves it to others": {lead, func(e *Elector) {
			e.Strength = 0.2
			e.Observe(keeper.Beat{Epoch: 3, Best: 0.8}, 1100*time.Millisecond, quick, nil, now)
		}, time.Second, false},
		"weak, the leader is weak, too": {lead, func(e *Elector) {
			e.Strength = 0.2
			e.Observe(keeper.Beat{Epoch: 3, Best: 0.8}, 0, quick, nil, now)
			e.Watch(keeper.Leadership{Epoch: 4, Instance: "m"}, now)
			e.Observe(keeper.Beat{Epoch: 4, Best: 0.2}, 1100*time.Millisecond, quick, nil, now)
		}, 1100 * time.Millisecond, false},
		"weak, no strong instance was seen for long": {lead, func(e *Elector) {
			e.Strength = 0.2
			e.Observe(keeper.Beat{Epoch: 3, Best: 0.8}, 0, quick, nil, now.Add(-11*time.Second))
			e.Observe(keeper.Beat{Epoch: 3, Best: 0.2}, 1100*time.Millisecond, quick, nil, now)
		}, time.Second, true},
		"weak, the leader has just started again": {lead, func(e *Elector) {
			e.Strength = 0.2
			e.Lost(Replaced, now.Add(700*time.Millisecond))
			e.Observe(keeper.Beat{Epoch: 3, Best: 0.8}, 0, quick, nil, now)
		}, time.Second, false},
		"weak, the leader started again a while ago": {lead, func(e *Elector) {
			e.Strength = 0.2
			e.Lost(Replaced, now.Add(300*time.Millisecond))
			e.Observe(keeper.Beat{Epoch: 3, Best: 0.8}, 0, quick, nil, now)
		}, time.Second, true},
		"weak, nobody else came": {lead, func(e *Elector) {
			e.Strength = 0.2
			e.Observe(keeper.Beat{Epoch: 3, Best: 0.8}, 1700*time.Millisecond, quick, nil, now)
		}, time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			var e Elector
			e.Watch(c.lead, now)
			c.setup(&e)
			_, due := e.Due(now.Add(c.after))
			require.Equal(t, c.due, due)
		})
	}
}

func complaints(epoch w.Epoch, names ...w.InstanceID) []keeper.Complaint {
	var list []keeper.Complaint
	for i, n := range names {
		list = append(list, keeper.Complaint{Instance: n, Epoch: epoch, Version: keeper.Version(i + 1)})
	}
	return list
}
