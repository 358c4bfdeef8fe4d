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

// peer is the client side of one address. Its goroutine takes calls from the
// queue, connects and writes them, so that neither a dial nor a full socket
// buffer can hold up a caller beyond its deadline.
type peer struct {
	pool    *Pool
	address string
	class   PeerClass
	queue   chan *call // never full, see take
	health  health

	mu      sync.Mutex
	normal  int // calls that hold a place, normal and control
	control int
	bytes   int64

	link *link // used by the goroutine only
}

// link is a connection of a peer.
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
func (pe *peer) take(c *call) error {
	p, size := pe.pool, int64(len(c.params))
	pe.mu.Lock()
	defer pe.mu.Unlock()
	switch {
	case c.control && pe.control >= p.MaxControl:
		return fmt.Errorf("%d control calls in progress", pe.control)
	case !c.control && pe.normal >= p.MaxQueued:
		return fmt.Errorf("%d calls in progress", pe.normal)
	case pe.bytes+size > max(p.MaxQueuedBytes, size):
		return fmt.Errorf("%d bytes in progress", pe.bytes)
	case p.bytes.Load()+size > p.MaxBytes:
		return errors.New("too many bytes in progress to all peers")
	}
	if c.control {
		pe.control++
	} else {
		pe.normal++
	}
	pe.bytes += size
	p.bytes.Add(size)
	return nil
}

// leave gives the place back.
func (pe *peer) leave(c *call) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if c.control {
		pe.control--
	} else {
		pe.normal--
	}
	pe.bytes -= int64(len(c.params))
	pe.pool.bytes.Add(-int64(len(c.params)))
}

// run sends calls until the pool is closed or the peer has been idle.
func (pe *peer) run() {
	defer pe.pool.wg.Done()
	defer pe.closeLink()
	idle := time.NewTimer(pe.pool.IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-pe.pool.done:
			pe.failQueued()
			return
		case c := <-pe.queue:
			pe.send(c)
			idle.Reset(pe.pool.IdleTimeout)
		case <-idle.C:
			if pe.removeIdle() {
				return
			}
			idle.Reset(pe.pool.IdleTimeout)
		}
	}
}

// removeIdle takes the peer out of the pool if no call holds a place.
func (pe *peer) removeIdle() bool {
	pe.pool.mu.Lock()
	defer pe.pool.mu.Unlock()
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if pe.normal+pe.control > 0 {
		return false
	}
	delete(pe.pool.peers, pe.address)
	return true
}

// failQueued ends the calls that are still in the queue when the pool closes.
func (pe *peer) failQueued() {
	for {
		select {
		case c := <-pe.queue:
			pe.fail(c, errors.New("pool is closed"))
		default:
			return
		}
	}
}

// fail ends a call that was not sent.
func (pe *peer) fail(c *call, err error) {
	if !c.state.CompareAndSwap(callQueued, callSending) {
		pe.leave(c)
		return
	}
	c.sent <- sending{err: fmt.Errorf("%w: %s: %w", ErrPeerUnreachable, pe.address, err)}
}

// send connects if necessary and writes the call.
func (pe *peer) send(c *call) {
	if c.state.Load() == callAbandoned {
		pe.leave(c)
		return
	}
	l, err := pe.connect()
	if err != nil {
		pe.fail(c, err)
		return
	}
	if !c.state.CompareAndSwap(callQueued, callSending) {
		pe.leave(c)
		return
	}
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
		return
	}
	l.end(false)
	if !errors.Is(err, ErrFrameTooLarge) {
		l.rpc.Close()
		err = fmt.Errorf("%w: %s: %w", ErrPeerUnreachable, pe.address, err)
	}
	c.sent <- sending{err: err}
}

// connect returns the link, after dialling if there is none that works.
func (pe *peer) connect() (*link, error) {
	if pe.link != nil {
		select {
		case <-pe.link.rpc.DisconnectNotify():
			pe.link = nil
		default:
			if pe.link.lost.Load() < maxLost {
				return pe.link, nil
			}
			pe.link.retire()
			pe.link = nil
		}
	}
	p := pe.pool
	if !pe.health.mayDial(p.Clock.Now()) {
		p.Scope.Counter("dialBackoff").Inc(1)
		return nil, errors.New("waiting before the next dial")
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.DialTimeout)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-p.done:
			cancel()
		case <-stop:
		}
	}()
	conn, err := p.Dial(ctx, "tcp", pe.address)
	p.dialed(&pe.health, err == nil)
	if err != nil {
		p.Scope.Counter("dialFailures").Inc(1)
		return nil, err
	}
	counted := newCountedConn(conn, p.Traffic, p.Scope)
	counted.setClass(pe.class)
	stream := newFrameStream(counted, p.WriteTimeout, DefaultFrameTimeout)
	heard := jsonrpc2.OnRecv(func(*jsonrpc2.Request, *jsonrpc2.Response) { pe.health.heard(p.Clock.Now()) })
	pe.link = &link{rpc: jsonrpc2.NewConn(context.Background(), stream, rejectCalls{}, heard, jsonrpc2.SetLogger(rpcLogger{p.Log, p.Scope}))}
	return pe.link, nil
}

func (pe *peer) closeLink() {
	if pe.link != nil {
		pe.link.rpc.Close()
	}
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
