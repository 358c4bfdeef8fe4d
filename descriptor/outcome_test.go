package descriptor

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRefusalNeedsUnstartedWork guards against a refusal of work that may have
// started: the token of started work has no Refuse method, and a spent token
// can't be used again.
func TestRefusalNeedsUnstartedWork(t *testing.T) {
	u := NewUnstarted()
	s := u.Start()
	require.Panics(t, func() { u.Refuse(Refusal{Reason: ReasonQueueFull}) })
	require.Panics(t, func() { s.NotRun(0) })

	again := s.NotRun(RejectedByTarget)
	require.Panics(t, func() { s.Complete(Run{}) })
	o := again.Refuse(Refusal{Reason: ReasonTargetsRejected, RetryAfter: time.Second})
	require.Equal(t, Refused, o.Kind())
}

// TestOutcomeSurvivesEncoding guards against an outcome that changes its
// meaning on the way from the owner to the instance that answers the caller.
func TestOutcomeSurvivesEncoding(t *testing.T) {
	outcomes := []Outcome{
		NewUnstarted().Refuse(Refusal{Reason: ReasonDeadlineUnmet, RetryAfter: 250 * time.Millisecond, Detail: "busy"}),
		NewUnstarted().Cancel(),
		NewUnstarted().Start().Complete(Run{Target: "t1", Wait: time.Millisecond, Run: time.Second, Result: json.RawMessage(`{"a":1}`)}),
		NewUnstarted().Start().Lose(Run{Target: "t2"}),
	}
	for _, o := range outcomes {
		b, err := json.Marshal(o)
		require.NoError(t, err)
		var got Outcome
		require.NoError(t, json.Unmarshal(b, &got))
		require.Equal(t, o, got)
	}
}
