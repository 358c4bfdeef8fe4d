package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// The model simulates leaders, a store and targets with events in random order. At any
// time, a leader may be replaced, frozen or partitioned from targets, and a target may
// be replaced. The store may leave transactions unanswered and commit them later. Orders
// may be delayed or lost, and so may their results. The leaders are real coordinators
// that save and load their state through a real keeper. A load takes several events,
// during which other leaders act and further takeovers may happen.

// modelStore is an in-memory store that can stop answering. It may still commit an
// unanswered transaction later.
type modelStore struct {
	rows         map[keeper.Key]keeper.Row
	version      keeper.Version
	unresponsive bool
	delayed      []keeper.Tx
}

func (s *modelStore) Commit(_ context.Context, tx *keeper.Tx) (keeper.Version, error) {
	if s.unresponsive {
		s.delayed = append(s.delayed, keeper.Tx{Preconditions: slices.Clone(tx.Preconditions), Writes: slices.Clone(tx.Writes), Deletes: slices.Clone(tx.Deletes)})
		return 0, keeper.ErrOutcomeUnknown
	}
	return s.apply(tx)
}

func (s *modelStore) apply(tx *keeper.Tx) (keeper.Version, error) {
	c := &keeper.ConflictError{}
	ok := true
	for _, k := range tx.Preconditions {
		r := s.rows[k.Key]
		if r.Version > 0 {
			c.Rows = append(c.Rows, r)
		}
		ok = ok && r.Version == k.Version
	}
	if !ok {
		return 0, c
	}
	s.version++
	for _, r := range tx.Writes {
		r.Version = s.version
		s.rows[r.Key] = r
	}
	for _, k := range tx.Deletes {
		delete(s.rows, k)
	}
	return s.version, nil
}

func (s *modelStore) Scan(_ context.Context, name, part, from, to string) ([]keeper.Row, keeper.Version, error) {
	if s.unresponsive {
		return nil, 0, keeper.ErrOutcomeUnknown
	}
	var out []keeper.Row
	for k, r := range s.rows {
		if k.Table == name && k.Partition == part && k.Name >= from && (to == "" || k.Name < to) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b keeper.Row) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out, s.version, nil
}

func (s *modelStore) Changes(_ context.Context, table string, after keeper.Version, _ time.Duration) ([]keeper.Row, keeper.Version, error) {
	if s.unresponsive {
		return nil, 0, keeper.ErrOutcomeUnknown
	}
	var out []keeper.Row
	for k, r := range s.rows {
		if k.Table == table && r.Version > after {
			out = append(out, r)
		}
	}
	return out, s.version, nil
}

func (s *modelStore) Clock() time.Duration { return 0 }

// modelTarget implements the protocol of a target: epochs, run IDs, leases, and ends
// that are resent until they are acknowledged.
type modelTarget struct {
	id              w.TargetID
	incarnation     w.Incarnation
	epoch           w.Epoch
	runs            map[w.TaskID]w.RunID
	highestEnded    map[w.TaskID]w.RunID // highest run that was stopped or has ended, by task
	ends            []w.End
	seq             int64
	deadline        time.Time
	leaseExpiredSeq int64 // highest sequence number of an end when the lease last expired
}

// modelOrder is an order in transit.
type modelOrder struct {
	from        *modelLeader
	target      w.TargetID
	incarnation w.Incarnation
	start       *linker.Start
	stop        *linker.Stop
	sent        time.Time
	expiresAt   time.Time // when targets begin to reject a start
	version     int64     // configuration of the leader when it sent the order
}

// modelLeader is a leader together with the instance that makes its calls.
type modelLeader struct {
	leadership       keeper.Leadership
	coordinator      *Coordinator
	frozen           bool
	renewedAt        time.Time
	batch            *Batch                    // batch to be saved, or nil
	replaced         bool                      // the leader has noticed that it was replaced
	snapshot         *keeper.Snapshot          // what a loading leader has read so far
	loadedIn         int                       // event in which it began to lead
	unreachable      map[w.TargetID]bool       // targets that the leader cannot call
	polledAt         map[w.TargetID]time.Time  // when the targets were last polled successfully
	unresolvedStarts map[w.TaskID]linker.Start // starts without a known outcome, by task
	stopAnswered     map[w.TaskID]bool         // tasks whose stop has been answered since
}

