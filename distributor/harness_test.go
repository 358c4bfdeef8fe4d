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

// store is a table service and object store in memory. before is called with
// each commit, and its error is returned: without a commit if before says so.
type store struct {
	mu      sync.Mutex
	next    connector.RowVersion
	rows    map[connector.RowKey]connector.Row
	objects map[string][]byte
	reads   int
	before  func() (commit bool, err error)
}

func newStore() *store {
	return &store{rows: map[connector.RowKey]connector.Row{}, objects: map[string][]byte{}}
}

func (s *store) Get(_ context.Context, key connector.RowKey) (connector.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	row, ok := s.rows[key]
	if !ok {
		return row, connector.ErrNotFound
	}
	return row, nil
}

func (s *store) Scan(_ context.Context, prefix, after connector.RowKey, limit int) ([]connector.Row, error) {
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

func (s *store) Commit(_ context.Context, t connector.Transaction) ([]connector.RowVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.before != nil {
		if commit, err := s.before(); err != nil {
			if commit {
				_, _ = s.commit(t)
			}
			return nil, err
		}
	}
	return s.commit(t)
}

func (s *store) commit(t connector.Transaction) ([]connector.RowVersion, error) {
	failed := &connector.ConditionError{}
	for _, c := range t.Conditions {
		if row := s.rows[c.Key]; row.Version != c.Version {
			failed.Rows = append(failed.Rows, row)
		}
	}
	if len(failed.Rows) > 0 {
		return nil, failed
	}
	var versions []connector.RowVersion
	for _, p := range t.Puts {
		s.next++
		s.rows[p.Key] = connector.Row{Key: p.Key, Version: s.next, Value: p.Value}
		versions = append(versions, s.next)
	}
	for _, k := range t.Deletes {
		delete(s.rows, k)
	}
	return versions, nil
}

func (s *store) PutObject(_ context.Context, key string, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[key] = body
	return nil
}

func (s *store) GetObject(_ context.Context, key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[key]
	if !ok {
		return nil, connector.ErrNotFound
	}
	return body, nil
}

// view is a store as one instance sees it, which may be cut off from it.
type view struct {
	*store
	cut func() bool
}

func (v view) Get(ctx context.Context, key connector.RowKey) (connector.Row, error) {
	if v.cut() {
		return connector.Row{}, connector.ErrUnavailable
	}
	return v.store.Get(ctx, key)
}

func (v view) Commit(ctx context.Context, t connector.Transaction) ([]connector.RowVersion, error) {
	if v.cut() {
		return nil, connector.ErrUnavailable
	}
	return v.store.Commit(ctx, t)
}

func (v view) PutObject(ctx context.Context, key string, body []byte) error {
	if v.cut() {
		return connector.ErrUnavailable
	}
	return v.store.PutObject(ctx, key, body)
}

func (v view) GetObject(ctx context.Context, key string) ([]byte, error) {
	if v.cut() {
		return nil, connector.ErrUnavailable
	}
	return v.store.GetObject(ctx, key)
}

// storeName stands for the store where a cut is described.
const storeName descriptor.InstanceID = "store"

// cell is a set of instances in one process that speak over loopback TCP.
type cell struct {
	t     testing.TB
	clock *clockwork.FakeClock
	store *store
	dcs   []descriptor.DataCentreID
	seed  uint64

	mu     sync.Mutex
	nodes  map[descriptor.InstanceID]*node
	byAddr map[string]descriptor.InstanceID
	cut    func(from, to descriptor.InstanceID) bool
	blind  bool                           // heartbeats don't show versions
	failed map[descriptor.InstanceID]bool // listed as members and out of reach
}

// node is an instance of a cell.
type node struct {
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

func newCell(t testing.TB, seed uint64, perDataCentre int, dcs ...descriptor.DataCentreID) *cell {
	t.Helper()
	c := &cell{
		t: t, clock: clockwork.NewFakeClock(), store: newStore(), dcs: dcs, seed: seed,
		nodes: map[descriptor.InstanceID]*node{}, byAddr: map[string]descriptor.InstanceID{},
	}
	c.heal()
	for _, dc := range dcs {
		for i := range perDataCentre {
			c.start(descriptor.InstanceID(fmt.Sprintf("%s-%d", dc, i)), dc)
		}
	}
	return c
}

// split blocks the network in the given directions, also to storeName.
func (c *cell) split(cut func(from, to descriptor.InstanceID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *cell) heal() {
	c.split(func(descriptor.InstanceID, descriptor.InstanceID) bool { return false })
}

func (c *cell) isCut(from, to descriptor.InstanceID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut(from, to)
}

// members returns what heartbeats would tell an instance about a data centre.
func (c *cell) members(self descriptor.InstanceID, dc descriptor.DataCentreID) []heartbeater.Member {
	c.mu.Lock()
	nodes := make([]*node, 0, len(c.nodes))
	for _, n := range c.nodes {
		if n.dc == dc && !c.cut(self, n.id) {
			nodes = append(nodes, n)
		}
	}
	c.mu.Unlock()
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].id < nodes[j].id })
	all := make([]heartbeater.Member, len(nodes))
	for i, n := range nodes {
		all[i] = heartbeater.Member{ID: n.id, DataCentre: dc, PeerAddress: n.address}
		if n.id != self && !c.blind {
			all[i].Rules = n.d.version()
		}
	}
	return all
}

// start adds an instance without rules.
func (c *cell) start(id descriptor.InstanceID, dc descriptor.DataCentreID) *node {
	c.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	n := &node{id: id, dc: dc, address: l.Addr().String(), server: &messenger.Server{Listener: l}, done: make(chan error, 1)}
	n.pool = &messenger.Pool{Self: id, BackoffMin: time.Millisecond, BackoffMax: time.Millisecond, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		c.mu.Lock()
		cut := c.cut(id, c.byAddr[address]) || c.failed[c.byAddr[address]]
		c.mu.Unlock()
		if cut {
			return nil, errors.New("no route")
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	c.seed++
	v := view{c.store, func() bool { return c.isCut(id, storeName) }}
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

func (c *cell) kill(id descriptor.InstanceID) {
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

// run advances the clock in steps, ticking all instances and waiting for their
// activities.
func (c *cell) run(d time.Duration) {
	const step = 250 * time.Millisecond
	for ; d > 0; d -= step {
		c.clock.Advance(step)
		for _, n := range c.nodes {
			if !c.failed[n.id] {
				n.d.tick()
			}
		}
		c.quiet()
	}
}

// quiet waits until no activity is in progress, also at the receivers of pushes.
func (c *cell) quiet() {
	for idle := 0; idle < 4; {
		idle++
		for _, n := range c.nodes {
			if n.d.busy.Load() > 0 {
				idle = 0
			}
		}
		if idle == 0 {
			time.Sleep(200 * time.Microsecond)
		}
	}
}

// requireEverywhere checks that a version is in force on all instances and that
// none ever went back.
func (c *cell) requireEverywhere(v descriptor.RulesVersion, body string) {
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

func (c *cell) apply(id descriptor.InstanceID, expected descriptor.RulesVersion, author, body string) (descriptor.RulesVersion, error) {
	return c.nodes[id].d.Apply(context.Background(), expected, author, []byte(body))
}
