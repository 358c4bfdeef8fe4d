// Package linker implements the connections between the instances of a cell and
// its coordinator, which runs in the instance that leads the cell. A connection
// carries frames in both directions. Each frame is a batch of all messages that were
// due when it was sent.
package linker

import (
	"slices"
	"time"

	w "github.com/masticlead/masticlead/workload"
)

// Frame is a batch of messages between an instance and the coordinator. Frames are
// encoded with gob, which omits empty fields.
type Frame struct {
	// Sent by an instance.
	Hello   *Hello
	Seq     int64     // number of the frame on its connection, if it has reports; they rise
	Jobs    []w.Job   // accepted jobs, already stored
	Again   bool      // Jobs may have been sent to a previous coordinator
	Cancels []w.JobID // cancelled jobs; the cancellations are already stored
	// EarlyCancels are cancellations of jobs that the instance did not find in the store.
	// They are already stored.
	EarlyCancels []EarlyCancel
	Reports      []Report
	Results      []Result
	Advice       []Advice
	Status       *Status
	Calls        []Call
	Abandoned    []int64    // IDs of calls whose replies the sender no longer waits for
	Ended        []JobState // final states that a previous coordinator sent before storing them
	// SavedEnds are final states that the instance has written to the store.
	SavedEnds []JobState

	// Sent by the coordinator.
	Seen   int64 // highest Seq of the frames that it has processed, see Conn.Confirm
	Assign *Assign
	Specs  []Spec // specs of the jobs in Starts
	Starts []Start
	Stops  []Stop
	Acks   []Ack
	Asks   []Ask
	States []JobState
	// NamesTenants is set if States names the tenants of all jobs. Coordinators of
	// earlier builds don't set it.
	NamesTenants bool
	Pending      *PendingCounts
	// Allowances replaces the allowances sent before.
	Allowances *Allowances
	Received   []w.JobID // jobs and cancellations that the coordinator has accepted
	// Reset is set if States lists all jobs whose end is not stored. Earlier states that
	// are not final are discarded.
	Reset   bool
	Replies []CallReply
	Peers   []string // addresses of other instances, which replace those sent before
	Retire  bool     // the coordinator hands over, as when it lost the store or is shutting down; the receiver may take over
}

const (
	// maxFrameStates is the number of states that a frame should not exceed, so that those
	// of all jobs don't hold up the orders behind them at the receiver.
	maxFrameStates = 100
	// maxSplitFrames is the number of frames into which a frame is split at most, so that
	// they fit into the send queue.
	maxSplitFrames = sendQueueSize / 4
)

// Split returns frames that are equivalent to f if they are sent in this order. All but
// the first contain only states and the flag about them.
func (f *Frame) Split() []*Frame {
	size := max(maxFrameStates, len(f.States)/maxSplitFrames+1)
	if len(f.States) <= size {
		return []*Frame{f}
	}
	first := *f
	first.States = f.States[:size:size]
	frames := []*Frame{&first}
	for states := range slices.Chunk(f.States[size:], size) {
		frames = append(frames, &Frame{States: states, NamesTenants: f.NamesTenants})
	}
	return frames
}

// Hello is the first message on a connection, in both directions.
type Hello struct {
	Instance w.InstanceID
	Zone     string
	Strength float64 // CPU capacity of the instance in cores
	Leads    bool    // the sender is the coordinator of the cell
	Address  string  // listen address for connections from instances; coordinators send none
}

// Status is the periodic health report of an instance.
type Status struct {
	StoreAge time.Duration // time for which direct calls of the instance to the store have failed
	Leaving  bool          // the instance is shutting down
	// Refusals are the jobs refused since the last status because of an allowance. The
	// leader splits a tenant's rate by arrivals, and sees accepted jobs only otherwise.
	Refusals []Refusals
}

// Refusals is the number of jobs of a tenant or a queue that an instance refused.
type Refusals struct {
	Tenant w.TenantName
	Queue  string // set instead of Tenant for an allowance of the queue
	Jobs   int
}

// Report is the result of a hold request to a target: the state of the target and its
// runs.
type Report struct {
	Target      w.TargetID
	Incarnation w.Incarnation
	Session     int64 // of the assignment under which the instance calls the target
	Ends        []w.End
	Runs        []w.Run
	Complete    bool // Runs lists all runs on the target
	Unsettled   bool // runs that an earlier coordinator has stopped may still be ending, and be missing from Runs
	Unreachable bool // the last hold request failed
	Closed      bool // set with Unreachable if the target closed or refused the connection
	Absent      bool // set with Unreachable if nobody or another target serves its address
	Gone        bool // the target answered with another incarnation
	Latency     time.Duration
	At          time.Duration // when the target answered, since the executor was started
}

// Call is a call to the store that an instance relays through the coordinator
// because its own calls fail.
type Call struct {
	ID      int64
	Method  string
	Path    string
	Body    []byte
	Timeout time.Duration
	Parts   bool // the sender takes a reply in parts; instances of earlier builds don't
}

