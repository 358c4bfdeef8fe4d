package dispatcher

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/masticlead/masticlead/claimer"
	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/emulator"
	"github.com/masticlead/masticlead/leaser"
	"github.com/masticlead/masticlead/messenger"
	"github.com/masticlead/masticlead/placer"
	"github.com/masticlead/masticlead/scheduler"
)

// testOwners is the table of slice owners shared by all dispatchers of a test.
type testOwners struct {
	mu        sync.Mutex
	owners    [descriptor.SliceCount]descriptor.InstanceID
	epochs    [descriptor.SliceCount]descriptor.Epoch
	suspended map[descriptor.InstanceID]bool // instances without valid grants
	// grantsLeft limits the number of further grants of an instance. Without an
	// entry there is no limit.
	grantsLeft map[descriptor.InstanceID]int
}

// ownerView implements Owners for one instance.
type ownerView struct {
	*testOwners
	self    descriptor.InstanceID
	changes chan leaser.Change
}

func (v *ownerView) Grant(s descriptor.SliceID) (leaser.Grant, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.owners[s] != v.self || v.suspended[v.self] {
		return leaser.Grant{}, false
	}
	if left, ok := v.grantsLeft[v.self]; ok {
		if left == 0 {
			return leaser.Grant{}, false
		}
		v.grantsLeft[v.self] = left - 1
	}
	return leaser.Grant{Slice: s, Epoch: v.epochs[s], Until: time.Now().Add(2 * time.Second)}, true
}

func (v *ownerView) Owner(s descriptor.SliceID) (descriptor.InstanceID, descriptor.Epoch, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.owners[s], v.epochs[s], v.owners[s] != ""
}

func (v *ownerView) Changes() <-chan leaser.Change { return v.changes }

func (o *testOwners) setSuspended(id descriptor.InstanceID, suspended bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.suspended[id] = suspended
}

// limitGrants makes the instance lose its ownership after n further grants.
func (o *testOwners) limitGrants(id descriptor.InstanceID, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.grantsLeft[id] = n
}

// hasGrantsLeft reports whether the instance can still get a grant.
func (o *testOwners) hasGrantsLeft(id descriptor.InstanceID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.grantsLeft[id] > 0
}

func (o *testOwners) removeGrantLimit(id descriptor.InstanceID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.grantsLeft, id)
}

// testClaims implements Claims in memory.
type testClaims struct {
	mu     sync.Mutex
	holder claimer.Holder
	claims map[descriptor.Key]claimer.Claim
	err    error
}

func (c *testClaims) Claim(_ context.Context, k descriptor.Key) (bool, claimer.Claim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return false, claimer.Claim{}, c.err
	}
	if old, ok := c.claims[k]; ok && old.Holder != c.holder {
		return false, old, nil
	}
	c.claims[k] = claimer.Claim{Holder: c.holder, ClaimedMs: time.Now().UnixMilli()}
	return true, claimer.Claim{}, nil
}

func (c *testClaims) Record(_ context.Context, k descriptor.Key, o descriptor.Outcome) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim := c.claims[k]
	claim.Outcome = &o
	c.claims[k] = claim
	return nil
}

func (c *testClaims) Withdraw(_ context.Context, k descriptor.Key) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.claims, k)
	return nil
}

// testPeers implements Peers by calling the other dispatchers of the test.
type testPeers struct {
	c *testCell
}

func (p *testPeers) peer(to descriptor.InstanceID) (*Dispatcher, error) {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	d, ok := p.c.dispatchers[to]
	if !ok {
		return nil, fmt.Errorf("instance %s: %w", to, messenger.ErrPeerUnreachable)
	}
	return d, nil
}

// callPeer encodes and decodes a request as JSON, as a call between processes does,
// and passes it to a handler.
func callPeer[Req, Rep any](p *testPeers, to descriptor.InstanceID, req Req, handler func(*Dispatcher, Req) Rep) (Rep, error) {
	var rep Rep
	d, err := p.peer(to)
	if err != nil {
		return rep, err
	}
	b, err := json.Marshal(req)
	if err != nil {
		return rep, err
	}
	var decoded Req
	if err := json.Unmarshal(b, &decoded); err != nil {
		return rep, err
	}
	return handler(d, decoded), nil
}

func (p *testPeers) SliceTasks(_ context.Context, to descriptor.InstanceID, req SliceTasksRequest) (SliceTasksReply, error) {
	return callPeer(p, to, req, (*Dispatcher).HandleSliceTasks)
}

