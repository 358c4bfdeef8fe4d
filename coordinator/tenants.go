package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/limiter"
	"github.com/masticlead/masticlead/sharer"
	w "github.com/masticlead/masticlead/workload"
)

// uncertainPeriod is the interval at which what may be running on unsynced targets is
// counted again. Changes that raise the count take effect at once.
const uncertainPeriod = 50 * time.Millisecond

// shareSortPeriod is the minimum time between two sorts of the backlog for changed shares
// alone. Sorting 5,500 steps of 2,000 tenants takes about 2 ms.
const shareSortPeriod = 20 * time.Millisecond

// tenancy holds the limits and shares of the tenants. While the configuration has no
// tenants it only accounts for runs.
type tenancy struct {
	active         bool // the configuration has tenants
	limits         *limiter.Limiter
	rates          sharer.Rates
	sharer         sharer.Sharer
	states         map[w.TenantName]*tenantState
	excessPriority int   // priority value of excess jobs, behind those of all queues
	round          int64 // number of the placement round
	sorted         int64 // limits.Changes at the last sort of the backlog
	sortDue        time.Time
	items          []sharer.Item
	shares         []sharer.Tenant
	steps          []*step // scratch space for sorting the backlog

	uncertainStale   bool
	uncertainTargets int // number of unsynced targets at the last count
	uncertainDue     time.Time
}

// tenantState is the state of a tenant within a placement round.
type tenantState struct {
	name   w.TenantName
	weight float64
	index  int // in tenancy.shares, while the backlog is sorted

	round int64 // round to which the following fields belong
	// promised is the part of the cap that is kept for steps which are earlier in the
	// order and have a booking, a preemption under way, or wait for the cap.
	promised w.Resources
	// asked is the part of the cap for which earlier steps have requested advice.
	asked    w.Resources
	hasHeld  bool        // a step that waits for the cap is included in promised
	demanded w.Resources // part of the cap counted as urgent demand by updateReserves
}

func (r *tenancy) init(excess float64) {
	r.limits = limiter.New(excess)
	r.states = make(map[w.TenantName]*tenantState)
}

// slotAccount is what a slot counts for a tenant.
type slotAccount struct {
	tenant w.TenantName
	need   w.Resources
}

// endedJobAccount returns the account of a run of a job that had ended when it was
// loaded, so that the job has no steps. Such runs are stopped and count until their end.
func endedJobAccount(j *job, id w.TaskID) *slotAccount {
	if id.Step >= len(j.Steps) || j.Validate() != nil {
		return nil
	}
	return &slotAccount{j.Tenant, j.Steps[id.Step].Need}
}

// add accounts for a slot.
func (r *tenancy) add(sl *slot) {
	if sl.step != nil {
		sl.account = &sl.step.account
	}
	if sl.account != nil {
		r.limits.Add(sl.account.tenant, sl.account.need)
	}
}

// remove reverses add.
func (r *tenancy) remove(sl *slot) {
	if sl.account != nil {
		r.limits.Remove(sl.account.tenant, sl.account.need)
	}
}

// configureTenants applies the tenants of a new configuration.
func (c *Coordinator) configureTenants(old *w.Config) {
	r := &c.tenants
	var oldTenants []w.Tenant
	if old != nil {
		oldTenants = old.Tenants
	}
	wasActive := r.active
	r.active = len(c.cfg.Tenants) > 0
	r.excessPriority = 0
	for i := range c.cfg.Queues {
		r.excessPriority = max(r.excessPriority, c.cfg.Queues[i].Priority+1)
	}
	r.limits.Configure(c.cfg.Tenants)
	r.uncertainStale = true
	if !r.active && !wasActive {
		return
	}
	clear(r.states)
	for _, j := range c.jobs {
		j.tenantState = nil
	}
	for i := range c.cfg.Tenants {
		t := &c.cfg.Tenants[i]
		if r.states[t.Name] != nil {
			c.Log.Warn("configuration names a tenant twice, the first entry counts", "tenant", t.Name, "configuration", c.cfg.Version)
			continue
		}
		r.states[t.Name] = &tenantState{name: t.Name, weight: t.Weight}
	}
	if wasActive != r.active || !sameRates(oldTenants, c.cfg.Tenants) {
		c.classifyJobs()
	}
	c.refreshLeastUrgent()
}

