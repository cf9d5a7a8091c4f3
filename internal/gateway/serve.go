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

// serve runs an admitted call and returns its outcome. The error's verdict holds
// for the call and for every earlier call with its key.
func (g *Gateway) serve(ctx context.Context, c *call) (idempotency.Outcome, error) {
	if c.kind.Billed && !g.bills.hasCapacity() {
		full := verdict.New(verdict.NotRun, ReasonBillsFull, "the log takes no bills").WithRetryAfter(maxBillRetryInterval)
		return g.refuseCall(ctx, c, full)
	}
	if !c.keyed() {
		outcome, runTime, err := g.runAttempts(ctx, c)
		g.recordBill(c, runTime, err)
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
		return idempotency.Outcome{}, decisionError(d)
	}
	outcome, runTime, err := g.runAttempts(ctx, c)
	g.settleCall(c, outcome, runTime, err)
	return outcome, err
}

// refuseCall refuses a call before its key has begun. If an earlier call with the
// key has left an outcome, it returns that instead. If the key's state is not
// known, the refusal's verdict is MayHaveRun.
func (g *Gateway) refuseCall(ctx context.Context, c *call, refusal *verdict.Error) (idempotency.Outcome, error) {
	if !c.mayHaveEarlierAttempt() {
		return idempotency.Outcome{}, refusal
	}
	d, err := g.lookupKey(ctx, c)
	switch {
	case err != nil:
		e := verdict.New(verdict.MayHaveRun, refusal.Reason, "%v", refusal.Err)
		return idempotency.Outcome{}, e.WithRetryAfter(refusal.RetryAfter)
	case d.State == idempotency.Done:
		return d.Outcome, nil
	case d.State == idempotency.Fresh:
		return idempotency.Outcome{}, refusal
	}
	return idempotency.Outcome{}, decisionError(d)
}

func decisionError(d idempotency.Decision) error {
	if d.Err == nil {
		return verdict.New(verdict.MayHaveRun, ReasonInProgress, "an earlier attempt is in progress").WithRetryAfter(inProgressRetryAfter)
	}
	return d.Err
}

// runAttempts attempts the call until it has an outcome or must not be retried.
func (g *Gateway) runAttempts(ctx context.Context, c *call) (idempotency.Outcome, time.Duration, error) {
	g.dispatcher.recordFirstAttempt()
	for {
		s, err := g.dispatcher.acquire(ctx, c)
		if err != nil {
			return idempotency.Outcome{}, 0, c.callError(err)
		}
		response, runTime, err := g.attempt(ctx, c, s)
		c.answer.End()
		c.answer = response.Memory
		if err == nil {
			return outcomeOf(c, s.vm.Name, response), runTime, nil
		}
		if !g.shouldRetry(ctx, c, s, err) {
			return idempotency.Outcome{}, runTime, c.callError(err)
		}
	}
}

// attempt sends the call on a slot. It continues after the caller has
// disconnected, so that the slot can be released and the outcome kept.
func (g *Gateway) attempt(ctx context.Context, c *call, s *slot) (Response, time.Duration, error) {
	request := c.request
	c.attempts++
	request.ID += "-" + strconv.Itoa(c.attempts)
	request.SendBefore = s.credit.SendBefore
	sent := g.o.Now()
	response, err := g.o.Backends.Send(context.WithoutCancel(ctx), s.vm, request)
	runTime := g.o.Now().Sub(sent)
	if err == nil && response.ID != request.ID {
		err = verdict.New(verdict.MayHaveRun, ReasonResponseMismatched, "answer to %q", response.ID)
	}
	// Mark the backend server before its slot is released, so that no retry goes
	// there.
	if (response.Leaving || verdict.ReasonOf(err) == ReasonBackendLeaving) && g.registry.markReported(s.vm) {
		g.dispatcher.spawn(func(ctx context.Context) { g.registry.notifyDaemons(ctx, s.vm) })
	}
	g.dispatcher.send(attemptFinished{slot: s, key: c.estimateKey(), id: request.ID, response: response, err: err, runTime: runTime})
	if verdict.Of(err) == verdict.MayHaveRun {
		c.mayHaveRun = true
	}
	return response, runTime, err
}

// shouldRetry reports whether the call gets another attempt: only if the attempt
// certainly did not run or the request may be repeated, and within the deadline,
// maxAttempts and the retry budget.
func (g *Gateway) shouldRetry(ctx context.Context, c *call, s *slot, err error) bool {
	safe := verdict.Of(err) == verdict.NotRun || c.kind.Repeatable
	if !safe || c.attempts >= maxAttempts || ctx.Err() != nil {
		return false
	}
	if !g.o.Now().Before(c.request.Deadline) || !g.dispatcher.takeRetry() {
		return false
	}
	c.failedBackend = s.vm.Name
	g.metrics.retries.Inc()
	return true
}

// callError gives an attempt's error the verdict of the whole call: MayHaveRun in
// place of NotRun if an earlier attempt may have run.
func (c *call) callError(err error) error {
	if c.mayHaveRun && verdict.Of(err) == verdict.NotRun {
		e := verdict.New(verdict.MayHaveRun, verdict.ReasonOf(err), "%v", errors.Cause(err))
		return e.WithRetryAfter(verdict.RetryAfterOf(err))
	}
	return err
}

// settleCall reports the call's end to the key's owner and bills the call.
func (g *Gateway) settleCall(c *call, outcome idempotency.Outcome, runTime time.Duration, err error) {
	item := keySettlement{Key: c.request.Key, Holder: c.request.ID, Outcome: outcome}
	if err != nil {
		item.Outcome = idempotency.Outcome{Verdict: verdict.Of(err)}
	}
	item.Bill = g.recordBill(c, runTime, err)
	g.settler.add(item, c.request.Deadline.Add(settleGrace))
}

// recordBill queues and returns the call's bill. It returns nil if the call did
// not run or is not billed.
func (g *Gateway) recordBill(c *call, runTime time.Duration, err error) *record.Bill {
	if !c.kind.Billed || verdict.Of(err) == verdict.NotRun {
		return nil
	}
	bill := c.bill(verdict.Of(err), runTime)
	g.bills.add(bill)
	g.copyBill(bill)
	return &bill
}
