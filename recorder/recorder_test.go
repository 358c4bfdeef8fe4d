package recorder

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter is an io.Writer whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// TestLoggingDoesNotBlock guards against a scheduling decision that waits for
// the log output: while the writer is blocked, lines beyond the buffer are
// dropped and counted, and callers are not delayed.
func TestLoggingDoesNotBlock(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	r := New(w)
	log := r.Logger(slog.LevelInfo)
	for range 20 {
		log.Info("kind "+strings.Repeat("x", 1), "text", strings.Repeat("y", 30_000))
	}
	close(w.release)
	r.Close()
	require.Contains(t, w.buf.String(), "log lines lost")
}

// TestRateLimitPerMessage guards against a frequent message that causes a
// rare one to be suppressed or dropped.
func TestRateLimitPerMessage(t *testing.T) {
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
