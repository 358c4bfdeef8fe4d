package distributor

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/heartbeater"
	"github.com/masticlead/masticlead/messenger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// memStore is an in-memory table service and object store. beforeCommit, if set,
// is called by each Commit with the lock held; if it returns an error, Commit
// returns that error and applies the transaction only if takesEffect is true.
type memStore struct {
	mu           sync.Mutex
	nextVersion  connector.RowVersion
	rows         map[connector.RowKey]connector.Row
	objects      map[string][]byte
	reads        int
	beforeCommit func() (takesEffect bool, err error)
}

func newMemStore() *memStore {
	return &memStore{rows: map[connector.RowKey]connector.Row{}, objects: map[string][]byte{}}
}

func (s *memStore) Get(_ context.Context, key connector.RowKey) (connector.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	row, ok := s.rows[key]
	if !ok {
		return row, connector.ErrNotFound
	}
	return row, nil
}

func (s *memStore) Scan(_ context.Context, prefix, after connector.RowKey, limit int) ([]connector.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []connector.Row
	for key, row := range s.rows {
		if strings.HasPrefix(string(key), string(prefix)) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

func (s *memStore) Commit(_ context.Context, t connector.Transaction) ([]connector.RowVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.beforeCommit != nil {
		if takesEffect, err := s.beforeCommit(); err != nil {
			if takesEffect {
				_, _ = s.commit(t)
			}
			return nil, err
		}
	}
	return s.commit(t)
}

func (s *memStore) commit(t connector.Transaction) ([]connector.RowVersion, error) {
	condErr := &connector.ConditionError{}
	for _, c := range t.Conditions {
		if row := s.rows[c.Key]; row.Version != c.Version {
			condErr.Rows = append(condErr.Rows, row)
		}
	}
	if len(condErr.Rows) > 0 {
		return nil, condErr
	}
	var versions []connector.RowVersion
	for _, p := range t.Puts {
		s.nextVersion++
		s.rows[p.Key] = connector.Row{Key: p.Key, Version: s.nextVersion, Value: p.Value}
		versions = append(versions, s.nextVersion)
	}
	for _, k := range t.Deletes {
		delete(s.rows, k)
	}
	return versions, nil
}

func (s *memStore) PutObject(_ context.Context, key string, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[key] = body
	return nil
}

func (s *memStore) GetObject(_ context.Context, key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[key]
	if !ok {
		return nil, connector.ErrNotFound
	}
	return body, nil
}

// storeView is the store as seen by one instance, which may be partitioned from it.
type storeView struct {
	*memStore
	unreachable func() bool
}

func (v storeView) Get(ctx context.Context, key connector.RowKey) (connector.Row, error) {
	if v.unreachable() {
		return connector.Row{}, connector.ErrUnavailable
	}
	return v.memStore.Get(ctx, key)
}

func (v storeView) Commit(ctx context.Context, t connector.Transaction) ([]connector.RowVersion, error) {
	if v.unreachable() {
		return nil, connector.ErrUnavailable
	}
	return v.memStore.Commit(ctx, t)
}

func (v storeView) PutObject(ctx context.Context, key string, body []byte) error {
	if v.unreachable() {
		return connector.ErrUnavailable
	}
	return v.memStore.PutObject(ctx, key, body)
}

func (v storeView) GetObject(ctx context.Context, key string) ([]byte, error) {
	if v.unreachable() {
		return nil, connector.ErrUnavailable
	}
	return v.memStore.GetObject(ctx, key)
}

// storeID identifies the store as an endpoint of a network partition.
const storeID descriptor.InstanceID = "store"

// testCell is a set of instances in one process that communicate over loopback TCP.
type testCell struct {
	t     testing.TB
	clock *clockwork.FakeClock
	store *memStore
	dcs   []descriptor.DataCentreID
	seed  uint64

	mu           sync.Mutex
	nodes        map[descriptor.InstanceID]*testNode
	byAddr       map[string]descriptor.InstanceID
	blocked      func(from, to descriptor.InstanceID) bool
	hideVersions bool                           // members report no rules versions
	failed       map[descriptor.InstanceID]bool // still listed as members but unreachable
}

// testNode is an instance of a testCell.
type testNode struct {
	id        descriptor.InstanceID
	dc        descriptor.DataCentreID
	address   string
	d         *Distributor
	server    *messenger.Server
	pool      *messenger.Pool
	done      chan error
	mu        sync.Mutex
	installed []descriptor.RulesVersion
}

func newTestCell(t testing.TB, seed uint64, perDataCentre int, dcs ...descriptor.DataCentreID) *testCell {
	t.Helper()
	c := &testCell{
		t: t, clock: clockwork.NewFakeClock(), store: newMemStore(), dcs: dcs, seed: seed,
		nodes: map[descriptor.InstanceID]*testNode{}, byAddr: map[string]descriptor.InstanceID{},
	}
	c.heal()
	for _, dc := range dcs {
		for i := range perDataCentre {
			c.start(descriptor.InstanceID(fmt.Sprintf("%s-%d", dc, i)), dc)
		}
	}
	return c
}

// partition blocks the connections for which blocked returns true, including
// those to storeID.
func (c *testCell) partition(blocked func(from, to descriptor.InstanceID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = blocked
}

func (c *testCell) heal() {
	c.partition(func(descriptor.InstanceID, descriptor.InstanceID) bool { return false })
}

func (c *testCell) isBlocked(from, to descriptor.InstanceID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blocked(from, to)
}

// members returns the members of a data centre as self would know them from
// heartbeats.
func (c *testCell) members(self descriptor.InstanceID, dc descriptor.DataCentreID) []heartbeater.Member {
	c.mu.Lock()
	nodes := make([]*testNode, 0, len(c.nodes))
	for _, n := range c.nodes {
		if n.dc == dc && !c.blocked(self, n.id) {
			nodes = append(nodes, n)
		}
	}
	c.mu.Unlock()
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].id < nodes[j].id })
	all := make([]heartbeater.Member, len(nodes))
	for i, n := range nodes {
		all[i] = heartbeater.Member{ID: n.id, DataCentre: dc, PeerAddress: n.address}
		if n.id != self && !c.hideVersions {
			all[i].Rules = n.d.version()
		}
	}
	return all
}

