package distributor

import (
	"fmt"

	"github.com/masticlead/masticlead/descriptor"
)

// delta describes a body by what differs from the body of another version. A
// change of rules mostly concerns a few neighbouring lines, so a common start, a
// common end and what is new between them describe it well.
type delta struct {
	Base   descriptor.RulesVersion `json:"base"`
	Prefix int                     `json:"prefix"` // bytes of the base at the start
	Suffix int                     `json:"suffix"` // bytes of the base at the end
}

// newDelta returns the delta from base to body and the bytes between the common
// start and end.
func newDelta(base *ruleset, body []byte) (delta, []byte) {
	from, shorter := base.body, min(len(base.body), len(body))
	prefix, suffix := 0, 0
	for prefix < shorter && from[prefix] == body[prefix] {
		prefix++
	}
	for suffix < shorter-prefix && from[len(from)-1-suffix] == body[len(body)-1-suffix] {
		suffix++
	}
	return delta{base.Version, prefix, suffix}, body[prefix : len(body)-suffix]
}

// apply returns the body that d and the bytes between describe.
func (d delta) apply(base *ruleset, between []byte) ([]byte, error) {
	n := len(base.body)
	if base.Version != d.Base || d.Prefix < 0 || d.Suffix < 0 || d.Prefix > n || d.Suffix > n-d.Prefix {
		return nil, fmt.Errorf("delta of version %d does not fit version %d", d.Base, base.Version)
	}
	body := make([]byte, 0, d.Prefix+len(between)+d.Suffix)
	body = append(body, base.body[:d.Prefix]...)
	body = append(body, between...)
	return append(body, base.body[n-d.Suffix:]...), nil
}
