package instance

import (
	"time"

	"golang.org/x/sys/unix"
)

// pauseWatch notices that the process stood still, also while its machine was
// suspended and the steady clock with it.
type pauseWatch struct {
	last time.Duration
	now  func() time.Duration // time since the machine was started
}

// machineUptime returns the time since the machine was started, including the time
// for which it was suspended.
func machineUptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The steady clock misses only suspensions.
		return time.Since(started)
	}
	return time.Duration(ts.Nano())
}

var started = time.Now()

// look returns the time since the last look.
func (p *pauseWatch) look() time.Duration {
	now := p.now()
	d := now - p.last
	if p.last == 0 {
		d = 0
	}
	p.last = now
	return d
}
