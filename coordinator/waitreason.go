package coordinator

import "time"

// waitReason is what stopped the last attempt to place a step.
//
//go:generate go tool stringer -type=waitReason -linecomment
type waitReason uint8

const (
	notWaiting        waitReason = iota // none
	notTried                            // notTried
	waitsForCap                         // cap
	waitsForHandover                    // mayRunElsewhere
	waitsForSlot                        // slotOccupied
	waitsAfterCrash                     // suspectWaits
	waitsForOther                       // otherTaskTried
	waitsForBudget                      // probeBudget
	waitsForRack                        // rackDelay
	waitsNear                           // nearPlace
	waitsForStops                       // preempting
	waitsForBooking                     // booked
	waitsForTickets                     // ticketsRequested
	waitsForAdvice                      // adviceRequested
	waitsForCall                        // noAdviceCapacity
	waitsForSpareCall                   // noSpareAdviceCapacity
	waitsForBooker                      // bookedByOthers
	waitsForRoom                        // noRoom
	waitsForTarget                      // noTarget
)

// waitState tells why a step waits.
type waitState struct {
	reason          waitReason
	reasonSince     time.Time
	attemptedAt     time.Time // last attempt that set reason
	expiredBookings int       // bookings of the gang that expired before it could start
}

// noteWait records what stopped an attempt to place a step.
func (c *Coordinator) noteWait(s *step, r waitReason) {
	s.attemptedAt = c.now
	if s.reason != r {
		s.reason, s.reasonSince = r, c.now
	}
}

// waitReason returns why the step waits, and for how long it has waited for that reason.
func (c *Coordinator) waitReason(s *step) (waitReason, time.Duration) {
	switch {
	case s.waiting == 0:
		return notWaiting, 0
	case s.attemptedAt.IsZero():
		return notTried, c.now.Sub(s.readyAt)
	}
	return s.reason, c.now.Sub(s.reasonSince)
}

// probeWait returns why a task that starts only as a probe has to wait.
func (s *step) probeWait(i int) waitReason {
	if s.crashes(i).suspect() {
		return waitsAfterCrash
	}
	return waitsForOther
}
