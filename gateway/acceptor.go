package gateway

import (
	"context"
	"errors"
	"sync"

	"github.com/masticlead/masticlead/keeper"
	w "github.com/masticlead/masticlead/workload"
)

// acceptor stores jobs with group commit per store partition: jobs that arrive
// while a write is in flight share the next write. A job that finds no write in
// flight is written without delay.
type acceptor struct {
	keeper *keeper.Keeper
	mu     sync.Mutex
	queues map[string]*partitionQueue
}

// partitionQueue holds the submissions of one store partition.
type partitionQueue struct {
	writing bool // a goroutine runs writeQueue
	waiting []*submission
}

type submission struct {
	job  *w.Job
	done chan acceptResult
}

type acceptResult struct {
	job *w.Job
	err error
}

// maxBatchJobs is the maximum number of jobs in one write. The store accepts at
// most 100 rows per write.
const maxBatchJobs = 50

func newAcceptor(k *keeper.Keeper) *acceptor {
	return &acceptor{keeper: k, queues: make(map[string]*partitionQueue)}
}

// accept stores a job and returns the stored job, which differs from j if the ID
// was already in use.
func (a *acceptor) accept(ctx context.Context, j *w.Job) (*w.Job, error) {
	s := &submission{job: j, done: make(chan acceptResult, 1)}
	partition := a.keeper.Partitions.Of(j.ID)
	a.mu.Lock()
	q := a.queues[partition]
	if q == nil {
		q = new(partitionQueue)
		a.queues[partition] = q
	}
	q.waiting = append(q.waiting, s)
	if !q.writing {
		q.writing = true
		go a.writeQueue(q)
	}
	a.mu.Unlock()
	select {
	case r := <-s.done:
		return r.job, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// writeQueue writes the submissions of a queue in batches until the queue is empty.
func (a *acceptor) writeQueue(q *partitionQueue) {
	for {
		a.mu.Lock()
		n := min(len(q.waiting), maxBatchJobs)
		if n == 0 {
			q.writing = false
			a.mu.Unlock()
			return
		}
		batch := q.waiting[:n:n]
		q.waiting = q.waiting[n:]
		a.mu.Unlock()
		a.writeBatch(batch)
	}
}

func (a *acceptor) writeBatch(batch []*submission) {
	jobs := make([]*w.Job, len(batch))
	for i, s := range batch {
		jobs[i] = s.job
	}
	stored, err := a.keeper.Accept(context.Background(), jobs)
	if len(batch) > 1 && errors.Is(err, keeper.ErrRejected) {
		// A job that the store refuses must not hold up the others.
		for i := range batch {
			a.writeBatch(batch[i : i+1])
		}
		return
	}
	for i, s := range batch {
		if err != nil {
			s.done <- acceptResult{err: err}
			continue
		}
		s.done <- acceptResult{job: stored[i]}
	}
}
