// Package workload defines the types shared by all components of a cell: jobs,
// their steps and tasks, targets, queues and configurations.
package workload

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// JobID is the client-assigned identifier of a job.
type JobID string

// TargetID is the identifier of a target.
type TargetID string

// InstanceID identifies one incarnation of an instance: a restarted instance gets
// a new one.
type InstanceID string

// Incarnation distinguishes a target from the same target before a restart.
type Incarnation int64

// Epoch is the fencing token of a coordinator. A target rejects requests with an
// epoch lower than the highest it has seen.
type Epoch int64

// RunID identifies one start of a task. It increases across coordinators.
type RunID int64

// runIDsPerEpoch is the number of run IDs reserved for each epoch. It lets run IDs
// increase from one epoch to the next without the last ID being stored.
const runIDsPerEpoch = 1 << 26

// FirstRunID returns the first run ID of an epoch.
func FirstRunID(e Epoch) RunID { return RunID(e) * runIDsPerEpoch }

// Resources is an amount of capacity.
type Resources struct {
	CPU int64 `json:"c,omitempty"` // thousandths of a core
	Mem int64 `json:"m,omitempty"` // MB
	GPU int64 `json:"g,omitempty"`
}

// Fits reports whether r is at most free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Mem <= free.Mem && r.GPU <= free.GPU
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Mem + o.Mem, r.GPU + o.GPU}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Mem - o.Mem, r.GPU - o.GPU}
}

// maxResource limits each resource that one task can request or one target can have, so
// that sums over all tasks or targets of a cell do not overflow 64 bits.
const maxResource = 1 << 32

// Valid reports whether one task can request r, and one target can have it.
func (r Resources) Valid() bool {
	for _, v := range [...]int64{r.CPU, r.Mem, r.GPU} {
		if v < 0 || v > maxResource {
			return false
		}
	}
	return true
}

// Times returns n times the resources.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * int64(n), r.Mem * int64(n), r.GPU * int64(n)}
}

// FitCount returns how many times r fits into free, at most limit.
func (r Resources) FitCount(free Resources, limit int) int {
	n := int64(limit)
	for _, d := range [...]struct{ need, have int64 }{{r.CPU, free.CPU}, {r.Mem, free.Mem}, {r.GPU, free.GPU}} {
		if d.need > 0 {
			n = min(n, max(0, d.have)/d.need)
		}
	}
	return int(max(0, n))
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count    int           `json:"n"`
	Need     Resources     `json:"r"`
	Estimate time.Duration `json:"e,omitempty"` // run time of a task as estimated by the submitter
	After    []int         `json:"a,omitempty"` // indexes of the steps that must complete first
	Saves    bool          `json:"s,omitempty"` // tasks write checkpoints
	Gang     bool          `json:"g,omitempty"` // all tasks must run at the same time
	OneRack  bool          `json:"o,omitempty"` // prefer one rack; a gang slows down when spread over several
	Label    string        `json:"l,omitempty"` // label that a target must have
	Rack     string        `json:"k,omitempty"` // preferred rack, near the input data
	Spread   int           `json:"p,omitempty"` // maximum number of tasks on one target, 0 for no limit
	Copies   bool          `json:"x,omitempty"` // speculative copies of a task are allowed
	Lasting  bool          `json:"d,omitempty"` // tasks are long-running and stop only when the job is cancelled
	Image    string        `json:"i,omitempty"`
	TailMs   int64         `json:"t,omitempty"` // goal for the tail latency of a serving task, ms
	Fills    bool          `json:"f,omitempty"` // tasks run on idle CPU only and reserve no CPU
	MayMiss  int           `json:"y,omitempty"` // maximum number of tasks that the system may evict at the same time
}

// Demand returns the capacity that a task of the step reserves on a target. A task
// that runs on idle CPU reserves no CPU.
func (s *Step) Demand() Resources {
	r := s.Need
	if s.Fills {
		r.CPU = 0
	}
	return r
}

