// Package linker connects the instances of a cell to its coordinator. Each
// connection carries frames in both directions; a frame holds a batch of
// everything that was due when it was sent.
package linker

import (
	"time"

	w "github.com/masticlead/masticlead/workload"
)

// Frame is one message between an instance and the coordinator. Fields that
// are empty take no space on the wire.
type Frame struct {
	// From the instance.
	Hello   *Hello
	Jobs    []w.Job   // stored
	Again   bool      // Jobs may have been handed to an earlier coordinator
	Cancels []w.JobID // stored
	Reports []Report
	Results []Result
	Advice  []Advice
	Status  *Status
	Calls   []Call
	Ended   []JobState // ends that an earlier coordinator showed before it had stored them

	// From the coordinator.
	Assign   *Assign
	Specs    []Spec // of the jobs in Starts
	Starts   []Start
	Stops    []Stop
	Acks     []Ack
	Asks     []Ask
	States   []JobState
	Pending  *PendingCounts
	Received []w.JobID // jobs and cancels that the coordinator has taken over
	Reset    bool      // States is complete; what was known before is dropped
	Replies  []CallReply
	Retire   bool // the coordinator has lost the store; the receiver may take over
}

// Hello opens a connection.
type Hello struct {
	Instance w.InstanceID
	Zone     string
	Strength float64 // cores of the instance
	Leads    bool    // the sender coordinates the cell
}

// Status is sent by an instance every heartbeat.
type Status struct {
	StoreAge time.Duration // age of the last answer of the store
	Leaving  bool          // the instance is about to stop
}

// Report is what a target said of itself and its runs.
type Report struct {
	Target      w.TargetID
	Incarnation w.Incarnation
	Ends        []w.End
	Runs        []w.Run
	Complete    bool // Runs lists everything that runs
	Unreachable bool // the last call got no answer
	Gone        bool // another incarnation answered
	Latency     time.Duration
}

// Call is a call to the store that an instance can't make itself.
type Call struct {
	ID      int64
	Method  string
	Path    string
	Body    []byte
	Timeout time.Duration
}

// CallReply answers a Call.
type CallReply struct {
	ID      int64
	Status  int
	Body    []byte
	Failed  bool // no answer
	NotDone bool // with Failed: the store certainly did nothing
}

// Outcome tells what became of a start order.
//
//go:generate go tool stringer -type=Outcome
type Outcome uint8

// Outcomes of a start order.
const (
	Started    Outcome = iota
	NotStarted         // certainly not run
	NoRoom             // rejected by the target for want of room
	BadTicket          // rejected by the target for want of a valid ticket
	Refused            // an unhealthy target did nothing
	Fenced             // a higher epoch was seen
	Unsettled          // the target does not answer; the run may be there
	OtherLife          // the target is another incarnation
	Overtaken          // the run has ended or was stopped before
)

// Result answers a start order.
type Result struct {
	Target w.TargetID
	Task   w.TaskID
	Run    w.RunID
	Outcome
}

// Spec carries the text of a job's tasks.
type Spec struct {
	Job  w.JobID
	Text string
}

// Start orders a run.
type Start struct {
	Target     w.TargetID
	Task       w.TaskID
	Run        w.RunID
	Checkpoint string
	Ticket     string
}

// Stop ends a run.
type Stop struct {
	Target w.TargetID
	Task   w.TaskID
	Run    w.RunID
}

// Ack lets a target forget the ends up to Seq.
type Ack struct {
	Target      w.TargetID
	Incarnation w.Incarnation
	Seq         int64
}

// Assign gives an instance the targets that it calls.
type Assign struct {
	Epoch   w.Epoch
	Lease   time.Duration
	Targets []AssignedTarget
}

// AssignedTarget is a target of an assignment.
type AssignedTarget struct {
	ID          w.TargetID
	Address     string
	Incarnation w.Incarnation
	Acked       int64
}

// Ask requests advice for a step.
type Ask struct {
	ID      int64
	Step    string
	Targets []w.TargetID
}

// Advice answers an Ask.
type Advice struct {
	ID      int64
	Good    []w.TargetID
	Tickets []string
	Failed  bool
}

// JobState is a change of a job's state. Unknown ends its retention.
type JobState struct {
	Job     w.JobID
	State   w.State
	Unsaved bool // the store does not hold it yet, so the receiver has to remember it
}

// PendingCounts lists all queues that have jobs without a started task.
type PendingCounts struct {
	Queues []Pending
}

// Pending is the number of jobs of a queue without a started task.
type Pending struct {
	Queue string
	Jobs  int
}
