package coordinator_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	w "github.com/masticlead/masticlead/workload"
)

func simFaultNames() []string { return slices.Sorted(maps.Keys(cosimFaultKinds)) }

// cosimFaultKinds inject one fault each.
var cosimFaultKinds = map[string]func(*cosim){
	"silent": func(c *cosim) {
		for _, m := range c.pickMachines() {
			c.silence(m, c.between(300, 12000))
		}
	},
	"cut": func(c *cosim) {
		c.mu.Lock()
		defer c.mu.Unlock()
		zone, until := fmt.Sprint("z", c.rng.IntN(3)), time.Now().Add(c.duration(300, 15000))
		c.logf("fault: zone %s is cut off until %.3f", zone, until.Sub(c.begin).Seconds())
		for _, h := range c.hosts {
			for _, m := range c.machines {
				if m.zone == zone && h.zone != zone {
					c.cuts[simPath{h.index, m.index}] = until
				}
			}
		}
	},
	"cutsome": func(c *cosim) {
		c.mu.Lock()
		defer c.mu.Unlock()
		until := time.Now().Add(c.duration(300, 15000))
		for range 1 + c.rng.IntN(8) {
			h, m := c.rng.IntN(len(c.hosts)), c.rng.IntN(len(c.machines))
			c.cuts[simPath{h, m}] = until
			c.logf("fault: i%d can't reach m%d until %.3f", h, m, until.Sub(c.begin).Seconds())
		}
	},
	"rebirth": func(c *cosim) {
		for _, m := range c.pickMachines() {
			c.crash(m, true, c.between(0, []int{200, 1000, 4000}[c.random(3)]))
		}
	},
	"replace": func(c *cosim) {
		for _, m := range c.pickMachines() {
			c.crash(m, false, c.between(300, 5000))
		}
	},
	"loss": func(c *cosim) {
		for _, m := range c.pickMachines() {
			c.until(&m.lossUntil, m, "loses packets", 1000, 8000)
		}
	},
	"shed": func(c *cosim) {
		for _, m := range c.pickMachines() {
			c.until(&m.shedUntil, m, "rejects requests", 500, 5000)
		}
	},
	"slow": func(c *cosim) {
		for _, m := range c.pickMachines() {
			c.until(&m.slowUntil, m, "is slow", 500, 8000)
		}
	},
	"stall": func(c *cosim) {
		for _, m := range c.pickMachines() {
			c.stallRuns(m, c.between(1000, 8000))
		}
	},
	"drain": func(c *cosim) {
		m := c.pickMachines()[0]
		c.mu.Lock()
		defer c.mu.Unlock()
		p := m.process
		if p == nil || p.draining {
			return
		}
		p.draining = true
		c.logf("fault: target %s drains", p.id)
		c.rows[p.id] = simRow{p.row(), time.Now()}
		c.after(c.duration(4000, 9000), func() {
			if m.process == p {
				c.kill(p)
				c.reboot(m, c.rng.IntN(2) == 0, c.duration(300, 3000), p)
			}
		})
	},
	"linkstall": func(c *cosim) {
		h := c.pickHost()
		c.mu.Lock()
		defer c.mu.Unlock()
		until := time.Now().Add(c.duration(200, 5000))
		for i := range h.links {
			if c.rng.IntN(2) == 0 {
				h.links[i].stalledUntil = until
				c.logf("fault: link %d of %s is stalled until %.3f", i, h.name, until.Sub(c.begin).Seconds())
			}
		}
	},
	"lagto":   func(c *cosim) { c.narrow(0) },
	"lagfrom": func(c *cosim) { c.narrow(1) },
	"linkclose": func(c *cosim) {
		h := c.pickHost()
		c.mu.Lock()
		defer c.mu.Unlock()
		if h.conn != nil {
			c.logf("fault: connection of %s is closed", h.name)
			h.conn.close()
		}
	},
	"kill": func(c *cosim) {
		h := c.pickHost()
		c.mu.Lock()
		defer c.mu.Unlock()
		h.starts++
		h.name, h.downUntil = w.InstanceID(fmt.Sprintf("i%d-%d", h.index, h.starts)), time.Now().Add(c.duration(300, 4000))
		c.logf("fault: i%d is killed and restarts as %s at %.3f", h.index, h.name, h.downUntil.Sub(c.begin).Seconds())
		if h.conn != nil {
			h.conn.close()
		}
	},
	"deadly": nil,
	"pause": func(c *cosim) {
		h := c.pickHost()
		c.mu.Lock()
		defer c.mu.Unlock()
		h.pausedUntil = time.Now().Add(c.duration(100, 4000))
		c.logf("fault: %s is paused until %.3f", h.name, h.pausedUntil.Sub(c.begin).Seconds())
	},
	"leaving": func(c *cosim) {
		h := c.pickHost()
		c.mu.Lock()
		defer c.mu.Unlock()
		h.leaving = true
		c.after(c.duration(500, 4000), func() {
			h.leaving = false
			if h.conn != nil {
				h.conn.close()
			}
		})
	},
	"leaderpause": func(c *cosim) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.hosts[0].pausedUntil = time.Now().Add(c.duration(100, 1000))
		c.logf("fault: leader is paused until %.3f", c.hosts[0].pausedUntil.Sub(c.begin).Seconds())
	},
	"heldup": func(c *cosim) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.leader.heldUntil = time.Now().Add(c.duration(200, 8000))
		c.logf("fault: events are held up until %.3f", c.leader.heldUntil.Sub(c.begin).Seconds())
	},
	"store": func(c *cosim) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.leader.slowUntil = time.Now().Add(c.duration(500, 5000))
		c.logf("fault: store is slow until %.3f", c.leader.slowUntil.Sub(c.begin).Seconds())
	},
}

