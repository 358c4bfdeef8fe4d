package detector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
)

var startTime = time.Unix(1_000_000, 0)

// simulation runs tasks one after another on the targets of a Detector.
type simulation struct {
	t               *testing.T
	detector        *Detector
	targets         int
	now             time.Time
	requestCount    int
	states          map[descriptor.TargetID]placer.TargetState
	maxOutOfService int // highest number of targets out of service at once
}

func newSimulation(t *testing.T, targets int, cfg Config) *simulation {
	s := &simulation{t: t, detector: New(cfg), targets: targets, now: startTime, states: make(map[descriptor.TargetID]placer.TargetState)}
	for i := range targets {
		s.detector.AddTarget(targetID(i))
	}
	return s
}

func targetID(i int) descriptor.TargetID { return descriptor.TargetID(fmt.Sprintf("t%02d", i)) }

func (s *simulation) newKey(caller string) descriptor.Key {
	s.requestCount++
	return descriptor.Key{Caller: descriptor.CallerID(caller), ID: descriptor.RequestID(fmt.Sprint(s.requestCount))}
}

func (s *simulation) observe(target int, key descriptor.Key, kind string, ok bool) {
	s.now = s.now.Add(time.Millisecond)
	s.detector.Observe(targetID(target), key, descriptor.KindName(kind), ok, time.Millisecond, s.now)
	s.applyChanges()
}

// applyChanges applies the pending state changes and then checks the limit on
// targets out of service.
func (s *simulation) applyChanges() {
	for _, change := range s.detector.Changes(s.now) {
		s.states[change.Target] = change.State
	}
	outOfService := 0
	for _, state := range s.states {
		if state != placer.Placeable {
			outOfService++
		}
	}
	s.maxOutOfService = max(s.maxOutOfService, outOfService)
	require.LessOrEqual(s.t, outOfService, s.detector.MaxOutOfService())
}

// runRounds runs one task of a new request on each target that is not
// quarantined, n times.
func (s *simulation) runRounds(n int, ok func(target int) bool) {
	for range n {
		for i := range s.targets {
			if s.states[targetID(i)] != placer.Quarantined {
				s.observe(i, s.newKey("caller"), "routeBuild", ok(i))
			}
		}
	}
}

func alwaysSucceeds(int) bool { return true }

// TestBadTargetIsQuarantinedUntilProbesSucceed guards against a target that fails
// everything and keeps receiving work, and against a repaired target that never
// returns to service.
func TestBadTargetIsQuarantinedUntilProbesSucceed(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	s := newSimulation(t, 50, Config{Scope: scope})
	s.runRounds(2, alwaysSucceeds)
	succeeds := func(i int) bool { return i != 7 && i != 8 }
	s.runRounds(6, succeeds)
	require.Equal(t, map[descriptor.TargetID]placer.TargetState{"t07": placer.Quarantined, "t08": placer.Quarantined}, s.states)

	s.now = s.now.Add(5 * time.Second)
	s.applyChanges()
	require.Equal(t, placer.Probing, s.states["t07"])
	s.runRounds(1, func(i int) bool { return i != 8 })
	require.Equal(t, placer.Probing, s.states["t07"], "one successful probe must not release the target")
	require.Equal(t, placer.Quarantined, s.states["t08"], "a failed probe must quarantine the target again")
	s.runRounds(2, alwaysSucceeds)
	require.Equal(t, placer.Placeable, s.states["t07"])
	s.now = s.now.Add(6 * time.Second)
	s.applyChanges()
	require.Equal(t, placer.Quarantined, s.states["t08"], "the probe interval must double after a failed probe")
	s.now = s.now.Add(5 * time.Second)
	s.applyChanges()
	require.Equal(t, placer.Probing, s.states["t08"])

	counters := scope.Snapshot().Counters()
	require.EqualValues(t, 2, counters["quarantined+reason=failures"].Value())
	require.EqualValues(t, 1, counters["quarantined+reason=probeFailed"].Value())
	require.EqualValues(t, 1, counters["released+reason=recovered"].Value())
}

// TestBadTargetsWithMostResults guards against bad targets that are not detected
// because their many failures make their peers appear equally bad.
func TestBadTargetsWithMostResults(t *testing.T) {
	s := newSimulation(t, 50, Config{})
	for i := range 400 {
		target, ok := i%48+2, true
		if i%10 != 0 { // nine of ten tasks go to the bad targets
			target, ok = i%2, false
		}
		if s.states[targetID(target)] == placer.Placeable {
			s.observe(target, s.newKey(fmt.Sprint("c", i%100)), "routeBuild", ok)
		}
	}
	require.Equal(t, placer.Quarantined, s.states["t00"])
	require.Equal(t, placer.Quarantined, s.states["t01"])
	require.Equal(t, 2, s.maxOutOfService)
}

