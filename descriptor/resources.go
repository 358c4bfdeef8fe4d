package descriptor

// MilliCPU is an amount of CPU in thousandths of a core.
type MilliCPU int64

// MiB is an amount of memory in mebibytes.
type MiB int64

// Bytes is a size in bytes.
type Bytes int64

// Resources is a vector with an amount of each type of resource of a target.
type Resources struct {
	CPU          MilliCPU `json:"cpuMilli"`
	Memory       MiB      `json:"memoryMiB"`
	Accelerators int      `json:"accelerators,omitempty"`
	Slots        int      `json:"slots"`
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators, r.Slots + o.Slots}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators, r.Slots - o.Slots}
}

// Scale returns r multiplied by n.
func (r Resources) Scale(n int) Resources {
	return Resources{r.CPU * MilliCPU(n), r.Memory * MiB(n), r.Accelerators * n, r.Slots * n}
}

// Fits reports whether r fits into free, that is, does not exceed it in any
// resource.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory &&
		r.Accelerators <= free.Accelerators && r.Slots <= free.Slots
}

// IsNegative reports whether the amount of any resource is below zero.
func (r Resources) IsNegative() bool {
	return r.CPU < 0 || r.Memory < 0 || r.Accelerators < 0 || r.Slots < 0
}

// DominantShare returns the dominant share of r: the largest fraction of any
// resource of capacity that r uses, as in dominant resource fairness (Ghodsi et
// al., NSDI 2011). Resources of which capacity has none are ignored.
func (r Resources) DominantShare(capacity Resources) float64 {
	share := 0.0
	include := func(used, total int64) {
		if total > 0 {
			share = max(share, float64(used)/float64(total))
		}
	}
	include(int64(r.CPU), int64(capacity.CPU))
	include(int64(r.Memory), int64(capacity.Memory))
	include(int64(r.Accelerators), int64(capacity.Accelerators))
	include(int64(r.Slots), int64(capacity.Slots))
	return share
}
