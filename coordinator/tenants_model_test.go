package coordinator

import (
	"context"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// config returns the newest configuration of the model.
func (m *model) config() *w.Config {
	cfg := &w.Config{Version: int64(max(1, len(m.caps))), Queues: []w.Queue{{Name: testQueue, Service: "s", Attempts: modelAttempts}, {Name: "low", Service: "s", Attempts: modelAttempts, Priority: 1}}}
	if m.caps != nil {
		cfg.Tenants = []w.Tenant{{Name: "t", Weight: 1, Cap: w.Resources{CPU: m.caps[len(m.caps)-1]}}}
	}
	return cfg
}

// changeCap stores a new configuration, which reaches the leaders at different times.
func (m *model) changeCap() {
	if len(m.caps) < 4 {
		m.caps = append(m.caps, 1000*rapid.Int64Range(1, 4).Draw(m.t, "cap"))
	}
}

func (m *model) configureLeader() {
	if l := m.pickLeader(); l != nil {
		l.coordinator.Configure(m.config())
	}
}

// cancelAndForward stores the cancellation of a job and hands it to the newest leader.
func (m *model) cancelAndForward() {
	if m.store.unresponsive || len(m.jobs) == 0 {
		return
	}
	id := m.jobs[rapid.IntRange(0, len(m.jobs)-1).Draw(m.t, "job")].ID
	if err := m.keeper.Cancel(context.Background(), id); err != nil {
		m.t.Fatal(err)
	}
	if l := m.leaders[len(m.leaders)-1]; !l.frozen && !l.replaced {
		l.coordinator.Receive("caller", &linker.Frame{Cancels: []w.JobID{id}}, m.now)
	}
}

// checkCap fails if the running tasks of the tenant exceed, by more than one task, the
// highest cap since the configuration of the last start order.
func (m *model) checkCap(version int64) {
	if m.caps == nil {
		return
	}
	running := int64(0)
	for _, t := range m.targets {
		running += 1000 * int64(len(t.runs))
	}
	if limit := slices.Max(m.caps[version-1:]); running > limit+1000 {
		m.fail("a start raises the running CPU to %d, cap %d", running, limit)
	}
}

// checkAccounts fails if the accounts of a leader differ from its slots.
func (m *model) checkAccounts() {
	for _, l := range m.leaders {
		if err := l.coordinator.checkAccounts(); err != nil {
			m.t.Fatal(err)
		}
	}
}

// TestModelKeepsCap guards against leaders that start more than their tenant's cap
// allows around handovers, while orders are in transit, targets are silent and the cap
// changes, and against accounts that drift from the runs.
func TestModelKeepsCap(t *testing.T) {
	starts, held := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 1000*rapid.Int64Range(1, 3).Draw(t, "cap"))
		events := []func(){
			m.advance, m.advance, m.advance, m.deliverOrder, m.deliverOrder, m.pollTarget, m.pollTarget, m.pollTarget, m.saveBatch, m.saveBatch,
			m.passTime, m.endRandomRun, m.submit, m.submit, m.findJobs, m.renew, m.applyDelayed, m.injectFault, m.changeCap, m.configureLeader, m.cancelAndForward,
			m.continueLoad, m.continueLoad,
		}
		for range 3 {
			m.advance()
			m.saveBatch()
			m.pollTarget()
		}
		for range rapid.IntRange(20, 160).Draw(t, "steps") {
			events[rapid.IntRange(0, len(events)-1).Draw(t, "event")]()
			m.checkAccounts()
		}
		starts += m.starts
		for _, l := range m.leaders {
			for _, s := range l.coordinator.backlog {
				if s.capHeld {
					held++
				}
			}
		}
	})
	if starts == 0 || held == 0 {
		t.Errorf("%d starts and %d steps held up by the cap, want some of each", starts, held)
	}
	t.Logf("%d starts, %d steps held up by the cap", starts, held)
}