// Job is a job that a gateway has accepted.
type Job struct {
	ID       JobID  `json:"-"`
	Queue    string `json:"q"`
	Service  string `json:"v"`
	Spec     string `json:"b,omitempty"`
	Steps    []Step `json:"t"`
	Repeat   int    `json:"n,omitempty"`
	StartMs  int64  `json:"f,omitempty"` // Unix time of the first occurrence, ms
	EveryMs  int64  `json:"i,omitempty"`
	Accepted int64  `json:"w"` // Unix time of acceptance, ms
	Attempts int    `json:"a"`
	Priority int    `json:"p,omitempty"`
	// Advice is that of the queue at the time of acceptance. It applies while the
	// configuration has no such queue.
	Advice *AdviceTiming `json:"e,omitempty"`
	// Tenant is the tenant whose key the submission carried.
	Tenant TenantName `json:"u,omitempty"`
	// Ended is set for a job that has completed and whose content was dropped. Its ID stays
	// in use until the retention time is over.
	Ended bool `json:"z,omitempty"`
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// MaxTasks is the maximum number of tasks of a job over all its occurrences. A
// coordinator uses about 200 bytes of memory for each.
const MaxTasks = 20_000

// Validate returns an error that wraps ErrInvalid if no coordinator can run the job.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 || len(j.ID) == 0 || len(j.ID) > maxJobIDLen {
		return fmt.Errorf("workload: job %.80q with %d steps: identifier empty or too long, or no steps: %w", string(j.ID), len(j.Steps), ErrInvalid)
	}
	if j.Repeat < 0 || j.Repeat > MaxTasks {
		return fmt.Errorf("workload: job %s: repeat count %d out of range: %w", j.ID, j.Repeat, ErrInvalid)
	}
	left := MaxTasks / j.Occurrences()
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count <= 0 || s.Count > left || !s.Need.Valid() || s.Estimate < 0 {
			return fmt.Errorf("workload: job %s, step %d: task count %d, resources %v or run time estimate out of range: %w", j.ID, i, s.Count, s.Need, ErrInvalid)
		}
		left -= s.Count
		for _, a := range s.After {
			if a < 0 || a >= i {
				return fmt.Errorf("workload: job %s, step %d: depends on step %d, which is not an earlier step: %w", j.ID, i, a, ErrInvalid)
			}
		}
	}
	return nil
}

// maxJobIDLen is the maximum length of a job ID in bytes. The ID is the name of the
// job's rows in the store.
const maxJobIDLen = 64

// ErrInvalid reports a job that no coordinator can run.
var ErrInvalid = errors.New("invalid job")

// LongRunning reports whether the job runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// State is the state of a job as reported to clients.
//
//go:generate go tool stringer -type=State -linecomment
type State uint8

// States of a job.
const (
	Unknown   State = iota // unknown
	Queued                 // queued
	Running                // running
	Completed              // completed
	Failed                 // failed
	Cancelled              // cancelled
)

// Final reports whether the state is terminal.
func (s State) Final() bool { return s >= Completed }

// TaskID identifies a task of a job.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the dotted form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepName returns the dotted form JOB.OCCURRENCE.STEP of the task's step.
func (t TaskID) StepName() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID parses the dotted form returned by TaskID.String.
func ParseTaskID(s string) (TaskID, error) {
	job, rest, _ := strings.Cut(s, ".")
	occurrence, rest, _ := strings.Cut(rest, ".")
	step, index, ok := strings.Cut(rest, ".")
	if !ok {
		return TaskID{}, fmt.Errorf("workload: invalid task name %q: want JOB.OCCURRENCE.STEP.INDEX", s)
	}
	t := TaskID{Job: JobID(job)}
	for _, p := range [...]struct {
		text string
		dst  *int
	}{{occurrence, &t.Occurrence}, {step, &t.Step}, {index, &t.Index}} {
		n, err := strconv.Atoi(p.text)
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("workload: invalid task name %q: %q is not a non-negative integer", s, p.text)
		}
		*p.dst = n
	}
	return t, nil
}

