package authenticator

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	w "github.com/masticlead/masticlead/workload"
)

// ErrStale reports that the configuration was not confirmed recently enough to accept a
// request with a key, or to refuse a request for good.
var ErrStale = errors.New("authenticator: configuration is too old")

// ErrNoClock reports that the clock can't be read.
var ErrNoClock = errors.New("authenticator: clock is unavailable")

// Snapshot is a configuration with the time at which it was last known to be current.
type Snapshot struct {
	Config *w.Config
	// Confirmed is the time right before the read was sent that returned Config or
	// reported that nothing is newer. It is 0 if there was no such read.
	Confirmed time.Duration

	authenticator *Authenticator
}

// Keys returns the number of different keys in the configuration.
func (s *Snapshot) Keys() int { return s.authenticator.Keys() }

// KeysRemovedBy returns the number of keys that next has not, or assigns to other tenants.
func (s *Snapshot) KeysRemovedBy(next *Snapshot) int {
	return s.authenticator.Removed(next.authenticator)
}

// Freshness holds the active configuration and decides whether it is recent enough to
// accept a request with a key, or to refuse one. A request sent at t is checked at c >= t.
// If the configuration was confirmed by a read sent at s > c - Bound >= t - Bound, then
// that read has seen every removal of a key acknowledged before t - Bound. The same holds
// for additions and RefusalBound.
//
// The exported fields must be set before use.
type Freshness struct {
	// Clock returns the time since an arbitrary point. It must advance while the
	// process or the machine is suspended. If it fails, requests with keys are not
	// accepted while Bound is positive.
	Clock func() (time.Duration, error)
	// Bound returns the age from which the configuration is too old, or 0 if there is
	// no such age. A nil function stands for 0.
	Bound func() time.Duration
	// RefusalBound returns the age from which a request must not be refused for good, since
	// a newer configuration may allow it, or 0 if there is no such age. A nil function
	// stands for 0.
	RefusalBound func() time.Duration

	mu      sync.Mutex // held while current is replaced
	current atomic.Pointer[Snapshot]
}

// Snapshot returns the configuration with its confirmation time, or nil if there is none.
func (f *Freshness) Snapshot() *Snapshot { return f.current.Load() }

// Now returns the time of the clock, or 0 if it is unavailable. Apply and Confirm take
// 0 for an unknown time.
func (f *Freshness) Now() time.Duration {
	now, err := f.now()
	if err != nil {
		return 0
	}
	return now
}

func (f *Freshness) now() (time.Duration, error) {
	if f.Clock == nil {
		return 0, ErrNoClock
	}
	return f.Clock()
}

// checkAge returns an error that wraps ErrStale if a snapshot is as old as a bound, or its
// age is unknown.
func (f *Freshness) checkAge(s *Snapshot, bound func() time.Duration) error {
	limit := time.Duration(0)
	if bound != nil {
		limit = bound()
	}
	if limit == 0 {
		return nil
	}
	age, err := f.Age(s)
	switch {
	case errors.Is(err, ErrStale):
		return err
	case err != nil:
		return errors.Join(ErrStale, err)
	case age >= limit:
		return ErrStale
	}
	return nil
}

// Apply makes cfg the active configuration if it has a higher version, and reports
// whether it did. sent is the time right before the read was sent that returned cfg.
// The active configuration is confirmed unless cfg has a lower version.
func (f *Freshness) Apply(cfg *w.Config, sent time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.current.Load()
	if old != nil {
		if cfg.Version < old.Config.Version {
			return false
		}
		// A newer configuration is at least as recent as the one that it replaces.
		sent = max(sent, old.Confirmed)
		if cfg.Version == old.Config.Version {
			f.current.Store(&Snapshot{old.Config, sent, old.authenticator})
			return false
		}
	}
	f.current.Store(&Snapshot{cfg, sent, New(cfg.Tenants)})
	return true
}

// Confirm records that a read sent at the given time reported that nothing is newer
// than a configuration that was passed to Apply.
func (f *Freshness) Confirm(sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.current.Load(); s != nil && sent > s.Confirmed {
		f.current.Store(&Snapshot{s.Config, sent, s.authenticator})
	}
}

// Age returns the time since a snapshot was confirmed. It fails with ErrStale if it never
// was, or if the clock has gone back since.
func (f *Freshness) Age(s *Snapshot) (time.Duration, error) {
	now, err := f.now()
	if err != nil {
		return 0, err
	}
	if s.Confirmed == 0 || now < s.Confirmed {
		return 0, ErrStale
	}
	return now - s.Confirmed, nil
}

// OlderThan reports whether a snapshot's age exceeds a limit or is unknown.
func (f *Freshness) OlderThan(s *Snapshot, limit time.Duration) bool {
	age, err := f.Age(s)
	return err != nil || age > limit
}

// CheckRefusal returns an error that wraps ErrStale if a snapshot is too old to refuse a
// request for good.
func (f *Freshness) CheckRefusal(s *Snapshot) error { return f.checkAge(s, f.RefusalBound) }

// Authenticate returns the tenant of a credential according to a snapshot. It fails with
// ErrUnknownKey, or with an error that wraps ErrStale if the snapshot is too old to tell.
func (f *Freshness) Authenticate(s *Snapshot, c Credential) (w.TenantName, error) {
	tenant, err := s.authenticator.Tenant(c)
	if err != nil {
		if stale := f.CheckRefusal(s); stale != nil {
			return "", stale
		}
		return "", err
	}
	if err := f.checkAge(s, f.Bound); err != nil {
		return "", err
	}
	return tenant, nil
}
