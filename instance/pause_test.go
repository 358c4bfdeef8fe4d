package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// TestPausedLeaderMayBeSuperseded guards against a leader that acts after its
// leadership has expired. After a pause of the process or a suspension of the machine,
// closed connections look alive until the leader reads from them.
func TestPausedLeaderMayBeSuperseded(t *testing.T) {
	before := time.Now().Add(-time.Second)
	newTestLeader := func() *leader {
		l := &leader{
			in: &Instance{}, conns: make(map[w.InstanceID]*linker.Conn), joinedAt: make(map[w.InstanceID]time.Time),
			connectedAtRenewal: 3, lastRenewal: before,
		}
		for _, id := range []w.InstanceID{"a", "b", "c"} {
			l.conns[id], l.joinedAt[id] = nil, before
		}
		return l
	}
	l := newTestLeader()
	require.False(t, l.mayBeSuperseded(), "renewed and connected")
	l.resumedAt = time.Now()
	require.True(t, l.mayBeSuperseded(), "neither renewed nor rejoined since the pause")
	l.lastRenewal = time.Now()
	require.False(t, l.mayBeSuperseded(), "renewed since the pause")

	l = newTestLeader()
	l.resumedAt = time.Now()
	for _, id := range []w.InstanceID{"a", "b"} {
		l.joinedAt[id] = time.Now()
	}
	require.False(t, l.mayBeSuperseded(), "rejoined by most instances since the pause")
}

// TestPauseDetector guards against missing a suspension of the machine, during which
// the monotonic clock stops.
func TestPauseDetector(t *testing.T) {
	uptime := time.Hour
	p := pauseDetector{now: func() time.Duration { return uptime }}
	require.Zero(t, p.sinceLast(), "first call")
	uptime += 20 * time.Millisecond
	require.Equal(t, 20*time.Millisecond, p.sinceLast())
	uptime += 9 * time.Second
	require.Equal(t, 9*time.Second, p.sinceLast())
	require.Positive(t, machineUptime())
}
