package messenger

import (
	"math/rand/v2"
	"sync"
	"time"
)

// health tracks whether a peer answers. It has no clock of its own; all times
// are passed in.
type health struct {
	suspectAfter int           // consecutive timeouts
	probeEvery   time.Duration // between calls to a suspected peer
	backoffMin   time.Duration
	backoffMax   time.Duration

	mu        sync.Mutex
	timeouts  int
	lastHeard time.Time
	nextProbe time.Time
	failures  int // consecutive failed dials
	nextDial  time.Time
}

// heard notes that a frame came in. It ends the suspicion, since a peer that
// answers anything is neither paused nor cut off.
func (h *health) heard(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timeouts, h.lastHeard = 0, now
}

// timedOut notes a call without an answer that was sent at the given time. It
// counts only if nothing at all came in since then: a slow handler does not make
// its instance suspect.
func (h *health) timedOut(sent, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastHeard.After(sent) {
		return
	}
	h.timeouts++
	if h.timeouts == h.suspectAfter {
		h.nextProbe = now.Add(h.probeEvery)
	}
}

// suspected reports whether the peer is suspected.
func (h *health) suspected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.timeouts >= h.suspectAfter
}

// consecutiveTimeouts returns the timeouts since the peer was last heard.
func (h *health) consecutiveTimeouts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.timeouts
}

// admit reports whether a call may be sent. While the peer is suspected one call
// per probe interval is.
func (h *health) admit(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.timeouts < h.suspectAfter {
		return true
	}
	if now.Before(h.nextProbe) {
		return false
	}
	h.nextProbe = now.Add(h.probeEvery)
	return true
}

// mayDial reports whether the backoff after failed dials has passed.
func (h *health) mayDial(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !now.Before(h.nextDial)
}

// dialed notes the result of a dial. A failure doubles the backoff, of which a
// random half is taken, so that instances that lost the same peer at the same
// moment don't return together.
func (h *health) dialed(ok bool, now time.Time, random *rand.Rand) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.failures, h.nextDial = 0, time.Time{}
		return
	}
	wait := h.backoffMax
	if h.failures < 16 { // beyond it the shift would exceed any maximum
		wait = min(wait, h.backoffMin<<h.failures)
	}
	h.failures++
	h.nextDial = now.Add(wait/2 + time.Duration(random.Int64N(int64(wait/2)+1)))
}