type model struct {
	t            *rapid.T
	now          time.Time
	store        *modelStore
	keeper       *keeper.Keeper
	targets      map[w.TargetID]*modelTarget
	leaders      []*modelLeader
	orders       []modelOrder
	jobs         []w.Job
	completedAt  map[w.JobID]time.Time // when the completion of the job was first published
	loading      []*modelLeader
	lastEpoch    w.Epoch
	unstoredEnds map[w.JobID]w.State // published ends that the instances keep until they are stored
	event        int                 // number of the current event
	cancelled    map[w.JobID]int     // event in which the cancellation of the job was acknowledged
	ackedDone    map[w.TaskID]bool   // tasks whose successful end was acknowledged
	incarnations w.Incarnation
	starts       int
	caps         []int64 // CPU cap of the only tenant by configuration version, or nil
}

const modelLease = 6 * time.Second

func newModel(t *rapid.T, caps ...int64) *model {
	m := &model{
		t: t, now: time.Unix(1_800_000_000, 0), store: &modelStore{rows: make(map[keeper.Key]keeper.Row)},
		targets: make(map[w.TargetID]*modelTarget), completedAt: make(map[w.JobID]time.Time), unstoredEnds: make(map[w.JobID]w.State), ackedDone: make(map[w.TaskID]bool),
	}
	m.caps = caps
	m.keeper = &keeper.Keeper{Store: m.store, Partitions: 2}
	for _, id := range []w.TargetID{"a", "b", "c"} {
		m.targets[id] = &modelTarget{id: id}
		m.replaceTarget(m.targets[id])
	}
	m.cancelled = make(map[w.JobID]int)
	m.takeOver()
	m.continueLoad()
	m.continueLoad()
	return m
}

func (m *model) replaceTarget(t *modelTarget) {
	m.incarnations++
	*t = modelTarget{id: t.id, incarnation: w.Incarnation(m.now.UnixMilli()) + m.incarnations, runs: make(map[w.TaskID]w.RunID), highestEnded: make(map[w.TaskID]w.RunID)}
}

// takeOver adds a leader that begins to load the cell. Earlier ones continue until they
// notice it, also those that are still loading.
func (m *model) takeOver() {
	if m.store.unresponsive {
		return
	}
	old, err := m.keeper.Leader(context.Background())
	if err != nil {
		m.t.Fatal(err)
	}
	lead, err := m.keeper.TakeOver(context.Background(), old, keeper.Leadership{Instance: w.InstanceID(fmt.Sprint("i", old.Epoch))})
	if err != nil {
		m.t.Fatal(err)
	}
	m.lastEpoch = lead.Epoch
	m.loading = append(m.loading, &modelLeader{
		leadership: lead, renewedAt: m.now, unreachable: make(map[w.TargetID]bool), polledAt: make(map[w.TargetID]time.Time),
		unresolvedStarts: make(map[w.TaskID]linker.Start), stopAnswered: make(map[w.TaskID]bool),
	})
}

// continueLoad lets a loading leader read the cell, or begin to lead once it has.
func (m *model) continueLoad() {
	if m.store.unresponsive || len(m.loading) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.loading)-1).Draw(m.t, "loading")
	l := m.loading[i]
	if l.snapshot == nil {
		s, err := m.keeper.Load(context.Background())
		if err != nil {
			m.t.Fatal(err)
		}
		l.snapshot = s
		return
	}
	m.loading = slices.Delete(m.loading, i, i+1)
	if l.leadership.Epoch != m.lastEpoch && rapid.Bool().Draw(m.t, "noticed") {
		return
	}
	updates, err := m.keeper.Updates(context.Background(), l.snapshot.Versions)
	if err != nil {
		m.t.Fatal(err)
	}
	m.lead(l, updates)
}

// lead lets a leader begin that has loaded the cell.
func (m *model) lead(l *modelLeader, updates *keeper.Updates) {
	l.leadership.InitSaves(l.snapshot)
	l.coordinator = New(Settings{
		Epoch: l.leadership.Epoch, Self: "self", Lease: modelLease, StopTimeout: 200 * time.Millisecond,
		Retention: time.Hour, Log: slog.New(slog.DiscardHandler),
	}, m.now)
	l.coordinator.Load(l.snapshot)
	l.loadedIn = m.event
	applyUpdates(l, updates)
	l.coordinator.Configure(m.config())
	l.coordinator.Join(&linker.Hello{Instance: "caller"})
	f := &linker.Frame{}
	for id, state := range m.unstoredEnds {
		f.Ended = append(f.Ended, linker.JobState{Job: id, State: state})
	}
	l.coordinator.Receive("caller", f, m.now)
	m.leaders = append(m.leaders, l)
	m.setTargets(l)
}

