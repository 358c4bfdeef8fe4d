package distributor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// Keys in the table service and the object store.
const (
	headKey       = connector.RowKey("rules/head")
	historyPrefix = connector.RowKey("rules/version/")
	objectPrefix  = "rules/"
)

// maxHistoryRows is the number of history rows to keep: about a day of changes at
// the planned rate of 19,000 per day. Apply deletes the row that exceeds it in
// the same transaction, so pruning costs no extra write.
const maxHistoryRows = 20_000

// ConflictError means that the rules have changed since the expected version.
// The requested change was not applied.
type ConflictError struct {
	Current descriptor.RulesVersion
	Author  string // of Current
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version conflict: rules are at version %d, applied by %s", e.Current, e.Author)
}

// head is the head row as read; rowVersion is 0 if the row does not exist.
type head struct {
	VersionInfo
	rowVersion connector.RowVersion
}

func historyKey(v descriptor.RulesVersion) connector.RowKey {
	return historyPrefix + connector.RowKey(fmt.Sprintf("%020d", v))
}

func (d *Distributor) readHead(ctx context.Context) (head, error) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.CallTimeout)
	defer cancel()
	row, err := d.cfg.Table.Get(ctx, headKey)
	if errors.Is(err, connector.ErrNotFound) {
		d.recordStoreCall(true)
		return head{}, nil
	}
	d.recordStoreCall(err == nil)
	if err != nil {
		return head{}, fmt.Errorf("read rules head: %w", err)
	}
	h := head{rowVersion: row.Version}
	if err := json.Unmarshal(row.Value, &h.VersionInfo); err != nil {
		return head{}, fmt.Errorf("decode rules head: %w", err)
	}
	return h, nil
}

// fetchRuleset reads the body of a version from the object store and verifies it.
func (d *Distributor) fetchRuleset(ctx context.Context, info VersionInfo) (*ruleset, error) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.CallTimeout)
	defer cancel()
	body, err := d.cfg.Objects.GetObject(ctx, objectPrefix+info.Hash)
	if err != nil {
		return nil, fmt.Errorf("read rules version %d: %w", info.Version, err)
	}
	return newRuleset(info, body)
}

// History returns up to limit versions, latest first.
func (d *Distributor) History(ctx context.Context, limit int) ([]VersionInfo, error) {
	h, err := d.readHead(ctx)
	if err != nil || h.Version == 0 || limit <= 0 {
		return nil, err
	}
	after := historyPrefix
	if h.Version > descriptor.RulesVersion(limit) {
		after = historyKey(h.Version - descriptor.RulesVersion(limit))
	}
	rows, err := d.cfg.Table.Scan(ctx, historyPrefix, after, limit)
	if err != nil {
		return nil, fmt.Errorf("read rules history: %w", err)
	}
	all := make([]VersionInfo, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &all[len(rows)-1-i]); err != nil {
			return nil, fmt.Errorf("decode %s: %w", row.Key, err)
		}
	}
	return all, nil
}

// Apply commits body as the version after expected, installs it, and pushes it to
// all instances in the background. It fails with *ConflictError if expected is
// not the current version, with the error of Parse, or with a store error.
// connector.ErrAmbiguous means that the version may have been applied; repeating
// the call with the same arguments is then safe: the body is applied at most
// once, and the call succeeds with its version if it was applied before.
func (d *Distributor) Apply(ctx context.Context, expected descriptor.RulesVersion, author string, body []byte) (descriptor.RulesVersion, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.cfg.ApplyTimeout)
		defer cancel()
	}
	next := VersionInfo{Version: expected + 1, Hash: hashOf(body), Author: author, AppliedMs: d.cfg.Clock.Now().UnixMilli()}
	s, err := newRuleset(next, body)
	if err != nil {
		return 0, err
	}
	if _, err := d.cfg.Parse(next.Version, body); err != nil {
		return 0, err
	}
	h, err := d.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if h.Version == expected {
		if h, err = d.commit(ctx, h, s); err != nil {
			return 0, err
		}
	}
	info, err := d.confirmApplied(ctx, h, next)
	if err != nil {
		return 0, err
	}
	s.VersionInfo = info
	if _, err := d.install(s); err != nil {
		return 0, err
	}
	d.spawn(func(ctx context.Context) { d.push(ctx, s, true) })
	return info.Version, nil
}

