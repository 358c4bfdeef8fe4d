package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/btree"
	"github.com/gorilla/mux"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// Stats counts the calls that a platform stand-in carried out.
type Stats struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	Rows   int64 `json:"rowsWritten"`
}

// Table is an in-memory table service. It implements connector.Table.
type Table struct {
	faultSwitch
	mu      sync.Mutex
	rows    *btree.BTreeG[connector.Row]
	version connector.RowVersion

	reads, writes, rowsWritten atomic.Int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	less := func(a, b connector.Row) bool { return a.Key < b.Key }
	return &Table{rows: btree.NewG(32, less)}
}

// Get implements connector.Table.
func (t *Table) Get(_ context.Context, key connector.RowKey) (connector.Row, error) {
	t.reads.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows.Get(connector.Row{Key: key})
	if !ok {
		return connector.Row{}, connector.ErrNotFound
	}
	return row, nil
}

// Scan implements connector.Table.
func (t *Table) Scan(_ context.Context, prefix, after connector.RowKey, limit int) ([]connector.Row, error) {
	t.reads.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []connector.Row{}
	t.rows.AscendGreaterOrEqual(connector.Row{Key: max(prefix, after)}, func(row connector.Row) bool {
		if !strings.HasPrefix(string(row.Key), string(prefix)) || len(rows) >= limit {
			return false
		}
		if row.Key > after {
			rows = append(rows, row)
		}
		return true
	})
	return rows, nil
}

// Commit implements connector.Table.
func (t *Table) Commit(_ context.Context, x connector.Transaction) ([]connector.RowVersion, error) {
	if len(x.Puts)+len(x.Deletes) > connector.MaxTransactionRows {
		return nil, errors.New("transaction is too large")
	}
	t.writes.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if failed := t.failedConditions(x.Conditions); len(failed) > 0 {
		return nil, &connector.ConditionError{Rows: failed}
	}
	versions := make([]connector.RowVersion, 0, len(x.Puts))
	for _, put := range x.Puts {
		t.version++
		t.rows.ReplaceOrInsert(connector.Row{Key: put.Key, Version: t.version, Value: put.Value})
		versions = append(versions, t.version)
	}
	for _, key := range x.Deletes {
		t.rows.Delete(connector.Row{Key: key})
	}
	t.rowsWritten.Add(int64(len(x.Puts) + len(x.Deletes)))
	return versions, nil
}

func (t *Table) failedConditions(conditions []connector.Condition) []connector.Row {
	var failed []connector.Row
	for _, c := range conditions {
		row, _ := t.rows.Get(connector.Row{Key: c.Key})
		if row.Version != c.Version {
			row.Key = c.Key
			failed = append(failed, row)
		}
	}
	return failed
}

// Stats returns the calls carried out so far.
func (t *Table) Stats() Stats {
	return Stats{Reads: t.reads.Load(), Writes: t.writes.Load(), Rows: t.rowsWritten.Load()}
}

// objects is an in-memory object store.
type objects struct {
	faultSwitch
	mu     sync.Mutex
	bodies map[string][]byte
}

// directory serves a list of instances and targets that lags by Faults.LagMs.
type directory struct {
	faultSwitch
	mu       sync.Mutex
	versions []datedListing
}

type datedListing struct {
	since   time.Time
	listing connector.Listing
}

func (d *directory) set(l connector.Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions = append(d.versions, datedListing{time.Now(), l})
}

func (d *directory) get(dc descriptor.DataCentreID) connector.Listing {
	lag := time.Duration(d.Get().LagMs) * time.Millisecond
	d.mu.Lock()
	defer d.mu.Unlock()
	l := connector.Listing{Instances: []connector.ListedInstance{}, Targets: []descriptor.Target{}}
	for _, v := range d.versions {
		if time.Since(v.since) >= lag || len(l.Targets)+len(l.Instances) == 0 {
			l = v.listing
		}
	}
	return filter(l, dc)
}

func filter(l connector.Listing, dc descriptor.DataCentreID) connector.Listing {
	out := connector.Listing{Instances: []connector.ListedInstance{}, Targets: []descriptor.Target{}}
	for _, i := range l.Instances {
		if dc == "" || i.DataCentre == dc {
			out.Instances = append(out.Instances, i)
		}
	}
	for _, t := range l.Targets {
		if dc == "" || t.DataCentre == dc {
			out.Targets = append(out.Targets, t)
		}
	}
	return out
}

// Platform serves a table, an object store and a directory over HTTP under
// /table, /objects and /directory, each with /faults below it.
type Platform struct {
	Table     *Table
	objects   objects
	directory directory
}

// NewPlatform returns a platform with empty services.
func NewPlatform() *Platform {
	return &Platform{Table: NewTable(), objects: objects{bodies: map[string][]byte{}}}
}

// SetListing replaces the directory's list.
func (p *Platform) SetListing(l connector.Listing) { p.directory.set(l) }

// Handler returns the HTTP interface of the platform.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/table/faults", p.Table.serveFaults)
	r.HandleFunc("/table/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Table.Stats()) })
	r.HandleFunc("/table/get", p.serveGet)
	r.HandleFunc("/table/scan", p.serveScan)
	r.HandleFunc("/table/commit", p.serveCommit)
	r.HandleFunc("/objects/faults", p.objects.serveFaults)
	r.HandleFunc("/objects/{key:.+}", p.serveObject)
	r.HandleFunc("/directory/faults", p.directory.serveFaults)
	r.HandleFunc("/directory", p.serveDirectory)
	return r
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	var req connector.GetRequest
	if !p.Table.guard(w) || !readJSON(w, r, &req) {
		return
	}
	row, err := p.Table.Get(r.Context(), req.Key)
	p.Table.delay(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, row)
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	var req connector.ScanRequest
	if !p.Table.guard(w) || !readJSON(w, r, &req) {
		return
	}
	rows, _ := p.Table.Scan(r.Context(), req.Prefix, req.After, req.Limit)
	p.Table.delay(r)
	writeJSON(w, http.StatusOK, rows)
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var req connector.Transaction
	if !p.Table.guard(w) || !readJSON(w, r, &req) {
		return
	}
	versions, err := p.Table.Commit(r.Context(), req)
	p.Table.delay(r)
	if p.Table.loseAnswer() {
		dropConnection(w)
		return
	}
	var failed *connector.ConditionError
	switch {
	case errors.As(err, &failed):
		writeJSON(w, http.StatusConflict, failed)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		writeJSON(w, http.StatusOK, connector.CommitReply{Versions: versions})
	}
}

func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	if !p.objects.guard(w) {
		return
	}
	key := mux.Vars(r)["key"]
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.objects.delay(r)
	p.objects.mu.Lock()
	defer p.objects.mu.Unlock()
	if r.Method == http.MethodPut {
		p.objects.bodies[key] = body
		writeJSON(w, http.StatusOK, struct{}{})
		return
	}
	body, ok := p.objects.bodies[key]
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}

func (p *Platform) serveDirectory(w http.ResponseWriter, r *http.Request) {
	if !p.directory.guard(w) {
		return
	}
	p.directory.delay(r)
	if r.Method == http.MethodPut {
		var l connector.Listing
		if !readJSON(w, r, &l) {
			return
		}
		p.directory.set(l)
	}
	writeJSON(w, http.StatusOK, p.directory.get(descriptor.DataCentreID(r.URL.Query().Get("dataCentre"))))
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
