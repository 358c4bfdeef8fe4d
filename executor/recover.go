package executor

import (
	"context"
	"errors"
	"log/slog"
	"runtime/debug"

	w "github.com/masticlead/masticlead/workload"
)

var errPanic = errors.New("executor: unexpected error in a request")

// recoveringClient turns a panic in a request, as by a reply that its decoder doesn't
// expect, into an error, so that it doesn't end the process.
type recoveringClient struct {
	TargetClient
	log *slog.Logger
}

func (c recoveringClient) recover(err *error) {
	if r := recover(); r != nil {
		c.log.Error("unexpected error", "panic", r, "stack", string(debug.Stack()))
		*err = errPanic
	}
}

func (c recoveringClient) Start(ctx context.Context, t Target, req *StartRequest) (_ Reply, err error) {
	defer c.recover(&err)
	return c.TargetClient.Start(ctx, t, req)
}

func (c recoveringClient) Stop(ctx context.Context, t Target, task w.TaskID, run w.RunID, epoch w.Epoch) (_ Reply, err error) {
	defer c.recover(&err)
	return c.TargetClient.Stop(ctx, t, task, run, epoch)
}

func (c recoveringClient) Hold(ctx context.Context, t Target, req *HoldRequest) (_ HoldReply, err error) {
	defer c.recover(&err)
	return c.TargetClient.Hold(ctx, t, req)
}

func (c recoveringClient) Advise(ctx context.Context, step string, targets []w.TargetID) (_ []Ticket, err error) {
	defer c.recover(&err)
	return c.TargetClient.Advise(ctx, step, targets)
}
