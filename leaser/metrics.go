package leaser

import "github.com/uber-go/tally/v4"

// metrics holds the counters and gauges of a leaser.
type metrics struct {
	renewed, renewalAmbiguous, renewalUnavailable tally.Counter
	sessionsLost, sessionsRegistered              tally.Counter
	acquired, acquireConflicts                    tally.Counter
	takeovers, takeoverConflicts, takeoverRefused tally.Counter
	handedOver, handoverConflicts                 tally.Counter
	promiseGiven, promiseRefused                  tally.Counter
	consentGiven, consentRefused                  tally.Counter
	scanFailures                                  tally.Counter
	ownedSlices                                   tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	counter := func(name, label, value string) tally.Counter {
		return s.Tagged(map[string]string{label: value}).Counter(name)
	}
	return metrics{
		renewed:            counter("renewals", "result", "renewed"),
		renewalAmbiguous:   counter("renewals", "result", "ambiguous"),
		renewalUnavailable: counter("renewals", "result", "unavailable"),
		sessionsLost:       counter("sessions", "event", "deposed"),
		sessionsRegistered: counter("sessions", "event", "registered"),
		acquired:           counter("slices", "event", "taken"),
		acquireConflicts:   counter("slices", "event", "takeConflict"),
		handedOver:         counter("slices", "event", "handedOver"),
		handoverConflicts:  counter("slices", "event", "handoverConflict"),
		takeovers:          counter("takeovers", "result", "done"),
		takeoverConflicts:  counter("takeovers", "result", "conflict"),
		takeoverRefused:    counter("takeovers", "result", "noConsent"),
		promiseGiven:       counter("promises", "result", "given"),
		promiseRefused:     counter("promises", "result", "refused"),
		consentGiven:       counter("consents", "result", "given"),
		consentRefused:     counter("consents", "result", "refused"),
		scanFailures:       s.Counter("scan_failures"),
		ownedSlices:        s.Gauge("owned_slices"),
	}
}
