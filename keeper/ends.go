package keeper

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	w "github.com/masticlead/masticlead/workload"
)

// TableEnds holds final states that callers may see although the leader could not store
// them with the jobs. The instances that keep them write the rows, so that the next leader
// finds them even if none of these instances is left. A row may be in any of the
// endPartitions.
const TableEnds = "ends"

const (
	// maxEndPartitions is the number of partitions for the rows of ends: enough that one of
	// them answers while a part of the store is silent, and few, since a load scans all.
	maxEndPartitions = 4
	// endAttemptInterval is the interval between the attempts to write ends, each to the
	// next partition, while no attempt has succeeded.
	endAttemptInterval = 200 * time.Millisecond
	// endFallbackDelay is the time after which the partition that answered last is tried
	// if the one of the leader row has not answered lately.
	endFallbackDelay = 50 * time.Millisecond
	// endAttempts is the maximum number of attempts.
	endAttempts = 6
)

// endPartitions returns the partitions that may have rows of TableEnds. The first one is
// that of the leader row, which has all of them in earlier versions.
func (k *Keeper) endPartitions() []string {
	if k.Partitions <= 1 {
		return []string{""}
	}
	names := k.Partitions.All()
	return append([]string{""}, names[:min(len(names), maxEndPartitions-1)]...)
}

// End is a row of TableEnds.
type End struct {
	ID    w.JobID `json:"-"`
	State w.State `json:"s"`
}

func endKey(partition string, id w.JobID) Key {
	return Key{Table: TableEnds, Partition: partition, Name: string(id)}
}

func decodeEnd(r *Row) (End, error) {
	var e End
	if err := json.Unmarshal(r.Value, &e); err != nil {
		return e, fmt.Errorf("keeper: decode end of %s: %w", r.Name, err)
	}
	e.ID = w.JobID(r.Name)
	if !e.State.Final() {
		return e, fmt.Errorf("keeper: end of %s is the state %v, which is not final", r.Name, e.State)
	}
	return e, nil
}

// SaveEnds writes ends of jobs that the leader whose row has a version knows. A row that
// exists is overwritten, since the end of a job does not change.
//
// It returns a ConflictError if another leader took over, which may not know the ends: a
// task may start again under it, until it is told. Any later leader reads the rows when it
// loads the cell. While the partition of the leader row does not answer, nobody can take
// over. Ends that the leader has just sent may then be written to other partitions.
func (k *Keeper) SaveEnds(ctx context.Context, ends []End, leader Version, justSent bool) error {
	for chunk := range slices.Chunk(ends, maxTxRows) {
		values := make([][]byte, len(chunk))
		for i, e := range chunk {
			var err error
			if values[i], err = json.Marshal(e); err != nil {
				return fmt.Errorf("keeper: encode end of %s: %w", e.ID, err)
			}
		}
		s := endSave{keeper: k, justSent: justSent, tx: func(partition string) *Tx {
			tx := new(Tx)
			if partition == "" {
				tx.Preconditions = []Precondition{{Key: leaderKey, Version: leader}}
			}
			for i, e := range chunk {
				tx.Writes = append(tx.Writes, Row{Key: endKey(partition, e.ID), Value: values[i]})
			}
			return tx
		}}
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("keeper: save %d ends: %w", len(chunk), err)
		}
	}
	return nil
}

// endSave is one save of ends. Its attempts overlap, since a silent partition takes as long
// as the timeout of a call to fail. More than one may be applied.
type endSave struct {
	keeper   *Keeper
	justSent bool // partitions other than that of the leader row may be used
	tx       func(partition string) *Tx
}

func (s *endSave) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	results := make(chan error, endAttempts)
	timer := time.NewTimer(0)
	defer timer.Stop()
	answering := int(s.keeper.endPartition.Load())
	var lastErr error
	for started := 0; ; {
		select {
		case err := <-results:
			var conflict *ConflictError
			if err == nil || errors.As(err, &conflict) {
				return err
			}
			lastErr = err
		case <-timer.C:
			if started == endAttempts {
				return cmp.Or(lastErr, ErrOutcomeUnknown)
			}
			n := s.partition(started, answering)
			wg.Go(func() { results <- s.commit(ctx, n) })
			timer.Reset(endAttemptInterval)
			if started == 0 && answering != 0 {
				timer.Reset(endFallbackDelay)
			}
			started++
		case <-ctx.Done():
			return errors.Join(ctx.Err(), lastErr)
		}
	}
}

// partition returns the index of the partition for an attempt: that of the leader row first,
// then the one that answered last and the others in turn.
func (s *endSave) partition(attempt, answering int) int {
	if !s.justSent || attempt == 0 {
		return 0
	}
	return (max(1, answering) + attempt - 1) % len(s.keeper.endPartitions())
}

func (s *endSave) commit(ctx context.Context, n int) error {
	_, err := s.keeper.Store.Commit(ctx, s.tx(s.keeper.endPartitions()[n]))
	var conflict *ConflictError
	if err == nil || errors.As(err, &conflict) {
		s.keeper.endPartition.Store(int64(n))
	}
	return err
}

// RemoveEnds removes rows of ends whose jobs' final states are stored.
func (k *Keeper) RemoveEnds(ctx context.Context, ids []w.JobID) error {
	var errs []error
	for _, partition := range k.endPartitions() {
		for chunk := range slices.Chunk(ids, maxTxRows) {
			tx := new(Tx)
			for _, id := range chunk {
				tx.Deletes = append(tx.Deletes, endKey(partition, id))
			}
			if _, err := k.Store.Commit(ctx, tx); err != nil {
				errs = append(errs, fmt.Errorf("keeper: remove %d ends: %w", len(chunk), err))
			}
		}
	}
	return errors.Join(errs...)
}

// Ends reads the ends that instances have written and the leader has not removed.
func (k *Keeper) Ends(ctx context.Context) (map[w.JobID]w.State, error) {
	ends := make(map[w.JobID]w.State)
	for _, partition := range k.endPartitions() {
		rows, _, err := k.Store.Scan(ctx, TableEnds, partition, "", "")
		if err != nil {
			return nil, fmt.Errorf("keeper: read ends: %w", err)
		}
		for i := range rows {
			// A row that cannot be decoded counts as missing and is written again.
			if e, err := decodeEnd(&rows[i]); err == nil {
				ends[e.ID] = e.State
			}
		}
	}
	return ends, nil
}
