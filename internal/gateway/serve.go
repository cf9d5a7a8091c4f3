package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/currantwinch/currantwinch/idempotency"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

// maxAttempts bounds the attempts of one call, the first included.
const maxAttempts = 3

// serve takes a call from admission to its outcome. The error's verdict holds
// for the call and for every earlier one with its key.
func (g *Gateway) serve(ctx context.Context, c *call) (idempotency.Outcome, error) {
	if c.kind.Billed && !g.bills.room() {
		full := verdict.New(verdict.NotRun, ReasonBillsFull, "the log takes no bills").WithRetryAfter(maxBillWait)
		return g.turnAway(ctx, c, full)
	}
	if !c.keyed() {
		outcome, runTime, err := g.run(ctx, c)
		g.bill(c, runTime, err)
		return outcome, err
	}
	d, err := g.beginKey(ctx, c)
	switch {
	case err != nil:
		// The owner may have begun the key for this call, which sends nothing.
		g.settleCall(c, idempotency.Outcome{}, 0, verdict.New(verdict.NotRun, ReasonKeyOwnerUnreachable, "not begun"))
		return idempotency.Outcome{}, err
	case d.State == idempotency.Done:
		return d.Outcome, nil
	case d.State != idempotency.Fresh:
		return idempotency.Outcome{}, refusal(d)
	}
	outcome, runTime, err := g.run(ctx, c)
	g.settleCall(c, outcome, runTime, err)
	return outcome, err
}

// turnAway refuses a call before its key has begun. What an earlier call with
// the key left behind is returned in place of the refusal; where that is not
// known, the refusal says MayHaveRun.
func (g *Gateway) turnAway(ctx context.Context, c *call, why *verdict.Error) (idempotency.Outcome, error) {
	if !c.keyed() || c.first {
		return idempotency.Outcome{}, why
	}
	d, err := g.lookupKey(ctx, c)
	switch {
	case err != nil:
		e := verdict.New(verdict.MayHaveRun, why.Reason, "%v", why.Err)
		return idempotency.Outcome{}, e.WithRetryAfter(why.RetryAfter)
	case d.State == idempotency.Done:
		return d.Outcome, nil
	case d.State == idempotency.Fresh:
		return idempotency.Outcome{}, why
	}
	return idempotency.Outcome{}, refusal(d)
}

func refusal(d idempotency.Decision) error {
	if d.Err == nil {
		return verdict.New(verdict.MayHaveRun, ReasonInProgress, "an earlier attempt is in progress").WithRetryAfter(inProgressWait)
	}
	return d.Err
}

// run gives the call one attempt after the other until it has an outcome.
func (g *Gateway) run(ctx context.Context, c *call) (idempotency.Outcome, time.Duration, error) {
	g.loop.countFirst()
	for {
		s, err := g.loop.acquire(ctx, c)
		if err != nil {
			return idempotency.Outcome{}, 0, c.whole(err)
		}
		answer, runTime, err := g.attempt(ctx, c, s)
		if err == nil {
			return outcomeOf(c, s.vm.Name, answer), runTime, nil
		}
		if !g.repeats(ctx, c, s, err) {
			return idempotency.Outcome{}, runTime, c.whole(err)
		}
	}
}

// attempt sends the call on a slot. It goes on when the caller has gone, so
// that the slot's end is known and the outcome can be kept.
func (g *Gateway) attempt(ctx context.Context, c *call, s *slot) (Response, time.Duration, error) {
	request := c.request
	c.attempts++
	request.ID += "-" + strconv.Itoa(c.attempts)
	request.SendBefore = s.credit.SendBefore
	sent := g.o.Now()
	answer, err := g.o.Backends.Send(context.WithoutCancel(ctx), s.vm, request)
	used := g.o.Now().Sub(sent)
	if err == nil && answer.ID != request.ID {
		err = verdict.New(verdict.MayHaveRun, ReasonResponseMismatched, "answer to %q", answer.ID)
	}
	// The mark comes before the slot is free, so that no repeat goes there.
	if (answer.Leaving || verdict.ReasonOf(err) == ReasonBackendLeaving) && g.watch.told(s.vm) {
		g.loop.spawn(func(ctx context.Context) { g.watch.tell(ctx, s.vm) })
	}
	g.loop.send(finished{slot: s, key: c.estimateKey(), id: request.ID, answer: answer, err: err, used: used})
	if verdict.Of(err) == verdict.MayHaveRun {
		c.mayHaveRun = true
	}
	return answer, used, err
}

// repeats reports whether the call gets another attempt: only if it certainly
// did not run or may be repeated, and within the budget of retries.
func (g *Gateway) repeats(ctx context.Context, c *call, s *slot, err error) bool {
	safe := verdict.Of(err) == verdict.NotRun || c.kind.Repeatable
	if !safe || c.attempts >= maxAttempts || ctx.Err() != nil {
		return false
	}
	if !g.o.Now().Before(c.request.Deadline) || !g.loop.mayRetry() {
		return false
	}
	c.avoid = s.vm.Name
	g.metrics.retries.Inc()
	return true
}

// whole gives an attempt's error the verdict of the whole call: it is not
// NotRun where an earlier attempt may have run.
func (c *call) whole(err error) error {
	if c.mayHaveRun && verdict.Of(err) == verdict.NotRun {
		e := verdict.New(verdict.MayHaveRun, verdict.ReasonOf(err), "%v", errors.Cause(err))
		return e.WithRetryAfter(verdict.RetryAfterOf(err))
	}
	return err
}

// settleCall tells the key's owner how the call ended, and bills it.
func (g *Gateway) settleCall(c *call, outcome idempotency.Outcome, runTime time.Duration, err error) {
	item := keySettlement{Key: c.request.Key, Holder: c.request.ID, Outcome: outcome}
	if err != nil {
		item.Outcome = idempotency.Outcome{Verdict: verdict.Of(err)}
	}
	item.Bill = g.bill(c, runTime, err)
	g.settler.add(item, c.request.Deadline.Add(settleGrace))
}

// bill records the call's run, unless it did not run or is not billed.
func (g *Gateway) bill(c *call, runTime time.Duration, err error) *record.Bill {
	if !c.kind.Billed || verdict.Of(err) == verdict.NotRun {
		return nil
	}
	bill := c.bill(verdict.Of(err), runTime)
	g.bills.add(bill)
	g.copyBill(bill)
	return &bill
}
