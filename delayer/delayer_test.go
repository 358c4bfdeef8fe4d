package delayer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	w "github.com/masticlead/masticlead/workload"
)

var start = time.Unix(1_800_000_000, 0)

func request(work w.JobID, slack time.Duration, openings ...time.Duration) *Request {
	r := &Request{Work: w.TaskID{Job: work}, Near: time.Second, Far: 2 * time.Second, Slack: slack}
	for i, after := range openings {
		r.Openings = append(r.Openings, Opening{OpeningID{Target: w.TargetID(fmt.Sprint(i))}, start.Add(after)})
	}
	return r
}

// TestDecide guards against waits that can't pay: without an opening, for one that is too
// late for the gain or for the goal, and without a difference between near and far.
func TestDecide(t *testing.T) {
	same := request("j", time.Minute, 0)
	same.Far = same.Near
	bookable := request("j", time.Minute, 100*time.Millisecond)
	bookable.Bookable = true
	for name, c := range map[string]struct {
		r    *Request
		want Action
	}{
		"no opening":                 {request("j", time.Minute), PlaceFar},
		"opening soon":               {request("j", time.Minute, 400*time.Millisecond), Wait},
		"opening too late to gain":   {request("j", time.Minute, 600*time.Millisecond), PlaceFar},
		"opening beyond the slack":   {request("j", 300*time.Millisecond, 400*time.Millisecond), PlaceFar},
		"no slack":                   {request("j", -time.Second, 0), PlaceFar},
		"near is no faster than far": {same, PlaceFar},
		"bookable":                   {bookable, BookNear},
	} {
		t.Run(name, func(t *testing.T) {
			d := New().Decide(start, c.r)
			require.Equal(t, c.want, d.Action)
			if d.Action != PlaceFar {
				require.Less(t, d.Until.Sub(start)+c.r.Near, c.r.Far)
				require.LessOrEqual(t, d.Until.Sub(start), c.r.Slack)
			}
		})
	}
}

// TestOpeningsArePromisedOnce guards against work that all waits for the same opening, and
// against openings that stay promised to work that has started elsewhere.
func TestOpeningsArePromisedOnce(t *testing.T) {
	d := New()
	opening := make(map[w.JobID]w.TargetID)
	decide := func(work w.JobID) Action {
		r := d.Decide(start, request(work, time.Minute, 100*time.Millisecond, 150*time.Millisecond, 200*time.Millisecond, 250*time.Millisecond))
		opening[work] = r.Opening.ID.Target
		return r.Action
	}
	require.Equal(t, []Action{Wait, Wait, PlaceFar, Wait}, []Action{decide("a"), decide("b"), decide("c"), decide("a")})
	require.Equal(t, map[w.JobID]w.TargetID{"a": "0", "b": "1", "c": ""}, opening)
	require.Equal(t, start, d.Release(w.TaskID{Job: "a"}))
	require.True(t, d.Release(w.TaskID{Job: "c"}).IsZero())
	require.Equal(t, Wait, decide("d"))
	d.Expire(start.Add(time.Minute))
	require.Equal(t, Wait, decide("e"))
	require.Equal(t, Wait, decide("f"))
}

// TestWaitEnds guards against a wait that is extended whenever an opening is late, or that
// goes on when its opening is no longer expected.
func TestWaitEnds(t *testing.T) {
	d := New()
	require.Equal(t, Wait, d.Decide(start, request("late", time.Minute, 400*time.Millisecond)).Action)
	require.Equal(t, Wait, d.Decide(start.Add(500*time.Millisecond), request("late", time.Minute, 550*time.Millisecond)).Action)
	require.Equal(t, PlaceFar, d.Decide(start.Add(600*time.Millisecond), request("late", time.Minute, 600*time.Millisecond)).Action)
	require.Equal(t, PlaceFar, d.Decide(start.Add(700*time.Millisecond), request("late", time.Minute, 700*time.Millisecond)).Action)

	require.Equal(t, Wait, d.Decide(start, request("gone", time.Minute, 400*time.Millisecond)).Action)
	require.Equal(t, PlaceFar, d.Decide(start.Add(time.Millisecond), request("gone", time.Minute)).Action)
	require.Equal(t, start, d.Release(w.TaskID{Job: "gone"}))
}
