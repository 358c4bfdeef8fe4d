package heartbeater

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/messenger"
)

// Heartbeater keeps the view of the members up to date.
type Heartbeater struct {
	cfg         Config
	dataCentres []descriptor.DataCentreID // sorted; the bits of beat.Reached
	changes     chan struct{}

	mu       sync.Mutex
	self     Member
	sequence uint64
	// status is what heartbeats say. A new one gets a new number and is sent
	// once to each member; nextStatus is when it is due at the latest.
	status       status
	statusNumber uint64
	nextStatus   time.Time
	digests      uint64 // number of our last digest
	view         *view
	remotes      map[descriptor.DataCentreID]*remote
	snapshots    map[descriptor.DataCentreID]snapshot
	linkCalls    map[descriptor.DataCentreID]bool // digests in progress
	listing      bool                             // a read of the directory is in progress
	nextLinks    time.Time
	nextList     time.Time
	closing      bool

	stop context.CancelFunc
	base context.Context
	wg   sync.WaitGroup
	busy atomic.Int64 // calls in progress
	once sync.Once
}

// New returns a Heartbeater. It is idle until Run.
func New(cfg Config) *Heartbeater {
	cfg.setDefaults()
	h := &Heartbeater{cfg: cfg, changes: make(chan struct{}, 1), self: cfg.Self}
	h.view = newView(&h.cfg)
	h.remotes = map[descriptor.DataCentreID]*remote{}
	h.snapshots = map[descriptor.DataCentreID]snapshot{}
	h.linkCalls = map[descriptor.DataCentreID]bool{}
	h.dataCentres = slices.Clone(cfg.DataCentres)
	slices.Sort(h.dataCentres)
	h.dataCentres = slices.Compact(h.dataCentres)
	for _, dc := range h.dataCentres {
		if dc != cfg.Self.DataCentre {
			h.remotes[dc] = &remote{}
		}
	}
	h.base, h.stop = context.WithCancel(context.Background())
	return h
}

// Register adds the handlers to the server.
func (h *Heartbeater) Register(s *messenger.Server) {
	messenger.HandleControl(s, methodHeartbeat, h.onHeartbeat)
	messenger.HandleControl(s, methodDigest, h.onDigest)
}

// Run sends heartbeats until the context ends or Close is called.
func (h *Heartbeater) Run(ctx context.Context) error {
	h.mu.Lock()
	if h.closing {
		h.mu.Unlock()
		return nil
	}
	h.wg.Add(1)
	h.mu.Unlock()
	defer h.wg.Done()
	// A random phase keeps instances that were started together from sending
	// their heartbeats together.
	phase := time.Duration(h.cfg.Rand.Int64N(int64(h.cfg.Interval)))
	h.tick()
	select {
	case <-h.cfg.Clock.After(phase):
	case <-ctx.Done():
	case <-h.base.Done():
	}
	ticker := h.cfg.Clock.NewTicker(h.cfg.Interval)
	defer ticker.Stop()
	for ctx.Err() == nil && h.base.Err() == nil {
		h.tick()
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
		case <-h.base.Done():
		}
	}
	return nil
}

// tick does what is due.
func (h *Heartbeater) tick() {
	h.refreshSelf()
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	changed := h.view.tick(now)
	h.invalidate(h.cfg.Self.DataCentre)
	due := h.view.duties(now)
	h.startCalls(due)
	h.startLinks(now)
	h.startListing(now)
	h.mu.Unlock()
	if changed {
		h.signal()
	}
}

// refreshSelf takes in what heartbeats say about this instance.
func (h *Heartbeater) refreshSelf() {
	rules, load := h.cfg.Report()
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if rules != h.self.Rules {
		h.self.Rules, h.self.RulesSince = rules, now
	}
	h.self.Load, h.self.LastHeard = load, now
	h.invalidate(h.cfg.Self.DataCentre)
	reached := h.reached(now)
	if rules == h.status.Rules && reached == h.status.Reached && now.Before(h.nextStatus) {
		return
	}
	h.status = status{Rules: rules, Load: load, Reached: reached, RulesSinceMs: unixMs(h.self.RulesSince)}
	h.statusNumber++
	h.nextStatus = now.Add(h.cfg.StatusInterval)
}

// SetIncarnation begins a new incarnation of this instance. Lower ones are
// ignored.
func (h *Heartbeater) SetIncarnation(n descriptor.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n > h.self.Incarnation {
		h.self.Incarnation = n
		h.invalidate(h.cfg.Self.DataCentre)
	}
}

// spawn runs f unless the Heartbeater is closing. The lock must be held.
func (h *Heartbeater) spawn(f func(ctx context.Context)) bool {
	if h.closing {
		return false
	}
	h.wg.Add(1)
	h.busy.Add(1)
	go func() {
		defer h.wg.Done()
		defer h.busy.Add(-1)
		f(h.base)
	}()
	return true
}

// signal wakes the reader of Changes.
func (h *Heartbeater) signal() {
	select {
	case h.changes <- struct{}{}:
	default:
	}
}

// Changes returns a channel that is signalled after changes of membership, in
// any data centre. It has capacity 1: several changes may give one signal.
func (h *Heartbeater) Changes() <-chan struct{} { return h.changes }

