// Package limiter accounts by tenant for the resources of runs and decides whether a
// tenant's cap allows further starts. It does no I/O and reads no clock.
package limiter

import (
	"fmt"

	w "github.com/masticlead/masticlead/workload"
)

// Usage is what a tenant has running: from the start order of each run until its end is
// known, including runs that are being stopped.
type Usage struct {
	Runs      int
	Resources w.Resources
}

// account is the usage and the cap of one tenant.
type account struct {
	Usage
	uncertain  w.Resources // of tasks that may be running on targets that were not read yet
	cap        w.Resources // 0 in a dimension means no limit
	configured bool
}

// Limiter holds the accounts of all tenants. Jobs without a tenant have an account, too,
// which has no cap.
type Limiter struct {
	// Excess is the fraction by which a gang may exceed its tenant's cap.
	Excess float64

	accounts map[w.TenantName]*account
	changes  int64
}

const (
	// maxCap bounds a cap in each dimension, so that sums with it do not overflow.
	maxCap = 1 << 53
	// maxExcess bounds the fraction by which a gang may exceed a cap.
	maxExcess = 10
)

// New returns a limiter without caps.
func New(excess float64) *Limiter {
	return &Limiter{Excess: excess, accounts: make(map[w.TenantName]*account)}
}

// Configure replaces the caps of all tenants. Of several entries with the same name the
// first one counts. Tenants without an entry have no cap.
func (l *Limiter) Configure(tenants []w.Tenant) {
	for name, a := range l.accounts {
		a.cap, a.configured = w.Resources{}, false
		l.dropIfUnused(name, a)
	}
	for i := range tenants {
		if a := l.account(tenants[i].Name); !a.configured {
			a.cap, a.configured = tenants[i].Cap, true
		}
	}
	l.changes++
}

func (l *Limiter) account(tenant w.TenantName) *account {
	a := l.accounts[tenant]
	if a == nil {
		a = new(account)
		l.accounts[tenant] = a
	}
	return a
}

// dropIfUnused removes an account without runs whose tenant is not configured, so that
// removed tenants take no memory.
func (l *Limiter) dropIfUnused(tenant w.TenantName, a *account) {
	if !a.configured && a.Usage == (Usage{}) && a.uncertain == (w.Resources{}) {
		delete(l.accounts, tenant)
	}
}

// Add accounts for a run that was ordered or found on a target.
func (l *Limiter) Add(tenant w.TenantName, need w.Resources) {
	a := l.account(tenant)
	a.Runs++
	a.Resources = a.Resources.Add(need)
	l.changes++
}

// Remove reverses Add for a run whose end is known.
func (l *Limiter) Remove(tenant w.TenantName, need w.Resources) {
	a := l.account(tenant)
	a.Runs--
	a.Resources = a.Resources.Sub(need)
	l.changes++
	l.dropIfUnused(tenant, a)
}

// SetUncertain replaces the resources of the tasks that may be running on targets that
// were not read yet. They count as used.
func (l *Limiter) SetUncertain(uncertain map[w.TenantName]w.Resources) {
	for name, a := range l.accounts {
		a.uncertain = w.Resources{}
		l.dropIfUnused(name, a)
	}
	for name, r := range uncertain {
		l.account(name).uncertain = r
	}
	l.changes++
}

// Used returns the usage of a tenant without uncertain runs.
func (l *Limiter) Used(tenant w.TenantName) Usage {
	if a := l.accounts[tenant]; a != nil {
		return a.Usage
	}
	return Usage{}
}

// Usages returns the usages of all tenants that have runs.
func (l *Limiter) Usages() map[w.TenantName]Usage {
	usages := make(map[w.TenantName]Usage)
	for name, a := range l.accounts {
		if a.Runs > 0 {
			usages[name] = a.Usage
		}
	}
	return usages
}

// UnderHalf reports whether a tenant uses less than half of its cap in each dimension.
func (l *Limiter) UnderHalf(tenant w.TenantName) bool {
	a := l.accounts[tenant]
	if a == nil {
		return true
	}
	for _, d := range [...]struct{ limit, used int64 }{
		{a.cap.CPU, a.Resources.CPU}, {a.cap.Mem, a.Resources.Mem}, {a.cap.GPU, a.Resources.GPU},
	} {
		if d.limit > 0 && 2*d.used >= d.limit {
			return false
		}
	}
	return true
}

// FitsBesideHalf reports whether n tasks of a tenant may start together while the
// tenant uses half of its cap.
func (l *Limiter) FitsBesideHalf(tenant w.TenantName, need w.Resources, n int) bool {
	a := l.accounts[tenant]
	if a == nil {
		return true
	}
	return fits(a.cap, w.Resources{CPU: a.cap.CPU / 2, Mem: a.cap.Mem / 2, GPU: a.cap.GPU / 2}, need, n)
}

// Changes returns a number that increases with each change of an account.
func (l *Limiter) Changes() int64 { return l.changes }

