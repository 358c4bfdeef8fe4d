package instance

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/masticlead/masticlead/elector"
	"github.com/masticlead/masticlead/executor"
	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// relay asks the leader to make a call to the store.
func (in *Instance) relay(ctx context.Context, call *linker.Call) linker.CallReply {
	c := in.joined.Load()
	if c == nil || in.leader.Load() != nil {
		return linker.CallReply{Failed: true, NotDone: true}
	}
	ch := make(chan linker.CallReply, 1)
	in.callsMu.Lock()
	in.lastID++
	id := in.lastID
	in.calls[id] = ch
	in.callsMu.Unlock()
	defer func() {
		in.callsMu.Lock()
		delete(in.calls, id)
		in.callsMu.Unlock()
	}()
	sent := *call
	sent.ID = id
	c.Send(&linker.Frame{Calls: []linker.Call{sent}})
	select {
	case r := <-ch:
		return r
	case <-c.Done():
	case <-ctx.Done():
	}
	return linker.CallReply{Failed: true}
}

// answered hands the replies to relayed calls to those who wait for them.
func (in *Instance) answered(list []linker.CallReply) {
	in.callsMu.Lock()
	defer in.callsMu.Unlock()
	for _, r := range list {
		if ch := in.calls[r.ID]; ch != nil {
			ch <- r
			delete(in.calls, r.ID)
		}
	}
}

// accept takes connections of instances.
func (in *Instance) accept(ln net.Listener) {
	for in.ctx.Err() == nil {
		nc, err := ln.Accept()
		if err != nil {
			if in.ctx.Err() == nil {
				in.Log.Warn("accept failed", "error", err)
				in.pause(errorPause)
			}
			continue
		}
		in.spawn(func() { in.welcome(nc) })
	}
}

// welcome serves a connection of an instance. The first frame in each direction
// tells who speaks.
func (in *Instance) welcome(nc net.Conn) {
	c := linker.NewConn(nc)
	l := in.loadedLeader(c)
	c.Send(&linker.Frame{Hello: &linker.Hello{Instance: in.id, Zone: in.Zone, Strength: in.Strength, Leads: l != nil}})
	if l == nil {
		// The frame has to leave before the connection ends.
		in.pause(linker.HeartbeatInterval)
		c.Close()
		return
	}
	var peer w.InstanceID
	err := c.Receive(func(f *linker.Frame) {
		if f.Hello != nil {
			peer = f.Hello.Instance
			l.join(f.Hello, c)
		}
		if peer != "" {
			l.receive(peer, f)
		}
	})
	if peer != "" {
		l.leave(peer, c, err)
	}
}

// loadedLeader returns the leader that this instance is, or nil. While it still
// loads the cell, the connection waits: each new one costs both sides more than
// many frames.
func (in *Instance) loadedLeader(c *linker.Conn) *leader {
	const period = 20 * time.Millisecond
	for {
		l := in.leader.Load()
		in.electing.Lock()
		loading := l == nil && in.elector.Leader().Instance == in.id
		in.electing.Unlock()
		if !loading {
			return l
		}
		select {
		case <-c.Done():
			return nil
		case <-in.ctx.Done():
			return nil
		case <-time.After(period):
		}
	}
}

// follow keeps a connection to the leader.
func (in *Instance) follow() {
	const pause = 60 * time.Millisecond
	for in.ctx.Err() == nil {
		in.electing.Lock()
		lead := in.elector.Leader()
		in.electing.Unlock()
		if lead.Epoch == 0 {
			select {
			case <-in.news:
			case <-in.ctx.Done():
			}
			continue
		}
		if lead.Address == in.LinkAddr && lead.Instance != in.id {
			in.lost(lead, elector.Replaced)
		} else {
			in.lost(lead, in.attend(lead))
		}
		in.pause(pause)
	}
}

func (in *Instance) lost(lead keeper.Leadership, r elector.ConnResult) {
	in.electing.Lock()
	defer in.electing.Unlock()
	if in.elector.Leader().Epoch == lead.Epoch {
		in.elector.SetDisconnected(r, time.Now())
	}
}

// attend connects to a leader and works for it until the connection ends.
func (in *Instance) attend(lead keeper.Leadership) elector.ConnResult {
	d := net.Dialer{Timeout: linker.HeartbeatTimeout / 2, KeepAlive: -1}
	nc, err := d.DialContext(in.ctx, "tcp", lead.Address)
	if err != nil {
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			return elector.NoAnswer
		}
		return elector.Refused
	}
	c := linker.NewConn(nc)
	in.link.Store(c)
	if in.ctx.Err() != nil {
		// The stop of the instance may have looked for a link just before.
		c.Close()
	}
	e := &executor.Executor{Client: in.Caller, Log: in.Log, Send: c.Send}
	e.Run()
	c.Send(&linker.Frame{Hello: &linker.Hello{Instance: in.id, Zone: in.Zone, Strength: in.Strength}})
	reach := elector.NoAnswer
	joined := false
	stop := make(chan struct{})
	go in.sendStatus(c, stop)
	err = c.Receive(func(f *linker.Frame) {
		if f.Hello != nil {
			if f.Hello.Instance != lead.Instance {
				reach = elector.Replaced
				c.Close()
				return
			}
			if !f.Hello.Leads {
				return
			}
			joined = true
			in.joined.Store(c)
			in.electing.Lock()
			in.elector.SetConnected()
			in.electing.Unlock()
			in.cutSince.Store(0)
			in.Gateway.Connect(c)
		}
		if !joined {
			return
		}
		if f.Retire && !in.leaving.Load() {
			in.spawn(func() { in.takeOver(lead, "the leader hands over") })
		}
		in.answered(f.Replies)
		in.Gateway.Receive(f)
		e.Receive(f)
	})
	close(stop)
	in.cutSince.CompareAndSwap(0, time.Now().UnixNano())
	in.Gateway.Disconnect(c)
	in.link.CompareAndSwap(c, nil)
	in.joined.CompareAndSwap(c, nil)
	e.Close()
	in.Log.Info("connection to the leader ended", "leader", lead.Instance, "epoch", lead.Epoch, "joined", joined, "error", err)
	return reach
}

// sendStatus tells the leader how this instance is.
func (in *Instance) sendStatus(c *linker.Conn, stop chan struct{}) {
	const period = 500 * time.Millisecond
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.Send(&linker.Frame{Status: &linker.Status{StoreAge: in.Store.Failing(), Leaving: in.leaving.Load()}})
		case <-stop:
			return
		}
	}
}
