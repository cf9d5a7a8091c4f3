package partition_test

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

var testPartition = partition.ID{Topic: "keyed.test", Part: 1}

// memoryLog is a log of one partition in memory. If set, fault is called before
// each call and may fail it.
type memoryLog struct {
	mu      sync.Mutex
	records []partition.Record
	first   uint64
	epoch   uint64
	next    uint64
	// unanswered is the number of appends that take effect without an answer.
	unanswered int
	fault      func(ctx context.Context, call string) error
	calls      []string
}

func (l *memoryLog) recordCall(ctx context.Context, call string) error {
	l.mu.Lock()
	l.calls = append(l.calls, call)
	fault := l.fault
	l.mu.Unlock()
	if fault == nil {
		return nil
	}
	return fault(ctx, call)
}

func (l *memoryLog) Append(ctx context.Context, _ partition.ID, fence partition.Fence, records []partition.Record) error {
	if err := l.recordCall(ctx, "append"); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case fence.Epoch < l.epoch:
		return verdict.New(verdict.NotRun, partition.ReasonFenced, "fenced")
	case fence.Epoch == l.epoch && fence.Sequence+1 == l.next:
		return nil
	case fence.Epoch == l.epoch && fence.Sequence != l.next:
		return verdict.New(verdict.NotRun, partition.ReasonOutOfSequence, "sequence")
	case fence.At != nil && *fence.At != uint64(len(l.records)):
		return verdict.New(verdict.NotRun, partition.ReasonOffsetMismatch, "moved")
	}
	l.epoch, l.next = fence.Epoch, fence.Sequence+1
	l.records = append(l.records, records...)
	if l.unanswered > 0 {
		l.unanswered--
		return verdict.New(verdict.MayHaveRun, partition.ReasonNoAnswer, "lost")
	}
	return nil
}

func (l *memoryLog) ReadLatest(ctx context.Context, _ partition.ID, after string) (partition.Page, error) {
	if err := l.recordCall(ctx, "newest"); err != nil {
		return partition.Page{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := make(map[string]partition.Record)
	for i, r := range l.records {
		r.Offset = uint64(i)
		newest[r.Key] = r
	}
	var keys []string
	for key, r := range newest {
		if key > after && r.Value != nil {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := partition.Page{End: uint64(len(l.records)), More: len(keys) > 2}
	for _, key := range keys[:min(len(keys), 2)] {
		page.Records = append(page.Records, newest[key])
	}
	return page, nil
}

func (l *memoryLog) Read(ctx context.Context, _ partition.ID, from uint64, wait time.Duration) (partition.Batch, error) {
	if err := l.recordCall(ctx, "read"); err != nil {
		return partition.Batch{}, err
	}
	l.mu.Lock()
	first, records := l.first, slices.Clone(l.records)
	l.mu.Unlock()
	if from < first {
		return partition.Batch{}, verdict.New(verdict.NotRun, partition.ReasonTruncated, "truncated")
	}
	if from >= uint64(len(records)) {
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		return partition.Batch{Next: from}, nil
	}
	return partition.Batch{Records: records[from:], Next: uint64(len(records))}, nil
}

func record(key, value string) partition.Record {
	return partition.Record{Key: key, Value: []byte(value)}
}

// noAnswer does not answer before the caller gives up.
func noAnswer(ctx context.Context, _ string) error {
	<-ctx.Done()
	return errors.Wrap(ctx.Err(), "no answer")
}

func TestReadAll_ReadsEveryPage(t *testing.T) {
	log := &memoryLog{records: []partition.Record{record("a", "1"), record("b", "1"), record("c", "1"), record("a", "2"), record("d", "1"), record("e", "1")}}
	records, end, err := partition.ReadAll(t.Context(), log, testPartition)
	if err != nil || end != 6 || len(records) != 5 || string(records[0].Value) != "2" {
		t.Fatalf("records %v up to %d, %v", records, end, err)
	}
}

func TestReadAll_FailsWhenLogDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memoryLog{fault: noAnswer}
		done := make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			_, _, err := partition.ReadAll(ctx, log, testPartition)
			done <- err
		}()
		select {
		case err := <-done:
			if err == nil {
				t.Error("read of a log that does not answer succeeded")
			}
		case <-time.After(5 * time.Second):
			t.Error("read of a log that does not answer still in progress after 5 s")
		}
	})
}

