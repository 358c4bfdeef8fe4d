package measurer

import (
	"container/heap"
	"time"

	"github.com/jonboulle/clockwork"
)

// Driver runs events in the order of a fake clock. It is used from one
// goroutine.
type Driver struct {
	// Clock shows the time of the current event.
	Clock *clockwork.FakeClock

	start  time.Time
	events eventHeap
	count  uint64
}

// NewDriver returns a driver at time 0.
func NewDriver() *Driver {
	start := time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)
	return &Driver{Clock: clockwork.NewFakeClockAt(start), start: start}
}

// Elapsed returns the time since the driver's start.
func (d *Driver) Elapsed() time.Duration { return d.Clock.Now().Sub(d.start) }

// At runs f at a time since the driver's start. Events of the same time run in
// the order in which they were added.
func (d *Driver) At(at time.Duration, f func()) {
	d.count++
	heap.Push(&d.events, event{at: max(at, d.Elapsed()), order: d.count, run: f})
}

// After runs f after a delay.
func (d *Driver) After(delay time.Duration, f func()) { d.At(d.Elapsed()+delay, f) }

// Every runs f at each multiple of period until f returns false.
func (d *Driver) Every(period time.Duration, f func() bool) {
	d.After(period, func() {
		if f() {
			d.Every(period, f)
		}
	})
}

// Run runs all events up to the given time and leaves the clock there.
func (d *Driver) Run(until time.Duration) {
	for len(d.events) > 0 && d.events[0].at <= until {
		e := heap.Pop(&d.events).(event)
		if step := e.at - d.Elapsed(); step > 0 {
			d.Clock.Advance(step)
		}
		e.run()
	}
	if step := until - d.Elapsed(); step > 0 {
		d.Clock.Advance(step)
	}
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
