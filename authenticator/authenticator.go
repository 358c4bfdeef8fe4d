// Package authenticator decides which tenant an API key belongs to, and whether the
// configuration that says so is recent enough to accept a request. It makes no calls and
// reads no clock of its own.
package authenticator

import (
	"crypto/sha256"
	"errors"

	w "github.com/masticlead/masticlead/workload"
)

// ErrUnknownKey reports that a request carries no key, or one that belongs to no tenant.
var ErrUnknownKey = errors.New("authenticator: missing or unknown API key")

// MaxKeyBytes is the length of the longest key that is looked up. Longer ones are unknown.
const MaxKeyBytes = 256

// Credential is the digest of the API key that a request carries. The zero value stands
// for a request without a usable key. It does not contain the key, so it may be passed
// on, and prints as a constant.
type Credential struct {
	digest  w.KeyDigest
	present bool
}

// NewCredential returns the credential for a key. An empty key, and one longer than
// MaxKeyBytes, gives the zero Credential without being hashed.
func NewCredential(key string) Credential {
	if key == "" || len(key) > MaxKeyBytes {
		return Credential{}
	}
	return Credential{digest: sha256.Sum256([]byte(key)), present: true}
}

// String implements fmt.Stringer.
func (c Credential) String() string { return "credential" }

// GoString implements fmt.GoStringer.
func (c Credential) GoString() string { return "credential" }

// Authenticator maps the keys of one configuration to tenants. It is immutable.
type Authenticator struct {
	tenants map[w.KeyDigest]w.TenantName
}

// New returns an Authenticator for the keys of the given tenants. A key that several
// tenants have belongs to the first of them. Tenants without a name are left out: their
// jobs would be visible to all tenants.
func New(tenants []w.Tenant) *Authenticator {
	a := &Authenticator{tenants: make(map[w.KeyDigest]w.TenantName)}
	for i := range tenants {
		t := &tenants[i]
		if t.Name == "" {
			continue
		}
		for _, key := range t.Keys {
			if key == (w.KeyDigest{}) {
				continue // the place of an empty key
			}
			if _, taken := a.tenants[key]; !taken {
				a.tenants[key] = t.Name
			}
		}
	}
	return a
}

// Tenant returns the tenant that a credential belongs to, or ErrUnknownKey. The time of
// the look-up depends only on the digest, from which nothing about stored keys follows.
func (a *Authenticator) Tenant(c Credential) (w.TenantName, error) {
	if !c.present {
		return "", ErrUnknownKey
	}
	tenant, ok := a.tenants[c.digest]
	if !ok {
		return "", ErrUnknownKey
	}
	return tenant, nil
}

// Keys returns the number of different keys.
func (a *Authenticator) Keys() int { return len(a.tenants) }

// Removed returns the number of keys of a that next does not assign to the same tenant.
func (a *Authenticator) Removed(next *Authenticator) int {
	n := 0
	for key, tenant := range a.tenants {
		if next.tenants[key] != tenant {
			n++
		}
	}
	return n
}