// runWriter claims the partition and runs its Writer, which reports the IDs of
// stored writes. Stop ends it and checks that it did not end before.
func runWriter(t *testing.T, log partition.Log) (w *partition.Writer, written <-chan uint64, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	tickets := make(chan uint64, 8)
	w, err := partition.Claim(ctx, log, testPartition, 3, 0, record("o", "me"), time.Now, func(ticket uint64) { tickets <- ticket })
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	return w, tickets, func() {
		t.Helper()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

func TestWriter_ResendsUnansweredAppendIdempotently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memoryLog{}
		w, written, stop := runWriter(t, log)
		log.mu.Lock()
		log.unanswered = 1
		log.mu.Unlock()
		w.Enqueue(1, []partition.Record{record("a", "1")})
		if got := <-written; got != 1 {
			t.Errorf("write %d stored, want 1", got)
		}
		stop()
		if len(log.records) != 2 {
			t.Errorf("%d records in the log, want the claim and one write", len(log.records))
		}
	})
}

func TestWriter_StopsWhenFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memoryLog{}
		ignore := func(uint64) {}
		first, err := partition.Claim(t.Context(), log, testPartition, 3, 0, record("o", "first"), time.Now, ignore)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := partition.Claim(t.Context(), log, testPartition, 4, 1, record("o", "second"), time.Now, ignore); err != nil {
			t.Fatal(err)
		}
		first.Enqueue(1, []partition.Record{record("a", "1")})
		if err := first.Run(t.Context()); !errors.Is(err, partition.ErrFenced) {
			t.Errorf("%v, want ErrFenced", err)
		}
	})
}

func TestClaim_FailsOnOffsetMismatch(t *testing.T) {
	log := &memoryLog{records: []partition.Record{record("a", "1")}}
	_, err := partition.Claim(t.Context(), log, testPartition, 3, 0, record("o", "me"), time.Now, func(uint64) {})
	if verdict.ReasonOf(err) != partition.ReasonOffsetMismatch {
		t.Errorf("%v, want ReasonOffsetMismatch", err)
	}
}

func TestWatcher_ReadsNewSnapshotAfterTruncation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memoryLog{records: []partition.Record{record("a", "1")}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var wholes [][]partition.Record
		w := &partition.Watcher{
			Log: log, ID: testPartition,
			OnSnapshot: func(r []partition.Record) { wholes = append(wholes, r) },
			OnUpdate:   func([]partition.Record) {},
		}
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		log.mu.Lock()
		log.records = append(log.records, record("a", ""), record("b", "2"))
		log.records[1].Value = nil
		log.first = 3
		log.mu.Unlock()
		time.Sleep(3 * time.Second)
		cancel()
		<-done
		if len(wholes) != 2 || len(wholes[1]) != 1 || wholes[1][0].Key != "b" {
			t.Errorf("snapshots %v, want a second one with only b", wholes)
		}
	})
}

func TestWriter_RetriesBesideHungCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memoryLog{}
		w, written, stop := runWriter(t, log)
		var hung atomic.Bool
		log.mu.Lock()
		log.fault = func(ctx context.Context, call string) error {
			if hung.Swap(true) {
				return nil
			}
			return noAnswer(ctx, call)
		}
		log.mu.Unlock()
		began := time.Now()
		w.Enqueue(1, []partition.Record{record("a", "1")})
		<-written
		if took := time.Since(began); took > time.Second {
			t.Errorf("stored after %s beside one hung call, want at most 1s", took)
		}
		stop()
	})
}

func TestWriter_DoesNotRetryWhenLogIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		log := &memoryLog{}
		w, written, stop := runWriter(t, log)
		log.mu.Lock()
		log.fault = func(ctx context.Context, _ string) error {
			calls.Add(1)
			select {
			case <-time.After(900 * time.Millisecond):
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		log.mu.Unlock()
		for ticket := range uint64(5) {
			w.Enqueue(ticket, []partition.Record{record("a", "1")})
			<-written
		}
		if n := calls.Load(); n > 6 {
			t.Errorf("%d calls for 5 writes to a slow log, want at most 6", n)
		}
		stop()
	})
}

// Calls that hung during an outage must not delay a write, once the log answers
// again, for longer than one attempt may hang.
func TestWriter_ResumesSoonAfterOutage(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 2500 * time.Millisecond, 4200 * time.Millisecond, 9 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			log := &memoryLog{}
			w, written, stop := runWriter(t, log)
			back := time.Now().Add(silence)
			log.mu.Lock()
			log.fault = func(ctx context.Context, _ string) error {
				if time.Now().Before(back) {
					<-ctx.Done()
					return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, partition.ReasonNoAnswer)
				}
				return nil
			}
			log.mu.Unlock()
			w.Enqueue(1, []partition.Record{record("a", "1")})
			<-written
			if late := time.Since(back); late > 800*time.Millisecond {
				t.Errorf("log silent for %s: write stored %s after it answered again, want at most 800ms", silence, late)
			}
			stop()
		})
	}
}

