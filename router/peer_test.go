package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// TestLateRefusal guards against reporting to a caller that its request was not run
// although it was (property P4 of docs/design.md). This happens if a refusal of an
// earlier attempt arrives after a later attempt has been accepted.
func TestLateRefusal(t *testing.T) {
	key := descriptor.Key{Caller: "stylist-1", ID: "r1"}
	refused := descriptor.NewUnstarted().Refuse(descriptor.Refusal{Reason: descriptor.ReasonStoreUnavailable})
	completed := descriptor.NewUnstarted().Start().Complete(descriptor.Run{})
	for _, c := range []struct {
		name         string
		outcome      descriptor.Outcome
		early        bool // arrives before the second attempt begins and is still unread
		firstAttempt bool // belongs to the first attempt
		delivered    bool
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
			attempt := w.beginAttempt(v)
			if c.early {
				w.deliver(KeyedOutcome{key, c.outcome, attempt})
			}
			second := w.beginAttempt(v)
			if !c.firstAttempt {
				attempt = second
			}
			if !c.early {
				w.deliver(KeyedOutcome{key, c.outcome, attempt})
			}
			require.Equal(t, c.delivered, len(v.ch) == 1)
		})
	}
}