// sameRates reports whether two lists of tenants result in the same rates.
func sameRates(a, b []w.Tenant) bool {
	return slices.EqualFunc(a, b, func(x, y w.Tenant) bool { return x.Name == y.Name && x.Weight == y.Weight })
}

// classifyJobs decides anew which jobs are beyond their tenant's rate, by replaying
// their arrivals. A new coordinator thus comes to the same result as the earlier one,
// except for jobs that were already removed.
func (c *Coordinator) classifyJobs() {
	if !c.tenants.active {
		for _, j := range c.jobs {
			j.excess = false
		}
		return
	}
	c.tenants.rates.Configure(c.cfg.Tenants)
	list := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range list {
		c.classifyJob(j)
	}
	c.backlogUnsorted = true
}

// classifyJob decides whether a job is beyond its tenant's rate. Acceptance times in the
// future are those of instances with fast clocks and count as now, since they would keep
// the bucket from filling until then.
func (c *Coordinator) classifyJob(j *job) {
	accepted := c.now.UnixMilli()
	if j.Accepted > 0 {
		accepted = min(accepted, j.Accepted)
	}
	j.excess = c.tenants.active && !c.tenants.rates.Take(j.Tenant, accepted)
}

// refreshLeastUrgent recomputes the bounds of the priorities of runs after the class of
// jobs may have changed.
func (c *Coordinator) refreshLeastUrgent() {
	for _, t := range c.sortedTargets {
		t.leastUrgentPriority = math.MinInt
		for _, sl := range t.slots {
			if sl.step != nil {
				t.leastUrgentPriority = max(t.leastUrgentPriority, c.priority(sl.step.job))
			}
		}
	}
}

// tenantOf returns the state of a job's tenant. Tenants that are not configured have
// weight 1, as have all jobs without a tenant together.
func (c *Coordinator) tenantOf(j *job) *tenantState {
	if j.tenantState == nil {
		st := c.tenants.states[j.Tenant]
		if st == nil {
			st = &tenantState{name: j.Tenant, weight: 1}
			c.tenants.states[j.Tenant] = st
		}
		j.tenantState = st
	}
	return j.tenantState
}

// roundState returns the state of a job's tenant in the current placement round.
func (c *Coordinator) roundState(j *job) *tenantState {
	st := c.tenantOf(j)
	if st.round != c.tenants.round {
		*st = tenantState{name: st.name, weight: st.weight, round: c.tenants.round}
	}
	return st
}

// startUnit returns the number of tasks of a step that start together.
func (s *step) startUnit() int {
	if s.Gang {
		return s.Count
	}
	return 1
}

// capAllows reports whether the cap of a step's tenant allows the step's next start: of
// a task, or of all tasks of a gang. What is promised to earlier steps is kept for them
// unless the tenant uses less than half of its cap: large tasks and gangs of up to half
// of the cap otherwise never started beside a stream of small ones.
func (c *Coordinator) capAllows(s *step) bool {
	if !c.tenants.active {
		return true
	}
	q := limiter.Query{Tenant: s.job.Tenant, Need: s.Need}
	return c.allowsQuery(s, &q)
}

func (c *Coordinator) allowsQuery(s *step, q *limiter.Query) bool {
	if !c.tenants.limits.AllowsQuery(q, s.startUnit()) {
		return false
	}
	st := c.roundState(s.job)
	if st.promised == (w.Resources{}) || c.tenants.limits.UnderHalf(st.name) {
		return true
	}
	q.Reserved = st.promised
	return c.tenants.limits.AllowsQuery(q, s.startUnit())
}

// heldByCap reports whether the cap of its tenant keeps a step from starting anything. A
// step that is held up loses its booking and its nominations, so that it takes nothing
// from other tenants. The tasks of a step that may be running on unsynced targets are
// themselves uncertain, so uncertain usage does not keep such a step from preparing.
func (c *Coordinator) heldByCap(s *step) bool {
	if !c.tenants.active {
		s.capHeld = false
		return false
	}
	s.capHeld = !c.capAllows(s)
	if s.capHeld && len(c.unsynced) > 0 && c.mayRunElsewhere(s) {
		s.capHeld = !c.allowsQuery(s, &limiter.Query{Tenant: s.job.Tenant, Need: s.Need, IgnoreUncertain: true})
	}
	if !s.capHeld {
		return false
	}
	c.cancelBookingAndNominations(s)
	if st := c.roundState(s.job); !st.hasHeld && c.tenants.limits.FitsBesideHalf(st.name, s.Need, s.startUnit()) {
		st.hasHeld = true
		c.promise(s, s.startUnit())
	}
	return true
}

