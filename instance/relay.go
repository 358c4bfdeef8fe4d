package instance

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
)

const (
	// replyPart is the size in bytes of a part of a wide reply, short enough for orders and
	// heartbeats not to be late behind it on a narrow link.
	replyPart = 16 << 10
	// maxReplySize bounds what is received in parts.
	maxReplySize = 8 << 20
)

// relayConn returns the connection over which a call to the store is relayed, or nil if
// there is none. A leader that has not loaded the cell yet relays reads only: it may never
// come to serve, and the outcome of a read that gets no response does not matter.
func (in *Instance) relayConn(call *linker.Call) *linker.Conn {
	if in.leader.Load() != nil || in.loading.Load() != nil {
		return nil
	}
	if c := in.joinedConn.Load(); c != nil || call.Method != http.MethodGet {
		return c
	}
	return in.leaderConn.Load()
}

// relay forwards a call to the store through the leader.
func (in *Instance) relay(ctx context.Context, call *linker.Call) linker.CallReply {
	r := in.relayOver(ctx, in.relayConn(call), call)
	in.leaderRelays.Store(!r.Failed)
	return r
}

// pendingCall is a call that is being relayed.
type pendingCall struct {
	ctx   context.Context // takes the progress of the reply
	body  []byte          // parts of the reply
	reply chan linker.CallReply
}

// relayOver forwards a call to the store over a connection, which may be nil.
func (in *Instance) relayOver(ctx context.Context, c *linker.Conn, call *linker.Call) linker.CallReply {
	if c == nil {
		return linker.CallReply{Failed: true, NotDone: true, Unsent: true}
	}
	p := &pendingCall{ctx: ctx, reply: make(chan linker.CallReply, 1)}
	in.callsMu.Lock()
	in.lastCallID++
	id := in.lastCallID
	in.pendingCalls[id] = p
	in.callsMu.Unlock()
	defer func() {
		in.callsMu.Lock()
		delete(in.pendingCalls, id)
		in.callsMu.Unlock()
	}()
	req := *call
	req.ID, req.Parts = id, true
	c.Send(&linker.Frame{Calls: []linker.Call{req}})
	select {
	case r := <-p.reply:
		return r
	case <-c.Done():
	case <-ctx.Done():
		if call.Method == http.MethodGet {
			c.Send(&linker.Frame{Abandoned: []int64{id}})
		}
	}
	return linker.CallReply{Failed: true}
}

// deliverReplies passes the replies to relayed calls to the waiting relay calls.
func (in *Instance) deliverReplies(replies []linker.CallReply) {
	for _, r := range replies {
		if p := in.takeReply(&r); p != nil {
			keeper.ReportProgress(p.ctx, len(r.Body))
		}
	}
}

// takeReply adds a reply, or a part of one, to its call, and completes the call with the
// last part. It returns nil if nobody waits for the reply.
func (in *Instance) takeReply(r *linker.CallReply) *pendingCall {
	in.callsMu.Lock()
	defer in.callsMu.Unlock()
	p := in.pendingCalls[r.ID]
	if p == nil {
		return nil
	}
	p.body = append(p.body, r.Body...)
	whole := *r
	switch {
	case len(p.body) > maxReplySize:
		whole = linker.CallReply{ID: r.ID, Failed: true}
	case r.More:
		return p
	default:
		whole.Body = p.body
	}
	p.reply <- whole
	delete(in.pendingCalls, r.ID)
	return p
}

// serveCalls makes calls to the store on behalf of the member, which can't reach it. An
// instance that can't reach it either, and doesn't lead, fails them at once, and names the
// instances that it knows.
func (m *member) serveCalls(calls []linker.Call) {
	in := m.in
	leads := in.leader.Load() != nil || in.loading.Load() != nil
	for i := range calls {
		if !leads && in.Store.FailingFor() > 0 {
			f := &linker.Frame{Replies: []linker.CallReply{{ID: calls[i].ID, Failed: true, NotDone: true}}}
			if peers := in.peers.Load(); peers != nil {
				f.Peers = *peers
			}
			m.conn.Send(f)
			continue
		}
		ctx := in.ctx
		if calls[i].Method == http.MethodGet {
			ctx = m.beginRead(calls[i].ID)
		}
		in.spawn(func() {
			defer m.abandon([]int64{calls[i].ID})
			in.serveCall(ctx, m.conn, &calls[i])
		})
	}
}

