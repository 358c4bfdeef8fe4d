package messenger

import (
	"math/rand/v2"
	"sync"
	"time"
)

// health tracks the timeouts and failed dials of a peer. It reads no clock; all
// times are passed in.
type health struct {
	suspectAfter  int           // consecutive timeouts until the peer is suspected
	probeInterval time.Duration // between calls to a suspected peer
	backoffMin    time.Duration
	backoffMax    time.Duration

	mu           sync.Mutex
	timeouts     int // consecutive timeouts
	lastReceived time.Time
	nextProbe    time.Time
	dialFailures int // consecutive failed dials
	nextDial     time.Time
}

// recordReceived records the receipt of a frame. It ends the suspicion, since a
// peer that sends anything is neither paused nor partitioned.
func (h *health) recordReceived(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timeouts, h.lastReceived = 0, now
}

// recordTimeout records that a call sent at the given time got no reply. The
// timeout counts only if no frame has been received since then, so that a slow
// handler does not make its instance suspected.
func (h *health) recordTimeout(sent, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastReceived.After(sent) {
		return
	}
	h.timeouts++
	if h.timeouts == h.suspectAfter {
		h.nextProbe = now.Add(h.probeInterval)
	}
}

// suspected reports whether suspectAfter consecutive calls have timed out.
func (h *health) suspected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.timeouts >= h.suspectAfter
}

// consecutiveTimeouts returns the number of timeouts since the last received
// frame.
func (h *health) consecutiveTimeouts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.timeouts
}

// allowCall reports whether a call may be sent. To a suspected peer one call per
// probe interval is allowed.
func (h *health) allowCall(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.timeouts < h.suspectAfter {
		return true
	}
	if now.Before(h.nextProbe) {
		return false
	}
	h.nextProbe = now.Add(h.probeInterval)
	return true
}

// allowDial reports whether the backoff after failed dials has expired.
func (h *health) allowDial(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !now.Before(h.nextDial)
}

// recordDial records the result of a dial. A failure doubles the backoff up to
// backoffMax. The upper half of the delay is random, so that instances that lost
// the same peer at the same time don't reconnect simultaneously.
func (h *health) recordDial(ok bool, now time.Time, rng *rand.Rand) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.dialFailures, h.nextDial = 0, time.Time{}
		return
	}
	delay := h.backoffMax
	if h.dialFailures < 16 { // larger shifts would exceed any backoffMax
		delay = min(delay, h.backoffMin<<h.dialFailures)
	}
	h.dialFailures++
	h.nextDial = now.Add(delay/2 + time.Duration(rng.Int64N(int64(delay/2)+1)))
}