func applyUpdates(l *modelLeader, updates *keeper.Updates) {
	for i := range updates.Jobs {
		l.coordinator.AddJob(&updates.Jobs[i], false)
	}
	for id, state := range updates.Ends {
		l.coordinator.RestoreStoredEnd(id, state)
	}
	for _, id := range updates.Cancellations {
		l.coordinator.Cancel(id)
	}
}

// writeEnds lets the instances write the ends to the store that no leader has stored.
func (m *model) writeEnds() {
	var ends []keeper.End
	for id, state := range m.unstoredEnds {
		ends = append(ends, keeper.End{ID: id, State: state})
	}
	_ = m.keeper.SaveEnds(context.Background(), ends) // the instances keep the ends
}

// loseAll loses all instances and targets, as in a loss of power, once the store responds
// and the instances have written the ends that they keep. Only the store knows these
// ends then.
func (m *model) loseAll() {
	if rapid.IntRange(0, 3).Draw(m.t, "lose") > 0 {
		return
	}
	m.store.unresponsive = false
	m.writeEnds()
	clear(m.unstoredEnds)
	for _, l := range append(m.leaders, m.loading...) {
		l.replaced = true
	}
	m.loading = nil
	for _, t := range m.targets {
		m.replaceTarget(t)
	}
	m.takeOver()
	m.continueLoad()
	m.continueLoad()
}

// cancel acknowledges the cancellation of a job once it is stored, without telling any
// leader, as an instance that is lost right after. If the end of the job was published
// and is not stored, that is stored instead.
func (m *model) cancel() {
	if m.store.unresponsive || len(m.jobs) == 0 {
		return
	}
	id := m.jobs[rapid.IntRange(0, len(m.jobs)-1).Draw(m.t, "job")].ID
	var err error
	if state, unsaved := m.unstoredEnds[id]; unsaved {
		err = m.keeper.SaveEnds(context.Background(), []keeper.End{{ID: id, State: state}})
	} else {
		err = m.keeper.Cancel(context.Background(), id)
	}
	if err != nil {
		m.t.Fatal(err)
	}
	if m.cancelled[id] == 0 {
		m.cancelled[id] = m.event
	}
}

func (m *model) setTargets(l *modelLeader) {
	var list []w.Target
	for _, id := range []w.TargetID{"a", "b", "c"} {
		list = append(list, w.Target{ID: id, Service: "s", Address: "x", Incarnation: m.targets[id].incarnation, Capacity: w.Resources{CPU: 2000, Mem: 2000}})
	}
	l.coordinator.SetTargets(list, true, m.now)
}

// submit stores a job and hands it to one of the leaders, if any is active.
func (m *model) submit() {
	if m.store.unresponsive || len(m.jobs) >= 6 {
		return
	}
	j := singleTaskJob(w.JobID(fmt.Sprint("j", len(m.jobs))))
	j.Steps[0].Count = rapid.IntRange(1, 2).Draw(m.t, "tasks")
	if m.caps != nil {
		j.Tenant, j.Steps[0].Gang = "t", rapid.Bool().Draw(m.t, "gang")
	}
	if _, err := m.keeper.Accept(context.Background(), []*w.Job{&j}); err != nil {
		m.t.Fatal(err)
	}
	m.jobs = append(m.jobs, j)
	if l := m.pickLeader(); l != nil && (m.caps == nil || l == m.leaders[len(m.leaders)-1]) {
		l.coordinator.Receive("caller", &linker.Frame{Jobs: []w.Job{j}}, m.now)
	}
}

// findJobs adds to a leader the stored jobs that no instance handed to it.
func (m *model) findJobs() {
	l := m.pickLeader()
	if l == nil || m.store.unresponsive {
		return
	}
	for i := range m.jobs {
		if !l.coordinator.HasJob(m.jobs[i].ID) {
			l.coordinator.AddJob(&m.jobs[i], false)
		}
	}
}

