package messenger

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/masticlead/masticlead/descriptor"
)

// Pool makes calls to other instances over one connection per peer address, and
// one more for control calls.
// Exported fields are set before the first call; those left at zero get the
// defaults named there.
type Pool struct {
	// Self is passed to the peers' handlers.
	Self  descriptor.InstanceID
	Log   *slog.Logger
	Scope tally.Scope
	// Clock decides on backoff and suspicion. Deadlines are those of contexts
	// and connections, so they are on the real clock.
	Clock clockwork.Clock
	// Rand spreads reconnects; it is used under a lock.
	Rand *rand.Rand
	// Traffic counts bytes; nil means a counter of its own.
	Traffic *Traffic
	// ClassOf returns the class of a peer; nil means that all peers are in the
	// same data centre.
	ClassOf func(address string) PeerClass
	// Dial opens connections; a net.Dialer by default. Tests put faults here.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// MaxQueued bounds the calls to one peer that are waiting or unanswered;
	// 256 by default.
	MaxQueued int
	// MaxControl is the same bound for control calls; 32 by default, as digests of
	// up to 15 other data centres may be relayed at once.
	MaxControl int
	// MaxQueuedBytes bounds their parameters for one peer; 4 MiB by default.
	MaxQueuedBytes int64
	// MaxBytes bounds the parameters of all calls; 32 MiB by default, an eighth
	// of the memory that an instance may use.
	MaxBytes int64
	// SuspectAfter is the number of consecutive timeouts after which a peer is
	// suspected; 3 by default.
	SuspectAfter int
	// ProbeEvery is the time between calls to a suspected peer; 500 ms by
	// default.
	ProbeEvery time.Duration
	// BackoffMin and BackoffMax bound the wait after a failed dial; 50 ms and
	// 2 s by default.
	BackoffMin, BackoffMax time.Duration
	// DialTimeout bounds a dial; 1 s by default.
	DialTimeout time.Duration
	// WriteTimeout bounds the write of a frame; DefaultWriteTimeout by default.
	WriteTimeout time.Duration
	// IdleTimeout is how long a connection without calls is kept; one minute by
	// default.
	IdleTimeout time.Duration

	once   sync.Once
	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
	bytes  atomic.Int64
	base   context.Context // ends when the pool closes
	cancel context.CancelFunc
	done   <-chan struct{}
	wg     sync.WaitGroup
	randMu sync.Mutex
}

func (p *Pool) init() {
	p.once.Do(func() {
		p.Log = orDefault(p.Log, slog.Default())
		p.Scope = orDefault(p.Scope, tally.NoopScope)
		p.Clock = orDefault[clockwork.Clock](p.Clock, clockwork.NewRealClock())
		p.Rand = orDefault(p.Rand, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		p.Traffic = orDefault(p.Traffic, &Traffic{})
		if p.Dial == nil {
			p.Dial = (&net.Dialer{}).DialContext
		}
		p.MaxQueued = orDefault(p.MaxQueued, 256)
		p.MaxControl = orDefault(p.MaxControl, 32)
		p.MaxQueuedBytes = orDefault(p.MaxQueuedBytes, 4<<20)
		p.MaxBytes = orDefault(p.MaxBytes, 32<<20)
		p.SuspectAfter = orDefault(p.SuspectAfter, 3)
		p.ProbeEvery = orDefault(p.ProbeEvery, 500*time.Millisecond)
		p.BackoffMin = orDefault(p.BackoffMin, 50*time.Millisecond)
		p.BackoffMax = orDefault(p.BackoffMax, 2*time.Second)
		p.DialTimeout = orDefault(p.DialTimeout, time.Second)
		p.WriteTimeout = orDefault(p.WriteTimeout, DefaultWriteTimeout)
		p.IdleTimeout = orDefault(p.IdleTimeout, time.Minute)
		p.peers = map[string]*peer{}
		p.base, p.cancel = context.WithCancel(context.Background())
		p.done = p.base.Done()
	})
}

// Suspected reports whether calls to the peer fail fast at the moment.
func (p *Pool) Suspected(address string) bool {
	pe := p.existing(address)
	return pe != nil && pe.health.suspected()
}

// ConsecutiveTimeouts returns how many calls to the peer have timed out since it
// was last heard.
func (p *Pool) ConsecutiveTimeouts(address string) int {
	pe := p.existing(address)
	if pe == nil {
		return 0
	}
	return pe.health.consecutiveTimeouts()
}

// Close closes all connections and waits. Calls in progress fail.
func (p *Pool) Close() error {
	p.init()
	p.mu.Lock()
	p.closed = true
	p.cancel()
	p.mu.Unlock()
	p.wg.Wait()
	return nil
}

func (p *Pool) existing(address string) *peer {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers[address]
}

// enter takes the call's share of all bounds and starts its lane.
func (p *Pool) enter(address string, c *call) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return fmt.Errorf("%w: pool is closed", ErrPeerUnreachable)
	}
	pe := p.peers[address]
	if pe == nil {
		pe = p.newPeer(address)
	}
	if !c.control && !pe.health.admit(p.Clock.Now()) {
		p.Scope.Counter("suspected_peer").Inc(1)
		return fmt.Errorf("%w: %s does not answer", ErrPeerUnreachable, address)
	}
	ln := &pe.lanes[0]
	if c.control {
		ln = &pe.lanes[1]
	}
	if err := ln.take(c); err != nil {
		p.Scope.Counter("queue_full").Inc(1)
		return fmt.Errorf("%w: %s: %w", ErrPeerBusy, address, err)
	}
	p.peers[address] = pe
	if !ln.running {
		ln.running = true
		p.wg.Add(1)
		go ln.run()
	}
	return nil
}

func (p *Pool) newPeer(address string) *peer {
	pe := &peer{
		pool: p, address: address, class: SameDataCentre,
		health: health{
			suspectAfter: p.SuspectAfter, probeEvery: p.ProbeEvery,
			backoffMin: p.BackoffMin, backoffMax: p.BackoffMax,
		},
	}
	if p.ClassOf != nil {
		pe.class = p.ClassOf(address)
	}
	pe.lanes[0] = lane{peer: pe, queue: make(chan *call, p.MaxQueued), limit: p.MaxQueued}
	pe.lanes[1] = lane{peer: pe, control: true, queue: make(chan *call, p.MaxControl), limit: p.MaxControl}
	return pe
}

// dialed notes the result of a dial.
func (p *Pool) dialed(h *health, ok bool) {
	p.randMu.Lock()
	defer p.randMu.Unlock()
	h.dialed(ok, p.Clock.Now(), p.Rand)
}
