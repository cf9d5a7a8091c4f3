package partition

import (
	"context"
	"slices"
	"sync"
	"time"
)

// confirmTimeout limits one read that confirms the ownership, including retries.
const confirmTimeout = 4 * time.Second

// ConfirmOwnership returns nil if this owner still owned the partition at some moment
// during the call: no later owner had claimed it. It returns ErrFenced if one had, and
// another error if the log did not answer. Calls at the same time share a read that
// begins after each of them.
func (w *Writer) ConfirmOwnership(ctx context.Context) error { return w.ownership.wait(ctx) }

// ConfirmedAt returns when the newest call to the log began that a later claim would have
// made fail: the claim itself, an append, or a read that confirmed the ownership.
func (w *Writer) ConfirmedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirmedAt
}

// confirm records that a call that began at the given time shows no later claim.
func (w *Writer) confirm(began time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if began.After(w.confirmedAt) {
		w.confirmedAt = began
	}
}

// findLaterClaim looks for the claim of a later owner. Only this owner's appends can
// precede it there.
func (w *Writer) findLaterClaim() error {
	w.mu.Lock()
	from := w.end
	w.mu.Unlock()
	began := w.now()
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	for {
		batch, _, err := retryHedged(ctx, minHang, func(ctx context.Context) (Batch, error) { return w.log.Read(ctx, w.id, from, 0) })
		if err != nil {
			return err
		}
		if slices.ContainsFunc(batch.Records, func(r Record) bool { return r.Key == w.claimKey }) {
			return ErrFenced
		}
		if len(batch.Records) == 0 {
			w.confirm(began)
			return nil
		}
		from = batch.Next
	}
}

// confirmer lets callers share confirmations. Each gets the result of one that begins
// after its call.
type confirmer struct {
	confirm func() error

	mu      sync.Mutex
	waiting []chan error
	running bool
}

func (c *confirmer) wait(ctx context.Context) error {
	result := make(chan error, 1)
	c.mu.Lock()
	c.waiting = append(c.waiting, result)
	if !c.running {
		c.running = true
		go c.run()
	}
	c.mu.Unlock()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run confirms until nobody waits.
func (c *confirmer) run() {
	for {
		c.mu.Lock()
		waiting := c.waiting
		c.waiting = nil
		c.running = len(waiting) > 0
		c.mu.Unlock()
		if len(waiting) == 0 {
			return
		}
		err := c.confirm()
		for _, result := range waiting {
			result <- err
		}
	}
}