// TestWorkFailuresDoNotQuarantineTargets guards against good targets being
// quarantined because all requests of a kind or caller, or one request, always
// fail.
func TestWorkFailuresDoNotQuarantineTargets(t *testing.T) {
	tests := map[string]func(s *simulation, round, target int){
		"kind always fails": func(s *simulation, _, target int) {
			s.observe(target, s.newKey("caller"), "broken", false)
			s.observe(target, s.newKey("caller"), "routeBuild", true)
		},
		"new kind always fails on two targets": func(s *simulation, _, target int) {
			s.observe(target, s.newKey("caller"), "routeBuild", true)
			s.observe(target%2, s.newKey("other"), "broken", false)
		},
		"all requests of a caller fail": func(s *simulation, _, target int) {
			s.observe(target, s.newKey("broken"), "routeBuild", false)
			s.observe(target, s.newKey("caller"), "routeBuild", true)
			s.observe(target, s.newKey("caller"), "routeBuild", true)
		},
		"request fails on all targets": func(s *simulation, round, target int) {
			key := descriptor.Key{Caller: "caller", ID: descriptor.RequestID(fmt.Sprint(round % 3))}
			s.observe(target, key, "routeBuild", false)
			s.observe(target, s.newKey("caller"), "routeBuild", true)
		},
		"request fails repeatedly on one target": func(s *simulation, _, target int) {
			s.observe(3, descriptor.Key{Caller: "caller", ID: "one"}, "routeBuild", false)
			s.observe(target, s.newKey("caller"), "routeBuild", true)
		},
	}
	for label, run := range tests {
		t.Run(label, func(t *testing.T) {
			s := newSimulation(t, 50, Config{})
			s.runRounds(2, alwaysSucceeds)
			for round := range 20 {
				for target := range s.targets {
					run(s, round, target)
				}
			}
			require.Zero(t, s.maxOutOfService)
		})
	}
}

// TestQuarantineIsLimited guards against quarantining more targets than allowed
// when everything fails, or when more targets are bad than the limit.
func TestQuarantineIsLimited(t *testing.T) {
	s := newSimulation(t, 50, Config{MaxOutOfServiceFraction: 0.1})
	s.runRounds(10, alwaysSucceeds)
	s.runRounds(20, func(int) bool { return false })
	require.LessOrEqual(t, s.maxOutOfService, 5)

	s = newSimulation(t, 50, Config{MaxOutOfServiceFraction: 0.1})
	s.runRounds(10, alwaysSucceeds)
	s.runRounds(20, func(i int) bool { return i >= 10 })
	require.Equal(t, 5, s.maxOutOfService)
	for i := range 30 { // removing targets lowers the limit
		s.detector.RemoveTarget(targetID(20 + i))
		delete(s.states, targetID(20+i))
		s.applyChanges()
	}
}

// TestFewTargets guards against an instance with only a few targets that does not
// detect a bad one, or that quarantines good ones because of chance failures.
func TestFewTargets(t *testing.T) {
	for _, targets := range []int{2, 3, 6, 12} {
		t.Run(fmt.Sprint(targets), func(t *testing.T) {
			s := newSimulation(t, targets, Config{})
			s.runRounds(10, alwaysSucceeds)
			s.runRounds(30, func(i int) bool { return i != 1 })
			require.Equal(t, map[descriptor.TargetID]placer.TargetState{"t01": placer.Quarantined}, s.states)

			rng := rand.New(rand.NewPCG(1, uint64(targets)))
			s = newSimulation(t, targets, Config{})
			s.runRounds(20_000/targets, func(int) bool { return rng.Float64() > 0.1 })
			require.Zero(t, s.maxOutOfService, "chance failures of 10% of all tasks must not quarantine a target")
		})
	}
	s := newSimulation(t, 1, Config{})
	s.runRounds(100, func(int) bool { return false })
	require.Zero(t, s.maxOutOfService, "a single target has no peer to compare with and must stay in service")
}

// TestLostProbesAreReplaced guards against a target that never returns to service
// because its probes were cancelled and returned no result.
func TestLostProbesAreReplaced(t *testing.T) {
	s := newSimulation(t, 20, Config{})
	s.runRounds(2, alwaysSucceeds)
	s.runRounds(6, func(i int) bool { return i != 0 })
	require.Equal(t, placer.Quarantined, s.states["t00"])
	s.now = s.now.Add(5 * time.Second)
	score := s.detector.targets["t00"].score
	require.Equal(t, []StateChange{{"t00", placer.Probing, reasonProbe, score}}, s.detector.Changes(s.now))
	for range 2 {
		require.Empty(t, s.detector.Changes(s.now))
		s.now = s.now.Add(5 * time.Second)
		require.Equal(t, []StateChange{{"t00", placer.Quarantined, reasonProbesLost, score}}, s.detector.Changes(s.now))
		require.Equal(t, []StateChange{{"t00", placer.Probing, reasonProbe, score}}, s.detector.Changes(s.now))
	}
}

