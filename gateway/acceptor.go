package gateway

import (
	"context"
	"sync"

	"github.com/masticlead/masticlead/keeper"
	w "github.com/masticlead/masticlead/workload"
)

// acceptor stores jobs. Jobs of one part of the store that arrive while a write
// is on its way share the next one; alone, none waits.
type acceptor struct {
	keeper *keeper.Keeper
	mu     sync.Mutex
	lanes  map[string]*lane
}

// lane is the queue of one part.
type lane struct {
	busy    bool
	waiting []*submission
}

type submission struct {
	job  *w.Job
	done chan accepted
}

type accepted struct {
	job *w.Job
	err error
}

// batchJobs is the number of jobs that share a write. The store takes 100 rows
// in one.
const batchJobs = 50

func newAcceptor(k *keeper.Keeper) *acceptor {
	return &acceptor{keeper: k, lanes: make(map[string]*lane)}
}

// accept stores a job and returns the stored one, which is another if its id was
// in use.
func (a *acceptor) accept(ctx context.Context, j *w.Job) (*w.Job, error) {
	s := &submission{job: j, done: make(chan accepted, 1)}
	part := a.keeper.Partitions.Of(j.ID)
	a.mu.Lock()
	l := a.lanes[part]
	if l == nil {
		l = new(lane)
		a.lanes[part] = l
	}
	l.waiting = append(l.waiting, s)
	if !l.busy {
		l.busy = true
		go a.run(l)
	}
	a.mu.Unlock()
	select {
	case r := <-s.done:
		return r.job, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// run writes what waits in a lane.
func (a *acceptor) run(l *lane) {
	for {
		a.mu.Lock()
		n := min(len(l.waiting), batchJobs)
		if n == 0 {
			l.busy = false
			a.mu.Unlock()
			return
		}
		batch := l.waiting[:n:n]
		l.waiting = l.waiting[n:]
		a.mu.Unlock()
		a.write(batch)
	}
}

func (a *acceptor) write(batch []*submission) {
	jobs := make([]*w.Job, len(batch))
	for i, s := range batch {
		jobs[i] = s.job
	}
	stored, err := a.keeper.Accept(context.Background(), jobs)
	for i, s := range batch {
		if err != nil {
			s.done <- accepted{err: err}
			continue
		}
		s.done <- accepted{job: stored[i]}
	}
}
