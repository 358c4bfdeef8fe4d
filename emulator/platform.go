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

// Stats counts the calls that a table has processed and the rows that it has
// written.
type Stats struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	RowsWritten int64 `json:"rowsWritten"`
}

// Table emulates the table service in memory. It implements connector.Table.
type Table struct {
	faultInjector
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
func (t *Table) Commit(_ context.Context, tx connector.Transaction) ([]connector.RowVersion, error) {
	if len(tx.Puts)+len(tx.Deletes) > connector.MaxTransactionRows {
		return nil, errors.New("transaction is too large")
	}
	t.writes.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if failed := t.failedConditions(tx.Conditions); len(failed) > 0 {
		return nil, &connector.ConditionError{Rows: failed}
	}
	versions := make([]connector.RowVersion, 0, len(tx.Puts))
	for _, put := range tx.Puts {
		t.version++
		t.rows.ReplaceOrInsert(connector.Row{Key: put.Key, Version: t.version, Value: put.Value})
		versions = append(versions, t.version)
	}
	for _, key := range tx.Deletes {
		t.rows.Delete(connector.Row{Key: key})
	}
	t.rowsWritten.Add(int64(len(tx.Puts) + len(tx.Deletes)))
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

// Stats returns the counters since the table was created.
func (t *Table) Stats() Stats {
	return Stats{Reads: t.reads.Load(), Writes: t.writes.Load(), RowsWritten: t.rowsWritten.Load()}
}

// objectStore emulates the object store in memory.
type objectStore struct {
	faultInjector
	mu     sync.Mutex
	bodies map[string][]byte
}

// directory emulates the directory, which lists instances and targets. Its list
// lags by Faults.LagMs.
type directory struct {
	faultInjector
	mu       sync.Mutex
	versions []listingVersion
}

// listingVersion is a listing with the time at which it was set.
type listingVersion struct {
	publishedAt time.Time
	listing     connector.Listing
}

func (d *directory) setListing(l connector.Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions = append(d.versions, listingVersion{time.Now(), l})
}

// list returns the newest listing that is at least as old as the lag, restricted
// to a data centre unless dc is empty. An empty listing is replaced by the next
// version regardless of the lag.
func (d *directory) list(dc descriptor.DataCentreID) connector.Listing {
	lag := time.Duration(d.Faults().LagMs) * time.Millisecond
	d.mu.Lock()
	defer d.mu.Unlock()
	l := connector.Listing{Instances: []connector.ListedInstance{}, Targets: []descriptor.Target{}}
	for _, v := range d.versions {
		if time.Since(v.publishedAt) >= lag || len(l.Targets)+len(l.Instances) == 0 {
			l = v.listing
		}
	}
	return filterByDataCentre(l, dc)
}

// filterByDataCentre returns the entries of a data centre, or all entries if dc is
// empty.
func filterByDataCentre(l connector.Listing, dc descriptor.DataCentreID) connector.Listing {
	filtered := connector.Listing{Instances: []connector.ListedInstance{}, Targets: []descriptor.Target{}}
	for _, i := range l.Instances {
		if dc == "" || i.DataCentre == dc {
			filtered.Instances = append(filtered.Instances, i)
		}
	}
	for _, t := range l.Targets {
		if dc == "" || t.DataCentre == dc {
			filtered.Targets = append(filtered.Targets, t)
		}
	}
	return filtered
}

// Platform emulates the platform. It serves a table, an object store and a
// directory over HTTP under /table, /objects and /directory. The faults of each
// service are read and set at the path /faults below it.
type Platform struct {
	Table     *Table
	objects   objectStore
	directory directory
}

// NewPlatform returns a platform without rows, objects and listed entries.
func NewPlatform() *Platform {
	return &Platform{Table: NewTable(), objects: objectStore{bodies: map[string][]byte{}}}
}

// SetListing replaces the listing of the directory. The change is visible after
// the lag of the directory.
func (p *Platform) SetListing(l connector.Listing) { p.directory.setListing(l) }

// Handler returns the HTTP handler of the platform.
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
	if !p.Table.checkAvailable(w) || !readJSON(w, r, &req) {
		return
	}
	row, err := p.Table.Get(r.Context(), req.Key)
	p.Table.delayResponse(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, row)
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	var req connector.ScanRequest
	if !p.Table.checkAvailable(w) || !readJSON(w, r, &req) {
		return
	}
	rows, _ := p.Table.Scan(r.Context(), req.Prefix, req.After, req.Limit)
	p.Table.delayResponse(r)
	writeJSON(w, http.StatusOK, rows)
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var req connector.Transaction
	if !p.Table.checkAvailable(w) || !readJSON(w, r, &req) {
		return
	}
	versions, err := p.Table.Commit(r.Context(), req)
	p.Table.delayResponse(r)
	if p.Table.shouldDropResponse() {
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
	if !p.objects.checkAvailable(w) {
		return
	}
	key := mux.Vars(r)["key"]
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.objects.delayResponse(r)
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
	if !p.directory.checkAvailable(w) {
		return
	}
	p.directory.delayResponse(r)
	if r.Method == http.MethodPut {
		var l connector.Listing
		if !readJSON(w, r, &l) {
			return
		}
		p.directory.setListing(l)
	}
	writeJSON(w, http.StatusOK, p.directory.list(descriptor.DataCentreID(r.URL.Query().Get("dataCentre"))))
}

// readJSON decodes the request body. If that fails, it writes an error response and
// returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
