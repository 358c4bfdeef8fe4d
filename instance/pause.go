package instance

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// pauseDetector detects pauses of the process, including those during which the
// machine was suspended and the monotonic clock stopped with it.
type pauseDetector struct {
	last time.Duration
	now  func() time.Duration // time since boot
}

// machineUptime returns the time since boot, including the time for which the machine
// was suspended.
func machineUptime() time.Duration {
	t, err := bootTime()
	if err != nil {
		// Fall back to the monotonic clock, which only misses suspensions.
		return time.Since(processStart)
	}
	return t
}

// bootTime returns the time since boot, including the time for which the machine was
// suspended.
func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, fmt.Errorf("instance: read CLOCK_BOOTTIME: %w", err)
	}
	return time.Duration(ts.Nano()), nil
}

var processStart = time.Now()

// sinceLast returns the time since the previous call, or 0 on the first call.
func (p *pauseDetector) sinceLast() time.Duration {
	now := p.now()
	d := now - p.last
	if p.last == 0 {
		d = 0
	}
	p.last = now
	return d
}
