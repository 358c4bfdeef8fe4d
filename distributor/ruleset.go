package distributor

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// VersionInfo is the metadata of a rules version. It is stored as the value of
// the head row and of the history rows.
type VersionInfo struct {
	Version descriptor.RulesVersion `json:"version"`
	Hash    string                  `json:"hash"` // SHA-256 of the body, in hex
	Author  string                  `json:"author"`
	// AppliedMs is the time of the Apply call in Unix milliseconds, by the clock
	// of the instance that served it.
	AppliedMs int64 `json:"appliedMs"`
}

// Applied returns AppliedMs as a time.
func (i VersionInfo) Applied() time.Time { return time.UnixMilli(i.AppliedMs) }

// ruleset is a rules version with its body. It is immutable once installed.
type ruleset struct {
	VersionInfo
	body       []byte
	compressed []byte // gzip of body
	// delta and compressedMiddle encode the body relative to the version that
	// was installed here before; delta is nil if there was none.
	delta            *delta
	compressedMiddle []byte // gzip of the bytes between prefix and suffix
}

// message returns the wire form of the version, as a delta if asDelta is set and
// there is one. Callers set asDelta if the receiver is expected to have the base.
func (s *ruleset) message(asDelta bool) rulesMessage {
	if asDelta && s.delta != nil {
		return rulesMessage{VersionInfo: s.VersionInfo, Packed: s.compressedMiddle, Delta: s.delta}
	}
	return rulesMessage{VersionInfo: s.VersionInfo, Packed: s.compressed}
}

func hashOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// newRuleset checks the size and hash of the body and compresses it.
func newRuleset(info VersionInfo, body []byte) (*ruleset, error) {
	if len(body) > MaxBody {
		return nil, fmt.Errorf("rules have %d bytes, limit %d", len(body), MaxBody)
	}
	if got := hashOf(body); got != info.Hash {
		return nil, fmt.Errorf("rules version %d: body has hash %s, want %s", info.Version, got, info.Hash)
	}
	packed, err := compress(body)
	if err != nil {
		return nil, err
	}
	return &ruleset{VersionInfo: info, body: body, compressed: packed}, nil
}

// compress returns the gzip form of a body. Rules files consist of many similar
// lines and are the largest messages between instances.
func compress(body []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(body); err != nil {
		return nil, fmt.Errorf("compress rules: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress rules: %w", err)
	}
	return b.Bytes(), nil
}

// decompress reverses compress. It fails if the result would exceed MaxBody.
func decompress(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("decompress rules: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(r, MaxBody+1))
	if err != nil {
		return nil, fmt.Errorf("decompress rules: %w", err)
	}
	if len(body) > MaxBody {
		return nil, fmt.Errorf("rules are longer than %d bytes", MaxBody)
	}
	return body, nil
}

// install makes s the current version if it is higher than the installed one,
// and reports whether it did.
func (d *Distributor) install(s *ruleset) (bool, error) {
	d.installMu.Lock()
	defer d.installMu.Unlock()
	if s.Version <= d.version() {
		d.cfg.Scope.Counter("lower_version_ignored").Inc(1)
		return false, nil
	}
	rules, err := d.cfg.Parse(s.Version, s.body)
	if err != nil {
		d.cfg.Scope.Counter("parse_errors").Inc(1)
		return false, fmt.Errorf("rules version %d: %w", s.Version, err)
	}
	if err := d.addDelta(s); err != nil {
		return false, err
	}
	now := d.cfg.Clock.Now()
	d.mu.Lock()
	d.current, d.installedAt = s, now
	if d.pending.version <= s.Version {
		d.pending = pendingVersion{}
	}
	d.mu.Unlock()
	d.cfg.Scope.Counter("installed").Inc(1)
	d.cfg.Log.Info("distributor: installed rules", "version", s.Version, "author", s.Author)
	d.cfg.OnInstall(rules)
	return true, nil
}

// addDelta sets the delta of s relative to the installed version, if any.
func (d *Distributor) addDelta(s *ruleset) error {
	d.mu.Lock()
	base := d.current
	d.mu.Unlock()
	if base == nil {
		return nil
	}
	diff, middle := newDelta(base, s.body)
	packed, err := compress(middle)
	if err != nil {
		return err
	}
	s.delta, s.compressedMiddle = &diff, packed
	return nil
}
