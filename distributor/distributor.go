// Package distributor replicates the operators' rules to all instances, by push
// and pull between peers and by reads from the platform's table service and
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

// MaxBody is the maximum size of a rules file in bytes. It equals the body limit
// of the HTTP API and keeps a compressed file well below the frame size limit.
const MaxBody = 256 << 10

// Config holds the dependencies and settings of a Distributor. Durations and
// rates that are zero take the default given in their comment.
type Config struct {
	Clock   clockwork.Clock
	Rand    *rand.Rand
	Table   connector.Table
	Objects connector.ObjectStore
	Pool    *messenger.Pool
	// Members returns the live members of a data centre.
	Members     func(dc descriptor.DataCentreID) []heartbeater.Member
	Self        descriptor.InstanceID
	DataCentre  descriptor.DataCentreID
	DataCentres []descriptor.DataCentreID
	// Parse validates a rules file and returns the parsed rules.
	Parse func(version descriptor.RulesVersion, body []byte) (*descriptor.Rules, error)
	// OnInstall, if not nil, is called with each installed version, in
	// increasing order.
	OnInstall func(*descriptor.Rules)
	Scope     tally.Scope
	Log       *slog.Logger

	// TickInterval is the period at which Run checks for due work; default 250 ms.
	TickInterval time.Duration
	// HeadInterval is the minimum time between two reads of the head row by this
	// instance; default 5 s.
	HeadInterval time.Duration
	// HeadReadRate limits the reads of the head row per second across all
	// instances; default 60.
	HeadReadRate float64
	// PullDelay is the maximum time to wait for a push of a higher version seen
	// at a peer before pulling it; default 1 s.
	PullDelay time.Duration
	// RetryInterval is the period at which members are scanned for higher
	// versions, which retries failed pulls, and the maximum time between
	// bootstrap attempts; default 1 s.
	RetryInterval time.Duration
	// CallTimeout limits each call to a peer or the store; default 2 s.
	CallTimeout time.Duration
	// ApplyTimeout limits an Apply whose context has no deadline; default 15 s.
	ApplyTimeout time.Duration
}

func (c *Config) setDefaults() {
	c.Clock = cmp.Or[clockwork.Clock](c.Clock, clockwork.NewRealClock())
	c.Rand = cmp.Or(c.Rand, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	c.Scope = cmp.Or[tally.Scope](c.Scope, tally.NoopScope)
	c.Log = cmp.Or(c.Log, slog.Default())
	c.TickInterval = cmp.Or(c.TickInterval, 250*time.Millisecond)
	c.HeadInterval = cmp.Or(c.HeadInterval, 5*time.Second)
	c.HeadReadRate = cmp.Or(c.HeadReadRate, 60)
	c.PullDelay = cmp.Or(c.PullDelay, time.Second)
	c.RetryInterval = cmp.Or(c.RetryInterval, time.Second)
	c.CallTimeout = cmp.Or(c.CallTimeout, 2*time.Second)
	c.ApplyTimeout = cmp.Or(c.ApplyTimeout, 15*time.Second)
	if c.OnInstall == nil {
		c.OnInstall = func(*descriptor.Rules) {}
	}
}

// Distributor holds the current rules and keeps them up to date.
type Distributor struct {
	cfg Config

	// installMu serialises installs so that OnInstall sees versions in order.
	installMu sync.Mutex

	mu               sync.Mutex
	current          *ruleset // nil until the first install
	installedAt      time.Time
	pending          pendingVersion
	storeReachable   bool
	lastStoreContact time.Time
	nextHeadRead     time.Time
	nextMemberScan   time.Time
	// nextBootstrap is the time of the next bootstrap attempt; storeQueried
	// records whether bootstrap has already read the store.
	nextBootstrap time.Time
	storeQueried  bool
	reading       bool // a head poll or a bootstrap is in progress
	pulling       bool // a pull is in progress
	closing       bool

	baseCtx  context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	inFlight atomic.Int64 // background operations in progress
}

// pendingVersion is a version seen at a peer but not yet installed.
type pendingVersion struct {
	version descriptor.RulesVersion
	source  descriptor.InstanceID
	pullAt  time.Time // when to pull it unless it arrives by push
}

// New returns a Distributor without rules. Background work starts with Run.
func New(cfg Config) *Distributor {
	cfg.setDefaults()
	d := &Distributor{cfg: cfg}
	d.baseCtx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Register registers the push and pull handlers on the server.
func (d *Distributor) Register(s *messenger.Server) {
	messenger.HandleControl(s, methodPush, d.onPush)
	messenger.HandleControl(s, methodPull, d.onPull)
}

// Run keeps the rules up to date until ctx is done or Close is called.
func (d *Distributor) Run(ctx context.Context) error {
	d.mu.Lock()
	if d.closing {
		d.mu.Unlock()
		return nil
	}
	d.wg.Add(1)
	d.mu.Unlock()
	defer d.wg.Done()
	ticker := d.cfg.Clock.NewTicker(d.cfg.TickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && d.baseCtx.Err() == nil {
		d.tick()
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
		case <-d.baseCtx.Done():
		}
	}
	return nil
}

// Close stops Run and all background operations and waits for them to finish.
func (d *Distributor) Close() error {
	d.mu.Lock()
	d.closing = true
	d.mu.Unlock()
	d.cancel()
	d.wg.Wait()
	return nil
}

// Current returns the installed rules file and when it was installed. The
// version is 0 if there is none. The body must not be modified.
func (d *Distributor) Current() (version descriptor.RulesVersion, body []byte, installedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == nil {
		return 0, nil, time.Time{}
	}
	return d.current.Version, d.current.body, d.installedAt
}

// StoreReachable reports whether the last call to the store succeeded, and the
// time of the last successful call.
func (d *Distributor) StoreReachable() (ok bool, lastStoreContact time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeReachable, d.lastStoreContact
}

// recordStoreCall records whether a call to the store succeeded.
func (d *Distributor) recordStoreCall(ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeReachable = ok
	if ok {
		d.lastStoreContact = d.cfg.Clock.Now()
	}
}

// version returns the installed version, or 0 if there is none.
func (d *Distributor) version() descriptor.RulesVersion {
	v, _, _ := d.Current()
	return v
}

// spawn runs f in a goroutine and reports whether it did; it does not once the
// Distributor is closing.
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
	d.inFlight.Add(1)
	go func() {
		defer d.wg.Done()
		defer d.inFlight.Add(-1)
		f(d.baseCtx)
	}()
	return true
}
