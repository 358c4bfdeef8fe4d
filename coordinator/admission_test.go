package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// admissionCell returns a cell without targets whose configuration has the given tenants.
func admissionCell(t *testing.T, tenants ...w.Tenant) *testCell {
	t.Helper()
	x := newCell(t, 1, 0, nil)
	x.c.Configure(&w.Config{Version: 2, Queues: x.c.cfg.Queues, RequiresKeys: true, Tenants: tenants})
	x.advance(2 * time.Second)
	return x
}

// submitFor hands over n jobs of a tenant that an instance has accepted.
func (x *testCell) submitFor(tenant w.TenantName, instance w.InstanceID, n int) {
	for range n {
		x.seq["submitted"]++
		id := w.JobID(fmt.Sprintf("%s-%d", tenant, x.seq["submitted"]))
		x.c.Receive(instance, &linker.Frame{Jobs: []w.Job{{
			ID: id, Queue: testQueue, Service: "s", Tenant: tenant, Attempts: 4, Steps: []w.Step{{Count: 1, Need: w.Resources{CPU: 1000}}},
		}}}, x.now)
	}
}

// TestAllowances guards against allowances that are not renewed while a tenant is under
// pressure, are sent when no tenant is, ignore through which instances its jobs arrive,
// or stay in force after its jobs were cancelled or the tenants were removed.
func TestAllowances(t *testing.T) {
	x := admissionCell(t, w.Tenant{Name: "hot", Weight: 10}, w.Tenant{Name: "hot", Weight: 1000}, w.Tenant{Name: "a", Weight: 10})
	x.submitFor("hot", "self", 10)
	x.submitFor("hot", "other", 15)
	require.Nil(t, x.advance(pendingPeriod).Allowances, "the excess is not more than 2 s of the rate")
	x.submitFor("hot", "other", 30)
	x.submitFor("removed", "other", 100)
	x.receive(&linker.Frame{Status: &linker.Status{Refusals: []linker.Refusals{{Tenant: "hot", Jobs: 45}, {Tenant: "removed", Jobs: 50}}}})
	for i := range 5 {
		f := x.advance(pendingPeriod)
		require.NotNil(t, f.Allowances)
		require.Len(t, f.Allowances.Tenants, 1)
		require.Equal(t, w.TenantName("hot"), f.Allowances.Tenants[0].Tenant)
		if i == 0 {
			require.InDelta(t, 9, f.Allowances.Tenants[0].JobsPerSec, 0.01, "nine of ten jobs arrive here")
		}
		require.Nil(t, x.advance(pendingPeriod/10).Allowances)
	}
	for id, j := range x.c.jobs {
		if j.Tenant == "hot" {
			x.c.Cancel(id)
		}
	}
	f := x.advance(pendingPeriod)
	require.NotNil(t, f.Allowances, "the instances must be told that no tenant is limited")
	require.Empty(t, f.Allowances.Tenants)
	require.Nil(t, x.advance(pendingPeriod).Allowances)

	x.submitFor("a", "other", 100)
	require.NotEmpty(t, x.advance(pendingPeriod).Allowances.Tenants)
	x.c.Configure(&w.Config{Version: 3, Queues: x.c.cfg.Queues})
	require.Empty(t, x.advance(pendingPeriod).Allowances.Tenants)
}

// TestFutureJobsAreNoExcess guards against a tenant that is limited because of jobs
// whose start time has not come.
func TestFutureJobsAreNoExcess(t *testing.T) {
	x := admissionCell(t, w.Tenant{Name: "a", Weight: 1})
	for i := range 100 {
		x.receive(&linker.Frame{Jobs: []w.Job{{
			ID: w.JobID(fmt.Sprint(i)), Queue: testQueue, Service: "s", Tenant: "a", Attempts: 4, Repeat: 2,
			StartMs: x.now.Add(time.Hour).UnixMilli(), EveryMs: 1000, Steps: []w.Step{{Count: 1}},
		}}})
	}
	require.Nil(t, x.advance(pendingPeriod).Allowances)
}

// TestContainedQueueIsLimited guards against a queue whose jobs crash targets and that
// accepts more of them than can be tried.
func TestContainedQueueIsLimited(t *testing.T) {
	x := newCell(t, 1, 0, nil)
	x.advance(time.Second)
	x.c.contained[testQueue] = true
	for i := range 30 {
		x.submit(singleTaskJob(w.JobID(fmt.Sprint(i))))
	}
	f := x.advance(time.Second)
	require.NotNil(t, f.Allowances)
	require.Len(t, f.Allowances.Queues, 1)
	require.Equal(t, testQueue, f.Allowances.Queues[0].Queue)
	require.InDelta(t, 1, f.Allowances.Queues[0].JobsPerSec, 0.01, "no job was tried in the last second")
	delete(x.c.contained, testQueue)
	f = x.advance(time.Second)
	require.NotNil(t, f.Allowances)
	require.Empty(t, f.Allowances.Queues)
	require.Nil(t, x.advance(time.Second).Allowances)
}

// TestManyTenants guards against work by tenant that grows with the 10,000 keys of
// 2,000 tenants: an unknown tenant must take no memory, and an update little time.
func TestManyTenants(t *testing.T) {
	const tenantCount, keysPerTenant, instances = 2000, 5, 42
	var list []w.Tenant
	for i := range tenantCount {
		list = append(list, w.Tenant{Name: w.TenantName(fmt.Sprintf("t%d", i)), Weight: 1, Keys: make([]w.KeyDigest, keysPerTenant)})
	}
	x := admissionCell(t, list...)
	for i := range instances {
		x.c.Join(&linker.Hello{Instance: w.InstanceID(fmt.Sprintf("i%d", i))})
	}
	for i := range list {
		x.submitFor(list[i].Name, "other", 20)
		x.submitFor("unknown"+list[i].Name, "other", 1)
	}
	start := time.Now()
	f := x.advance(pendingPeriod)
	require.Less(t, time.Since(start), 2*time.Second)
	require.LessOrEqual(t, len(f.Allowances.Tenants), 200)
	require.Len(t, x.c.admission.tenants, tenantCount)
	require.Len(t, x.c.admission.waiting, tenantCount)
}
