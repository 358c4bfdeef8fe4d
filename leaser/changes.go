package leaser

import "sync"

// changeQueue delivers changes in order through a channel and holds any number
// of them, so that a slow reader can't delay the leases.
type changeQueue struct {
	out  chan Change
	wake chan struct{}

	mu      sync.Mutex
	waiting []Change
	running bool
	closed  bool
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
	q.waiting = append(q.waiting, c)
	if !q.running {
		q.running = true
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

// deliver sends the changes until the queue is closed and empty.
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

func (q *changeQueue) next() (c Change, ok, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return Change{}, false, q.closed
	}
	c = q.waiting[0]
	q.waiting = q.waiting[1:]
	return c, true, q.closed
}

// finish accepts no more changes. The channel is closed after the last change
// has been read.
func (q *changeQueue) finish() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	q.closed = true
	if !q.running {
		close(q.out)
		return
	}
	q.notify()
}
