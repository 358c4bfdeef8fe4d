// Package executor carries out the calls of a coordinator: it holds the leases
// of the targets assigned to its instance, reports what ended there, starts and
// stops runs and asks for advice.
package executor

import (
	"context"
	"time"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// Target addresses one incarnation of a target.
type Target struct {
	ID      w.TargetID
	Address string
}

// StartCall is a start order on the wire.
type StartCall struct {
	Task       w.TaskID
	Run        w.RunID
	Spec       string
	Checkpoint string
	Ticket     string
	Epoch      w.Epoch
	Deadline   int64 // on the target's clock, ms
}

// Reply is a target's answer to a start or stop order.
type Reply struct {
	Outcome linker.Outcome
	Clock   int64 // of the target, ms; 0 if it said none
}

// HoldCall extends the leases on a target and asks for its lists.
type HoldCall struct {
	Epoch    w.Epoch
	Acked    int64
	Deadline int64 // on the target's clock, ms; 0 leaves the leases as they are
	Wait     time.Duration
}

// HoldReply is what a target runs and what has ended there.
type HoldReply struct {
	Clock       int64
	Incarnation w.Incarnation
	Runs        []w.Run
	Ends        []w.End
}

// Ticket permits starts of one step on a target.
type Ticket struct {
	Target w.TargetID
	Text   string
}

// Caller makes the calls. A call without an answer returns an error.
type Caller interface {
	Start(ctx context.Context, t Target, c *StartCall) (Reply, error)
	Stop(ctx context.Context, t Target, task w.TaskID, run w.RunID, epoch w.Epoch) (Reply, error)
	Hold(ctx context.Context, t Target, c *HoldCall) (HoldReply, error)
	Advise(ctx context.Context, step string, targets []w.TargetID) ([]Ticket, error)
}
