package connector

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// countedDirectory counts the reads of a list of the given length.
type countedDirectory struct {
	targets, reads int
	err            error
}

func (d *countedDirectory) List(context.Context, descriptor.DataCentreID) (Listing, error) {
	d.reads++
	return Listing{Targets: make([]descriptor.Target, d.targets)}, d.err
}

// TestLongListsAreReadLessOften guards against traffic of the directory that
// grows with the number of targets, and against a new target that is noticed
// late in a small cell.
func TestLongListsAreReadLessOften(t *testing.T) {
	for _, c := range []struct{ targets, reads int }{{17, 120}, {170, 17}, {1700, 3}, {27000, 3}} {
		clock := clockwork.NewFakeClock()
		d := &countedDirectory{targets: c.targets}
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

// TestFailedReadIsNotCached guards against an instance that takes a failed read
// for an empty list.
func TestFailedReadIsNotCached(t *testing.T) {
	d := &countedDirectory{targets: 1, err: ErrUnavailable}
	cache := &DirectoryCache{Directory: d, Clock: clockwork.NewFakeClock()}
	_, err := cache.List(context.Background(), "gyor")
	require.ErrorIs(t, err, ErrUnavailable)
	d.err = nil
	l, err := cache.List(context.Background(), "gyor")
	require.NoError(t, err)
	require.Len(t, l.Targets, 1)
}
