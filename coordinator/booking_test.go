package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// newWideCell returns a cell with 40 instances and n targets of 32 cores, of which the
// policy of queue "wide" permits every third. An advice call takes 640 ms and 9 ms for
// each target, and its tickets are valid for 2 s.
func newWideCell(t *testing.T, n int) (*cellSimulator, *testCell) {
	t.Helper()
	x := newCell(t, 1, 0, nil)
	for i := range 40 {
		x.c.Join(&linker.Hello{Instance: w.InstanceID(fmt.Sprintf("i%02d", i))})
	}
	x.c.Configure(&w.Config{Version: 2, Queues: []w.Queue{
		{Name: "wide", Service: "s", Attempts: 4, Priority: 1, Advice: &w.AdviceTiming{BaseLatency: 640 * time.Millisecond, LatencyPerTarget: 9 * time.Millisecond, TicketValidity: ticketValidity}},
		{Name: "small", Service: "s", Attempts: 4, Priority: 1},
	}})
	var list []w.Target
	for i := range n {
		list = append(list, w.Target{ID: w.TargetID(fmt.Sprintf("t%04d", i)), Service: "s", Address: "x", Incarnation: 1, Capacity: w.Resources{CPU: 32000, Mem: 131072}})
	}
	x.c.SetTargets(list, true, x.now)
	d := &cellSimulator{cell: x, runs: make(map[w.TaskID]simulatedRun)}
	d.advance(0)
	for _, tg := range x.c.sortedTargets {
		x.c.Receive(tg.member.id, &linker.Frame{Reports: []linker.Report{{Target: tg.ID, Incarnation: 1, Complete: true}}}, x.now)
	}
	return d, x
}

// cellSimulator simulates the instances, targets and advice service of a cell.
type cellSimulator struct {
	cell                *testCell
	pendingAdvice       []pendingAdvice
	runs                map[w.TaskID]simulatedRun
	seq                 map[w.TargetID]int64
	startedAt           map[w.JobID]time.Time
	expiredTicketStarts int // starts with an expired ticket
	ticketExpiry        map[string]time.Time
}

type pendingAdvice struct {
	dueAt  time.Time
	member w.InstanceID
	ask    linker.Ask
}

type simulatedRun struct {
	start  linker.Start
	endsAt time.Time
}

// advance moves the clock forward, delivers due messages and carries out new orders.
func (d *cellSimulator) advance(dt time.Duration) {
	x := d.cell
	if d.seq == nil {
		d.seq, d.startedAt, d.ticketExpiry = make(map[w.TargetID]int64), make(map[w.JobID]time.Time), make(map[string]time.Time)
	}
	x.now = x.now.Add(dt)
	d.deliver()
	x.c.Advance(x.now)
	for b := x.c.Flush(); b != nil; b = x.c.Flush() {
		x.c.Stored(b)
	}
	x.c.Advance(x.now)
	for id, f := range x.c.Frames() {
		for _, a := range f.Asks {
			latency := 640*time.Millisecond + time.Duration(len(a.Targets))*9*time.Millisecond
			d.pendingAdvice = append(d.pendingAdvice, pendingAdvice{x.now.Add(latency), id, a})
		}
		for _, s := range f.Starts {
			if until, ok := d.ticketExpiry[s.Ticket]; s.Ticket != "" && (!ok || x.now.After(until)) {
				d.expiredTicketStarts++
			}
			if _, ok := d.startedAt[s.Task.Job]; !ok {
				d.startedAt[s.Task.Job] = x.now
			}
			j := x.c.jobs[s.Task.Job]
			d.runs[s.Task] = simulatedRun{s, x.now.Add(j.Steps[s.Task.Step].Estimate)}
			x.c.Receive(id, &linker.Frame{Results: []linker.Result{{Target: s.Target, Task: s.Task, Run: s.Run, Outcome: linker.Started}}}, x.now)
		}
	}
}

// deliver hands the coordinator the advice answers and ends of runs that are due.
func (d *cellSimulator) deliver() {
	x := d.cell
	var rest []pendingAdvice
	for _, a := range d.pendingAdvice {
		if x.now.Before(a.dueAt) {
			rest = append(rest, a)
			continue
		}
		r := linker.Advice{ID: a.ask.ID}
		for _, t := range a.ask.Targets {
			var n int
			_, _ = fmt.Sscanf(string(t), "t%d", &n)
			if n%3 == 0 {
				ticket := fmt.Sprint(a.ask.ID, t)
				d.ticketExpiry[ticket] = x.now.Add(ticketValidity)
				r.Good, r.Tickets = append(r.Good, t), append(r.Tickets, ticket)
			}
		}
		x.c.Receive(a.member, &linker.Frame{Advice: []linker.Advice{r}}, x.now)
	}
	d.pendingAdvice = rest
	for id, r := range d.runs {
		if x.now.Before(r.endsAt) {
			continue
		}
		delete(d.runs, id)
		d.seq[r.start.Target]++
		x.c.Receive(x.c.targets[r.start.Target].member.id, &linker.Frame{Reports: []linker.Report{{
			Target: r.start.Target, Incarnation: 1,
			Ends: []w.End{{Seq: d.seq[r.start.Target], Task: id, Run: r.start.Run, How: w.EndedDone}},
		}}}, x.now)
	}
}