// Query is a question about starts of a tenant's tasks.
type Query struct {
	Tenant w.TenantName
	Need   w.Resources // of one task
	// Reserved is counted as used in addition, such as what was promised to other
	// steps of the tenant.
	Reserved w.Resources
	// IgnoreUncertain leaves out what may be running on targets that were not read
	// yet. It is for decisions that start nothing.
	IgnoreUncertain bool
}

// Allows reports whether n tasks of a tenant may start together. They must fit the cap. A
// tenant that runs nothing may start a task larger than its cap, and a gang, that is more
// than one task, which exceeds the cap by at most the excess and one task. Otherwise the
// excess is left for runs that are not known: a gang that used it up beside other runs
// exceeded the permitted total when one of those was missing in the account.
func (l *Limiter) Allows(tenant w.TenantName, need w.Resources, n int) bool {
	return l.AllowsQuery(&Query{Tenant: tenant, Need: need}, n)
}

// AllowsQuery is Allows for a query.
func (l *Limiter) AllowsQuery(q *Query, n int) bool {
	a := l.accounts[q.Tenant]
	if a == nil || a.cap == (w.Resources{}) {
		return true
	}
	used := a.usedFor(q)
	if fits(a.cap, used, q.Need, n) {
		return true
	}
	alone := used == (w.Resources{}) && a.Runs == 0
	return alone && (n == 1 || fits(withExcess(a.cap, l.Excess, q.Need), used, q.Need, n))
}

// Headroom returns how many tasks of a tenant may start one by one, at most limit.
func (l *Limiter) Headroom(q *Query, limit int) int {
	a := l.accounts[q.Tenant]
	if limit <= 0 || a == nil || a.cap == (w.Resources{}) {
		return max(0, limit)
	}
	if !l.AllowsQuery(q, 1) {
		return 0
	}
	free, need := a.cap.Sub(a.usedFor(q)), q.Need
	if a.cap.CPU <= 0 {
		need.CPU = 0
	}
	if a.cap.Mem <= 0 {
		need.Mem = 0
	}
	if a.cap.GPU <= 0 {
		need.GPU = 0
	}
	return max(1, need.FitCount(free, limit))
}

func (a *account) usedFor(q *Query) w.Resources {
	used := a.Resources.Add(q.Reserved)
	if !q.IgnoreUncertain {
		used = used.Add(a.uncertain)
	}
	return used
}

// fits reports whether n tasks fit a limit in each dimension that they need. A dimension
// that a task does not need cannot be raised by it.
func fits(limit, used, need w.Resources, n int) bool {
	for _, d := range [...]struct{ limit, used, need int64 }{
		{limit.CPU, used.CPU, need.CPU}, {limit.Mem, used.Mem, need.Mem}, {limit.GPU, used.GPU, need.GPU},
	} {
		if d.limit > 0 && d.need > 0 && d.used+int64(n)*d.need > d.limit {
			return false
		}
	}
	return true
}

// withExcess returns the limit of a gang: the cap with the excess and one task. Without
// a cap there is no limit, which stays 0.
func withExcess(limit w.Resources, excess float64, need w.Resources) w.Resources {
	excess = min(max(0, excess), maxExcess)
	raise := func(limit, need int64) int64 {
		if limit <= 0 {
			return 0
		}
		limit = min(limit, maxCap)
		return limit + int64(float64(limit)*excess) + need
	}
	return w.Resources{CPU: raise(limit.CPU, need.CPU), Mem: raise(limit.Mem, need.Mem), GPU: raise(limit.GPU, need.GPU)}
}

// NeverFits reports whether a gang of n tasks exceeds its tenant's cap even while the
// tenant runs nothing else.
func NeverFits(limit w.Resources, excess float64, need w.Resources, n int) bool {
	return n > 1 && !fits(withExcess(limit, excess, need), w.Resources{}, need, n)
}

// JobNeverFits reports whether a gang of a job can never start under its tenant's cap.
func JobNeverFits(limit w.Resources, excess float64, j *w.Job) bool {
	for i := range j.Steps {
		if s := &j.Steps[i]; s.Gang && NeverFits(limit, excess, s.Need, s.Count) {
			return true
		}
	}
	return false
}

// DriftError reports that an account differs from the runs that it should account for.
type DriftError struct {
	Tenant       w.TenantName
	Account, Got Usage
}

// Error implements error.
func (e *DriftError) Error() string {
	return fmt.Sprintf("limiter: account of tenant %q has %+v, its runs have %+v", e.Tenant, e.Account, e.Got)
}

// Check compares the accounts with a recount of all runs and returns a DriftError for a
// tenant whose account differs.
func (l *Limiter) Check(recount map[w.TenantName]Usage) error {
	for name, a := range l.accounts {
		if a.Usage != recount[name] {
			return &DriftError{Tenant: name, Account: a.Usage, Got: recount[name]}
		}
	}
	for name, u := range recount {
		if l.accounts[name] == nil && u != (Usage{}) {
			return &DriftError{Tenant: name, Got: u}
		}
	}
	return nil
}
