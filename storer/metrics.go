package storer

import "github.com/uber-go/tally/v4"

// metrics provides counters of retries and refused calls, tagged by reason.
type metrics struct{ scope tally.Scope }

func newMetrics(scope tally.Scope) metrics { return metrics{scope} }

func (m metrics) retried(call, reason string) tally.Counter {
	return m.scope.Tagged(map[string]string{"call": call, "reason": reason}).Counter("retries")
}

func (m metrics) refused(reason string) tally.Counter {
	return m.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals")
}