func (p *testPeers) Offer(_ context.Context, to descriptor.InstanceID, req OfferRequest) (OfferReply, error) {
	return callPeer(p, to, req, (*Dispatcher).HandleOffer)
}

func (p *testPeers) Confirm(_ context.Context, to descriptor.InstanceID, req ConfirmRequest) (ConfirmReply, error) {
	return callPeer(p, to, req, (*Dispatcher).HandleConfirm)
}

func (p *testPeers) Report(_ context.Context, to descriptor.InstanceID, req ReportRequest) (ReportReply, error) {
	return callPeer(p, to, req, (*Dispatcher).HandleReport)
}

func (p *testPeers) Stop(ctx context.Context, to descriptor.InstanceID, req StopRequest) (StopReply, error) {
	return callPeer(p, to, req, func(d *Dispatcher, r StopRequest) StopReply { return d.HandleStop(ctx, r) })
}

// testCell is a data centre with targets and any number of dispatchers.
type testCell struct {
	t        *testing.T
	cell     *emulator.Cell
	platform *connector.PlatformClient
	owners   *testOwners
	claims   map[descriptor.Key]claimer.Claim
	rules    *descriptor.Rules

	mu          sync.Mutex
	dispatchers map[descriptor.InstanceID]*Dispatcher
	ownerViews  map[descriptor.InstanceID]*ownerView
	claimers    map[descriptor.InstanceID]*testClaims
}

func newTestCell(t *testing.T, targets int) *testCell {
	t.Helper()
	cell := &emulator.Cell{PlatformAddress: "127.0.0.1:0"}
	for i := range targets {
		cell.Listing.Targets = append(cell.Listing.Targets, descriptor.Target{
			ID: descriptor.TargetID(fmt.Sprintf("t%d", i)), DataCentre: "gyor", Address: "127.0.0.1:0",
			Capacity: descriptor.Resources{CPU: 4000, Memory: 4096, Slots: 4},
		})
	}
	require.NoError(t, cell.Start())
	t.Cleanup(func() { require.NoError(t, cell.Close()) })
	return &testCell{
		t: t, cell: cell,
		platform: &connector.PlatformClient{Client: connector.NewHTTPClient(8, ""), DirectoryURL: "http://" + cell.PlatformAddress + "/directory"},
		owners:   &testOwners{suspended: map[descriptor.InstanceID]bool{}, grantsLeft: map[descriptor.InstanceID]int{}},
		claims:   map[descriptor.Key]claimer.Claim{},
		rules: &descriptor.Rules{
			Version: 1,
			Teams:   map[descriptor.TeamID]descriptor.Team{"team": {ID: "team", Weight: 1}},
			Callers: []descriptor.CallerRule{{Pattern: "*", Team: "team"}},
			Access:  []descriptor.AccessRule{{Allow: true, Caller: "*", Kind: "*"}},
			Kinds: map[descriptor.KindName]descriptor.Kind{
				"plan":       testKind("plan", true, 1),
				"settlement": testKind("settlement", false, 1),
				"stairwell":  testKind("stairwell", true, 3),
			},
		},
		dispatchers: map[descriptor.InstanceID]*Dispatcher{},
		ownerViews:  map[descriptor.InstanceID]*ownerView{},
		claimers:    map[descriptor.InstanceID]*testClaims{},
	}
}

func testKind(name descriptor.KindName, idempotent bool, tasks int) descriptor.Kind {
	return descriptor.Kind{
		Name: name, Policy: descriptor.Batch, Priority: descriptor.Normal, Idempotent: idempotent, Tasks: tasks,
		Resources: descriptor.Resources{CPU: 1000, Memory: 64, Slots: 1}, DeclaredRun: 20 * time.Millisecond, Deadline: 30 * time.Second, CapacityLimit: 1,
	}
}

// testStartWindow is the StartWindow of the dispatchers of a test.
const testStartWindow = 300 * time.Millisecond