// startListing reads the platform's list if it is due. The lock must be held.
func (h *Heartbeater) startListing(now time.Time) {
	if h.listing || now.Before(h.nextList) || h.cfg.Directory == nil {
		return
	}
	h.nextList = now.Add(h.cfg.DirectoryInterval)
	h.listing = h.spawn(h.list)
}

// list reads the platform's list. It only suggests whom to call.
func (h *Heartbeater) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, messenger.DefaultTimeout)
	defer cancel()
	listing, err := h.cfg.Directory.List(ctx, "")
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listing = false
	if err != nil {
		h.cfg.Scope.Counter("directory_errors").Inc(1)
		h.cfg.Log.Debug("heartbeater: could not read the platform's list", "error", err)
		h.nextList = now.Add(min(h.cfg.DirectoryInterval, h.cfg.CandidateInterval))
		return
	}
	seeds := map[descriptor.DataCentreID][]Member{}
	for _, l := range listing.Instances {
		if l.Leaving {
			continue
		}
		if l.DataCentre == h.cfg.Self.DataCentre {
			h.view.suggest(l.ID, l.PeerAddress, now)
			continue
		}
		seeds[l.DataCentre] = append(seeds[l.DataCentre], Member{ID: l.ID, DataCentre: l.DataCentre, PeerAddress: l.PeerAddress})
	}
	for dc, r := range h.remotes {
		sortMembers(seeds[dc])
		r.seeds = seeds[dc]
		h.invalidate(dc)
	}
}

// snapshot is a list of members that was put together earlier. Heartbeats and
// digests make it invalid some ten times a second, while the router reads it for
// each request.
type snapshot struct {
	members []Member
	until   time.Time
}

// Members returns the live and suspect members of a data centre sorted by id,
// of the own one with this instance, of another as last reported.
func (h *Heartbeater) Members(dc descriptor.DataCentreID) []Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.membersLocked(dc)
}

// membersLocked returns a copy that the caller may change.
func (h *Heartbeater) membersLocked(dc descriptor.DataCentreID) []Member {
	now := h.cfg.Clock.Now()
	s := h.snapshots[dc]
	if !now.Before(s.until) {
		// Digests also grow old without an event that makes it invalid.
		s = snapshot{members: h.collect(dc, now), until: now.Add(h.cfg.Interval)}
		h.snapshots[dc] = s
	}
	return slices.Clone(s.members)
}

// collect puts the list of members together.
func (h *Heartbeater) collect(dc descriptor.DataCentreID, now time.Time) []Member {
	if dc != h.cfg.Self.DataCentre {
		if r := h.remotes[dc]; r != nil {
			return r.current(now, h.freshFor())
		}
		return nil
	}
	all := make([]Member, 0, len(h.view.members)+1)
	if !h.closing {
		all = append(all, h.self)
	}
	for _, e := range h.view.members {
		all = append(all, e.Member)
	}
	sortMembers(all)
	return all
}

// invalidate notes that the members of a data centre may have changed. The lock
// must be held.
func (h *Heartbeater) invalidate(dc descriptor.DataCentreID) { delete(h.snapshots, dc) }

// freshFor is how long digests of several carriers are merged: until each had
// the time for one relay.
func (h *Heartbeater) freshFor() time.Duration { return h.cfg.RelayInterval * 3 / 2 }

// Member returns a member of any data centre.
func (h *Heartbeater) Member(id descriptor.InstanceID) (Member, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id == h.self.ID {
		return h.self, true
	}
	if e := h.view.members[id]; e != nil {
		return e.Member, true
	}
	for dc := range h.remotes {
		for _, m := range h.membersLocked(dc) {
			if m.ID == id {
				return m, true
			}
		}
	}
	return Member{}, false
}

// Reachable reports whether this instance or another of its data centre has
// lately received a digest of the data centre. The own one is always reachable.
func (h *Heartbeater) Reachable(dc descriptor.DataCentreID) bool {
	if dc == h.cfg.Self.DataCentre {
		return true
	}
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.remotes[dc]
	if r == nil {
		return false
	}
	if !r.direct.IsZero() && now.Sub(r.direct) < h.cfg.ReachableFor {
		return true
	}
	bit := h.bit(dc)
	for _, e := range h.view.members {
		if e.reached&bit != 0 && now.Sub(e.LastHeard) < h.cfg.RemoveAfter {
			return true
		}
	}
	return false
}

// bit returns the bit of a data centre in beat.Reached; 0 if it has none.
func (h *Heartbeater) bit(dc descriptor.DataCentreID) uint64 {
	i, found := slices.BinarySearch(h.dataCentres, dc)
	if !found || i >= 63 { // 63, since JSON numbers are decoded as signed
		return 0
	}
	return 1 << i
}

// reached returns the data centres of which a link of ours has a fresh digest.
func (h *Heartbeater) reached(now time.Time) uint64 {
	var bits uint64
	for dc, r := range h.remotes {
		if !r.direct.IsZero() && now.Sub(r.direct) < h.cfg.ReachableFor {
			bits |= h.bit(dc)
		}
	}
	return bits
}

// Close announces the leave to the members, stops Run and waits.
func (h *Heartbeater) Close() error {
	h.once.Do(func() {
		h.mu.Lock()
		h.closing = true
		h.invalidate(h.cfg.Self.DataCentre)
		h.mu.Unlock()
		h.stop()
		h.wg.Wait()
		h.announceLeave()
	})
	return nil
}
