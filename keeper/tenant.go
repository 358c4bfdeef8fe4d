package keeper

import (
	"context"
	"fmt"

	w "github.com/masticlead/masticlead/workload"
)

// JobTenant returns the tenant of a stored job, which is empty if the job has none, and
// whether the job is stored.
func (k *Keeper) JobTenant(ctx context.Context, id w.JobID) (w.TenantName, bool, error) {
	row, err := k.get(ctx, k.JobKey(id))
	if err != nil {
		return "", false, fmt.Errorf("keeper: read tenant of job %s: %w", id, err)
	}
	if row == nil {
		return "", false, nil
	}
	j, err := decodeJob(row)
	if err != nil {
		return "", false, err
	}
	return j.Tenant, true, nil
}
