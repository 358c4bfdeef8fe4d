package scheduler

import (
	"hash/maphash"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/estimator"
	"github.com/masticlead/masticlead/sequencer"
)

// Record is the scheduler's state of a request. It is opaque to the policies that
// order it.
type Record struct {
	req     *descriptor.Request
	arrived time.Time
	item    sequencer.Item[*Record]
	run     estimator.Estimate
	share   float64 // fraction of the capacity that all tasks take
	attempt descriptor.Attempt
	avoid   []descriptor.TargetID
	tasks   []*task // running tasks of the current attempt
	// queuedWork is the work that the backlogs include while the record waits.
	queuedWork      float64
	checkpointedRun time.Duration // run time of the earlier, preempted attempts
	preemptions     int
	preemptedAt     time.Time // time of the last preemption
	// gangRequest is a copy of a request with a single large task that is placed as
	// a gang, because the placer reserves capacity only for gangs.
	gangRequest *descriptor.Request
	preempted   bool // the attempt was sent a checkpoint directive
	reserved    bool // the placer may hold a reservation for it
	done        bool

	// boostEntry holds the boost time, and expiryEntry the latest start for the
	// shortest expected run.
	boostEntry, expiryEntry dueEntry
}

// expectedWork returns the expected use in capacity-seconds.
func (r *Record) expectedWork() float64 { return r.share * r.run.Mean.Seconds() }

// totalResources returns the resources of all tasks.
func (r *Record) totalResources() descriptor.Resources {
	return r.req.Resources.Scale(max(r.req.Tasks, 1))
}

// latestStart returns the latest time at which a run of the given length can start
// and still meet the deadline.
func (r *Record) latestStart(run time.Duration) time.Time { return r.req.Deadline.Add(-run) }

// boostTime returns the time from which the request may be placed ahead of the fair
// order. It is early enough to meet the deadline with the longest expected run,
// and for urgent requests to start within the bound for urgent work.
func (r *Record) boostTime() time.Time {
	window := time.Duration(boostWindowFraction * float64(r.req.Deadline.Sub(r.arrived)))
	at := r.latestStart(r.run.High).Add(-window)
	if urgent := r.arrived.Add(urgentBoostDelay); r.req.Priority == descriptor.Urgent && urgent.Before(at) {
		return urgent
	}
	return at
}

// taskRef identifies a task uniquely. The target is a part of it because two owners
// of a request may use the same attempt number, though not on the same target.
type taskRef struct {
	key     descriptor.Key
	attempt descriptor.Attempt
	index   int
	target  descriptor.TargetID
}

// task is a running task, whose capacity is allocated.
type task struct {
	ref       taskRef
	rec       *Record // nil for an adopted task
	team      descriptor.TeamID
	caller    descriptor.CallerID
	class     sequencer.Class
	resources descriptor.Resources
	share     float64
	started   time.Time
	adopted   bool
	// charged is the run time that has been charged so far.
	charged time.Duration
	// checkAt is when the charge no longer covers the run.
	checkAt   time.Time
	heapIndex int // in Scheduler.overruns
	// long means that the task counts as long work, preemptible that it can be
	// checkpointed.
	long, preemptible        bool
	throttled, everThrottled bool
	preemptedAt              time.Time
}

const mapShardCount = 64

// shardedMap is a map that releases memory after deletes. Go maps never shrink, so a
// shard is rebuilt once most of its entries have been removed. Sharding keeps each
// rebuild short.
type shardedMap[K comparable, V any] struct {
	seed   maphash.Seed
	shards [mapShardCount]mapShard[K, V]
	size   int
}

type mapShard[K comparable, V any] struct {
	entries map[K]V
	maxSize int
}

func newShardedMap[K comparable, V any]() *shardedMap[K, V] {
	return &shardedMap[K, V]{seed: maphash.MakeSeed()}
}

func (m *shardedMap[K, V]) shard(k K) *mapShard[K, V] {
	return &m.shards[maphash.Comparable(m.seed, k)%mapShardCount]
}

func (m *shardedMap[K, V]) get(k K) (V, bool) {
	v, ok := m.shard(k).entries[k]
	return v, ok
}

func (m *shardedMap[K, V]) put(k K, v V) {
	s := m.shard(k)
	if s.entries == nil {
		s.entries = map[K]V{}
	}
	before := len(s.entries)
	s.entries[k] = v
	m.size += len(s.entries) - before
	s.maxSize = max(s.maxSize, len(s.entries))
}

func (m *shardedMap[K, V]) remove(k K) {
	const minRebuildSize = 32 // smaller shards are not worth a rebuild
	s := m.shard(k)
	before := len(s.entries)
	delete(s.entries, k)
	m.size -= before - len(s.entries)
	if s.maxSize < minRebuildSize || len(s.entries) > s.maxSize/4 {
		return
	}
	entries := make(map[K]V, len(s.entries))
	for k, v := range s.entries {
		entries[k] = v
	}
	s.entries, s.maxSize = entries, len(entries)
}

func (m *shardedMap[K, V]) each(f func(K, V)) {
	for i := range m.shards {
		for k, v := range m.shards[i].entries {
			f(k, v)
		}
	}
}
