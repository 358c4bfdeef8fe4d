package leaser

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// sessionRow is written once per incarnation. All other writes of the incarnation
// are conditional on its version.
type sessionRow struct {
	Incarnation descriptor.Incarnation `json:"incarnation"`
	PeerAddress string                 `json:"peerAddress"`
}

// renewalRow is rewritten every renewal interval. It contains the holder's own
// durations, because an instance that takes over must wait for these, and its
// settings may differ while a change of settings is being rolled out.
type renewalRow struct {
	Incarnation descriptor.Incarnation `json:"incarnation"`
	// Sequence numbers the attempted renewals of the incarnation.
	Sequence       uint64 `json:"sequence"`
	LeaseMs        int64  `json:"leaseMs"`
	PromiseMs      int64  `json:"promiseMs"`
	MaxExtensionMs int64  `json:"maxExtensionMs"`
	GrantMs        int64  `json:"grantMs"`
	// Members lists the instances of the data centre that the holder found at its
	// last successful read, including the holder.
	Members []descriptor.InstanceID `json:"roster"`
}

func (r renewalRow) leaseDuration() time.Duration { return milliseconds(r.LeaseMs) }
func (r renewalRow) maxExtension() time.Duration  { return milliseconds(r.MaxExtensionMs) }
func (r renewalRow) grantDuration() time.Duration { return milliseconds(r.GrantMs) }

// sliceRow records the owner of a slice. An empty owner means that the slice is
// free.
type sliceRow struct {
	Owner       descriptor.InstanceID  `json:"owner"`
	Incarnation descriptor.Incarnation `json:"incarnation"`
	Epoch       descriptor.Epoch       `json:"epoch"`
	// RemainingMs bounds how long after the write an order of a previous owner
	// may still be started.
	RemainingMs int64 `json:"remainingMs,omitempty"`
}

func (r sliceRow) remaining() time.Duration { return milliseconds(r.RemainingMs) }

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// ceilMilliseconds rounds up, because a wait that is rounded down would be too
// short.
func ceilMilliseconds(d time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// withClockMargin lengthens a wait for an event that is timed by the clock of
// another process. The rates of two clocks are assumed to differ by less than 1%
// (assumption A7 in docs/design.md).
func withClockMargin(d time.Duration) time.Duration { return d + d/100 + 1 }

func (l *Leaser) sessionKey(id descriptor.InstanceID) connector.RowKey {
	return l.sessionPrefix() + connector.RowKey(id)
}

func (l *Leaser) renewalKey(id descriptor.InstanceID) connector.RowKey {
	return l.renewalPrefix() + connector.RowKey(id)
}

func (l *Leaser) sliceKey(s descriptor.SliceID) connector.RowKey {
	return l.slicePrefix() + connector.RowKey(fmt.Sprintf("%02d", s))
}

func (l *Leaser) sessionPrefix() connector.RowKey { return l.prefix("session") }
func (l *Leaser) renewalPrefix() connector.RowKey { return l.prefix("renewal") }
func (l *Leaser) slicePrefix() connector.RowKey   { return l.prefix("slice") }

func (l *Leaser) prefix(kind string) connector.RowKey {
	return rowPrefix(kind, l.cfg.DataCentre)
}

func rowPrefix(kind string, dc descriptor.DataCentreID) connector.RowKey {
	return connector.RowKey(kind + "/" + string(dc) + "/")
}

// newPut encodes a row. It panics on failure, because all row types can be
// encoded.
func newPut(key connector.RowKey, row any) connector.Put {
	b, err := json.Marshal(row)
	if err != nil {
		panic(fmt.Sprintf("leaser: encode %s: %v", key, err))
	}
	return connector.Put{Key: key, Value: b}
}

func decodeRow[T any](row connector.Row) (T, error) {
	var v T
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return v, nil
}

// failedRow returns the current row of key if the condition on it did not hold.
func failedRow(err *connector.ConditionError, key connector.RowKey) (connector.Row, bool) {
	i := slices.IndexFunc(err.Rows, func(r connector.Row) bool { return r.Key == key })
	if i < 0 {
		return connector.Row{}, false
	}
	return err.Rows[i], true
}
