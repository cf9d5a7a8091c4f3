package logclient

import (
	"context"
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
)

// Limits of reads.
const (
	// MaxReadWait is the longest wait of a read at the head. It is short
	// because the evidence that a read gives is dated at its start.
	MaxReadWait = 500 * time.Millisecond
	// MaxPageRecords is the maximum number of records that a read asks for.
	MaxPageRecords = 512
)

// ReadBatch is the result of one read.
type ReadBatch struct {
	Records []StoredRecord
	// StartedAt is when the read began, by the client's clock.
	StartedAt time.Time
	Oldest    uint64
	Head      uint64
	// Next is the first offset after the batch.
	Next uint64
}

// ReachedHead reports whether the batch reaches the head of the log. It is
// then evidence that the log held no record at or above Head at StartedAt.
func (b ReadBatch) ReachedHead() bool { return b.Next >= b.Head }

// RetentionError means that the log dropped records before they were read.
type RetentionError struct{ From, Oldest, Head uint64 }

// Error implements error.
func (e *RetentionError) Error() string {
	return fmt.Sprintf("log dropped offsets %d to %d unread", e.From, e.Oldest-1)
}

// TruncatedError means that the log ends before what was already read.
type TruncatedError struct{ From, Head uint64 }

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("log ends at %d but was read up to %d", e.Head, e.From)
}

// GapError means that an answer skips or repeats offsets.
type GapError struct{ Want, Got uint64 }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("log answered offset %d in place of %d", e.Got, e.Want)
}

// RewrittenError means that the log holds another record at an offset than was
// read before.
type RewrittenError struct{ Offset uint64 }

// Error implements error.
func (e *RewrittenError) Error() string {
	return fmt.Sprintf("log holds another record at offset %d than before", e.Offset)
}

// CheckPage returns a ReadBatch of a page that was read from the given offset
// on. It fails with *RetentionError, *TruncatedError or *GapError.
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

// Read reads records from an offset on, and at the head waits for one for up
// to the given time. It fails with the log's error, or like CheckPage. Each
// outcome counts for the log's health, except a failure after the caller's
// context ended.
func (c *Client) Read(ctx context.Context, from uint64, wait time.Duration) (ReadBatch, error) {
	startedAt := c.now()
	c.updateSignals(func(s HealthSignals) HealthSignals { return s })
	callCtx, cancel := context.WithTimeout(ctx, wait+c.options.CallTimeout)
	defer cancel()
	page, err := c.options.Log.Read(callCtx, from, c.currentReadLimit(), wait)
	c.adjustReadLimit(err)
	if err != nil {
		c.recordReadFailure(ctx)
		return ReadBatch{}, err
	}
	batch, err := CheckPage(page, from, startedAt)
	late := max(0, c.now().Sub(startedAt)-wait)
	c.updateSignals(func(s HealthSignals) HealthSignals {
		s = s.WithAnswer(c.now(), late)
		s.Truncated = err != nil
		return s
	})
	return batch, err
}

// Bounds returns the oldest offset that the log holds and its head. It fails
// with the log's error.
func (c *Client) Bounds(ctx context.Context) (oldest, head uint64, err error) {
	callCtx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	startedAt := c.now()
	page, err := c.options.Log.Read(callCtx, 0, 1, 0)
	if err != nil {
		c.recordReadFailure(ctx)
		return 0, 0, err
	}
	c.updateSignals(func(s HealthSignals) HealthSignals { return s.WithAnswer(c.now(), c.now().Sub(startedAt)) })
	return page.Oldest, page.Head, nil
}

// MarkTruncated records that the log no longer agrees with what was read
// before. The next valid read clears it.
func (c *Client) MarkTruncated() {
	c.updateSignals(func(s HealthSignals) HealthSignals {
		s.Truncated = true
		return s
	})
}

func (c *Client) currentReadLimit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readLimit
}

// adjustReadLimit halves the limit after an answer that was too large, and
// doubles it after a successful read.
func (c *Client) adjustReadLimit(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.readLimit = min(MaxPageRecords, c.readLimit*2)
	case verdict.ReasonOf(err) == ReasonAnswerTooLarge:
		c.readLimit = max(1, c.readLimit/2)
	}
}

// Health returns the log's health according to this client's reads.
func (c *Client) Health() Health {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.signals.Health(c.now())
}

// recordReadFailure counts a failed read, unless the caller's context ended.
func (c *Client) recordReadFailure(ctx context.Context) {
	if ctx.Err() == nil {
		c.updateSignals(func(s HealthSignals) HealthSignals { return s.WithFailure() })
	}
}

// updateSignals applies a change to the health signals.
func (c *Client) updateSignals(change func(HealthSignals) HealthSignals) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasRead = true
	c.signals = change(c.signals)
}