// pickLeader returns a random leader that is neither frozen nor replaced, or nil.
func (m *model) pickLeader() *modelLeader {
	var list []*modelLeader
	for _, l := range m.leaders {
		if !l.frozen && !l.replaced {
			list = append(list, l)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(m.t, "leader")]
}

// advance lets a leader make its decisions and queues the resulting orders.
func (m *model) advance() {
	l := m.pickLeader()
	if l == nil {
		return
	}
	l.coordinator.SetStoreSlow(m.store.unresponsive)
	// An older leader that could not renew its leadership is assumed to have lost most
	// of its instances to the newest one.
	l.coordinator.SetSuspended(l.leadership.Epoch != m.lastEpoch && m.now.Sub(l.renewedAt) > LeadershipGrace)
	l.coordinator.Advance(m.now)
	if l.batch == nil {
		l.batch = l.coordinator.Flush()
	}
	for _, f := range l.coordinator.Frames() {
		for _, s := range f.Starts {
			m.orders = append(m.orders, modelOrder{from: l, target: s.Target, incarnation: l.coordinator.targets[s.Target].Incarnation, start: &s, sent: m.now, expiresAt: m.now.Add(2 * time.Second), version: l.coordinator.cfg.Version})
		}
		for _, s := range f.Stops {
			m.orders = append(m.orders, modelOrder{from: l, target: s.Target, incarnation: l.coordinator.targets[s.Target].Incarnation, stop: &s})
		}
		for _, a := range f.Acks {
			m.acknowledge(l, a)
		}
		for _, s := range f.States {
			if !s.State.Final() {
				continue
			}
			if m.completedAt[s.Job].IsZero() && s.State == w.Completed {
				m.completedAt[s.Job] = m.now
			}
			if s.Unsaved {
				m.unstoredEnds[s.Job] = s.State
			} else {
				delete(m.unstoredEnds, s.Job)
			}
		}
	}
}

// acknowledge removes the acknowledged ends from a target, if the target can be reached
// and accepts the epoch.
func (m *model) acknowledge(l *modelLeader, a linker.Ack) {
	t := m.targets[a.Target]
	if l.unreachable[t.id] || t.incarnation != a.Incarnation || t.epoch > l.leadership.Epoch {
		return
	}
	t.epoch = l.leadership.Epoch
	t.ends = slices.DeleteFunc(t.ends, func(e w.End) bool {
		if e.Seq <= a.Seq && e.Seq > t.leaseExpiredSeq && e.How == w.EndedDone {
			m.ackedDone[e.Task] = true
		}
		return e.Seq <= a.Seq
	})
}

// saveBatch stores the pending batch of a leader.
func (m *model) saveBatch() {
	l := m.pickLeader()
	if l == nil || l.batch == nil {
		return
	}
	b := l.batch
	if !b.Empty() {
		err := m.keeper.Save(context.Background(), &l.leadership, &keeper.ChangeSet{Progress: b.Progress, Remove: b.Remove, RemoveEnds: b.RemoveEnds, Roster: b.Roster, RosterChanged: b.RosterChanged})
		if err != nil {
			var c *keeper.ConflictError
			if errors.As(err, &c) {
				l.replaced = true
			}
			return
		}
	}
	l.batch = nil
	l.coordinator.Stored(b)
}

// renew makes a leader renew its leadership in the store.
func (m *model) renew() {
	l := m.pickLeader()
	if l == nil {
		return
	}
	err := m.keeper.Renew(context.Background(), &l.leadership, 1, 1)
	var c *keeper.ConflictError
	switch {
	case err == nil:
		l.renewedAt = m.now
		l.coordinator.Renewed(m.now)
	case errors.As(err, &c):
		l.replaced = true
	}
}

// applyDelayed commits a transaction that the store did not answer.
func (m *model) applyDelayed() {
	if len(m.store.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.store.delayed)-1).Draw(m.t, "transaction")
	_, _ = m.store.apply(&m.store.delayed[i]) // the sender no longer waits for the result
	m.store.delayed = slices.Delete(m.store.delayed, i, i+1)
}

