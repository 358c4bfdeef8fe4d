package executor

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// scripted answers calls as a test says.
type scripted struct {
	mu    sync.Mutex
	start func(n int) (Reply, error)
	tries int
	lists HoldReply
	stops int
}

func (s *scripted) Start(context.Context, Target, *StartCall) (Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tries++
	return s.start(s.tries)
}

func (s *scripted) Stop(context.Context, Target, w.TaskID, w.RunID, w.Epoch) (Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stops++
	return Reply{}, nil
}

func (s *scripted) Hold(ctx context.Context, _ Target, c *HoldCall) (HoldReply, error) {
	select {
	case <-time.After(min(c.Wait, 20*time.Millisecond)):
	case <-ctx.Done():
		return HoldReply{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists, nil
}

func (s *scripted) Advise(context.Context, string, []w.TargetID) ([]Ticket, error) { return nil, nil }

// collector gathers what an executor sends.
type collector struct {
	mu  sync.Mutex
	all linker.Frame
}

func (c *collector) send(f *linker.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all.Results = append(c.all.Results, f.Results...)
	c.all.Reports = append(c.all.Reports, f.Reports...)
}

func (c *collector) outcomes() []linker.Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []linker.Outcome
	for _, r := range c.all.Results {
		out = append(out, r.Outcome)
	}
	return out
}

func (c *collector) ends() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.all.Reports {
		n += len(r.Ends)
	}
	return n
}

var errLost = errors.New("no answer")

func run(t *testing.T, s *scripted) (*Executor, *collector) {
	t.Helper()
	c := new(collector)
	e := &Executor{Caller: s, Log: slog.New(slog.DiscardHandler), Send: c.send}
	e.Run()
	t.Cleanup(e.Close)
	e.Receive(&linker.Frame{Assign: &linker.Assign{Epoch: 1, Lease: 6 * time.Second, Targets: []linker.AssignedTarget{{ID: "a", Incarnation: 1}}}})
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.all.Reports) > 0
	}, 2*time.Second, 5*time.Millisecond)
	return e, c
}

// TestEndedRunIsNotCalledNotStarted guards against a second run of a task: the
// answer to its start was lost, it ended as done, and the repeated start was
// rejected.
func TestEndedRunIsNotCalledNotStarted(t *testing.T) {
	id := w.TaskID{Job: "j"}
	s := &scripted{lists: HoldReply{Clock: 1000, Incarnation: 1}}
	s.start = func(n int) (Reply, error) {
		if n == 1 {
			s.lists.Ends = []w.End{{Seq: 1, Task: id, Run: 5, How: w.EndedDone}}
			return Reply{}, errLost
		}
		return Reply{Outcome: linker.Overtaken, Clock: 1001}, nil
	}
	e, c := run(t, s)
	e.Receive(&linker.Frame{Starts: []linker.Start{{Target: "a", Task: id, Run: 5}}})
	require.Eventually(t, func() bool { return c.ends() == 1 }, 2*time.Second, 5*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	require.NotContains(t, c.outcomes(), linker.NotStarted)
}

// TestUnansweredStartIsSettled guards against a task that waits for ever after
// its start got no answer and never arrived.
func TestUnansweredStartIsSettled(t *testing.T) {
	s := &scripted{lists: HoldReply{Clock: 1000, Incarnation: 1}}
	s.start = func(int) (Reply, error) { return Reply{}, errLost }
	e, c := run(t, s)
	e.Receive(&linker.Frame{Starts: []linker.Start{{Target: "a", Task: w.TaskID{Job: "j"}, Run: 5}}})
	require.Eventually(t, func() bool {
		o := c.outcomes()
		return len(o) == 2 && o[0] == linker.Unsettled && o[1] == linker.NotStarted
	}, 3*time.Second, 10*time.Millisecond)
}

// TestPausedInstanceSendsNoOldOrders guards against an instance that acts on a
// permission that has run out: it was paused with an order in its hands, its targets
// were given to another instance, and it starts the run or extends the leases when
// it goes on.
func TestPausedInstanceSendsNoOldOrders(t *testing.T) {
	s := &scripted{lists: HoldReply{Clock: 1000, Incarnation: 1}}
	s.start = func(int) (Reply, error) { return Reply{Outcome: linker.Started}, nil }
	e, c := run(t, s)
	e.mu.Lock()
	l := e.loops["a"]
	e.mu.Unlock()
	l.cancel() // as if the process stood still
	l.mu.Lock()
	l.heard = l.heard.Add(-startLife - time.Second)
	l.mu.Unlock()
	e.Receive(&linker.Frame{Starts: []linker.Start{{Target: "a", Task: w.TaskID{Job: "j"}, Run: 5}}})
	require.Eventually(t, func() bool { return len(c.outcomes()) == 1 }, time.Second, 5*time.Millisecond)
	require.Equal(t, []linker.Outcome{linker.NotStarted}, c.outcomes())
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Zero(t, s.tries)
}
