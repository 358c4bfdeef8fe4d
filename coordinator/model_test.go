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

// The model plays leaders, a store and targets in random order: a leader may be
// replaced, frozen or cut off at any moment, the store may answer nothing and carry
// out transactions later, orders may be late or their answers lost, and targets may be
// replaced. The leaders are real coordinators that save and load with a real keeper.

// modelStore is a store that can be silent. A transaction without an answer may be
// carried out later.
type modelStore struct {
	rows   map[keeper.Key]keeper.Row
	ver    keeper.Version
	silent bool
	late   []keeper.Tx
}

func (s *modelStore) Commit(_ context.Context, tx *keeper.Tx) (keeper.Version, error) {
	if s.silent {
		s.late = append(s.late, keeper.Tx{Preconditions: slices.Clone(tx.Preconditions), Writes: slices.Clone(tx.Writes), Deletes: slices.Clone(tx.Deletes)})
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
	s.ver++
	for _, r := range tx.Writes {
		r.Version = s.ver
		s.rows[r.Key] = r
	}
	for _, k := range tx.Deletes {
		delete(s.rows, k)
	}
	return s.ver, nil
}

func (s *modelStore) Scan(_ context.Context, name, part, from, to string) ([]keeper.Row, keeper.Version, error) {
	if s.silent {
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
	return out, s.ver, nil
}

func (s *modelStore) Changes(context.Context, string, keeper.Version, time.Duration) ([]keeper.Row, keeper.Version, error) {
	return nil, s.ver, nil
}

func (s *modelStore) Clock() time.Duration { return 0 }

// modelTarget follows the rules of a target: epochs, run ids, leases and ends that are
// repeated until they are acknowledged.
type modelTarget struct {
	id       w.TargetID
	life     w.Incarnation
	epoch    w.Epoch
	runs     map[w.TaskID]w.RunID
	barred   map[w.TaskID]w.RunID // highest run that was stopped or has ended
	ends     []w.End
	seq      int64
	deadline time.Time
	lapsed   int64 // highest end that was listed before the leases ran out
}

// modelOrder is an order on its way.
type modelOrder struct {
	from   *modelLeader
	target w.TargetID
	life   w.Incarnation
	start  *linker.Start
	stop   *linker.Stop
	sent   time.Time
	until  time.Time // after which a target rejects a start
}

// modelLeader is a leader with the instance that makes its calls.
type modelLeader struct {
	lead    keeper.Leadership
	co      *Coordinator
	frozen  bool
	renewed time.Time
	batch   *Batch                    // to be saved
	dead    bool                      // it knows that it was replaced
	cut     map[w.TargetID]bool       // targets that it does not reach
	read    map[w.TargetID]time.Time  // when it has read targets
	unclear map[w.TaskID]linker.Start // starts without an answer
	stopped map[w.TaskID]bool         // whose stop was answered since
}

type model struct {
	t       *rapid.T
	now     time.Time
	store   *modelStore
	keeper  *keeper.Keeper
	targets map[w.TargetID]*modelTarget
	leaders []*modelLeader
	orders  []modelOrder
	jobs    []w.Job
	shown   map[w.JobID]time.Time // when callers first saw that it was completed
	unsaved map[w.JobID]w.State   // what instances remember of it
	noted   map[w.TaskID]bool     // ends as done that were acknowledged
	lives   w.Incarnation
	starts  int
}

const modelLease = 6 * time.Second

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.Unix(1_800_000_000, 0), store: &modelStore{rows: make(map[keeper.Key]keeper.Row)},
		targets: make(map[w.TargetID]*modelTarget), shown: make(map[w.JobID]time.Time), unsaved: make(map[w.JobID]w.State), noted: make(map[w.TaskID]bool),
	}
	m.keeper = &keeper.Keeper{Store: m.store, Partitions: 2}
	for _, id := range []w.TargetID{"a", "b", "c"} {
		m.targets[id] = &modelTarget{id: id}
		m.born(m.targets[id])
	}
	m.takeOver()
	return m
}