func wideGang(id w.JobID, n int) w.Job {
	return w.Job{ID: id, Queue: "wide", Service: "s", Attempts: 4, Priority: 1, Steps: []w.Step{{
		Count: n, Gang: true, Estimate: 5 * time.Second, Need: w.Resources{CPU: 9000, Mem: 68000},
	}}}
}

// TestWidestGangStarts guards against a wide gang with one task per target that never
// starts in an empty cell, because the tickets of its first advice call expire before
// the third is answered.
func TestWidestGangStarts(t *testing.T) {
	d, x := newWideCell(t, 1100)
	x.submit(wideGang("gang", 160))
	begin := x.now
	for x.now.Sub(begin) < 5*time.Second {
		d.advance(20 * time.Millisecond)
	}
	require.False(t, d.startedAt["gang"].IsZero(), "the gang never started")
	require.Zero(t, d.expiredTicketStarts)
	t.Logf("started after %v", d.startedAt["gang"].Sub(begin))
}

// TestGangStartsAmongSmallTasks guards against starvation of a gang by smaller tasks of
// the same priority, which take all freed resources before the gang has all its
// tickets.
func TestGangStartsAmongSmallTasks(t *testing.T) {
	d, x := newWideCell(t, 120)
	n := 0
	small := func() {
		n++
		x.submit(w.Job{ID: w.JobID(fmt.Sprint("small", n)), Queue: "small", Service: "s", Attempts: 4, Priority: 1, Steps: []w.Step{{
			Count: 4, Estimate: time.Duration(1500+n%10*100) * time.Millisecond, Need: w.Resources{CPU: 15000, Mem: 20000},
		}}})
	}
	begin := x.now
	var gangAt time.Time
	for x.now.Sub(begin) < 20*time.Second {
		for len(x.c.backlog) < 20 {
			small()
		}
		if gangAt.IsZero() && x.now.Sub(begin) > 4*time.Second {
			x.submit(wideGang("gang", 24))
			gangAt = x.now
		}
		d.advance(20 * time.Millisecond)
	}
	require.False(t, d.startedAt["gang"].IsZero(), "the gang never started")
	require.Zero(t, d.expiredTicketStarts)
	wait := d.startedAt["gang"].Sub(gangAt)
	t.Logf("started after %v", wait)
	require.Less(t, wait, 8*time.Second)
}

// TestSuspectedGangStartsAmongShortTasks guards against a gang that never starts after a
// target has crashed under it: in a cell with a steady stream of short tasks, its targets
// are hardly ever all without a run that has just started, and it got tickets only then.
func TestSuspectedGangStartsAmongShortTasks(t *testing.T) {
	d, x := newWideCell(t, 24)
	n := 0
	begin := x.now
	for x.now.Sub(begin) < 20*time.Second {
		if x.now.Sub(begin)%(100*time.Millisecond) == 0 {
			for range 10 {
				n++
				x.submit(w.Job{ID: w.JobID(fmt.Sprint("small", n)), Queue: "small", Service: "s", Attempts: 4, Priority: 1, Steps: []w.Step{{
					Count: 1, Estimate: 200 * time.Millisecond, Need: w.Resources{CPU: 1000, Mem: 60000},
				}}})
			}
		}
		if x.now.Sub(begin) == 2*time.Second {
			x.submit(wideGang("gang", 5))
			r := x.c.jobs["gang"].occurrences[0].steps[0].crashes(0)
			r.crashed = []w.RunID{1}
		}
		d.advance(20 * time.Millisecond)
		for _, tg := range x.c.sortedTargets {
			tg.reportedAt, tg.health.progressedAt = x.now, x.now
		}
	}
	s := x.c.jobs["gang"].occurrences[0].steps[0]
	require.False(t, d.startedAt["gang"].IsZero(), "the gang never started: %v", s.reason)
	wait := d.startedAt["gang"].Sub(begin.Add(2 * time.Second))
	t.Logf("started after %v", wait)
	require.Less(t, wait, 8*time.Second)
}
