package descriptor

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRefusalRequiresUnstartedToken guards against refusing a request that may
// have started: Started has no Refuse method, and a consumed token panics when
// it is used again.
func TestRefusalRequiresUnstartedToken(t *testing.T) {
	u := NewUnstarted()
	s := u.Start()
	require.Panics(t, func() { u.Refuse(Refusal{Reason: ReasonQueueFull}) })
	require.Panics(t, func() { s.RevertToUnstarted(0) })

	reverted := s.RevertToUnstarted(RejectedByTarget)
	require.Panics(t, func() { s.Complete(Run{}) })
	o := reverted.Refuse(Refusal{Reason: ReasonTargetsRejected, RetryAfter: time.Second})
	require.Equal(t, Refused, o.Kind())
}

// TestOutcomeJSONRoundTrip guards against an outcome that changes when it is sent
// from the owner to the instance that responds to the caller.
func TestOutcomeJSONRoundTrip(t *testing.T) {
	outcomes := []Outcome{
		NewUnstarted().Refuse(Refusal{Reason: ReasonDeadlineUnmet, RetryAfter: 250 * time.Millisecond, Detail: "busy"}),
		NewUnstarted().Cancel(),
		NewUnstarted().Start().Complete(Run{Target: "t1", Wait: time.Millisecond, Run: time.Second, Result: json.RawMessage(`{"a":1}`)}),
		NewUnstarted().Start().EndUnknown(Run{Target: "t2"}),
	}
	for _, o := range outcomes {
		b, err := json.Marshal(o)
		require.NoError(t, err)
		var got Outcome
		require.NoError(t, json.Unmarshal(b, &got))
		require.Equal(t, o, got)
	}
}