func (m *model) born(t *modelTarget) {
	m.lives++
	*t = modelTarget{id: t.id, life: w.Incarnation(m.now.UnixMilli()) + m.lives, runs: make(map[w.TaskID]w.RunID), barred: make(map[w.TaskID]w.RunID)}
}

// takeOver makes a new leader. Earlier ones go on until they learn of it.
func (m *model) takeOver() {
	if m.store.silent {
		return
	}
	old, err := m.keeper.Leader(context.Background())
	if err != nil {
		m.t.Fatal(err)
	}
	lead, err := m.keeper.TakeOver(context.Background(), old, keeper.Leadership{Instance: w.InstanceID(fmt.Sprint("i", len(m.leaders)))})
	if err != nil {
		m.t.Fatal(err)
	}
	s, err := m.keeper.Load(context.Background())
	if err != nil {
		m.t.Fatal(err)
	}
	l := &modelLeader{lead: lead, cut: make(map[w.TargetID]bool), read: make(map[w.TargetID]time.Time), unclear: make(map[w.TaskID]linker.Start), stopped: make(map[w.TaskID]bool)}
	l.lead.InitSaves(s)
	l.renewed = m.now
	l.co = New(Settings{
		Epoch: lead.Epoch, Self: "self", Lease: modelLease, StopTimeout: 200 * time.Millisecond,
		Retention: time.Hour, Log: slog.New(slog.DiscardHandler),
	}, m.now)
	l.co.Load(s)
	l.co.Configure(&w.Config{Version: 1, Queues: []w.Queue{{Name: testQueue, Service: "s", Attempts: 9}}})
	l.co.Join(&linker.Hello{Instance: "caller"})
	f := &linker.Frame{}
	for id, state := range m.unsaved {
		f.Ended = append(f.Ended, linker.JobState{Job: id, State: state})
	}
	l.co.Receive("caller", f, m.now)
	m.leaders = append(m.leaders, l)
	m.list(l)
}

func (m *model) list(l *modelLeader) {
	var list []w.Target
	for _, id := range []w.TargetID{"a", "b", "c"} {
		list = append(list, w.Target{ID: id, Service: "s", Address: "x", Incarnation: m.targets[id].life, Capacity: w.Resources{CPU: 2000, Mem: 2000}})
	}
	l.co.SetTargets(list, true, m.now)
}

// submit stores a job and hands it to some leader, or leaves it to be found.
func (m *model) submit() {
	if m.store.silent || len(m.jobs) >= 6 {
		return
	}
	j := oneTask(w.JobID(fmt.Sprint("j", len(m.jobs))))
	j.Steps[0].Count = rapid.IntRange(1, 2).Draw(m.t, "tasks")
	if _, err := m.keeper.Accept(context.Background(), []*w.Job{&j}); err != nil {
		m.t.Fatal(err)
	}
	m.jobs = append(m.jobs, j)
	if l := m.pick(); l != nil {
		l.co.Receive("caller", &linker.Frame{Jobs: []w.Job{j}}, m.now)
	}
}

// find lets a leader find jobs in the store that no gateway handed to it.
func (m *model) find() {
	l := m.pick()
	if l == nil || m.store.silent {
		return
	}
	for i := range m.jobs {
		if !l.co.Knows(m.jobs[i].ID) {
			l.co.AddJob(&m.jobs[i], false)
		}
	}
}

