package validator

import (
	"fmt"
	"slices"

	w "github.com/masticlead/masticlead/workload"
)

// Diff describes in words what changes from one configuration to the next, in the order
// of the sections. API keys are counted, not shown.
func Diff(old, next *w.Config) []string {
	var out []string
	say := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if next.Version <= old.Version {
		say("the version goes from %d to %d: instances ignore a version that is not higher", old.Version, next.Version)
	}
	if old.RequiresKeys != next.RequiresKeys {
		say("API keys are required: %t, now %t", old.RequiresKeys, next.RequiresKeys)
	}
	diffByName(old.Queues, next.Queues, func(q *w.Queue) string { return "route " + q.Name }, say, func(a, b *w.Queue, name string) {
		for _, f := range queueFields(a, b) {
			if f.old != f.next {
				say("%s: %s %v, now %v", name, f.name, f.old, f.next)
			}
		}
	})
	diffByName(old.Services, next.Services, func(s *w.Service) string { return "service " + s.Name }, say, func(a, b *w.Service, name string) {
		if *a != *b {
			say("%s: admission control %t, now %t; headroom %t, now %t", name, a.AdmissionControl, b.AdmissionControl, a.Headroom, b.Headroom)
		}
	})
	diffByName(old.Tenants, next.Tenants, func(t *w.Tenant) string { return "tenant " + string(t.Name) }, say, func(a, b *w.Tenant, name string) {
		removed, added := missingKeys(a.Keys, b.Keys), missingKeys(b.Keys, a.Keys)
		if removed+added > 0 {
			say("%s: %d API keys removed, %d added", name, removed, added)
		}
		if a.Weight != b.Weight {
			say("%s: weight %g, now %g", name, a.Weight, b.Weight)
		}
		if a.Cap != b.Cap {
			say("%s: cap %v, now %v", name, a.Cap, b.Cap)
		}
	})
	return out
}

// diffByName reports the entries that were added or removed, and calls changed for those
// in both lists.
func diffByName[T any](old, next []T, name func(*T) string, say func(string, ...any), changed func(a, b *T, name string)) {
	known := make(map[string]*T, len(old))
	for i := range old {
		if n := name(&old[i]); known[n] == nil {
			known[n] = &old[i]
		}
	}
	kept := make(map[string]bool, len(next))
	for i := range next {
		n := name(&next[i])
		if kept[n] {
			continue
		}
		kept[n] = true
		if before := known[n]; before == nil {
			say("%s: added", n)
		} else {
			changed(before, &next[i], n)
		}
	}
	var removed []string
	for n := range known {
		if !kept[n] {
			removed = append(removed, n)
		}
	}
	slices.Sort(removed)
	for _, n := range removed {
		say("%s: removed", n)
	}
}

// fieldChange is the value of a field before and after.
type fieldChange struct {
	name      string
	old, next any
}

func queueFields(a, b *w.Queue) []fieldChange {
	fields := []fieldChange{
		{"host", a.Host, b.Host},
		{"prefix", a.Prefix, b.Prefix},
		{"service", a.Service, b.Service},
		{"priority", a.Priority, b.Priority},
		{"attempts", a.Attempts, b.Attempts},
		{"stretch", a.Stretch, b.Stretch},
		{"latency goal", a.LatencyGoal, b.LatencyGoal},
		{"timeout", a.Timeout, b.Timeout},
		{"works without API key", a.AuthExempt, b.AuthExempt},
		{"asks for advice", a.Advice != nil, b.Advice != nil},
	}
	if a.Advice != nil && b.Advice != nil {
		fields = append(fields, fieldChange{"times of the advice service", *a.Advice, *b.Advice})
	}
	return fields
}

// missingKeys returns the number of keys of a that are not in b.
func missingKeys(a, b []w.KeyDigest) int {
	known := make(map[w.KeyDigest]bool, len(b))
	for _, k := range b {
		known[k] = true
	}
	n := 0
	for _, k := range a {
		if !known[k] {
			n++
		}
	}
	return n
}
