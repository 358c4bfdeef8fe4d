package scheduler

import (
	"hash/maphash"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/estimator"
	"github.com/masticlead/masticlead/sequencer"
)

// Record is what the scheduler knows of a request. It is opaque to the policies
// that order it.
type Record struct {
	req     *descriptor.Request
	arrived time.Time
	item    sequencer.Item[*Record]
	run     estimator.Estimate
	share   float64 // of the capacity, all tasks
	attempt descriptor.Attempt
	avoid   []descriptor.TargetID
	tasks   []*task // of the present attempt, until they have ended
	// queuedWork is the work that the backlogs count while the record waits.
	queuedWork float64
	spent      time.Duration // longest run of the earlier attempts' tasks
	stops      int           // orders to checkpoint
	directedAt time.Time     // the last order to checkpoint
	// gang is a copy of a single large task that is placed like a gang, since
	// only gangs get a reservation.
	gang     *descriptor.Request
	directed bool // the attempt was told to checkpoint
	reserved bool // the placer may hold a reservation
	done     bool

	// rescue and expiry are the record's places by its latest start if it runs
	// long, and if it runs short.
	rescue, expiry dueLink
}

// work returns the capacity-seconds that the request is expected to use.
func (r *Record) work() float64 { return r.share * r.run.Mean.Seconds() }

// need returns the resources of all tasks.
func (r *Record) need() descriptor.Resources { return r.req.Resources.Scale(max(r.req.Tasks, 1)) }

// latestStart is when a run of the given length must start at the latest.
func (r *Record) latestStart(run time.Duration) time.Time { return r.req.Deadline.Add(-run) }

// rescueAt is when a request may begin to overtake others, so that it starts in
// time: before its deadline even if it runs long, and within the bound of urgent
// work.
func (r *Record) rescueAt() time.Time {
	window := time.Duration(rescuePart * float64(r.req.Deadline.Sub(r.arrived)))
	at := r.latestStart(r.run.High).Add(-window)
	if urgent := r.arrived.Add(urgentRescue); r.req.Priority == descriptor.Urgent && urgent.Before(at) {
		return urgent
	}
	return at
}

// taskRef identifies a task for good: two owners may number attempts alike, but
// not on the same target.
type taskRef struct {
	key     descriptor.Key
	attempt descriptor.Attempt
	index   int
	target  descriptor.TargetID
}

// task is a task that takes capacity.
type task struct {
	ref       taskRef
	rec       *Record // nil if adopted
	team      descriptor.TeamID
	caller    descriptor.CallerID
	class     sequencer.Class
	resources descriptor.Resources
	share     float64
	started   time.Time
	adopted   bool
	// charged is the run time that its caller has been charged for.
	charged time.Duration
	// checkAt is when the charge no longer covers the run; pos is its place in
	// the heap of these times.
	checkAt time.Time
	pos     int
	// long says that it counts as long work, movable that this work can be
	// checkpointed.
	long, movable            bool
	throttled, throttledEver bool
	directedAt               time.Time
}

const tableShards = 64

// table is a map in shards that gives memory back: Go maps never shrink, so a
// shard is rebuilt when most of its entries are gone. The shards keep each
// rebuild short.
type table[K comparable, V any] struct {
	seed   maphash.Seed
	shards [tableShards]tableShard[K, V]
	n      int
}

type tableShard[K comparable, V any] struct {
	entries map[K]V
	peak    int
}

func newTable[K comparable, V any]() *table[K, V] {
	return &table[K, V]{seed: maphash.MakeSeed()}
}

func (t *table[K, V]) shard(k K) *tableShard[K, V] {
	return &t.shards[maphash.Comparable(t.seed, k)%tableShards]
}

func (t *table[K, V]) get(k K) (V, bool) {
	v, ok := t.shard(k).entries[k]
	return v, ok
}

func (t *table[K, V]) put(k K, v V) {
	s := t.shard(k)
	if s.entries == nil {
		s.entries = map[K]V{}
	}
	before := len(s.entries)
	s.entries[k] = v
	t.n += len(s.entries) - before
	s.peak = max(s.peak, len(s.entries))
}

func (t *table[K, V]) remove(k K) {
	const smallest = 32 // entries that are not worth a rebuild
	s := t.shard(k)
	before := len(s.entries)
	delete(s.entries, k)
	t.n -= before - len(s.entries)
	if s.peak < smallest || len(s.entries) > s.peak/4 {
		return
	}
	rest := make(map[K]V, len(s.entries))
	for k, v := range s.entries {
		rest[k] = v
	}
	s.entries, s.peak = rest, len(rest)
}

func (t *table[K, V]) each(f func(K, V)) {
	for i := range t.shards {
		for k, v := range t.shards[i].entries {
			f(k, v)
		}
	}
}