// CallReply is the reply to a Call, or a part of it.
type CallReply struct {
	ID      int64
	Status  int
	Body    []byte
	More    bool // the rest of the body follows in further replies of the same ID
	Failed  bool // the store did not reply
	NotDone bool // set with Failed if the call is known to have had no effect
	Unsent  bool // set with NotDone if no leader was connected; leaders never set it
}

// Outcome is the outcome of a start or stop order.
//
//go:generate go tool stringer -type=Outcome -linecomment
type Outcome uint8

// Outcomes of a start or stop order. The line comments are the values of a metric
// label.
const (
	// Started means that the target has started the run.
	Started Outcome = iota // Started
	// NotStarted means that the run has not started and will not start.
	NotStarted // NotStarted
	// InsufficientResources means that the target rejected the start because its
	// free capacity is too small.
	InsufficientResources // NoRoom
	// InvalidTicket means that the target rejected the start because the ticket is
	// missing or invalid.
	InvalidTicket // BadTicket
	// TargetUnavailable means that the target rejected the start because it is
	// overloaded or unhealthy.
	TargetUnavailable // Refused
	// Fenced means that the target has seen a higher epoch.
	Fenced // Fenced
	// Indeterminate means that the target did not answer; it may have started the
	// run.
	Indeterminate // Unsettled
	// IncarnationMismatch means that the target has another incarnation than the
	// order.
	IncarnationMismatch // OtherLife
	// Superseded means that the run had already ended or been stopped.
	Superseded // Overtaken
)

// Result reports the outcome of a start or stop order.
type Result struct {
	Target      w.TargetID
	Incarnation w.Incarnation // 0 if the target is not assigned to the instance
	Task        w.TaskID
	Run         w.RunID
	Outcome
	Unanswered bool          // an earlier request for the order got no answer, and may still be carried out
	At         time.Duration // when the target answered, since the executor was started
}

// Spec is the specification that the tasks of a job are started with.
type Spec struct {
	Job  w.JobID
	Text string
}

// Start orders an instance to start a run on a target.
type Start struct {
	Target     w.TargetID
	Task       w.TaskID
	Run        w.RunID
	Checkpoint string
	Ticket     string
	Probe      bool // the coordinator waits for a report that the target is alive after the start
}

// Stop orders an instance to stop a run on a target.
type Stop struct {
	Target w.TargetID
	Task   w.TaskID
	Run    w.RunID
}

// Ack acknowledges the end events of a target up to and including Seq, so that the
// target can discard them.
type Ack struct {
	Target      w.TargetID
	Incarnation w.Incarnation
	Seq         int64
}

// Assign replaces the set of targets that are assigned to an instance.
type Assign struct {
	Epoch   w.Epoch
	Lease   time.Duration
	Targets []AssignedTarget
	// Confirms is set if the coordinator confirms frames with reports, see Frame.Seen. The
	// instance then extends the leases on a target only while it has a confirmed report of
	// the target that is younger than ReportValidity. Coordinators of earlier builds don't
	// set it.
	Confirms bool
}

// ReportValidity is the age of the last confirmed report of a target up to which its leases
// are extended. A coordinator that has got no report of a target for this time and a lease
// takes the leases for expired.
const ReportValidity = 1700 * time.Millisecond

// AssignedTarget is a target in an Assign message.
type AssignedTarget struct {
	ID          w.TargetID
	Address     string
	Incarnation w.Incarnation
	Acked       int64
	// Session numbers the assignments of a target. Coordinators of earlier builds don't set
	// it.
	Session int64
}

// Ask requests advice on which of the targets may run the tasks of a step.
type Ask struct {
	ID      int64
	Step    string
	Targets []w.TargetID
}

// Advice is the reply to an Ask. Tickets holds the ticket for each target in Good,
// in the same order.
type Advice struct {
	ID      int64
	Good    []w.TargetID
	Tickets []string
	Failed  bool
}

// JobState is a change of a job's state. The state Unknown means that the retention
// period of the job is over and the receiver can discard it.
type JobState struct {
	Job     w.JobID
	State   w.State
	Unsaved bool // the state is not stored yet; the receiver must keep it for the next coordinator and not show it
	Save    bool // set with Unsaved for the instance that is to write the state to the store
	Tenant  w.TenantName
}

// EarlyCancel is the cancellation of a job that is not stored yet. It applies to jobs of
// one tenant only.
type EarlyCancel struct {
	Job    w.JobID
	Tenant w.TenantName
}

// Allowance limits the rate at which an instance accepts jobs of a tenant whose jobs
// exceed its rate while the cell is full.
type Allowance struct {
	Tenant     w.TenantName
	JobsPerSec float64
}

// QueueAllowance limits the rate at which an instance accepts jobs of a queue whose jobs
// crash targets.
type QueueAllowance struct {
	Queue      string
	JobsPerSec float64
}

// Allowances lists all tenants and queues whose rate is limited.
type Allowances struct {
	Tenants []Allowance
	Queues  []QueueAllowance
}

// PendingCounts lists all queues with pending jobs.
type PendingCounts struct {
	Queues []Pending
}

// Pending is the number of pending jobs in a queue: those of which no task has
// started yet.
type Pending struct {
	Queue string
	Jobs  int
}
