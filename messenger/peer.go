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

// peer is the client side of one address. Control calls have a separate send
// queue with its own connection, so that a heartbeat never waits behind a large
// request.
type peer struct {
	pool    *Pool
	address string
	class   PeerClass
	health  health
	queues  [2]sendQueue // normal, control

	mu            sync.Mutex
	reservedBytes int64 // size of the parameters of all calls with a reservation
}

// sendQueue is a queue of calls to a peer. Its goroutine dequeues the calls,
// connects if necessary and writes the frames, so that neither a dial nor a full
// socket buffer can block a caller beyond its deadline.
type sendQueue struct {
	peer     *peer
	control  bool
	calls    chan *call // never full, see reserve
	limit    int
	reserved int  // calls with a reservation; guarded by peer.mu
	running  bool // whether run is executing; guarded by pool.mu
}

// clientConn is a connection of a sendQueue.
type clientConn struct {
	rpc        *jsonrpc2.Conn
	pending    atomic.Int64 // calls that were sent and neither answered nor abandoned
	unanswered atomic.Int64 // calls that were abandoned without a reply
	draining   atomic.Bool  // close when no call is pending
}

// maxUnanswered is the number of unanswered calls after which a clientConn is
// replaced. The JSON-RPC connection keeps an entry for each of them until it is
// closed, so without this limit a peer that leaves some calls unanswered would
// cause unbounded memory growth.
const maxUnanswered = 4096

// Values of call.state.
const (
	callQueued    int32 = iota
	callSending         // the frame may have been written
	callAbandoned       // abandoned before it was sent
)

// call is a call that is queued or in progress.
type call struct {
	method  Method
	control bool
	params  json.RawMessage
	ctx     context.Context
	queue   *sendQueue
	state   atomic.Int32
	result  chan sendResult // capacity 1
}

// sendResult is the result of the attempt to send a call.
type sendResult struct {
	conn   *clientConn
	waiter jsonrpc2.Waiter
	sentAt time.Time // reading of the pool's clock before the frame was written
	err    error     // if not nil, the call was definitely not executed
}

// reserve reserves a slot in the queue and the size of the call's parameters in
// the limits of the peer and the pool. As every queued call has a reservation, a
// send to q.calls never blocks.
func (q *sendQueue) reserve(c *call) error {
	pe, size := q.peer, int64(len(c.params))
	p := pe.pool
	pe.mu.Lock()
	defer pe.mu.Unlock()
	switch {
	case q.reserved >= q.limit:
		return fmt.Errorf("limit reached: %d calls in progress", q.reserved)
	case pe.reservedBytes+size > max(p.MaxBytesPerPeer, size):
		return fmt.Errorf("limit reached: %d bytes in progress", pe.reservedBytes)
	case p.reservedBytes.Load()+size > p.MaxBytes:
		return errors.New("limit on the bytes in progress to all peers reached")
	}
	q.reserved++
	pe.reservedBytes += size
	p.reservedBytes.Add(size)
	c.queue = q
	return nil
}

// release returns the reservation of the call.
func (c *call) release() {
	pe, size := c.queue.peer, int64(len(c.params))
	pe.mu.Lock()
	defer pe.mu.Unlock()
	c.queue.reserved--
	pe.reservedBytes -= size
	pe.pool.reservedBytes.Add(-size)
}

// run sends calls until the pool is closed or no call was queued for IdleTimeout
// and none has a reservation.
func (q *sendQueue) run() {
	p := q.peer.pool
	defer p.wg.Done()
	var cc *clientConn
	defer func() {
		if cc != nil {
			cc.rpc.Close()
		}
	}()
	idle := time.NewTimer(p.IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-p.done:
			q.failQueued()
			return
		case c := <-q.calls:
			cc = q.send(cc, c)
			idle.Reset(p.IdleTimeout)
		case <-idle.C:
			if q.stopIfIdle() {
				return
			}
			idle.Reset(p.IdleTimeout)
		}
	}
}

// stopIfIdle reports whether run must return, which is the case if no call has a
// reservation. It removes the peer from the pool if its other queue has stopped
// too.
func (q *sendQueue) stopIfIdle() bool {
	pe := q.peer
	pe.pool.mu.Lock()
	defer pe.pool.mu.Unlock()
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if q.reserved > 0 {
		return false
	}
	q.running = false
	if !pe.queues[0].running && !pe.queues[1].running {
		delete(pe.pool.peers, pe.address)
	}
	return true
}

