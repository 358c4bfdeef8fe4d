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

// historyKept is the number of versions whose history rows are kept: about a day
// of changes at the planned 19,000 a day. Apply deletes the row that falls out
// in its own transaction, so it costs no write.
const historyKept = 20_000

// ConflictError means that the rules were changed since the expected version.
// Nothing was written.
type ConflictError struct {
	Current descriptor.RulesVersion
	Author  string // of Current
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("rules are at version %d, applied by %s", e.Current, e.Author)
}

// head is the head row as read; version 0 of the row means that it is absent.
type head struct {
	VersionInfo
	row connector.RowVersion
}

func historyKey(v descriptor.RulesVersion) connector.RowKey {
	return historyPrefix + connector.RowKey(fmt.Sprintf("%020d", v))
}

// readHead reads the head row.
func (d *Distributor) readHead(ctx context.Context) (head, error) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.CallTimeout)
	defer cancel()
	row, err := d.cfg.Table.Get(ctx, headKey)
	if errors.Is(err, connector.ErrNotFound) {
		d.noteStore(true)
		return head{}, nil
	}
	d.noteStore(err == nil)
	if err != nil {
		return head{}, fmt.Errorf("read rules head: %w", err)
	}
	h := head{row: row.Version}
	if err := json.Unmarshal(row.Value, &h.VersionInfo); err != nil {
		return head{}, fmt.Errorf("decode rules head: %w", err)
	}
	return h, nil
}

// fetch reads the body of a version from the object store.
func (d *Distributor) fetch(ctx context.Context, info VersionInfo) (*ruleset, error) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.CallTimeout)
	defer cancel()
	body, err := d.cfg.Objects.GetObject(ctx, objectPrefix+info.Hash)
	if err != nil {
		return nil, fmt.Errorf("read rules version %d: %w", info.Version, err)
	}
	return newRuleset(info, body)
}

// History returns up to limit versions, the latest first.
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

// Apply makes body the version after expected. It fails with *ConflictError if
// expected is not the current version, with the error of Parse, or with an error
// of the store; ErrAmbiguous among these means that the version may be applied.
// Applying the same body by the same author again is then safe, and succeeds
// with the version that it got.
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
	info, err := d.settle(ctx, h, next)
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

// settle finds out whether the head shows that next was applied. A later version
// may have replaced it since, so the history row decides.
func (d *Distributor) settle(ctx context.Context, h head, next VersionInfo) (VersionInfo, error) {
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

// commit writes a version after h and returns the head as it is afterwards. A
// commit whose outcome is not known is repeated: it is conditional on the row
// version of h, so it takes effect at most once, and the read after the failed
// condition shows whose it was.
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
		var failed *connector.ConditionError
		switch {
		case err == nil:
			d.noteStore(true)
			return head{VersionInfo: s.VersionInfo}, nil
		case errors.As(err, &failed):
			return d.readHead(ctx)
		case errors.Is(err, connector.ErrUnavailable) && !ambiguous:
			d.noteStore(false)
			return head{}, backoff.Permanent(err)
		}
		// Once one attempt is ambiguous only a definite answer settles it.
		ambiguous = true
		d.noteStore(false)
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

// transaction returns the transaction that puts next after h.
func transaction(h head, next VersionInfo) (connector.Transaction, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return connector.Transaction{}, fmt.Errorf("encode rules head: %w", err)
	}
	history := historyKey(next.Version)
	t := connector.Transaction{
		Conditions: []connector.Condition{{Key: headKey, Version: h.row}, {Key: history}},
		Puts:       []connector.Put{{Key: headKey, Value: value}, {Key: history, Value: value}},
	}
	if next.Version > historyKept {
		t.Deletes = []connector.RowKey{historyKey(next.Version - historyKept)}
	}
	return t, nil
}

// putBody writes the body to the object store. Its key is its hash, so writing
// it again after a lost answer is safe.
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
		d.noteStore(false)
		// Without the head row the body has no effect, so the outcome is known.
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
