package placer

import (
	"context"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/ring"
	"github.com/currantwinch/currantwinch/verdict"
)

// executorQueueLength bounds the steps that wait for an executor.
const executorQueueLength = 1024

// Reasons of calls that were refused because placement is overloaded or has
// stopped. A call that is not taken or answered before its deadline fails with
// ReasonBusy.
const (
	ReasonBusy    verdict.Reason = "placer_busy"
	ReasonStopped verdict.Reason = "placer_stopped"
)

// executor runs the steps of a duty one at a time. Everything that changes the
// duty's state is one of its steps.
type executor struct {
	steps *ring.Ring[func()]
	group *duty.Group
}

func newExecutor(name string, group *duty.Group) *executor {
	return &executor{steps: ring.New[func()](name, executorQueueLength, ring.Block), group: group}
}

// query runs f as a step and returns its result. The error's verdict is NotRun
// if f was not run and will not be, and MayHaveRun otherwise.
func query[T any](ctx context.Context, e *executor, f func() T) (T, error) {
	var zero T
	if err := e.group.Context().Err(); err != nil {
		return zero, verdict.Wrap(err, verdict.NotRun, ReasonStopped)
	}
	out := make(chan T, 1)
	if !e.steps.Push(ctx, func() { out <- f() }) {
		return zero, verdict.New(verdict.NotRun, ReasonBusy, "step was not taken: %v", ctx.Err())
	}
	select {
	case v := <-out:
		return v, nil
	case <-ctx.Done():
		return zero, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, ReasonBusy)
	case <-e.group.Done():
		return zero, verdict.New(verdict.MayHaveRun, ReasonStopped, "placement has stopped")
	}
}

// post queues f as a step without waiting for it to run. It must not be called
// from a step: it would block for ever on a full queue.
func (e *executor) post(f func()) { e.steps.Push(e.group.Context(), f) }

// drain runs the first step and all steps that wait, so that one turn follows
// them all.
func (e *executor) drain(first func()) {
	first()
	for range executorQueueLength {
		select {
		case f := <-e.steps.C():
			f()
		default:
			return
		}
	}
}