// pick returns a leader that is at work.
func (m *model) pick() *modelLeader {
	var list []*modelLeader
	for _, l := range m.leaders {
		if !l.frozen && !l.dead {
			list = append(list, l)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(m.t, "leader")]
}

// decide runs a round of a leader and puts its orders on their way.
func (m *model) decide() {
	l := m.pick()
	if l == nil {
		return
	}
	l.co.SetStoreSlow(m.store.silent)
	// Most instances attend the newest leader by then.
	l.co.Suspend(l != m.leaders[len(m.leaders)-1] && m.now.Sub(l.renewed) > AuthorityTime)
	l.co.Advance(m.now)
	if l.batch == nil {
		l.batch = l.co.Flush()
	}
	for _, f := range l.co.Frames() {
		for _, s := range f.Starts {
			m.orders = append(m.orders, modelOrder{from: l, target: s.Target, life: l.co.targets[s.Target].Incarnation, start: &s, sent: m.now, until: m.now.Add(2 * time.Second)})
		}
		for _, s := range f.Stops {
			m.orders = append(m.orders, modelOrder{from: l, target: s.Target, life: l.co.targets[s.Target].Incarnation, stop: &s})
		}
		for _, a := range f.Acks {
			m.acknowledge(l, a)
		}
		for _, s := range f.States {
			if !s.State.Final() {
				continue
			}
			if m.shown[s.Job].IsZero() && s.State == w.Completed {
				m.shown[s.Job] = m.now
			}
			if s.Unsaved {
				m.unsaved[s.Job] = s.State
			} else {
				delete(m.unsaved, s.Job)
			}
		}
	}
}

// acknowledge moves the cursor of a target, if the order reaches it.
func (m *model) acknowledge(l *modelLeader, a linker.Ack) {
	t := m.targets[a.Target]
	if l.cut[t.id] || t.life != a.Incarnation || t.epoch > l.lead.Epoch {
		return
	}
	t.epoch = l.lead.Epoch
	t.ends = slices.DeleteFunc(t.ends, func(e w.End) bool {
		if e.Seq <= a.Seq && e.Seq > t.lapsed && e.How == w.EndedDone {
			m.noted[e.Task] = true
		}
		return e.Seq <= a.Seq
	})
}

// save writes the batch of a leader.
func (m *model) save() {
	l := m.pick()
	if l == nil || l.batch == nil {
		return
	}
	b := l.batch
	if !b.Empty() {
		err := m.keeper.Save(context.Background(), &l.lead, &keeper.ChangeSet{Progress: b.Progress, Remove: b.Remove, Roster: b.Roster, RosterChanged: b.RosterChanged})
		if err != nil {
			var c *keeper.ConflictError
			if errors.As(err, &c) {
				l.dead = true
			}
			return
		}
	}
	l.batch = nil
	l.co.Stored(b)
}

// renew lets a leader confirm that it leads.
func (m *model) renew() {
	l := m.pick()
	if l == nil {
		return
	}
	err := m.keeper.Renew(context.Background(), &l.lead, 1, 1)
	var c *keeper.ConflictError
	switch {
	case err == nil:
		l.renewed = m.now
		l.co.Renewed(m.now)
	case errors.As(err, &c):
		l.dead = true
	}
}

// late carries out a transaction that the store did not answer.
func (m *model) late() {
	if len(m.store.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.store.late)-1).Draw(m.t, "transaction")
	_, _ = m.store.apply(&m.store.late[i]) // its sender no longer waits
	m.store.late = slices.Delete(m.store.late, i, i+1)
}

