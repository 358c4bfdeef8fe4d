package main

import (
	"fmt"
	"time"
)

func init() {
	plays["filled"] = filled
	plays["crash-loop"] = crashLoop
	plays["reserved"] = reserved
	plays["second-loss"] = secondLoss
}

// The rule LOST counts a task that lasts and has no run from 6 s after its last run on, if
// that takes 3 s in which there is capacity for it twice over, and these and the 4 s before
// them are calm. slack is added for the resolution of the observation.
const (
	lostAfter = 6*time.Second + 3*time.Second
	slack     = time.Second
)

// lasting returns a step of tasks that run until the job is cancelled.
func lasting(count int, cpu, mem int64, more map[string]any) (map[string]any, behaviour) {
	step := map[string]any{"count": count, "cpu": cpu, "memMb": mem, "estRuntimeMs": 60000, "longRunning": true}
	for k, v := range more {
		step[k] = v
	}
	b := behaviour{lasting: true, cpu: cpu, mem: mem}
	if ms, ok := more["targetMs"].(int); ok {
		b.targetMs = int64(ms)
	}
	return step, b
}

// await waits until a condition holds.
func await(what string, limit time.Duration, holds func() bool) error {
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			return fmt.Errorf("after %v: not so: %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// allRun reports whether all tasks of a step run.
func (c *cell) allRun(id string, count int) bool {
	for i := range count {
		if c.watch.runsNow(fmt.Sprintf("%s.0.0.%d", id, i)) == "" {
			return false
		}
	}
	return true
}

// workerOf returns the worker that runs a task, or nil.
func (c *cell) workerOf(task string) *worker {
	on := c.watch.runsNow(task)
	for _, w := range c.workers {
		if w.id == on {
			return w
		}
	}
	return nil
}

// judgeGap records the longest time without a run and reports whether it is too long.
func (c *cell) judgeGap(task string) bool {
	g := c.watch.longestGap(task, time.Now())
	d := g.to.Sub(g.from)
	c.rec.sayf("longest time of %s without a run: %v", task, d.Round(10*time.Millisecond))
	return d > lostAfter+slack
}

// filled: a task that serves runs on one worker, tasks that fill on all others. The worker of
// the serving task is lost for good. All other workers have room.
func filled(rec *record, trouble bool) (bool, error) {
	const workers = 16
	c, err := newCell(rec, workers, 6, []map[string]any{route("r-serve", "/serve/", 1), route("r-fill", "/fill/", 2)}, nil)
	if err != nil {
		return false, err
	}
	defer c.close()
	serving, fills := newID(), newID()
	step, does := lasting(1, 2000, 4096, map[string]any{"targetMs": 100, "mayMiss": 1, "image": "web"})
	if err := c.submit("/serve/", serving, []map[string]any{step}, []behaviour{does}); err != nil {
		return false, err
	}
	task := serving + ".0.0.0"
	if err := await("the serving task runs", 10*time.Second, func() bool { return c.watch.runsNow(task) != "" }); err != nil {
		return false, err
	}
	fill := map[string]any{"count": workers - 1, "cpu": 8000, "memMb": 2048, "estRuntimeMs": 600000, "fills": true, "antiAffinity": 1, "checkpointing": true, "image": "batch"}
	if err := c.submit("/fill/", fills, []map[string]any{fill}, []behaviour{{work: 10 * time.Minute, checkpointing: true, cpu: 8000, mem: 2048, fills: true}}); err != nil {
		return false, err
	}
	if err := await("all tasks that fill run", 15*time.Second, func() bool { return c.allRun(fills, workers-1) }); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	if w := c.workerOf(task); trouble && w != nil {
		w.crash(false, true)
	}
	time.Sleep(45 * time.Second)
	rec.sayf("the serving job is shown as %s", c.state("/serve/", serving))
	return c.judgeGap(task), nil
}

// crashLoop: a job that lasts has one task on each worker. One worker crashes, and crashes
// again twice shortly after it has got its task back.
func crashLoop(rec *record, trouble bool) (bool, error) {
	const (
		workers = 16
		down    = 2 * time.Second
		after   = 100 * time.Millisecond
		crashes = 3
	)
	c, err := newCell(rec, workers, 6, []map[string]any{route("r-agents", "/agents/", 1)}, nil)
	if err != nil {
		return false, err
	}
	defer c.close()
	id := newID()
	step, does := lasting(workers, 1000, 1024, map[string]any{"antiAffinity": 1, "mayMiss": 1})
	if err := c.submit("/agents/", id, []map[string]any{step}, []behaviour{does}); err != nil {
		return false, err
	}
	if err := await("all tasks run", 15*time.Second, func() bool { return c.allRun(id, workers) }); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	if trouble {
		bad := c.workers[3]
		begun := make(chan bool, 8)
		c.onStart = func(w *worker, _ string, _ int64) {
			if w == bad {
				begun <- true
			}
		}
		bad.crash(false, false)
		for n := 1; ; n++ {
			time.Sleep(down)
			if err := bad.start(); err != nil {
				return false, err
			}
			if n == crashes {
				break
			}
			select {
			case <-begun:
			case <-time.After(25 * time.Second):
				return false, fmt.Errorf("worker %s gets no task after crash %d", bad.id, n)
			}
			time.Sleep(after)
			bad.crash(false, false)
		}
	}
	time.Sleep(25 * time.Second)
	state := c.state("/agents/", id)
	without, failed := 0, 0
	for i := range workers {
		task := fmt.Sprintf("%s.0.0.%d", id, i)
		if c.watch.runsNow(task) == "" {
			without++
		}
		_, f := c.watch.counts(task)
		failed += f
	}
	rec.sayf("the job is shown as %s; no run of it has ended failed: %v; %d of its %d tasks have no run", state, failed == 0, without, workers)
	return state == "failed" && failed == 0, nil
}

// reserved: tasks that last fill 12 of 16 workers, and bursts of urgent tasks come to the other
// four, of which they never use more than half of the processors. A task that lasts runs beside
// them. Its worker is lost for good.
func reserved(rec *record, trouble bool) (bool, error) {
	const (
		workers = 16
		plain   = 4 // workers without label b
		burst   = 32
		period  = 2 * time.Second
	)
	routes := []map[string]any{route("r-urgent", "/urgent/", 0), route("r-lasting", "/lasting/", 2)}
	routes[0]["targetLatencyMs"], routes[0]["stretch"] = 3000, 4.0
	c, err := newCell(rec, workers, 6, routes, func(i int, w *worker) {
		if i >= plain {
			w.labels[0] = "b"
		}
	})
	if err != nil {
		return false, err
	}
	defer c.close()
	big, small := newID(), newID()
	step, does := lasting(workers-plain, 16000, 8192, map[string]any{"requiredLabel": "b"})
	if err := c.submit("/lasting/", big, []map[string]any{step}, []behaviour{does}); err != nil {
		return false, err
	}
	step, does = lasting(1, 2000, 2048, map[string]any{"requiredLabel": "a"})
	if err := c.submit("/lasting/", small, []map[string]any{step}, []behaviour{does}); err != nil {
		return false, err
	}
	task := small + ".0.0.0"
	if err := await("all tasks that last run", 15*time.Second, func() bool { return c.allRun(big, workers-plain) && c.allRun(small, 1) }); err != nil {
		return false, err
	}
	// A task of a burst takes an eighth of a worker's processors and a quarter of its memory.
	urgent := map[string]any{"count": burst, "cpu": 2000, "memMb": 15000, "estRuntimeMs": 400, "requiredLabel": "a"}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			if err := c.submit("/urgent/", newID(), []map[string]any{urgent}, []behaviour{{work: 350 * time.Millisecond, cpu: 2000, mem: 15000}}); err != nil {
				rec.sayf("%v", err)
			}
			select {
			case <-ticker.C:
			case <-stop:
				return
			}
		}
	}()
	time.Sleep(6 * time.Second)
	if w := c.workerOf(task); trouble && w != nil {
		w.crash(false, true)
	}
	time.Sleep(45 * time.Second)
	return c.judgeGap(task), nil
}

