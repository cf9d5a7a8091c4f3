package logclient

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

// appendBackoff is the wait between two attempts of one append.
var appendBackoff = Backoff{Initial: 100 * time.Millisecond, Max: 5 * time.Second}

// RunAppends sends what waits until ctx ends, and calls turn each time round.
// Several goroutines may run it, so that a slow log holds up no more than one
// append each.
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

// idleTurn is how long a sender sleeps when nothing waits.
const idleTurn = time.Second

// takeBatch returns the units to append now, or how long to wait.
func (c *Client) takeBatch() ([]*unit, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	credential, due, urgent, ok := c.queue.next(c.options.MaxBatchBytes, now)
	if !ok {
		return nil, idleTurn
	}
	if wait := due.Sub(now); wait > 0 {
		return nil, min(wait, idleTurn)
	}
	if allowed, wait := c.circuit.Allow(now); !allowed {
		c.failUnsent()
		return nil, min(wait, idleTurn)
	}
	if wait := c.budget.Take(now, reserveFor(urgent)); wait > 0 {
		c.circuit.probing = false
		return nil, min(wait, idleTurn)
	}
	batch := c.queue.take(credential, c.options.MaxBatchBytes, c.options.MaxBatchRecords)
	if len(batch) == 0 {
		c.circuit.probing = false
	}
	c.signal()
	for _, u := range batch {
		c.markSent(u)
	}
	return batch, 0
}

func (c *Client) markSent(u *unit) {
	u.attempts++
	u.sending = true
	for _, k := range u.keys {
		c.inFlight[k] = u
	}
}

// urgentReserve is the appends that are kept for urgent records, so that
// shares can change hands while teams spend the budget on their work.
const urgentReserve = 4

func reserveFor(urgent bool) int {
	if urgent {
		return 0
	}
	return urgentReserve
}

// isUrgent reports whether a record decides who may act.
func isUrgent(k record.Kind) bool {
	switch k {
	case record.KindJoin, record.KindLeave, record.KindClaim, record.KindRelease:
		return true
	}
	return false
}

// failUnsent refuses everything that certainly did not reach the log, since
// the log does not answer.
func (c *Client) failUnsent() {
	c.queue.drain(func(u *unit) bool {
		if u.fate() != verdict.NotRun {
			return false
		}
		e := verdict.New(verdict.NotRun, ReasonLogDown, "the log does not answer")
		c.end(u, 0, e.WithRetryAfter(c.circuit.Backoff.Initial))
		return true
	})
}

// signal wakes one sender.
func (c *Client) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Client) send(ctx context.Context, batch []*unit) {
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
		c.circuit.RecordSuccess()
		c.endBatch(batch, first)
		return
	}
	if verdict.ReasonOf(err) == ReasonBadCredential {
		c.circuit.RecordSuccess()
	} else {
		c.circuit.RecordFailure(c.now(), c.random)
	}
	c.retry(batch, err)
}

func (c *Client) endBatch(batch []*unit, first uint64) {
	next := first
	for _, u := range batch {
		next += uint64(len(u.data))
		c.end(u, next-1, nil)
	}
}

// retry puts back the units whose callers still wait. An attempt that may have
// reached the log leaves the unit's fate unknown until a later attempt or a
// read settles it.
func (c *Client) retry(batch []*unit, err error) {
	unknown := verdict.Of(err) != verdict.NotRun
	for _, u := range batch {
		u.sending = false
		u.unknown = u.unknown || unknown
		if u.finished {
			continue
		}
		if c.closed || verdict.ReasonOf(err) == ReasonBadCredential {
			c.end(u, 0, verdict.Wrap(err, u.fate(), verdict.ReasonOf(err)))
			continue
		}
		wait := max(appendBackoff.Wait(u.attempts, c.random), verdict.RetryAfterOf(err))
		u.due = c.now().Add(wait)
		c.queue.push(u)
	}
	c.signal()
}

// close refuses what waits, and leaves unknown what may have been sent.
func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.queue.drain(func(u *unit) bool {
		c.end(u, 0, verdict.New(u.fate(), ReasonClosed, "the client has stopped"))
		return true
	})
}
