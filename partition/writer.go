package partition

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

const (
	// maxBatchRecords and maxBatchBytes limit one append.
	maxBatchRecords = 1000
	maxBatchBytes   = 512 << 10
	// linger is the least time between the starts of two appends. Writes that
	// arrive meanwhile share one append.
	linger = 10 * time.Millisecond
	// maxHang limits the wait for an answer before an append is sent again.
	maxHang = 3 * time.Second
	// claimTimeout limits a claim. A claim without an outcome by then counts as
	// fenced or lost.
	claimTimeout = 3 * time.Second
	// appendLatencyFactor: an append is sent again after this many times the
	// log's recent latency.
	appendLatencyFactor = 4
	// producer is the same for all owners, so that the log compares their
	// epochs.
	producer = "owner"
	// maxFirstSequence bounds the random sequence number of a claim. Two daemons
	// choose the same one with a probability of about 1e-12.
	maxFirstSequence = 1 << 40
)

// ErrFenced ends a Writer because a later owner has written.
var ErrFenced = errors.New("a later owner has written to the partition")

// write is a group of records that are appended together, in order.
type write struct {
	records []Record
	writeID uint64
}

// Writer appends an owner's records in order, several writes at a time. It
// resends an unanswered append under the same sequence number, for which the
// log returns its first answer.
type Writer struct {
	log   Log
	id    ID
	epoch uint64
	// onStored is called with the ID of the last write in each append, and
	// onRejected with that of a write that the log does not accept.
	onStored   func(writeID uint64)
	onRejected func(writeID uint64, err error)

	// claimKey is the key of the record with which owners claim the partition.
	claimKey  string
	ownership confirmer

	mu sync.Mutex
	// confirmedAt is when the newest call began that shows no later claim.
	confirmedAt time.Time
	// end is the offset after this owner's last append that was answered.
	end    uint64
	queued []write
	// sending is the number of writes at the head of queued that were sent and
	// may be in the log.
	sending int
	// alone is the number of writes at the head of queued that are sent one by
	// one, since the log has rejected one of them.
	alone        int
	oldest       time.Time
	wake         chan struct{}
	now          func() time.Time
	nextSequence uint64
	// latency is the decayed maximum of the log's latency.
	latency time.Duration
}

// Claim appends the record claim at the offset end under epoch, and returns the
// partition's Writer. It fails with ReasonOffsetMismatch, ReasonOutOfSequence or
// ReasonFenced if anything was appended since end was read.
//
// Daemons that read the partition at the same end choose the same epoch. The log
// answers a repeated append of an epoch with its first response, and tells repeats
// by their sequence number, so that each claim begins at a number of its own: the
// second claim of an epoch is then out of sequence.
func Claim(ctx context.Context, log Log, id ID, epoch, end uint64, claim Record, now func() time.Time, written func(writeID uint64)) (*Writer, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	first := rand.Uint64N(maxFirstSequence)
	began := now()
	_, _, err := retryHedged(ctx, minHang, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, log.Append(ctx, id, Fence{producer, epoch, first, &end}, []Record{claim})
	})
	if err != nil {
		return nil, errors.WithMessagef(err, "claim at offset %d under epoch %d from sequence %d", end, epoch, first)
	}
	ignore := func(uint64, error) {}
	w := &Writer{log: log, id: id, epoch: epoch, claimKey: claim.Key, end: end + 1, onStored: written, onRejected: ignore, wake: make(chan struct{}, 1), now: now, nextSequence: first + 1, confirmedAt: began}
	w.ownership.confirm = w.findLaterClaim
	return w, nil
}

// OnRejected sets the function that is called with the ID of each write that the
// log does not accept and would not accept again. It must precede Run.
func (w *Writer) OnRejected(rejected func(writeID uint64, err error)) { w.onRejected = rejected }

// Enqueue queues records for the next append. Write IDs must rise with each
// call.
func (w *Writer) Enqueue(writeID uint64, records []Record) {
	w.mu.Lock()
	if len(w.queued) == 0 {
		w.oldest = w.now()
	}
	w.queued = append(w.queued, write{records, writeID})
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// OldestWait returns how long the oldest queued write has waited.
func (w *Writer) OldestWait() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queued) == 0 {
		return 0
	}
	return w.now().Sub(w.oldest)
}

// Withdraw removes the writes with the given IDs from the queue and returns the
// IDs of those that it removed. A write that was sent stays, since it may be in
// the log.
func (w *Writer) Withdraw(writeIDs []uint64) []uint64 {
	wanted := make(map[uint64]bool, len(writeIDs))
	for _, id := range writeIDs {
		wanted[id] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var removed []uint64
	kept := w.queued[:w.sending:w.sending]
	for _, q := range w.queued[w.sending:] {
		if wanted[q.writeID] {
			removed = append(removed, q.writeID)
			continue
		}
		kept = append(kept, q)
	}
	w.queued = kept
	return removed
}

// Run appends queued writes until ctx ends. It returns ErrFenced if a later
// owner has written.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wake:
		}
		for {
			records, writeID, n := w.nextBatch()
			if n == 0 {
				break
			}
			started := w.now()
			err := w.append(ctx, records)
			if verdict.ReasonOf(err) == ReasonRejected {
				w.reject(n, writeID, err)
				continue
			}
			if err != nil {
				return err
			}
			w.dropWrites(n)
			w.advance(len(records))
			w.confirm(started)
			w.onStored(writeID)
			if rest := linger - w.now().Sub(started); rest > 0 && !duty.Sleep(ctx, rest) {
				return nil
			}
		}
	}
}

// reject handles an append that the log does not accept. None of its writes is
// stored. They are sent one by one then, so that only the one at fault is dropped.
func (w *Writer) reject(n int, writeID uint64, err error) {
	if n > 1 {
		w.alone = n
		return
	}
	w.dropWrites(1)
	w.onRejected(writeID, err)
}

// nextBatch returns the records of the first n writes, as many as fit in one
// append.
func (w *Writer) nextBatch() (records []Record, writeID uint64, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	size := 0
	for _, next := range w.queued {
		for _, r := range next.records {
			size += len(r.Key) + len(r.Value)
		}
		if n > 0 && (w.alone > 0 || size > maxBatchBytes || len(records)+len(next.records) > maxBatchRecords) {
			break
		}
		records = append(records, next.records...)
		writeID = next.writeID
		n++
	}
	w.alone = max(w.alone-1, 0)
	w.sending = n
	return records, writeID, n
}

// advance records that an append of n records was answered.
func (w *Writer) advance(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end += uint64(n)
}

// dropWrites drops the first n writes, which are in the log.
func (w *Writer) dropWrites(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queued = w.queued[n:]
	w.sending = 0
	w.oldest = w.now()
}

// append sends a batch until its outcome is known. The log stores it once,
// however often it is sent.
func (w *Writer) append(ctx context.Context, records []Record) error {
	fence := Fence{Producer: producer, Epoch: w.epoch, Sequence: w.nextSequence}
	hang := min(max(appendLatencyFactor*w.latency, minHang), maxHang)
	_, took, err := retryHedged(ctx, hang, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, w.log.Append(ctx, w.id, fence, records)
	})
	if err == nil {
		w.nextSequence++
		w.latency = decayedLatency(w.latency, took)
		return nil
	}
	if verdict.ReasonOf(err) != ReasonRejected && IsPermanent(err) {
		return ErrFenced
	}
	return errors.WithMessage(err, "append")
}
