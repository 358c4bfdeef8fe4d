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

// Pool makes calls to other instances, over one connection per peer address and
// another one for control calls. Exported fields must be set before the first
// call. Zero fields get the defaults stated at each field.
type Pool struct {
	// Self is the sender that the handlers of the peers receive.
	Self  descriptor.InstanceID
	Log   *slog.Logger
	Scope tally.Scope
	// Clock is used for backoff and suspicion. The deadlines of contexts and
	// connections use the system clock.
	Clock clockwork.Clock
	// Rand provides the jitter of the dial backoff; its use is serialised by a
	// mutex.
	Rand *rand.Rand
	// Traffic counts bytes; if nil, the pool creates its own.
	Traffic *Traffic
	// ClassOf returns the class of a peer; if nil, all peers are SameDataCentre.
	ClassOf func(address string) PeerClass
	// Dial opens connections; a net.Dialer by default. Tests inject faults here.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// MaxCallsPerPeer is the maximum number of queued and unanswered calls to one
	// peer; 256 by default.
	MaxCallsPerPeer int
	// MaxControlCallsPerPeer is the same limit for control calls; 32 by default,
	// as digests of up to 15 other data centres may be relayed at the same time.
	MaxControlCallsPerPeer int
	// MaxBytesPerPeer is the maximum total size of the parameters of the queued
	// and unanswered calls to one peer; 4 MiB by default.
	MaxBytesPerPeer int64
	// MaxBytes is the maximum total size of the parameters of the calls to all
	// peers; 32 MiB by default, an eighth of the memory that an instance may use.
	MaxBytes int64
	// SuspectAfter is the number of consecutive timeouts after which a peer is
	// suspected; 3 by default.
	SuspectAfter int
	// ProbeInterval is the minimum time between calls to a suspected peer, other
	// than control calls; 500 ms by default.
	ProbeInterval time.Duration
	// BackoffMin and BackoffMax are the initial and the maximum backoff after a
	// failed dial; 50 ms and 2 s by default.
	BackoffMin, BackoffMax time.Duration
	// DialTimeout is the time limit for a dial; 1 s by default.
	DialTimeout time.Duration
	// WriteTimeout is the time limit for writing a frame; DefaultWriteTimeout by
	// default.
	WriteTimeout time.Duration
	// IdleTimeout is how long a connection without calls is kept; one minute by
	// default.
	IdleTimeout time.Duration

	once          sync.Once
	mu            sync.Mutex
	peers         map[string]*peer
	closed        bool
	reservedBytes atomic.Int64
	baseCtx       context.Context // cancelled when the pool is closed
	cancel        context.CancelFunc
	done          <-chan struct{}
	wg            sync.WaitGroup
	randMu        sync.Mutex
}

// init sets the defaults of zero fields.
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
		p.MaxCallsPerPeer = orDefault(p.MaxCallsPerPeer, 256)
		p.MaxControlCallsPerPeer = orDefault(p.MaxControlCallsPerPeer, 32)
		p.MaxBytesPerPeer = orDefault(p.MaxBytesPerPeer, 4<<20)
		p.MaxBytes = orDefault(p.MaxBytes, 32<<20)
		p.SuspectAfter = orDefault(p.SuspectAfter, 3)
		p.ProbeInterval = orDefault(p.ProbeInterval, 500*time.Millisecond)
		p.BackoffMin = orDefault(p.BackoffMin, 50*time.Millisecond)
		p.BackoffMax = orDefault(p.BackoffMax, 2*time.Second)
		p.DialTimeout = orDefault(p.DialTimeout, time.Second)
		p.WriteTimeout = orDefault(p.WriteTimeout, DefaultWriteTimeout)
		p.IdleTimeout = orDefault(p.IdleTimeout, time.Minute)
		p.peers = map[string]*peer{}
		p.baseCtx, p.cancel = context.WithCancel(context.Background())
		p.done = p.baseCtx.Done()
	})
}

// Suspected reports whether the peer is suspected, so that calls to it fail
// immediately except for probes and control calls.
func (p *Pool) Suspected(address string) bool {
	pe := p.lookup(address)
	return pe != nil && pe.health.suspected()
}

// ConsecutiveTimeouts returns the number of calls to the peer that have timed out
// since a frame was last received from it.
func (p *Pool) ConsecutiveTimeouts(address string) int {
	pe := p.lookup(address)
	if pe == nil {
		return 0
	}
	return pe.health.consecutiveTimeouts()
}

// Close closes all connections and waits for the pool's goroutines. Calls in
// progress fail.
func (p *Pool) Close() error {
	p.init()
	p.mu.Lock()
	p.closed = true
	p.cancel()
	p.mu.Unlock()
	p.wg.Wait()
	return nil
}

// lookup returns the peer with the address, or nil.
func (p *Pool) lookup(address string) *peer {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers[address]
}

// admit rejects calls to suspected peers, reserves the call's share of all limits
// and starts its send queue if it is not running.
func (p *Pool) admit(address string, c *call) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return fmt.Errorf("%w: pool is closed", ErrPeerUnreachable)
	}
	pe := p.peers[address]
	if pe == nil {
		pe = p.newPeer(address)
	}
	if !c.control && !pe.health.allowCall(p.Clock.Now()) {
		p.Scope.Counter("suspected_peer").Inc(1)
		return fmt.Errorf("%w: %s is suspected", ErrPeerUnreachable, address)
	}
	q := &pe.queues[0]
	if c.control {
		q = &pe.queues[1]
	}
	if err := q.reserve(c); err != nil {
		p.Scope.Counter("queue_full").Inc(1)
		return fmt.Errorf("%w: %s: %w", ErrPeerBusy, address, err)
	}
	p.peers[address] = pe
	if !q.running {
		q.running = true
		p.wg.Add(1)
		go q.run()
	}
	return nil
}

func (p *Pool) newPeer(address string) *peer {
	pe := &peer{
		pool: p, address: address, class: SameDataCentre,
		health: health{
			suspectAfter: p.SuspectAfter, probeInterval: p.ProbeInterval,
			backoffMin: p.BackoffMin, backoffMax: p.BackoffMax,
		},
	}
	if p.ClassOf != nil {
		pe.class = p.ClassOf(address)
	}
	pe.queues[0] = sendQueue{peer: pe, calls: make(chan *call, p.MaxCallsPerPeer), limit: p.MaxCallsPerPeer}
	pe.queues[1] = sendQueue{peer: pe, control: true, calls: make(chan *call, p.MaxControlCallsPerPeer), limit: p.MaxControlCallsPerPeer}
	return pe
}

// recordDial records the result of a dial.
func (p *Pool) recordDial(h *health, ok bool) {
	p.randMu.Lock()
	defer p.randMu.Unlock()
	h.recordDial(ok, p.Clock.Now(), p.Rand)
}
