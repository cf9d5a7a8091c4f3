package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	billWriteInterval = 200 * time.Millisecond
	billsStallTimeout = time.Minute
	billAppendTimeout = 20 * time.Second
	// billTransferDelay: a stop waits this long for the log before it asks other
	// daemons to write the pending bills.
	billTransferDelay    = time.Second
	maxBillRetryInterval = 5 * time.Second
	maxBillsPerAppend    = 256
	// writerMissingTimeout: a daemon takes over the copies of a writer that has
	// not been live for this long.
	writerMissingTimeout = 2 * time.Second
)

// billQueue writes one log record for each billed run. An unavailable log does
// not undo a run: its bill is kept by this daemon and by the owner of its key
// until one of the two has written it. Both use the same record key, so a second
// record has no effect.
type billQueue struct {
	o       Options
	metrics *requestMetrics

	mu sync.Mutex
	// pending holds the bills that this daemon must write, by request key.
	pending map[string]record.Bill
	order   []string
	// copies holds the bills that another daemon must write, by request key.
	copies map[string]copiedBill
}

type copiedBill struct {
	bill   record.Bill
	writer billWriterID
	// missingSince is when the writer was first seen not live; zero while it is
	// live.
	missingSince time.Time
}

func newBillQueue(o Options, metrics *requestMetrics) *billQueue {
	return &billQueue{o: o, metrics: metrics, pending: make(map[string]record.Bill), copies: make(map[string]copiedBill)}
}

// billRecordKey returns the log key of a bill.
func billRecordKey(requestKey string) string { return "bill/" + requestKey }

// hasCapacity reports whether another billed run may start.
func (b *billQueue) hasCapacity() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending) < b.o.Limits.MaxBills
}

// add keeps a bill until it is written. A bill with the verdict Ran replaces one
// with MayHaveRun.
func (b *billQueue) add(bill record.Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, ok := b.pending[bill.RequestKey]
	if ok && old.Verdict == verdict.Ran {
		return
	}
	b.pending[bill.RequestKey] = bill
	if !ok {
		b.order = append(b.order, bill.RequestKey)
	}
}

// addCopy keeps a copy of a bill that another daemon is to write, for the case
// that the writer fails. It reports whether there was capacity.
func (b *billQueue) addCopy(bill record.Bill, writer billWriterID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, known := b.copies[bill.RequestKey]
	if !known && len(b.copies) >= b.o.Limits.MaxBills {
		return false
	}
	b.copies[bill.RequestKey] = copiedBill{bill: bill, writer: writer}
	return true
}

// run writes pending bills in batches and doubles the interval after each failed
// append, up to maxBillRetryInterval.
func (b *billQueue) run(ctx context.Context, turn duty.Heartbeat) error {
	wait := billWriteInterval
	for duty.Sleep(ctx, wait) {
		turn()
		b.reviewCopies()
		err := b.write(ctx)
		if err == nil {
			wait = billWriteInterval
			continue
		}
		if wait == billWriteInterval {
			b.o.Events.Log(events.BillsDelayed, "bills", b.pendingCount(), "error", err)
		}
		wait = min(2*wait, maxBillRetryInterval)
	}
	return nil
}

// write appends one batch of pending bills, if there are any.
func (b *billQueue) write(ctx context.Context) error {
	batch := b.nextBatch()
	if len(batch) == 0 {
		return nil
	}
	records := make([]record.Record, len(batch))
	for i, bill := range batch {
		records[i] = record.Record{Key: billRecordKey(bill.RequestKey), Kind: record.KindBill, Bill: &bill}
	}
	ctx, cancel := context.WithTimeout(ctx, billAppendTimeout)
	defer cancel()
	if _, err := b.o.Appender.Append(ctx, b.o.SystemCredential, records...); err != nil {
		return err
	}
	b.metrics.billsWritten.Add(len(batch))
	b.remove(batch)
	return nil
}

func (b *billQueue) nextBatch() []record.Bill {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.order), maxBillsPerAppend)
	batch := make([]record.Bill, n)
	for i, key := range b.order[:n] {
		batch[i] = b.pending[key]
	}
	return batch
}

func (b *billQueue) remove(batch []record.Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, bill := range batch {
		delete(b.pending, bill.RequestKey)
	}
	b.order = slices.DeleteFunc(b.order, func(key string) bool {
		_, ok := b.pending[key]
		return !ok
	})
}

// reviewCopies drops copies of bills that are in the log, and takes over those
// whose writer has been missing for writerMissingTimeout.
func (b *billQueue) reviewCopies() {
	live := make(map[billWriterID]bool)
	for _, m := range b.o.Members.Live() {
		live[writerOf(m.Daemon)] = true
	}
	view, now := b.o.State.View(), b.o.Now()
	var orphaned []record.Bill
	b.mu.Lock()
	for _, key := range slices.Sorted(maps.Keys(b.copies)) {
		copied := b.copies[key]
		if _, ok := view.Bill(key); ok {
			delete(b.copies, key)
			continue
		}
		switch {
		case live[copied.writer]:
			copied.missingSince = time.Time{}
		case copied.missingSince.IsZero():
			copied.missingSince = now
		case now.Sub(copied.missingSince) >= writerMissingTimeout:
			orphaned = append(orphaned, copied.bill)
			delete(b.copies, key)
			continue
		}
		b.copies[key] = copied
	}
	b.mu.Unlock()
	for _, bill := range orphaned {
		b.add(bill)
	}
}

// flush waits until every pending bill is written or, if the log takes none,
// until another daemon has accepted to write it. It fails if ctx ends first.
func (b *billQueue) flush(ctx context.Context) error {
	transferAt := b.o.Now().Add(billTransferDelay)
	for b.pendingCount() > 0 {
		if !b.o.Now().Before(transferAt) && b.transferAll(ctx) {
			break
		}
		if !duty.Sleep(ctx, billWriteInterval) {
			return verdict.Wrap(ctx.Err(), verdict.Ran, ReasonStopping)
		}
	}
	b.forwardCopies(ctx)
	return nil
}

func (b *billQueue) pendingCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}