// failQueued fails the calls that are still queued when the pool is closed.
func (q *sendQueue) failQueued() {
	for {
		select {
		case c := <-q.calls:
			c.fail(errors.New("pool is closed"))
		default:
			return
		}
	}
}

// fail ends a call that was not sent. If the caller has abandoned the call, it
// only releases the reservation.
func (c *call) fail(err error) {
	if !c.state.CompareAndSwap(callQueued, callSending) {
		c.release()
		return
	}
	c.result <- sendResult{err: fmt.Errorf("%w: %s: %w", ErrPeerUnreachable, c.queue.peer.address, err)}
}

// send connects if necessary and writes the request. It returns the connection
// to use for the next call.
func (q *sendQueue) send(cc *clientConn, c *call) *clientConn {
	if c.state.Load() == callAbandoned {
		c.release()
		return cc
	}
	cc, err := q.connect(cc)
	if err != nil {
		c.fail(err)
		return nil
	}
	if !c.state.CompareAndSwap(callQueued, callSending) {
		c.release()
		return cc
	}
	pe := q.peer
	remaining := DefaultTimeout
	if deadline, ok := c.ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	// Rounded down, so that the peer's deadline exceeds the caller's by at most
	// the transmission time. At least 1, since 0 means absent.
	meta := requestMeta{From: string(pe.pool.Self), RemainingMs: max(1, remaining.Milliseconds())}
	sentAt := pe.pool.Clock.Now()
	cc.pending.Add(1)
	waiter, err := cc.rpc.DispatchCall(c.ctx, string(c.method), c.params, jsonrpc2.Meta(meta))
	if err == nil {
		c.result <- sendResult{conn: cc, waiter: waiter, sentAt: sentAt}
		return cc
	}
	cc.finishCall(false)
	if !errors.Is(err, ErrFrameTooLarge) {
		cc.rpc.Close()
		err = fmt.Errorf("%w: %s: %w", ErrPeerUnreachable, pe.address, err)
	}
	c.result <- sendResult{err: err}
	return cc
}

// connect returns cc, or a new connection if cc is nil, is closed or has reached
// maxUnanswered.
func (q *sendQueue) connect(cc *clientConn) (*clientConn, error) {
	if cc != nil {
		select {
		case <-cc.rpc.DisconnectNotify():
		default:
			if cc.unanswered.Load() < maxUnanswered {
				return cc, nil
			}
			cc.drain()
		}
	}
	pe := q.peer
	p := pe.pool
	if !pe.health.allowDial(p.Clock.Now()) {
		p.Scope.Counter("dial_backoff").Inc(1)
		return nil, errors.New("dial backoff has not expired")
	}
	ctx, cancel := context.WithTimeout(p.baseCtx, p.DialTimeout)
	defer cancel()
	conn, err := p.Dial(ctx, "tcp", pe.address)
	p.recordDial(&pe.health, err == nil)
	if err != nil {
		p.Scope.Counter("dial_failures").Inc(1)
		return nil, err
	}
	counted := newCountingConn(conn, p.Traffic, p.Scope)
	counted.setClass(pe.class)
	stream := newFrameStream(counted, p.WriteTimeout, DefaultFrameTimeout)
	stream.compress.Store(q.control)
	onRecv := jsonrpc2.OnRecv(func(*jsonrpc2.Request, *jsonrpc2.Response) { pe.health.recordReceived(p.Clock.Now()) })
	logger := jsonrpc2.SetLogger(rpcLogger{p.Log, p.Scope})
	return &clientConn{rpc: jsonrpc2.NewConn(p.baseCtx, stream, rejectCalls{}, onRecv, logger)}, nil
}

// finishCall records the end of a call: its reply or failure, or with unanswered,
// that its caller has stopped waiting.
func (cc *clientConn) finishCall(unanswered bool) {
	if unanswered {
		cc.unanswered.Add(1)
	}
	if cc.pending.Add(-1) == 0 && cc.draining.Load() {
		cc.rpc.Close()
	}
}

// drain closes the connection as soon as no call on it is pending.
func (cc *clientConn) drain() {
	cc.draining.Store(true)
	if cc.pending.Load() == 0 {
		cc.rpc.Close()
	}
}

// rejectCalls is the handler of client connections. It closes a connection on
// which the accepting side sends a request.
type rejectCalls struct{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(_ context.Context, c *jsonrpc2.Conn, _ *jsonrpc2.Request) { c.Close() }
