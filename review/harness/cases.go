package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// lastingGrace is the time from the last run of a task that lasts from which rule LOST
	// asks for another, and gapTime the time for which there may be none.
	lastingGrace = 6 * time.Second
	gapTime      = 3 * time.Second
	// calmBefore is the time without a disruption that precedes gapTime.
	calmBefore = 4 * time.Second
	// finishTime is bounds.finish_s.
	finishTime = 14 * time.Second
)

// playLasting loses a worker that runs a task that lasts, and later kills the leader.
func playLasting(p *platform, trouble bool) (bool, error) {
	const id = "00000000000000a1"
	j := job("", step{Count: 4, CPU: 1000, LongRunning: true, Estimate: 1000})
	if !p.submit(0, id, j, 1000) {
		return false, errNotRun
	}
	time.Sleep(2 * time.Second)
	if p.waitState(id, 5*time.Second, "running") != "running" {
		return false, errNotRun
	}
	var victim *worker
	for _, k := range p.workers {
		if k.running() > 0 {
			victim = k
		}
	}
	if victim == nil {
		return false, errNotRun
	}
	if !trouble {
		time.Sleep(20 * time.Second)
		return p.lastingGaps(id, time.Now()), nil
	}
	victim.crash() // for good
	time.Sleep(5 * time.Second)
	l := p.leader()
	if l == nil {
		return false, errNotRun
	}
	p.kill(l)
	time.Sleep(500 * time.Millisecond)
	if err := p.start(l); err != nil {
		return false, err
	}
	calm := time.Now()
	time.Sleep(25 * time.Second)
	return p.lastingGaps(id, calm), nil
}

// lastingGaps reports whether a task of a job that lasts had no run for gapTime, from
// lastingGrace after its last run and calmBefore after the last disruption on.
func (p *platform) lastingGaps(id string, calm time.Time) bool {
	last := map[string]runRecord{}
	broken := false
	judge := func(task string, end, next time.Time) {
		from := end.Add(lastingGrace)
		if c := calm.Add(calmBefore); c.After(from) {
			from = c
		}
		p.rec.log("task %s had no run for %.3f s", task, next.Sub(end).Seconds())
		if next.Sub(from) >= gapTime {
			p.rec.log("task %s had no run for %.3f s, counted from %.0f s after its last run and %.0f s after the last disruption", task, next.Sub(from).Seconds(), lastingGrace.Seconds(), calmBefore.Seconds())
			broken = true
		}
	}
	for _, r := range p.rec.of(id) {
		if l, ok := last[r.task]; ok {
			judge(r.task, l.end, r.begin)
		}
		last[r.task] = r
	}
	for task, r := range last {
		if !r.end.IsZero() {
			judge(task, r.end, time.Now())
		}
	}
	return broken
}

// playDropped removes the route of an accepted job, the second step of which is still to
// come.
func playDropped(p *platform, trouble bool) (bool, error) {
	const id = "00000000000000a2"
	j := job("ms=3000", step{Count: 2, CPU: 1000, Estimate: 3000}, step{Count: 2, CPU: 1000, Estimate: 3000, After: []int{0}})
	if !p.submit(0, id, j, 1000) {
		return false, errNotRun
	}
	time.Sleep(time.Second)
	route, other := p.route("q", prefix, service), p.route("o", "/oto5/", service)
	if trouble {
		p.configure(2, other)
	} else {
		p.configure(2, route, other)
	}
	trafficEnd := time.Now()
	time.Sleep(finishTime + gapTime)
	broken := false
	if turn := p.stepEnd(id, 0, 2); turn.IsZero() {
		return false, errNotRun
	} else if p.stepEnd(id, 1, 2).IsZero() && !p.runsBetween(id+".0.1.", trafficEnd.Add(finishTime), time.Now()) {
		p.rec.log("the turn of the second step came %.3f s ago; nothing of the job ran from %.0f s after the end of the traffic on, for %.0f s, and the workers run nothing else",
			time.Since(turn).Seconds(), finishTime.Seconds(), gapTime.Seconds())
		broken = true
	}
	p.configure(3, route, other)
	time.Sleep(300 * time.Millisecond)
	p.rec.log("client: GET %s: %s", id, p.state(0, id))
	return broken, nil
}

// stepEnd returns when the last of the n tasks of a step ended done, or the zero time.
func (p *platform) stepEnd(id string, index, n int) time.Time {
	var last time.Time
	done := 0
	for _, r := range p.rec.of(id) {
		if r.how == "done" && strings.HasPrefix(r.task, fmt.Sprintf("%s.0.%d.", id, index)) {
			done++
			if r.end.After(last) {
				last = r.end
			}
		}
	}
	if done < n {
		return time.Time{}
	}
	return last
}

// runsBetween reports whether a task whose name begins with prefix ran between two times.
func (p *platform) runsBetween(prefix string, from, to time.Time) bool {
	id, _, _ := strings.Cut(prefix, ".")
	for _, r := range p.rec.of(id) {
		if strings.HasPrefix(r.task, prefix) && r.begin.Before(to) && (r.end.IsZero() || r.end.After(from)) {
			return true
		}
	}
	return false
}

