package scheduler

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	// storeSilence is how long writes may wait before new submissions are
	// refused: nothing can be accepted while nothing can be stored.
	storeSilence = 700 * time.Millisecond
	// minStoreRetryAfter and maxStoreRetryAfter bound what callers are told then.
	// Between them it is how long the store has been away: an outage that lasts
	// tends to last on, and callers have few attempts.
	minStoreRetryAfter = time.Second
	maxStoreRetryAfter = 4 * time.Second
)

// Submit accepts a submission once it is stored. It may be repeated: the same
// ID is accepted once, and again whether or not anything can be stored now.
func (e *Engine) Submit(ctx context.Context, sub *workload.Submission) (Reply, error) {
	if err := e.owns(ctx); err != nil {
		return Reply{}, err
	}
	return e.call(ctx, func(c *Core, reply func(Reply)) {
		c.Submit(sub, e.writer.OldestWait(), reply)
	})
}

// Cancel ends a submission once that is stored.
func (e *Engine) Cancel(ctx context.Context, id string) (Reply, error) {
	return e.known(e.call(ctx, func(c *Core, reply func(Reply)) { c.Cancel(id, reply) }))
}

// Status returns a submission's state.
func (e *Engine) Status(ctx context.Context, id string) (Reply, error) {
	return e.known(e.call(ctx, func(c *Core, reply func(Reply)) { c.Status(id, reply) }))
}

// Pending returns how many of a queue's submissions have not started.
func (e *Engine) Pending(ctx context.Context, queue string) (Reply, error) {
	return e.call(ctx, func(c *Core, reply func(Reply)) { c.Pending(queue, reply) })
}

// known passes on that a submission does not exist only while no other daemon
// can have accepted it.
func (e *Engine) known(r Reply, err error) (Reply, error) {
	if err == nil && r.Outcome == OutcomeNotFound && !e.o.LeaseValid() {
		return Reply{}, verdict.New(verdict.NotRun, ReasonNotOwner, "not sure to own the partition")
	}
	return r, err
}

// owns waits until the partition is this Engine's.
func (e *Engine) owns(ctx context.Context) error {
	select {
	case <-e.done:
		return verdict.New(verdict.NotRun, ReasonNotOwner, "the partition has another owner")
	case <-e.claimed:
		return nil
	case <-ctx.Done():
		return verdict.Wrap(ctx.Err(), verdict.NotRun, ReasonTimeout)
	}
}

// callEvent is a caller's call.
type callEvent struct {
	do    func(c *Core, reply func(Reply))
	reply chan Reply
}

func (ev callEvent) apply(c *Core) {
	ev.do(c, func(r Reply) { ev.reply <- r })
}

// call has the Core answer a call.
func (e *Engine) call(ctx context.Context, do func(c *Core, reply func(Reply))) (Reply, error) {
	ev := callEvent{do, make(chan Reply, 1)}
	if !e.events.Push(ctx, ev) {
		return Reply{}, verdict.Wrap(ctx.Err(), verdict.NotRun, ReasonTimeout)
	}
	select {
	case r := <-ev.reply:
		return r, nil
	case <-ctx.Done():
		return Reply{}, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, ReasonTimeout)
	case <-e.done:
		return Reply{}, verdict.New(verdict.MayHaveRun, ReasonNotOwner, "the partition went to another owner")
	}
}
