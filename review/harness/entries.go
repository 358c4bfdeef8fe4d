package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// playEnds: the store is down; a job ends and is shown as completed; the worker that ran
// it crashes; all instances are killed when the store is back.
func playEnds(p *platform, trouble bool) (bool, error) {
	const id = "00000000000000b1"
	var at atomic.Pointer[worker]
	var crashed time.Time
	p.onStart = func(k *worker, x *run) {
		if x.task == id+".0.0.0" {
			at.Store(k)
		}
	}
	if !p.submit(0, id, job("ms=2500", step{Count: 1, CPU: 500, Estimate: 2500}), 500) {
		return false, errNotRun
	}
	time.Sleep(time.Second)
	if trouble {
		p.rec.log("the store is down")
		p.store.setDown(true)
	}
	shown := p.waitState(id, 5*time.Second, "completed")
	if shown != "completed" {
		p.rec.log("job %s is shown as %q", id, shown)
		p.store.setDown(false)
		return false, nil
	}
	if trouble {
		at.Load().crash()
		crashed = time.Now()
		for _, d := range p.nodes {
			p.kill(d)
		}
		p.store.setDown(false)
		p.rec.log("the store is up")
		time.Sleep(500 * time.Millisecond)
		for _, d := range p.nodes {
			if err := p.start(d); err != nil {
				return false, err
			}
		}
	}
	inTouch := time.Now().Add(contactTime)
	if trouble {
		time.Sleep(time.Until(crashed.Add(workerDown)))
		if err := at.Load().boot(); err != nil {
			return false, err
		}
		p.rec.log("worker %s starts again", at.Load().id)
	}
	time.Sleep(20 * time.Second)
	shownAt := p.rec.states[id]
	broken := false
	for _, r := range p.rec.of(id) {
		if r.begin.Sub(shownAt) > time.Second && r.begin.After(inTouch) {
			broken = true
			p.rec.log("%s run %d started %.1f s after the job was shown as completed", r.task, r.id, r.begin.Sub(shownAt).Seconds())
		}
	}
	return broken, nil
}

// playProgress: a client hands in one scheduled job of many occurrences, among other
// jobs.
func playProgress(p *platform, trouble bool) (bool, error) {
	const big = "00000000000000d1"
	repeat := 100
	if trouble {
		repeat = 2500
	}
	j := job("ms=20", step{Count: 1, CPU: 100, Estimate: 20}, step{Count: 1, CPU: 100, Estimate: 20, After: []int{0}})
	j["repeatCount"], j["startAtMs"], j["intervalMs"] = repeat, time.Now().UnixMilli(), 12
	if !p.submit(0, big, j, 100) {
		return false, errNotRun
	}
	p.rec.log("client: job %s of %d occurrences, one each 12 ms, is accepted", big, repeat)
	var ids []string
	begin := time.Now()
	for i := 0; time.Since(begin) < 60*time.Second; i++ {
		id := fmt.Sprintf("%016x", 0xe000+i)
		if p.submit(i, id, job("ms=300", step{Count: 4, CPU: 100, Estimate: 300}), 100) {
			ids = append(ids, id)
		}
		time.Sleep(100 * time.Millisecond)
		if i%50 == 0 {
			unacked := 0
			for _, k := range p.workers {
				unacked += k.unacked()
			}
			p.rec.log("%d jobs accepted; %d ends that are not taken note of", len(ids), unacked)
		}
	}
	time.Sleep(14 * time.Second) // finish_s
	finish := time.Now()
	time.Sleep(3 * time.Second)
	used := 0
	for _, k := range p.workers {
		used += k.running()
	}
	open, idle := 0, 0
	for i, id := range ids {
		state := p.state(i, id)
		if state == "completed" {
			continue
		}
		open++
		// All tasks of these jobs may start at once, so one without a run since finish
		// whose number of runs is below that of its tasks has a task whose turn has come.
		runs, recent := p.rec.of(id), false
		for _, r := range runs {
			recent = recent || r.end.IsZero() || r.end.After(finish)
		}
		if len(runs) < 4 && !recent {
			if idle++; idle <= 10 {
				p.rec.log("17 s after the end of the traffic job %s is shown as %q, with %d runs of 4 tasks and none in the last 3 s", id, state, len(runs))
			}
		}
	}
	p.rec.log("%d of %d jobs have a task that has never started; %d tasks of 0.1 cores run on workers of %d cores", idle, len(ids), used, len(p.workers)*workerCPU/1000)
	unacked := 0
	for _, k := range p.workers {
		unacked += k.unacked()
	}
	p.rec.log("%d of %d jobs are not completed; %d ends are not taken note of", open, len(ids), unacked)
	return idle > 0, nil
}

// lastingGap returns the longest time, from 6 s after the end of each run of a task that
// lasts, for which the task had no run, until the given time.
func lastingGap(runs []runRecord, until time.Time) time.Duration {
	var longest time.Duration
	for i, r := range runs {
		if r.end.IsZero() {
			continue
		}
		next := until
		for _, o := range runs[i+1:] {
			if o.task == r.task && o.begin.Before(next) {
				next = o.begin
			}
		}
		longest = max(longest, next.Sub(r.end.Add(6*time.Second)))
	}
	return longest
}

