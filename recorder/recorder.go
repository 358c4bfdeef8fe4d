// Package recorder writes structured log lines without ever holding up a
// decision: lines wait in a bounded buffer, and each kind of line has a budget.
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
	// bufferBytes is the size at which lines that are not written yet are
	// dropped.
	bufferBytes = 256 << 10
	// linesPerSecond is the budget of each kind of line below warnings.
	linesPerSecond = 400
	// warningsPerSecond is the budget of each kind of warning or error.
	warningsPerSecond = 100
	// flushPeriod is the time for which lines gather.
	flushPeriod = 50 * time.Millisecond
)

// Recorder gathers lines and writes them in the background.
type Recorder struct {
	w    io.Writer
	mu   sync.Mutex
	buf  bytes.Buffer
	back bytes.Buffer
	lost int
	left map[string]*budget
	due  chan struct{}
	done chan struct{}
	end  chan struct{}
}

type budget struct {
	second int64
	used   int
	over   int
}

// New returns a recorder that writes to w until Close.
func New(w io.Writer) *Recorder {
	r := &Recorder{
		w: w, left: make(map[string]*budget), due: make(chan struct{}, 1),
		done: make(chan struct{}), end: make(chan struct{}),
	}
	go r.run()
	return r
}

// Logger returns a logger that writes lines from the level on.
func (r *Recorder) Logger(level slog.Leveler) *slog.Logger {
	return slog.New(&handler{Handler: slog.NewTextHandler(r, &slog.HandlerOptions{Level: level}), r: r})
}

// Close writes what is left and ends the recorder.
func (r *Recorder) Close() {
	close(r.end)
	<-r.done
}

// Write implements io.Writer for the text handler. It never blocks.
func (r *Recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	if r.buf.Len()+len(p) > bufferBytes {
		r.lost++
	} else {
		r.buf.Write(p)
	}
	r.mu.Unlock()
	select {
	case r.due <- struct{}{}:
	default:
	}
	return len(p), nil
}

// admit reports whether the budget of a kind of line allows another one, and how
// many were left out since the last that was allowed.
func (r *Recorder) admit(kind string, level slog.Level, now time.Time) (bool, int) {
	limit := linesPerSecond
	if level >= slog.LevelWarn {
		limit = warningsPerSecond
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.left[kind]
	if b == nil {
		b = new(budget)
		r.left[kind] = b
	}
	if s := now.Unix(); s != b.second {
		b.second, b.used = s, 0
	}
	if b.used >= limit {
		b.over++
		return false, 0
	}
	b.used++
	over := b.over
	b.over = 0
	return true, over
}

func (r *Recorder) run() {
	defer close(r.done)
	for {
		ended := false
		select {
		case <-r.due:
			t := time.NewTimer(flushPeriod)
			select {
			case <-t.C:
			case <-r.end:
				ended = true
			}
			t.Stop()
		case <-r.end:
			ended = true
		}
		r.mu.Lock()
		r.buf, r.back = r.back, r.buf
		lost := r.lost
		r.lost = 0
		r.mu.Unlock()
		if lost > 0 {
			slog.New(slog.NewTextHandler(&r.back, nil)).Warn("log lines lost", "lines", lost)
		}
		// There is no other place to report a failure of the log itself.
		_, _ = r.w.Write(r.back.Bytes())
		r.back.Reset()
		if ended {
			return
		}
	}
}

// handler applies the budgets.
type handler struct {
	slog.Handler
	r *Recorder
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, rec slog.Record) error {
	ok, over := h.r.admit(rec.Message, rec.Level, rec.Time)
	if !ok {
		return nil
	}
	if over > 0 {
		rec = rec.Clone()
		rec.AddAttrs(slog.Int("leftOut", over))
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
