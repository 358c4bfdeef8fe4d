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

// processClock is the clock of one process. It runs at its own rate, and its calls
// block while the process is paused. In a synctest bubble the underlying clock is
// the fake clock of the bubble.
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

func (c *processClock) waitWhilePaused() {
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
	c.waitWhilePaused()
	return c.origin.Add(time.Duration(float64(time.Since(c.origin)) * c.rate))
}

// toBubbleTime converts a time of this clock to the bubble's clock.
func (c *processClock) toBubbleTime(t time.Time) time.Time {
	return c.origin.Add(time.Duration(float64(t.Sub(c.origin)) / c.rate))
}

func (c *processClock) toBubbleDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / c.rate)
}

func (c *processClock) NewTimer(d time.Duration) clockwork.Timer {
	c.waitWhilePaused()
	return c.Clock.NewTimer(c.toBubbleDuration(d))
}

func (c *processClock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	return c.Clock.AfterFunc(c.toBubbleDuration(d), f)
}

// process is one run of an instance's process.
type process struct {
	name   descriptor.InstanceID
	clock  *processClock
	client *faketable.Client
	leaser *Leaser
	cancel context.CancelFunc
	done   chan struct{}

	mu          sync.Mutex
	safeFrom    map[descriptor.SliceID]time.Time
	ownedEpochs map[descriptor.SliceID]descriptor.Epoch
	// grantEnds holds the latest end of a grant for each slice, on the bubble's
	// clock.
	grantEnds map[descriptor.SliceID]time.Time
}

// cell is a data centre whose processes share one table.
type cell struct {
	t     *testing.T
	table *faketable.Table
	rng   *rand.Rand
	// config is the template for the configuration of each process.
	config Config
	// wrapPeers wraps the Peers of processes started from now on.
	wrapPeers func(Peers) Peers

	mu          sync.Mutex
	running     map[descriptor.InstanceID]*process
	all         []*process
	isolated    map[descriptor.InstanceID]bool // disconnected from peers
	faults      faketable.Faults
	epochOwners map[string]*process
}

func newCell(t *testing.T, seed uint64) *cell {
	return &cell{
		t:     t,
		table: faketable.New(seed),
		rng:   rand.New(rand.NewPCG(seed, 2)),
		config: Config{
			DataCentre:    "gyor",
			LeaseDuration: DefaultLeaseDuration, RenewalInterval: DefaultRenewalInterval, PromiseDuration: DefaultPromiseDuration, MaxExtension: DefaultMaxExtension,
		},
		running:     map[descriptor.InstanceID]*process{},
		isolated:    map[descriptor.InstanceID]bool{},
		epochOwners: map[string]*process{},
	}
}

// start starts a process. Clock rates of processes differ by less than 1%.
func (c *cell) start(name descriptor.InstanceID) *process {
	p := &process{
		name:        name,
		clock:       newProcessClock(0.9955 + 0.009*c.rng.Float64()),
		client:      c.table.Client(),
		done:        make(chan struct{}),
		safeFrom:    map[descriptor.SliceID]time.Time{},
		ownedEpochs: map[descriptor.SliceID]descriptor.Epoch{},
		grantEnds:   map[descriptor.SliceID]time.Time{},
	}
	p.client.WaitWhilePaused = p.clock.waitWhilePaused
	p.client.SetFaults(c.faults)
	cfg := c.config
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
		defer close(p.done)
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
			p.ownedEpochs[ch.Slice] = ch.Epoch
		} else {
			delete(p.ownedEpochs, ch.Slice)
		}
		p.mu.Unlock()
	}
}

// kill ends a process without releasing its session.
func (c *cell) kill(name descriptor.InstanceID) {
	p := c.process(name)
	c.mu.Lock()
	delete(c.running, name)
	c.mu.Unlock()
	p.client.SetFaults(faketable.Faults{Down: true})
	p.cancel()
	p.clock.resume()
	<-p.done
}

