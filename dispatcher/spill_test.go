package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/emulator"
)

// splitCell has an owner of keys without targets, and a host with all of them.
func splitCell(t *testing.T, targets int) (*testCell, *Dispatcher, *Dispatcher) {
	c := newTestCell(t, targets)
	owner, host := c.add("owner", nil), c.add("host", nil)
	hasTarget := map[descriptor.SliceID]bool{}
	for _, target := range c.cell.Listing.Targets {
		hasTarget[target.ID.Slice()] = true
	}
	c.give("host", func(s descriptor.SliceID) bool { return hasTarget[s] })
	c.give("owner", func(s descriptor.SliceID) bool { return !hasTarget[s] })
	c.eventually(func() bool {
		recovered, owned := owner.Recovered()
		return owned > 0 && recovered == owned
	})
	return c, owner, host
}

// keyOf returns a request id whose slice the owner has.
func keyOf(t *testing.T, c *testCell, prefix string) string {
	for i := range 1000 {
		id := prefix + string(rune('a'+i%26)) + string(rune('a'+i/26))
		if c.owners.owner[testKey(id).Slice()] == "owner" {
			return id
		}
	}
	t.Fatal("no key of the owner found")
	return ""
}

// TestHostRunsOfferedWork guards against requests of an owner without room that
// are refused while another instance of the data centre has room.
func TestHostRunsOfferedWork(t *testing.T) {
	for _, kind := range []string{"plan", "settlement", "stairwell"} {
		c, owner, _ := splitCell(t, 2)
		s := c.submission(keyOf(t, c, "r"), kind, emulator.Work{RunMs: 20})
		require.Equal(t, descriptor.Completed, c.submit(owner, s).Kind(), kind)
		require.Len(t, c.runs(s.Key), c.rules.Kinds[s.Kind].Tasks, kind)
	}
}

// TestOfferedWorkStaysWithOwner guards against a host that starts what the owner
// has given up, does not own any more, or may be running elsewhere.
func TestOfferedWorkStaysWithOwner(t *testing.T) {
	c, owner, host := splitCell(t, 2)
	s := c.submission(keyOf(t, c, "r"), "plan", emulator.Work{RunMs: 60_000})
	_, err := owner.Begin(context.Background(), s)
	require.NoError(t, err)
	c.eventually(func() bool { return len(c.runs(s.Key)) == 1 })
	again := ConfirmRequest{Key: s.Key, Host: "host", Targets: []descriptor.TargetID{"t0"}}
	require.False(t, owner.HandleConfirm(again).OK, "an attempt is running")

	h, err := owner.Cancel(context.Background(), s.Key)
	require.NoError(t, err)
	<-h.Done()
	require.False(t, owner.HandleConfirm(again).OK, "the request has an outcome")

	// A host that is full keeps the next request waiting.
	c.setFaults(emulator.Faults{Leaving: true})
	c.eventually(func() bool {
		for _, info := range host.Targets() {
			if !info.Leaving {
				return false
			}
		}
		return true
	})
	waiting := c.submission(keyOf(t, c, "w"), "plan", emulator.Work{RunMs: 1})
	_, err = owner.Begin(context.Background(), waiting)
	require.NoError(t, err)
	ask := ConfirmRequest{Key: waiting.Key, Host: "host", Targets: []descriptor.TargetID{"t0"}}
	c.owners.suspend("owner", true)
	require.False(t, owner.HandleConfirm(ask).OK, "the owner has no grant")
	c.owners.suspend("owner", false)
	c.eventually(func() bool { return owner.HandleConfirm(ask).OK })
	require.False(t, owner.HandleConfirm(ask).OK, "confirmed once")
}

// TestLostConfirmation guards against a request that hangs because the owner
// confirmed a start that the host never made.
func TestLostConfirmation(t *testing.T) {
	c, owner, _ := splitCell(t, 2)
	s := c.submission(keyOf(t, c, "r"), "plan", emulator.Work{RunMs: 1})
	c.setFaults(emulator.Faults{Leaving: true})
	time.Sleep(300 * time.Millisecond)
	h, err := owner.Begin(context.Background(), s)
	require.NoError(t, err)
	ask := ConfirmRequest{Key: s.Key, Host: "host", Targets: []descriptor.TargetID{"t0"}}
	c.eventually(func() bool { return owner.HandleConfirm(ask).OK })
	c.setFaults(emulator.Faults{})
	select {
	case <-h.Done():
	case <-time.After(testLimit):
		t.Fatal("the request never got an outcome")
	}
	o, err := h.Result()
	require.NoError(t, err)
	require.Equal(t, descriptor.Completed, o.Kind())
	require.Len(t, c.runs(s.Key), 1)
}

// TestGangTooLargeForEachInstance guards against a gang that waits until its
// deadline although no instance owns enough targets for it.
func TestGangTooLargeForEachInstance(t *testing.T) {
	c := newTestCell(t, 2)
	a, b := c.add("a", nil), c.add("b", nil)
	own := descriptor.TargetID("t0").Slice()
	c.give("b", func(s descriptor.SliceID) bool { return s != own })
	c.give("a", func(s descriptor.SliceID) bool { return s == own })
	c.eventually(func() bool {
		for _, d := range []*Dispatcher{a, b} {
			if recovered, owned := d.Recovered(); recovered < owned {
				return false
			}
		}
		return true
	})
	s := c.submission("r1", "stairwell", emulator.Work{RunMs: 1})
	s.Tasks = 5
	owner := b
	if s.Key.Slice() == own {
		owner = a
	}
	o := c.submit(owner, s)
	require.Equal(t, descriptor.Refused, o.Kind())
	require.Equal(t, descriptor.ReasonNeverFits, o.Reason())
	require.Empty(t, c.runs(s.Key))
}

// TestHostBecomesOwner guards against a request that gets no outcome because the
// instance that owns it now still holds it as a guest of the earlier owner.
func TestHostBecomesOwner(t *testing.T) {
	c, _, host := splitCell(t, 2)
	host.setDraining(true) // the host starts nothing, so that its guest waits
	s := c.submission(keyOf(t, c, "r"), "plan", emulator.Work{RunMs: 1})
	waiting := &guest{owner: "owner", request: &descriptor.Request{
		Key: s.Key, Kind: s.Kind, Team: "team", Idempotent: true, Tasks: 1, Payload: s.Payload,
		Resources: descriptor.Resources{CPU: 1000, Memory: 64, Slots: 1}, Deadline: time.Now().Add(time.Minute),
	}}
	require.True(t, host.guests.add(s.Key, waiting))
	require.Nil(t, host.cfg.Scheduler.Submit(waiting.request))

	c.crash("owner")
	c.give("host", func(slice descriptor.SliceID) bool { return c.owners.owner[slice] == "owner" })
	host.setDraining(false)
	require.Equal(t, descriptor.Completed, c.submit(host, s).Kind())
	require.Len(t, c.runs(s.Key), 1)
	require.Nil(t, host.guests.get(s.Key))
}
