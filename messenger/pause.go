package messenger

import (
	"sync/atomic"
	"time"
)

// pauseWatch notices that this process was paused. Calls that arrived during a
// pause wait in the sockets, and their remaining time would count from when they
// are read: an instance that resumes after a minute would carry out calls whose
// callers have long given up and turned to others. So the connections that were
// open during a pause are closed with what is unread in them.
//
// The clock is the monotonic one, which runs on while a process is stopped.
type pauseWatch struct {
	limit   time.Duration
	onPause func(gap time.Duration)
	now     func() time.Time
	last    atomic.Int64 // nanoseconds since start
	start   time.Time
}

func newPauseWatch(limit time.Duration, onPause func(time.Duration)) *pauseWatch {
	w := &pauseWatch{limit: limit, onPause: onPause, now: time.Now}
	w.start = w.now()
	return w
}

// reset begins the watch.
func (w *pauseWatch) reset() { w.last.Store(int64(w.now().Sub(w.start))) }

// check reports a pause since the last check that is longer than the limit. It
// is called regularly, and before each call is carried out: whichever comes
// first after a pause sees the gap.
func (w *pauseWatch) check() {
	now := int64(w.now().Sub(w.start))
	last := w.last.Load()
	if gap := time.Duration(now - last); gap > w.limit {
		w.onPause(gap)
	}
	// Only after onPause, so that no other check takes the gap for over.
	for now > last && !w.last.CompareAndSwap(last, now) {
		last = w.last.Load()
	}
}

// run checks until done is closed.
func (w *pauseWatch) run(done <-chan struct{}) {
	ticker := time.NewTicker(w.limit / 8)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.check()
		case <-done:
			return
		}
	}
}