// TestFailuresInQuarantineRaiseScore guards against releasing a target that still
// fails everything. Tasks that are running when the target is quarantined fail as
// well. If such a request then fails on another target, the score must not drop
// by more than the first failure added.
func TestFailuresInQuarantineRaiseScore(t *testing.T) {
	s := newSimulation(t, 10, Config{})
	s.runRounds(20, func(int) bool { return true })
	var failed []descriptor.Key
	for s.states["t03"] == placer.Placeable {
		key := s.newKey("caller")
		failed = append(failed, key)
		s.observe(3, key, "routeBuild", false)
		s.applyChanges()
	}
	for range 8 {
		key := s.newKey("caller")
		failed = append(failed, key)
		s.observe(3, key, "routeBuild", false)
	}
	for _, key := range failed[len(failed)-4:] {
		s.observe(5, key, "routeBuild", false)
	}
	s.applyChanges()
	require.Equal(t, placer.Quarantined, s.states["t03"])
}

// TestSinglePeerSuffices guards against slow detection when an instance has only
// one target besides the bad one. At about five failures a second, detection took
// 3.5 s when a peer had the same weight for many results as for one.
func TestSinglePeerSuffices(t *testing.T) {
	s := newSimulation(t, 2, Config{})
	s.runRounds(20, alwaysSucceeds)
	failures := 0
	for s.states["t00"] != placer.Quarantined {
		s.observe(0, s.newKey("caller"), "routeBuild", false)
		s.observe(1, s.newKey("caller"), "routeBuild", true)
		failures++
		require.LessOrEqual(t, failures, 8, "failures before the quarantine")
	}
}

// TestOneWorkFailureKeepsQuarantine guards against releasing a bad target at once
// because one of the requests that it failed also fails on another target.
func TestOneWorkFailureKeepsQuarantine(t *testing.T) {
	s := newSimulation(t, 10, Config{})
	s.runRounds(20, alwaysSucceeds)
	var keys []descriptor.Key
	for s.states["t00"] != placer.Quarantined {
		keys = append(keys, s.newKey("caller"))
		s.observe(0, keys[len(keys)-1], "routeBuild", false)
	}
	s.observe(1, keys[0], "routeBuild", false)
	require.Equal(t, placer.Quarantined, s.states["t00"])
	for _, key := range keys[1:] {
		s.observe(2, key, "routeBuild", false)
	}
	require.Equal(t, placer.Placeable, s.states["t00"], "the target must be released when all its requests fail on another target")
}

// TestFailuresOfRareKindsRaiseScore guards against slow detection of a bad target
// that fails a few tasks a second of many kinds. It received work for 5.7 s when
// each kind had too few results on other targets to change the score much.
func TestFailuresOfRareKindsRaiseScore(t *testing.T) {
	s := newSimulation(t, 2, Config{})
	kinds := []string{"routeBuild", "weekPlan", "wiringPlan", "commissionSettlement", "callList", "doorCodeCheck"}
	for _, kind := range kinds {
		for target := range 2 {
			s.observe(target, s.newKey("caller"), kind, true)
		}
	}
	failures := 0
	for s.states["t00"] != placer.Quarantined {
		s.observe(0, s.newKey("caller"), kinds[failures%len(kinds)], false)
		failures++
		require.LessOrEqual(t, failures, 8, "failures before the quarantine")
	}
}

// TestNewKindThatFailsEverywhere guards against quarantining good targets because
// of a new kind of work that fails on all of them.
func TestNewKindThatFailsEverywhere(t *testing.T) {
	s := newSimulation(t, 4, Config{})
	s.runRounds(20, alwaysSucceeds)
	for range 20 {
		for target := range 4 {
			s.observe(target, s.newKey("caller"), "new", false)
		}
	}
	require.Zero(t, s.maxOutOfService)
}

// TestSuccessStartedBeforeFirstFailureIsIgnored guards against slow detection of a
// target that has turned bad. It received work for seconds because tasks started
// before the fault still succeeded.
func TestSuccessStartedBeforeFirstFailureIsIgnored(t *testing.T) {
	s := newSimulation(t, 10, Config{})
	s.runRounds(20, alwaysSucceeds)
	failures := 0
	for s.states["t00"] != placer.Quarantined {
		s.observe(0, s.newKey("caller"), "routeBuild", false)
		failures++
		s.detector.Observe("t00", s.newKey("caller"), "routeBuild", true, time.Minute, s.now)
		s.applyChanges()
		require.LessOrEqual(t, failures, 6, "failures before the quarantine")
	}
}
