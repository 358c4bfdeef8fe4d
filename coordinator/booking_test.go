package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// wideCell returns a cell of n targets of 32 cores with many instances, whose
// queues "wide" and "small" have policies that permit every third target. A call
// for "wide" that names all targets takes as long as its tickets are valid.
func wideCell(t *testing.T, n int) (*wide, *cell) {
	t.Helper()
	x := newCell(t, 1, 0, nil)
	for i := range 40 {
		x.c.Join(&linker.Hello{Instance: w.InstanceID(fmt.Sprintf("i%02d", i))})
	}
	x.c.Configure(&w.Config{Version: 2, Queues: []w.Queue{
		{Name: "wide", Service: "s", Attempts: 4, Priority: 1, Advice: &w.AdviceTiming{BaseLatency: 640 * time.Millisecond, LatencyPerTarget: 9 * time.Millisecond, TicketValidity: validity}},
		{Name: "small", Service: "s", Attempts: 4, Priority: 1},
	}})
	var list []w.Target
	for i := range n {
		list = append(list, w.Target{ID: w.TargetID(fmt.Sprintf("t%04d", i)), Service: "s", Address: "x", Incarnation: 1, Capacity: w.Resources{CPU: 32000, Mem: 131072}})
	}
	x.c.SetTargets(list, true, x.now)
	d := &wide{x: x, runs: make(map[w.TaskID]liveRun)}
	d.play(0)
	for _, tg := range x.c.order {
		x.c.Receive(tg.member.id, &linker.Frame{Reports: []linker.Report{{Target: tg.ID, Incarnation: 1, Complete: true}}}, x.now)
	}
	return d, x
}

// wide plays the instances, targets and the advice service of a cell.
type wide struct {
	x       *cell
	answers []dueAdvice
	runs    map[w.TaskID]liveRun
	seq     map[w.TargetID]int64
	started map[w.JobID]time.Time
	lapsed  int // starts with a ticket that had run out
	tickets map[string]time.Time
}

type dueAdvice struct {
	at     time.Time
	member w.InstanceID
	ask    linker.Ask
}

type liveRun struct {
	start linker.Start
	until time.Time
}

func (d *wide) play(dt time.Duration) {
	x := d.x
	if d.seq == nil {
		d.seq, d.started, d.tickets = make(map[w.TargetID]int64), make(map[w.JobID]time.Time), make(map[string]time.Time)
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
			cost := 640*time.Millisecond + time.Duration(len(a.Targets))*9*time.Millisecond
			d.answers = append(d.answers, dueAdvice{x.now.Add(cost), id, a})
		}
		for _, s := range f.Starts {
			if until, ok := d.tickets[s.Ticket]; s.Ticket != "" && (!ok || x.now.After(until)) {
				d.lapsed++
			}
			if _, ok := d.started[s.Task.Job]; !ok {
				d.started[s.Task.Job] = x.now
			}
			j := x.c.jobs[s.Task.Job]
			d.runs[s.Task] = liveRun{s, x.now.Add(j.Steps[s.Task.Step].Estimate)}
			x.c.Receive(id, &linker.Frame{Results: []linker.Result{{Target: s.Target, Task: s.Task, Run: s.Run, Outcome: linker.Started}}}, x.now)
		}
	}
}

// deliver hands over the answers and ends that are due.
func (d *wide) deliver() {
	x := d.x
	var rest []dueAdvice
	for _, a := range d.answers {
		if x.now.Before(a.at) {
			rest = append(rest, a)
			continue
		}
		r := linker.Advice{ID: a.ask.ID}
		for _, t := range a.ask.Targets {
			var n int
			_, _ = fmt.Sscanf(string(t), "t%d", &n)
			if n%3 == 0 {
				ticket := fmt.Sprint(a.ask.ID, t)
				d.tickets[ticket] = x.now.Add(validity)
				r.Good, r.Tickets = append(r.Good, t), append(r.Tickets, ticket)
			}
		}
		x.c.Receive(a.member, &linker.Frame{Advice: []linker.Advice{r}}, x.now)
	}
	d.answers = rest
	for id, r := range d.runs {
		if x.now.Before(r.until) {
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

// TestWidestGangStarts guards against a gang of one task a target that never
// starts in an empty cell: the tickets of its first call had run out when the
// third was answered.
func TestWidestGangStarts(t *testing.T) {
	d, x := wideCell(t, 1100)
	x.submit(wideGang("gang", 160))
	begin := x.now
	for x.now.Sub(begin) < 5*time.Second {
		d.play(20 * time.Millisecond)
	}
	require.False(t, d.started["gang"].IsZero(), "the gang never started")
	require.Zero(t, d.lapsed)
	t.Logf("started after %v", d.started["gang"].Sub(begin))
}

// TestGangGetsRoomBesideSmallWork guards against a gang that waits for ever in a
// cell that smaller work of the same priority keeps full: whatever room ended
// runs left was taken again before the gang had all its tickets.
func TestGangGetsRoomBesideSmallWork(t *testing.T) {
	d, x := wideCell(t, 120)
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
		for len(x.c.active) < 20 {
			small()
		}
		if gangAt.IsZero() && x.now.Sub(begin) > 4*time.Second {
			x.submit(wideGang("gang", 24))
			gangAt = x.now
		}
		d.play(20 * time.Millisecond)
	}
	require.False(t, d.started["gang"].IsZero(), "the gang never started")
	require.Zero(t, d.lapsed)
	wait := d.started["gang"].Sub(gangAt)
	t.Logf("started after %v", wait)
	require.Less(t, wait, 8*time.Second)
}
