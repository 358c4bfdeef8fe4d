package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// advice is the timing of the advice service for the queue, and its state. It permits
// all workers for all steps.
type advice struct {
	decisionMs, periodMs float64
	validityMs           int64

	mu      sync.Mutex
	callers map[string]*sync.Mutex
	waiting int
}

// ServeHTTP is the advice service. It handles one call at a time for each calling
// machine, and refuses calls while 32 wait.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || r.URL.Path != "/advise" || len(req.Workers) > 100 || p.advice == nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	a := p.advice
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	a.mu.Lock()
	if a.callers == nil {
		a.callers = map[string]*sync.Mutex{}
	}
	turn := a.callers[ip]
	if turn == nil {
		turn = new(sync.Mutex)
		a.callers[ip] = turn
	}
	if a.waiting >= 32 {
		a.mu.Unlock()
		writeJSON(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	a.waiting++
	a.mu.Unlock()
	turn.Lock()
	time.Sleep(time.Duration((a.decisionMs + a.periodMs*float64(len(req.Workers))) * float64(time.Millisecond)))
	turn.Unlock()
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
	good := [][2]string{}
	for _, id := range req.Workers {
		for _, k := range p.workers {
			if k.id == id {
				k.mu.Lock()
				good = append(good, [2]string{id, fmt.Sprintf("%s/%s/%d/%d", req.Step, id, k.born.UnixMilli(), time.Now().UnixMilli()+a.validityMs)})
				k.mu.Unlock()
			}
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"good": good, "validityMs": a.validityMs})
}

// validTicket reports whether a ticket is valid for a task on a worker. k.mu is held.
func (p *platform) validTicket(k *worker, task, ticket string) bool {
	var until int64
	step := task[:strings.LastIndex(task, ".")]
	rest, ok := strings.CutPrefix(ticket, fmt.Sprintf("%s/%s/%d/", step, k.id, k.born.UnixMilli()))
	if !ok {
		return false
	}
	_, err := fmt.Sscanf(rest, "%d", &until)
	return err == nil && time.Now().UnixMilli() <= until
}