// playStarved: a task that lasts fails once by itself, while the service is full with
// jobs of the same queue.
func playStarved(p *platform, trouble bool) (bool, error) {
	const id = "00000000000000e1"
	var at atomic.Pointer[worker]
	p.onStart = func(k *worker, x *run) {
		if x.task == id+".0.0.0" {
			at.Store(k)
		}
	}
	if !p.submit(0, id, job("", step{Count: 1, CPU: 7600, LongRunning: true}), 7600) {
		return false, errNotRun
	}
	time.Sleep(2 * time.Second)
	if at.Load() == nil {
		return false, errNotRun
	}
	begin := time.Now()
	var wg sync.WaitGroup
	// 7.5 jobs a second of 10 tasks of 0.98 cores and 1.9 s on the mean are 140 of 128
	// cores.
	for i := 0; time.Since(begin) < 40*time.Second; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.submit(i, fmt.Sprintf("%016x", 0xe000+i), job("ms=1000 uneven=180", step{Count: 10, CPU: 980, Estimate: 1900}), 980)
		}()
		time.Sleep(133 * time.Millisecond)
		if trouble && i == 80 && !at.Load().fail(id+".0.0.0") {
			return false, errNotRun
		}
		if trouble && i == 80 {
			p.rec.log("the task that lasts fails by itself on worker %s", at.Load().id)
		}
	}
	end := time.Now()
	wg.Wait()
	gap := lastingGap(p.rec.of(id), end)
	for _, r := range p.rec.of(id) {
		p.rec.log("%s run %d on %s: begins at %.1f s, ends %s", r.task, r.id, r.worker, r.begin.Sub(p.rec.start).Seconds(), r.how)
	}
	p.rec.log("from 6 s after its last run, and before the end of the traffic, the task had no run for %.1f s", max(0, gap.Seconds()))
	return gap >= 3*time.Second, nil
}

// playSharing: a job serves on each worker and lasts, and then a job that fills is
// handed in; after that the other way round. With TROUBLE=0 the first job of each pair
// is on half of the workers.
func playSharing(p *platform, trouble bool) (bool, error) {
	count := len(p.workers) / 2
	if trouble {
		count = len(p.workers)
	}
	serving := step{CPU: 1000, LongRunning: true, AntiAffinity: 1, Image: "web", TargetMs: 200}
	filling := step{CPU: 500, LongRunning: true, AntiAffinity: 1, Image: "batch", Fills: true}
	broken := false
	for i, pair := range [][2]step{{serving, filling}, {filling, serving}} {
		first, second := fmt.Sprintf("%016x", 0xe20+2*i), fmt.Sprintf("%016x", 0xe21+2*i)
		pair[0].Count, pair[1].Count = count, 2
		if !p.submit(0, first, job("", pair[0]), pair[0].CPU) {
			return false, errNotRun
		}
		time.Sleep(3 * time.Second)
		if n := len(p.rec.of(first)); n != count {
			p.rec.log("%d of %d tasks of job %s run", n, count, first)
			return false, errNotRun
		}
		if !p.submit(1, second, job("", pair[1]), pair[1].CPU) {
			return false, errNotRun
		}
		// The traffic ends here; finish_s is 14 s, and 3 s more have to pass.
		time.Sleep(17 * time.Second)
		runs := p.rec.of(second)
		p.rec.log("17 s after it was accepted, job %s (fills: %v) is shown as %q and has had %d runs; job %s (fills: %v) runs on %d of %d workers",
			second, pair[1].Fills, p.state(0, second), len(runs), first, pair[0].Fills, count, len(p.workers))
		broken = broken || len(runs) == 0
		for _, id := range []string{first, second} {
			if status, _ := p.call(p.nodes[0], "DELETE", id, nil); status != 200 {
				return broken, errNotRun
			}
			p.rec.log("client: DELETE %s: 200", id)
		}
		time.Sleep(2 * time.Second)
	}
	return broken, nil
}

// playDeadly: a task crashes each worker that starts it, a second after its start.
func playDeadly(p *platform, trouble bool) (bool, error) {
	const id = "00000000000000a2"
	const crashAfter, downFor = time.Second, 4500 * time.Millisecond
	var crashes atomic.Int64
	var afterThird atomic.Int64 // starts after three workers have crashed
	p.onStart = func(k *worker, x *run) {
		if x.task != id+".0.0.0" {
			return
		}
		if crashes.Load() >= 3 {
			afterThird.Add(1)
		}
		if !trouble {
			return
		}
		time.Sleep(crashAfter)
		k.crash()
		crashes.Add(1)
		time.Sleep(downFor)
		if err := k.boot(); err != nil {
			p.rec.log("worker %s doesn't start: %v", k.id, err)
			return
		}
		p.rec.log("worker %s is back", k.id)
	}
	if !p.submit(0, id, job("ms=2000", step{Count: 1, CPU: 500, Estimate: 2000}), 500) {
		return false, errNotRun
	}
	state := p.waitState(id, 60*time.Second, "completed", "failed")
	p.rec.log("job %s is shown as %q; %d workers crashed under it, and it was started %d times after three had", id, state, crashes.Load(), afterThird.Load())
	return afterThird.Load() >= 3, nil
}