// addInstance starts a dispatcher that owns no slices.
func (c *testCell) addInstance(id descriptor.InstanceID, dialer connector.Dialer) *Dispatcher {
	v := &ownerView{testOwners: c.owners, self: id, changes: make(chan leaser.Change, 1024)}
	claims := &testClaims{holder: claimer.Holder{Instance: id, Incarnation: 1}, claims: c.claims}
	if dialer == nil {
		dialer = &connector.HTTPDialer{Client: connector.NewHTTPClient(16, "")}
	}
	d := New(Config{
		Clock: clockwork.NewRealClock(), Self: id, DataCentre: "gyor",
		Scheduler: scheduler.New(scheduler.Config{Placer: placer.NewPacker(placer.PackerConfig{}), Rand: rand.New(rand.NewPCG(1, 1))}),
		Owners:    v, Claims: claims, Peers: &testPeers{c}, Directory: c.platform, Dialer: dialer,
		Rules: func() *descriptor.Rules { return c.rules }, Loads: func() []PeerLoad { return c.loads(id) },
		Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
		PollWait: 100 * time.Millisecond, StartWindow: testStartWindow, DirectoryInterval: 100 * time.Millisecond,
		TaskLease: 2 * time.Second,
	})
	d.cfg.Scheduler.SetRules(c.rules)
	c.mu.Lock()
	c.dispatchers[id], c.ownerViews[id], c.claimers[id] = d, v, claims
	c.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(context.Background())
	}()
	c.t.Cleanup(func() {
		_ = d.Close()
		<-done
	})
	return d
}

func (c *testCell) loads(self descriptor.InstanceID) []PeerLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	var loads []PeerLoad
	for id := range c.dispatchers {
		if id != self {
			loads = append(loads, PeerLoad{ID: id, FreeFraction: 1})
		}
	}
	return loads
}

// assignSlices moves slices to an instance, as a takeover does.
func (c *testCell) assignSlices(id descriptor.InstanceID, match func(descriptor.SliceID) bool) {
	c.moveSlices(id, match, 0)
}

// handOver moves all slices to an instance while orders of the earlier owner may
// still start.
func (c *testCell) handOver(id descriptor.InstanceID) {
	c.moveSlices(id, allSlices, testStartWindow+200*time.Millisecond)
}

// moveSlices moves slices to an instance. Orders of the earlier owner may start for
// the given time.
func (c *testCell) moveSlices(id descriptor.InstanceID, match func(descriptor.SliceID) bool, orderTime time.Duration) {
	for s := range descriptor.SliceID(descriptor.SliceCount) {
		if !match(s) {
			continue
		}
		c.owners.mu.Lock()
		old := c.owners.owners[s]
		c.owners.owners[s] = id
		c.owners.epochs[s]++
		epoch := c.owners.epochs[s]
		c.owners.mu.Unlock()
		c.mu.Lock()
		if v, ok := c.ownerViews[old]; ok {
			v.changes <- leaser.Change{Slice: s}
		}
		c.ownerViews[id].changes <- leaser.Change{Slice: s, Epoch: epoch, Owned: true, SafeFrom: time.Now().Add(orderTime)}
		d := c.dispatchers[id]
		c.mu.Unlock()
		c.eventually(func() bool {
			got, _, owned := d.shards[s].ownership()
			return owned && got == epoch
		})
	}
}

func allSlices(descriptor.SliceID) bool { return true }

// crash stops a dispatcher without a handover.
func (c *testCell) crash(id descriptor.InstanceID) {
	c.mu.Lock()
	d := c.dispatchers[id]
	delete(c.dispatchers, id)
	delete(c.ownerViews, id)
	c.mu.Unlock()
	require.NoError(c.t, d.Close())
}

func (c *testCell) submission(id, kind string, work emulator.Payload) Submission {
	payload, err := json.Marshal(work)
	require.NoError(c.t, err)
	return Submission{Key: testKey(id), Kind: descriptor.KindName(kind), Payload: payload}
}

func testKey(id string) descriptor.Key {
	return descriptor.Key{Caller: "caller", ID: descriptor.RequestID(id)}
}

const testTimeout = 20 * time.Second

// submit submits a request and waits for its outcome.
func (c *testCell) submit(d *Dispatcher, s Submission) descriptor.Outcome {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	o, err := d.Submit(ctx, s)
	require.NoError(c.t, err)
	return o
}

// runs returns the runs of a request on all targets.
func (c *testCell) runs(k descriptor.Key) []emulator.RunRecord {
	var runs []emulator.RunRecord
	for _, target := range c.cell.Targets {
		for _, r := range target.History().Runs {
			if r.Key == k {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

func (c *testCell) eventually(condition func() bool) {
	c.t.Helper()
	require.Eventually(c.t, condition, testTimeout, 5*time.Millisecond)
}

// setFaults sets the faults of all targets.
func (c *testCell) setFaults(f emulator.Faults) {
	for _, target := range c.cell.Targets {
		target.SetFaults(f)
	}
}