func (c *cosim) duration(minMs, maxMs int) time.Duration {
	return time.Duration(minMs+c.rng.IntN(maxMs-minMs)) * time.Millisecond
}

func (c *cosim) between(minMs, maxMs int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.duration(minMs, maxMs)
}

// pickMachines returns one or, for faults at the same instant, several machines.
func (c *cosim) pickMachines() []*simMachine {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 1
	if c.rng.IntN(3) == 0 {
		n += c.rng.IntN(len(c.machines) / 2)
	}
	var out []*simMachine
	for _, i := range c.rng.Perm(len(c.machines))[:n] {
		out = append(out, c.machines[i])
	}
	return out
}

func (c *cosim) pickHost() *simHost { return c.hosts[1+c.random(len(c.hosts)-1)] }

func (c *cosim) until(field *time.Time, m *simMachine, what string, minMs, maxMs int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*field = time.Now().Add(c.duration(minMs, maxMs))
	c.logf("fault: %s %s until %.3f", m.name, what, field.Sub(c.begin).Seconds())
}

// narrow delays the data on one direction of a link more and more.
func (c *cosim) narrow(direction int) {
	h := c.pickHost()
	c.mu.Lock()
	defer c.mu.Unlock()
	l := &h.links[direction]
	l.lagFrom, l.lagUntil, l.lagRate = time.Now(), time.Now().Add(c.duration(2000, 15000)), 0.2+2*c.rng.Float64()
	c.logf("fault: link %d of %s is narrow until %.3f", direction, h.name, l.lagUntil.Sub(c.begin).Seconds())
}

// silence makes a machine leave requests unanswered. Some are carried out when it ends.
func (c *cosim) silence(m *simMachine, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.silentUntil = time.Now().Add(d)
	c.logf("fault: %s is silent until %.3f", m.name, m.silentUntil.Sub(c.begin).Seconds())
	c.after(d, func() {
		held := m.heldRequests
		m.heldRequests = nil
		for _, f := range held {
			f()
		}
	})
}

// crash kills the process of a machine, which restarts after a time.
func (c *cosim) crash(m *simMachine, sameID bool, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := m.process
	if p == nil {
		return
	}
	m.refuses = c.rng.IntN(2) == 0
	c.kill(p)
	c.reboot(m, sameID, after, p)
}

func (c *cosim) reboot(m *simMachine, sameID bool, after time.Duration, p *simProcess) {
	c.after(after, func() {
		if m.process != nil || time.Since(p.bootedAt) < 2*time.Millisecond {
			return
		}
		id := p.id
		if !sameID {
			m.boots++
			id = w.TargetID(fmt.Sprintf("t%d-%d", m.index, m.boots))
		}
		c.boot(m, id)
	})
}

// stallRuns keeps the runs of a machine from making progress for a time.
func (c *cosim) stallRuns(m *simMachine, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.process == nil {
		return
	}
	c.logf("fault: runs on %s stall for %v", m.process.id, d)
	for _, r := range m.process.runs {
		if !time.Now().Before(r.frozenTo) {
			r.frozenFrom, r.frozenTo = time.Now(), time.Now().Add(d)
			r.frozen += d
		}
	}
}
