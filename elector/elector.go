// Package elector decides when an instance takes over the leadership of its cell.
// A takeover is always safe, since targets reject requests with a lower epoch;
// the rules in this package avoid unnecessary takeovers.
package elector

import (
	"time"

	"github.com/masticlead/masticlead/keeper"
	w "github.com/masticlead/masticlead/workload"
)

const (
	// RenewPeriod is the interval between two heartbeats of a leader.
	RenewPeriod = 300 * time.Millisecond
	// heartbeatTimeout is the heartbeat age from which a leader that doesn't
	// answer is considered dead.
	heartbeatTimeout = 1000 * time.Millisecond
	// refusedTimeout replaces heartbeatTimeout if the leader's address refuses
	// connections.
	refusedTimeout = 650 * time.Millisecond
	// readLatencyFactor is the multiple of the heartbeat's read latency by which
	// both timeouts are extended, since a slow store delays renewals as well.
	readLatencyFactor = 3
	// unreachableTimeout is the time without a connection to the leader after
	// which an instance writes an unreachable report. It is also the minimum time
	// before a takeover that is based on such reports.
	unreachableTimeout = 800 * time.Millisecond
	// loadTimeout replaces unreachableTimeout in takeover decisions while the
	// leader isn't known to have accepted connections. A leader accepts its first
	// connections only after loading the cell from the store, which may be slow.
	loadTimeout = 3 * time.Second
	// LoadStallTimeout is the time without a heartbeat that shows progress after which
	// a leader that is loading the cell is replaced. Renewals of a leader that loads
	// over a slow link can be late by more than heartbeatTimeout; in a cell of 147
	// instances, each new leader was replaced for that before it had loaded.
	LoadStallTimeout = 3 * time.Second
	// maxObservationGap limits the time between two reads of the heartbeat that counts
	// towards LoadStallTimeout. While the store answers nobody, the leader can't load.
	maxObservationGap = 1 * time.Second
)

const (
	// steadyTime is the time that a connection has to last to show that the leader can keep
	// its connections.
	steadyTime = 5 * time.Second
	// maxShortConns is the number of consecutive connections to the same leader that ended
	// earlier from which the instance counts as disconnected although it has joined again.
	maxShortConns = 3
	// maxUnsteadyLeaders is the highest number of leaders by which this number grows.
	maxUnsteadyLeaders = 3
)

// ConnResult is the result of the last connection to the leader or attempt to
// connect to it.
type ConnResult uint8

// Values of ConnResult.
const (
	NoAnswer ConnResult = iota // the attempt timed out or the connection ended
	Refused                    // the leader's address doesn't accept connections
	Replaced                   // another incarnation of the leader's instance answered
)

// takeoverDelay is the time by which an instance with few cores delays a takeover
// if instances with more cores were reported recently, so that they can take over
// first.
const takeoverDelay = 600 * time.Millisecond

// PreferredCoreRatio is the ratio of core counts above which the instance with
// more cores is preferred as the leader.
const PreferredCoreRatio = 1.4

// Elector watches one leader. It is not safe for concurrent use.
type Elector struct {
	Cores float64 // of this instance
	// Rand returns a random number in [0, 1). It spreads the actions of the instances
	// of a cell over time. If it is nil, they are not spread.
	Rand func() float64

	leader             keeper.Leadership
	disconnectedAt     time.Time // when the last connection that was steady was lost, or the watch began
	connected          bool
	connectedAt        time.Time // when the last connection was established
	shortConns         int       // consecutive connections that ended before they were steady
	unsteadyLeaders    int       // consecutive leaders up to the last one that did not keep their connections
	connResult         ConnResult
	replacedAt         time.Time     // when another incarnation of the leader's instance first answered
	heartbeatAge       time.Duration // when the heartbeat was last read
	readLatency        time.Duration // of the last read of the heartbeat
	heartbeatRead      bool          // the heartbeat was read since disconnectedAt
	everConnected      bool          // a connection to this leader was established
	unreachableReports map[w.InstanceID]observedReport
	maxCores           float64 // highest core count of an instance that leaders reported recently
	maxCoresAt         time.Time
	surveyedAt         time.Time      // when the heartbeat was last read, also of earlier leaders
	observedAt         time.Time      // when the heartbeat was last read
	watchedAt          time.Time      // when the watch began
	loadProgress       int64          // of the last heartbeat of a loading leader
	loadBeat           keeper.Version // version of the last heartbeat that showed progress
	stalledFor         time.Duration  // observed time since the loading leader made progress
	loadingUntil       time.Time      // when the leader was last seen loading
	loadFinished       bool           // a heartbeat showed that the leader is not loading
	draw               float64        // random number in [0, 1) for the takeover of this leader
	readFailed         bool           // the last read of the heartbeat failed
	readableSince      time.Time      // first successful read after one that failed
	damping            damping
	members            int       // other instances connected to the leader, according to its heartbeat
	loading            bool      // a read showed no members of the leader, or no heartbeat of it yet
	servingSince       time.Time // earliest time from which the leader is known to have had members, or zero
}

