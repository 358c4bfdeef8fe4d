package connector

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/masticlead/masticlead/descriptor"
)

const (
	// minListTTL is the shortest time for which a listing is cached.
	minListTTL = 2500 * time.Millisecond
	// maxListTTL is the longest time for which a listing is cached, whatever its
	// size. It bounds the delay until a new target is discovered. A leaving target
	// is noticed earlier, because its own status reports it.
	maxListTTL = 2 * time.Minute
	// listReadBytesPerSecond limits the average traffic for reading one listing to
	// a quarter of the 8 KB/s of control traffic that an instance may cause.
	listReadBytesPerSecond = 2000
	// entrySizeBytes is the size of one listing entry as the emulator encodes it.
	entrySizeBytes = 210
)

// DirectoryCache is a Directory that caches the listing of each data centre for
// all components of an instance. Longer listings are cached for longer, so that
// the read traffic does not grow with the number of targets. Exported fields must
// be set before the first call.
type DirectoryCache struct {
	Directory Directory
	Clock     clockwork.Clock

	mu    sync.Mutex
	lists map[descriptor.DataCentreID]*cachedListing
}

// cachedListing is the cache entry of a data centre.
type cachedListing struct {
	mu        sync.Mutex // held while fetching, so that concurrent callers share one read
	valid     bool
	fetchedAt time.Time
	listing   Listing
}

// List implements Directory. Callers share the result and must not modify it.
func (c *DirectoryCache) List(ctx context.Context, dc descriptor.DataCentreID) (Listing, error) {
	cached := c.entry(dc)
	cached.mu.Lock()
	defer cached.mu.Unlock()
	if cached.valid && c.Clock.Since(cached.fetchedAt) < listTTL(cached.listing) {
		return cached.listing, nil
	}
	latest, err := c.Directory.List(ctx, dc)
	if err != nil {
		return Listing{}, err
	}
	cached.valid, cached.fetchedAt, cached.listing = true, c.Clock.Now(), latest
	return latest, nil
}

// entry returns the cache entry of a data centre and creates it on first use.
func (c *DirectoryCache) entry(dc descriptor.DataCentreID) *cachedListing {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lists == nil {
		c.lists = map[descriptor.DataCentreID]*cachedListing{}
	}
	if c.lists[dc] == nil {
		c.lists[dc] = &cachedListing{}
	}
	return c.lists[dc]
}

// listTTL returns how long a listing is cached, in proportion to its size.
func listTTL(l Listing) time.Duration {
	size := entrySizeBytes * (len(l.Targets) + len(l.Instances))
	ttl := time.Duration(size) * time.Second / listReadBytesPerSecond
	return min(max(ttl, minListTTL), maxListTTL)
}