// deliver lets an order arrive, with or without an answer.
func (m *model) deliver() {
	if len(m.orders) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.orders)-1).Draw(m.t, "order")
	o := m.orders[i]
	m.orders = slices.Delete(m.orders, i, i+1)
	l, t := o.from, m.targets[o.target]
	heard := rapid.Bool().Draw(m.t, "heard") && !l.frozen && !l.cut[t.id]
	arrives := rapid.IntRange(0, 4).Draw(m.t, "arrives") > 0 && !l.cut[t.id]
	if o.stop != nil {
		if arrives {
			m.stopRun(t, l, o.life, o.stop.Task, o.stop.Run)
		}
		switch {
		case arrives && heard:
			l.stopped[o.stop.Task] = true
			l.unclear[o.stop.Task] = linker.Start{Target: t.id, Task: o.stop.Task, Run: o.stop.Run}
		default:
			m.orders = append(m.orders, o) // repeated until it is answered
		}
		return
	}
	out := linker.Unsettled
	if m.now.Sub(l.read[t.id]) > 2*time.Second {
		// The instance sends no start to a target that it has not heard lately.
		out, arrives = linker.NotStarted, false
	}
	if arrives {
		if got := m.startRun(t, l, o); heard {
			out = got
		}
	}
	if l.frozen || l.dead {
		return
	}
	if out == linker.Fenced {
		l.dead = true
		return
	}
	l.co.Receive("caller", &linker.Frame{Results: []linker.Result{{Target: t.id, Task: o.start.Task, Run: o.start.Run, Outcome: out}}}, m.now)
	if out == linker.Unsettled {
		m.orders = append(m.orders, modelOrder{from: l, target: t.id, life: o.life, stop: &linker.Stop{Target: t.id, Task: o.start.Task, Run: o.start.Run}})
	}
}

func (m *model) startRun(t *modelTarget, l *modelLeader, o modelOrder) linker.Outcome {
	id, run := o.start.Task, o.start.Run
	switch {
	case t.life != o.life:
		return linker.OtherLife
	case l.lead.Epoch < t.epoch:
		return linker.Fenced
	case m.now.After(o.until):
		return linker.NotStarted
	case t.runs[id] == run:
		return linker.Started
	case run <= t.barred[id] || run < t.runs[id]:
		// The instance asks the target's lists before it tells the leader.
		l.unclear[id], l.stopped[id] = *o.start, true
		return linker.Unsettled
	}
	t.epoch = l.lead.Epoch
	m.starts++
	for _, other := range m.targets {
		if r, ok := other.runs[id]; ok {
			m.t.Fatalf("%v starts on %s as run %d of epoch %d while it runs on %s as run %d", id, t.id, run, l.lead.Epoch, other.id, r)
		}
	}
	if m.noted[id] {
		m.t.Fatalf("%v starts on %s after its end was acknowledged", id, t.id)
	}
	if at := m.shown[id.Job]; !at.IsZero() && o.sent.After(at) {
		m.t.Fatalf("%v starts on %s after its job was shown as completed", id, t.id)
	}
	t.runs[id] = run
	if o.until.After(t.deadline) {
		t.deadline = o.until
	}
	return linker.Started
}

func (m *model) stopRun(t *modelTarget, l *modelLeader, life w.Incarnation, id w.TaskID, run w.RunID) {
	if t.life != life || l.lead.Epoch < t.epoch {
		return
	}
	t.epoch = l.lead.Epoch
	if t.runs[id] == run {
		m.end(t, id, w.EndedStopped)
	}
	t.barred[id] = max(t.barred[id], run)
}

func (m *model) end(t *modelTarget, id w.TaskID, how w.Ending) {
	t.seq++
	t.ends = append(t.ends, w.End{Seq: t.seq, Task: id, Run: t.runs[id], How: how})
	t.barred[id] = max(t.barred[id], t.runs[id])
	delete(t.runs, id)
}