// maxCoresTTL is the time for which the highest reported core count is kept if
// later heartbeats report a lower one, since a new leader has only a few
// instances connected at first.
const maxCoresTTL = 10 * time.Second

type observedReport struct {
	version    keeper.Version
	observedAt time.Time
	joins      bool // the leader may count the instance as a member
}

// Watch starts watching a leader and discards the state of the previous one,
// except for the highest core count.
func (e *Elector) Watch(leader keeper.Leadership, now time.Time) {
	unsteadyLeaders := e.unsteadyLeaders
	if e.isUnsteady(now) {
		unsteadyLeaders = min(unsteadyLeaders+1, maxUnsteadyLeaders)
	}
	*e = Elector{
		Cores: e.Cores, Rand: e.Rand, maxCores: e.maxCores, maxCoresAt: e.maxCoresAt, damping: e.damping, surveyedAt: e.surveyedAt,
		unsteadyLeaders: unsteadyLeaders,
		leader:          leader, disconnectedAt: now, watchedAt: now, unreachableReports: make(map[w.InstanceID]observedReport),
	}
	e.draw = e.random()
	e.damping.reset(leader, now)
}

// Leader returns the watched leader.
func (e *Elector) Leader() keeper.Leadership { return e.leader }

// SetConnected records that a connection to the leader was established.
func (e *Elector) SetConnected(now time.Time) {
	if !e.connected {
		e.connectedAt = now
	}
	e.connected, e.everConnected, e.connResult = true, true, NoAnswer
}

// SetDisconnected records that a connection to the leader ended or could not be
// established.
func (e *Elector) SetDisconnected(result ConnResult, now time.Time) {
	if e.connected {
		e.connected, e.heartbeatRead = false, false
		if now.Sub(e.connectedAt) >= steadyTime {
			e.shortConns, e.unsteadyLeaders = 0, 0
		} else {
			e.shortConns++
		}
		if e.shortConns < e.shortConnLimit() {
			e.disconnectedAt = now
		}
	}
	if result == Replaced && e.connResult != Replaced {
		e.replacedAt = now
	}
	e.connResult = result
}

// ShortConns returns the number of consecutive connections to the leader that ended early.
func (e *Elector) ShortConns() int { return e.shortConns }

// isConnected reports whether the leader has accepted this instance and, if earlier
// connections to it kept ending, has served this one for some time.
func (e *Elector) isConnected(now time.Time) bool { return e.connected && !e.isUnsteady(now) }

// isUnsteady reports whether the connections to the leader keep ending.
func (e *Elector) isUnsteady(now time.Time) bool {
	return e.shortConns >= e.shortConnLimit() && (!e.connected || now.Sub(e.connectedAt) < steadyTime)
}

// shortConnLimit returns the number of short connections from which they are unsteady. It
// grows with each leader, so that leaders don't replace each other at a constant rate if
// the cause is not the leader.
func (e *Elector) shortConnLimit() int { return maxShortConns * (1 + e.unsteadyLeaders) }

// Report returns the report that this instance makes if the leader is unreachable for it.
func (e *Elector) Report(now time.Time) keeper.UnreachableReport {
	return keeper.UnreachableReport{Epoch: e.leader.Epoch, Joins: e.connected && e.isUnsteady(now)}
}

// NeedsHeartbeat reports whether the leader's heartbeat has to be read. While connected,
// the instance reads it rarely, only to know how many instances there are and how many
// cores they have when the leader is lost.
func (e *Elector) NeedsHeartbeat(now time.Time) bool {
	return !e.isConnected(now) || now.Sub(e.surveyedAt) >= surveyPeriod
}

