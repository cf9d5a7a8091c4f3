package partition

import (
	"cmp"
	"context"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	// watchWait is the default wait of one read for a record. A connection that
	// stops answering is detected after the wait plus watchSlack.
	watchWait  = time.Second
	watchSlack = 800 * time.Millisecond
	// watchRetry is the delay after a failed read.
	watchRetry = 150 * time.Millisecond
)

// Watcher follows the latest records of a partition.
type Watcher struct {
	Log Log
	ID  ID
	// OnSnapshot is called with all records at the start and whenever some may
	// have been missed. A key that is not among them is deleted.
	OnSnapshot func([]Record)
	// OnUpdate is called with further records in order. A record without a
	// value deletes its key.
	OnUpdate func([]Record)
	// Wait is how long one read waits for a record; 0 means watchWait.
	Wait time.Duration
	// Pause is the delay between reads while records arrive, so that several
	// share one read.
	Pause time.Duration
	// OnResult, if set, is called with the outcome of every call.
	OnResult func(error)
	// OnCurrent, if set, is called after OnSnapshot and OnUpdate, and after a read without
	// records, with a time as of which no record followed those that were passed. It needs Now.
	OnCurrent func(asOf time.Time)
	Now       func() time.Time
}

// Run follows the partition until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		next, err := w.readSnapshot(ctx)
		for err == nil && ctx.Err() == nil {
			next, err = w.read(ctx, next)
		}
		if verdict.ReasonOf(err) != ReasonTruncated && !duty.Sleep(ctx, watchRetry) {
			return nil
		}
	}
	return nil
}

func (w *Watcher) readSnapshot(ctx context.Context) (uint64, error) {
	began := w.time()
	records, end, err := ReadAll(ctx, w.Log, w.ID)
	w.reportResult(err)
	if err != nil {
		return 0, err
	}
	w.OnSnapshot(records)
	w.reportCurrent(began)
	return end, nil
}

// read makes one read, repeated until it succeeds or the records at next are no
// longer retained.
func (w *Watcher) read(ctx context.Context, next uint64) (uint64, error) {
	wait := cmp.Or(w.Wait, watchWait)
	for {
		began := w.time()
		call, cancel := context.WithTimeout(ctx, wait+watchSlack)
		batch, err := w.Log.Read(call, w.ID, next, wait)
		cancel()
		w.reportResult(err)
		switch {
		case err == nil:
			if len(batch.Records) > 0 {
				w.OnUpdate(batch.Records)
			}
			if asOf, current := batch.currentAsOf(began, w.time(), wait); current {
				w.reportCurrent(asOf)
			}
			if len(batch.Records) > 0 {
				duty.Sleep(ctx, w.Pause)
			}
			return batch.Next, nil
		case verdict.ReasonOf(err) == ReasonTruncated:
			return 0, err
		case !duty.Sleep(ctx, watchRetry):
			return 0, ctx.Err()
		}
	}
}

func (w *Watcher) reportResult(err error) {
	if w.OnResult != nil {
		w.OnResult(err)
	}
}

// currentAsOf returns a time as of which no record followed the batch, whose read took from began
// to ended and waited up to wait for a record. It reports false if some may have followed at once.
func (b Batch) currentAsOf(began, ended time.Time, wait time.Duration) (time.Time, bool) {
	switch {
	case len(b.Records) > 0:
		return began, b.End > 0 && b.Next >= b.End
	case ended.Sub(began) >= wait:
		// The log answered at the end of the wait, or later.
		return began.Add(wait), true
	default:
		return began, true
	}
}

// time returns the time; zero if nobody needs it.
func (w *Watcher) time() time.Time {
	if w.Now == nil {
		return time.Time{}
	}
	return w.Now()
}

func (w *Watcher) reportCurrent(asOf time.Time) {
	if w.OnCurrent != nil {
		w.OnCurrent(asOf)
	}
}