// Ending is the reason why a run ended.
//
//go:generate go tool stringer -type=Ending -linecomment
type Ending uint8

// Endings of a run.
const (
	EndedOther           Ending = iota // other
	EndedDone                          // done
	EndedFailed                        // failed
	EndedStopped                       // stopped
	EndedLeaseExpired                  // lapsed
	EndedGangMemberEnded               // broken: another member of the gang ended
	EndedGangTimeout                   // alone: the other members did not arrive in time
)

// Run is a running task as reported by its target.
type Run struct {
	Task       TaskID
	Run        RunID
	Checkpoint string
	Percent    int
	Usage      int64 // tail latency in ms for a serving task, otherwise CPU use in thousandths of a core
}

// End is the end event of a run as reported by its target.
type End struct {
	Seq        int64
	Task       TaskID
	Run        RunID
	How        Ending
	Checkpoint string
}

// TargetState is the availability of a target for new tasks.
type TargetState uint8

// States of a target.
const (
	TargetReady TargetState = iota
	TargetDraining
)

// Target is an entry in the platform's list of targets.
type Target struct {
	ID          TargetID
	Service     string
	Address     string
	Zone        string
	State       TargetState
	Capacity    Resources
	Labels      []string
	Incarnation Incarnation
	Remaining   time.Duration // minimum remaining time of a drain
	Machine     string
}

// AdviceTiming holds the latency of a queue's advice service and the validity of
// its tickets.
type AdviceTiming struct {
	BaseLatency      time.Duration `json:"b,omitempty"` // fixed latency of a call
	LatencyPerTarget time.Duration `json:"t,omitempty"` // additional latency for each target in the call
	TicketValidity   time.Duration `json:"v,omitempty"` // time for which a ticket can be used
}

// Queue is a queue of the active configuration.
type Queue struct {
	Name        string
	Host        string
	Prefix      string
	Service     string
	Priority    int
	Attempts    int
	Stretch     float64 // goal for a job's duration in multiples of its estimate, in addition to LatencyGoal
	LatencyGoal time.Duration
	Timeout     time.Duration
	Advice      *AdviceTiming
	AuthExempt  bool // calls need no API key
}

// Service is a pool of targets.
type Service struct {
	Name             string
	AdmissionControl bool // its targets reject tasks that do not fit
	Headroom         bool // its machines are off until they are reassigned
}

// Config is the active configuration.
type Config struct {
	Version      int64
	Queues       []Queue
	Services     []Service
	MaxBodyBytes int64
	// RequiresKeys is set if calls for jobs must carry the API key of a tenant.
	RequiresKeys bool
	Tenants      []Tenant
}

// TenantName is the name of a tenant. Jobs without a tenant have an empty one.
type TenantName string

// KeyDigest is the SHA-256 digest of an API key. Keys themselves are not kept, so that
// they can't appear in logs or errors.
type KeyDigest [sha256.Size]byte

// Tenant is a tenant of the active configuration.
type Tenant struct {
	Name TenantName
	Keys []KeyDigest
	// Weight is the tenant's share of a full cell, and the number of jobs per second
	// that it is entitled to.
	Weight float64
	Cap    Resources // limit of what the tenant may have running; 0 means no limit
}

// Tenant returns the first tenant with the given name, or nil if there is none.
func (c *Config) Tenant(name TenantName) *Tenant {
	if c == nil {
		return nil
	}
	for i := range c.Tenants {
		if c.Tenants[i].Name == name {
			return &c.Tenants[i]
		}
	}
	return nil
}

// Queue returns the queue with the given name, or nil if there is none.
func (c *Config) Queue(name string) *Queue {
	if c == nil {
		return nil
	}
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Match returns the queue of the host with the longest prefix of path, or nil if
// none matches.
func (c *Config) Match(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}