// promise keeps a part of the cap of a step's tenant for n tasks of the step.
func (c *Coordinator) promise(s *step, n int) {
	st := c.roundState(s.job)
	st.promised = st.promised.Add(s.Need.Times(n))
}

// promisePrepared promises the cap for the start that a step has prepared by a booking
// or by preemption. It is called after the step was tried.
func (c *Coordinator) promisePrepared(s *step) {
	if !c.tenants.active || s.waiting == 0 {
		return
	}
	if len(s.bookedTargets) > 0 {
		c.promise(s, s.Count)
		return
	}
	n := 0
	for _, t := range s.nominatedTargets {
		if t.nominatedStep == s && c.now.Before(t.nominatedUntil) {
			n++
		}
	}
	c.promise(s, min(n, s.waiting))
}

// capRoom returns for how many waiting tasks of a step that is not a gang resources may
// be sought: at most as many as its tenant's cap allows beyond those for which earlier
// steps have sought resources.
func (c *Coordinator) capRoom(s *step) int {
	if !c.tenants.active {
		return s.waiting
	}
	st := c.roundState(s.job)
	return c.tenants.limits.Headroom(&limiter.Query{Tenant: s.job.Tenant, Need: s.Need, Reserved: st.promised.Add(st.asked)}, s.waiting)
}

// noteAsked records that a step has claimed resources for n tasks.
func (c *Coordinator) noteAsked(s *step, n int) {
	if c.tenants.active {
		st := c.roundState(s.job)
		st.asked = st.asked.Add(s.Need.Times(n))
	}
}

// urgentDemand returns the number of waiting tasks of a step that count as demand for
// reserved targets: those that its tenant's cap allows beyond the ones counted before.
func (c *Coordinator) urgentDemand(s *step) int {
	if !c.tenants.active {
		return s.waiting
	}
	st := c.roundState(s.job)
	q := limiter.Query{Tenant: s.job.Tenant, Need: s.Need, Reserved: st.demanded}
	n := 0
	if u := s.startUnit(); u == 1 {
		n = c.tenants.limits.Headroom(&q, s.waiting)
	} else if c.tenants.limits.AllowsQuery(&q, u) {
		n = s.waiting
	}
	st.demanded = st.demanded.Add(s.Need.Times(n))
	return n
}

// updateUncertain counts the tasks that may be running on unsynced targets, up to what
// these targets can hold: the waiting ones, and those of jobs that ended but did not
// complete, whose runs may not have been stopped yet. Tasks that run on idle CPU take no capacity, so their
// CPU has no such bound.
func (c *Coordinator) updateUncertain() {
	r := &c.tenants
	if !r.active || (len(c.unsynced) == 0 && r.uncertainTargets == 0) {
		return
	}
	if !r.uncertainStale && len(c.unsynced) == r.uncertainTargets && c.now.Before(r.uncertainDue) {
		return
	}
	r.uncertainStale, r.uncertainTargets, r.uncertainDue = false, len(c.unsynced), c.now.Add(uncertainPeriod)
	if len(c.unsynced) == 0 {
		r.limits.SetUncertain(nil)
		return
	}
	type pool struct {
		tenant  w.TenantName
		service string
	}
	sums, unreserved := make(map[pool]w.Resources), make(map[pool]int64)
	count := func(j *job, s *w.Step, n int) {
		p := pool{j.Tenant, c.serviceOf(j)}
		sums[p] = sums[p].Add(s.Demand().Times(n))
		unreserved[p] += (s.Need.CPU - s.Demand().CPU) * int64(n)
	}
	for _, j := range c.jobs {
		if j.state == w.Completed || j.fresh {
			continue
		}
		if j.occurrences == nil && j.Validate() == nil {
			for i := range j.Steps {
				count(j, &j.Steps[i], j.Steps[i].Count*c.unsyncedOccurrences(j, i))
			}
		}
		for _, o := range j.occurrences {
			if o.due.After(c.now.Add(clockSkewMargin)) {
				continue // no coordinator has started it
			}
			for _, s := range o.steps {
				if s.waiting > 0 && c.mayRunElsewhere(s) {
					count(j, s.Step, s.waiting)
				}
			}
		}
	}
	capacity, unlisted, unlimited := c.unsyncedCapacity()
	total := make(map[w.TenantName]w.Resources)
	for p, sum := range sums {
		if room := capacity[p.service].Add(unlisted); !unlimited {
			sum = w.Resources{CPU: min(sum.CPU, room.CPU), Mem: min(sum.Mem, room.Mem), GPU: min(sum.GPU, room.GPU)}
		}
		sum.CPU += unreserved[p]
		total[p.tenant] = total[p.tenant].Add(sum)
	}
	r.limits.SetUncertain(total)
}

