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

// Scheduler holds the waiting requests and the running tasks of the targets that
// an instance owns.
type Scheduler struct {
	cfg   Config
	ready chan struct{}

	mu       sync.Mutex
	rules    *descriptor.Rules
	capacity descriptor.Resources
	targets  map[descriptor.TargetID]struct{}

	records *table[descriptor.Key, *Record]
	tasks   *table[taskRef, *task]
	rescue  *dueIndex // by the latest start of long runs
	expiry  *dueIndex // by the latest start of short runs
	expired []Expired

	waiting  backlogs
	usage    usage
	overruns overruns
	movable  map[*task]struct{}
	tokens   float64
	rescues  float64
	peak     peak
	counters counters
}

// New returns a scheduler without rules and targets.
func New(cfg Config) *Scheduler {
	cfg = cfg.withDefaults()
	s := &Scheduler{
		cfg:      cfg,
		ready:    make(chan struct{}, 1),
		rules:    &descriptor.Rules{},
		records:  newTable[descriptor.Key, *Record](),
		tasks:    newTable[taskRef, *task](),
		rescue:   newDueIndex(),
		expiry:   newDueIndex(),
		waiting:  newBacklogs(),
		usage:    newUsage(),
		targets:  map[descriptor.TargetID]struct{}{},
		movable:  map[*task]struct{}{},
		tokens:   maxTokens,
		counters: newCounters(cfg.Scope),
	}
	return s
}

// SetRules replaces the rules. What waits keeps the class that it was admitted
// with.
func (s *Scheduler) SetRules(r *descriptor.Rules) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r == nil {
		r = &descriptor.Rules{}
	}
	s.rules = r
	s.cfg.Sequencer.SetRules(r)
	s.cfg.Sharer.SetWeights(r.Weights)
	s.cfg.Admitter.SetWeights(r.Weights)
	s.signal()
}

// Ready returns a channel of capacity 1 that is signalled when Next may have
// something. Time alone also makes work placeable, for instance when a gang's
// reservation begins, so that Next should be called a few times per second in
// any case.
func (s *Scheduler) Ready() <-chan struct{} { return s.ready }

func (s *Scheduler) signal() {
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
		s.retake(t.ID)
	}
	s.resize()
}

// RemoveTarget forgets a target. Its tasks stay known until Ended is called for
// each of them.
func (s *Scheduler) RemoveTarget(id descriptor.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Placer.RemoveTarget(id)
	delete(s.targets, id)
	s.resize()
}

// retake accounts for the tasks that are known to run on a target that was added
// again. The placer has forgotten them with the target.
func (s *Scheduler) retake(id descriptor.TargetID) {
	if s.usage.tasks[id] == 0 {
		return
	}
	s.tasks.each(func(ref taskRef, t *task) {
		if ref.target == id {
			s.cfg.Placer.Take(id, t.resources)
		}
	})
}

// SetTargetState says whether a target takes new tasks.
func (s *Scheduler) SetTargetState(id descriptor.TargetID, state placer.TargetState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Placer.SetState(id, state)
	s.resize()
}

func (s *Scheduler) resize() {
	s.capacity, _ = s.cfg.Placer.Totals()
	s.signal()
}

// share returns the fraction of the capacity that an amount takes.
func (s *Scheduler) share(r descriptor.Resources) float64 { return r.DominantShare(s.capacity) }

// Load says how busy the scheduler is.
type Load struct {
	Queued, Running int
	Capacity, Used  descriptor.Resources
	// Wait is the longest predicted wait of a class.
	Wait time.Duration
}

// Load returns the present load.
func (s *Scheduler) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	l := Load{Queued: s.cfg.Sequencer.Len(), Running: s.tasks.n}
	l.Capacity, l.Used = s.cfg.Placer.Totals()
	for c, b := range s.waiting.classes {
		l.Wait = max(l.Wait, s.cfg.Admitter.Wait(now, c, b.Backlog))
	}
	return l
}

// backlogs counts what waits.
type backlogs struct {
	total   admitter.Backlog
	classes map[sequencer.Class]*classBacklog
	callers *table[descriptor.CallerID, *callerBacklog]
	// short is what the waiting short work would take at once. It is kept in whole
	// units, because a rest of rounding would look like work that waits for ever.
	short descriptor.Resources
}

// classBacklog is what waits of one class, and of how many callers.
type classBacklog struct {
	admitter.Backlog
	callers int
}

// callerBacklog is what waits of one caller. Limit is valid for one version of
// the rules.
type callerBacklog struct {
	total   admitter.Backlog
	offered demand
	classes map[sequencer.Class]admitter.Backlog
	rules   *descriptor.Rules
	limit   int
}

// offeredWindow is the time over which a caller's demand is measured while it has
// work waiting.
const offeredWindow = time.Second

func newBacklogs() backlogs {
	return backlogs{
		classes: map[sequencer.Class]*classBacklog{},
		callers: newTable[descriptor.CallerID, *callerBacklog](),
	}
}

func (b *backlogs) class(c sequencer.Class) *classBacklog {
	got, ok := b.classes[c]
	if !ok {
		got = &classBacklog{}
		b.classes[c] = got
	}
	return got
}

// caller returns the backlog of a caller, with its limit by the rules.
func (b *backlogs) caller(id descriptor.CallerID, r *descriptor.Rules) *callerBacklog {
	c, ok := b.callers.get(id)
	if !ok {
		c = &callerBacklog{classes: map[sequencer.Class]admitter.Backlog{}, offered: demand{window: offeredWindow}}
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
		b.short = b.short.Add(r.need())
	}
}

func (b *backlogs) remove(r *Record, rules *descriptor.Rules) {
	own := r.backlog()
	b.total = b.total.Sub(own)
	k := b.class(r.item.Class)
	k.Backlog = k.Sub(own)
	if k.Requests == 0 {
		k.Work = 0 // drops the rounding error
	}
	c := b.caller(r.req.Caller, rules)
	c.total = c.total.Sub(own)
	if rest := c.classes[r.item.Class].Sub(own); rest.Requests > 0 {
		c.classes[r.item.Class] = rest
	} else {
		delete(c.classes, r.item.Class)
		k.callers--
	}
	if c.total.Requests == 0 {
		b.callers.remove(r.req.Caller)
	}
	if !r.item.Class.Long {
		b.short = b.short.Sub(r.need())
	}
	if b.total.Requests == 0 {
		b.total.Work = 0
	}
}

// counters are the metrics, one for each refusal and retry reason.
type counters struct {
	refused                                              [descriptor.ReasonCancelledUnstarted + 1]tally.Counter
	submitted, placed, retried, overran, rescued, direct tally.Counter
}

func newCounters(scope tally.Scope) counters {
	c := counters{
		submitted: scope.Counter("submitted"),
		placed:    scope.Counter("placed"),
		retried:   scope.Counter("retries"),
		overran:   scope.Counter("overran"),
		rescued:   scope.Counter("rescued"),
		direct:    scope.Counter("directives"),
	}
	for i := descriptor.ReasonNone + 1; int(i) < len(c.refused); i++ {
		c.refused[i] = scope.Tagged(map[string]string{"reason": i.String()}).Counter("refusals")
	}
	return c
}
