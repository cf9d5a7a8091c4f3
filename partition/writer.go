package partition

import (
	"context"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/pkg/errors"
)

const (
	// maxBatchRecords and maxBatchBytes bound one append.
	maxBatchRecords = 1000
	maxBatchBytes   = 512 << 10
	// linger is the least time between the starts of two appends: what comes
	// meanwhile shares one call.
	linger = 10 * time.Millisecond
	// maxHang bounds the wait for one answer before the append is sent again.
	maxHang = 3 * time.Second
	// claimTimeout bounds a claim, after which it is known to be fenced or lost.
	claimTimeout = 3 * time.Second
	// appendTimes is the wait as a multiple of the log's recent answers.
	appendTimes = 4
	// producer is the same for all owners, so that epochs order them.
	producer = "owner"
)

// ErrFenced ends a Writer: another owner has written.
var ErrFenced = errors.New("a later owner has written to the partition")

// write is a group of records that are appended together, in order.
type write struct {
	records []Record
	ticket  uint64
}

// Writer appends an owner's records in order, several writes a call. An append
// without an answer is sent again under the same sequence number, which the
// log answers as it did the first time.
type Writer struct {
	log   Log
	id    ID
	epoch uint64
	// written is told the ticket of the last write of each append.
	written func(ticket uint64)

	mu      sync.Mutex
	waiting []write
	oldest  time.Time
	wake    chan struct{}
	now     func() time.Time
	next    uint64
	// latency is how long the log's answers take of late.
	latency time.Duration
}

// Claim claims the partition for epoch by appending claim at the offset end, and
// returns its Writer. It fails with ReasonMoved if anything was appended since.
func Claim(ctx context.Context, log Log, id ID, epoch, end uint64, claim Record, now func() time.Time, written func(ticket uint64)) (*Writer, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, _, err := repeat(ctx, hangTime, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, log.Append(ctx, id, Fence{producer, epoch, 0, &end}, []Record{claim})
	})
	if err != nil {
		return nil, err
	}
	return &Writer{log: log, id: id, epoch: epoch, written: written, wake: make(chan struct{}, 1), now: now, next: 1}, nil
}

// Enqueue queues records for the next append. Tickets rise with each call.
func (w *Writer) Enqueue(ticket uint64, records []Record) {
	w.mu.Lock()
	if len(w.waiting) == 0 {
		w.oldest = w.now()
	}
	w.waiting = append(w.waiting, write{records, ticket})
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// OldestWait returns how long the oldest write has waited.
func (w *Writer) OldestWait() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting) == 0 {
		return 0
	}
	return w.now().Sub(w.oldest)
}

// Run appends until ctx ends or another owner has written, which is ErrFenced.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wake:
		}
		for {
			records, ticket, n := w.take()
			if n == 0 {
				break
			}
			started := w.now()
			if err := w.append(ctx, records); err != nil {
				return err
			}
			w.drop(n)
			w.written(ticket)
			if rest := linger - w.now().Sub(started); rest > 0 && !duty.Sleep(ctx, rest) {
				return nil
			}
		}
	}
}

// take returns the records of the first n writes that fit one append.
func (w *Writer) take() (records []Record, ticket uint64, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	size := 0
	for _, next := range w.waiting {
		for _, r := range next.records {
			size += len(r.Key) + len(r.Value)
		}
		if n > 0 && (size > maxBatchBytes || len(records)+len(next.records) > maxBatchRecords) {
			break
		}
		records = append(records, next.records...)
		ticket = next.ticket
		n++
	}
	return records, ticket, n
}

// drop forgets the first n writes, which are in the log.
func (w *Writer) drop(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = w.waiting[n:]
	w.oldest = w.now()
}

// append sends one batch until its fate is known. The log takes it once, however
// often it is sent.
func (w *Writer) append(ctx context.Context, records []Record) error {
	fence := Fence{Producer: producer, Epoch: w.epoch, Sequence: w.next}
	hang := min(max(appendTimes*w.latency, hangTime), maxHang)
	_, took, err := repeat(ctx, hang, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, w.log.Append(ctx, w.id, fence, records)
	})
	if err == nil {
		w.next++
		w.latency = recentLatency(w.latency, took)
		return nil
	}
	if IsPermanent(err) {
		return ErrFenced
	}
	return errors.Wrap(err, "append")
}
