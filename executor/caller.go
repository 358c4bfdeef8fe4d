// Package executor carries out the orders that a coordinator sends to an
// instance. It renews the leases of the targets assigned to the instance, reports
// runs that ended there, starts and stops runs, and requests placement advice.
package executor

import (
	"context"
	"errors"
	"time"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// Target identifies a target and the address of one of its incarnations.
type Target struct {
	ID      w.TargetID
	Address string
}

// StartRequest asks a target to start a run.
type StartRequest struct {
	Task       w.TaskID
	Run        w.RunID
	Spec       string
	Checkpoint string
	Ticket     string
	Epoch      w.Epoch
	Deadline   int64 // latest start time on the target's clock, in ms
}

// Reply is a target's reply to a start or stop request.
type Reply struct {
	Outcome linker.Outcome
	Clock   int64 // target's clock in ms; 0 if the reply has no reading
}

// HoldRequest extends the leases of the runs on a target and asks for its lists of
// running and ended runs.
type HoldRequest struct {
	Epoch     w.Epoch
	AckCursor int64         // acknowledges the end events up to this sequence number, all of which are stored
	Deadline  int64         // end of the leases on the target's clock, in ms; 0 leaves them unchanged
	Wait      time.Duration // how long the target may delay its reply while no run ends
}

// HoldReply lists the runs in progress on a target and the end events that are not
// acknowledged yet.
type HoldReply struct {
	Clock       int64 // target's clock in ms; 0 if the reply has no reading
	Incarnation w.Incarnation
	Runs        []w.Run
	Ends        []w.End
	MoreEnds    bool // the target may have further ends than Ends
	// OmittedCheckpoints is the number of checkpoints that were left out for their size.
	OmittedCheckpoints int
}

// Ticket is the advice service's permission to start tasks of one step on a target.
type Ticket struct {
	Target w.TargetID
	Token  string // opaque; passed in StartRequest.Ticket
}

// Errors of a request to a target.
var (
	// ErrClosed reports that the target closed or refused the connection, as it does when
	// its process has ended.
	ErrClosed = errors.New("executor: connection closed or refused by the target")
	// ErrOtherTarget reports that another target serves the address.
	ErrOtherTarget = errors.New("executor: another target serves the address")
	// ErrNotSent reports that no connection was established, so that the target has not
	// received the request.
	ErrNotSent = errors.New("executor: request not sent")
)

// TargetClient sends requests to targets and to the advice service. Its methods
// return an error if no reply arrives, which may wrap ErrClosed and ErrNotSent.
type TargetClient interface {
	Start(ctx context.Context, t Target, req *StartRequest) (Reply, error)
	Stop(ctx context.Context, t Target, task w.TaskID, run w.RunID, epoch w.Epoch) (Reply, error)
	Hold(ctx context.Context, t Target, req *HoldRequest) (HoldReply, error)
	Advise(ctx context.Context, step string, targets []w.TargetID) ([]Ticket, error)
}