// beginRead returns a context for a call that ends when the member abandons the call or has
// left. Writes go on, so that the member's next one does not overtake them.
func (m *member) beginRead(id int64) context.Context {
	ctx, cancel := context.WithCancel(m.in.ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reads == nil {
		m.reads = make(map[int64]context.CancelFunc)
	}
	m.reads[id] = cancel
	return ctx
}

// abandon ends calls that are being made for the member.
func (m *member) abandon(ids []int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range ids {
		if cancel := m.reads[id]; cancel != nil {
			cancel()
			delete(m.reads, id)
		}
	}
}

// abandonAll ends all calls that are being made for the member.
func (m *member) abandonAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, cancel := range m.reads {
		cancel()
	}
}

// serveCall makes a call to the store and sends the reply. Wide replies are sent one at a
// time, and leave half of the link to other frames; a reply that would have to wait for
// longer than the call's timeout fails.
func (in *Instance) serveCall(ctx context.Context, conn *linker.Conn, call *linker.Call) {
	timeout, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	r := in.serveStoreCall(ctx, call)
	r.ID = call.ID
	in.served.add(&r)
	if len(r.Body) <= wideTransfer {
		conn.Send(&linker.Frame{Replies: []linker.CallReply{r}})
		return
	}
	slot := in.wideReplies.slot()
	select {
	case slot <- struct{}{}:
		defer func() { <-slot }()
	case <-conn.Done():
		return
	case <-timeout.Done():
		conn.Send(&linker.Frame{Replies: []linker.CallReply{{ID: call.ID, Failed: true, NotDone: call.Method == http.MethodGet}}})
		return
	}
	for ctx.Err() == nil && len(r.Body) > 0 {
		part := r
		if call.Parts && len(r.Body) > replyPart {
			part.Body, part.More = r.Body[:replyPart], true
		}
		start := time.Now()
		if !conn.SendWait(&linker.Frame{Replies: []linker.CallReply{part}}) {
			return
		}
		r.Body = r.Body[len(part.Body):]
		in.sleep(time.Since(start))
	}
}

func (in *Instance) serveStoreCall(ctx context.Context, call *linker.Call) linker.CallReply {
	withTimeout := context.WithTimeout
	if call.Method == http.MethodGet {
		withTimeout = keeper.UntilStalled
	}
	ctx, cancel := withTimeout(ctx, call.Timeout)
	defer cancel()
	return in.Store.Serve(ctx, call)
}

// replySlot lets one wide reply be sent at a time. Its zero value is ready for use.
type replySlot struct {
	once sync.Once
	c    chan struct{}
}

// slot returns a channel that takes one value at a time.
func (s *replySlot) slot() chan struct{} {
	s.once.Do(func() { s.c = make(chan struct{}, 1) })
	return s.c
}

// servedCalls counts the calls to the store that an instance has made for others.
type servedCalls struct {
	mu                           sync.Mutex
	calls, failed, bytes, widest int // since the last report; bytes are those of the replies
}

func (s *servedCalls) add(r *linker.CallReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if r.Failed {
		s.failed++
	}
	s.bytes += len(r.Body)
	s.widest = max(s.widest, len(r.Body))
}

// take returns the counts and resets them.
func (s *servedCalls) take() (calls, failed, bytes, widest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, failed, bytes, widest = s.calls, s.failed, s.bytes, s.widest
	s.calls, s.failed, s.bytes, s.widest = 0, 0, 0, 0
	return calls, failed, bytes, widest
}

// reportServedCalls logs each second what the instance has carried for others.
func (in *Instance) reportServedCalls() {
	for in.ctx.Err() == nil {
		in.sleep(time.Second)
		if calls, failed, bytes, widest := in.served.take(); calls > 0 {
			in.Log.Info("calls to the store relayed", "calls", calls, "failed", failed, "bytes", bytes, "largest", widest, "loading", in.loading.Load() != nil)
		}
	}
}