// deliverOrder delivers or drops an order, with or without a result for the sender.
func (m *model) deliverOrder() {
	if len(m.orders) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.orders)-1).Draw(m.t, "order")
	o := m.orders[i]
	m.orders = slices.Delete(m.orders, i, i+1)
	l, t := o.from, m.targets[o.target]
	answered := rapid.Bool().Draw(m.t, "answered") && !l.frozen && !l.unreachable[t.id]
	arrives := rapid.IntRange(0, 4).Draw(m.t, "arrives") > 0 && !l.unreachable[t.id]
	if o.stop != nil {
		if arrives {
			m.stopRun(t, l, o.incarnation, o.stop.Task, o.stop.Run)
		}
		switch {
		case arrives && answered:
			l.stopAnswered[o.stop.Task] = true
			l.unresolvedStarts[o.stop.Task] = linker.Start{Target: t.id, Task: o.stop.Task, Run: o.stop.Run}
		default:
			m.orders = append(m.orders, o) // resent until it is answered
		}
		return
	}
	out := linker.Indeterminate
	if m.now.Sub(l.polledAt[t.id]) > 2*time.Second {
		// The instance sends no starts to a target that it has not polled recently.
		out, arrives = linker.NotStarted, false
	}
	if arrives {
		if got := m.startRun(t, l, o); answered {
			out = got
		}
	}
	if l.frozen || l.replaced {
		return
	}
	if out == linker.Fenced {
		l.replaced = true
		return
	}
	l.coordinator.Receive("caller", &linker.Frame{Results: []linker.Result{{Target: t.id, Task: o.start.Task, Run: o.start.Run, Outcome: out}}}, m.now)
	if out == linker.Indeterminate {
		m.orders = append(m.orders, modelOrder{from: l, target: t.id, incarnation: o.incarnation, stop: &linker.Stop{Target: t.id, Task: o.start.Task, Run: o.start.Run}})
	}
}

func (m *model) startRun(t *modelTarget, l *modelLeader, o modelOrder) linker.Outcome {
	id, run := o.start.Task, o.start.Run
	switch {
	case t.incarnation != o.incarnation:
		return linker.IncarnationMismatch
	case l.leadership.Epoch < t.epoch:
		return linker.Fenced
	case m.now.After(o.expiresAt):
		return linker.NotStarted
	case t.runs[id] == run:
		return linker.Started
	case run <= t.highestEnded[id] || run < t.runs[id]:
		// The instance polls the target before it reports an outcome.
		l.unresolvedStarts[id], l.stopAnswered[id] = *o.start, true
		return linker.Indeterminate
	}
	t.epoch = l.leadership.Epoch
	m.starts++
	for _, other := range m.targets {
		if r, ok := other.runs[id]; ok {
			m.t.Fatalf("%v starts on %s as run %d of epoch %d while it runs on %s as run %d", id, t.id, run, l.leadership.Epoch, other.id, r)
		}
	}
	if m.ackedDone[id] {
		m.t.Fatalf("%v starts on %s after its end was acknowledged", id, t.id)
	}
	if at := m.completedAt[id.Job]; !at.IsZero() && o.sent.After(at) {
		m.t.Fatalf("%v starts on %s after its job was published as completed", id, t.id)
	}
	if in := m.cancelled[id.Job]; in > 0 && l.loadedIn > in {
		m.t.Fatalf("%v starts on %s although its cancellation was acknowledged before epoch %d was loaded", id, t.id, l.leadership.Epoch)
	}
	t.runs[id] = run
	m.checkCap(o.version)
	if o.expiresAt.After(t.deadline) {
		t.deadline = o.expiresAt
	}
	return linker.Started
}

func (m *model) stopRun(t *modelTarget, l *modelLeader, incarnation w.Incarnation, id w.TaskID, run w.RunID) {
	if t.incarnation != incarnation || l.leadership.Epoch < t.epoch {
		return
	}
	t.epoch = l.leadership.Epoch
	if t.runs[id] == run {
		m.endRun(t, id, w.EndedStopped)
	}
	t.highestEnded[id] = max(t.highestEnded[id], run)
}

func (m *model) endRun(t *modelTarget, id w.TaskID, how w.Ending) {
	t.seq++
	t.ends = append(t.ends, w.End{Seq: t.seq, Task: id, Run: t.runs[id], How: how})
	t.highestEnded[id] = max(t.highestEnded[id], t.runs[id])
	delete(t.runs, id)
}

