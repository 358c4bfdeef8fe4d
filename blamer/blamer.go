// Package blamer attributes the losses of targets to the work that had just started on
// them. It reads no clock.
package blamer

import (
	"slices"
	"time"
)

const (
	// commonWindow is the time between two losses up to which they may have the same
	// cause.
	commonWindow = 300 * time.Millisecond
	// retention is the time for which a loss counts.
	retention = 8 * time.Second
)

// Loss is the loss of a target.
type Loss struct {
	Target string
	Pool   string // service of the target
	At     time.Time
	// Blame is the share of each kind of work in the runs that had just started on the
	// target. It is empty if there were none; otherwise its sum is 1.
	Blame map[string]float64
}

// Ledger holds the losses of the last seconds, in the order of their times. Its zero
// value is empty.
type Ledger struct {
	losses    []Loss
	blameless []time.Time // times of the losses without blame, in ascending order
}

// Add records a loss, unless one of the same target is recorded.
func (l *Ledger) Add(loss Loss) {
	if !slices.ContainsFunc(l.losses, func(o Loss) bool { return o.Target == loss.Target }) {
		l.losses = append(l.losses, loss)
		l.update()
	}
}

// update brings the times of the losses without blame up to date.
func (l *Ledger) update() {
	l.blameless = l.blameless[:0]
	for i := range l.losses {
		if len(l.losses[i].Blame) == 0 {
			l.blameless = append(l.blameless, l.losses[i].At)
		}
	}
	slices.SortFunc(l.blameless, time.Time.Compare)
}

// Retract removes the loss of a target that turned out not to be lost.
func (l *Ledger) Retract(target string) {
	l.losses = slices.DeleteFunc(l.losses, func(o Loss) bool { return o.Target == target })
	l.update()
}

// Expire removes the losses that no longer count.
func (l *Ledger) Expire(now time.Time) {
	l.losses = slices.DeleteFunc(l.losses, func(o Loss) bool { return now.Sub(o.At) > retention })
	l.update()
}

// Common reports whether a loss at the given time probably has a cause outside the runs
// on its target, such as a failed rack: another target was lost at about the same time on
// which nothing had just started.
func (l *Ledger) Common(at time.Time) bool {
	i, _ := slices.BinarySearchFunc(l.blameless, at.Add(-commonWindow), time.Time.Compare)
	return i < len(l.blameless) && !l.blameless[i].After(at.Add(commonWindow))
}

// Score returns the sum of the blame of a kind of work in the losses that still count and
// have no common cause.
func (l *Ledger) Score(kind string) float64 {
	sum := 0.0
	for i := range l.losses {
		if b := l.losses[i].Blame[kind]; b > 0 && !l.Common(l.losses[i].At) {
			sum += b
		}
	}
	return sum
}

// Recent returns the number of blamed losses in a pool since the given time.
func (l *Ledger) Recent(pool string, since time.Time) int {
	n := 0
	for i := range l.losses {
		if o := &l.losses[i]; o.Pool == pool && len(o.Blame) > 0 && !o.At.Before(since) {
			n++
		}
	}
	return n
}
