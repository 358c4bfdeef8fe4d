package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/emulator"
)

// newSplitCell returns a cell with two instances: the host owns the slices that
// contain targets, and the owner owns all other slices.
func newSplitCell(t *testing.T, targets int) (*testCell, *Dispatcher, *Dispatcher) {
	return newSplitCellWithDialer(t, targets, nil)
}

// newSplitCellWithDialer is like newSplitCell, with the given dialer of the host.
func newSplitCellWithDialer(t *testing.T, targets int, dialer connector.Dialer) (*testCell, *Dispatcher, *Dispatcher) {
	c := newTestCell(t, targets)
	owner, host := c.addInstance("owner", nil), c.addInstance("host", dialer)
	hasTarget := map[descriptor.SliceID]bool{}
	for _, target := range c.cell.Listing.Targets {
		hasTarget[target.ID.Slice()] = true
	}
	c.assignSlices("host", func(s descriptor.SliceID) bool { return hasTarget[s] })
	c.assignSlices("owner", func(s descriptor.SliceID) bool { return !hasTarget[s] })
	c.eventually(func() bool {
		recovered, owned := owner.Recovered()
		return owned > 0 && recovered == owned
	})
	return c, owner, host
}

// ownedRequestID returns a request ID with the given prefix whose slice belongs to
// the instance "owner".
func ownedRequestID(t *testing.T, c *testCell, prefix string) string {
	for i := range 1000 {
		id := prefix + string(rune('a'+i%26)) + string(rune('a'+i/26))
		if c.owners.owners[testKey(id).Slice()] == "owner" {
			return id
		}
	}
	t.Fatal("no request id in a slice of the owner found")
	return ""
}

// TestHostRunsOfferedWork guards against refusing requests of an owner without
// free capacity while another instance of the data centre has some.
func TestHostRunsOfferedWork(t *testing.T) {
	for _, kind := range []string{"plan", "settlement", "stairwell"} {
		c, owner, _ := newSplitCell(t, 2)
		s := c.submission(ownedRequestID(t, c, "r"), kind, emulator.Payload{RunMs: 20})
		require.Equal(t, descriptor.Completed, c.submit(owner, s).Kind(), kind)
		require.Len(t, c.runs(s.Key), c.rules.Kinds[s.Kind].Tasks, kind)
	}
}

// TestOfferedWorkStaysWithOwner guards against a host that starts a request that
// has an outcome, that the owner no longer owns, or that may be running elsewhere.
func TestOfferedWorkStaysWithOwner(t *testing.T) {
	c, owner, host := newSplitCell(t, 2)
	s := c.submission(ownedRequestID(t, c, "r"), "plan", emulator.Payload{RunMs: 60_000})
	_, err := owner.Begin(context.Background(), s)
	require.NoError(t, err)
	c.eventually(func() bool { return len(c.runs(s.Key)) == 1 })
	confirmRunning := ConfirmRequest{Key: s.Key, Host: "host", Targets: []descriptor.TargetID{"t0"}}
	require.False(t, owner.HandleConfirm(confirmRunning).OK, "an attempt is running")

	h, err := owner.Cancel(context.Background(), s.Key)
	require.NoError(t, err)
	<-h.Done()
	require.False(t, owner.HandleConfirm(confirmRunning).OK, "the request has an outcome")

	// A host whose targets are leaving keeps the next request waiting.
	c.setFaults(emulator.Faults{Leaving: true})
	c.eventually(func() bool {
		for _, info := range host.Targets() {
			if !info.Leaving {
				return false
			}
		}
		return true
	})
	waiting := c.submission(ownedRequestID(t, c, "w"), "plan", emulator.Payload{RunMs: 1})
	_, err = owner.Begin(context.Background(), waiting)
	require.NoError(t, err)
	confirmWaiting := ConfirmRequest{Key: waiting.Key, Host: "host", Targets: []descriptor.TargetID{"t0"}}
	c.owners.setSuspended("owner", true)
	require.False(t, owner.HandleConfirm(confirmWaiting).OK, "the owner has no grant")
	c.owners.setSuspended("owner", false)
	c.eventually(func() bool { return owner.HandleConfirm(confirmWaiting).OK })
	require.False(t, owner.HandleConfirm(confirmWaiting).OK, "the start was already confirmed")
}