// pollTarget lets a leader get the runs and ends of a target and renew its lease.
func (m *model) pollTarget() {
	l := m.pickLeader()
	t := m.targets[rapid.SampledFrom([]w.TargetID{"a", "b", "c"}).Draw(m.t, "target")]
	if l == nil {
		return
	}
	assigned := l.coordinator.targets[t.id]
	r := linker.Report{Target: t.id, Incarnation: assigned.Incarnation}
	switch {
	case l.unreachable[t.id]:
		r.Unreachable = true
	case assigned.Incarnation != t.incarnation:
		r.Incarnation, r.Gone = t.incarnation, true
	case t.epoch > l.leadership.Epoch:
		r.Unreachable = true // the target rejects the call, since it has seen a higher epoch
	default:
		t.epoch = l.leadership.Epoch
		t.deadline = m.now.Add(modelLease)
		r.Complete = true
		l.polledAt[t.id] = m.now
		m.retireOlderLeaders(l)
		for id, run := range t.runs {
			r.Runs = append(r.Runs, w.Run{Task: id, Run: run})
		}
		r.Ends = slices.Clone(t.ends)
	}
	f := &linker.Frame{Reports: []linker.Report{r}}
	if r.Complete {
		for id := range l.stopAnswered {
			if s := l.unresolvedStarts[id]; s.Target == t.id && t.runs[id] != s.Run && !slices.ContainsFunc(t.ends, func(e w.End) bool { return e.Task == id && e.Run == s.Run }) {
				f.Results = append(f.Results, linker.Result{Target: t.id, Task: id, Run: s.Run, Outcome: linker.NotStarted})
				delete(l.stopAnswered, id)
				delete(l.unresolvedStarts, id)
			}
		}
	}
	l.coordinator.Receive("caller", f, m.now)
}

// retireOlderLeaders marks the earlier leaders as replaced once a later one has polled
// all targets. Each target is polled by an instance that is connected to the later
// leader, and a leader that has lost most of its instances starts nothing.
func (m *model) retireOlderLeaders(l *modelLeader) {
	if len(l.polledAt) < len(m.targets) {
		return
	}
	for _, other := range m.leaders {
		if other.leadership.Epoch < l.leadership.Epoch {
			other.replaced = true
		}
	}
}

// passTime advances the clock. Leases expire on targets that were not called.
func (m *model) passTime() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(20, 3000).Draw(m.t, "ms")) * time.Millisecond)
	for _, t := range m.targets {
		if m.now.After(t.deadline) {
			for id := range t.runs {
				m.endRun(t, id, w.EndedLeaseExpired)
			}
			// Possibly no leader has received the ends up to this one, so
			// acknowledge does not record them.
			t.leaseExpiredSeq = t.seq
		}
	}
}

func (m *model) endRandomRun() {
	t := m.targets[rapid.SampledFrom([]w.TargetID{"a", "b", "c"}).Draw(m.t, "target")]
	for id := range t.runs {
		m.endRun(t, id, rapid.SampledFrom([]w.Ending{w.EndedDone, w.EndedDone, w.EndedFailed}).Draw(m.t, "how"))
		return
	}
}

// injectFault starts or ends a random fault.
func (m *model) injectFault() {
	switch rapid.IntRange(0, 5).Draw(m.t, "fault") {
	case 0:
		m.store.unresponsive = !m.store.unresponsive
	case 1:
		if l := m.pickLeader(); l != nil {
			l.frozen = true
		}
	case 2:
		for _, l := range m.leaders {
			if l.frozen {
				l.frozen = false
			}
		}
	case 3:
		if l := m.pickLeader(); l != nil {
			id := rapid.SampledFrom([]w.TargetID{"a", "b", "c"}).Draw(m.t, "target")
			l.unreachable[id] = !l.unreachable[id]
		}
	case 4:
		m.takeOver()
	case 5:
		m.replaceTarget(m.targets[rapid.SampledFrom([]w.TargetID{"a", "b", "c"}).Draw(m.t, "target")])
		for _, l := range m.leaders {
			if !l.frozen {
				m.setTargets(l)
			}
		}
	}
}

// TestModelKeepsRules checks the rules of docs/decisions/platform.md under faults in
// any order: no task has two runs at the same time; no task starts after its successful
// end was acknowledged or its job was published as completed; and a target starts nothing
// for an epoch lower than one it has seen.
func TestModelKeepsRules(t *testing.T) {
	starts := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		events := []func(){m.advance, m.advance, m.advance, m.deliverOrder, m.deliverOrder, m.pollTarget, m.pollTarget, m.pollTarget, m.saveBatch, m.saveBatch, m.passTime, m.endRandomRun, m.submit, m.findJobs, m.renew, m.applyDelayed, m.injectFault, m.continueLoad, m.continueLoad, m.writeEnds, m.loseAll, m.cancel}
		for range rapid.IntRange(20, 160).Draw(t, "steps") {
			m.event++
			events[rapid.IntRange(0, len(events)-1).Draw(t, "event")]()
		}
		starts += m.starts
	})
	if starts == 0 {
		t.Error("no sequence of events started a run")
	}
	t.Logf("%d starts", starts)
}
