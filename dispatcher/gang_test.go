package dispatcher

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/emulator"
)

// requireOneRunPerTask fails the test if a task of the request ran more than once or
// not at all.
func requireOneRunPerTask(t *testing.T, c *testCell, s Submission, what string) {
	t.Helper()
	runs := map[int]int{}
	for _, r := range c.runs(s.Key) {
		runs[r.Index]++
	}
	require.Len(t, runs, c.rules.Kinds[s.Kind].Tasks, what)
	for index, n := range runs {
		require.Equal(t, 1, n, "%s: runs of task %d", what, index)
	}
}

// maxGangGrants is at least the number of grants that starting a gang of three
// tasks takes.
const maxGangGrants = 8

// TestGrantsEndDuringGangStart guards against a gang of which only a part is
// started when its owner gives up its slices in between. The started tasks would be
// stopped and run again by the next owner.
func TestGrantsEndDuringGangStart(t *testing.T) {
	c := newTestCell(t, 3)
	owner, next := c.addInstance("a", nil), c.addInstance("b", nil)
	c.assignSlices("a", allSlices)
	for n := 1; n <= maxGangGrants; n++ {
		c.submit(owner, c.submission(fmt.Sprintf("warm%d", n), "plan", emulator.Payload{RunMs: 1}))
		s := c.submission(fmt.Sprintf("r%d", n), "stairwell", emulator.Payload{RunMs: 30})
		c.owners.limitGrants(owner.cfg.Self, n)
		h, err := owner.Begin(context.Background(), s)
		require.NoError(t, err)
		c.eventually(func() bool { return !c.owners.hasGrantsLeft(owner.cfg.Self) || h.r.isDone() })
		c.handOver(next.cfg.Self)
		c.owners.removeGrantLimit(owner.cfg.Self)
		require.Equal(t, descriptor.Completed, c.submit(next, s).Kind())
		requireOneRunPerTask(t, c, s, fmt.Sprintf("%d grants", n))
		owner, next = next, owner
	}
}

// TestGrantsEndDuringHostedGangStart guards against the failure of
// TestGrantsEndDuringGangStart for a gang that a host starts for its owner.
func TestGrantsEndDuringHostedGangStart(t *testing.T) {
	c, owner, _ := newSplitCell(t, 3)
	for n := range maxGangGrants {
		s := c.submission(ownedRequestID(t, c, fmt.Sprintf("r%d-", n)), "stairwell", emulator.Payload{RunMs: 30})
		c.owners.limitGrants("host", n)
		h, err := owner.Begin(context.Background(), s)
		require.NoError(t, err)
		c.endGrantLimit("host", h)
		requireOneRunPerTask(t, c, s, fmt.Sprintf("%d grants", n))
	}
}

// endGrantLimit gives the instance its slices back 100 ms after it has lost them,
// and waits until the request is completed.
func (c *testCell) endGrantLimit(id descriptor.InstanceID, h Handle) {
	c.t.Helper()
	c.eventually(func() bool { return !c.owners.hasGrantsLeft(id) || h.r.isDone() })
	time.Sleep(100 * time.Millisecond)
	c.owners.removeGrantLimit(id)
	c.eventually(h.r.isDone)
	o, err := h.Result()
	require.NoError(c.t, err)
	require.Equal(c.t, descriptor.Completed, o.Kind(), o.Reason().String())
}

// TestDrainWaitsForHostedStart guards against a host that stops while it sends the
// orders of a gang of another owner. The orders that are not sent yet would be
// aborted, and the started tasks would be stopped and run again.
func TestDrainWaitsForHostedStart(t *testing.T) {
	dialer := &delayedDialer{
		Dialer: &connector.HTTPDialer{Client: connector.NewHTTPClient(16, "")},
		delay:  testStartWindow / 2, once: make(chan struct{}, 1),
	}
	c, owner, host := newSplitCellWithDialer(t, 3, dialer)
	s := c.submission(ownedRequestID(t, c, "r"), "stairwell", emulator.Payload{RunMs: 500})
	h, err := owner.Begin(context.Background(), s)
	require.NoError(t, err)
	c.eventually(func() bool { return len(dialer.once) == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(t, host.Drain(ctx))
	requireOneRunPerTask(t, c, s, "at the end of Drain")
	c.eventually(h.r.isDone)
	requireOneRunPerTask(t, c, s, "after Drain")
}
