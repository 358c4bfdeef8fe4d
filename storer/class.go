package storer

import "context"

// Class is the priority class of a call. Calls that wait for the rate limit are
// served in ascending order of class, so a call never waits behind one of a
// higher value.
type Class uint8

// The priority classes, from highest to lowest priority.
const (
	// ClassRenewal is for lease renewals and other lease operations. If renewals
	// waited behind other calls, leases would expire under load.
	ClassRenewal Class = iota
	// ClassClaim is for writing claims and outcomes, on which callers wait.
	ClassClaim
	// ClassOther is the default class, for all other calls.
	ClassOther
	classCount
)

type classKey struct{}

// WithClass returns a copy of ctx that gives calls of a Store the class c.
func WithClass(ctx context.Context, c Class) context.Context {
	return context.WithValue(ctx, classKey{}, c)
}

// classOf returns the class set by WithClass, or ClassOther.
func classOf(ctx context.Context) Class {
	if c, ok := ctx.Value(classKey{}).(Class); ok {
		return c
	}
	return ClassOther
}
