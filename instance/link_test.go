package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReconnectDelay guards against instances that all join again at the same moment, over
// and over, when a leader can't serve so many joins at a time.
func TestReconnectDelay(t *testing.T) {
	require.Equal(t, reconnectDelay(0, 0), reconnectDelay(0, 0.9), "a connection that was lost once is replaced at once")
	require.Equal(t, reconnectDelay(0, 0), reconnectDelay(1, 0.9))
	for n := 2; n < 70; n++ {
		spread := reconnectDelay(n, 0.99) - reconnectDelay(n, 0)
		require.Greater(t, spread, 100*time.Millisecond, n)
		require.LessOrEqual(t, reconnectDelay(n, 0.99), time.Second, n)
	}
}
