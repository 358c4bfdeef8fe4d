package storer

import "context"

// Class orders the calls that wait for the instance's share of the budget. A
// call of a lower class never waits behind one of a higher class.
type Class uint8

// The classes, from first to last.
const (
	// ClassRenewal is for renewals and the other calls of the leases. A renewal
	// that waits behind other calls would lose the lease under load.
	ClassRenewal Class = iota
	// ClassClaim is for claims and outcomes, for which callers wait.
	ClassClaim
	// ClassOther is for everything else; the default.
	ClassOther
	classCount
)

type classKey struct{}

// WithClass returns a context whose calls have the given class.
func WithClass(ctx context.Context, c Class) context.Context {
	return context.WithValue(ctx, classKey{}, c)
}

// classOf returns the class of a call.
func classOf(ctx context.Context) Class {
	if c, ok := ctx.Value(classKey{}).(Class); ok {
		return c
	}
	return ClassOther
}
