// Package distributor brings the operators' rules to all instances: by push
// among peers, by pull from peers, and from the platform's table service and
// object store.
package distributor

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/heartbeater"
	"github.com/masticlead/masticlead/messenger"
)

// MaxBody is the largest rules file in bytes. It is the bound of bodies in the
// HTTP API, and leaves a compressed file far below the limit of a frame.
const MaxBody = 256 << 10

// Config holds what a Distributor needs. Times left at zero get the defaults
// named there.
type Config struct {
	Clock   clockwork.Clock
	Rand    *rand.Rand
	Table   connector.Table
	Objects connector.Objects
	Pool    *messenger.Pool
	// Members returns the live members of a data centre.
	Members     func(dc descriptor.DataCentreID) []heartbeater.Member
	Self        descriptor.InstanceID
	DataCentre  descriptor.DataCentreID
	DataCentres []descriptor.DataCentreID
	// Parse checks a rules file and builds the rules.
	Parse func(version descriptor.RulesVersion, body []byte) (*descriptor.Rules, error)
	// OnInstall is called with each version that comes into force, in order. It
	// may be nil.
	OnInstall func(*descriptor.Rules)
	Scope     tally.Scope
	Log       *slog.Logger

	// Interval is the time between two checks for work; 250 ms.
	Interval time.Duration
	// HeadInterval is the least time between two reads of the head row; 5 s.
	HeadInterval time.Duration
	// HeadReads bounds the reads of the head row of all instances together, per
	// second; 60.
	HeadReads float64
	// PullDelay is how long a higher version seen at a peer may take to arrive
	// by push before it is pulled; 1 s.
	PullDelay time.Duration
	// RetryInterval is the time between attempts to get a version that failed,
	// and between attempts without any rules; 1 s.
	RetryInterval time.Duration
	// CallTimeout bounds each call to a peer or the store; 2 s.
	CallTimeout time.Duration
	// ApplyTimeout bounds an Apply whose context has no deadline; 15 s.
	ApplyTimeout time.Duration
}

func (c *Config) setDefaults() {
	c.Clock = cmp.Or[clockwork.Clock](c.Clock, clockwork.NewRealClock())
	c.Rand = cmp.Or(c.Rand, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	c.Scope = cmp.Or[tally.Scope](c.Scope, tally.NoopScope)
	c.Log = cmp.Or(c.Log, slog.Default())
	c.Interval = cmp.Or(c.Interval, 250*time.Millisecond)
	c.HeadInterval = cmp.Or(c.HeadInterval, 5*time.Second)
	c.HeadReads = cmp.Or(c.HeadReads, 60)
	c.PullDelay = cmp.Or(c.PullDelay, time.Second)
	c.RetryInterval = cmp.Or(c.RetryInterval, time.Second)
	c.CallTimeout = cmp.Or(c.CallTimeout, 2*time.Second)
	c.ApplyTimeout = cmp.Or(c.ApplyTimeout, 15*time.Second)
	if c.OnInstall == nil {
		c.OnInstall = func(*descriptor.Rules) {}
	}
}

// Distributor holds the rules in force and keeps them up to date.
type Distributor struct {
	cfg Config

	// installMu serialises installs, so that OnInstall sees versions in order.
	installMu sync.Mutex

	mu          sync.Mutex
	current     *ruleset // nil without rules
	since       time.Time
	wanted      wanted
	storeOK     bool
	lastContact time.Time
	nextHead    time.Time
	nextScan    time.Time
	// nextBootstrap is when to look for the first rules again, and askedStore
	// whether the store was asked for them.
	nextBootstrap time.Time
	askedStore    bool
	reading       bool // a read of the head row is in progress
	pulling       bool // a pull is in progress
	closing       bool

	base context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	busy atomic.Int64 // activities in progress
}

// wanted is a version that was seen at a peer and has not arrived.
type wanted struct {
	version descriptor.RulesVersion
	from    descriptor.InstanceID
	at      time.Time // when to pull it
}

// New returns a Distributor without rules. It is idle until Run.
func New(cfg Config) *Distributor {
	cfg.setDefaults()
	d := &Distributor{cfg: cfg}
	d.base, d.stop = context.WithCancel(context.Background())
	return d
}

// Register adds the handlers to the server.
func (d *Distributor) Register(s *messenger.Server) {
	messenger.HandleControl(s, methodPush, d.onPush)
	messenger.HandleControl(s, methodPull, d.onPull)
}

// Run keeps the rules up to date until the context ends or Close is called.
func (d *Distributor) Run(ctx context.Context) error {
	d.mu.Lock()
	if d.closing {
		d.mu.Unlock()
		return nil
	}
	d.wg.Add(1)
	d.mu.Unlock()
	defer d.wg.Done()
	ticker := d.cfg.Clock.NewTicker(d.cfg.Interval)
	defer ticker.Stop()
	for ctx.Err() == nil && d.base.Err() == nil {
		d.tick()
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
		case <-d.base.Done():
		}
	}
	return nil
}

// Close stops Run and all activities, and waits for them.
func (d *Distributor) Close() error {
	d.mu.Lock()
	d.closing = true
	d.mu.Unlock()
	d.stop()
	d.wg.Wait()
	return nil
}

// Current returns the rules file in force and since when it is. The version is 0
// if there is none. The body must not be changed.
func (d *Distributor) Current() (version descriptor.RulesVersion, body []byte, since time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == nil {
		return 0, nil, time.Time{}
	}
	return d.current.Version, d.current.body, d.since
}

// StoreReachable reports whether the last call to the store succeeded, and when
// one last did.
func (d *Distributor) StoreReachable() (ok bool, lastContact time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeOK, d.lastContact
}

// noteStore notes the result of a call to the store.
func (d *Distributor) noteStore(ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeOK = ok
	if ok {
		d.lastContact = d.cfg.Clock.Now()
	}
}

// version returns the version in force.
func (d *Distributor) version() descriptor.RulesVersion {
	v, _, _ := d.Current()
	return v
}

// spawn runs f unless the Distributor is closing.
func (d *Distributor) spawn(f func(ctx context.Context)) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.spawnLocked(f)
}

func (d *Distributor) spawnLocked(f func(ctx context.Context)) bool {
	if d.closing {
		return false
	}
	d.wg.Add(1)
	d.busy.Add(1)
	go func() {
		defer d.wg.Done()
		defer d.busy.Add(-1)
		f(d.base)
	}()
	return true
}