// ShouldReportUnreachable reports whether the instance should write an unreachable
// report about the leader.
func (e *Elector) ShouldReportUnreachable(now time.Time) bool {
	if e.isConnected(now) || e.isLoading() {
		return false
	}
	since := e.disconnectedAt
	if e.loadingUntil.After(since) {
		since = e.loadingUntil
	}
	// Reports are written in the partition of the leader row. Without the spread, those
	// of a large cell would all be ahead of the leader's next renewal.
	return now.Sub(since) >= unreachableTimeout+time.Duration(e.draw*float64(e.damping.reportSpread()))
}

// NeedsReports reports whether the unreachable reports have to be read with the
// heartbeat.
func (e *Elector) NeedsReports(now time.Time) bool {
	return !e.isConnected(now) && now.Sub(e.disconnectedAt) >= unreachableTimeout && !e.isLoading()
}

// SetReadFailed records that the heartbeat could not be read.
func (e *Elector) SetReadFailed() { e.readFailed = true }

// Observe records a heartbeat with its age, the unreachable reports read with it,
// and the latency of the read.
func (e *Elector) Observe(heartbeat keeper.Heartbeat, age, readLatency time.Duration, reports []keeper.UnreachableReport, now time.Time) {
	if e.readFailed {
		e.readFailed, e.readableSince = false, now
	}
	e.surveyedAt = now
	e.members = heartbeat.Members
	e.damping.observe(heartbeat, now)
	e.observeLoad(heartbeat, age, now)
	e.observedAt = now
	switch {
	case !e.servingSince.IsZero():
	case e.members == 0 || heartbeat.Epoch < e.leader.Epoch:
		e.loading = true
	case e.loading:
		e.servingSince = now
	default:
		e.servingSince = e.disconnectedAt
	}
	if heartbeat.MaxCores >= e.maxCores || now.Sub(e.maxCoresAt) > maxCoresTTL {
		e.maxCores, e.maxCoresAt = heartbeat.MaxCores, now
	}
	e.heartbeatAge, e.readLatency, e.heartbeatRead = age, readLatency, true
	if heartbeat.Epoch < e.leader.Epoch {
		// The leader has not written its first heartbeat yet, so the time since
		// its takeover or the loss of its connection counts instead.
		e.heartbeatAge = now.Sub(e.disconnectedAt)
	}
	for _, r := range reports {
		if r.Epoch != e.leader.Epoch {
			continue
		}
		if known, ok := e.unreachableReports[r.Instance]; !ok || known.version != r.Version {
			e.unreachableReports[r.Instance] = observedReport{r.Version, now, r.Joins}
		}
	}
}

// observeLoad updates the time for which a loading leader has made no progress.
func (e *Elector) observeLoad(heartbeat keeper.Heartbeat, age time.Duration, now time.Time) {
	if !heartbeat.Loading || heartbeat.Epoch != e.leader.Epoch {
		e.loadFinished = e.loadFinished || heartbeat.Epoch == e.leader.Epoch
		return
	}
	switch {
	case e.loadBeat == 0:
		// The takeover may have been committed long after it was sent, so the age
		// counts only from the time at which the new leader was seen.
		e.stalledFor = min(max(0, age), now.Sub(e.watchedAt))
		e.loadBeat, e.loadProgress = heartbeat.Version, heartbeat.Progress
	case heartbeat.Version != e.loadBeat && heartbeat.Progress > e.loadProgress:
		// The progress was made when the heartbeat was sent, which may be long before
		// it was committed if the store was silent.
		e.stalledFor = min(max(0, age), maxObservationGap)
		e.loadBeat, e.loadProgress = heartbeat.Version, heartbeat.Progress
	default:
		e.stalledFor += min(now.Sub(e.observedAt), maxObservationGap)
	}
	e.loadingUntil = now
}

// isLoading reports whether the last heartbeat read is that of a loading leader.
func (e *Elector) isLoading() bool {
	return !e.loadingUntil.IsZero() && e.loadingUntil.Equal(e.observedAt)
}

// FailedLoads returns the number of consecutive leaders, up to the watched one, that
// did not finish loading the cell as far as this instance knows. It is to be passed on
// in the leader row by an instance that takes over.
func (e *Elector) FailedLoads() int {
	if e.leader.Epoch == 0 || e.everConnected || e.loadFinished || !e.heartbeatRead {
		return 0
	}
	return min(e.leader.FailedLoads, maxFailedLoads) + 1
}

