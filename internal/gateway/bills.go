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
	billsEvery   = 200 * time.Millisecond
	billsQuiet   = time.Minute
	billsTimeout = 20 * time.Second
	// billsPatience is how long a stop waits for the log before other daemons
	// are asked to write what is left.
	billsPatience     = time.Second
	maxBillWait       = 5 * time.Second
	maxBillsPerAppend = 256
	// adoptAfter is how long a daemon must be gone before the key's owner
	// writes its bills.
	adoptAfter = 2 * time.Second
)

// bills writes one record for each billed run. A run is never undone because
// the log is down: its bill is kept here and by the owner of its key until one
// of the two has written it. Equal keys make a second record harmless.
type bills struct {
	o       Options
	metrics *meters

	mu sync.Mutex
	// pending are the bills that this daemon must write, by request key.
	pending map[string]record.Bill
	order   []string
	// watched are bills that another daemon writes.
	watched map[string]watchedBill
}

type watchedBill struct {
	bill   record.Bill
	writer billWriter
	// missing is since when the writer is not live, zero while it is.
	missing time.Time
}

func newBills(o Options, m *meters) *bills {
	return &bills{o: o, metrics: m, pending: make(map[string]record.Bill), watched: make(map[string]watchedBill)}
}

// billRecordKey is the log key of a bill.
func billRecordKey(requestKey string) string { return "bill/" + requestKey }

// room reports whether another billed run may start.
func (b *bills) room() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending) < b.o.Limits.MaxBills
}

// add keeps a bill until it is written. A bill that says Ran replaces one
// that says MayHaveRun.
func (b *bills) add(bill record.Bill) {
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

// watch keeps a bill that another daemon writes, in case it ends first. It
// reports whether there was room.
func (b *bills) watch(bill record.Bill, writer billWriter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, known := b.watched[bill.RequestKey]
	if !known && len(b.watched) >= b.o.Limits.MaxBills {
		return false
	}
	b.watched[bill.RequestKey] = watchedBill{bill: bill, writer: writer}
	return true
}

// run writes what is pending, in batches.
func (b *bills) run(ctx context.Context, turn duty.Turn) error {
	wait := billsEvery
	for duty.Sleep(ctx, wait) {
		turn()
		b.review()
		err := b.write(ctx)
		if err == nil {
			wait = billsEvery
			continue
		}
		if wait == billsEvery {
			b.o.Events.Log(events.BillsDelayed, "bills", b.depth(), "error", err)
		}
		wait = min(2*wait, maxBillWait)
	}
	return nil
}

// write appends one batch, if any is pending.
func (b *bills) write(ctx context.Context) error {
	batch := b.batch()
	if len(batch) == 0 {
		return nil
	}
	records := make([]record.Record, len(batch))
	for i, bill := range batch {
		records[i] = record.Record{Key: billRecordKey(bill.RequestKey), Kind: record.KindBill, Bill: &bill}
	}
	ctx, cancel := context.WithTimeout(ctx, billsTimeout)
	defer cancel()
	if _, err := b.o.Appender.Append(ctx, b.o.SystemCredential, records...); err != nil {
		return err
	}
	b.metrics.billsWritten.Add(len(batch))
	b.written(batch)
	return nil
}

func (b *bills) batch() []record.Bill {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.order), maxBillsPerAppend)
	batch := make([]record.Bill, n)
	for i, key := range b.order[:n] {
		batch[i] = b.pending[key]
	}
	return batch
}

func (b *bills) written(batch []record.Bill) {
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

// review drops watched bills that stand in the log, and takes over those of
// daemons that are gone.
func (b *bills) review() {
	live := make(map[billWriter]bool)
	for _, m := range b.o.Members.Live() {
		live[writerOf(m.Daemon)] = true
	}
	view, now := b.o.State.View(), b.o.Now()
	var adopted []record.Bill
	b.mu.Lock()
	for _, key := range slices.Sorted(maps.Keys(b.watched)) {
		w := b.watched[key]
		if _, ok := view.Bill(key); ok {
			delete(b.watched, key)
			continue
		}
		switch {
		case live[w.writer]:
			w.missing = time.Time{}
		case w.missing.IsZero():
			w.missing = now
		case now.Sub(w.missing) >= adoptAfter:
			adopted = append(adopted, w.bill)
			delete(b.watched, key)
			continue
		}
		b.watched[key] = w
	}
	b.mu.Unlock()
	for _, bill := range adopted {
		b.add(bill)
	}
}

// flush waits until every pending bill is written or, where the log takes
// none, until another daemon has agreed to write it. It fails when ctx ends.
func (b *bills) flush(ctx context.Context) error {
	patience := b.o.Now().Add(billsPatience)
	for b.depth() > 0 {
		if !b.o.Now().Before(patience) && b.entrustAll(ctx) {
			break
		}
		if !duty.Sleep(ctx, billsEvery) {
			return verdict.Wrap(ctx.Err(), verdict.Ran, ReasonStopping)
		}
	}
	b.passOnWatched(ctx)
	return nil
}

func (b *bills) depth() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}
