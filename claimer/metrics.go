package claimer

import "github.com/uber-go/tally/v4"

// metrics counts transactions and the results of writes.
type metrics struct {
	transactions, retries             tally.Counter
	won, lost, unavailable, ambiguous tally.Counter
	recorded, withdrawn, swept        tally.Counter
}

func newMetrics(s tally.Scope) metrics {
	result := func(r string) tally.Counter {
		return s.Tagged(map[string]string{"result": r}).Counter("claims")
	}
	return metrics{
		transactions: s.Counter("transactions"),
		retries:      s.Counter("ambiguous_retries"),
		won:          result("won"),
		lost:         result("lost"),
		unavailable:  result("unavailable"),
		ambiguous:    result("ambiguous"),
		recorded:     s.Counter("outcomes"),
		withdrawn:    s.Counter("withdrawn"),
		swept:        s.Counter("swept"),
	}
}
