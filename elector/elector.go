// Package elector decides when an instance takes over the coordination of its
// cell. Taking over is always safe, since targets ignore the orders of an
// earlier epoch; the rules here avoid takeovers that serve nobody.
package elector

import (
	"time"

	"github.com/masticlead/masticlead/keeper"
	w "github.com/masticlead/masticlead/workload"
)

const (
	// RenewPeriod is the time between two beats of a leader.
	RenewPeriod = 300 * time.Millisecond
	// beatLapse is the age of a beat after which a leader that doesn't answer
	// counts as gone.
	beatLapse = 1000 * time.Millisecond
	// deadLapse applies if the leader's address refuses connections.
	deadLapse = 650 * time.Millisecond
	// slowFactor widens both by the time that a read of the beats takes: a slow
	// store delays renewals as well.
	slowFactor = 3
	// complaintLife is the age up to which a complaint counts.
	complaintLife = 1500 * time.Millisecond
	// lostBeforeComplaint is the time without a connection to the leader after
	// which an instance complains.
	lostBeforeComplaint = 800 * time.Millisecond
	// lostBeforeFirst is the same for a leader that takes its first connections
	// only after it has read the cell from the store, which may be slow.
	lostBeforeFirst = 3 * time.Second
)

// Reach tells what became of the last attempt to connect to the leader.
type Reach uint8

// Results of an attempt to connect.
const (
	NoAnswer Reach = iota
	Refuses        // nobody listens at the leader's address
	Replaced       // another life of the leader's instance answered
)

// weakDelay is the time for which an instance leaves a takeover to stronger ones,
// if there are any.
const weakDelay = 600 * time.Millisecond

// MuchStronger is the ratio of cores from which an instance should lead instead
// of another.
const MuchStronger = 1.4

// Elector watches one leader. It is not safe for concurrent use.
type Elector struct {
	Strength float64 // cores of this instance

	lead       keeper.Leadership
	lost       time.Time // since when there is no connection to the leader
	connected  bool
	reach      Reach
	replaced   time.Time     // when another life of the leader's instance first answered
	age        time.Duration // of the last beat
	slow       time.Duration // time that its reading took
	read       bool          // a beat was read since the connection was lost
	met        bool          // it was connected to this leader
	complaints map[w.InstanceID]seenComplaint
	best       float64 // most cores of any instance, as leaders saw them lately
	bestAt     time.Time
	members    int       // connected to the leader, by its own word
	loading    bool      // the leader had no member when its beat was first read
	served     time.Time // since when the leader has had members, as far as known, or zero
}

// bestLife is the time for which the most cores that a leader saw count. A leader
// that has just begun has seen few instances yet.
const bestLife = 10 * time.Second

type seenComplaint struct {
	version keeper.Version
	at      time.Time
}

// Watch begins to watch a leader.
func (e *Elector) Watch(lead keeper.Leadership, now time.Time) {
	*e = Elector{Strength: e.Strength, best: e.best, bestAt: e.bestAt, lead: lead, lost: now, complaints: make(map[w.InstanceID]seenComplaint)}
}

// Leader returns the leader that is watched.
func (e *Elector) Leader() keeper.Leadership { return e.lead }

// Connected reports a connection to the leader.
func (e *Elector) Connected() { e.connected, e.met, e.reach = true, true, NoAnswer }

// Lost reports that a connection has ended or could not be made.
func (e *Elector) Lost(r Reach, now time.Time) {
	if e.connected {
		e.connected, e.lost, e.read = false, now, false
	}
	if r == Replaced && e.reach != Replaced {
		e.replaced = now
	}
	e.reach = r
}

// Wants reports whether the beats have to be read.
func (e *Elector) Wants() bool { return !e.connected }

// Complains reports whether the instance should write a complaint.
func (e *Elector) Complains(now time.Time) bool {
	return !e.connected && now.Sub(e.lost) >= lostBeforeComplaint
}

// Observe takes over the rows that were read, the age of the beat, and the time
// that the reading took.
func (e *Elector) Observe(b keeper.Beat, age, took time.Duration, list []keeper.Complaint, now time.Time) {
	e.members = b.Members
	switch {
	case !e.served.IsZero():
	case e.members == 0 || b.Epoch < e.lead.Epoch:
		e.loading = true
	case e.loading:
		e.served = now
	default:
		e.served = e.lost
	}
	if b.Best >= e.best || now.Sub(e.bestAt) > bestLife {
		e.best, e.bestAt = b.Best, now
	}
	e.age, e.slow, e.read = age, took, true
	if b.Epoch < e.lead.Epoch {
		// The leader has not renewed yet: its takeover counts.
		e.age = now.Sub(e.lost)
	}
	for _, c := range list {
		if c.Epoch != e.lead.Epoch {
			continue
		}
		if s, ok := e.complaints[c.Instance]; !ok || s.version != c.Version {
			e.complaints[c.Instance] = seenComplaint{c.Version, now}
		}
	}
}

// Due reports whether the instance should take over now, and why.
func (e *Elector) Due(now time.Time) (string, bool) {
	if e.best > MuchStronger*e.Strength {
		now = now.Add(-weakDelay)
		// Strong instances may be starting again as well as the leader's.
		if !e.connected && (now.Before(e.lost) || (e.reach == Replaced && now.Before(e.replaced))) {
			return "", false
		}
		return e.due(e.age-weakDelay, now)
	}
	return e.due(e.age, now)
}

func (e *Elector) due(age time.Duration, now time.Time) (string, bool) {
	switch {
	case e.connected || !e.read:
		return "", false
	case e.lead.Epoch == 0:
		return "no leader yet", true
	case e.reach == Replaced:
		return "the leader's process was replaced", true
	case e.reach == Refuses && age >= deadLapse+slowFactor*e.slow:
		return "the leader refuses connections and has stopped renewing", true
	case age >= beatLapse+slowFactor*e.slow:
		return "the leader has stopped renewing", true
	}
	fresh := 0
	for _, s := range e.complaints {
		if now.Sub(s.at) < complaintLife {
			fresh++
		}
	}
	since, patience := e.lost, lostBeforeComplaint
	switch {
	case e.met:
	case e.served.IsZero():
		patience = lostBeforeFirst
	case e.served.After(since):
		since = e.served
	}
	if now.Sub(since) >= patience && fresh > e.members+1 {
		return "most instances can't reach the leader", true
	}
	return "", false
}
