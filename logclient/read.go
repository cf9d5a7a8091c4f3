package logclient

import (
	"context"
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
)

// Limits of reads.
const (
	// MaxReadWait is the longest that a read waits at the head for a record. It is
	// short because a read's evidence is dated at its start.
	MaxReadWait = 500 * time.Millisecond
	// MaxPageRecords is the most records that a read asks for.
	MaxPageRecords = 512
)

// ReadBatch is the outcome of one read.
type ReadBatch struct {
	Records []StoredRecord
	// StartedAt is when the read was begun, by the client's clock.
	StartedAt time.Time
	Oldest    uint64
	Head      uint64
	// Next is the first offset after the batch.
	Next uint64
}

// ReachedHead reports whether nothing was left to read. The batch is then
// evidence that the log held no record from Head on at StartedAt.
func (b ReadBatch) ReachedHead() bool { return b.Next >= b.Head }

// RetentionError says that the log has dropped records before they were read.
type RetentionError struct{ From, Oldest, Head uint64 }

// Error names the missing offsets.
func (e *RetentionError) Error() string {
	return fmt.Sprintf("log dropped offsets %d to %d unread", e.From, e.Oldest-1)
}

// TruncatedError says that the log ends before what was already read.
type TruncatedError struct{ From, Head uint64 }

// Error names the offsets that vanished.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("log ends at %d but was read up to %d", e.Head, e.From)
}

// GapError says that an answer skips or repeats offsets.
type GapError struct{ Want, Got uint64 }

// Error names the first wrong offset.
func (e *GapError) Error() string {
	return fmt.Sprintf("log answered offset %d in place of %d", e.Got, e.Want)
}

// RewrittenError says that the log holds another record than was read before
// at the same offset.
type RewrittenError struct{ Offset uint64 }

// Error names the offset.
func (e *RewrittenError) Error() string {
	return fmt.Sprintf("log holds another record at offset %d than before", e.Offset)
}

// CheckPage makes a Batch of a page that was asked for from an offset. It fails
// with RetentionError, TruncatedError or GapError.
func CheckPage(page Page, from uint64, startedAt time.Time) (ReadBatch, error) {
	if from < page.Oldest {
		return ReadBatch{}, &RetentionError{From: from, Oldest: page.Oldest, Head: page.Head}
	}
	if from > page.Head {
		return ReadBatch{}, &TruncatedError{From: from, Head: page.Head}
	}
	next := from
	for _, r := range page.Records {
		if r.Offset != next {
			return ReadBatch{}, &GapError{Want: next, Got: r.Offset}
		}
		next++
	}
	if next > page.Head {
		return ReadBatch{}, &GapError{Want: page.Head, Got: next}
	}
	return ReadBatch{
		Records: page.Records, StartedAt: startedAt,
		Oldest: page.Oldest, Head: page.Head, Next: next,
	}, nil
}

// Read reads from an offset and waits up to wait at the head. It fails with
// the log's error, or as Check does. Each outcome is a sign of health, except
// that a caller who gives up early proves nothing.
func (c *Client) Read(ctx context.Context, from uint64, wait time.Duration) (ReadBatch, error) {
	startedAt := c.now()
	c.sign(func(s HealthSignals) HealthSignals { return s })
	callCtx, cancel := context.WithTimeout(ctx, wait+c.options.CallTimeout)
	defer cancel()
	page, err := c.options.Log.Read(callCtx, from, c.pageLimit(), wait)
	c.adaptLimit(err)
	if err != nil {
		c.failed(ctx)
		return ReadBatch{}, err
	}
	batch, err := CheckPage(page, from, startedAt)
	late := max(0, c.now().Sub(startedAt)-wait)
	c.sign(func(s HealthSignals) HealthSignals {
		s = s.WithAnswer(c.now(), late)
		s.Truncated = err != nil
		return s
	})
	return batch, err
}

// Bounds returns the oldest offset that the log keeps and its head. It fails
// with the log's error.
func (c *Client) Bounds(ctx context.Context) (oldest, head uint64, err error) {
	callCtx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	startedAt := c.now()
	page, err := c.options.Log.Read(callCtx, 0, 1, 0)
	if err != nil {
		c.failed(ctx)
		return 0, 0, err
	}
	c.sign(func(s HealthSignals) HealthSignals { return s.WithAnswer(c.now(), c.now().Sub(startedAt)) })
	return page.Oldest, page.Head, nil
}

// MarkTruncated tells the client that the log no longer agrees with what was
// read of it. The next good read takes it back.
func (c *Client) MarkTruncated() {
	c.sign(func(s HealthSignals) HealthSignals {
		s.Truncated = true
		return s
	})
}

func (c *Client) pageLimit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limit
}

// adaptLimit asks for fewer records after an answer that was too large, and
// for more again after others.
func (c *Client) adaptLimit(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.limit = min(MaxPageRecords, c.limit*2)
	case verdict.ReasonOf(err) == ReasonAnswerTooLarge:
		c.limit = max(1, c.limit/2)
	}
}

// Health is the log's health by this client's reads.
func (c *Client) Health() Health {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.signs.Health(c.now())
}

// failed counts a failed read, unless the caller gave up.
func (c *Client) failed(ctx context.Context) {
	if ctx.Err() == nil {
		c.sign(func(s HealthSignals) HealthSignals { return s.WithFailure() })
	}
}

func (c *Client) sign(change func(HealthSignals) HealthSignals) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	c.signs = change(c.signs)
}
