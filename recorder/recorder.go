// Package recorder provides structured logging that never delays a scheduling
// decision: lines are held in a bounded buffer and written in the background,
// and each distinct message is rate-limited.
package recorder

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the pending buffer; a line that would exceed it is
	// dropped.
	maxPendingBytes = 256 << 10
	// linesPerSecond is the rate limit per message for levels below Warn.
	linesPerSecond = 400
	// warningsPerSecond is the rate limit per message for levels Warn and above.
	warningsPerSecond = 100
	// flushDelay is how long lines are batched before they are written.
	flushDelay = 50 * time.Millisecond
)

// Recorder buffers log lines and writes them in the background.
type Recorder struct {
	w        io.Writer
	mu       sync.Mutex
	pending  bytes.Buffer
	flushing bytes.Buffer
	dropped  int
	limiters map[string]*limiter
	wake     chan struct{}
	done     chan struct{}
	closing  chan struct{}
}

type limiter struct {
	second     int64
	admitted   int
	suppressed int
}

// New returns a Recorder that writes to w until Close is called.
func New(w io.Writer) *Recorder {
	r := &Recorder{
		w: w, limiters: make(map[string]*limiter), wake: make(chan struct{}, 1),
		done: make(chan struct{}), closing: make(chan struct{}),
	}
	go r.run()
	return r
}

// Logger returns a logger that records lines at or above level.
func (r *Recorder) Logger(level slog.Leveler) *slog.Logger {
	return slog.New(&handler{Handler: slog.NewTextHandler(r, &slog.HandlerOptions{Level: level}), r: r})
}

// Close flushes the pending lines and stops the background writer.
func (r *Recorder) Close() {
	close(r.closing)
	<-r.done
}

// Write implements io.Writer for the text handler. It never waits for the
// underlying writer.
func (r *Recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	if r.pending.Len()+len(p) > maxPendingBytes {
		r.dropped++
	} else {
		r.pending.Write(p)
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// allow reports whether the rate limit admits another line with this message,
// and how many such lines were suppressed since the last one admitted.
func (r *Recorder) allow(msg string, level slog.Level, now time.Time) (bool, int) {
	limit := linesPerSecond
	if level >= slog.LevelWarn {
		limit = warningsPerSecond
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	lim := r.limiters[msg]
	if lim == nil {
		lim = new(limiter)
		r.limiters[msg] = lim
	}
	if sec := now.Unix(); sec != lim.second {
		lim.second, lim.admitted = sec, 0
	}
	if lim.admitted >= limit {
		lim.suppressed++
		return false, 0
	}
	lim.admitted++
	suppressed := lim.suppressed
	lim.suppressed = 0
	return true, suppressed
}

func (r *Recorder) run() {
	defer close(r.done)
	for {
		closed := false
		select {
		case <-r.wake:
			t := time.NewTimer(flushDelay)
			select {
			case <-t.C:
			case <-r.closing:
				closed = true
			}
			t.Stop()
		case <-r.closing:
			closed = true
		}
		r.mu.Lock()
		r.pending, r.flushing = r.flushing, r.pending
		dropped := r.dropped
		r.dropped = 0
		r.mu.Unlock()
		if dropped > 0 {
			slog.New(slog.NewTextHandler(&r.flushing, nil)).Warn("log lines lost", "lines", dropped)
		}
		// The error is ignored: there is nowhere else to report a failure to
		// write the log.
		_, _ = r.w.Write(r.flushing.Bytes())
		r.flushing.Reset()
		if closed {
			return
		}
	}
}

// handler applies the rate limits.
type handler struct {
	slog.Handler
	r *Recorder
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, rec slog.Record) error {
	ok, suppressed := h.r.allow(rec.Message, rec.Level, rec.Time)
	if !ok {
		return nil
	}
	if suppressed > 0 {
		rec = rec.Clone()
		rec.AddAttrs(slog.Int("leftOut", suppressed))
	}
	return h.Handler.Handle(ctx, rec)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(a []slog.Attr) slog.Handler {
	return &handler{Handler: h.Handler.WithAttrs(a), r: h.r}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{Handler: h.Handler.WithGroup(name), r: h.r}
}
