package distributor

import (
	"fmt"

	"github.com/masticlead/masticlead/descriptor"
)

// delta encodes a body relative to the body of a base version, as the lengths of
// their common prefix and suffix. Rule changes mostly touch a few neighbouring
// lines, so the bytes in between, which are sent separately, are few.
type delta struct {
	Base   descriptor.RulesVersion `json:"base"`
	Prefix int                     `json:"prefix"` // length of the common prefix in bytes
	Suffix int                     `json:"suffix"` // length of the common suffix in bytes
}

// newDelta returns the delta from base to body, and the bytes of body between
// the common prefix and suffix.
func newDelta(base *ruleset, body []byte) (delta, []byte) {
	old, maxCommon := base.body, min(len(base.body), len(body))
	prefix, suffix := 0, 0
	for prefix < maxCommon && old[prefix] == body[prefix] {
		prefix++
	}
	for suffix < maxCommon-prefix && old[len(old)-1-suffix] == body[len(body)-1-suffix] {
		suffix++
	}
	return delta{base.Version, prefix, suffix}, body[prefix : len(body)-suffix]
}

// apply reconstructs the body from base and the bytes between prefix and suffix.
func (d delta) apply(base *ruleset, middle []byte) ([]byte, error) {
	n := len(base.body)
	if base.Version != d.Base || d.Prefix < 0 || d.Suffix < 0 || d.Prefix > n || d.Suffix > n-d.Prefix {
		return nil, fmt.Errorf("delta of version %d does not fit version %d", d.Base, base.Version)
	}
	body := make([]byte, 0, d.Prefix+len(middle)+d.Suffix)
	body = append(body, base.body[:d.Prefix]...)
	body = append(body, middle...)
	return append(body, base.body[n-d.Suffix:]...), nil
}
