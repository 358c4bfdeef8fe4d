package coordinator

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// newCrowdedCell returns the coordinator of a cell whose 350 targets are full of long
// tasks while about 2,000 further ones wait.
func newCrowdedCell(tb testing.TB) (*Coordinator, time.Time) {
	tb.Helper()
	return newFilledCell(tb, 350, 39, 160, 0)
}

// newFilledCell returns the coordinator of a full cell in which jobs of 25 tasks and
// gangs of 40 tasks wait.
func newFilledCell(tb testing.TB, targets, instances, jobs, gangs int) (*Coordinator, time.Time) {
	tb.Helper()
	const width = 25
	now := time.Unix(1_800_000_000, 0)
	c := New(Settings{
		Epoch: 1, Self: "self", Lease: 6 * time.Second, StopTimeout: 200 * time.Millisecond,
		Retention: time.Minute, Log: slog.New(slog.DiscardHandler),
	}, now)
	advice := &w.AdviceTiming{BaseLatency: 130 * time.Millisecond, LatencyPerTarget: 2 * time.Millisecond, TicketValidity: 2 * time.Second}
	c.Configure(&w.Config{Version: 1, Queues: []w.Queue{
		{Name: testQueue, Service: "s", Attempts: 4, Priority: 2, Advice: advice},
		{Name: "gangs", Service: "s", Attempts: 4, Priority: 1, Advice: &w.AdviceTiming{BaseLatency: 640 * time.Millisecond, LatencyPerTarget: 9 * time.Millisecond, TicketValidity: 2 * time.Second}},
		{Name: "urgent", Service: "s", Attempts: 4, Advice: &w.AdviceTiming{BaseLatency: 10 * time.Millisecond, TicketValidity: 2 * time.Second}},
	}})
	for i := range instances {
		c.Join(&linker.Hello{Instance: w.InstanceID(fmt.Sprintf("i%02d", i))})
	}
	var list []w.Target
	for i := range targets {
		list = append(list, w.Target{
			ID: w.TargetID(fmt.Sprintf("t%03d", i)), Service: "s", Address: "x", Incarnation: 1,
			Capacity: w.Resources{CPU: 32000, Mem: 131072}, Labels: []string{"a", fmt.Sprintf("r%d", i/8)},
		})
	}
	c.SetTargets(list, true, now)
	respondAll(c, now)
	for i := range jobs {
		c.AddJob(&w.Job{ID: w.JobID(fmt.Sprintf("%016x", i+1)), Queue: testQueue, Steps: []w.Step{{Count: width, Need: w.Resources{CPU: 5600, Mem: 6000}}}}, true)
	}
	for i := range gangs {
		c.AddJob(&w.Job{ID: w.JobID(fmt.Sprintf("%016x", 1<<32+i)), Queue: "gangs", Steps: []w.Step{{Count: 40, Gang: true, Estimate: 5 * time.Second, Need: w.Resources{CPU: 9000, Mem: 34000}}}}, true)
	}
	for range 60 {
		now = now.Add(10 * time.Millisecond)
		c.Advance(now)
		respondAll(c, now)
	}
	return c, now
}

// BenchmarkLargeCell measures a scheduling round after one change in a full cell of
// 1,100 targets in which 200 gangs and 100 other steps wait.
func BenchmarkLargeCell(b *testing.B) {
	c, now := newFilledCell(b, 1100, 147, 300, 200)
	b.ReportMetric(float64(len(c.backlog)), "steps")
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(5 * time.Millisecond)
		c.generation++
		c.Advance(now)
		if f := c.Flush(); f != nil {
			c.Stored(f)
		}
		c.Frames()
	}
}

// respondAll simulates the instances: it confirms starts, reports all runs, and answers
// advice calls with a policy that permits every second target.
func respondAll(c *Coordinator, now time.Time) {
	for b := c.Flush(); b != nil; b = c.Flush() {
		c.Stored(b)
	}
	c.Advance(now)
	for id, f := range c.Frames() {
		var back linker.Frame
		for _, a := range f.Asks {
			r := linker.Advice{ID: a.ID}
			for i, t := range a.Targets {
				if i%2 == 0 {
					r.Good, r.Tickets = append(r.Good, t), append(r.Tickets, "x")
				}
			}
			back.Advice = append(back.Advice, r)
		}
		for _, t := range c.sortedTargets {
			if t.member == nil || t.member.id != id {
				continue
			}
			r := linker.Report{Target: t.ID, Incarnation: t.Incarnation, Complete: true}
			for task, sl := range t.slots {
				r.Runs = append(r.Runs, w.Run{Task: task, Run: sl.run})
			}
			back.Reports = append(back.Reports, r)
		}
		c.Receive(id, &back, now)
	}
}

