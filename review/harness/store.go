package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as the pages and the settings state them.
const (
	rowBytes      = 65536
	maxTxEntries  = 100
	maxTxBytes    = 1 << 20
	maxScanRows   = 500
	historyLength = 20 * time.Second
	txTime        = 3 * time.Millisecond
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
	at      time.Time
}

type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's store. Instances call it over HTTP; the
// operator and the workers of this stand-in write to it directly.
type store struct {
	mu          sync.Mutex
	start       time.Time
	ver         int64
	rows        map[rowKey]row
	history     []row
	compactedTo int64
	changed     chan struct{}
	down        bool // answers nothing and does nothing
	silent      func(part string) bool
	late        func(*row) bool // writes with such a row are not answered, and done after lateBy
	lateBy      time.Duration
	away        map[string]bool
	refused     map[string]int
	writes      int // transactions of the instances
	lost        int // of these, the ones that got no answer
	rec         *recorder
}

func newStore(rec *recorder) *store {
	return &store{start: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), refused: map[string]int{}, rec: rec}
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
}

// headerNode is set by the listener of a machine, to which only its instance connects.
const headerNode = "X-Review-Node"

// handlerFor returns the store as the machine with the given name sees it.
func (s *store) handlerFor(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(headerNode, name)
		s.ServeHTTP(w, r)
	})
}

// turnAway sets whether the store answers 503 to a machine.
func (s *store) turnAway(name string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away == nil {
		s.away = map[string]bool{}
	}
	s.away[name] = away
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// put and remove are writes of the operator and of the workers.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Value: text, Ver: s.ver})
	s.notify()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := rowKey{table, "", key}
	if _, ok := s.rows[k]; !ok {
		return
	}
	s.ver++
	s.drop(k)
	s.notify()
}

func (s *store) write(r row) {
	r.at = time.Now()
	s.rows[rowKey{r.Table, r.Part, r.Key}] = r
	s.history = append(s.history, r)
}

func (s *store) drop(k rowKey) {
	delete(s.rows, k)
	s.history = append(s.history, row{Table: k.table, Part: k.part, Key: k.key, Ver: s.ver, Deleted: true, at: time.Now()})
}