// Instances returns the number of instances of the cell as far as it is known.
func (e *Elector) Instances() int { return e.damping.instances }

// random returns a random number in [0, 1).
func (e *Elector) random() float64 {
	if e.Rand == nil {
		return 0
	}
	return e.Rand()
}

// PollPeriod returns the time until the heartbeat is to be read again. In a large cell
// it varies, so that the instances do not all read at the same time.
func (e *Elector) PollPeriod() time.Duration {
	p := e.damping.pollPeriod()
	if p == minPollPeriod {
		return p
	}
	return p + time.Duration(pollJitter*e.random()*float64(p))
}

// ReportPeriod returns the minimum time between two unreachable reports.
func (e *Elector) ReportPeriod() time.Duration { return e.damping.reportPeriod() }

// SetTakeoverFailed records that a takeover by this instance was not confirmed. The
// time until it may try again doubles with each failure until there is a new leader.
func (e *Elector) SetTakeoverFailed(now time.Time) { e.damping.setFailed(now, e.random()) }

// Damping returns the time that is added before the watched leader may be replaced,
// because leaders before it were replaced while they loaded.
func (e *Elector) Damping() time.Duration { return loadBackoff(e.leader.FailedLoads) }

// ShouldTakeOver reports whether the instance should take over now, and why.
func (e *Elector) ShouldTakeOver(now time.Time) (string, bool) {
	if e.isConnected(now) || !e.heartbeatRead || now.Before(e.damping.nextAttempt) {
		return "", false
	}
	// Of the instances that would take over, the earliest does so before the others try.
	wait := time.Duration(e.draw * float64(e.damping.candidateSpread(e.leader.FailedLoads)))
	if e.leader.FailedLoads > 0 && !e.everConnected && !e.loadFinished {
		wait += e.damping.spread(e.Damping(), e.draw)
		if now.Sub(e.watchedAt) < wait {
			return "", false
		}
	}
	if e.maxCores > PreferredCoreRatio*e.Cores {
		now, wait = now.Add(-takeoverDelay), wait+takeoverDelay
		// Instances with more cores may be restarting together with the leader's,
		// so the delay also applies after the replacement of its process.
		if now.Before(e.disconnectedAt) || (e.connResult == Replaced && now.Before(e.replacedAt)) {
			return "", false
		}
		// After an outage of the store the heartbeat is old for all instances. Without
		// the delay one of the many weak ones would be first.
		if now.Before(e.readableSince) {
			return "", false
		}
	}
	if e.isLoading() && !e.connected && e.connResult != Replaced {
		return "the leader loads without progress", e.stalledFor >= LoadStallTimeout+wait+readLatencyFactor*e.readLatency
	}
	if e.connected {
		return mostUnreachable, e.isReportedByMost(now)
	}
	return e.shouldTakeOver(e.heartbeatAge-wait, now)
}

const mostUnreachable = "most instances can't reach the leader"

// shouldTakeOver applies the takeover rules with the given heartbeat age.
func (e *Elector) shouldTakeOver(age time.Duration, now time.Time) (string, bool) {
	switch {
	case e.leader.Epoch == 0:
		return "no leader yet", true
	case e.connResult == Replaced:
		return "the leader's process was replaced", true
	case e.connResult == Refused && age >= refusedTimeout+readLatencyFactor*e.readLatency:
		return "the leader refuses connections and has stopped renewing", true
	case age >= heartbeatTimeout+readLatencyFactor*e.readLatency:
		return "the leader has stopped renewing", true
	}
	return mostUnreachable, e.isReportedByMost(now)
}

// isReportedByMost reports whether more instances can't reach the leader than it serves.
func (e *Elector) isReportedByMost(now time.Time) bool {
	reportCount, members := 0, e.members
	for _, r := range e.unreachableReports {
		if now.Sub(r.observedAt) < e.damping.reportTTL() {
			reportCount++
			if r.joins {
				members = max(0, members-1)
			}
		}
	}
	since, timeout := e.disconnectedAt, unreachableTimeout
	switch {
	case e.everConnected:
	case e.servingSince.IsZero():
		timeout = loadTimeout
	case e.servingSince.After(since):
		since = e.servingSince
	}
	if e.loadingUntil.After(since) {
		since = e.loadingUntil
	}
	return now.Sub(since) >= timeout && reportCount > members+1
}
