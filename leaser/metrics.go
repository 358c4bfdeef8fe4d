package leaser

import "github.com/uber-go/tally/v4"

// metrics counts events by their reason.
type metrics struct {
	renewed, renewalAmbiguous, renewalUnavailable tally.Counter
	deposed, registered                           tally.Counter
	taken, takeConflicts                          tally.Counter
	takeovers, takeoverConflicts, takeoverRefused tally.Counter
	handedOver, handoverConflicts                 tally.Counter
	promiseGiven, promiseRefused                  tally.Counter
	consentGiven, consentRefused                  tally.Counter
	scanFailed                                    tally.Counter
	owned                                         tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	counter := func(name, label, value string) tally.Counter {
		return s.Tagged(map[string]string{label: value}).Counter(name)
	}
	return metrics{
		renewed:            counter("renewals", "result", "renewed"),
		renewalAmbiguous:   counter("renewals", "result", "ambiguous"),
		renewalUnavailable: counter("renewals", "result", "unavailable"),
		deposed:            counter("sessions", "event", "deposed"),
		registered:         counter("sessions", "event", "registered"),
		taken:              counter("slices", "event", "taken"),
		takeConflicts:      counter("slices", "event", "takeConflict"),
		handedOver:         counter("slices", "event", "handedOver"),
		handoverConflicts:  counter("slices", "event", "handoverConflict"),
		takeovers:          counter("takeovers", "result", "done"),
		takeoverConflicts:  counter("takeovers", "result", "conflict"),
		takeoverRefused:    counter("takeovers", "result", "noConsent"),
		promiseGiven:       counter("promises", "result", "given"),
		promiseRefused:     counter("promises", "result", "refused"),
		consentGiven:       counter("consents", "result", "given"),
		consentRefused:     counter("consents", "result", "refused"),
		scanFailed:         s.Counter("scan_failures"),
		owned:              s.Gauge("owned_slices"),
	}
}
