package connector

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/masticlead/masticlead/descriptor"
)

const (
	// minListAge is the least time between two reads of a list.
	minListAge = 2500 * time.Millisecond
	// maxListAge bounds the age of a list, however long it is. New targets are
	// noticed within this time; a leaving one says so itself.
	maxListAge = 2 * time.Minute
	// listBytesPerSecond is what the reads of one list may cost: a quarter of the
	// 8 KB/s that an instance may spend on control.
	listBytesPerSecond = 2000
	// entryBytes is the size of an entry of the list as the stand-in encodes it.
	entryBytes = 210
)

// DirectoryCache reads each list for all parts of an instance, and long lists
// less often, so that the traffic does not grow with the number of targets. It
// implements Directory. Exported fields are set before the first call.
type DirectoryCache struct {
	Directory Directory
	Clock     clockwork.Clock

	mu    sync.Mutex
	lists map[descriptor.DataCentreID]*cachedList
}

// cachedList is the last list of a data centre.
type cachedList struct {
	mu      sync.Mutex // held during a read, so that others wait for its result
	known   bool
	read    time.Time
	listing Listing
}

// List implements Directory. The listing must not be changed.
func (c *DirectoryCache) List(ctx context.Context, dc descriptor.DataCentreID) (Listing, error) {
	l := c.list(dc)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known && c.Clock.Since(l.read) < maxAge(l.listing) {
		return l.listing, nil
	}
	fresh, err := c.Directory.List(ctx, dc)
	if err != nil {
		return Listing{}, err
	}
	l.known, l.read, l.listing = true, c.Clock.Now(), fresh
	return fresh, nil
}

func (c *DirectoryCache) list(dc descriptor.DataCentreID) *cachedList {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lists == nil {
		c.lists = map[descriptor.DataCentreID]*cachedList{}
	}
	if c.lists[dc] == nil {
		c.lists[dc] = &cachedList{}
	}
	return c.lists[dc]
}

// maxAge returns how long a list is used.
func maxAge(l Listing) time.Duration {
	bytes := entryBytes * (len(l.Targets) + len(l.Instances))
	age := time.Duration(bytes) * time.Second / listBytesPerSecond
	return min(max(age, minListAge), maxListAge)
}
