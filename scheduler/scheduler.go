package scheduler

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/masticlead/masticlead/admitter"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
	"github.com/masticlead/masticlead/sequencer"
)

// Scheduler schedules the requests of an instance on the targets that the instance
// owns.
type Scheduler struct {
	cfg   Config
	ready chan struct{}

	mu       sync.Mutex
	rules    *descriptor.Rules
	capacity descriptor.Resources
	targets  map[descriptor.TargetID]struct{}

	records     *shardedMap[descriptor.Key, *Record]
	tasks       *shardedMap[taskRef, *task]
	boostIndex  *dueIndex // by boost time
	expiryIndex *dueIndex // by the latest start for the shortest expected run
	expired     []Expired

	waiting     backlogs
	usage       usage
	overruns    overrunHeap
	preemptible map[*task]struct{}
	retryTokens float64
	boostTokens float64
	peak        demandPeak
	counters    counters
}

// New returns a scheduler without rules and targets.
func New(cfg Config) *Scheduler {
	cfg = cfg.withDefaults()
	s := &Scheduler{
		cfg:         cfg,
		ready:       make(chan struct{}, 1),
		rules:       &descriptor.Rules{},
		records:     newShardedMap[descriptor.Key, *Record](),
		tasks:       newShardedMap[taskRef, *task](),
		boostIndex:  newDueIndex(),
		expiryIndex: newDueIndex(),
		waiting:     newBacklogs(),
		usage:       newUsage(),
		targets:     map[descriptor.TargetID]struct{}{},
		preemptible: map[*task]struct{}{},
		retryTokens: maxRetryTokens,
		counters:    newCounters(cfg.Scope),
	}
	return s
}

// SetRules replaces the rules. Waiting requests keep the class that they were
// admitted with.
func (s *Scheduler) SetRules(r *descriptor.Rules) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r == nil {
		r = &descriptor.Rules{}
	}
	s.rules = r
	s.cfg.Sequencer.SetRules(r)
	s.cfg.CapacityPolicy.SetWeights(r.Weights)
	s.cfg.Admitter.SetWeights(r.Weights)
	s.signalReady()
}

// Ready returns a channel of capacity 1 that is signalled when Next may return
// placements. Work can also become placeable without a signal as time passes, for
// instance when a gang's reservation begins, so Next should be called a few times
// per second in any case.
func (s *Scheduler) Ready() <-chan struct{} { return s.ready }

func (s *Scheduler) signalReady() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// AddTarget adds a target or changes the capacity of a known one.
func (s *Scheduler) AddTarget(t descriptor.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Placer.AddTarget(t)
	if _, ok := s.targets[t.ID]; !ok {
		s.targets[t.ID] = struct{}{}
		s.restoreTasks(t.ID)
	}
	s.updateCapacity()
}

// RemoveTarget removes a target. Its tasks stay tracked until Ended is called for
// each of them.
func (s *Scheduler) RemoveTarget(id descriptor.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Placer.RemoveTarget(id)
	delete(s.targets, id)
	s.updateCapacity()
}

// restoreTasks allocates capacity for the tracked tasks of a target that was added
// again. The placer dropped them when the target was removed.
func (s *Scheduler) restoreTasks(id descriptor.TargetID) {
	if s.usage.targetTasks[id] == 0 {
		return
	}
	s.tasks.each(func(ref taskRef, t *task) {
		if ref.target == id {
			s.cfg.Placer.AddRunning(id, t.resources)
		}
	})
}

// SetTargetState sets the state of a target, which decides whether it accepts new
// tasks.
func (s *Scheduler) SetTargetState(id descriptor.TargetID, state placer.TargetState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Placer.SetState(id, state)
	s.updateCapacity()
}

func (s *Scheduler) updateCapacity() {
	s.capacity, _ = s.cfg.Placer.Totals()
	s.signalReady()
}

// share returns the dominant share of the resources in the total capacity.
func (s *Scheduler) share(r descriptor.Resources) float64 { return r.DominantShare(s.capacity) }

// Load is the load of a scheduler.
type Load struct {
	Queued, Running int
	Capacity, Used  descriptor.Resources
	// Wait is the longest predicted wait of a class.
	Wait time.Duration
}

// Load returns the current load.
func (s *Scheduler) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	l := Load{Queued: s.cfg.Sequencer.Len(), Running: s.tasks.size}
	l.Capacity, l.Used = s.cfg.Placer.Totals()
	for c, b := range s.waiting.classes {
		l.Wait = max(l.Wait, s.cfg.Admitter.PredictWait(now, c, b.Backlog))
	}
	return l
}

