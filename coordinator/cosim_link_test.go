package coordinator_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/masticlead/masticlead/coordinator"
	"github.com/masticlead/masticlead/executor"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// simHost is the process of an instance and its link to the host of the leader.
type simHost struct {
	c           *cosim
	index       int
	zone        string
	name        w.InstanceID
	pausedUntil time.Time
	links       [2]simLink // to and from the leader
	conn        *simEnd    // end at the instance, nil while it is disconnected
	leaving     bool
	downUntil   time.Time // the process was killed and restarts then
	starts      int
}

// simLink is one direction of a link.
type simLink struct {
	stalledUntil time.Time
	lagFrom      time.Time // a narrow link delays its bytes more and more
	lagUntil     time.Time
	lagRate      float64
}

// waitPause blocks while the process is paused.
func (h *simHost) waitPause() {
	for {
		h.c.mu.Lock()
		d := time.Until(h.pausedUntil)
		h.c.mu.Unlock()
		if d <= 0 {
			return
		}
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
	host  *simHost // process at this end
	link  *simLink // outgoing
	queue chan simItem
	wire  chan simItem
	in    chan simItem
	peer  *simEnd
	done  chan struct{}
	once  sync.Once
}

func newSimConn(h, leader *simHost) (instance, lead *simEnd) {
	make1 := func(host *simHost, link *simLink) *simEnd {
		return &simEnd{host: host, link: link, queue: make(chan simItem, 1024), wire: make(chan simItem, 1<<14), in: make(chan simItem), done: make(chan struct{})}
	}
	instance, lead = make1(h, &h.links[0]), make1(leader, &h.links[1])
	instance.peer, lead.peer = lead, instance
	for _, e := range [...]*simEnd{instance, lead} {
		go e.write()
		go e.carry()
	}
	return instance, lead
}

func (e *simEnd) send(f *linker.Frame) {
	select {
	case e.queue <- simItem{f, time.Now()}:
	case <-e.done:
	default:
		e.close()
	}
}

func (e *simEnd) close() { e.once.Do(func() { close(e.done) }) }

// write passes frames and heartbeats to the link, as linker.Conn does.
func (e *simEnd) write() {
	defer func() {
		e.close()
		e.wire <- simItem{}
	}()
	tick := time.NewTicker(linker.HeartbeatInterval)
	defer tick.Stop()
	for {
		it := simItem{new(linker.Frame), time.Time{}}
		select {
		case it = <-e.queue:
		case <-tick.C:
		case <-e.done:
			return
		}
		e.host.waitPause()
		if !it.since.IsZero() && time.Since(it.since) > 2*time.Second {
			return
		}
		it.since = time.Now()
		e.wire <- it
	}
}

// carry delivers what was written in order.
func (e *simEnd) carry() {
	for it := range e.wire {
		for {
			c := e.host.c
			c.mu.Lock()
			at := it.since.Add(500 * time.Microsecond)
			if l := e.link; time.Now().Before(l.lagUntil) && it.since.After(l.lagFrom) {
				at = at.Add(min(*cosimLag, time.Duration(l.lagRate*float64(it.since.Sub(l.lagFrom)))))
			}
			if e.link.stalledUntil.After(at) {
				at = e.link.stalledUntil
			}
			c.mu.Unlock()
			d := time.Until(at)
			if d <= 0 {
				break
			}
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
func (e *simEnd) receive(handle func(*linker.Frame)) string {
	defer e.close()
	for {
		start := time.Now()
		timer := time.NewTimer(linker.HeartbeatTimeout)
		select {
		case it := <-e.in:
			timer.Stop()
			e.host.waitPause()
			if it.frame == nil {
				return "closed"
			}
			handle(it.frame)
		case <-timer.C:
			e.host.waitPause()
			// After a pause, data that has arrived may be read before the deadline counts.
			if time.Since(start) > linker.HeartbeatTimeout+50*time.Millisecond && e.host.c.random(2) == 0 {
				continue
			}
			return "silent"
		case <-e.done:
			timer.Stop()
			return "closed here"
		}
	}
}

// follow keeps a connection to the leader open and carries out its orders, as
// Instance.serveLeader does.
func (h *simHost) follow() {
	c := h.c
	for !c.stopped() {
		c.mu.Lock()
		stalled := time.Now().Before(h.downUntil) || time.Now().Before(h.links[0].stalledUntil) || time.Now().Before(h.links[1].stalledUntil)
		c.mu.Unlock()
		if stalled {
			time.Sleep(linker.HeartbeatTimeout / 2)
		} else {
			h.serve()
		}
		time.Sleep(time.Duration(60+c.random(200)) * time.Millisecond)
	}
}

func (h *simHost) serve() {
	c := h.c
	h.waitPause()
	c.mu.Lock()
	name := h.name
	c.mu.Unlock()
	conn, lead := newSimConn(h, c.hosts[0])
	go c.leader.serveConn(lead)
	c.mu.Lock()
	h.conn = conn
	c.mu.Unlock()
	if c.stopped() {
		conn.close()
	}
	e := &executor.Executor{TargetClient: simClient{c, h}, Log: slog.New(slog.DiscardHandler), Send: conn.send}
	e.Run()
	conn.send(&linker.Frame{Hello: &linker.Hello{Instance: name, Zone: h.zone, Strength: 1}})
	go func() {
		for {
			select {
			case <-time.After(500 * time.Millisecond):
				c.mu.Lock()
				leaving := h.leaving
				c.mu.Unlock()
				conn.send(&linker.Frame{Status: &linker.Status{Leaving: leaving}})
			case <-conn.done:
				return
			}
		}
	}()
	joined := false
	reason := conn.receive(func(f *linker.Frame) {
		joined = joined || f.Hello != nil
		if joined {
			e.Receive(f)
		}
	})
	e.Close()
	c.mu.Lock()
	h.conn = nil
	c.logf("instance %s: connection to the leader ended: %s", name, reason)
	c.mu.Unlock()
}

// simLeader drives the coordinator, as the leader of package instance does.
type simLeader struct {
	c           *cosim
	host        *simHost
	ctx         context.Context
	cancel      context.CancelFunc
	events      chan func(*coordinator.Coordinator)
	coordinator *coordinator.Coordinator
	conns       map[w.InstanceID]*simEnd // latest connections, guarded by cosim.mu
	memberConns map[w.InstanceID]*simEnd
	heldUntil   time.Time // events are not processed until then
	slowUntil   time.Time // the store is slow until then
}

func (l *simLeader) post(f func(*coordinator.Coordinator)) {
	select {
	case l.events <- f:
	case <-l.ctx.Done():
	}
}

func (l *simLeader) serveConn(e *simEnd) {
	var id w.InstanceID
	reason := e.receive(func(f *linker.Frame) {
		if f.Hello != nil {
			id = f.Hello.Instance
			e.send(&linker.Frame{Hello: &linker.Hello{Instance: "leader", Leads: true}})
			l.c.mu.Lock()
			old := l.conns[id]
			l.conns[id] = e
			l.c.mu.Unlock()
			if old != nil {
				old.close()
			}
			l.post(func(c *coordinator.Coordinator) {
				l.memberConns[id] = e
				c.Join(f.Hello)
			})
		}
		if id == "" {
			return
		}
		l.post(func(c *coordinator.Coordinator) {
			if l.memberConns[id] == e {
				l.logFrame(id, f)
				c.Receive(id, f, time.Now())
			}
		})
	})
	l.c.mu.Lock()
	l.c.logf("leader: connection of %s ended: %s", id, reason)
	l.c.mu.Unlock()
	l.post(func(c *coordinator.Coordinator) {
		if l.memberConns[id] == e {
			delete(l.memberConns, id)
			c.Leave(id)
		}
	})
}

func (l *simLeader) logFrame(id w.InstanceID, f *linker.Frame) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	for _, r := range f.Results {
		l.c.logf("leader: result from %s: %v run %d on %s: %v, unanswered %v", id, r.Task, r.Run, r.Target, r.Outcome, r.Unanswered)
	}
	for i := range f.Reports {
		if r := &f.Reports[i]; r.Unreachable || r.Gone {
			l.c.logf("leader: report from %s: target %s unreachable %v gone %v", id, r.Target, r.Unreachable, r.Gone)
		}
	}
}

// run makes the decisions, as leader.decide does.
func (l *simLeader) run() {
	const minInterval, maxInterval = 4 * time.Millisecond, 25 * time.Millisecond
	saved := make(chan *coordinator.Batch, 1)
	tick := time.NewTicker(maxInterval)
	defer tick.Stop()
	inFlight := false
	for l.ctx.Err() == nil {
		select {
		case f := <-l.events:
			f(l.coordinator)
		case <-tick.C:
		case b := <-saved:
			inFlight = false
			l.coordinator.Stored(b)
		case <-l.ctx.Done():
			return
		}
		time.Sleep(minInterval)
		l.c.mu.Lock()
		held, storeDelay := time.Until(l.heldUntil), time.Duration(5+l.c.rng.IntN(15))*time.Millisecond
		if time.Now().Before(l.slowUntil) {
			storeDelay = time.Duration(l.c.rng.IntN(3000)) * time.Millisecond
		}
		l.c.mu.Unlock()
		time.Sleep(held)
		l.host.waitPause()
		for more := true; more; {
			select {
			case f := <-l.events:
				f(l.coordinator)
			default:
				more = false
			}
		}
		l.coordinator.Advance(time.Now())
		if !inFlight {
			if b := l.coordinator.Flush(); b != nil {
				if b.Empty() {
					l.coordinator.Stored(b)
				} else {
					inFlight = true
					time.AfterFunc(storeDelay, func() { saved <- b })
				}
			}
		}
		for id, f := range l.coordinator.Frames() {
			l.logOrders(id, f)
			if e := l.memberConns[id]; e != nil {
				for _, part := range f.Split() {
					e.send(part)
				}
			}
		}
	}
}

func (l *simLeader) logOrders(id w.InstanceID, f *linker.Frame) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	for _, s := range f.Starts {
		l.c.logf("leader: start by %s: %v run %d on %s", id, s.Task, s.Run, s.Target)
	}
	for _, s := range f.Stops {
		l.c.logf("leader: stop by %s: %v run %d on %s", id, s.Task, s.Run, s.Target)
	}
	if f.Assign != nil {
		list := ""
		for _, t := range f.Assign.Targets {
			list += fmt.Sprintf(" %s@%d", t.ID, t.Incarnation%1_000_000)
		}
		l.c.logf("leader: assigns to %s:%s", id, list)
	}
}

// pollTargets passes the list of targets to the coordinator.
func (l *simLeader) pollTargets() {
	for l.ctx.Err() == nil {
		l.c.mu.Lock()
		var list []w.Target
		for id, r := range l.c.rows {
			if time.Since(r.seen) > 3*time.Second {
				delete(l.c.rows, id)
				continue
			}
			list = append(list, r.target)
		}
		slow := time.Now().Before(l.slowUntil)
		l.c.mu.Unlock()
		d := time.Duration(5+l.c.random(50)) * time.Millisecond
		if slow {
			d = time.Duration(l.c.random(2000)) * time.Millisecond
		}
		time.Sleep(d)
		l.post(func(c *coordinator.Coordinator) { c.SetTargets(list, true, time.Now()) })
		time.Sleep(time.Second)
	}
}
