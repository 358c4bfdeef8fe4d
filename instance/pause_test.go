package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// TestPausedLeaderDoubts guards against a leader that acts on a leadership that has
// run out: it was paused or its machine suspended, and its connections look alive
// until it reads them.
func TestPausedLeaderDoubts(t *testing.T) {
	before := time.Now().Add(-time.Second)
	paused := func() *leader {
		l := &leader{
			in: &Instance{}, conns: make(map[w.InstanceID]*linker.Conn), met: make(map[w.InstanceID]time.Time),
			strength: 3, renewed: before,
		}
		for _, id := range []w.InstanceID{"a", "b", "c"} {
			l.conns[id], l.met[id] = nil, before
		}
		return l
	}
	l := paused()
	require.False(t, l.doubtful(), "renewed and connected")
	l.woke = time.Now()
	require.True(t, l.doubtful(), "nothing is known since the pause")
	l.renewed = time.Now()
	require.False(t, l.doubtful(), "renewed since")

	l = paused()
	l.woke = time.Now()
	for _, id := range []w.InstanceID{"a", "b"} {
		l.met[id] = time.Now()
	}
	require.False(t, l.doubtful(), "most instances have joined since")
}

// TestPauseWatch guards against a suspension that the steady clock does not show.
func TestPauseWatch(t *testing.T) {
	at := time.Hour
	p := pauseWatch{now: func() time.Duration { return at }}
	require.Zero(t, p.look(), "the first look has nothing to compare")
	at += 20 * time.Millisecond
	require.Equal(t, 20*time.Millisecond, p.look())
	at += 9 * time.Second
	require.Equal(t, 9*time.Second, p.look())
	require.Positive(t, machineUptime())
}
