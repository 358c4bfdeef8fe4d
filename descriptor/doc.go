// Package descriptor defines the vocabulary that all other packages share: ids,
// units, resources, requests, tasks, targets and outcomes.
//
// It holds no behaviour beyond the rules that belong to the types themselves,
// such as which state changes of a request are possible.
package descriptor

//go:generate go tool stringer -type=Policy,Priority,OutcomeKind,Reason,TaskState -linecomment -output=enums_string.go
