package logclient

import (
	"bytes"
	"context"
	"time"

	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

// Append adds records to the log as one unit and returns the offset of the
// last one, once their fate is known or ctx ends. Equal records may be
// appended again under the same keys at any time; the offset may then be that
// of a repetition, and the reader of the log knows where the first one stands.
//
// The error's verdict is NotRun where no attempt can have reached the log:
// the budget is spent, too much waits, the log is down, or it refused each
// attempt. It is MayHaveRun where an attempt's outcome is still unknown.
func (c *Client) Append(ctx context.Context, credential Credential, records ...record.Record) (uint64, error) {
	u, err := c.newUnit(credential, records)
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

func (c *Client) newUnit(credential Credential, records []record.Record) (*unit, error) {
	if len(records) == 0 || len(records) > c.options.MaxBatchRecords {
		return nil, verdict.New(verdict.NotRun, ReasonTooLarge, "%d records in one append", len(records))
	}
	linger := shortestLinger(records, c.options.Linger)
	u := &unit{credential: credential, due: c.now().Add(linger), done: make(chan struct{})}
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

func (c *Client) enqueue(u *unit) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.admit(u); err != nil {
		c.stats.Refused++
		return err
	}
	c.queue.push(u)
	c.signal()
	return nil
}

// admit refuses what could not be appended in useful time.
func (c *Client) admit(u *unit) error {
	now := c.now()
	switch {
	case c.closed:
		return verdict.New(verdict.NotRun, ReasonClosed, "the client has stopped")
	case c.down(now):
		e := verdict.New(verdict.NotRun, ReasonLogDown, "the log does not answer")
		return e.WithRetryAfter(c.circuit.Backoff.Initial)
	case c.queue.units >= c.options.MaxQueued || c.queue.bytes+u.bytes > c.options.MaxQueuedBytes:
		e := verdict.New(verdict.NotRun, ReasonQueueFull, "%d appends wait", c.queue.units)
		return e.WithRetryAfter(c.options.MaxBudgetWait)
	}
	if c.queue.lanes[u.credential] != nil {
		return nil // shares an append that is already due to be sent
	}
	needed := len(c.queue.lanes) + 1 + reserveFor(u.urgent)
	if wait := c.budget.Wait(now, needed); wait > c.options.MaxBudgetWait {
		e := verdict.New(verdict.NotRun, ReasonBudget, "append budget is spent for %s", wait)
		return e.WithRetryAfter(wait)
	}
	return nil
}

func (c *Client) down(now time.Time) bool {
	return c.circuit.Open(now) || (c.reading && c.signs.Health(now) == HealthDown)
}

// abandon ends the wait for a unit's fate.
func (c *Client) abandon(u *unit, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.finished {
		return
	}
	c.end(u, 0, verdict.Wrap(errors.Wrap(cause, "append"), u.fate(), ReasonTimeout))
}

// end tells a unit's caller its fate.
func (c *Client) end(u *unit, offset uint64, err error) {
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

// ObserveRecord tells the client that the log holds a record of this key. It is called
// for every record that is read, and makes known the fate of appends whose
// answer was lost. A unit's last record decides, since the log appends a unit
// as a whole; another record under the same key proves nothing.
func (c *Client) ObserveRecord(key string, stored StoredRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.inFlight[key]
	if u == nil || u.keys[len(u.keys)-1] != key || !bytes.Equal(u.data[len(u.data)-1], stored.Data) {
		return
	}
	c.stats.ResolvedByRead++
	c.end(u, stored.Offset, nil)
}
