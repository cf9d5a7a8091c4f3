package gateway

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/idempotency"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	keyCallTimeout       = time.Second
	minKeyRetryInterval  = 20 * time.Millisecond
	maxKeyRetryInterval  = 250 * time.Millisecond
	inProgressRetryAfter = time.Second
	// settleGrace: the key's owner waits this long after an attempt's deadline for
	// its outcome.
	settleGrace = 5 * time.Second
)

// beginKey asks the key's owner whether the call may run. It retries until the
// owner has decided or the call's deadline has passed.
func (g *Gateway) beginKey(ctx context.Context, c *call) (idempotency.Decision, error) {
	params := keyBeginRequest{Key: c.request.Key, Holder: c.request.ID, Fingerprint: c.fingerprint()}
	if c.kind.Billed {
		bill := c.bill(verdict.MayHaveRun, 0)
		params.Bill = &bill
	}
	wait := minKeyRetryInterval
	var lastErr error
	for {
		params.Remaining = c.request.Deadline.Sub(g.o.Now())
		if params.Remaining <= 0 {
			return idempotency.Decision{}, undecidedError(c, lastErr)
		}
		d, err := g.callKeyOwner(ctx, methodKeyBegin, params.Key, params, func() (idempotency.Decision, error) {
			return g.keys.begin(g.o.Self.Name, params)
		})
		if err == nil && d.State != idempotency.InProgress {
			return d, nil
		}
		lastErr = err
		if !duty.Sleep(ctx, wait) {
			return idempotency.Decision{}, verdict.Wrap(ctx.Err(), unsentVerdict(c), ReasonCallerDisconnected)
		}
		wait = min(2*wait, maxKeyRetryInterval)
	}
}

// callKeyOwner calls the key's owner, which may be this daemon.
func (g *Gateway) callKeyOwner(ctx context.Context, method, key string, params any, local func() (idempotency.Decision, error)) (idempotency.Decision, error) {
	owner, ok := g.o.Owners.Owner(cluster.KeyShare(key))
	if !ok {
		return idempotency.Decision{}, verdict.New(verdict.NotRun, reasonNotOwner, "nobody owns the key")
	}
	if owner.Name == g.o.Self.Name {
		return local()
	}
	ctx, cancel := context.WithTimeout(ctx, keyCallTimeout)
	defer cancel()
	var wire keyDecision
	if err := g.o.Peers.Call(ctx, owner.Name, method, params, &wire); err != nil {
		return idempotency.Decision{}, verdict.Wrap(err, verdict.Of(err), verdict.ReasonOf(err))
	}
	return wire.decision(), nil
}

// lookupKey asks the key's owner once what it knows of the call's key.
func (g *Gateway) lookupKey(ctx context.Context, c *call) (idempotency.Decision, error) {
	params := keyLookupRequest{Key: c.request.Key, Fingerprint: c.fingerprint()}
	return g.callKeyOwner(ctx, methodKeyLookup, params.Key, params, func() (idempotency.Decision, error) {
		return g.keys.lookup(params)
	})
}

// undecidedError is the error of a call whose key's owner did not let it run before
// the deadline. This call was not sent, but an earlier one with its key may have
// run.
func undecidedError(c *call, lastErr error) error {
	if lastErr == nil {
		return verdict.New(verdict.MayHaveRun, ReasonInProgress, "an earlier attempt is still in progress").WithRetryAfter(inProgressRetryAfter)
	}
	e := verdict.New(unsentVerdict(c), ReasonKeyOwnerUnreachable, "the key's owner cannot be reached: %v", lastErr)
	return e.WithRetryAfter(inProgressRetryAfter)
}

// unsentVerdict returns the verdict of a call that was not sent while it is not
// known whether an earlier call with its key was.
func unsentVerdict(c *call) verdict.Verdict {
	if c.firstAttempt || !c.keyed() {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// issueKeys returns new keys of this daemon's shares or, if it owns none, of
// another daemon's.
func (g *Gateway) issueKeys(ctx context.Context, count int) ([]string, error) {
	keys, err := g.keys.issue(count)
	if err == nil {
		return keys, nil
	}
	for _, m := range g.o.Members.Live() {
		if m.Daemon.Name == g.o.Self.Name || m.Leaving {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, keyCallTimeout)
		var response keyIssueResponse
		err = g.o.Peers.Call(callCtx, m.Daemon.Name, methodKeyIssue, keyIssueRequest{Count: count}, &response)
		cancel()
		if err == nil {
			return response.Keys, nil
		}
	}
	return nil, verdict.Wrap(err, verdict.NotRun, ReasonNoKeys)
}
