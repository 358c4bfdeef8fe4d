package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/masticlead/masticlead/keeper"
	w "github.com/masticlead/masticlead/workload"
)

// BenchmarkLoad measures what a new leader computes to load a cell of jobs of three steps
// with ten tasks each and a content of 400 bytes, without the time of the store.
func BenchmarkLoad(b *testing.B) {
	for _, n := range []int{1000, 5000, 10000} {
		s := &modelStore{rows: make(map[keeper.Key]keeper.Row)}
		k := &keeper.Keeper{Store: s, Partitions: 64}
		for i := range n {
			j := w.Job{ID: w.JobID(fmt.Sprintf("%016x", i*2654435761)), Spec: string(make([]byte, 60)), Steps: []w.Step{{Count: 10}, {Count: 10}, {Count: 10}}}
			if _, err := k.Accept(context.Background(), []*w.Job{&j}); err != nil {
				b.Fatal(err)
			}
		}
		rows := make(map[string][]keeper.Row)
		for key, r := range s.rows {
			rows[key.Table+"/"+key.Partition] = append(rows[key.Table+"/"+key.Partition], r)
		}
		k.Store = indexedStore{s, rows}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				snap, err := k.Load(context.Background())
				if err != nil || len(snap.Jobs) != n {
					b.Fatal(len(snap.Jobs), err)
				}
				New(Settings{Epoch: 2, Retention: time.Minute, Log: slog.New(slog.DiscardHandler)}, time.Now()).Load(snap)
			}
		})
	}
}

// indexedStore answers scans from an index by table and partition.
type indexedStore struct {
	*modelStore
	parts map[string][]keeper.Row
}

func (s indexedStore) Scan(_ context.Context, table, part, from, _ string) ([]keeper.Row, keeper.Version, error) {
	if from != "" {
		return nil, 1, nil
	}
	return s.parts[table+"/"+part], 1, nil
}
