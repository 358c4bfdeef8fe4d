package messenger

import (
	"sync"
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
	start   time.Time
	last    atomic.Int64 // nanoseconds since start

	mu sync.Mutex // held while a pause is reported
}

func newPauseWatch(limit time.Duration, onPause func(time.Duration)) *pauseWatch {
	w := &pauseWatch{limit: limit, onPause: onPause, now: time.Now}
	w.start = w.now()
	return w
}

// reset begins the watch.
func (w *pauseWatch) reset() { w.last.Store(int64(w.elapsed())) }

// check reports a pause since the last check that is longer than the limit. It
// is called regularly, and before each call is carried out: whichever comes
// first after a pause sees the gap, and the others wait until it is reported.
func (w *pauseWatch) check() {
	now := w.elapsed()
	if now-w.lastCheck() <= w.limit {
		w.touch(now)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now = w.elapsed()
	if gap := now - w.lastCheck(); gap > w.limit {
		w.onPause(gap)
	}
	w.touch(now)
}

func (w *pauseWatch) elapsed() time.Duration { return w.now().Sub(w.start) }

func (w *pauseWatch) lastCheck() time.Duration { return time.Duration(w.last.Load()) }

// touch notes a check that read the clock at now, so that a pause between the
// reading and here is not hidden. The time never goes back.
func (w *pauseWatch) touch(now time.Duration) {
	for last := w.last.Load(); int64(now) > last && !w.last.CompareAndSwap(last, int64(now)); {
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
