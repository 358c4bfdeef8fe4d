package descriptor

import (
	"path"
	"time"
)

// Rules is a complete, checked set of rules. It is not changed once built.
type Rules struct {
	Version RulesVersion
	Teams   map[TeamID]Team
	Callers []CallerRule
	Access  []AccessRule
	Kinds   map[KindName]Kind
	Weights Weights
}

// Team holds the weight and quota of a team.
type Team struct {
	ID TeamID
	// Weight is the team's share relative to other teams; at least 1.
	Weight float64
	// Quota is the fraction of the capacity that the team is entitled to, in
	// (0, 1]; 0 means that there is no quota. Above it the team may still use
	// capacity that is idle.
	Quota float64
}

// CallerRule applies to all callers that match Pattern, as path.Match does.
type CallerRule struct {
	Pattern string
	Team    TeamID
	Home    DataCentreID // empty: by rendezvous hashing
	// MaxQueued bounds the waiting requests of each caller; 0 means the default.
	MaxQueued int
}

// AccessRule allows or denies the kinds that match Kind to callers that match
// Caller. The first match decides.
type AccessRule struct {
	Allow  bool
	Caller string
	Kind   string
}

// Kind holds the defaults and limits of a kind of work.
type Kind struct {
	Name           KindName
	Policy         Policy
	Priority       Priority
	Idempotent     bool
	Checkpointable bool
	Tasks          int // tasks that must run at once; at least 1
	Resources      Resources
	Run            time.Duration // declared run time of a task
	Deadline       time.Duration // from arrival to answer
	// Limit is the fraction of the capacity that the kind may take, in (0, 1].
	Limit float64
}

// Weights says how much the operators weigh each measure.
type Weights struct {
	// Crest weighs waiting time at the peak of a demand swing; 1 is neutral.
	Crest float64
	// ShortFirst weighs short work that would wait behind long work; 1 is neutral.
	ShortFirst float64
}

// CallerRule returns the first rule that matches the caller.
func (r *Rules) CallerRule(c CallerID) (CallerRule, bool) {
	for _, rule := range r.Callers {
		if ok, _ := path.Match(rule.Pattern, string(c)); ok {
			return rule, true
		}
	}
	return CallerRule{}, false
}

// Allowed reports whether the caller may run the kind. Without a matching rule
// it may not.
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