// What was not sent to the log can be taken back while the log hangs. What was
// sent cannot, since it may be stored.
func TestWriter_WithdrawsWhatWasNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memoryLog{}
		w, written, stop := runWriter(t, log)
		release := make(chan struct{})
		log.mu.Lock()
		log.fault = func(context.Context, string) error { <-release; return nil }
		log.mu.Unlock()
		w.Enqueue(1, []partition.Record{record("a", "1")})
		synctest.Wait()
		w.Enqueue(2, []partition.Record{record("b", "1")})
		w.Enqueue(3, []partition.Record{record("c", "1")})
		if got := w.Withdraw([]uint64{1, 2}); !slices.Equal(got, []uint64{2}) {
			t.Errorf("withdrew writes %v, want 2 only", got)
		}
		close(release)
		for last := uint64(0); last != 3; last = <-written {
		}
		stop()
		var keys []string
		for _, r := range log.records {
			keys = append(keys, r.Key)
		}
		if slices.Contains(keys, "b") || !slices.Contains(keys, "a") || !slices.Contains(keys, "c") {
			t.Errorf("stored %v, want a and c and not b", keys)
		}
	})
}

// emptyPageLog answers each read with a page that is empty and says that more follow.
type emptyPageLog struct{ memoryLog }

func (*emptyPageLog) ReadLatest(context.Context, partition.ID, string) (partition.Page, error) {
	return partition.Page{More: true}, nil
}

// A page is not the whole list. One that is empty and says that more follow must not be
// taken for the end, or an owner would begin without what its predecessors stored.
func TestReadAll_FailsOnAnEmptyPageBeforeOthers(t *testing.T) {
	if records, _, err := partition.ReadAll(t.Context(), &emptyPageLog{}, testPartition); err == nil {
		t.Errorf("records %v and no error after a page that announced others", records)
	}
}

// rejectingLog does not accept records with a certain key.
type rejectingLog struct {
	memoryLog
	rejected string
}

func (l *rejectingLog) Append(ctx context.Context, id partition.ID, fence partition.Fence, records []partition.Record) error {
	if slices.ContainsFunc(records, func(r partition.Record) bool { return r.Key == l.rejected }) {
		return verdict.New(verdict.NotRun, partition.ReasonRejected, "key too long")
	}
	return l.memoryLog.Append(ctx, id, fence, records)
}

// A record that the log does not accept was sent again for ever, and every write of the
// partition waited behind it. It must fail by itself, in whichever batch it is.
func TestWriter_RejectedWriteFailsByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &rejectingLog{rejected: "w4"}
		var stored, rejected []uint64
		w, err := partition.Claim(t.Context(), log, testPartition, 3, 0, record("o", "me"), time.Now, func(id uint64) { stored = append(stored, id) })
		if err != nil {
			t.Fatal(err)
		}
		w.OnRejected(func(id uint64, err error) { rejected = append(rejected, id) })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		for id := uint64(1); id <= 9; id++ {
			w.Enqueue(id, []partition.Record{record("w"+strconv.FormatUint(id, 10), "x")})
			if id == 1 {
				synctest.Wait()
			}
		}
		time.Sleep(2 * time.Second)
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		if !slices.Equal(rejected, []uint64{4}) || len(stored) == 0 || stored[len(stored)-1] != 9 {
			t.Errorf("rejected %v, stored through %v, want 4 and 9", rejected, stored)
		}
		if len(log.records) != 9 {
			t.Errorf("%d records in the log, want the claim and 8 writes", len(log.records))
		}
	})
}

// Guards against a value that counts as recent although a later record may have followed: a read
// proves of its beginning, or of the end of its wait, that nothing did.
func TestWatcher_ReportsAsOfWhenItIsCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memoryLog{records: []partition.Record{record("a", "1")}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		began := time.Now()
		var current atomic.Pointer[time.Time]
		current.Store(&began)
		w := &partition.Watcher{
			Log: log, ID: testPartition, Now: time.Now, OnSnapshot: func([]partition.Record) {}, OnUpdate: func([]partition.Record) {},
			OnCurrent: func(asOf time.Time) { current.Store(&asOf) },
		}
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		time.Sleep(2500 * time.Millisecond)
		if age := time.Since(*current.Load()); age > 1500*time.Millisecond {
			t.Errorf("current as of %s before with a log that answers, want at most 1.5s", age)
		}
		log.mu.Lock()
		log.fault = noAnswer
		log.mu.Unlock()
		lost := time.Now()
		time.Sleep(5 * time.Second)
		if last := *current.Load(); last.After(lost.Add(time.Second)) {
			t.Errorf("current as of %s after the beginning, with a log that has not answered since %s", last.Sub(began), lost.Sub(began))
		}
		cancel()
		<-done
	})
}
