// Package emulator provides in-memory emulators of the platform services (the
// table service, the object store and the directory) and of targets. Faults can be
// injected at run time, so that tests can reproduce failures of the platform.
package emulator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults is the set of faults injected into one emulator. The zero value injects no
// faults.
type Faults struct {
	// Down makes calls fail with status 503 and without effect. The endpoints for
	// faults, statistics and the run history remain available.
	Down bool `json:"down,omitempty"`
	// DelayMs delays each response. Calls to the table and to targets take effect
	// before the delay, writes to the object store and the directory after it.
	DelayMs int64 `json:"delayMs,omitempty"`
	// DropResponses is the number of further table commits and start orders whose
	// response is dropped after the call was processed; -1 drops all of them.
	DropResponses int `json:"loseAnswers,omitempty"`
	// FailAll makes every task that is started on a target fail immediately.
	FailAll bool `json:"failAll,omitempty"`
	// Leaving makes a target report that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// LagMs is the delay after which a change is visible in the directory's list or
	// in the resource usage that a target reports.
	LagMs int64 `json:"lagMs,omitempty"`
}

// faultInjector holds the current faults of an emulator and applies them.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// SetFaults replaces the current faults.
func (inj *faultInjector) SetFaults(f Faults) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.faults = f
}

// Faults returns the current faults.
func (inj *faultInjector) Faults() Faults {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.faults
}

// shouldDropResponse reports whether the response to the current call is to be
// dropped. It decrements a positive Faults.DropResponses.
func (inj *faultInjector) shouldDropResponse() bool {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if inj.faults.DropResponses > 0 {
		inj.faults.DropResponses--
		return true
	}
	return inj.faults.DropResponses < 0
}

// serveFaults replaces the faults on POST, and returns the current faults for every
// method.
func (inj *faultInjector) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		inj.SetFaults(f)
	}
	writeJSON(w, http.StatusOK, inj.Faults())
}

// checkAvailable writes an error response if the emulator is down. It reports
// whether the call may proceed.
func (inj *faultInjector) checkAvailable(w http.ResponseWriter) bool {
	if inj.Faults().Down {
		http.Error(w, "switched off", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// delayResponse waits for Faults.DelayMs or until the request is cancelled.
func (inj *faultInjector) delayResponse(r *http.Request) {
	d := time.Duration(inj.Faults().DelayMs) * time.Millisecond
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// dropConnection closes the connection without sending a response.
func dropConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
