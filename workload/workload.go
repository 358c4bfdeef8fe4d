// Package workload holds the types that all parts of a cell share: jobs, their
// steps and tasks, targets, queues and configurations.
package workload

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// JobID is the identifier that a client chose for a job.
type JobID string

// TargetID identifies a target.
type TargetID string

// InstanceID identifies one life of an instance of the system.
type InstanceID string

// Incarnation tells the lives of a target apart.
type Incarnation int64

// Epoch numbers the coordinators of a cell. A target ignores orders of a lower
// epoch than the highest it has seen.
type Epoch int64

// RunID numbers the starts of a task. It rises over all coordinators.
type RunID int64

// runsPerEpoch is the number of run ids reserved for each epoch, so that run
// ids rise over epochs without being stored.
const runsPerEpoch = 1 << 26

// FirstRun returns the first run id of an epoch.
func FirstRun(e Epoch) RunID { return RunID(e) * runsPerEpoch }

// Resources is an amount of capacity.
type Resources struct {
	CPU int64 `json:"c,omitempty"` // thousandths of a core
	Mem int64 `json:"m,omitempty"` // MB
	GPU int64 `json:"g,omitempty"`
}

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Mem <= free.Mem && r.GPU <= free.GPU
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Mem + o.Mem, r.GPU + o.GPU}
}

// Sub returns r less o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Mem - o.Mem, r.GPU - o.GPU}
}

// maxNeed bounds what one task can ask for, so that sums over all tasks of a cell
// stay within 64 bits.
const maxNeed = 1 << 32

func (r Resources) valid() bool {
	for _, v := range [...]int64{r.CPU, r.Mem, r.GPU} {
		if v < 0 || v > maxNeed {
			return false
		}
	}
	return true
}

// Times returns how often r fits into free, at most limit.
func (r Resources) Times(free Resources, limit int) int {
	n := int64(limit)
	for _, d := range [...]struct{ need, have int64 }{{r.CPU, free.CPU}, {r.Mem, free.Mem}, {r.GPU, free.GPU}} {
		if d.need > 0 {
			n = min(n, max(0, d.have)/d.need)
		}
	}
	return int(max(0, n))
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count    int           `json:"n"`
	Need     Resources     `json:"r"`
	Estimate time.Duration `json:"e,omitempty"` // the submitter's estimate of a task's run time
	After    []int         `json:"a,omitempty"` // steps that must be done first
	Saves    bool          `json:"s,omitempty"` // tasks checkpoint their progress
	Gang     bool          `json:"g,omitempty"` // tasks work only all together
	OneRack  bool          `json:"o,omitempty"` // a gang slows down when spread over racks
	Label    string        `json:"l,omitempty"` // required label of the target
	Rack     string        `json:"k,omitempty"` // rack near the data
	Spread   int           `json:"p,omitempty"` // limit of tasks on one target, 0 for none
	Copies   bool          `json:"x,omitempty"` // copies of a task may run in parallel
	Lasting  bool          `json:"d,omitempty"` // tasks run until the job is cancelled
	Image    string        `json:"i,omitempty"`
	TailMs   int64         `json:"t,omitempty"` // goal for the tail of a serving task's response time
	Fills    bool          `json:"f,omitempty"` // tasks use unused processor capacity only
	MayMiss  int           `json:"y,omitempty"` // tasks that the system may take down at the same time
}

// Room returns the capacity that a task of the step takes from a target.
func (s *Step) Room() Resources {
	r := s.Need
	if s.Fills {
		r.CPU = 0
	}
	return r
}

// Job is an accepted job.
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
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// MaxTasks is the largest number of tasks of a job over all its occurrences. A
// coordinator keeps about 200 bytes for each.
const MaxTasks = 20_000

