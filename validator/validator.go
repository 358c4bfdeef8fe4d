// Package validator finds faults in a configuration: values that are out of range,
// entries that can never take effect, and limits that contradict each other. The command
// line uses it before a configuration is stored, and instances when they load one.
package validator

import (
	"fmt"
	"strings"

	w "github.com/masticlead/masticlead/workload"
)

// Kind classifies a finding.
//
//go:generate go tool stringer -type=Kind -linecomment
type Kind uint8

// Kinds of findings.
const (
	Invalid       Kind = iota // invalid
	Unreachable               // unreachable
	Contradictory             // contradictory
)

// Section is the part of a configuration that a finding is about.
//
//go:generate go tool stringer -type=Section -linecomment
type Section uint8

// Sections of a configuration.
const (
	General  Section = iota // configuration
	Queues                  // route
	Services                // service
	Tenants                 // tenant
)

// Place locates a finding in a configuration. Index and Key are -1 where they do not
// apply.
type Place struct {
	Section Section
	Index   int
	Name    string
	Field   string // name of the field in workload.Queue, workload.Service or workload.Tenant, or ""
	Key     int    // position of an API key
}

// String names the place for people. Keys are named by their position.
func (p Place) String() string {
	var b strings.Builder
	b.WriteString(p.Section.String())
	if p.Index >= 0 {
		fmt.Fprintf(&b, " %d", p.Index)
	}
	if p.Name != "" {
		fmt.Fprintf(&b, " (%s)", p.Name)
	}
	if p.Key >= 0 {
		fmt.Fprintf(&b, ", key %d", p.Key)
	}
	return b.String()
}

// Finding is a fault in a configuration.
type Finding struct {
	Kind    Kind
	Place   Place
	Message string
}

// String returns the finding in one line.
func (f Finding) String() string { return f.Place.String() + ": " + f.Message }

// Validator checks configurations. The zero value checks a configuration by itself.
type Validator struct {
	// Targets are the targets of the cell. Without them, nothing is compared with the
	// capacity of the cell.
	Targets []w.Target
	// LargestTask is the size of the largest task that tenants are expected to run, or
	// zero to skip the comparison with their caps.
	LargestTask w.Resources
}

// Validate returns all findings, in the order of the configuration's sections.
func (v *Validator) Validate(cfg *w.Config) []Finding {
	c := &checker{Validator: v, cfg: cfg}
	if cfg.Version <= 0 {
		c.add(Invalid, Place{Section: General, Index: -1, Field: "Version", Key: -1}, "the version is %d, not a positive number", cfg.Version)
	}
	c.checkQueues()
	c.checkServices()
	c.checkTenants()
	return c.findings
}

type checker struct {
	*Validator
	cfg      *w.Config
	findings []Finding
}

func (c *checker) add(k Kind, p Place, format string, args ...any) {
	c.findings = append(c.findings, Finding{k, p, fmt.Sprintf(format, args...)})
}

func (c *checker) checkQueues() {
	names := make(map[string]int)
	routes := make(map[[2]string]int)
	services := make(map[string]bool)
	for _, s := range c.cfg.Services {
		services[s.Name] = true
	}
	for i := range c.cfg.Queues {
		q := &c.cfg.Queues[i]
		at := func(field string) Place { return Place{Queues, i, q.Name, field, -1} }
		if first, ok := names[q.Name]; ok {
			c.add(Unreachable, at("Name"), "route %d has the same name, and only that one is used for its jobs", first)
		} else {
			names[q.Name] = i
		}
		if first, ok := routes[[2]string{q.Host, q.Prefix}]; ok {
			c.add(Unreachable, at("Prefix"), "no request reaches it: route %d has the same host and prefix", first)
		} else {
			routes[[2]string{q.Host, q.Prefix}] = i
		}
		switch {
		case q.Host == "":
			c.add(Unreachable, at("Host"), "no request reaches it: it has no host")
		case q.Prefix != "" && !strings.HasPrefix(q.Prefix, "/"):
			c.add(Unreachable, at("Prefix"), "no request reaches it: its prefix %q does not begin with a slash", q.Prefix)
		}
		if !services[q.Service] {
			c.add(Unreachable, at("Service"), "its tasks never run: there is no service %q", q.Service)
		}
		c.checkQueueLimits(q, at)
	}
}

