package instance

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/masticlead/masticlead/linker"
)

const (
	// maxPeers is the number of other instances that the leader names to an instance at a
	// time, and maxKnownPeers the number of those that it remembers.
	maxPeers      = 4
	maxKnownPeers = 8
	// peersInterval is the interval at which the leader names them anew.
	peersInterval = 2 * time.Second
	// peerFraction is the fraction of the largest useful age of the configuration at which
	// it is read through other instances as well. It is above confirmFraction, so that the
	// store and the leader are tried first.
	peerFraction = 0.3
	// peerCheckInterval is the interval at which an instance checks whether it needs a
	// connection to another one. After peerAttempts of them have failed, as while the store
	// is away for all, it waits for peerRetryDelay.
	peerCheckInterval = 100 * time.Millisecond
	peerAttempts      = 3
	peerRetryDelay    = 1 * time.Second
)

// sharePeers periodically sends each instance the addresses of some others. An instance
// that the store turns away can then read through them after this leader is gone.
func (l *leader) sharePeers() {
	for l.ctx.Err() == nil {
		l.in.sleep(peersInterval)
		type named struct {
			conn *linker.Conn
			addr string
		}
		var all []named
		l.mu.Lock()
		for id, conn := range l.conns {
			all = append(all, named{conn, l.addrs[id]})
		}
		l.mu.Unlock()
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		for i := range all {
			var peers []string
			for k := 1; k < len(all) && len(peers) < maxPeers; k++ {
				// Instances of earlier builds name no address.
				if addr := all[(i+k)%len(all)].addr; addr != "" {
					peers = append(peers, addr)
				}
			}
			if len(peers) > 0 {
				all[i].conn.Send(&linker.Frame{Peers: peers})
			}
		}
	}
}

// learnPeers adds instances that the leader has named to those that are known. A leader that
// is about to fail may name only those that fail with it, so earlier ones are kept.
func (in *Instance) learnPeers(named []string) {
	known := slices.Clone(named)
	if old := in.peers.Load(); old != nil {
		for _, addr := range *old {
			if !slices.Contains(known, addr) {
				known = append(known, addr)
			}
		}
	}
	known = known[:min(len(known), maxKnownPeers)]
	in.peers.Store(&known)
}

// followPeers keeps a connection to another instance open while the configuration can be
// read neither directly nor through the leader.
func (in *Instance) followPeers() {
	for in.ctx.Err() == nil {
		in.sleep(peerCheckInterval)
		peers := in.peers.Load()
		if peers == nil || !in.needsPeer() {
			continue
		}
		for _, i := range rand.Perm(len(*peers))[:min(peerAttempts, len(*peers))] {
			if in.ctx.Err() == nil && in.needsPeer() {
				in.followPeer((*peers)[i])
			}
		}
		in.sleep(peerRetryDelay)
	}
}

// needsPeer reports whether the store and the leader can't be reached and have not confirmed
// the configuration for too long.
func (in *Instance) needsPeer() bool {
	maxAge, s := in.maxConfigAge(), in.Gateway.Freshness.Snapshot()
	return maxAge > 0 && s != nil && !in.reachesStore() && in.Gateway.Freshness.OlderThan(s, fractionOf(maxAge, peerFraction))
}

// reachesStore reports whether calls reach the store directly or through the leader.
func (in *Instance) reachesStore() bool {
	return in.Store.FailingFor() == 0 || in.leaderRelays.Load()
}

// followPeer relays calls through another instance until one fails, or until they are not
// needed any more.
func (in *Instance) followPeer(addr string) {
	d := net.Dialer{Timeout: linker.HeartbeatTimeout / 2, KeepAlive: -1}
	nc, err := d.DialContext(in.ctx, "tcp", addr)
	if err != nil {
		in.Log.Debug("could not connect to another instance", "address", addr, "error", err)
		return
	}
	c := linker.NewConn(nc)
	in.peerConn.Store(c)
	defer in.peerConn.CompareAndSwap(c, nil)
	in.spawn(func() {
		ticker := time.NewTicker(peerCheckInterval)
		defer ticker.Stop()
		defer c.Close()
		for in.ctx.Err() == nil && !in.reachesStore() {
			select {
			case <-ticker.C:
			case <-c.Done():
				return
			}
		}
	})
	in.Meter.Count("peer", "connected")
	in.Log.Info("connected to another instance to reach the store", "address", addr, "storeFailingFor", in.Store.FailingFor())
	err = c.Receive(func(f *linker.Frame) {
		// Those that are known may all be turned away like this instance.
		in.learnPeers(slices.DeleteFunc(f.Peers, func(addr string) bool { return addr == in.LinkAddr }))
		in.deliverReplies(f.Replies)
	})
	in.Log.Info("connection to another instance closed", append([]any{"address", addr}, connAttrs(c, err)...)...)
}

// relayThroughPeer forwards a call to the store through another instance than the leader.
// An instance that fails is not used again until others have been tried.
func (in *Instance) relayThroughPeer(ctx context.Context, call *linker.Call) linker.CallReply {
	c := in.peerConn.Load()
	r := in.relayOver(ctx, c, call)
	if r.Failed && c != nil {
		c.Close()
	}
	return r
}
