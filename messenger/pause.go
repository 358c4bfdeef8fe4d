package messenger

import (
	"sync"
	"sync/atomic"
	"time"
)

// pauseDetector detects that this process was paused. Calls that arrive during a
// pause stay in the socket buffers, and their remaining time would count from
// when they are read: an instance that resumes after a minute would execute calls
// whose callers have timed out and retried elsewhere. Therefore the connections
// that were open during a pause are closed and their unread data is discarded.
//
// The clock is the monotonic one, which keeps running while a process is stopped.
type pauseDetector struct {
	maxPause    time.Duration
	onPause     func(gap time.Duration)
	now         func() time.Time
	start       time.Time
	lastCheckNs atomic.Int64 // nanoseconds since start

	mu sync.Mutex // held while a pause is reported
}

func newPauseDetector(maxPause time.Duration, onPause func(time.Duration)) *pauseDetector {
	d := &pauseDetector{maxPause: maxPause, onPause: onPause, now: time.Now}
	d.start = d.now()
	return d
}

// reset starts the detection: time before the call is not reported as a pause.
func (d *pauseDetector) reset() { d.lastCheckNs.Store(int64(d.elapsed())) }

// check calls onPause if more than maxPause has passed since the last check. It
// runs periodically and before the execution of each call. The first check after
// a pause reports it, and concurrent checks wait until it is reported.
func (d *pauseDetector) check() {
	now := d.elapsed()
	if now-d.lastCheck() <= d.maxPause {
		d.advance(now)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now = d.elapsed()
	if gap := now - d.lastCheck(); gap > d.maxPause {
		d.onPause(gap)
	}
	d.advance(now)
}

func (d *pauseDetector) elapsed() time.Duration { return d.now().Sub(d.start) }

func (d *pauseDetector) lastCheck() time.Duration { return time.Duration(d.lastCheckNs.Load()) }

// advance records a check with the clock reading now, taken by the caller, so
// that a pause between the reading and this call is still detected. The recorded
// time never decreases.
func (d *pauseDetector) advance(now time.Duration) {
	for last := d.lastCheckNs.Load(); int64(now) > last && !d.lastCheckNs.CompareAndSwap(last, int64(now)); {
		last = d.lastCheckNs.Load()
	}
}

// run calls check periodically until done is closed.
func (d *pauseDetector) run(done <-chan struct{}) {
	ticker := time.NewTicker(d.maxPause / 8)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.check()
		case <-done:
			return
		}
	}
}