// BenchmarkCrowdedCell measures a scheduling round after one change in a full cell with
// 2,000 waiting tasks.
func BenchmarkCrowdedCell(b *testing.B) {
	c, now := newCrowdedCell(b)
	b.ReportAllocs()
	waiting := 0
	for _, s := range c.backlog {
		waiting += s.waiting
	}
	b.ReportMetric(float64(waiting), "waiting")
	for b.Loop() {
		now = now.Add(time.Millisecond)
		c.generation++
		c.Advance(now)
		c.Frames()
	}
}

// BenchmarkBusyCell measures a scheduling round at peak load in a cell of 1,100 targets:
// runs end, advice calls are answered, and 300 steps wait while others are started.
func BenchmarkBusyCell(b *testing.B) {
	c, now := newFilledCell(b, 1100, 147, 350, 60)
	next := 0
	var answers []linker.Advice
	var from []w.InstanceID
	b.ReportAllocs()
	urgent := 0
	type live struct {
		start linker.Start
		round int
	}
	var runs []live
	for b.Loop() {
		now = now.Add(5 * time.Millisecond)
		urgent++
		c.AddJob(&w.Job{ID: w.JobID(fmt.Sprint("urgent", urgent)), Queue: "urgent", Steps: []w.Step{{
			Count: 4, Gang: urgent%3 == 0, Estimate: 850 * time.Millisecond, Need: w.Resources{CPU: 7800, Mem: 22000},
		}}}, true)
		for i, a := range answers {
			c.Receive(from[i], &linker.Frame{Advice: []linker.Advice{a}}, now)
		}
		answers, from = answers[:0], from[:0]
		for len(runs) > 0 && runs[0].round+170 < urgent {
			s := runs[0].start
			runs = runs[1:]
			if t := c.targets[s.Target]; t.slots[s.Task] != nil {
				c.Receive(t.member.id, &linker.Frame{Reports: []linker.Report{{Target: t.ID, Incarnation: t.Incarnation, Ends: []w.End{
					{Seq: t.endSeq + 1, Task: s.Task, Run: s.Run, How: w.EndedDone},
				}}}}, now)
			}
		}
		for range 6 {
			next = (next + 7) % len(c.sortedTargets)
			t := c.sortedTargets[next]
			for id, sl := range t.slots {
				if c.priority(sl.step.job) == 0 {
					continue
				}
				c.Receive(t.member.id, &linker.Frame{Reports: []linker.Report{{Target: t.ID, Incarnation: t.Incarnation, Ends: []w.End{
					{Seq: t.endSeq + 1, Task: id, Run: sl.run, How: w.EndedStopped},
				}}}}, now)
				break
			}
		}
		c.Advance(now)
		if f := c.Flush(); f != nil {
			c.Stored(f)
		}
		for id, f := range c.Frames() {
			for _, a := range f.Asks {
				r := linker.Advice{ID: a.ID}
				for i, t := range a.Targets {
					if i%3 == 0 {
						r.Good, r.Tickets = append(r.Good, t), append(r.Tickets, "x")
					}
				}
				answers, from = append(answers, r), append(from, id)
			}
			for _, s := range f.Stops {
				t := c.targets[s.Target]
				c.Receive(id, &linker.Frame{Reports: []linker.Report{{Target: t.ID, Incarnation: t.Incarnation, Ends: []w.End{
					{Seq: t.endSeq + 1, Task: s.Task, Run: s.Run, How: w.EndedStopped},
				}}}}, now)
			}
			for _, s := range f.Starts {
				c.Receive(id, &linker.Frame{Results: []linker.Result{{Target: s.Target, Task: s.Task, Run: s.Run}}}, now)
				if c.priority(c.jobs[s.Task.Job]) == 0 {
					runs = append(runs, live{s, urgent})
				}
			}
		}
	}
	b.ReportMetric(float64(len(c.backlog)), "steps")
}
