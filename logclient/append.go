package logclient

import (
	"bytes"
	"context"
	"time"

	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

// Append adds records to the log atomically and returns the offset of the last
// one. It returns once the outcome is known or ctx ends. Equal records may be
// appended again under the same keys at any time; the offset may then be that
// of a duplicate, and the reader of the log knows the offset of the first one.
//
// The error's verdict is NotRun if no attempt can have reached the log: the
// append budget is spent, the queue is full, the log is down, or it refused
// every attempt. It is MayHaveRun if the outcome of an attempt is unknown.
func (c *Client) Append(ctx context.Context, credential Credential, records ...record.Record) (uint64, error) {
	u, err := c.newPendingAppend(credential, records)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.AppendTimeout)
	defer cancel()
	if err := c.enqueue(u); err != nil {
		return 0, err
	}
	select {
	case <-u.done:
	case <-ctx.Done():
		c.abandon(u, ctx.Err())
	}
	return u.offset, u.err
}

func (c *Client) newPendingAppend(credential Credential, records []record.Record) (*pendingAppend, error) {
	if len(records) == 0 || len(records) > c.options.MaxBatchRecords {
		return nil, verdict.New(verdict.NotRun, ReasonTooLarge, "%d records in one append", len(records))
	}
	linger := shortestLinger(records, c.options.Linger)
	u := &pendingAppend{credential: credential, due: c.now().Add(linger), done: make(chan struct{})}
	for _, r := range records {
		data, err := record.Encode(r)
		if err != nil {
			return nil, verdict.Wrap(err, verdict.NotRun, ReasonBadRecord)
		}
		u.urgent = u.urgent || isUrgent(r.Kind)
		u.keys = append(u.keys, r.Key)
		u.data = append(u.data, data)
		u.bytes += len(data)
	}
	if u.urgent {
		u.due = c.now()
	}
	if u.bytes > c.options.MaxBatchBytes {
		return nil, verdict.New(verdict.NotRun, ReasonTooLarge, "append of %d bytes", u.bytes)
	}
	return u, nil
}

func (c *Client) enqueue(u *pendingAppend) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.admit(u); err != nil {
		c.stats.Refused++
		return err
	}
	c.queue.push(u)
	c.wakeSender()
	return nil
}

// admit refuses an append that could not be sent in reasonable time: the
// client is closed, the log is down, the queue is full, or the budget is
// spent. The caller holds c.mu.
func (c *Client) admit(u *pendingAppend) error {
	now := c.now()
	switch {
	case c.closed:
		return verdict.New(verdict.NotRun, ReasonClosed, "the client has stopped")
	case c.logIsDown(now):
		e := verdict.New(verdict.NotRun, ReasonLogDown, "the log does not answer")
		return e.WithRetryAfter(c.breaker.Backoff.Initial)
	case c.queue.appends >= c.options.MaxQueued || c.queue.bytes+u.bytes > c.options.MaxQueuedBytes:
		e := verdict.New(verdict.NotRun, ReasonQueueFull, "%d appends wait", c.queue.appends)
		return e.WithRetryAfter(c.options.MaxBudgetWait)
	}
	if c.queue.byCredential[u.credential] != nil {
		return nil // joins a batch that is already queued
	}
	needed := len(c.queue.byCredential) + 1 + reserveFor(u.urgent)
	if wait := c.budget.Wait(now, needed); wait > c.options.MaxBudgetWait {
		e := verdict.New(verdict.NotRun, ReasonBudget, "append budget is spent for %s", wait)
		return e.WithRetryAfter(wait)
	}
	return nil
}

// logIsDown reports whether appends are refused because they or reads keep
// failing. The caller holds c.mu.
func (c *Client) logIsDown(now time.Time) bool {
	return c.breaker.Open(now) || (c.hasRead && c.signals.Health(now) == HealthDown)
}

// abandon stops waiting for the outcome of an append whose context ended.
func (c *Client) abandon(u *pendingAppend, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.finished {
		return
	}
	c.complete(u, 0, verdict.Wrap(errors.Wrap(cause, "append"), u.verdict(), ReasonTimeout))
}

// complete tells the caller of Append the outcome. The caller of complete
// holds c.mu.
func (c *Client) complete(u *pendingAppend, offset uint64, err error) {
	if u.finished {
		return
	}
	switch {
	case err == nil:
		c.stats.Records += uint64(len(u.data))
	case verdict.Of(err) == verdict.NotRun:
		c.stats.Refused++
	default:
		c.stats.Unknown++
	}
	for _, k := range u.keys {
		if c.inFlight[k] == u {
			delete(c.inFlight, k)
		}
	}
	u.finish(offset, err)
}

// ObserveRecord tells the client that the log holds a record with this key. It
// must be called for every record that is read, and resolves appends whose
// answer was lost. Only the last record of an append counts, since the log
// appends atomically, and only if its bytes are equal: another record under
// the same key proves nothing.
func (c *Client) ObserveRecord(key string, stored StoredRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.inFlight[key]
	if u == nil || u.keys[len(u.keys)-1] != key || !bytes.Equal(u.data[len(u.data)-1], stored.Data) {
		return
	}
	c.stats.ResolvedByRead++
	c.complete(u, stored.Offset, nil)
}
