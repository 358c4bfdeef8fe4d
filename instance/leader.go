package instance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/masticlead/masticlead/coordinator"
	"github.com/masticlead/masticlead/elector"
	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

const (
	// lease is the time for which a target runs on without contact. It covers
	// the change of a leader and a restart of all instances.
	lease = 6 * time.Second
	// decidePeriod is the least time between two rounds of decisions. A round that
	// took longer is followed by a pause as long as it, up to idlePeriod, so that at
	// least half of the processor is left for what the instances send.
	decidePeriod = 4 * time.Millisecond
	// idlePeriod is the longest time between two rounds.
	idlePeriod = 25 * time.Millisecond
	// targetsPeriod is the time between two reads of the list of targets, half
	// of the time after which a draining target must get no new work.
	targetsPeriod = 1 * time.Second
	// newsPeriod is the time between two searches for jobs whose gateway could
	// not hand them over.
	newsPeriod = 2 * time.Second
	// outageMemory is the time after an outage of the store during which
	// missing targets are still expected back.
	outageMemory = 2200 * time.Millisecond
	// saveLate is the age of an unsaved batch after which states are shown
	// before they are stored.
	saveLate = 400 * time.Millisecond
	// renewLate is the age of the last renewal after which a leader asks an
	// instance that reaches the store to take over, besides slowRenewals times
	// what that renewal took.
	renewLate    = 1200 * time.Millisecond
	slowRenewals = 2
	// memberStoreAge is the time of failing calls up to which an instance counts
	// as reaching the store.
	memberStoreAge = 300 * time.Millisecond
	// retention is added to the time for which states must be kept.
	retention = 30 * time.Second
)

// leader coordinates the cell.
type leader struct {
	in     *Instance
	lead   keeper.Leadership
	ctx    context.Context
	cancel context.CancelFunc
	inbox  chan func(*coordinator.Coordinator)
	co     *coordinator.Coordinator
	// stopped does not follow from ctx, which ends with the instance as well.
	stopped sync.Once

	mu       sync.Mutex
	conns    map[w.InstanceID]*linker.Conn
	status   map[w.InstanceID]memberStatus
	renewed  time.Time
	took     time.Duration              // time of the last renewal
	strength int                        // instances connected at the last renewal
	woke     time.Time                  // when the leader went on after its last long pause
	met      map[w.InstanceID]time.Time // when its instances connected
	retired  time.Time
}

type memberStatus struct {
	age      time.Duration // time for which the store has failed it
	strength float64
	leaving  bool
	asked    bool // to take over
	known    bool // it has sent its status
}

// inboxSize is the number of events that may wait for a decision.
const inboxSize = 4096

// newLeader loads the cell from the store.
func newLeader(in *Instance, lead keeper.Leadership) (*leader, error) {
	l := &leader{
		in: in, lead: lead, inbox: make(chan func(*coordinator.Coordinator), inboxSize),
		met:   make(map[w.InstanceID]time.Time),
		conns: make(map[w.InstanceID]*linker.Conn), status: make(map[w.InstanceID]memberStatus), renewed: time.Now(),
	}
	l.ctx, l.cancel = context.WithCancel(in.ctx)
	began := time.Now()
	bounds := in.bounds.Load()
	l.co = coordinator.New(coordinator.Settings{
		Epoch: lead.Epoch, Self: in.id, Lease: min(lease, bounds.MaxLease), StopTimeout: bounds.StopTimeout,
		RestoreTime: bounds.Restore,
		Retention:   bounds.StateKept + retention, Log: in.Log, Meter: in.Meter,
	}, began)
	l.spawn(l.renew)
	l.spawn(l.watchRenewals)
	for {
		s, err := in.Keeper.Load(l.ctx)
		if err == nil {
			// What this instance has watched may be older than what its predecessor
			// acted on.
			if cfg, _, err := in.Directory.Config(l.ctx); err != nil {
				in.Log.Warn("configuration not read at the takeover", "epoch", lead.Epoch, "error", err)
			} else if cfg != nil {
				in.Gateway.Configure(cfg)
			}
			if cfg := in.Gateway.Config(); cfg != nil {
				l.co.Configure(cfg)
			}
			l.lead.InitSaves(s)
			if !in.guard(func() { l.co.Load(s) }) {
				l.stop("the cell could not be taken over")
				return nil, fmt.Errorf("instance: epoch %d: %d jobs could not be taken over", lead.Epoch, len(s.Jobs))
			}
			l.spawn(func() { l.readNews(s.Versions) })
			l.tellUnread(s.DecodeErrors)
			in.Log.Info("cell loaded", "jobs", len(s.Jobs), "targets", len(s.Roster.Open)+len(s.Roster.Closed), "took", time.Since(began))
			return l, nil
		}
		in.Log.Warn("cell not loaded yet", "error", err)
		if current, err := in.Keeper.Leader(l.ctx); err == nil && current.Epoch > lead.Epoch {
			l.cancel()
			return nil, fmt.Errorf("instance: epoch %d was taken over by epoch %d", lead.Epoch, current.Epoch)
		}
		in.pause(errorPause)
		if l.ctx.Err() != nil {
			return nil, fmt.Errorf("instance: load: %w", l.ctx.Err())
		}
	}
}