// TestLostConfirmation guards against a request that hangs because the owner
// confirmed a start that the host never carried out.
func TestLostConfirmation(t *testing.T) {
	c, owner, _ := newSplitCell(t, 2)
	s := c.submission(ownedRequestID(t, c, "r"), "plan", emulator.Payload{RunMs: 1})
	c.setFaults(emulator.Faults{Leaving: true})
	time.Sleep(300 * time.Millisecond)
	h, err := owner.Begin(context.Background(), s)
	require.NoError(t, err)
	confirm := ConfirmRequest{Key: s.Key, Host: "host", Targets: []descriptor.TargetID{"t0"}}
	c.eventually(func() bool { return owner.HandleConfirm(confirm).OK })
	c.setFaults(emulator.Faults{})
	select {
	case <-h.Done():
	case <-time.After(testTimeout):
		t.Fatal("the request got no outcome before the timeout")
	}
	o, err := h.Result()
	require.NoError(t, err)
	require.Equal(t, descriptor.Completed, o.Kind())
	require.Len(t, c.runs(s.Key), 1)
}

// TestGangTooLargeForEachInstance guards against a gang that waits until its
// deadline although no instance owns enough targets to run it.
func TestGangTooLargeForEachInstance(t *testing.T) {
	c := newTestCell(t, 2)
	a, b := c.addInstance("a", nil), c.addInstance("b", nil)
	slice := descriptor.TargetID("t0").Slice()
	c.assignSlices("b", func(s descriptor.SliceID) bool { return s != slice })
	c.assignSlices("a", func(s descriptor.SliceID) bool { return s == slice })
	c.eventually(func() bool {
		for _, d := range []*Dispatcher{a, b} {
			if recovered, owned := d.Recovered(); recovered < owned {
				return false
			}
		}
		return true
	})
	s := c.submission("r1", "stairwell", emulator.Payload{RunMs: 1})
	s.Tasks = 5
	owner := b
	if s.Key.Slice() == slice {
		owner = a
	}
	o := c.submit(owner, s)
	require.Equal(t, descriptor.Refused, o.Kind())
	require.Equal(t, descriptor.ReasonNeverFits, o.Reason())
	require.Empty(t, c.runs(s.Key))
}

// TestHostBecomesOwner guards against a request that gets no outcome because its
// new owner still holds it as a hosted request of the earlier owner.
func TestHostBecomesOwner(t *testing.T) {
	c, _, host := newSplitCell(t, 2)
	host.setDraining(true) // the host starts nothing, so the hosted request waits
	s := c.submission(ownedRequestID(t, c, "r"), "plan", emulator.Payload{RunMs: 1})
	waiting := &hostedRequest{owner: "owner", request: &descriptor.Request{
		Key: s.Key, Kind: s.Kind, Team: "team", Idempotent: true, Tasks: 1, Payload: s.Payload,
		Resources: descriptor.Resources{CPU: 1000, Memory: 64, Slots: 1}, Deadline: time.Now().Add(time.Minute),
	}}
	require.True(t, host.hosted.add(s.Key, waiting))
	require.Nil(t, host.cfg.Scheduler.Submit(waiting.request))

	c.crash("owner")
	c.assignSlices("host", func(slice descriptor.SliceID) bool { return c.owners.owners[slice] == "owner" })
	host.setDraining(false)
	require.Equal(t, descriptor.Completed, c.submit(host, s).Kind())
	require.Len(t, c.runs(s.Key), 1)
	require.Nil(t, host.hosted.get(s.Key))
}

// TestHostedStartDuringReport guards against a report that covers the targets of a
// host although the host began to start a request before the report was requested
// and ended after a part of it was collected. The owner would take the tasks for
// not started and run them again.
func TestHostedStartDuringReport(t *testing.T) {
	c, _, host := newSplitCell(t, 2)
	key := testKey(ownedRequestID(t, c, "r"))
	hr := &hostedRequest{owner: "owner", request: &descriptor.Request{Key: key}}
	require.True(t, host.hosted.add(key, hr))
	request := SliceTasksRequest{Slices: []descriptor.SliceID{key.Slice()}}
	c.eventually(func() bool { return len(host.HandleSliceTasks(request).Covered) > 0 })

	host.hosted.setConfirming(hr, true)
	w := host.worker("t0")
	w.mu.Lock()
	reply := make(chan SliceTasksReply)
	go func() { reply <- host.HandleSliceTasks(request) }()
	time.Sleep(50 * time.Millisecond) // the report waits for the worker
	host.hosted.setConfirming(hr, false)
	w.mu.Unlock()
	require.Empty(t, (<-reply).Covered)
}
