package coordinator_test

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticlead/masticlead/coordinator"
	"github.com/masticlead/masticlead/executor"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// simHost is the process of an instance and its link to the host of the leader.
type simHost struct {
	c                      *cosim
	index                  int
	zone                   string
	name                   w.InstanceID
	pausedUntil, downUntil time.Time
	links                  [2]simLink // to and from the leader
	conn                   *simEnd
	leaving                bool
}

// simLink is one direction of a link. A narrow one delays its data more and more, up to
// what waits in buffers.
type simLink struct{ stalledUntil, narrowFrom, narrowUntil time.Time }

// waitPause blocks while the process is paused.
func (h *simHost) waitPause() {
	for d := time.Duration(1); d > 0; {
		h.c.mu.Lock()
		d = time.Until(h.pausedUntil)
		h.c.mu.Unlock()
		time.Sleep(d)
	}
}

// simItem is a frame in transit, or the end of the connection if the frame is nil.
type simItem struct {
	frame *linker.Frame
	since time.Time
}

// simEnd is one end of a connection.
type simEnd struct {
	host            *simHost // process at this end
	link            *simLink // outgoing
	peer            *simEnd
	queue, wire, in chan simItem
	done            chan struct{}
	once            sync.Once
	confirmed       atomic.Int64 // number of the last frame of the peer that the leader has processed
}

func (h *simHost) connect() *simEnd {
	ends := [2]*simEnd{}
	for i, host := range []*simHost{h, h.c.hosts[0]} {
		ends[i] = &simEnd{host: host, link: &h.links[i], queue: make(chan simItem, 1024), wire: make(chan simItem, 1<<14), in: make(chan simItem), done: make(chan struct{})}
	}
	ends[0].peer, ends[1].peer = ends[1], ends[0]
	for _, e := range ends {
		go e.write()
		go e.carry()
	}
	return ends[0]
}

func (e *simEnd) send(f *linker.Frame) {
	select {
	case e.queue <- simItem{f, time.Now()}:
	case <-e.done:
	}
}

func (e *simEnd) close() { e.once.Do(func() { close(e.done) }) }

// write passes frames and heartbeats to the link, as linker.Conn does.
func (e *simEnd) write() {
	defer func() {
		e.close()
		e.wire <- simItem{since: time.Now()}
	}()
	for {
		it := simItem{new(linker.Frame), time.Now()}
		select {
		case it = <-e.queue:
		case <-time.After(linker.HeartbeatInterval):
			it.since = time.Now()
		case <-e.done:
			return
		}
		if e.host.waitPause(); time.Since(it.since) > 2*time.Second {
			return
		}
		it.frame.Seen = e.confirmed.Load()
		e.wire <- simItem{it.frame, time.Now()}
	}
}

// carry delivers what was written in order.
func (e *simEnd) carry() {
	for it := range e.wire {
		for d := time.Duration(1); d > 0; {
			e.host.c.mu.Lock()
			at := it.since.Add(500 * time.Microsecond)
			if l := e.link; time.Now().Before(l.narrowUntil) {
				at = at.Add(min(e.host.c.sc.delay, max(0, it.since.Sub(l.narrowFrom))))
			}
			d = max(time.Until(at), time.Until(e.link.stalledUntil))
			e.host.c.mu.Unlock()
			time.Sleep(min(d, 100*time.Millisecond))
		}
		select {
		case e.peer.in <- it:
		case <-e.peer.done:
		}
		if it.frame == nil {
			return
		}
	}
}

// receive handles the frames that arrive until the connection ends.
func (e *simEnd) receive(handle func(*linker.Frame)) {
	defer e.close()
	for {
		start, timeout := time.Now(), time.NewTimer(linker.HeartbeatTimeout)
		select {
		case it := <-e.in:
			timeout.Stop()
			e.host.waitPause()
			if it.frame == nil {
				return
			}
			handle(it.frame)
		case <-timeout.C:
			e.host.waitPause()
			// After a pause, data that has arrived may be read before the deadline counts.
			if time.Since(start) < linker.HeartbeatTimeout+50*time.Millisecond || e.host.c.random(2) == 0 {
				return
			}
		case <-e.done:
			timeout.Stop()
			return
		}
	}
}