func (l *leader) spawn(f func()) { l.in.spawn(f) }

// stop ends the leadership.
func (l *leader) stop(why string) {
	l.stopped.Do(func() {
		l.in.Log.Info("leadership ends", "epoch", l.lead.Epoch, "reason", why)
		l.cancel()
		l.in.leader.CompareAndSwap(l, nil)
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, c := range l.conns {
			c.Close()
		}
	})
}

// post hands an event to the coordinator.
func (l *leader) post(f func(*coordinator.Coordinator)) {
	select {
	case l.inbox <- f:
	case <-l.ctx.Done():
	}
}

func (l *leader) configure(cfg *w.Config) {
	l.post(func(c *coordinator.Coordinator) { c.Configure(cfg) })
}

func (l *leader) join(h *linker.Hello, conn *linker.Conn) {
	l.mu.Lock()
	old := l.conns[h.Instance]
	l.conns[h.Instance] = conn
	l.met[h.Instance] = time.Now()
	l.status[h.Instance] = memberStatus{strength: h.Strength}
	l.mu.Unlock()
	if old != nil {
		old.Close()
	}
	if l.ctx.Err() != nil {
		conn.Close()
	}
	l.post(func(c *coordinator.Coordinator) { c.Join(h) })
}

func (l *leader) leave(id w.InstanceID, conn *linker.Conn, err error) {
	l.mu.Lock()
	current := l.conns[id] == conn
	if current {
		delete(l.conns, id)
		delete(l.status, id)
		delete(l.met, id)
	}
	l.mu.Unlock()
	if current {
		l.in.Log.Info("connection to an instance ended", "instance", id, "error", err)
		l.post(func(c *coordinator.Coordinator) { c.Leave(id) })
	}
}

func (l *leader) receive(id w.InstanceID, f *linker.Frame) {
	if f.Status != nil {
		l.mu.Lock()
		old := l.status[id]
		l.status[id] = memberStatus{age: f.Status.StoreAge, leaving: f.Status.Leaving, asked: old.asked, strength: old.strength, known: true}
		l.mu.Unlock()
	}
	if len(f.Calls) > 0 {
		l.serve(id, f.Calls)
	}
	for i := range f.Results {
		if f.Results[i].Outcome == linker.Fenced {
			l.stop("a target has seen a higher epoch")
			return
		}
	}
	l.post(func(c *coordinator.Coordinator) { c.Receive(id, f, time.Now()) })
}

// serve makes calls to the store for an instance that can't reach it.
func (l *leader) serve(id w.InstanceID, calls []linker.Call) {
	l.mu.Lock()
	conn := l.conns[id]
	l.mu.Unlock()
	if conn == nil {
		return
	}
	for i := range calls {
		l.spawn(func() {
			ctx, cancel := context.WithTimeout(l.ctx, calls[i].Timeout)
			defer cancel()
			r := l.in.Store.Serve(ctx, &calls[i])
			r.ID = calls[i].ID
			conn.Send(&linker.Frame{Replies: []linker.CallReply{r}})
		})
	}
}

// run decides until the leadership ends. An unexpected error in a decision ends it
// in order: another instance takes over from what is stored and what targets list.
// Ends that are not stored yet are not acknowledged, so none is lost.
func (l *leader) run() {
	if !l.in.guard(l.decide) {
		l.handOver()
		l.stop("a decision failed")
	}
}

