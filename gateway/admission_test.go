package gateway

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/authenticator"
	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// TestTenantRateRefused guards against excess that reaches the store, a job that is
// stored already and refused as new when its caller sends it again, a refusal of another
// tenant or of a route without keys, and a refusal without its reason in the log.
func TestTenantRateRefused(t *testing.T) {
	var log bytes.Buffer
	g := &Gateway{
		Keeper: &keeper.Keeper{Store: unresponsiveStore{}}, Log: slog.New(slog.NewTextHandler(&log, nil)),
		StoreFailingFor: func() time.Duration { return time.Second }, StoreUnreachableFor: func() time.Duration { return time.Second },
	}
	g.Init()
	g.Configure(&w.Config{Version: 7, RequiresKeys: true, Tenants: []w.Tenant{
		{Name: "hot", Weight: 1, Keys: []w.KeyDigest{sha256.Sum256([]byte("hot"))}}, {Name: "a", Weight: 1, Keys: []w.KeyDigest{sha256.Sum256([]byte("a"))}},
	}})
	// The store is unreachable and was probed just now, so that submissions that reach
	// it are refused with another reason.
	reason := func(tenant w.TenantName, id w.JobID) *RefusedError {
		g.lastProbe.Store(time.Now().UnixNano())
		q := &w.Queue{Name: "q", AuthExempt: tenant == ""}
		caller, err := g.Authenticate(t.Context(), g.Freshness.Snapshot(), q, id, authenticator.NewCredential(string(tenant)))
		require.NoError(t, err)
		var refused *RefusedError
		require.ErrorAs(t, g.Submit(WithCaller(t.Context(), caller), q, &w.Job{ID: id, Steps: []w.Step{{Count: 1}}}), &refused)
		return refused
	}
	require.Equal(t, "storeAway", reason("hot", "j0").Reason)
	g.Receive(&linker.Frame{States: []linker.JobState{{Job: "stored", State: w.Queued}}, Allowances: &linker.Allowances{
		Tenants: []linker.Allowance{{Tenant: "hot", JobsPerSec: 0.2}},
	}})
	require.Equal(t, "storeAway", reason("hot", "j1").Reason, "the bucket holds one job")
	refused := reason("hot", "j2")
	require.Equal(t, "tenantRate", refused.Reason)
	require.True(t, refused.Overload)
	require.Positive(t, refused.RetryAfter)
	require.Equal(t, []linker.Refusals{{Tenant: "hot", Jobs: 1}}, g.TakeRefusals())
	require.Regexp(t, `job=j2 .*reason=tenantRate configuration=7 configurationAge=\S+ tenant=hot retryAfter=`, log.String())
	require.Equal(t, "storeAway", reason("hot", "stored").Reason)
	require.Equal(t, "storeAway", reason("a", "j3").Reason)
	require.Equal(t, "storeAway", reason("", "j4").Reason)
	g.noteUnclear("unclear", keeper.ErrOutcomeUnknown)
	require.Equal(t, "storeAway", reason("hot", "unclear").Reason, "the job may be stored")
	g.Receive(&linker.Frame{Allowances: &linker.Allowances{}})
	require.Equal(t, "storeAway", reason("hot", "j5").Reason)
}

// TestCrashingQueueRefused guards against jobs that wait although more of their queue wait
// than can be tried, a job that is stored already and refused as new, and a refusal of
// another queue.
func TestCrashingQueueRefused(t *testing.T) {
	g := &Gateway{
		Keeper: &keeper.Keeper{Store: unresponsiveStore{}}, Log: slog.New(slog.DiscardHandler),
		StoreFailingFor: func() time.Duration { return time.Second }, StoreUnreachableFor: func() time.Duration { return time.Second },
	}
	g.Init()
	g.Configure(&w.Config{Version: 1})
	reason := func(queue string, id w.JobID) string {
		g.lastProbe.Store(time.Now().UnixNano())
		var refused *RefusedError
		require.ErrorAs(t, g.Submit(t.Context(), &w.Queue{Name: queue}, &w.Job{ID: id, Steps: []w.Step{{Count: 1}}}), &refused)
		require.Positive(t, refused.RetryAfter)
		return refused.Reason
	}
	g.Receive(&linker.Frame{States: []linker.JobState{{Job: "stored", State: w.Queued}}, Allowances: &linker.Allowances{
		Queues: []linker.QueueAllowance{{Queue: "bad", JobsPerSec: 0.2}},
	}})
	require.Equal(t, "storeAway", reason("bad", "j1"), "the bucket holds one job")
	require.Equal(t, "queueCrashes", reason("bad", "j2"))
	require.Equal(t, []linker.Refusals{{Queue: "bad", Jobs: 1}}, g.TakeRefusals())
	require.Equal(t, "storeAway", reason("bad", "stored"))
	require.Equal(t, "storeAway", reason("good", "j3"))
	g.Receive(&linker.Frame{Allowances: &linker.Allowances{}})
	require.Equal(t, "storeAway", reason("bad", "j4"))
}

// TestRepeatedSubmissionAfterJoin guards against a refusal that says that a job never runs,
// although it was accepted at another instance and ended before this one joined.
func TestRepeatedSubmissionAfterJoin(t *testing.T) {
	key := keeper.Key{Table: keeper.TableJobs, Name: "ended"}
	progress := keeper.Key{Table: keeper.TableProgress, Name: "ended"}
	s := &rowStore{rows: map[keeper.Key]keeper.Row{
		key:      {Key: key, Value: []byte(`{"z":true}`), Version: 1},
		progress: {Key: progress, Value: fmt.Appendf(nil, `{"s":%d}`, w.Completed), Version: 1},
	}}
	zero := func() time.Duration { return 0 }
	g := &Gateway{Keeper: &keeper.Keeper{Store: s}, Log: slog.New(slog.DiscardHandler), StoreFailingFor: zero, StoreUnreachableFor: zero}
	g.Init()
	g.Configure(&w.Config{Version: 1})
	submit := func(id w.JobID) error {
		return g.Submit(t.Context(), &w.Queue{Name: "bad"}, &w.Job{ID: id, Steps: []w.Step{{Count: 1}}})
	}
	g.Receive(&linker.Frame{Reset: true, Allowances: &linker.Allowances{Queues: []linker.QueueAllowance{{Queue: "bad", JobsPerSec: 0.01}}}})
	require.NoError(t, submit("first"))
	var refused *RefusedError
	require.ErrorAs(t, submit("second"), &refused)
	require.NoError(t, submit("ended"))
	scans := s.scans
	g.joinedAt = g.joinedAt.Add(-repetitionTime)
	require.ErrorAs(t, submit("third"), &refused)
	require.Equal(t, scans, s.scans, "refusals cost no reads later on")
}