// secondLoss: a worker crashes and starts again. Ten seconds later it is lost for good without
// a sign, with a task that lasts which it was given meanwhile.
func secondLoss(rec *record, trouble bool) (bool, error) {
	const workers = 16
	c, err := newCell(rec, workers, 6, []map[string]any{route("r-lasting", "/lasting/", 1)}, nil)
	if err != nil {
		return false, err
	}
	defer c.close()
	bad := c.workers[0]
	if trouble {
		bad.crash(false, false)
		time.Sleep(3 * time.Second)
		if err := bad.start(); err != nil {
			return false, err
		}
		time.Sleep(5 * time.Second)
	}
	id := newID()
	step, does := lasting(workers-2, 2000, 2048, map[string]any{"antiAffinity": 1})
	if err := c.submit("/lasting/", id, []map[string]any{step}, []behaviour{does}); err != nil {
		return false, err
	}
	if err := await("all tasks run", 15*time.Second, func() bool { return c.allRun(id, workers-2) }); err != nil {
		return false, err
	}
	task := ""
	for i := range workers - 2 {
		if t := fmt.Sprintf("%s.0.0.%d", id, i); c.watch.runsNow(t) == bad.id {
			task = t
		}
	}
	if task == "" {
		return false, fmt.Errorf("worker %s has no task", bad.id)
	}
	time.Sleep(4 * time.Second)
	if trouble {
		bad.crash(true, true)
	}
	time.Sleep(35 * time.Second)
	return c.judgeGap(task), nil
}
