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

// Heartbeater maintains the view of the members of all data centres.
type Heartbeater struct {
	cfg         Config
	dataCentres []descriptor.DataCentreID // sorted; the index is the bit in status.Reached
	changes     chan struct{}

	mu       sync.Mutex
	self     Member
	sequence uint64
	// status is the status in heartbeats. Each new status gets the next
	// statusVersion and is sent once to each member. nextStatus is the time at
	// which the status is renewed even if only the load has changed.
	status            status
	statusVersion     uint64
	nextStatus        time.Time
	digestSequence    uint64 // sequence number of the last local digest
	view              *view
	remotes           map[descriptor.DataCentreID]*remoteDataCentre
	snapshots         map[descriptor.DataCentreID]snapshot
	linkInProgress    map[descriptor.DataCentreID]bool // an exchange of digests is in progress
	readingDirectory  bool
	nextLinkExchange  time.Time
	nextDirectoryRead time.Time
	closing           bool

	cancelBase  context.CancelFunc
	baseCtx     context.Context
	wg          sync.WaitGroup
	activeCalls atomic.Int64 // calls in progress
	closeOnce   sync.Once
}

// New returns a Heartbeater. It makes no calls until Run is called.
func New(cfg Config) *Heartbeater {
	cfg.setDefaults()
	h := &Heartbeater{cfg: cfg, changes: make(chan struct{}, 1), self: cfg.Self}
	h.view = newView(&h.cfg)
	h.remotes = map[descriptor.DataCentreID]*remoteDataCentre{}
	h.snapshots = map[descriptor.DataCentreID]snapshot{}
	h.linkInProgress = map[descriptor.DataCentreID]bool{}
	h.dataCentres = slices.Clone(cfg.DataCentres)
	slices.Sort(h.dataCentres)
	h.dataCentres = slices.Compact(h.dataCentres)
	for _, dc := range h.dataCentres {
		if dc != cfg.Self.DataCentre {
			h.remotes[dc] = &remoteDataCentre{}
		}
	}
	h.baseCtx, h.cancelBase = context.WithCancel(context.Background())
	return h
}

// Register adds the handlers of the membership methods to the server.
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
	// A random phase prevents instances that start at the same time from sending
	// their heartbeats at the same time.
	phase := time.Duration(h.cfg.Rand.Int64N(int64(h.cfg.Interval)))
	h.tick()
	select {
	case <-h.cfg.Clock.After(phase):
	case <-ctx.Done():
	case <-h.baseCtx.Done():
	}
	ticker := h.cfg.Clock.NewTicker(h.cfg.Interval)
	defer ticker.Stop()
	for ctx.Err() == nil && h.baseCtx.Err() == nil {
		h.tick()
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
		case <-h.baseCtx.Done():
		}
	}
	return nil
}

// tick updates the view and starts all calls that are due.
func (h *Heartbeater) tick() {
	h.refreshSelf()
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	changed := h.view.tick(now)
	h.invalidate(h.cfg.Self.DataCentre)
	calls := h.view.dueCalls(now)
	h.startHeartbeats(calls)
	h.startLinkExchanges(now)
	h.startDirectoryRead(now)
	h.mu.Unlock()
	if changed {
		h.signalChange()
	}
}

// refreshSelf updates the rules version, load and status of this instance.
func (h *Heartbeater) refreshSelf() {
	rules, load := h.cfg.LocalStatus()
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if rules != h.self.Rules {
		h.self.Rules, h.self.RulesSince = rules, now
	}
	h.self.Load, h.self.LastHeard = load, now
	h.invalidate(h.cfg.Self.DataCentre)
	reached := h.reachedDataCentres(now)
	if rules == h.status.Rules && reached == h.status.Reached && now.Before(h.nextStatus) {
		return
	}
	h.status = status{Rules: rules, Load: load, Reached: reached, RulesSinceMs: unixMs(h.self.RulesSince)}
	h.statusVersion++
	h.nextStatus = now.Add(h.cfg.StatusInterval)
}

// SetIncarnation sets a new incarnation of this instance. It ignores one that is
// not higher than the current one.
func (h *Heartbeater) SetIncarnation(incarnation descriptor.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if incarnation > h.self.Incarnation {
		h.self.Incarnation = incarnation
		h.invalidate(h.cfg.Self.DataCentre)
	}
}

// spawn runs f in a goroutine and returns true, unless the Heartbeater is closing.
// The lock must be held.
func (h *Heartbeater) spawn(f func(ctx context.Context)) bool {
	if h.closing {
		return false
	}
	h.wg.Add(1)
	h.activeCalls.Add(1)
	go func() {
		defer h.wg.Done()
		defer h.activeCalls.Add(-1)
		f(h.baseCtx)
	}()
	return true
}

// signalChange signals the channel of Changes without blocking.
func (h *Heartbeater) signalChange() {
	select {
	case h.changes <- struct{}{}:
	default:
	}
}

// Changes returns a channel that is signalled after membership changes in any data
// centre. It has capacity 1, so several changes may be merged into one signal.
func (h *Heartbeater) Changes() <-chan struct{} { return h.changes }

