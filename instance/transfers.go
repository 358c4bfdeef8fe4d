package instance

import (
	"context"
	"errors"
	"sync"

	"github.com/masticlead/masticlead/keeper"
)

// wideTransfer is the size in bytes from which concurrent responses take noticeable
// bandwidth of a narrow link from each other.
const wideTransfer = 16 << 10

// errOvertaken is the cause of the end of a read whose response another one brings.
var errOvertaken = errors.New("instance: another read of the configuration is receiving it")

// configTransfers are the reads of the configuration of one instance, over all paths. Once
// the response to one of them is wide, the others end, and none begins until it has ended.
// They also keep the version of the store up to which the configuration is known.
type configTransfers struct {
	// Received is called with the size of what has arrived. It may be nil.
	Received func(bytes int)

	mu      sync.Mutex
	reads   map[*configTransfer]bool
	wide    *configTransfer // receives a wide response, or nil
	ended   chan struct{}   // closed when wide ends
	version keeper.Version  // newest version of the store that a read has returned
	current bool            // the active configuration was the newest as of version
}

// configTransfer is one of the reads.
type configTransfer struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	received int
	// after is the version of the store as of which the active configuration was the
	// newest when the read began, or 0 if that is not known.
	after keeper.Version
	// version is the newest version of the store then, or 0 if nothing has been read.
	version keeper.Version
}

// begin waits until no wide response is received, and begins a read with a context that
// reports the progress of its response. The caller must end it.
func (c *configTransfers) begin(ctx context.Context) *configTransfer {
	r := new(configTransfer)
	cancellable, cancel := context.WithCancelCause(ctx)
	r.cancel = cancel
	r.ctx = keeper.WithProgress(cancellable, func(bytes int) { c.receive(r, bytes) })
	for {
		c.mu.Lock()
		if c.wide == nil || ctx.Err() != nil {
			break
		}
		ended := c.ended
		c.mu.Unlock()
		select {
		case <-ended:
		case <-ctx.Done():
		}
	}
	defer c.mu.Unlock()
	if c.reads == nil {
		c.reads = make(map[*configTransfer]bool)
	}
	c.reads[r] = true
	r.version = c.version
	if c.current {
		r.after = c.version
	}
	return r
}

// receive records data of a response, and ends the other reads once it is wide.
func (c *configTransfers) receive(r *configTransfer, bytes int) {
	if c.Received != nil {
		c.Received(bytes)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r.received += bytes
	if r.received < wideTransfer || c.wide != nil || !c.reads[r] {
		return
	}
	c.wide, c.ended = r, make(chan struct{})
	for other := range c.reads {
		if other != r {
			other.cancel(errOvertaken)
		}
	}
}

// end ends a read.
func (c *configTransfers) end(r *configTransfer) {
	r.cancel(context.Canceled)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reads, r)
	if c.wide == r {
		c.wide = nil
		close(c.ended)
	}
}

// busy returns a channel that is closed when the wide response has ended that is being
// received, or nil if there is none.
func (c *configTransfers) busy() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wide == nil {
		return nil
	}
	return c.ended
}

// setVersion records the version of the store that a read has returned. changed is set if
// the read returned a row, and current if the row's configuration, or a newer one, is
// active.
func (c *configTransfers) setVersion(version keeper.Version, changed, current bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.version {
		return
	}
	c.version = version
	if changed {
		c.current = current
	}
}

// forget makes the next reads return the configuration whether it has changed or not, since
// a version can't be gone on from. A version that another read has found since is kept.
func (c *configTransfers) forget(version keeper.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version <= version {
		c.version, c.current = 0, false
	}
}
