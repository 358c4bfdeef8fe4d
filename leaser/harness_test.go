package leaser

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/faketable"
)

// processClock is the clock of one process. It runs at its own rate and blocks
// while the process is paused. Inside a synctest bubble the underlying clock is
// a fake one.
type processClock struct {
	clockwork.Clock
	origin time.Time
	rate   float64

	mu     sync.Mutex
	paused chan struct{} // nil while running
}

func newProcessClock(rate float64) *processClock {
	return &processClock{Clock: clockwork.NewRealClock(), origin: time.Now(), rate: rate}
}

func (c *processClock) gate() {
	c.mu.Lock()
	paused := c.paused
	c.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (c *processClock) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.paused == nil {
		c.paused = make(chan struct{})
	}
}

func (c *processClock) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.paused != nil {
		close(c.paused)
		c.paused = nil
	}
}

func (c *processClock) isPaused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paused != nil
}

func (c *processClock) Now() time.Time {
	c.gate()
	return c.origin.Add(time.Duration(float64(time.Since(c.origin)) * c.rate))
}

// real converts a time of this clock to the bubble's clock.
func (c *processClock) real(t time.Time) time.Time {
	return c.origin.Add(time.Duration(float64(t.Sub(c.origin)) / c.rate))
}

func (c *processClock) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) / c.rate)
}

func (c *processClock) NewTimer(d time.Duration) clockwork.Timer {
	c.gate()
	return c.Clock.NewTimer(c.scale(d))
}

func (c *processClock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	return c.Clock.AfterFunc(c.scale(d), f)
}

// process is one incarnation of an instance's process.
type process struct {
	name   descriptor.InstanceID
	clock  *processClock
	client *faketable.Client
	leaser *Leaser
	cancel context.CancelFunc
	ended  chan struct{}

	mu       sync.Mutex
	safeFrom map[descriptor.SliceID]time.Time
	gained   map[descriptor.SliceID]descriptor.Epoch
	// until holds the latest end of a grant, on the bubble's clock.
	until map[descriptor.SliceID]time.Time
}

// cell is a data centre of processes with one table.
type cell struct {
	t     *testing.T
	table *faketable.Table
	rng   *rand.Rand
	// settings is the template of each process' settings.
	settings Config
	// wrapPeers changes the peers of the processes to be started.
	wrapPeers func(Peers) Peers

	mu       sync.Mutex
	running  map[descriptor.InstanceID]*process
	all      []*process
	isolated map[descriptor.InstanceID]bool // from peers
	faults   faketable.Faults
	epochs   map[string]*process
}

func newCell(t *testing.T, seed uint64) *cell {
	return &cell{
		t:     t,
		table: faketable.New(seed),
		rng:   rand.New(rand.NewPCG(seed, 2)),
		settings: Config{
			DataCentre: "gyor",
			Lease:      DefaultLease, Renewal: DefaultRenewal, Promise: DefaultPromise, MaxExtension: DefaultMaxExtension,
		},
		running:  map[descriptor.InstanceID]*process{},
		isolated: map[descriptor.InstanceID]bool{},
		epochs:   map[string]*process{},
	}
}

// start starts a process. Clock rates differ by under 1%.
func (c *cell) start(name descriptor.InstanceID) *process {
	p := &process{
		name:     name,
		clock:    newProcessClock(0.9955 + 0.009*c.rng.Float64()),
		client:   c.table.Client(),
		ended:    make(chan struct{}),
		safeFrom: map[descriptor.SliceID]time.Time{},
		gained:   map[descriptor.SliceID]descriptor.Epoch{},
		until:    map[descriptor.SliceID]time.Time{},
	}
	p.client.Gate = p.clock.gate
	p.client.Set(c.faults)
	cfg := c.settings
	cfg.Clock = p.clock
	cfg.Rand = rand.New(rand.NewPCG(c.rng.Uint64(), 3))
	cfg.Table = p.client
	cfg.Peers = &fakePeers{cell: c, from: name}
	if c.wrapPeers != nil {
		cfg.Peers = c.wrapPeers(cfg.Peers)
	}
	cfg.Instance = name
	p.leaser = New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	c.mu.Lock()
	c.running[name] = p
	c.all = append(c.all, p)
	c.mu.Unlock()
	go func() {
		defer close(p.ended)
		_ = p.leaser.Run(ctx)
	}()
	go p.readChanges()
	return p
}

func (p *process) readChanges() {
	for ch := range p.leaser.Changes() {
		p.mu.Lock()
		if ch.Owned {
			p.safeFrom[ch.Slice] = ch.SafeFrom
			p.gained[ch.Slice] = ch.Epoch
		} else {
			delete(p.gained, ch.Slice)
		}
		p.mu.Unlock()
	}
}

// kill ends a process without a release.
func (c *cell) kill(name descriptor.InstanceID) {
	p := c.process(name)
	c.mu.Lock()
	delete(c.running, name)
	c.mu.Unlock()
	p.client.Set(faketable.Faults{Down: true})
	p.cancel()
	p.clock.resume()
	<-p.ended
}

