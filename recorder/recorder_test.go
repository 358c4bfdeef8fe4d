package recorder

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// blocked is a writer that doesn't return until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// TestNeverBlocks guards against a decision that waits for the log: a writer
// that stands still costs lines, which are counted, and no time.
func TestNeverBlocks(t *testing.T) {
	w := &blocked{release: make(chan struct{})}
	r := New(w)
	log := r.Logger(slog.LevelInfo)
	for range 20 {
		log.Info("kind "+strings.Repeat("x", 1), "text", strings.Repeat("y", 30_000))
	}
	close(w.release)
	r.Close()
	require.Contains(t, w.buf.String(), "log lines lost")
}

// TestBudgetByKind guards against a frequent kind of line that crowds out rare
// ones.
func TestBudgetByKind(t *testing.T) {
	var buf bytes.Buffer
	r := New(&buf)
	log := r.Logger(slog.LevelInfo)
	for range 10 * linesPerSecond {
		log.Info("frequent")
	}
	log.Info("rare")
	r.Close()
	require.Contains(t, buf.String(), "msg=rare")
	require.LessOrEqual(t, strings.Count(buf.String(), "msg=frequent"), 2*linesPerSecond)
}