func (c *checker) checkQueueLimits(q *w.Queue, at func(string) Place) {
	if q.Attempts < 0 {
		c.add(Invalid, at("Attempts"), "the number of attempts is %d", q.Attempts)
	}
	if q.Stretch < 0 || q.LatencyGoal < 0 {
		c.add(Invalid, at("Stretch"), "the goal of %g times the run time and %v is negative", q.Stretch, q.LatencyGoal)
	}
	if q.Timeout < 0 {
		c.add(Invalid, at("Timeout"), "the timeout %v is negative", q.Timeout)
	}
	a := q.Advice
	if a == nil {
		return
	}
	call := a.BaseLatency + a.LatencyPerTarget
	switch {
	case a.BaseLatency < 0 || a.LatencyPerTarget < 0 || a.TicketValidity < 0:
		c.add(Invalid, at("Advice"), "a time of the advice service is negative")
	case a.TicketValidity <= 0:
		c.add(Contradictory, at("Advice"), "its tasks never run: tickets are valid for %v", a.TicketValidity)
	case q.Timeout > 0 && q.Timeout < call:
		c.add(Contradictory, at("Timeout"), "the timeout %v is below the %v that a call to the advice service takes", q.Timeout, call)
	case q.LatencyGoal > 0 && q.LatencyGoal < call && q.Stretch <= 1:
		c.add(Contradictory, at("LatencyGoal"), "no job meets the goal of %v: a call to the advice service takes %v", q.LatencyGoal, call)
	}
}

func (c *checker) checkServices() {
	names := make(map[string]int)
	targets := make(map[string]int)
	for i := range c.Targets {
		targets[c.Targets[i].Service]++
	}
	for i, s := range c.cfg.Services {
		at := Place{Services, i, s.Name, "Name", -1}
		if first, ok := names[s.Name]; ok {
			c.add(Unreachable, at, "service %d has the same name", first)
			continue
		}
		names[s.Name] = i
		if len(c.Targets) > 0 && targets[s.Name] == 0 && !s.Headroom {
			c.add(Unreachable, at, "its tasks never run: no target belongs to it")
		}
	}
}

func (c *checker) checkTenants() {
	names := make(map[w.TenantName]int)
	owners := make(map[w.KeyDigest]Place)
	var room w.Resources
	for i := range c.Targets {
		room = room.Add(c.Targets[i].Capacity)
	}
	for i := range c.cfg.Tenants {
		t := &c.cfg.Tenants[i]
		at := func(field string, key int) Place { return Place{Tenants, i, string(t.Name), field, key} }
		switch first, ok := names[t.Name]; {
		case t.Name == "":
			c.add(Invalid, at("Name", -1), "it has no name")
		case ok:
			c.add(Unreachable, at("Name", -1), "tenant %d has the same name, and its weight and cap are the ones in force", first)
		default:
			names[t.Name] = i
		}
		if len(t.Keys) == 0 {
			c.add(Unreachable, at("Keys", -1), "no request reaches it: it has no API key")
		}
		for k, key := range t.Keys {
			if key == (w.KeyDigest{}) {
				c.add(Invalid, at("Keys", k), "the key is empty, and no request can carry it")
				continue
			}
			if first, ok := owners[key]; ok {
				c.add(Contradictory, at("Keys", k), "the same key stands at %s, which it belongs to", first)
				continue
			}
			owners[key] = at("Keys", k)
		}
		if !(t.Weight > 0) {
			c.add(Invalid, at("Weight", -1), "the weight %g is not positive: the tenant is entitled to no rate", t.Weight)
		}
		c.checkCap(t.Cap, room, at("Cap", -1))
	}
}

// checkCap compares a cap with the largest task and the capacity of the cell.
func (c *checker) checkCap(limit, room w.Resources, at Place) {
	for _, d := range [...]struct {
		name             string
		cap, task, cells int64
	}{
		{"cpu", limit.CPU, c.LargestTask.CPU, room.CPU},
		{"memory", limit.Mem, c.LargestTask.Mem, room.Mem},
		{"gpu", limit.GPU, c.LargestTask.GPU, room.GPU},
	} {
		switch {
		case d.cap < 0:
			c.add(Invalid, at, "the %s cap %d is negative", d.name, d.cap)
		case d.cap == 0:
		case d.cap < d.task:
			c.add(Contradictory, at, "the %s cap %d is below one task of %d", d.name, d.cap, d.task)
		case len(c.Targets) > 0 && d.cap > d.cells:
			c.add(Contradictory, at, "the %s cap %d limits nothing: all targets together have %d", d.name, d.cap, d.cells)
		}
	}
}
