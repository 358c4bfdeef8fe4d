package heartbeater

import (
	"cmp"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/messenger"
)

// Config holds what a Heartbeater needs. Times left at zero get the defaults
// named there.
type Config struct {
	Clock clockwork.Clock
	Rand  *rand.Rand
	// Self holds id, incarnation, data centre and addresses of this instance.
	Self Member
	// DataCentres lists all data centres. It must be the same set everywhere,
	// since heartbeats name data centres by their position in its order.
	DataCentres []descriptor.DataCentreID
	Directory   connector.Directory
	Pool        *messenger.Pool
	// Report returns what heartbeats say about this instance. It must not wait.
	Report func() (descriptor.RulesVersion, LoadReport)
	// OnVersion is called with the rules version of a member whenever it rises.
	// It may be nil and must not wait.
	OnVersion func(from descriptor.InstanceID, v descriptor.RulesVersion)
	Scope     tally.Scope
	Log       *slog.Logger

	// Interval is the time between two heartbeats of a pair; 400 ms, so that a
	// member is suspected after three that are missing.
	Interval time.Duration
	// StatusInterval is the time between two heartbeats to the same member with
	// the load; 2 s. A new rules version is sent at once.
	StatusInterval time.Duration
	// SuspectAfter and RemoveAfter count from the last heartbeat; 1.2 s and 2 s.
	SuspectAfter, RemoveAfter time.Duration
	// CallTimeout bounds a heartbeat; 1 s.
	CallTimeout time.Duration
	// CandidateInterval is the time between attempts to reach an instance that
	// is listed or was removed; 1 s.
	CandidateInterval time.Duration
	// ForgetAfter is how long a removed member is still tried and a member that
	// left is remembered; 1 min, the greatest lag of the platform's list.
	ForgetAfter time.Duration
	// DirectoryInterval is the time between reads of the platform's list; 10 s.
	DirectoryInterval time.Duration
	// DigestInterval is the time between two digests on a link; 1 s.
	DigestInterval time.Duration
	// RelayInterval is the time between two relays of an unchanged digest to
	// the own data centre; 5 s. A change of members is relayed at once.
	RelayInterval time.Duration
	// ReachableFor is how long a digest shows that its data centre is
	// reachable; 3 s.
	ReachableFor time.Duration
}

func (c *Config) setDefaults() {
	c.Clock = cmp.Or[clockwork.Clock](c.Clock, clockwork.NewRealClock())
	c.Rand = cmp.Or(c.Rand, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	c.Scope = cmp.Or[tally.Scope](c.Scope, tally.NoopScope)
	c.Log = cmp.Or(c.Log, slog.Default())
	c.Interval = cmp.Or(c.Interval, 400*time.Millisecond)
	c.StatusInterval = cmp.Or(c.StatusInterval, 2*time.Second)
	c.SuspectAfter = cmp.Or(c.SuspectAfter, 1200*time.Millisecond)
	c.RemoveAfter = cmp.Or(c.RemoveAfter, 2*time.Second)
	c.CallTimeout = cmp.Or(c.CallTimeout, time.Second)
	c.CandidateInterval = cmp.Or(c.CandidateInterval, time.Second)
	c.ForgetAfter = cmp.Or(c.ForgetAfter, time.Minute)
	c.DirectoryInterval = cmp.Or(c.DirectoryInterval, 10*time.Second)
	c.DigestInterval = cmp.Or(c.DigestInterval, time.Second)
	c.RelayInterval = cmp.Or(c.RelayInterval, 5*time.Second)
	c.ReachableFor = cmp.Or(c.ReachableFor, 3*time.Second)
	if c.Report == nil {
		c.Report = func() (descriptor.RulesVersion, LoadReport) { return 0, LoadReport{} }
	}
	if c.OnVersion == nil {
		c.OnVersion = func(descriptor.InstanceID, descriptor.RulesVersion) {}
	}
}
