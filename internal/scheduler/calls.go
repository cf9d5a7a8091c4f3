package scheduler

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
	"github.com/pkg/errors"
)

const (
	// maxStoreDelay is the longest wait of a pending write before new
	// submissions are refused, since nothing can be accepted while nothing can
	// be stored.
	maxStoreDelay = 700 * time.Millisecond
	// minStoreRetryAfter and maxStoreRetryAfter bound the retry delay that
	// callers get then. Between them it equals the length of the outage so far:
	// a long outage is likely to last, and callers make few attempts.
	minStoreRetryAfter = time.Second
	maxStoreRetryAfter = 4 * time.Second
)

// Submit accepts a submission and returns once it is stored. It is idempotent:
// a stored ID is accepted again without effect, even while nothing can be
// stored.
func (e *Engine) Submit(ctx context.Context, sub *workload.Submission) (Reply, error) {
	if err := e.awaitClaim(ctx); err != nil {
		return Reply{}, err
	}
	return e.call(ctx, func(c *Core, reply func(Reply)) {
		// No submission is decided by an older version than this daemon has.
		e.configure()
		c.Submit(sub, e.writer.OldestWait(), reply)
	})
}

// Cancel cancels a submission and returns once that is stored. To a tenant that may not
// see the submission, and through another queue, the reply is that there is none.
func (e *Engine) Cancel(ctx context.Context, ref workload.Reference) (Reply, error) {
	r, err := e.call(ctx, func(c *Core, reply func(Reply)) {
		if c.mayAccess(ref, reply) {
			c.Cancel(ref.ID, reply)
		}
	})
	return e.confirmNotFound(ctx, r, err)
}

// Status returns a submission's state. To a tenant that may not see the submission, and
// through another queue, the reply is that there is none.
func (e *Engine) Status(ctx context.Context, ref workload.Reference) (Reply, error) {
	r, err := e.call(ctx, func(c *Core, reply func(Reply)) {
		if c.mayAccess(ref, reply) {
			c.Status(ref.ID, reply)
		}
	})
	return e.confirmNotFound(ctx, r, err)
}

// Pending returns how many submissions of the queue with a name and an address have not
// started.
func (e *Engine) Pending(ctx context.Context, queue string, address workload.QueueAddress) (Reply, error) {
	return e.call(ctx, func(c *Core, reply func(Reply)) { c.Pending(queue, address, reply) })
}

// confirmNotFound passes OutcomeNotFound on only if this daemon owned the partition
// when it gave that reply. Another daemon may have accepted the submission otherwise:
// the group may assign the partition to it at any time, lease or not.
func (e *Engine) confirmNotFound(ctx context.Context, r Reply, err error) (Reply, error) {
	if err != nil || r.Outcome != OutcomeNotFound {
		return r, err
	}
	if !e.o.LeaseValid() {
		return Reply{}, verdict.New(verdict.NotRun, ReasonNotOwner, "not sure to own the partition")
	}
	err = e.writer.ConfirmOwnership(ctx)
	if errors.Is(err, partition.ErrFenced) {
		e.Superseded(e.core.epoch + 1)
	}
	if err != nil {
		return Reply{}, verdict.Wrap(err, verdict.NotRun, ReasonNotOwner)
	}
	return r, nil
}

// awaitClaim waits until the partition is claimed.
func (e *Engine) awaitClaim(ctx context.Context) error {
	select {
	case <-e.done:
		return verdict.New(verdict.NotRun, ReasonNotOwner, "the partition has another owner")
	case <-e.claimed:
		return nil
	case <-ctx.Done():
		return verdict.Wrap(ctx.Err(), verdict.NotRun, ReasonTimeout)
	}
}

// callEvent is a call by a caller. Either the Core reads it or its caller abandons it, so
// that the caller knows of a call without a reply whether it may have had an effect.
type callEvent struct {
	do    func(c *Core, reply func(Reply))
	reply chan Reply
	taken *atomic.Bool
}

func (ev callEvent) apply(c *Core) {
	if ev.take() {
		ev.do(c, func(r Reply) {
			r.ConfigVersion = max(r.ConfigVersion, c.configVersion())
			ev.reply <- r
		})
	}
}

// take reports whether the Core, or the caller that abandons the call, is the first to take
// it.
func (ev callEvent) take() bool { return ev.taken.CompareAndSwap(false, true) }

// call passes a call to the Core and waits for its reply. The verdict of an error is NotRun if
// the Core has not read the call and will not, or has refused it as it ended.
func (e *Engine) call(ctx context.Context, do func(c *Core, reply func(Reply))) (Reply, error) {
	ev := callEvent{do, make(chan Reply, 1), &atomic.Bool{}}
	if !e.events.Push(ctx, ev) {
		return Reply{}, verdict.Wrap(ctx.Err(), verdict.NotRun, ReasonTimeout)
	}
	var err error
	select {
	case r := <-ev.reply:
		return ownerReply(r)
	case <-ctx.Done():
		err = verdict.Wrap(ctx.Err(), ev.abandon(), ReasonTimeout)
	case <-e.done:
		err = verdict.New(ev.abandon(), ReasonNotOwner, "the partition went to another owner")
	}
	select {
	case r := <-ev.reply:
		// It came at the same time.
		return ownerReply(r)
	default:
		return Reply{}, err
	}
}

// abandon abandons a call. It returns NotRun if the Core has not read it, and never will.
func (ev callEvent) abandon() verdict.Verdict {
	if ev.take() {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// ownerReply returns the refusal of an owner that ends as an error, since the next owner may
// take the call.
func ownerReply(r Reply) (Reply, error) {
	if r.Outcome == OutcomeUnavailable && r.Reason == string(ReasonNotOwner) {
		return Reply{}, verdict.New(verdict.NotRun, ReasonNotOwner, "the partition went to another owner before the submission was stored")
	}
	return r, nil
}

// refuseUnsent refuses the submissions whose records wait to be sent to the log when this
// owner ends: they are certainly not in the log. Others get no reply.
func (e *Engine) refuseUnsent() {
	ids := e.core.UnstoredWrites()
	if len(ids) == 0 {
		return
	}
	e.core.writesWithdrawn(e.writer.Withdraw(ids), Reply{Outcome: OutcomeUnavailable, Reason: string(ReasonNotOwner), RetryAfterMS: minStoreRetryAfter.Milliseconds()})
	for _, a := range e.core.Finish(false) {
		if a, ok := a.(SendReply); ok {
			a.Reply(a.Answer)
		}
	}
}
