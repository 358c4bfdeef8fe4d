// Package descriptor defines the data types shared by all other packages: IDs,
// units, resources, requests, tasks, targets and outcomes.
//
// It contains no logic beyond the invariants of the types themselves, such as
// the state transitions that a request may make.
package descriptor

//go:generate go tool stringer -type=Policy,Priority,OutcomeKind,Reason,TaskState -linecomment -output=enums_string.go
