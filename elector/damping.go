package elector

import (
	"time"

	"github.com/masticlead/masticlead/keeper"
)

const (
	// minPollPeriod is the interval between two reads of the heartbeat in a small cell.
	minPollPeriod = 120 * time.Millisecond
	// maxReadsPerSec bounds the reads of the heartbeat by all instances together.
	maxReadsPerSec = 400
	// surveyPeriod is the interval between two reads of the heartbeat by an instance that
	// is connected to the leader.
	surveyPeriod = 10 * time.Second
	// pollJitter is the fraction by which the interval varies.
	pollJitter = 0.5
	// minReportPeriod is the interval between two unreachable reports of an instance
	// of a small cell.
	minReportPeriod = 500 * time.Millisecond
	// maxReportsPerSec bounds the unreachable reports of all instances together. They
	// are written in the partition of the leader row, which commits one transaction
	// at a time; those of 147 instances were 294 a second.
	maxReportsPerSec = 100
	// firstReportsPerSec bounds the first reports after all instances have lost the
	// leader, which decide how soon a leader that nobody reaches is replaced.
	firstReportsPerSec = 300
	// reportTTLFactor is the number of report periods for which a report counts after
	// this instance first read it.
	reportTTLFactor = 3
	// spreadPerInstance is the time per instance over which takeovers of the same
	// leader are spread, up to maxSpread. The earliest of all the instances still tries
	// at once; if few are left, the spread delays the takeover by up to maxSpread.
	spreadPerInstance = 5 * time.Millisecond
	maxSpread         = 700 * time.Millisecond
	// maxDampedSpread is the longest spread after leaders have failed to load.
	maxDampedSpread = 4 * time.Second
	// minBackoff and maxBackoff bound the exponential backoff, both after leaders that
	// failed to load and after failed takeovers of this instance.
	minBackoff = 1 * time.Second
	maxBackoff = 8 * time.Second
	// maxFailedLoads is the highest number of failed loads that is counted.
	maxFailedLoads = 16
	// instancesTTL is the time for which the highest number of instances is kept if
	// later heartbeats show fewer, since a new leader has few members at first.
	instancesTTL = 60 * time.Second
)

// damping limits the load that the instances of a cell cause while they have no
// leader.
type damping struct {
	instances   int // of the cell, 0 if unknown
	instancesAt time.Time
	failures    int       // consecutive failed takeovers of this instance
	nextAttempt time.Time // before it, this instance does not try to take over
}

// reset starts a new period with another leader.
func (d *damping) reset(leader keeper.Leadership, now time.Time) {
	d.failures, d.nextAttempt = 0, time.Time{}
	d.setInstances(leader.Instances, now)
}

func (d *damping) observe(heartbeat keeper.Heartbeat, now time.Time) {
	if heartbeat.Epoch > 0 {
		d.setInstances(max(heartbeat.Instances, heartbeat.Members+1), now)
	}
}

func (d *damping) setInstances(n int, now time.Time) {
	if n >= d.instances || now.Sub(d.instancesAt) > instancesTTL {
		d.instances, d.instancesAt = n, now
	}
}

// setFailed postpones the next takeover of this instance.
func (d *damping) setFailed(now time.Time, random float64) {
	d.failures++
	d.nextAttempt = now.Add(d.spread(backoff(d.failures-1), random))
}

// backoff returns the wait after a number of earlier failures.
func backoff(failures int) time.Duration {
	return min(maxBackoff, minBackoff<<min(failures, maxFailedLoads))
}

// loadBackoff returns the additional wait after a number of leaders that failed to
// load.
func loadBackoff(failedLoads int) time.Duration {
	if failedLoads <= 0 {
		return 0
	}
	return backoff(failedLoads - 1)
}

// spread returns a time between half of and all of a duration.
func (d *damping) spread(t time.Duration, random float64) time.Duration {
	return t - time.Duration((1-random)/2*float64(t))
}

// perInstance returns the interval at which each instance may do what all together may
// do a number of times per second.
func (d *damping) perInstance(ratePerSec int) time.Duration {
	return time.Duration(d.instances) * time.Second / time.Duration(ratePerSec)
}

func (d *damping) pollPeriod() time.Duration {
	return max(minPollPeriod, d.perInstance(maxReadsPerSec))
}

func (d *damping) reportPeriod() time.Duration {
	return max(minReportPeriod, d.perInstance(maxReportsPerSec))
}
func (d *damping) reportSpread() time.Duration { return d.perInstance(firstReportsPerSec) }
func (d *damping) reportTTL() time.Duration    { return reportTTLFactor * d.reportPeriod() }

// candidateSpread returns the time over which the takeovers of a leader are spread. It
// doubles with each leader before it that failed to load, so that fewer instances try.
func (d *damping) candidateSpread(failedLoads int) time.Duration {
	t := min(maxSpread, time.Duration(d.instances)*spreadPerInstance)
	return min(maxDampedSpread, t<<min(max(failedLoads, 0), 8))
}
