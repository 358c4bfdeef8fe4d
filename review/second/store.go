package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The store of the platform as PROTOCOL.md describes it: rows in tables, transactions under
// conditions, reads of ranges and feeds of changes. It keeps its whole history.

const (
	rowBytes       = 65536
	maxTxEntries   = 100
	maxTxBytes     = 1 << 20
	maxReadRows    = 500
	maxReadBytes   = 1 << 20
	storeReadTime  = 4 * time.Millisecond
	storeWriteTime = 4 * time.Millisecond
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowName struct{ table, part, key string }

type store struct {
	mu      sync.Mutex
	start   time.Time
	ver     int64
	rows    map[string]map[rowName]row // by table
	history map[string][]row           // by table
	changed chan struct{}              // closed and replaced with each change
}

func newStore() *store {
	return &store{start: time.Now(), rows: make(map[string]map[rowName]row), history: make(map[string][]row), changed: make(chan struct{})}
}

type txBody struct {
	ExpectedRev []row `json:"expectedRev"`
	Writes      []row `json:"writes"`
	Remove      []row `json:"remove"`
	Across      bool  `json:"across"`
}

// nowMs is the steady clock of the store.
func (s *store) nowMs() int64 { return 50000 + time.Since(s.start).Milliseconds() }

// put writes a row without a condition, as the operator and the workers do.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(&txBody{Writes: []row{{Table: table, Key: key, Value: text}}})
}

func (s *store) drop(table, key string) {
	s.apply(&txBody{Remove: []row{{Table: table, Key: key}}})
}

// read returns the value of a row, or nil.
func (s *store) read(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[table][rowName{table, part, key}].Value
}

// apply carries out a transaction. It returns false and the current rows if a condition does
// not hold.
func (s *store) apply(t *txBody) (int64, bool, []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := true
	current := []row{}
	for _, e := range t.ExpectedRev {
		r, found := s.rows[e.Table][rowName{e.Table, e.Part, e.Key}]
		if found {
			current = append(current, r)
		}
		ok = ok && r.Ver == e.Ver
	}
	if !ok {
		return s.ver, false, current
	}
	s.ver++
	for _, w := range t.Writes {
		w.Ver, w.Deleted = s.ver, false
		if s.rows[w.Table] == nil {
			s.rows[w.Table] = make(map[rowName]row)
		}
		s.rows[w.Table][rowName{w.Table, w.Part, w.Key}] = w
		s.history[w.Table] = append(s.history[w.Table], w)
	}
	for _, d := range t.Remove {
		name := rowName{d.Table, d.Part, d.Key}
		if _, found := s.rows[d.Table][name]; found {
			delete(s.rows[d.Table], name)
			s.history[d.Table] = append(s.history[d.Table], row{Table: d.Table, Part: d.Part, Key: d.Key, Ver: s.ver, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver, true, nil
}

// ServeHTTP serves the calls of the system.
func (s *store) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/rows-tx":
		s.serveTx(rw, r)
	case r.Method == http.MethodGet && r.URL.Path == "/rows-get":
		time.Sleep(storeReadTime)
		s.serveGet(rw, r)
	case r.Method == http.MethodGet && r.URL.Path == "/rows-feed":
		time.Sleep(storeReadTime)
		s.serveFeed(rw, r)
	default:
		answer(rw, http.StatusNotFound, struct{}{})
	}
}

func (s *store) serveTx(rw http.ResponseWriter, r *http.Request) {
	var t txBody
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		answer(rw, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	time.Sleep(storeWriteTime)
	size, parts := 0, make(map[string]bool)
	for _, list := range [][]row{t.ExpectedRev, t.Writes, t.Remove} {
		for _, e := range list {
			parts[e.Part] = true
			size += len(e.Value)
			if len(e.Value) > rowBytes {
				answer(rw, http.StatusBadRequest, map[string]string{"error": "a value is too large"})
				return
			}
		}
	}
	for _, list := range [][]row{t.Writes, t.Remove} {
		for _, e := range list {
			if e.Table == "op" || e.Table == "servers" {
				answer(rw, http.StatusForbidden, struct{}{})
				return
			}
		}
	}
	if len(t.ExpectedRev)+len(t.Writes)+len(t.Remove) > maxTxEntries || size > maxTxBytes || (len(parts) > 1 && !t.Across) {
		answer(rw, http.StatusBadRequest, map[string]string{"error": "too many entries, too large, or over several parts"})
		return
	}
	ver, ok, current := s.apply(&t)
	if !ok {
		answer(rw, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": ver, "nowMs": s.nowMs()})
		return
	}
	answer(rw, http.StatusOK, map[string]any{"ver": ver, "nowMs": s.nowMs()})
}

func (s *store) serveGet(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table, part, from, target := q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target")
	limit := maxReadRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	list := []row{}
	for name, x := range s.rows[table] {
		if name.part == part && name.key >= from && (target == "" || name.key < target) {
			list = append(list, x)
		}
	}
	ver, now := s.ver, s.nowMs()
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	n, size := 0, 0
	for n < len(list) && n < limit && (n == 0 || size+len(list[n].Value) <= maxReadBytes) {
		size += len(list[n].Value)
		n++
	}
	answer(rw, http.StatusOK, map[string]any{"rows": list[:n], "truncated": n < len(list), "ver": ver, "nowMs": now})
}

func (s *store) serveFeed(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		history := s.history[q.Get("table")]
		first := sort.Search(len(history), func(i int) bool { return history[i].Ver > after })
		list := append([]row{}, history[first:]...)
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			answer(rw, http.StatusOK, map[string]any{"rows": list, "ver": ver, "nowMs": s.nowMs()})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(rw, http.StatusOK, map[string]any{"rows": list, "ver": ver, "nowMs": s.nowMs()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer writes a JSON response.
func answer(rw http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(text)
}