// startDirectoryRead reads the platform's directory if it is due. The lock must be
// held.
func (h *Heartbeater) startDirectoryRead(now time.Time) {
	if h.readingDirectory || now.Before(h.nextDirectoryRead) || h.cfg.Directory == nil {
		return
	}
	h.nextDirectoryRead = now.Add(h.cfg.DirectoryInterval)
	h.readingDirectory = h.spawn(h.readDirectory)
}

// readDirectory reads the platform's directory. The instances it lists are only
// candidates and seeds; they become members by their own messages.
func (h *Heartbeater) readDirectory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, messenger.DefaultTimeout)
	defer cancel()
	listing, err := h.cfg.Directory.List(ctx, "")
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readingDirectory = false
	if err != nil {
		h.cfg.Scope.Counter("directory_errors").Inc(1)
		h.cfg.Log.Debug("heartbeater: failed to read the platform's directory", "error", err)
		h.nextDirectoryRead = now.Add(min(h.cfg.DirectoryInterval, h.cfg.CandidateInterval))
		return
	}
	seeds := map[descriptor.DataCentreID][]Member{}
	for _, listed := range listing.Instances {
		if listed.Leaving {
			continue
		}
		if listed.DataCentre == h.cfg.Self.DataCentre {
			h.view.addCandidate(listed.ID, listed.PeerAddress, now)
			continue
		}
		seeds[listed.DataCentre] = append(seeds[listed.DataCentre], Member{ID: listed.ID, DataCentre: listed.DataCentre, PeerAddress: listed.PeerAddress})
	}
	for dc, r := range h.remotes {
		sortMembers(seeds[dc])
		r.seeds = seeds[dc]
		h.invalidate(dc)
	}
}

// snapshot is a cached list of members. Heartbeats and digests invalidate it about
// ten times a second, whereas the router reads it for each request.
type snapshot struct {
	members    []Member
	validUntil time.Time
}

// Members returns the live and suspect members of a data centre, sorted by ID. For
// the local data centre they include this instance; for another they are those
// last reported.
func (h *Heartbeater) Members(dc descriptor.DataCentreID) []Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.membersLocked(dc)
}

// membersLocked is Members with the lock held. The result is a copy, which the
// caller may modify.
func (h *Heartbeater) membersLocked(dc descriptor.DataCentreID) []Member {
	now := h.cfg.Clock.Now()
	s := h.snapshots[dc]
	if !now.Before(s.validUntil) {
		// Digests expire without an event that invalidates the snapshot, so it
		// is valid for one interval only.
		s = snapshot{members: h.buildMembers(dc, now), validUntil: now.Add(h.cfg.Interval)}
		h.snapshots[dc] = s
	}
	return slices.Clone(s.members)
}

// buildMembers returns the members of a data centre from the view or its digests.
func (h *Heartbeater) buildMembers(dc descriptor.DataCentreID, now time.Time) []Member {
	if dc != h.cfg.Self.DataCentre {
		if r := h.remotes[dc]; r != nil {
			return r.mergedMembers(now, h.digestFreshness())
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

// invalidate drops the snapshot of a data centre whose members may have changed.
// The lock must be held.
func (h *Heartbeater) invalidate(dc descriptor.DataCentreID) { delete(h.snapshots, dc) }

// digestFreshness is the maximum age at which digests of several origins are merged.
// Within it, each origin has time for one relay.
func (h *Heartbeater) digestFreshness() time.Duration { return h.cfg.RelayInterval * 3 / 2 }

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

// Reachable reports whether this instance or another of the local data centre has
// recently received a digest of the data centre on a link. The local data centre is
// always reachable.
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
	if !r.lastDirect.IsZero() && now.Sub(r.lastDirect) < h.cfg.ReachableFor {
		return true
	}
	bit := h.dataCentreBit(dc)
	for _, e := range h.view.members {
		if e.reached&bit != 0 && now.Sub(e.LastHeard) < h.cfg.RemoveAfter {
			return true
		}
	}
	return false
}

// dataCentreBit returns the bit of a data centre in status.Reached, or 0 if it has
// none.
func (h *Heartbeater) dataCentreBit(dc descriptor.DataCentreID) uint64 {
	i, found := slices.BinarySearch(h.dataCentres, dc)
	if !found || i >= 63 { // bit 63 is the sign bit of the int64 that is decoded from JSON
		return 0
	}
	return 1 << i
}

// reachedDataCentres returns the bits of the data centres from which this instance
// has received a digest on a link within ReachableFor.
func (h *Heartbeater) reachedDataCentres(now time.Time) uint64 {
	var bits uint64
	for dc, r := range h.remotes {
		if !r.lastDirect.IsZero() && now.Sub(r.lastDirect) < h.cfg.ReachableFor {
			bits |= h.dataCentreBit(dc)
		}
	}
	return bits
}

// Close stops Run, waits for all calls in progress and then notifies the members
// that this instance is leaving.
func (h *Heartbeater) Close() error {
	h.closeOnce.Do(func() {
		h.mu.Lock()
		h.closing = true
		h.invalidate(h.cfg.Self.DataCentre)
		h.mu.Unlock()
		h.cancelBase()
		h.wg.Wait()
		h.announceLeave()
	})
	return nil
}
