package gateway

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/keeper"
	w "github.com/masticlead/masticlead/workload"
)

// TestRefusedUntried guards against callers who are asked to return sooner than
// the outage suggests when their job is refused without a try.
func TestRefusedUntried(t *testing.T) {
	g := &Gateway{
		Keeper: &keeper.Keeper{}, Log: slog.New(slog.DiscardHandler),
		StoreFailing: func() time.Duration { return 3 * time.Second },
		StoreAway:    func() time.Duration { return 1700 * time.Millisecond },
	}
	g.Init()
	g.probed.Store(time.Now().UnixNano())
	err := g.Submit(t.Context(), &w.Queue{Name: "q"}, &w.Job{ID: "j", Steps: []w.Step{{Count: 1}}})
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, "storeAway", refused.Reason)
	require.Equal(t, 3*time.Second, refused.RetryAfter)
}
