package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// peer is the client side of one address. Control calls have a lane of their
// own, with its own connection, so that a heartbeat never waits behind a large
// request.
type peer struct {
	pool    *Pool
	address string
	class   PeerClass
	health  health
	lanes   [2]lane // normal, control

	mu    sync.Mutex
	bytes int64 // parameters of all calls that hold a place
}

// lane is a queue of calls to a peer. Its goroutine takes calls from the queue,
// connects and writes them, so that neither a dial nor a full socket buffer can
// hold up a caller beyond its deadline.
type lane struct {
	peer    *peer
	control bool
	queue   chan *call // never full, see take
	limit   int
	held    int  // calls that hold a place; guarded by peer.mu
	running bool // guarded by pool.mu
}

// link is a connection of a lane.
type link struct {
	rpc      *jsonrpc2.Conn
	pending  atomic.Int64 // calls that were sent and not given up or answered
	lost     atomic.Int64 // calls that were given up unanswered
	retiring atomic.Bool
}

// maxLost is the number of unanswered calls after which a link takes no more
// calls. The JSON-RPC connection keeps an entry for each of them until it is
// closed, so without a bound a peer that leaves some calls unanswered would cost
// memory without end.
const maxLost = 4096

// The states of a call.
const (
	callQueued    int32 = iota
	callSending         // the frame may be on its way
	callAbandoned       // given up before it was sent
)

// call is a call between its start and its end.
type call struct {
	method  Method
	control bool
	params  json.RawMessage
	ctx     context.Context
	lane    *lane
	state   atomic.Int32
	sent    chan sending // capacity 1
}

// sending is the result of sending a call.
type sending struct {
	link   *link
	waiter jsonrpc2.Waiter
	at     time.Time // when it was sent, on the pool's clock
	err    error     // the call was surely not carried out
}

// take reserves a place in the queue. As every call in the queue holds a place,
// the queue itself always has room.
func (ln *lane) take(c *call) error {
	pe, size := ln.peer, int64(len(c.params))
	p := pe.pool
	pe.mu.Lock()
	defer pe.mu.Unlock()
	switch {
	case ln.held >= ln.limit:
		return fmt.Errorf("%d calls in progress", ln.held)
	case pe.bytes+size > max(p.MaxQueuedBytes, size):
		return fmt.Errorf("%d bytes in progress", pe.bytes)
	case p.bytes.Load()+size > p.MaxBytes:
		return errors.New("too many bytes in progress to all peers")
	}
	ln.held++
	pe.bytes += size
	p.bytes.Add(size)
	c.lane = ln
	return nil
}

// leave gives the place back.
func (c *call) leave() {
	pe, size := c.lane.peer, int64(len(c.params))
	pe.mu.Lock()
	defer pe.mu.Unlock()
	c.lane.held--
	pe.bytes -= size
	pe.pool.bytes.Add(-size)
}

// run sends calls until the pool is closed or the lane has been idle.
func (ln *lane) run() {
	p := ln.peer.pool
	defer p.wg.Done()
	var l *link
	defer func() {
		if l != nil {
			l.rpc.Close()
		}
	}()
	idle := time.NewTimer(p.IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-p.done:
			ln.failQueued()
			return
		case c := <-ln.queue:
			l = ln.send(l, c)
			idle.Reset(p.IdleTimeout)
		case <-idle.C:
			if ln.stopIdle() {
				return
			}
			idle.Reset(p.IdleTimeout)
		}
	}
}

// stopIdle stops the lane if no call holds a place, and takes the peer out of
// the pool if its other lane has stopped too.
func (ln *lane) stopIdle() bool {
	pe := ln.peer
	pe.pool.mu.Lock()
	defer pe.pool.mu.Unlock()
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if ln.held > 0 {
		return false
	}
	ln.running = false
	if !pe.lanes[0].running && !pe.lanes[1].running {
		delete(pe.pool.peers, pe.address)
	}
	return true
}