// Check reports why a job can never be run by anyone.
func (j *Job) Check() error {
	if len(j.Steps) == 0 || len(j.ID) == 0 || len(j.ID) > maxJobID {
		return fmt.Errorf("workload: job %.80q has %d steps: %w", string(j.ID), len(j.Steps), ErrInvalid)
	}
	if j.Repeat < 0 || j.Repeat > MaxTasks {
		return fmt.Errorf("workload: job %s runs %d times: %w", j.ID, j.Repeat, ErrInvalid)
	}
	left := MaxTasks / j.Occurrences()
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count <= 0 || s.Count > left || !s.Need.valid() || s.Estimate < 0 {
			return fmt.Errorf("workload: job %s, step %d: %d tasks of %v: %w", j.ID, i, s.Count, s.Need, ErrInvalid)
		}
		left -= s.Count
		for _, a := range s.After {
			if a < 0 || a >= i {
				return fmt.Errorf("workload: job %s, step %d is after step %d: %w", j.ID, i, a, ErrInvalid)
			}
		}
	}
	return nil
}

// maxJobID bounds the identifiers that are part of a row's name.
const maxJobID = 64

// ErrInvalid tells that a job can never be run by anyone.
var ErrInvalid = errors.New("the job is not valid")

// Lasting reports whether the job ends only by being cancelled.
func (j *Job) Lasting() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// State is the state of a job as callers see it.
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

// Final reports whether the state no longer changes.
func (s State) Final() bool { return s >= Completed }

// TaskID names a task of a job.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the dotted form of the name.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepName returns the dotted form of the name of the task's step.
func (t TaskID) StepName() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID reads the dotted form of a name.
func ParseTaskID(s string) (TaskID, error) {
	id, rest, _ := strings.Cut(s, ".")
	a, rest, _ := strings.Cut(rest, ".")
	b, c, ok := strings.Cut(rest, ".")
	if !ok {
		return TaskID{}, fmt.Errorf("workload: task name %q has too few parts", s)
	}
	t := TaskID{Job: JobID(id)}
	for _, p := range [...]struct {
		text string
		to   *int
	}{{a, &t.Occurrence}, {b, &t.Step}, {c, &t.Index}} {
		n, err := strconv.Atoi(p.text)
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("workload: task name %q has the part %q, which is not a number", s, p.text)
		}
		*p.to = n
	}
	return t, nil
}

// Ending tells how a run ended.
//
//go:generate go tool stringer -type=Ending -linecomment
type Ending uint8

// Endings of a run.
const (
	EndedOther   Ending = iota // other
	EndedDone                  // done
	EndedFailed                // failed
	EndedStopped               // stopped
	EndedLapsed                // lapsed
	EndedBroken                // broken: another member of the gang ended
	EndedAlone                 // alone: the other members did not arrive in time
)

// Run is a running task as its target reports it.
type Run struct {
	Task       TaskID
	Run        RunID
	Checkpoint string
	Percent    int
	Usage      int64 // tail of response times in ms for a serving task, otherwise thousandths of a core in use
}

// End is an ended run as its target reports it.
type End struct {
	Seq        int64
	Task       TaskID
	Run        RunID
	How        Ending
	Checkpoint string
}

// TargetState tells whether a target takes new work.
type TargetState uint8

// States of a target.
const (
	TargetReady TargetState = iota
	TargetDraining
)

// Target is an entry of the platform's list of targets.
type Target struct {
	ID          TargetID
	Service     string
	Address     string
	Zone        string
	State       TargetState
	Capacity    Resources
	Labels      []string
	Incarnation Incarnation
	Remaining   time.Duration // minimum time that is left while the target drains
	Machine     string
}

// AdviceCost describes the advice service of a queue.
type AdviceCost struct {
	Base     time.Duration // time of a call
	PerName  time.Duration // additional time for each target named
	Validity time.Duration // life of a ticket
}

// Queue is a queue of the configuration in force.
type Queue struct {
	Name     string
	Host     string
	Prefix   string
	Service  string
	Priority int
	Attempts int
	Stretch  float64
	Goal     time.Duration
	Timeout  time.Duration
	Advice   *AdviceCost
}

// Service is a pool of targets.
type Service struct {
	Name     string
	Guards   bool // its targets reject what does not fit
	Headroom bool // its machines are off until they are moved elsewhere
}

// Config is a configuration in force.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []Service
	MaxBody  int64
}

// Queue returns the queue with the name, or nil.
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

// Match returns the queue with the longest prefix that the path begins with,
// or nil.
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
