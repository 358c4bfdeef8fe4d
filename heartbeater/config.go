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

// Config configures a Heartbeater. Zero durations are replaced by the defaults
// given at each field.
type Config struct {
	Clock clockwork.Clock
	Rand  *rand.Rand
	// Self holds the ID, incarnation, data centre and addresses of this instance.
	Self Member
	// DataCentres lists all data centres. All instances must have the same set,
	// since heartbeats identify a data centre by its index in the sorted list.
	DataCentres []descriptor.DataCentreID
	Directory   connector.Directory
	Pool        *messenger.Pool
	// LocalStatus returns the rules version and the load of this instance that
	// heartbeats carry. It must not block.
	LocalStatus func() (descriptor.RulesVersion, LoadReport)
	// OnRulesVersion is called when a heartbeat carries a higher rules version
	// of a member than before, and with the highest version in another data
	// centre after each stored digest. It may be nil and must not block.
	OnRulesVersion func(from descriptor.InstanceID, version descriptor.RulesVersion)
	Scope          tally.Scope
	Log            *slog.Logger

	// Interval is the time between two heartbeats of a pair of members. The
	// default is 400 ms, so that a member is suspected after three missed
	// heartbeats.
	Interval time.Duration
	// StatusInterval is the time between two heartbeats to the same member that
	// carry the load. The default is 2 s. A new rules version is sent with the
	// next heartbeat.
	StatusInterval time.Duration
	// SuspectAfter and RemoveAfter are the times since the last heartbeat after
	// which a member is suspected and removed. The defaults are 1.2 s and 2 s.
	SuspectAfter, RemoveAfter time.Duration
	// CallTimeout is the timeout of a heartbeat or digest call. The default is 1 s.
	CallTimeout time.Duration
	// CandidateInterval is the time between calls to an instance that is listed
	// but not a member, or that was removed. The default is 1 s.
	CandidateInterval time.Duration
	// RetainFor is how long a removed member is still called and how long the
	// departure of a member is remembered. The default is 1 min, the maximum lag
	// of the platform's directory.
	RetainFor time.Duration
	// DirectoryInterval is the time between reads of the platform's directory.
	// The default is 10 s.
	DirectoryInterval time.Duration
	// DigestInterval is the time between two digest exchanges on a link. The
	// default is 1 s.
	DigestInterval time.Duration
	// RelayInterval is the time between two relays of a digest with unchanged
	// members within the local data centre. The default is 5 s. A change of
	// members is relayed immediately.
	RelayInterval time.Duration
	// ReachableFor is how long after the receipt of a digest its data centre is
	// considered reachable. The default is 3 s.
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
	c.RetainFor = cmp.Or(c.RetainFor, time.Minute)
	c.DirectoryInterval = cmp.Or(c.DirectoryInterval, 10*time.Second)
	c.DigestInterval = cmp.Or(c.DigestInterval, time.Second)
	c.RelayInterval = cmp.Or(c.RelayInterval, 5*time.Second)
	c.ReachableFor = cmp.Or(c.ReachableFor, 3*time.Second)
	if c.LocalStatus == nil {
		c.LocalStatus = func() (descriptor.RulesVersion, LoadReport) { return 0, LoadReport{} }
	}
	if c.OnRulesVersion == nil {
		c.OnRulesVersion = func(descriptor.InstanceID, descriptor.RulesVersion) {}
	}
}