// follow keeps a connection to the leader open and carries out its orders, as
// Instance.serveLeader does.
func (h *simHost) follow() {
	c := h.c
	for c.ctx.Err() == nil {
		h.waitPause()
		c.mu.Lock()
		now, name := time.Now(), h.name
		up := now.After(h.links[0].stalledUntil) && now.After(h.links[1].stalledUntil) && now.After(h.downUntil)
		c.mu.Unlock()
		if up {
			h.serve(name)
		}
		time.Sleep(time.Duration(60+c.random(200)) * time.Millisecond)
	}
}

func (h *simHost) serve(name w.InstanceID) {
	c, conn := h.c, h.connect()
	go c.leader.serve(conn.peer)
	c.mu.Lock()
	h.conn = conn
	c.mu.Unlock()
	defer context.AfterFunc(c.ctx, conn.close)()
	e := &executor.Executor{TargetClient: simClient{c, h}, StopTimeout: simStopTimeout, Log: slog.New(slog.DiscardHandler), Send: conn.send}
	e.Run()
	conn.send(&linker.Frame{Hello: &linker.Hello{Instance: name, Zone: h.zone, Strength: 1}})
	joined := false
	var statusSent time.Time
	conn.receive(func(f *linker.Frame) {
		if joined = joined || f.Hello != nil; joined {
			e.Receive(f)
		}
		if time.Since(statusSent) >= 500*time.Millisecond {
			statusSent = time.Now()
			c.mu.Lock()
			status := &linker.Status{Leaving: h.leaving}
			c.mu.Unlock()
			conn.send(&linker.Frame{Status: status})
		}
	})
	e.Close()
}

// simLeader drives the coordinator, as the leader of package instance does.
type simLeader struct {
	*coordinator.Coordinator
	c                    *cosim
	events               chan func()
	conns                map[w.InstanceID]*simEnd // of the coordinator's members
	heldUntil, slowUntil time.Time                // until then, events aren't processed, or the store is slow
}

func (l *simLeader) post(f func()) {
	select {
	case l.events <- f:
	case <-l.c.ctx.Done():
	}
}

func (l *simLeader) serve(e *simEnd) {
	var id w.InstanceID
	e.receive(func(f *linker.Frame) {
		if f.Hello != nil {
			id = f.Hello.Instance
			e.send(&linker.Frame{Hello: &linker.Hello{Instance: "leader", Leads: true}})
			l.post(func() {
				if old := l.conns[id]; old != nil {
					old.close()
				}
				l.conns[id] = e
				l.Join(f.Hello)
			})
		}
		l.post(func() {
			if l.conns[id] == e {
				l.Receive(id, f, time.Now())
				e.confirmed.Store(max(e.confirmed.Load(), f.Seq))
			}
		})
	})
	l.post(func() {
		if l.conns[id] == e {
			delete(l.conns, id)
			l.Leave(id)
		}
	})
}

// run makes the decisions, as leader.decide does.
func (l *simLeader) run() {
	inFlight := false
	for l.c.ctx.Err() == nil {
		select {
		case f := <-l.events:
			f()
		case <-time.After(25 * time.Millisecond):
		}
		time.Sleep(4 * time.Millisecond)
		l.c.mu.Lock()
		held, saveTime := time.Until(l.heldUntil), l.c.duration(5, 20)
		if time.Now().Before(l.slowUntil) {
			saveTime = l.c.duration(100, 3000)
		}
		l.c.mu.Unlock()
		time.Sleep(held)
		l.c.hosts[0].waitPause()
		for len(l.events) > 0 {
			(<-l.events)()
		}
		l.Advance(time.Now())
		if b := l.Flush(); b != nil && b.Empty() {
			l.Stored(b)
		} else if b != nil && !inFlight {
			inFlight = true
			time.AfterFunc(saveTime, func() {
				l.post(func() {
					inFlight = false
					l.Stored(b)
				})
			})
		}
		for id, f := range l.Frames() {
			l.c.logFrame(id, f)
			if e := l.conns[id]; e != nil {
				e.send(f)
			}
		}
	}
}

// pollTargets passes the list of targets to the coordinator.
func (l *simLeader) pollTargets() {
	for l.c.ctx.Err() == nil {
		var list []w.Target
		l.c.mu.Lock()
		for id, r := range l.c.rows {
			if time.Since(r.seen) > 3*time.Second {
				delete(l.c.rows, id)
			} else {
				list = append(list, r.target)
			}
		}
		l.c.mu.Unlock()
		time.Sleep(time.Duration(5+l.c.random(50)) * time.Millisecond)
		l.post(func() { l.SetTargets(list, true, time.Now()) })
		time.Sleep(time.Second)
	}
}