// unsyncedOccurrences returns the number of occurrences of a job that had ended when it
// was loaded of which an unsynced target may be running tasks of a step.
func (c *Coordinator) unsyncedOccurrences(j *job, index int) int {
	n := 0
	for k := range j.Occurrences() {
		name := w.TaskID{Job: j.ID, Occurrence: k, Step: index}.StepName()
		for _, u := range c.unsynced {
			if !u.closed || u.hasStep(name) {
				n++
				break
			}
		}
	}
	return n
}

// unsyncedCapacity returns the capacity of the unsynced targets by service. Targets that
// are no longer listed may belong to any service; each counts as large as the largest
// target that is known. Without a known target, or if the roster was not readable, the
// capacity is unlimited.
func (c *Coordinator) unsyncedCapacity() (capacity map[string]w.Resources, unlisted w.Resources, unlimited bool) {
	capacity = make(map[string]w.Resources)
	unknown := 0
	if _, ok := c.unsynced[keeper.UnknownTarget]; ok {
		return nil, unlisted, true
	}
	for id := range c.unsynced {
		if t := c.targets[id]; t != nil {
			capacity[t.Service] = capacity[t.Service].Add(t.Capacity)
		} else {
			unknown++
		}
	}
	if unknown == 0 {
		return capacity, unlisted, false
	}
	for _, t := range c.sortedTargets {
		unlisted = w.Resources{CPU: max(unlisted.CPU, t.Capacity.CPU), Mem: max(unlisted.Mem, t.Capacity.Mem), GPU: max(unlisted.GPU, t.Capacity.GPU)}
	}
	return capacity, unlisted.Times(unknown), len(c.sortedTargets) == 0
}

// needsSort reports whether the backlog must be sorted again since shares have changed.
func (r *tenancy) needsSort(now time.Time) bool {
	return r.active && r.limits.Changes() != r.sorted && !now.Before(r.sortDue)
}

// sortByShare orders the backlog by the classes and shares of tenants.
func (c *Coordinator) sortByShare() {
	r := &c.tenants
	r.sorted, r.sortDue = r.limits.Changes(), c.now.Add(shareSortPeriod)
	r.items, r.shares, r.steps = r.items[:0], r.shares[:0], append(r.steps[:0], c.backlog...)
	r.round++ // marks the tenants that already have an index
	for _, s := range c.backlog {
		st := c.tenantOf(s.job)
		if st.round != r.round {
			st = c.roundState(s.job)
			st.index = len(r.shares)
			r.shares = append(r.shares, sharer.Tenant{Weight: st.weight, Used: r.limits.Used(st.name).Resources})
		}
		r.items = append(r.items, sharer.Item{
			Excess: s.job.excess, Priority: c.queuePriority(s.job), Lateness: int(s.lateness), Ready: s.readyAt.UnixNano(),
			Tenant: st.index, Need: s.Need.Times(s.waiting),
		})
	}
	var capacity w.Resources
	for _, t := range c.sortedTargets {
		if t.listed && t.mayAnswer() {
			capacity = capacity.Add(t.Capacity)
		}
	}
	for i, k := range r.sharer.Order(r.items, r.shares, capacity) {
		c.backlog[i] = r.steps[k]
	}
	clear(r.steps)
}

// holdUp names what a tenant's limits contribute to the delay of a step.
func (c *Coordinator) holdUp(s *step) string {
	switch {
	case s.capHeld && s.waiting > 0:
		return "cap"
	case s.job.excess:
		return "excess"
	}
	return "nothing"
}
