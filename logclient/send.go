package logclient

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

// appendRetryBackoff is the backoff between attempts of one append.
var appendRetryBackoff = Backoff{Initial: 100 * time.Millisecond, Max: 5 * time.Second}

// RunAppends sends queued appends until ctx ends, and then closes the client.
// It calls turn once per iteration. Several goroutines may run it, so that a
// slow call of the log delays only one batch each.
func (c *Client) RunAppends(ctx context.Context, turn func()) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		turn()
		batch, wait := c.takeBatch()
		if len(batch) > 0 {
			c.send(ctx, batch)
			continue
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-c.wake:
		case <-ctx.Done():
		}
	}
	c.close()
	return nil
}

// idleWait is the longest sleep of a sender.
const idleWait = time.Second

// takeBatch returns the appends to send now, or how long to wait.
func (c *Client) takeBatch() ([]*pendingAppend, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	credential, due, urgent, ok := c.queue.next(c.options.MaxBatchBytes, now)
	if !ok {
		return nil, idleWait
	}
	if wait := due.Sub(now); wait > 0 {
		return nil, min(wait, idleWait)
	}
	if allowed, wait := c.breaker.Allow(now); !allowed {
		c.refuseUnsent()
		return nil, min(wait, idleWait)
	}
	if wait := c.budget.Take(now, reserveFor(urgent)); wait > 0 {
		c.breaker.probing = false
		return nil, min(wait, idleWait)
	}
	batch := c.queue.take(credential, c.options.MaxBatchBytes, c.options.MaxBatchRecords)
	if len(batch) == 0 {
		c.breaker.probing = false
	}
	c.wakeSender()
	for _, u := range batch {
		c.markInFlight(u)
	}
	return batch, 0
}

func (c *Client) markInFlight(u *pendingAppend) {
	u.attempts++
	u.attemptInFlight = true
	for _, k := range u.keys {
		c.inFlight[k] = u
	}
}

// urgentReserve is the part of the budget, in appends, that is reserved for
// urgent records, so that shares can change owners while teams use up the
// rest.
const urgentReserve = 4

func reserveFor(urgent bool) int {
	if urgent {
		return 0
	}
	return urgentReserve
}

// isUrgent reports whether a record decides which daemon may act.
func isUrgent(k record.Kind) bool {
	switch k {
	case record.KindJoin, record.KindLeave, record.KindClaim, record.KindRelease:
		return true
	}
	return false
}

// refuseUnsent refuses all queued appends that certainly did not reach the
// log, because the log is down.
func (c *Client) refuseUnsent() {
	c.queue.removeIf(func(u *pendingAppend) bool {
		if u.verdict() != verdict.NotRun {
			return false
		}
		e := verdict.New(verdict.NotRun, ReasonLogDown, "the log does not answer")
		c.complete(u, 0, e.WithRetryAfter(c.breaker.Backoff.Initial))
		return true
	})
}

// wakeSender wakes one sender.
func (c *Client) wakeSender() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Client) send(ctx context.Context, batch []*pendingAppend) {
	var entries [][]byte
	c.mu.Lock()
	for _, u := range batch {
		entries = append(entries, u.data...)
		c.stats.Bytes += uint64(u.bytes)
		if u.attempts > 1 {
			c.stats.Retries++
		}
	}
	c.stats.Appends++
	c.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	first, err := c.options.Log.Append(callCtx, batch[0].credential, entries)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.breaker.RecordSuccess()
		c.completeBatch(batch, first)
		return
	}
	if verdict.ReasonOf(err) == ReasonBadCredential {
		c.breaker.RecordSuccess()
	} else {
		c.breaker.RecordFailure(c.now(), c.random)
	}
	c.requeue(batch, err)
}

func (c *Client) completeBatch(batch []*pendingAppend, first uint64) {
	next := first
	for _, u := range batch {
		next += uint64(len(u.data))
		c.complete(u, next-1, nil)
	}
}

// requeue queues the appends of a failed batch again whose callers still wait.
// After an attempt that may have reached the log, the outcome of an append
// stays unknown until a later attempt or a read shows it.
func (c *Client) requeue(batch []*pendingAppend, err error) {
	mayHaveRun := verdict.Of(err) != verdict.NotRun
	for _, u := range batch {
		u.attemptInFlight = false
		u.outcomeUnknown = u.outcomeUnknown || mayHaveRun
		if u.finished {
			continue
		}
		if c.closed || verdict.ReasonOf(err) == ReasonBadCredential {
			c.complete(u, 0, verdict.Wrap(err, u.verdict(), verdict.ReasonOf(err)))
			continue
		}
		wait := max(appendRetryBackoff.Wait(u.attempts, c.random), verdict.RetryAfterOf(err))
		u.due = c.now().Add(wait)
		c.queue.push(u)
	}
	c.wakeSender()
}

// close ends all queued appends. Those that may have been sent end with
// verdict MayHaveRun, the others with NotRun.
func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.queue.removeIf(func(u *pendingAppend) bool {
		c.complete(u, 0, verdict.New(u.verdict(), ReasonClosed, "the client has stopped"))
		return true
	})
}
