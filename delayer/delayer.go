// Package delayer decides how long work waits for a place near its data while places far
// from it are free. It does no I/O and reads no clock.
package delayer

import (
	"time"

	w "github.com/masticlead/masticlead/workload"
)

const (
	// maxWaitShare is the share of the time that a near place saves for which work waits
	// at most, unless it can meet its goal only near. A wait of all of it could gain
	// nothing, and doubles the loss if no place opens.
	maxWaitShare = 0.6
	// maxWait is the longest wait. Work for which there is room twice over has to start
	// within 3 s while less than half of its service is in use.
	maxWait = 2 * time.Second
	// openingMargin is the safety factor on the time until an opening, since runs end
	// later than expected about as often as earlier.
	openingMargin = 1.25
	// maxPromisedShare is the share of the openings in time from which on no further work
	// waits for them. When many are promised, the place is saturated: whoever waits takes
	// the opening from work that would arrive just then. With 0.35, work at saturation
	// ends 4% later on average than without waits, with 0.65 8%.
	maxPromisedShare = 0.35
)

// Action is what to do with work for which only far places are free.
type Action uint8

// Actions.
const (
	PlaceFar Action = iota // start it on a far place now
	Wait                   // leave it waiting for a near place
	BookNear               // book the near place and wait for it
)

// OpeningID identifies an expected opening: the place that will be free for one piece of
// work when a run on a target ends.
type OpeningID struct {
	Target w.TargetID
	Run    w.TaskID // task whose run ends
	N      int      // number of the opening among those by the end of the run
}

// Opening is an expected opening.
type Opening struct {
	ID OpeningID
	At time.Time
}

// Request describes work for which only far places are free.
type Request struct {
	Work      w.TaskID      // the task or the first task of the gang
	Near, Far time.Duration // expected run times near and far
	Slack     time.Duration // time by which the work may start later, on a near place, and meet its goal
	Openings  []Opening     // expected openings near, in order of time
	Bookable  bool          // the near place can be booked
}

// needsNear reports whether the work can meet its goal only near.
func (r *Request) needsNear() bool { return r.Slack > 0 && r.Slack < r.Far-r.Near }

// longestWait returns the longest time that the work may wait.
func (r *Request) longestWait() time.Duration {
	if r.needsNear() {
		return min(maxWait, r.Slack)
	}
	return min(maxWait, r.Slack, time.Duration(maxWaitShare*float64(r.Far-r.Near)))
}

// Decision is the decision on a request.
type Decision struct {
	Action  Action
	Until   time.Time // end of the wait
	Opening Opening   // opening that is promised to the work, if it waits for one
}

// Policy decides on requests. It is not safe for concurrent use.
type Policy interface {
	// Decide decides on a request. It is called again while the work waits.
	Decide(now time.Time, r *Request) Decision
	// Release forgets work that has started or ended, and returns since when it had
	// waited, or the zero time if it had not.
	Release(work w.TaskID) time.Time
	// Expire forgets work whose wait ended before the given time.
	Expire(before time.Time)
}

// wait is the wait of one piece of work.
type wait struct {
	since, until time.Time
	promised     OpeningID
}

// waits holds the current waits, and those that ended but whose work has not started.
type waits map[w.TaskID]*wait

// Release forgets work and returns since when it had waited.
func (ws waits) Release(work w.TaskID) time.Time {
	x := ws[work]
	if x == nil {
		return time.Time{}
	}
	delete(ws, work)
	return x.since
}

// Expire forgets work whose wait ended before the given time.
func (ws waits) Expire(before time.Time) {
	for id, x := range ws {
		if x.until.Before(before) {
			delete(ws, id)
		}
	}
}

// Delayer waits only for an expected opening with which the work ends earlier than on a
// far place and meets its goal. It promises each opening once. Work waits once: when its
// time is over, it is placed far.
type Delayer struct {
	waits
	promised map[OpeningID]w.TaskID
}

// New returns a Delayer without waits.
func New() *Delayer {
	return &Delayer{waits: make(waits), promised: make(map[OpeningID]w.TaskID)}
}

// Decide decides on a request.
func (d *Delayer) Decide(now time.Time, r *Request) Decision {
	until := now.Add(r.longestWait())
	latest := now.Add(time.Duration(float64(until.Sub(now)) / openingMargin))
	x := d.waits[r.Work]
	if x != nil {
		until = earlier(x.until, now.Add(r.Slack))
		latest = until
	}
	if !until.After(now) {
		return d.giveUp(now, x)
	}
	o, ok := d.choose(r, x, latest)
	if !ok {
		return d.giveUp(now, x)
	}
	if x == nil {
		x = &wait{since: now, until: until}
		d.waits[r.Work] = x
	}
	delete(d.promised, x.promised)
	x.promised = o.ID
	d.promised[o.ID] = r.Work
	action := Wait
	if r.Bookable {
		action = BookNear
	}
	return Decision{Action: action, Until: x.until, Opening: o}
}

// choose returns the opening that is promised to the work already or, if that is no longer
// expected in time, the first one that is not promised to other work.
func (d *Delayer) choose(r *Request, x *wait, latest time.Time) (Opening, bool) {
	var first *Opening
	inTime, promised := 0, 0
	for i := range r.Openings {
		o := &r.Openings[i]
		if o.At.After(latest) {
			break
		}
		if x != nil && o.ID == x.promised {
			return *o, true
		}
		inTime++
		if _, taken := d.promised[o.ID]; taken {
			promised++
		} else if first == nil {
			first = o
		}
	}
	if first == nil || (x == nil && float64(promised) >= maxPromisedShare*float64(inTime)) {
		return Opening{}, false
	}
	return *first, true
}

// giveUp ends a wait, if there is one. The work does not wait again.
func (d *Delayer) giveUp(now time.Time, x *wait) Decision {
	if x != nil {
		delete(d.promised, x.promised)
		x.promised = OpeningID{}
		x.until = earlier(x.until, now)
	}
	return Decision{Action: PlaceFar}
}

// Release forgets work and returns since when it had waited.
func (d *Delayer) Release(work w.TaskID) time.Time {
	if x := d.waits[work]; x != nil {
		delete(d.promised, x.promised)
	}
	return d.waits.Release(work)
}

// Expire forgets work whose wait ended before the given time.
func (d *Delayer) Expire(before time.Time) {
	for _, x := range d.waits {
		if x.until.Before(before) {
			delete(d.promised, x.promised)
		}
	}
	d.waits.Expire(before)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Fixed is a baseline policy: all work waits for the same time. Fixed waits of zero and of
// a week are the baselines that never and always wait.
type Fixed struct {
	waits
	limit time.Duration
}

// NewFixed returns a Fixed policy with the given time.
func NewFixed(limit time.Duration) *Fixed { return &Fixed{make(waits), limit} }

// Decide decides on a request.
func (f *Fixed) Decide(now time.Time, r *Request) Decision {
	x := f.waits[r.Work]
	if x == nil {
		x = &wait{since: now, until: now.Add(f.limit)}
		f.waits[r.Work] = x
	}
	if now.Before(x.until) {
		return Decision{Action: Wait, Until: x.until}
	}
	return Decision{Action: PlaceFar}
}