// stop ends a process gracefully.
func (c *cell) stop(name descriptor.InstanceID) error {
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

// shutdown stops all processes and calls, so that the bubble can end.
func (c *cell) shutdown() {
	for _, p := range c.all {
		p.client.SetFaults(faketable.Faults{Down: true})
		p.clock.resume()
		p.cancel()
		<-p.done
		_ = p.leaser.Close()
	}
	c.table.WaitForDelayedCommits()
	synctest.Wait()
}

// setFaults sets the faults of the connections of all processes to the table.
func (c *cell) setFaults(f faketable.Faults) {
	c.faults = f
	for _, p := range c.running {
		p.client.SetFaults(f)
	}
}

// advance advances the bubble's clock in small steps and checks the safety
// properties after each.
func (c *cell) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		synctest.Wait()
		c.check()
	}
}

// check records all grants and requires mutual exclusion: no slice is granted to
// two processes, and all grants of other processes for a slice have ended by its
// SafeFrom time.
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
			other, granted := holders[s]
			require.False(c.t, granted, "slice %d is granted to %s and %s", s, p.name, processName(other))
			holders[s] = p
			c.checkEpochOwner(p, g)
			c.checkSafeFrom(p, s, now)
			if until := p.clock.toBubbleTime(g.Until); until.After(p.grantEnds[s]) {
				p.grantEnds[s] = until
			}
		}
	}
}

func processName(p *process) descriptor.InstanceID {
	if p == nil {
		return ""
	}
	return p.name
}

func (c *cell) checkEpochOwner(p *process, g Grant) {
	id := fmt.Sprintf("%d.%d", g.Slice, g.Epoch)
	if owner := c.epochOwners[id]; owner != nil {
		require.Same(c.t, owner, p, "slice.epoch %s is used by both %s and %s", id, owner.name, p.name)
	}
	c.epochOwners[id] = p
}

func (c *cell) checkSafeFrom(p *process, s descriptor.SliceID, now time.Time) {
	p.mu.Lock()
	safeFrom, recorded := p.safeFrom[s]
	p.mu.Unlock()
	require.True(c.t, recorded, "%s has a grant for slice %d, but Changes did not report it", p.name, s)
	if now.Before(p.clock.toBubbleTime(safeFrom)) {
		return
	}
	for _, other := range c.all {
		if other != p {
			require.False(c.t, now.Before(other.grantEnds[s]),
				"%s uses slice %d while a grant of %s is valid for another %v", p.name, s, other.name, other.grantEnds[s].Sub(now))
		}
	}
}

// owned returns the number of slices that each running process can get a grant for.
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

func (c *cell) totalOwned() int {
	n := 0
	for _, k := range c.owned() {
		n += k
	}
	return n
}

// awaitOwned advances the clock until all slices are owned and returns the time
// that took. It fails the test after limit.
func (c *cell) awaitOwned(limit time.Duration) time.Duration {
	start := time.Now()
	for c.totalOwned() < descriptor.SliceCount {
		require.Less(c.t, time.Since(start), limit, "some slices have no owner; slices per instance: %v", c.owned())
		c.advance(50 * time.Millisecond)
	}
	return time.Since(start)
}

var errPartitioned = errors.New("peer unreachable")

// fakePeers implements Peers with direct calls between the processes of a cell.
type fakePeers struct {
	cell *cell
	from descriptor.InstanceID
}

func (f *fakePeers) lookup(to descriptor.InstanceID) (*process, error) {
	f.cell.mu.Lock()
	defer f.cell.mu.Unlock()
	p := f.cell.running[to]
	if p == nil || f.cell.isolated[to] || f.cell.isolated[f.from] {
		return nil, errPartitioned
	}
	return p, nil
}

// call runs a handler on behalf of the receiving process. It waits while that
// process is paused.
func call[Q, R any](ctx context.Context, f *fakePeers, to descriptor.InstanceID, q Q, handler func(*Leaser, Q) R) (R, error) {
	var zero R
	p, err := f.lookup(to)
	if err != nil {
		return zero, err
	}
	reply := make(chan R, 1)
	go func() {
		time.Sleep(time.Millisecond)
		p.clock.waitWhilePaused()
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
