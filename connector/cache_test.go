package connector

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// countingDirectory returns a listing of the given length and counts its reads.
type countingDirectory struct {
	targets, reads int
	err            error
}

func (d *countingDirectory) List(context.Context, descriptor.DataCentreID) (Listing, error) {
	d.reads++
	return Listing{Targets: make([]descriptor.Target, d.targets)}, d.err
}

// TestLongListsAreRefreshedLessOften guards against directory traffic that grows
// with the number of targets. Short listings are refreshed more often, so that new
// targets in a small cell are discovered early.
func TestLongListsAreRefreshedLessOften(t *testing.T) {
	for _, c := range []struct{ targets, reads int }{{17, 120}, {170, 17}, {1700, 3}, {27000, 3}} {
		clock := clockwork.NewFakeClock()
		d := &countingDirectory{targets: c.targets}
		cache := &DirectoryCache{Directory: d, Clock: clock}
		for range 300 {
			_, err := cache.List(context.Background(), "gyor")
			require.NoError(t, err)
			clock.Advance(time.Second)
		}
		require.LessOrEqual(t, d.reads, c.reads, "%d targets", c.targets)
		require.Positive(t, d.reads)
	}
}

// TestFailedReadIsNotCached guards against a failed read being cached as an empty
// listing.
func TestFailedReadIsNotCached(t *testing.T) {
	d := &countingDirectory{targets: 1, err: ErrUnavailable}
	cache := &DirectoryCache{Directory: d, Clock: clockwork.NewFakeClock()}
	_, err := cache.List(context.Background(), "gyor")
	require.ErrorIs(t, err, ErrUnavailable)
	d.err = nil
	l, err := cache.List(context.Background(), "gyor")
	require.NoError(t, err)
	require.Len(t, l.Targets, 1)
}
