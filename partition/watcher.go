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
	records, end, err := ReadAll(ctx, w.Log, w.ID)
	w.reportResult(err)
	if err != nil {
		return 0, err
	}
	w.OnSnapshot(records)
	return end, nil
}

// read makes one read, repeated until it succeeds or the records at next are no
// longer retained.
func (w *Watcher) read(ctx context.Context, next uint64) (uint64, error) {
	wait := cmp.Or(w.Wait, watchWait)
	for {
		call, cancel := context.WithTimeout(ctx, wait+watchSlack)
		batch, err := w.Log.Read(call, w.ID, next, wait)
		cancel()
		w.reportResult(err)
		switch {
		case err == nil:
			if len(batch.Records) > 0 {
				w.OnUpdate(batch.Records)
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