// confirmApplied checks whether next was applied, given the head read afterwards.
// If a later version has replaced next, its history row decides.
func (d *Distributor) confirmApplied(ctx context.Context, h head, next VersionInfo) (VersionInfo, error) {
	applied := h.VersionInfo
	if h.Version > next.Version {
		row, err := d.cfg.Table.Get(ctx, historyKey(next.Version))
		if err != nil && !errors.Is(err, connector.ErrNotFound) {
			return VersionInfo{}, fmt.Errorf("%w: read rules history: %w", connector.ErrAmbiguous, err)
		}
		if err == nil && json.Unmarshal(row.Value, &applied) != nil {
			return VersionInfo{}, fmt.Errorf("decode %s", row.Key)
		}
	}
	if applied.Version == next.Version && applied.Hash == next.Hash && applied.Author == next.Author {
		return applied, nil
	}
	d.cfg.Scope.Counter("conflicts").Inc(1)
	return VersionInfo{}, &ConflictError{Current: h.Version, Author: h.Author}
}

// commit writes a version after h and returns the resulting head. A commit with
// an ambiguous outcome is retried: it is conditional on the row version of h, so
// it takes effect at most once, and the head read after a failed condition shows
// which version was committed.
func (d *Distributor) commit(ctx context.Context, h head, s *ruleset) (head, error) {
	t, err := transaction(h, s.VersionInfo)
	if err != nil {
		return head{}, err
	}
	if err := d.putBody(ctx, s); err != nil {
		return head{}, err
	}
	ambiguous := false
	attempt := func() (head, error) {
		callCtx, cancel := context.WithTimeout(ctx, d.cfg.CallTimeout)
		defer cancel()
		_, err := d.cfg.Table.Commit(callCtx, t)
		var condErr *connector.ConditionError
		switch {
		case err == nil:
			d.recordStoreCall(true)
			return head{VersionInfo: s.VersionInfo}, nil
		case errors.As(err, &condErr):
			return d.readHead(ctx)
		case errors.Is(err, connector.ErrUnavailable) && !ambiguous:
			d.recordStoreCall(false)
			return head{}, backoff.Permanent(err)
		}
		// After an ambiguous attempt, ErrUnavailable from a later one no longer
		// implies that the commit had no effect, so retry until the outcome is known.
		ambiguous = true
		d.recordStoreCall(false)
		d.cfg.Scope.Counter("ambiguous_commits").Inc(1)
		return head{}, err
	}
	after, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(newBackOff()), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return after, nil
	}
	if ambiguous {
		return head{}, fmt.Errorf("apply rules: %w: %w", connector.ErrAmbiguous, err)
	}
	return head{}, fmt.Errorf("apply rules: %w", err)
}

// transaction returns the transaction that commits next as the successor of h.
func transaction(h head, next VersionInfo) (connector.Transaction, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return connector.Transaction{}, fmt.Errorf("encode rules head: %w", err)
	}
	history := historyKey(next.Version)
	t := connector.Transaction{
		Conditions: []connector.Condition{{Key: headKey, Version: h.rowVersion}, {Key: history}},
		Puts:       []connector.Put{{Key: headKey, Value: value}, {Key: history, Value: value}},
	}
	if next.Version > maxHistoryRows {
		t.Deletes = []connector.RowKey{historyKey(next.Version - maxHistoryRows)}
	}
	return t, nil
}

// putBody writes the body to the object store. The key is derived from its hash,
// so retrying after a lost response is safe.
func (d *Distributor) putBody(ctx context.Context, s *ruleset) error {
	put := func() (struct{}, error) {
		callCtx, cancel := context.WithTimeout(ctx, d.cfg.CallTimeout)
		defer cancel()
		err := d.cfg.Objects.PutObject(callCtx, objectPrefix+s.Hash, s.body)
		if errors.Is(err, connector.ErrUnavailable) {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}
	_, err := backoff.Retry(ctx, put, backoff.WithBackOff(newBackOff()), backoff.WithMaxElapsedTime(0))
	if err != nil {
		d.recordStoreCall(false)
		// A body that no head row refers to has no effect, so this failure is never
		// ambiguous.
		return fmt.Errorf("write rules body: %w: %w", connector.ErrUnavailable, err)
	}
	return nil
}

func newBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = time.Second
	return b
}