func (l *leader) decide() {
	l.spawn(l.readTargets)
	saved := make(chan *coordinator.Batch, 1)
	tick := time.NewTicker(idlePeriod)
	defer tick.Stop()
	var pending *coordinator.Batch
	var savingSince time.Time
	watch := pauseWatch{now: machineUptime}
	var took time.Duration
	var rounds roundStats
	for {
		select {
		case f := <-l.inbox:
			f(l.co)
		case <-tick.C:
		case b := <-saved:
			pending = nil
			l.co.Stored(b)
		case <-l.ctx.Done():
			return
		}
		time.Sleep(min(idlePeriod, max(decidePeriod, took)))
		began := time.Now()
		if d := watch.look(); d > coordinator.LeadershipGrace {
			l.wake(d)
		}
		for more := true; more; {
			select {
			case f := <-l.inbox:
				f(l.co)
				rounds.events++
			default:
				more = false
			}
		}
		l.co.SetSuspended(l.doubtful())
		l.co.SetStoreSlow(pending != nil && time.Since(savingSince) > saveLate)
		l.co.Advance(time.Now())
		if pending == nil {
			if b := l.co.Flush(); b != nil {
				if b.Empty() {
					l.co.Stored(b)
				} else {
					pending, savingSince = b, time.Now()
					l.spawn(func() { l.save(b, saved) })
				}
			}
		}
		l.sendFrames()
		took = time.Since(began)
		rounds.note(l, took)
	}
}

// roundStats sums up the rounds of a second for the log.
type roundStats struct {
	since   time.Time
	rounds  int
	events  int
	sum     time.Duration
	longest time.Duration
}

func (r *roundStats) note(l *leader, took time.Duration) {
	const period = time.Second
	r.rounds++
	r.sum += took
	r.longest = max(r.longest, took)
	l.in.Meter.ObserveDuration("round", took)
	if now := time.Now(); now.Sub(r.since) >= period {
		if !r.since.IsZero() {
			l.in.Log.Info("rounds of decisions", "epoch", l.lead.Epoch, "rounds", r.rounds, "events", r.events,
				"deciding", r.sum, "longest", r.longest, "waiting", len(l.inbox))
		}
		*r = roundStats{since: now}
	}
}

// wake notes that the leader went on after a pause. Connections that were made
// before it may have ended without its knowledge.
func (l *leader) wake(paused time.Duration) {
	l.in.Meter.Count("pause", "leader")
	l.in.Log.Warn("leader was paused", "epoch", l.lead.Epoch, "for", paused)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.woke = time.Now()
}

// doubtful reports whether another instance may have taken over: the leader
// can't renew and has lost most of its instances, or it was paused and has neither
// renewed since nor been joined by most of them again.
func (l *leader) doubtful() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	connected := 0
	for id := range l.conns {
		if l.met[id].After(l.woke) {
			connected++
		}
	}
	old := time.Since(l.renewed) > coordinator.LeadershipGrace || l.renewed.Before(l.woke)
	return old && 2*connected <= l.strength
}

func (l *leader) sendFrames() {
	frames := l.co.Frames()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, f := range frames {
		if c := l.conns[id]; c != nil {
			c.Send(f)
		}
	}
}

// save writes a batch until it is stored or the leadership ends.
func (l *leader) save(b *coordinator.Batch, saved chan<- *coordinator.Batch) {
	for l.ctx.Err() == nil {
		err := l.in.Keeper.Save(l.ctx, &l.lead, &keeper.ChangeSet{
			Progress: b.Progress, Remove: b.Remove, Roster: b.Roster, RosterChanged: b.RosterChanged,
		})
		if err == nil {
			saved <- b
			return
		}
		if l.deposed(err) {
			return
		}
		l.in.Log.Debug("batch not saved", "rows", len(b.Progress), "error", err)
		l.in.pause(errorPause)
	}
}

// deposed ends the leadership if an error of the store shows another leader.
func (l *leader) deposed(err error) bool {
	var c *keeper.ConflictError
	if !errors.As(err, &c) {
		return false
	}
	l.stop("another leader took over")
	return true
}

// renew shows others that this leader is at work.
func (l *leader) renew() {
	for l.ctx.Err() == nil {
		l.mu.Lock()
		members := len(l.conns)
		best := l.in.Strength
		for _, s := range l.status {
			if s.known && !s.leaving {
				best = max(best, s.strength)
			}
		}
		l.mu.Unlock()
		began := time.Now()
		err := l.in.Keeper.Renew(l.ctx, &l.lead, max(0, members-1), best)
		if err != nil && l.deposed(err) {
			return
		}
		now := time.Now()
		l.mu.Lock()
		if err == nil {
			l.renewed, l.took = began, now.Sub(began)
			l.strength = members
		}
		retired := now.Sub(l.retired) <= renewLate
		l.mu.Unlock()
		if err == nil {
			l.post(func(c *coordinator.Coordinator) { c.Renewed(began) })
		}
		switch {
		case err != nil:
			l.in.Log.Debug("leader not renewed", "epoch", l.lead.Epoch, "error", err)
		case best > elector.PreferredCoreRatio*l.in.Strength && !retired:
			l.in.Log.Info("a stronger instance should lead", "epoch", l.lead.Epoch, "cores", l.in.Strength, "best", best)
			l.handOver()
		}
		l.in.pause(elector.RenewPeriod)
	}
}