// backlogs sums up the waiting requests.
type backlogs struct {
	total   admitter.Backlog
	classes map[sequencer.Class]*classBacklog
	callers *shardedMap[descriptor.CallerID, *callerBacklog]
	// shortResources is the total of the waiting short requests. It is kept in whole
	// units, because a remaining rounding error would look like short work that
	// never stops waiting.
	shortResources descriptor.Resources
}

// classBacklog is the backlog of a class and the number of callers that have
// requests in it.
type classBacklog struct {
	admitter.Backlog
	callers int
}

// callerBacklog is the backlog of a caller. The limit is that of the version of the
// rules that it points to.
type callerBacklog struct {
	total   admitter.Backlog
	offered offeredLoad
	classes map[sequencer.Class]admitter.Backlog
	rules   *descriptor.Rules
	limit   int
}

// offeredWindow is the time constant over which a caller's offered load is measured
// while it has requests waiting.
const offeredWindow = time.Second

func newBacklogs() backlogs {
	return backlogs{
		classes: map[sequencer.Class]*classBacklog{},
		callers: newShardedMap[descriptor.CallerID, *callerBacklog](),
	}
}

func (b *backlogs) class(c sequencer.Class) *classBacklog {
	k, ok := b.classes[c]
	if !ok {
		k = &classBacklog{}
		b.classes[c] = k
	}
	return k
}

// caller returns the backlog of a caller, with its limit according to the rules.
func (b *backlogs) caller(id descriptor.CallerID, r *descriptor.Rules) *callerBacklog {
	c, ok := b.callers.get(id)
	if !ok {
		c = &callerBacklog{classes: map[sequencer.Class]admitter.Backlog{}, offered: offeredLoad{window: offeredWindow}}
	}
	if c.rules != r {
		rule, _ := r.CallerRule(id)
		c.rules, c.limit = r, rule.MaxQueued
	}
	return c
}

func (r *Record) backlog() admitter.Backlog {
	return admitter.Backlog{Requests: 1, Bytes: r.req.Size(), Work: r.queuedWork}
}

func (b *backlogs) add(r *Record, rules *descriptor.Rules) {
	own := r.backlog()
	b.total = b.total.Add(own)
	k := b.class(r.item.Class)
	k.Backlog = k.Add(own)
	c := b.caller(r.req.Caller, rules)
	c.total = c.total.Add(own)
	if c.classes[r.item.Class].Requests == 0 {
		k.callers++
	}
	c.classes[r.item.Class] = c.classes[r.item.Class].Add(own)
	b.callers.put(r.req.Caller, c)
	if !r.item.Class.Long {
		b.shortResources = b.shortResources.Add(r.totalResources())
	}
}

func (b *backlogs) remove(r *Record, rules *descriptor.Rules) {
	own := r.backlog()
	b.total = b.total.Sub(own)
	k := b.class(r.item.Class)
	k.Backlog = k.Sub(own)
	if k.Requests == 0 {
		k.Work = 0 // discards the accumulated rounding error
	}
	c := b.caller(r.req.Caller, rules)
	c.total = c.total.Sub(own)
	if remaining := c.classes[r.item.Class].Sub(own); remaining.Requests > 0 {
		c.classes[r.item.Class] = remaining
	} else {
		delete(c.classes, r.item.Class)
		k.callers--
	}
	if c.total.Requests == 0 {
		b.callers.remove(r.req.Caller)
	}
	if !r.item.Class.Long {
		b.shortResources = b.shortResources.Sub(r.totalResources())
	}
	if b.total.Requests == 0 {
		b.total.Work = 0
	}
}

// counters are the metrics of a scheduler. Refusals are counted by reason.
type counters struct {
	refused                                                  [descriptor.ReasonCancelledUnstarted + 1]tally.Counter
	submitted, placed, retried, overran, boosted, directives tally.Counter
}

func newCounters(scope tally.Scope) counters {
	c := counters{
		submitted:  scope.Counter("submitted"),
		placed:     scope.Counter("placed"),
		retried:    scope.Counter("retries"),
		overran:    scope.Counter("overran"),
		boosted:    scope.Counter("rescued"),
		directives: scope.Counter("directives"),
	}
	for i := descriptor.ReasonNone + 1; int(i) < len(c.refused); i++ {
		c.refused[i] = scope.Tagged(map[string]string{"reason": i.String()}).Counter("refusals")
	}
	return c
}
