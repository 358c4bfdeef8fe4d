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

// VersionInfo describes a version of the rules. It is the value of the head row
// and of the history rows.
type VersionInfo struct {
	Version descriptor.RulesVersion `json:"version"`
	Hash    string                  `json:"hash"` // SHA-256 of the body, in hex
	Author  string                  `json:"author"`
	// AppliedMs is when the version was applied, in Unix milliseconds on the
	// clock of the instance that applied it.
	AppliedMs int64 `json:"appliedMs"`
}

// Applied returns when the version was applied.
func (i VersionInfo) Applied() time.Time { return time.UnixMilli(i.AppliedMs) }

// ruleset is a version with its body. It is not changed once installed.
type ruleset struct {
	VersionInfo
	body   []byte
	packed []byte // body compressed
	// delta and between describe the body by the version that was in force
	// here before; delta is nil if there was none.
	delta   *delta
	between []byte // compressed
}

// message returns the form between instances, as a delta if the receiver is
// thought to have its base.
func (s *ruleset) message(asDelta bool) rulesMessage {
	if asDelta && s.delta != nil {
		return rulesMessage{VersionInfo: s.VersionInfo, Packed: s.between, Delta: s.delta}
	}
	return rulesMessage{VersionInfo: s.VersionInfo, Packed: s.packed}
}

func hashOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// newRuleset checks the body against the hash and compresses it.
func newRuleset(info VersionInfo, body []byte) (*ruleset, error) {
	if len(body) > MaxBody {
		return nil, fmt.Errorf("rules have %d bytes, limit %d", len(body), MaxBody)
	}
	if got := hashOf(body); got != info.Hash {
		return nil, fmt.Errorf("rules version %d: body has hash %s, want %s", info.Version, got, info.Hash)
	}
	packed, err := pack(body)
	if err != nil {
		return nil, err
	}
	return &ruleset{VersionInfo: info, body: body, packed: packed}, nil
}

// pack compresses a body. Rules files consist of many similar lines, and they
// are the largest messages between instances.
func pack(body []byte) ([]byte, error) {
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

// unpack reverses pack, up to MaxBody.
func unpack(packed []byte) ([]byte, error) {
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

// install puts a version in force if it is higher than the current one. It
// reports whether it did.
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
	if err := d.describe(s); err != nil {
		return false, err
	}
	now := d.cfg.Clock.Now()
	d.mu.Lock()
	d.current, d.since = s, now
	if d.wanted.version <= s.Version {
		d.wanted = wanted{}
	}
	d.mu.Unlock()
	d.cfg.Scope.Counter("installed").Inc(1)
	d.cfg.Log.Info("distributor: installed rules", "version", s.Version, "author", s.Author)
	d.cfg.OnInstall(rules)
	return true, nil
}

// describe adds the delta from the version in force.
func (d *Distributor) describe(s *ruleset) error {
	d.mu.Lock()
	base := d.current
	d.mu.Unlock()
	if base == nil {
		return nil
	}
	change, between := newDelta(base, s.body)
	packed, err := pack(between)
	if err != nil {
		return err
	}
	s.delta, s.between = &change, packed
	return nil
}