// watchRenewals hands the coordination over once renewals are late. The call of
// one that gets no answer lasts longer than that.
func (l *leader) watchRenewals() {
	const period = 100 * time.Millisecond
	warned := false
	for l.ctx.Err() == nil {
		l.in.pause(period)
		now := time.Now()
		l.mu.Lock()
		age := now.Sub(l.renewed)
		late := age > renewLate+slowRenewals*l.took
		retired := now.Sub(l.retired) <= renewLate
		l.mu.Unlock()
		if late && !warned {
			l.in.Log.Warn("leader can't renew", "epoch", l.lead.Epoch, "age", age)
		}
		warned = late
		if late && !retired {
			l.handOver()
		}
	}
}

// resign hands the coordination over before this instance stops. An instance
// that was asked may itself be stopping or dead, so others are asked in turn.
func (l *leader) resign(until time.Time) {
	const period = 500 * time.Millisecond
	for l.ctx.Err() == nil && time.Now().Before(until) {
		l.handOver()
		select {
		case <-l.ctx.Done():
		case <-time.After(period):
		}
	}
}

// handOver asks an instance that reaches the store to take over.
func (l *leader) handOver() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *linker.Conn
	var to w.InstanceID
	var least time.Duration
	var most float64
	for id, c := range l.conns {
		s, ok := l.status[id]
		if id == l.in.id || !ok || !s.known || s.leaving || s.asked || s.age >= memberStoreAge {
			continue
		}
		if best == nil || s.strength > most || (s.strength == most && s.age < least) {
			best, to, least, most = c, id, s.age, s.strength
		}
	}
	if best == nil {
		// All were asked; the next time they are asked again.
		for id, s := range l.status {
			s.asked = false
			l.status[id] = s
		}
		return
	}
	l.retired = time.Now()
	asked := l.status[to]
	asked.asked = true
	l.status[to] = asked
	l.in.Log.Info("leader hands over", "epoch", l.lead.Epoch, "to", to, "storeFailing", least)
	best.Send(&linker.Frame{Retire: true})
}

// readTargets follows the platform's list of targets.
func (l *leader) readTargets() {
	var outage time.Time
	for l.ctx.Err() == nil {
		list, err := l.in.Directory.Targets(l.ctx)
		now := time.Now()
		if err != nil {
			outage = now
			l.in.pause(errorPause)
			continue
		}
		complete := now.Sub(outage) > outageMemory
		l.post(func(c *coordinator.Coordinator) { c.SetTargets(list, complete, time.Now()) })
		l.in.pause(targetsPeriod)
	}
}

// tellUnread logs and counts rows of the store that could not be decoded.
func (l *leader) tellUnread(rows []error) {
	for _, err := range rows {
		l.in.Meter.Count("unread", "row")
		l.in.Log.Error("row of the store not read", "epoch", l.lead.Epoch, "error", err)
	}
}

// readNews finds stored jobs and cancellations that no gateway handed over.
func (l *leader) readNews(versions map[string]keeper.Version) {
	for l.ctx.Err() == nil {
		l.in.pause(newsPeriod)
		n, err := l.in.Keeper.Updates(l.ctx, versions)
		if errors.Is(err, keeper.ErrHistoryTruncated) {
			s, err := l.in.Keeper.Load(l.ctx)
			if err != nil {
				l.in.Log.Debug("cell not read again", "error", err)
				continue
			}
			versions = s.Versions
			n = &keeper.Updates{Jobs: s.Jobs, DecodeErrors: s.DecodeErrors}
			for id := range s.Cancelled {
				n.Cancellations = append(n.Cancellations, id)
			}
		} else if err != nil {
			l.in.Log.Debug("news not read", "error", err)
			continue
		}
		l.tellUnread(n.DecodeErrors)
		l.post(func(c *coordinator.Coordinator) {
			for i := range n.Jobs {
				if !c.HasJob(n.Jobs[i].ID) {
					l.in.Log.Info("stored job found", "job", n.Jobs[i].ID)
					c.AddJob(&n.Jobs[i], false)
				}
			}
			for _, id := range n.Cancellations {
				c.Cancel(id)
			}
		})
	}
}
