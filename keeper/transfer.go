package keeper

import (
	"context"
	"fmt"
	"time"
)

// maxTransferTime bounds a call whose response keeps arriving.
const maxTransferTime = 30 * time.Second

// errStalled is the cause of a context that ended because no data arrived.
var errStalled = fmt.Errorf("keeper: no data from the store: %w", context.DeadlineExceeded)

type progressContextKey struct{}

// WithProgress returns a context for calls to a Store that reports the size in bytes of each
// part of a response as it arrives. progress must not block.
func WithProgress(ctx context.Context, progress func(bytes int)) context.Context {
	if outer, ok := ctx.Value(progressContextKey{}).(func(int)); ok {
		inner := progress
		progress = func(bytes int) {
			inner(bytes)
			outer(bytes)
		}
	}
	return context.WithValue(ctx, progressContextKey{}, progress)
}

// ReportProgress reports a part of the response to a call with a context of WithProgress.
func ReportProgress(ctx context.Context, bytes int) {
	if progress, ok := ctx.Value(progressContextKey{}).(func(int)); ok {
		progress(bytes)
	}
}

// UntilStalled returns a context for a call to a Store that ends when no part of the
// response has arrived for timeout, or after 30 s in all. A wide row takes longer over a
// narrow link than any timeout that is short enough for a store that is away. The cause of
// the end is context.DeadlineExceeded.
func UntilStalled(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancelTotal := context.WithTimeout(ctx, maxTransferTime)
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(errStalled) })
	return WithProgress(ctx, func(int) { timer.Reset(timeout) }), func() {
		timer.Stop()
		cancel(context.Canceled)
		cancelTotal()
	}
}
