// Package emulator provides small stand-ins of the platform: the table service,
// the object store, the directory and targets. Faults can be switched on at run
// time, so that tests can cause what the platform does on bad days.
package emulator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults are the faults of one stand-in. The zero value is a healthy one.
type Faults struct {
	// Down refuses every call with status 503.
	Down bool `json:"down,omitempty"`
	// DelayMs is added before each answer, after the call took effect.
	DelayMs int64 `json:"delayMs,omitempty"`
	// LoseAnswers is the number of coming write calls whose answer is lost after
	// the write took effect; -1 loses all.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// FailAll makes every task of a target fail at once.
	FailAll bool `json:"failAll,omitempty"`
	// Leaving makes a target say that it leaves.
	Leaving bool `json:"leaving,omitempty"`
	// LagMs is the age of the directory's list and of usage reports.
	LagMs int64 `json:"lagMs,omitempty"`
}

// faultSwitch holds the current faults of a stand-in.
type faultSwitch struct {
	mu     sync.Mutex
	faults Faults
}

// Set replaces the faults.
func (s *faultSwitch) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Get returns the faults.
func (s *faultSwitch) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// loseAnswer reports whether the answer of this write is to be lost.
func (s *faultSwitch) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return true
	}
	return s.faults.LoseAnswers < 0
}

// serveFaults reads (GET) or replaces (POST) the faults.
func (s *faultSwitch) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(f)
	}
	writeJSON(w, http.StatusOK, s.Get())
}

// guard applies the faults that concern every call. It reports whether the call
// may go on.
func (s *faultSwitch) guard(w http.ResponseWriter) bool {
	if s.Get().Down {
		http.Error(w, "switched off", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// delay waits as long as the faults say.
func (s *faultSwitch) delay(r *http.Request) {
	d := time.Duration(s.Get().DelayMs) * time.Millisecond
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// dropConnection closes the connection without an answer.
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