// start adds an instance without rules.
func (c *testCell) start(id descriptor.InstanceID, dc descriptor.DataCentreID) *testNode {
	c.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	n := &testNode{id: id, dc: dc, address: l.Addr().String(), server: &messenger.Server{Listener: l}, done: make(chan error, 1)}
	n.pool = &messenger.Pool{Self: id, BackoffMin: time.Millisecond, BackoffMax: time.Millisecond, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		c.mu.Lock()
		unreachable := c.blocked(id, c.byAddr[address]) || c.failed[c.byAddr[address]]
		c.mu.Unlock()
		if unreachable {
			return nil, errors.New("no route")
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	c.seed++
	v := storeView{c.store, func() bool { return c.isBlocked(id, storeID) }}
	n.d = New(Config{
		Clock: c.clock, Log: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(c.seed, c.seed)), Table: v, Objects: v, Pool: n.pool,
		Members: func(dc descriptor.DataCentreID) []heartbeater.Member { return c.members(id, dc) },
		Self:    id, DataCentre: dc, DataCentres: c.dcs,
		Parse: func(v descriptor.RulesVersion, body []byte) (*descriptor.Rules, error) {
			if strings.HasPrefix(string(body), "bad") {
				return nil, errors.New("line 1: unknown verb")
			}
			return &descriptor.Rules{Version: v}, nil
		},
		OnInstall: func(r *descriptor.Rules) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.installed = append(n.installed, r.Version)
		},
	})
	n.d.Register(n.server)
	go func() { n.done <- n.server.Run(context.Background()) }()
	c.mu.Lock()
	c.nodes[id] = n
	c.byAddr[n.address] = id
	c.mu.Unlock()
	c.t.Cleanup(func() { c.kill(id) })
	return n
}

func (c *testCell) kill(id descriptor.InstanceID) {
	c.mu.Lock()
	n := c.nodes[id]
	delete(c.nodes, id)
	c.mu.Unlock()
	if n == nil {
		return
	}
	n.server.Close()
	<-n.done
	n.pool.Close()
	n.d.Close()
}

// advance moves the clock forward in steps of 250 ms. After each step it ticks
// all live instances and waits until they are idle.
func (c *testCell) advance(d time.Duration) {
	const step = 250 * time.Millisecond
	for ; d > 0; d -= step {
		c.clock.Advance(step)
		for _, n := range c.nodes {
			if !c.failed[n.id] {
				n.d.tick()
			}
		}
		c.waitIdle()
	}
}

// waitIdle waits until no background operation is in progress on any instance,
// including the receivers of pushes.
func (c *testCell) waitIdle() {
	for idle := 0; idle < 4; {
		idle++
		for _, n := range c.nodes {
			if n.d.inFlight.Load() > 0 {
				idle = 0
			}
		}
		if idle == 0 {
			time.Sleep(200 * time.Microsecond)
		}
	}
}

// requireInstalled checks that a version is installed on all instances and that
// no instance ever installed a lower version after a higher one.
func (c *testCell) requireInstalled(v descriptor.RulesVersion, body string) {
	c.t.Helper()
	for id, n := range c.nodes {
		got, gotBody, _ := n.d.Current()
		require.Equal(c.t, v, got, id)
		require.Equal(c.t, body, string(gotBody), id)
		n.mu.Lock()
		require.True(c.t, sort.SliceIsSorted(n.installed, func(i, j int) bool { return n.installed[i] < n.installed[j] }), n.installed)
		n.mu.Unlock()
	}
}

func (c *testCell) apply(id descriptor.InstanceID, expected descriptor.RulesVersion, author, body string) (descriptor.RulesVersion, error) {
	return c.nodes[id].d.Apply(context.Background(), expected, author, []byte(body))
}
