package descriptor

import (
	"path"
	"time"
)

// Rules is a complete, validated set of rules. It is immutable once built.
type Rules struct {
	Version RulesVersion
	Teams   map[TeamID]Team
	Callers []CallerRule
	Access  []AccessRule
	Kinds   map[KindName]Kind
	Weights Weights
}

// Team defines the weight and quota of a team.
type Team struct {
	ID TeamID
	// Weight is the team's share relative to other teams; at least 1.
	Weight float64
	// Quota is the fraction of the capacity to which the team is entitled, in
	// (0, 1]; 0 means no quota. A team may exceed its quota by using idle
	// capacity.
	Quota float64
}

// CallerRule applies to all callers that match Pattern, which has the syntax of
// path.Match.
type CallerRule struct {
	Pattern string
	Team    TeamID
	Home    DataCentreID // if empty, chosen by rendezvous hashing
	// MaxQueued limits the queued requests of each caller; 0 means the default.
	MaxQueued int
}

// AccessRule allows or denies callers that match Caller to run the kinds that
// match Kind. The first matching rule applies.
type AccessRule struct {
	Allow  bool
	Caller string
	Kind   string
}

// Kind defines the defaults and limits of a kind of work.
type Kind struct {
	Name           KindName
	Policy         Policy
	Priority       Priority
	Idempotent     bool
	Checkpointable bool
	Tasks          int // number of tasks that must run concurrently; at least 1
	Resources      Resources
	DeclaredRun    time.Duration // declared run time of a task
	Deadline       time.Duration // default time from arrival to deadline
	// CapacityLimit is the largest fraction of the capacity that the kind may
	// use, in (0, 1].
	CapacityLimit float64
}

// Weights holds the weights that the operators assign to scheduling objectives.
type Weights struct {
	// PeakWait is the weight of waiting time during a demand peak; 1 is neutral.
	// Rules files call it crest.
	PeakWait float64
	// ShortFirst is the weight of the waiting time of short requests behind long
	// ones; 1 is neutral.
	ShortFirst float64
}

// CallerRule returns the first rule that matches the caller, and false if there
// is none.
func (r *Rules) CallerRule(c CallerID) (CallerRule, bool) {
	for _, rule := range r.Callers {
		if ok, _ := path.Match(rule.Pattern, string(c)); ok {
			return rule, true
		}
	}
	return CallerRule{}, false
}

// Allowed reports whether the caller may run the kind. Access is denied if no
// rule matches.
func (r *Rules) Allowed(c CallerID, k KindName) bool {
	for _, rule := range r.Access {
		callerOK, _ := path.Match(rule.Caller, string(c))
		kindOK, _ := path.Match(rule.Kind, string(k))
		if callerOK && kindOK {
			return rule.Allow
		}
	}
	return false
}