// failQueued ends the calls that are still in the queue when the pool closes.
func (ln *lane) failQueued() {
	for {
		select {
		case c := <-ln.queue:
			c.fail(errors.New("pool is closed"))
		default:
			return
		}
	}
}

// fail ends a call that was not sent.
func (c *call) fail(err error) {
	if !c.state.CompareAndSwap(callQueued, callSending) {
		c.leave()
		return
	}
	c.sent <- sending{err: fmt.Errorf("%w: %s: %w", ErrPeerUnreachable, c.lane.peer.address, err)}
}

// send connects if necessary and writes the call. It returns the link to use
// from now on.
func (ln *lane) send(l *link, c *call) *link {
	if c.state.Load() == callAbandoned {
		c.leave()
		return l
	}
	l, err := ln.connect(l)
	if err != nil {
		c.fail(err)
		return nil
	}
	if !c.state.CompareAndSwap(callQueued, callSending) {
		c.leave()
		return l
	}
	pe := ln.peer
	remaining := DefaultTimeout
	if deadline, ok := c.ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	// Rounded down, so that the peer's deadline is never later than ours by
	// more than the time on the wire. At least 1, since 0 stands for absent.
	meta := callMeta{From: string(pe.pool.Self), RemainingMs: max(1, remaining.Milliseconds())}
	at := pe.pool.Clock.Now()
	l.pending.Add(1)
	waiter, err := l.rpc.DispatchCall(c.ctx, string(c.method), c.params, jsonrpc2.Meta(meta))
	if err == nil {
		c.sent <- sending{link: l, waiter: waiter, at: at}
		return l
	}
	l.end(false)
	if !errors.Is(err, ErrFrameTooLarge) {
		l.rpc.Close()
		err = fmt.Errorf("%w: %s: %w", ErrPeerUnreachable, pe.address, err)
	}
	c.sent <- sending{err: err}
	return l
}

// connect returns the link l, or a new one if l doesn't work.
func (ln *lane) connect(l *link) (*link, error) {
	if l != nil {
		select {
		case <-l.rpc.DisconnectNotify():
		default:
			if l.lost.Load() < maxLost {
				return l, nil
			}
			l.retire()
		}
	}
	pe := ln.peer
	p := pe.pool
	if !pe.health.mayDial(p.Clock.Now()) {
		p.Scope.Counter("dial_backoff").Inc(1)
		return nil, errors.New("waiting before the next dial")
	}
	ctx, cancel := context.WithTimeout(p.base, p.DialTimeout)
	defer cancel()
	conn, err := p.Dial(ctx, "tcp", pe.address)
	p.dialed(&pe.health, err == nil)
	if err != nil {
		p.Scope.Counter("dial_failures").Inc(1)
		return nil, err
	}
	counted := newCountedConn(conn, p.Traffic, p.Scope)
	counted.setClass(pe.class)
	stream := newFrameStream(counted, p.WriteTimeout, DefaultFrameTimeout)
	stream.packed.Store(ln.control)
	heard := jsonrpc2.OnRecv(func(*jsonrpc2.Request, *jsonrpc2.Response) { pe.health.heard(p.Clock.Now()) })
	logger := jsonrpc2.SetLogger(rpcLogger{p.Log, p.Scope})
	return &link{rpc: jsonrpc2.NewConn(p.base, stream, rejectCalls{}, heard, logger)}, nil
}

// end notes that a call is no longer waited for.
func (l *link) end(lost bool) {
	if lost {
		l.lost.Add(1)
	}
	if l.pending.Add(-1) == 0 && l.retiring.Load() {
		l.rpc.Close()
	}
}

// retire closes the link once no call waits for an answer on it.
func (l *link) retire() {
	l.retiring.Store(true)
	if l.pending.Load() == 0 {
		l.rpc.Close()
	}
}

// rejectCalls closes connections on which the accepting side makes calls.
type rejectCalls struct{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(_ context.Context, c *jsonrpc2.Conn, _ *jsonrpc2.Request) { c.Close() }
