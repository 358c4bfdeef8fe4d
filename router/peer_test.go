package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// TestLateRefusal guards against a caller that is told that its request was not
// run, by a refusal of an earlier attempt that arrives after a later attempt was
// accepted (P4).
func TestLateRefusal(t *testing.T) {
	key := descriptor.Key{Caller: "stylist-1", ID: "r1"}
	refused := descriptor.NewUnstarted().Refuse(descriptor.Refusal{Reason: descriptor.ReasonStoreUnavailable})
	completed := descriptor.NewUnstarted().Start().Complete(descriptor.Run{})
	for _, c := range []struct {
		name      string
		outcome   descriptor.Outcome
		early     bool // arrives before the second attempt, and is not taken
		first     bool // is the outcome of the first attempt
		delivered bool
	}{
		{"late refusal of the first attempt", refused, false, true, false},
		{"early refusal of the first attempt", refused, true, true, false},
		{"refusal of the second attempt", refused, false, false, true},
		{"late completion of the first attempt", completed, false, true, true},
		{"early completion of the first attempt", completed, true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := waiters{byKey: map[descriptor.Key][]*waiter{}}
			v, unregister := w.register(key)
			defer unregister()
			attempt := w.begin(v)
			if c.early {
				w.deliver(KeyedOutcome{key, c.outcome, attempt})
			}
			second := w.begin(v)
			if !c.first {
				attempt = second
			}
			if !c.early {
				w.deliver(KeyedOutcome{key, c.outcome, attempt})
			}
			require.Equal(t, c.delivered, len(v.ch) == 1)
		})
	}
}