// leave ends a process gracefully.
func (c *cell) leave(name descriptor.InstanceID) error {
	p := c.process(name)
	err := p.leaser.Close()
	c.mu.Lock()
	delete(c.running, name)
	c.mu.Unlock()
	p.cancel()
	return err
}

func (c *cell) process(name descriptor.InstanceID) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running[name]
}

// end stops everything, so that the bubble can end.
func (c *cell) end() {
	for _, p := range c.all {
		p.client.Set(faketable.Faults{Down: true})
		p.clock.resume()
		p.cancel()
		<-p.ended
		_ = p.leaser.Close()
	}
	c.table.Wait()
	synctest.Wait()
}

// setFaults changes the connections of all processes to the table.
func (c *cell) setFaults(f faketable.Faults) {
	c.faults = f
	for _, p := range c.running {
		p.client.Set(f)
	}
}

// run advances the bubble's clock and checks the safety rules in small steps.
func (c *cell) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		synctest.Wait()
		c.check()
	}
}

// check records all grants and requires that a slice is only usable by one
// process: every grant that another process was given has ended by the time at
// which the slice is safe to use.
func (c *cell) check() {
	now := time.Now()
	holders := map[descriptor.SliceID]*process{}
	for _, p := range c.running {
		if p.clock.isPaused() {
			continue
		}
		for s := range descriptor.SliceID(descriptor.SliceCount) {
			g, ok := p.leaser.Grant(s)
			if !ok {
				continue
			}
			other, taken := holders[s]
			require.False(c.t, taken, "slice %d is granted to %s and %s", s, p.name, name(other))
			holders[s] = p
			c.checkEpoch(p, g)
			c.checkSafe(p, s, now)
			if until := p.clock.real(g.Until); until.After(p.until[s]) {
				p.until[s] = until
			}
		}
	}
}

func name(p *process) descriptor.InstanceID {
	if p == nil {
		return ""
	}
	return p.name
}

func (c *cell) checkEpoch(p *process, g Grant) {
	id := fmt.Sprintf("%d.%d", g.Slice, g.Epoch)
	if owner := c.epochs[id]; owner != nil {
		require.Same(c.t, owner, p, "epoch %s was used by %s and %s", id, owner.name, p.name)
	}
	c.epochs[id] = p
}

func (c *cell) checkSafe(p *process, s descriptor.SliceID, now time.Time) {
	p.mu.Lock()
	safe, gained := p.safeFrom[s]
	p.mu.Unlock()
	require.True(c.t, gained, "%s has a grant for slice %d without a change", p.name, s)
	if now.Before(p.clock.real(safe)) {
		return
	}
	for _, other := range c.all {
		if other != p {
			require.False(c.t, now.Before(other.until[s]),
				"%s uses slice %d while %s may, for another %v", p.name, s, other.name, other.until[s].Sub(now))
		}
	}
}

// owned returns the number of slices that each running process has a grant for.
func (c *cell) owned() map[descriptor.InstanceID]int {
	counts := map[descriptor.InstanceID]int{}
	for _, p := range c.running {
		if p.clock.isPaused() {
			continue
		}
		counts[p.name] = 0
		for s := range descriptor.SliceID(descriptor.SliceCount) {
			if _, ok := p.leaser.Grant(s); ok {
				counts[p.name]++
			}
		}
	}
	return counts
}

func (c *cell) total() int {
	n := 0
	for _, k := range c.owned() {
		n += k
	}
	return n
}

// awaitOwned runs until all slices are granted and returns the time it took.
func (c *cell) awaitOwned(limit time.Duration) time.Duration {
	start := time.Now()
	for c.total() < descriptor.SliceCount {
		require.Less(c.t, time.Since(start), limit, "slices without an owner: %v", c.owned())
		c.run(50 * time.Millisecond)
	}
	return time.Since(start)
}

var errPartitioned = errors.New("peer can't be reached")

// fakePeers carries requests between the processes of a cell.
type fakePeers struct {
	cell *cell
	from descriptor.InstanceID
}

func (f *fakePeers) reach(to descriptor.InstanceID) (*process, error) {
	f.cell.mu.Lock()
	defer f.cell.mu.Unlock()
	p := f.cell.running[to]
	if p == nil || f.cell.isolated[to] || f.cell.isolated[f.from] {
		return nil, errPartitioned
	}
	return p, nil
}

// call runs a handler in the process of the receiver, which may be paused.
func call[Q, R any](ctx context.Context, f *fakePeers, to descriptor.InstanceID, q Q, handler func(*Leaser, Q) R) (R, error) {
	var zero R
	p, err := f.reach(to)
	if err != nil {
		return zero, err
	}
	reply := make(chan R, 1)
	go func() {
		time.Sleep(time.Millisecond)
		p.clock.gate()
		reply <- handler(p.leaser, q)
	}()
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

func (f *fakePeers) Promise(ctx context.Context, to descriptor.InstanceID, r PromiseRequest) (PromiseReply, error) {
	return call(ctx, f, to, r, (*Leaser).HandlePromise)
}

func (f *fakePeers) Consent(ctx context.Context, to descriptor.InstanceID, r ConsentRequest) (ConsentReply, error) {
	return call(ctx, f, to, r, (*Leaser).HandleConsent)
}

var _ connector.Table = (*faketable.Client)(nil)