// playNested removes a route whose prefix begins with that of another one, and then hands
// in a job there.
func playNested(p *platform, trouble bool) (bool, error) {
	const before, after = "00000000000000b3", "00000000000000a3"
	const inner = prefix + "urgent/"
	outer, urgent := p.route("q", prefix, service), p.route("u", inner, otherService)
	p.configure(2, outer, urgent)
	time.Sleep(3 * time.Second)
	j := job("ms=300", step{Count: 1, CPU: 1000, Estimate: 300})
	if !p.submit(0, inner+before, j, 1000) {
		return false, errNotRun
	}
	time.Sleep(time.Second)
	if trouble {
		p.configure(3, outer)
	} else {
		p.configure(3, outer, urgent, p.route("o", "/oto5/", service))
	}
	time.Sleep(3 * configTime)
	status, _ := p.call(p.nodes[0], http.MethodPost, inner+after, j)
	p.rec.log("client: POST %s: %d", inner+after, status)
	time.Sleep(3 * time.Second)
	broken := false
	for _, r := range p.rec.all() {
		id, _, _ := strings.Cut(r.task, ".")
		if !strings.HasSuffix(id, after) && !strings.HasSuffix(id, before) {
			continue
		}
		of := ""
		for _, k := range p.workers {
			if k.id == r.worker {
				of = k.service
			}
		}
		p.rec.log("worker %s of the service %s was told to start %s", r.worker, of, r.task)
		// The client sent jobs with these two identifiers, to the route of the other service.
		broken = broken || (id != before && id != after) || of != otherService
	}
	return broken, nil
}

const (
	cancelTime   = 3 * time.Second // bounds.cancel_ms
	configTime   = 2 * time.Second // bounds.configApplyMs
	contactTime  = 3 * time.Second // bounds.contactMs
	lostAnswers  = 1800 * time.Millisecond
	lateBy       = 5500 * time.Millisecond
	clientLeaves = 500 * time.Millisecond
)

// playCancel cancels a job whose client got no answer, while the store loses answers and
// does the writes late.
func playCancel(p *platform, trouble bool) (bool, error) {
	const id = "00000000000000a4"
	j := job("ms=500", step{Count: 1, CPU: 1000, Estimate: 500})
	lead := p.leader()
	if lead == nil {
		return false, errNotRun
	}
	var first, second *node
	for _, d := range p.nodes {
		switch {
		case d == lead:
		case first == nil:
			first = d
		default:
			second = d
		}
	}
	writes, _ := p.store.counts()
	if trouble {
		p.store.setLate(func(r *row) bool { return r.Table == "jobs" && r.Key == id }, lateBy)
	}
	stable := time.Now().Add(lostAnswers + contactTime)
	status := p.callFor(first, http.MethodPost, id, j, clientLeaves)
	p.rec.log("client: POST %s at %s: %d (0: no answer in time, the client leaves)", id, first.name, status)
	cancelled, _ := p.call(second, http.MethodDelete, id, nil)
	acked := time.Now()
	p.rec.log("client: DELETE %s at %s: %d", id, second.name, cancelled)
	if cancelled != http.StatusOK && cancelled != http.StatusGone {
		return false, errNotRun
	}
	time.Sleep(time.Until(stable.Add(-contactTime)))
	p.store.setLate(nil, 0)
	n, lost := p.store.counts()
	p.rec.log("store: %d of %d writes got no answer; answers are no longer lost", lost, n-writes)
	time.Sleep(12 * time.Second)
	broken := false
	for _, r := range p.rec.of(id) {
		after := r.begin.Sub(acked)
		p.rec.log("task %s starts %.3f s after its job's cancelling was acknowledged", r.task, after.Seconds())
		broken = broken || (after > cancelTime && r.begin.After(stable))
	}
	return broken, nil
}

const (
	turnedAway  = 9 * time.Second
	partsSilent = 4500 * time.Millisecond
	workerDown  = 4500 * time.Millisecond
	// silentParts of the 64 parts of a table are silent: 0.3 of them.
	silentParts = 19
)

// playStale turns the leader away from the store while its successor can't load, and
// crashes the worker whose ends only the former leader has read.
func playStale(p *platform, trouble bool) (bool, error) {
	var ids []string
	for i := range 8 {
		ids = append(ids, fmt.Sprintf("%016x", 0xc0+i))
	}
	lead := p.leader()
	if lead == nil {
		return false, errNotRun
	}
	j := job("ms=3500", step{Count: 1, CPU: 1000, Estimate: 3500})
	for i, id := range ids {
		if !p.submit(i, id, j, 1000) {
			return false, errNotRun
		}
	}
	time.Sleep(time.Second)
	begin := time.Now()
	if trouble {
		p.rec.log("store: turns %s away for %v; %d of 64 parts are silent for %v", lead.name, turnedAway, silentParts, partsSilent)
		p.store.turnAway(lead.name, true)
		p.store.setSilent(func(part string) bool {
			n, err := strconv.Atoi(part)
			return err == nil && n < silentParts
		})
		time.AfterFunc(partsSilent, func() {
			p.store.setSilent(nil)
			p.rec.log("store: all parts answer again")
		})
	}
	at := 0
	for at < len(p.nodes) && p.nodes[at] != lead {
		at++
	}
	for time.Since(begin) < 3200*time.Millisecond {
		for _, id := range ids {
			p.state(at, id)
		}
		time.Sleep(50 * time.Millisecond)
	}
	victim := p.workers[0]
	for _, r := range p.rec.of(ids[0]) {
		for _, k := range p.workers {
			if k.id == r.worker {
				victim = k
			}
		}
	}
	if trouble {
		victim.crash()
		time.Sleep(workerDown)
		if err := victim.boot(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(begin.Add(turnedAway)))
	p.store.turnAway(lead.name, false)
	p.rec.log("store: turns nobody away")
	time.Sleep(10 * time.Second)
	stable := begin.Add(partsSilent + contactTime)
	broken := false
	for _, id := range ids {
		shown := p.rec.states[id]
		for _, r := range p.rec.of(id) {
			if !shown.IsZero() && r.begin.After(shown.Add(time.Second)) && r.begin.After(stable) {
				p.rec.log("task %s starts on worker %s %.3f s after a client was shown its job as completed", r.task, r.worker, r.begin.Sub(shown).Seconds())
				broken = true
			}
		}
	}
	return broken, nil
}
