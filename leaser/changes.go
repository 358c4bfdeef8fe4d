package leaser

import "sync"

// changeQueue is an unbounded FIFO queue of changes with a channel as its output,
// so that a slow reader can't block lease renewal.
type changeQueue struct {
	out  chan Change
	wake chan struct{}

	mu         sync.Mutex
	pending    []Change
	delivering bool
	closed     bool
}

func newChangeQueue() *changeQueue {
	return &changeQueue{
		out:  make(chan Change),
		wake: make(chan struct{}, 1),
	}
}

// push appends a change. It never blocks.
func (q *changeQueue) push(c Change) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	q.pending = append(q.pending, c)
	if !q.delivering {
		q.delivering = true
		go q.deliver()
	}
	q.notify()
}

func (q *changeQueue) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// deliver sends changes to the output until the queue is closed and drained.
func (q *changeQueue) deliver() {
	defer close(q.out)
	for {
		c, ok, closed := q.next()
		switch {
		case ok:
			q.out <- c
		case closed:
			return
		default:
			<-q.wake
		}
	}
}

// next removes the first change; ok is false if there is none.
func (q *changeQueue) next() (c Change, ok, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) == 0 {
		return Change{}, false, q.closed
	}
	c = q.pending[0]
	q.pending = q.pending[1:]
	return c, true, q.closed
}

// close makes the queue ignore further changes. The output is closed once the
// pending changes have been read.
func (q *changeQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	q.closed = true
	if !q.delivering {
		close(q.out)
		return
	}
	q.notify()
}