func (s *store) notify() {
	old := 0
	for old < len(s.history) && time.Since(s.history[old].at) > historyLength {
		s.compactedTo = s.history[old].Ver
		old++
	}
	s.history = s.history[old:]
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) nowMs() int64 { return time.Since(s.start).Milliseconds() }

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	away := s.away[r.Header.Get(headerNode)]
	s.mu.Unlock()
	if away {
		writeJSON(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	if s.isDown() || s.isSilent(r, body) {
		<-r.Context().Done()
		return
	}
	var status int
	var out any
	switch r.URL.Path {
	case "/rows-tx":
		time.Sleep(txTime)
		if s.isLate(body) {
			time.AfterFunc(s.lateBy, func() {
				status, _ := s.tx(body)
				s.rec.log("store: a write that got no answer is done late: %d", status)
			})
			<-r.Context().Done()
			return
		}
		status, out = s.tx(body)
	case "/rows-get":
		status, out = s.get(r)
	case "/rows-feed":
		status, out = s.feed(r)
	default:
		status, out = http.StatusNotFound, struct{}{}
	}
	if s.isDown() && r.URL.Path != "/rows-tx" {
		<-r.Context().Done()
		return
	}
	writeJSON(w, status, out)
}

// setSilent sets the parts for which calls get no answer and do nothing.
func (s *store) setSilent(silent func(part string) bool) {
	s.mu.Lock()
	s.silent = silent
	s.mu.Unlock()
}

func (s *store) isSilent(r *http.Request, body []byte) bool {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent == nil {
		return false
	}
	if r.URL.Path != "/rows-tx" {
		return r.URL.Path == "/rows-get" && silent(r.URL.Query().Get("part"))
	}
	var t txRequest
	if json.Unmarshal(body, &t) != nil {
		return false
	}
	for _, list := range [][]row{t.ExpectedRev, t.Writes, t.Remove} {
		for _, e := range list {
			if silent(e.Part) {
				return true
			}
		}
	}
	return false
}

// setLate sets which writes get no answer and are done later.
func (s *store) setLate(late func(*row) bool, by time.Duration) {
	s.mu.Lock()
	s.late, s.lateBy = late, by
	s.mu.Unlock()
}

// isLate reports whether a write gets no answer and is done later.
func (s *store) isLate(body []byte) bool {
	var t txRequest
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.late == nil || json.Unmarshal(body, &t) != nil {
		return false
	}
	for i := range t.Writes {
		if s.late(&t.Writes[i]) {
			s.lost++
			s.rec.logLate(t.Writes[i].Table, t.Writes[i].Key)
			return true
		}
	}
	return false
}

// counts returns the number of writes and of those that got no answer.
func (s *store) counts() (writes, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.lost
}

type txRequest struct {
	ExpectedRev []row `json:"expectedRev"`
	Writes      []row `json:"writes"`
	Remove      []row `json:"remove"`
	Across      bool  `json:"across"`
}

func (s *store) tx(body []byte) (int, any) {
	var t txRequest
	if err := json.Unmarshal(body, &t); err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return http.StatusServiceUnavailable, struct{}{}
	}
	refuse := func(status int, why string) (int, any) {
		s.refused[why]++
		if n := s.refused[why]; n == 1 || n%100 == 0 {
			s.rec.log("store refuses a transaction (%d so far): %s", n, why)
		}
		return status, map[string]any{"error": why}
	}
	if len(t.ExpectedRev)+len(t.Writes)+len(t.Remove) > maxTxEntries || len(body) > maxTxBytes {
		return refuse(http.StatusBadRequest, "more than 100 entries or 1 MB")
	}
	var parts []string
	for _, list := range [][]row{t.ExpectedRev, t.Writes, t.Remove} {
		for _, e := range list {
			parts = append(parts, e.Part)
		}
	}
	for _, p := range parts {
		if p != parts[0] && !t.Across {
			return refuse(http.StatusBadRequest, "several parts without across")
		}
	}
	for _, list := range [][]row{t.Writes, t.Remove} {
		for _, e := range list {
			if e.Table == "op" || e.Table == "servers" {
				return refuse(http.StatusForbidden, "write to "+e.Table)
			}
			if len(e.Value) > rowBytes {
				return refuse(http.StatusBadRequest, "a value of table "+e.Table+" is over rowBytes")
			}
		}
	}
	current, ok := []row{}, true
	for _, e := range t.ExpectedRev {
		stored, found := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if found {
			current = append(current, stored)
		}
		ok = ok && stored.Ver == e.Ver
	}
	if !ok {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "nowMs": s.nowMs()}
	}
	s.ver++
	for _, e := range t.Writes {
		e.Ver = s.ver
		s.write(e)
	}
	for _, e := range t.Remove {
		s.drop(rowKey{e.Table, e.Part, e.Key})
	}
	s.notify()
	return http.StatusOK, map[string]any{"ver": s.ver, "nowMs": s.nowMs()}
}

func (s *store) get(r *http.Request) (int, any) {
	q := r.URL.Query()
	from, to := q.Get("from"), q.Get("target")
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for k, x := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= from && (to == "" || k.key < to) {
			list = append(list, x)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	limit, size, n := maxScanRows, 0, 0
	if l, err := strconv.Atoi(q.Get("limit")); err == nil && l > 0 && l < limit {
		limit = l
	}
	for n < len(list) && n < limit && (n == 0 || size+len(list[n].Value)*4/3 < 1<<20) {
		size += len(list[n].Value) * 4 / 3
		n++
	}
	return http.StatusOK, map[string]any{"rows": list[:n], "truncated": n < len(list), "ver": s.ver, "nowMs": s.nowMs()}
}

func (s *store) feed(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compactedTo {
			s.mu.Unlock()
			return http.StatusGone, struct{}{}
		}
		list := []row{}
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Ver > after {
				list = append(list, x)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			return http.StatusOK, map[string]any{"rows": list, "ver": ver, "nowMs": s.nowMs()}
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, map[string]any{"rows": list, "ver": ver, "nowMs": s.nowMs()}
		case <-r.Context().Done():
			return http.StatusOK, struct{}{}
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
