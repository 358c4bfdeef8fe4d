package descriptor

import "fmt"

// enum is a named value with a generated String method.
type enum interface {
	~uint8
	fmt.Stringer
}

// parseEnum returns the value from first to last whose name is s.
func parseEnum[E enum](what, s string, first, last E) (E, error) {
	for e := first; e <= last; e++ {
		if e.String() == s {
			return e, nil
		}
	}
	return 0, fmt.Errorf("unknown %s %q", what, s)
}

// ParsePolicy returns the policy with the given name.
func ParsePolicy(s string) (Policy, error) { return parseEnum("policy", s, Interactive, Service) }

// ParsePriority returns the priority with the given name.
func ParsePriority(s string) (Priority, error) { return parseEnum("priority", s, Urgent, Bulk) }

// ParseOutcomeKind returns the outcome kind with the given name.
func ParseOutcomeKind(s string) (OutcomeKind, error) {
	return parseEnum("outcome", s, Completed, Unknown)
}

// ParseReason returns the refusal reason with the given name.
func ParseReason(s string) (Reason, error) {
	return parseEnum("reason", s, ReasonNone, ReasonCancelledUnstarted)
}

// ParseTaskState returns the task state with the given name.
func ParseTaskState(s string) (TaskState, error) {
	return parseEnum("task state", s, TaskRunning, TaskExpired)
}

// MarshalText encodes the policy as its name.
func (p Policy) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText decodes a policy from its name.
func (p *Policy) UnmarshalText(b []byte) (err error) { *p, err = ParsePolicy(string(b)); return err }

// MarshalText encodes the priority as its name.
func (p Priority) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText decodes a priority from its name.
func (p *Priority) UnmarshalText(b []byte) (err error) {
	*p, err = ParsePriority(string(b))
	return err
}

// MarshalText encodes the state as its name.
func (s TaskState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes a task state from its name.
func (s *TaskState) UnmarshalText(b []byte) (err error) {
	*s, err = ParseTaskState(string(b))
	return err
}
