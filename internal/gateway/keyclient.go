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
	keyCallTimeout = time.Second
	minKeyWait     = 20 * time.Millisecond
	maxKeyWait     = 250 * time.Millisecond
	inProgressWait = time.Second
	// settleGrace is how long after an attempt's deadline its outcome may
	// still reach the key's owner.
	settleGrace = 5 * time.Second
)

// beginKey asks the key's owner to let the call run, again and again until it
// decides or the call's time is over.
func (g *Gateway) beginKey(ctx context.Context, c *call) (idempotency.Decision, error) {
	params := keyBegin{Key: c.request.Key, Holder: c.request.ID, Fingerprint: c.fingerprint()}
	if c.kind.Billed {
		bill := c.bill(verdict.MayHaveRun, 0)
		params.Bill = &bill
	}
	wait := minKeyWait
	var last error
	for {
		params.Left = c.request.Deadline.Sub(g.o.Now())
		if params.Left <= 0 {
			return idempotency.Decision{}, noDecision(c, last)
		}
		d, err := g.askKey(ctx, methodKeyBegin, params.Key, params, func() (idempotency.Decision, error) {
			return g.keys.begin(g.o.Self.Name, params)
		})
		if err == nil && d.State != idempotency.InProgress {
			return d, nil
		}
		last = err
		if !duty.Sleep(ctx, wait) {
			return idempotency.Decision{}, verdict.Wrap(ctx.Err(), unsentVerdict(c), ReasonCallerDisconnected)
		}
		wait = min(2*wait, maxKeyWait)
	}
}

// askKey calls the key's owner, which may be this daemon.
func (g *Gateway) askKey(ctx context.Context, method, key string, params any, local func() (idempotency.Decision, error)) (idempotency.Decision, error) {
	owner, ok := g.o.Owners.Owner(cluster.KeyShare(key))
	if !ok {
		return idempotency.Decision{}, verdict.New(verdict.NotRun, reasonNotOwner, "nobody owns the key")
	}
	if owner.Name == g.o.Self.Name {
		return local()
	}
	ctx, cancel := context.WithTimeout(ctx, keyCallTimeout)
	defer cancel()
	var w keyDecision
	if err := g.o.Peers.Call(ctx, owner.Name, method, params, &w); err != nil {
		return idempotency.Decision{}, verdict.Wrap(err, verdict.Of(err), verdict.ReasonOf(err))
	}
	return w.decision(), nil
}

// lookupKey asks what is known of the call's key, once.
func (g *Gateway) lookupKey(ctx context.Context, c *call) (idempotency.Decision, error) {
	params := keyLookup{Key: c.request.Key, Fingerprint: c.fingerprint()}
	return g.askKey(ctx, methodKeyLookup, params.Key, params, func() (idempotency.Decision, error) {
		return g.keys.lookup(params)
	})
}

// noDecision is the error of a call whose key's owner let it not run in time.
// The call itself was not sent, but an earlier one with its key may have run.
func noDecision(c *call, last error) error {
	if last == nil {
		return verdict.New(verdict.MayHaveRun, ReasonInProgress, "an earlier attempt is still in progress").WithRetryAfter(inProgressWait)
	}
	e := verdict.New(unsentVerdict(c), ReasonKeyOwnerUnreachable, "the key's owner cannot be reached: %v", last)
	return e.WithRetryAfter(inProgressWait)
}

// unsentVerdict is the verdict of a call that was not sent and whose key's
// owner has not said whether an earlier attempt was.
func unsentVerdict(c *call) verdict.Verdict {
	if c.first || !c.keyed() {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// issueKeys returns new keys of this daemon's shares or, where it owns none,
// of a peer's.
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
		var issued keyIssued
		err = g.o.Peers.Call(callCtx, m.Daemon.Name, methodKeyIssue, keyIssue{Count: count}, &issued)
		cancel()
		if err == nil {
			return issued.Keys, nil
		}
	}
	return nil, verdict.Wrap(err, verdict.NotRun, ReasonNoKeys)
}
