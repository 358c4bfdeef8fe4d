package measurer

import (
	"container/heap"
	"time"

	"github.com/jonboulle/clockwork"
)

// Driver is a discrete-event simulator that runs events in time order and advances
// a fake clock. It must be used from a single goroutine.
type Driver struct {
	// Clock is set to the time of the current event.
	Clock *clockwork.FakeClock

	start   time.Time
	events  eventHeap
	lastSeq uint64
}

// NewDriver returns a Driver at time 0 without events.
func NewDriver() *Driver {
	start := time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)
	return &Driver{Clock: clockwork.NewFakeClockAt(start), start: start}
}

// Elapsed returns the simulated time since the start.
func (d *Driver) Elapsed() time.Duration { return d.Clock.Now().Sub(d.start) }

// At schedules f at a time relative to the start, or at once if that time has
// passed. Events with the same time run in the order in which they were added.
func (d *Driver) At(at time.Duration, f func()) {
	d.lastSeq++
	heap.Push(&d.events, event{at: max(at, d.Elapsed()), seq: d.lastSeq, run: f})
}

// After schedules f after a delay.
func (d *Driver) After(delay time.Duration, f func()) { d.At(d.Elapsed()+delay, f) }

// Every runs f once per period, first after one period, until f returns false.
func (d *Driver) Every(period time.Duration, f func() bool) {
	d.After(period, func() {
		if f() {
			d.Every(period, f)
		}
	})
}

// Run runs all events up to and including the given time and sets the clock to
// it.
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
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
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