// poll lets a leader read a target and extend its leases.
func (m *model) poll() {
	l := m.pick()
	t := m.targets[rapid.SampledFrom([]w.TargetID{"a", "b", "c"}).Draw(m.t, "target")]
	if l == nil {
		return
	}
	known := l.co.targets[t.id]
	r := linker.Report{Target: t.id, Incarnation: known.Incarnation}
	switch {
	case l.cut[t.id]:
		r.Unreachable = true
	case known.Incarnation != t.life:
		r.Incarnation, r.Gone = t.life, true
	case t.epoch > l.lead.Epoch:
		r.Unreachable = true // it answers that the epoch is old
	default:
		t.epoch = l.lead.Epoch
		t.deadline = m.now.Add(modelLease)
		r.Complete = true
		l.read[t.id] = m.now
		m.join(l)
		for id, run := range t.runs {
			r.Runs = append(r.Runs, w.Run{Task: id, Run: run})
		}
		r.Ends = slices.Clone(t.ends)
	}
	f := &linker.Frame{Reports: []linker.Report{r}}
	if r.Complete {
		for id := range l.stopped {
			if s := l.unclear[id]; s.Target == t.id && t.runs[id] != s.Run && !slices.ContainsFunc(t.ends, func(e w.End) bool { return e.Task == id && e.Run == s.Run }) {
				f.Results = append(f.Results, linker.Result{Target: t.id, Task: id, Run: s.Run, Outcome: linker.NotStarted})
				delete(l.stopped, id)
				delete(l.unclear, id)
			}
		}
	}
	l.co.Receive("caller", f, m.now)
}

// join lets the earlier leaders lose their instances once a later one has read all
// targets: each target is read by an instance that attends the later one, and a leader
// without most of its instances starts nothing.
func (m *model) join(l *modelLeader) {
	if len(l.read) < len(m.targets) {
		return
	}
	for _, other := range m.leaders {
		if other.lead.Epoch < l.lead.Epoch {
			other.dead = true
		}
	}
}

// pass lets time pass. Leases end on targets that nobody has called.
func (m *model) pass() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(20, 3000).Draw(m.t, "ms")) * time.Millisecond)
	for _, t := range m.targets {
		if m.now.After(t.deadline) {
			for id := range t.runs {
				m.end(t, id, w.EndedLeaseExpired)
			}
			// Ends of before may be unknown to everybody, and do not count.
			t.lapsed = t.seq
		}
	}
}

func (m *model) work() {
	t := m.targets[rapid.SampledFrom([]w.TargetID{"a", "b", "c"}).Draw(m.t, "target")]
	for id := range t.runs {
		m.end(t, id, rapid.SampledFrom([]w.Ending{w.EndedDone, w.EndedDone, w.EndedFailed}).Draw(m.t, "how"))
		return
	}
}

// fault changes what is broken.
func (m *model) fault() {
	switch rapid.IntRange(0, 5).Draw(m.t, "fault") {
	case 0:
		m.store.silent = !m.store.silent
	case 1:
		if l := m.pick(); l != nil {
			l.frozen = true
		}
	case 2:
		for _, l := range m.leaders {
			if l.frozen {
				l.frozen = false
			}
		}
	case 3:
		if l := m.pick(); l != nil {
			id := rapid.SampledFrom([]w.TargetID{"a", "b", "c"}).Draw(m.t, "target")
			l.cut[id] = !l.cut[id]
		}
	case 4:
		m.takeOver()
	case 5:
		m.born(m.targets[rapid.SampledFrom([]w.TargetID{"a", "b", "c"}).Draw(m.t, "target")])
		for _, l := range m.leaders {
			if !l.frozen {
				m.list(l)
			}
		}
	}
}

// TestModelKeepsRules guards the rules of docs/decisions/platform.md in any order of
// faults: no task runs twice at a time, none starts after its end was acknowledged or
// its job shown as completed, and nothing starts under an epoch that its target knows
// to be old.
func TestModelKeepsRules(t *testing.T) {
	starts := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		step := []func(){m.decide, m.decide, m.decide, m.deliver, m.deliver, m.poll, m.poll, m.poll, m.save, m.save, m.pass, m.work, m.submit, m.find, m.renew, m.late, m.fault}
		for range rapid.IntRange(20, 160).Draw(t, "steps") {
			step[rapid.IntRange(0, len(step)-1).Draw(t, "event")]()
		}
		starts += m.starts
	})
	if starts == 0 {
		t.Error("nothing started")
	}
	t.Logf("%d starts", starts)
}
