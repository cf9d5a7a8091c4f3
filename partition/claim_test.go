package partition_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/verdict"
)

// keptAppends is the number of appends of which the log answers a repeat with the first
// response.
const keptAppends = 5

// replayLog is a log of one partition that answers a repeated append with its first
// response. Calls may take long, their answers may get lost, and a call whose caller has
// given up may be carried out later.
type replayLog struct {
	mu      sync.Mutex
	rng     *rand.Rand
	records []partition.Record
	epoch   uint64
	last    []uint64
	// slow is the largest delay of a call and of its answer; lossy is the share of the
	// answers that get lost.
	slow  time.Duration
	lossy float64
}

// stored returns the records in the log. Calls whose callers have given up may still be
// carried out.
func (l *replayLog) stored() []partition.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.records)
}

func (l *replayLog) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.rng.Int64N(int64(l.slow) + 1))
}

func (l *replayLog) losesAnswer() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < l.lossy
}

// Append implements partition.Log.
func (l *replayLog) Append(ctx context.Context, _ partition.ID, fence partition.Fence, records []partition.Record) error {
	result := make(chan error, 1)
	go func() {
		time.Sleep(l.delay())
		err := l.carryOut(fence, records)
		time.Sleep(l.delay())
		if !l.losesAnswer() {
			result <- err
		}
	}()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, partition.ReasonNoAnswer)
	}
}

func (l *replayLog) carryOut(fence partition.Fence, records []partition.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fence.Epoch < l.epoch {
		return verdict.New(verdict.NotRun, partition.ReasonFenced, "fenced")
	}
	if fence.Epoch == l.epoch && len(l.last) > 0 {
		for _, sequence := range l.last {
			if sequence == fence.Sequence {
				return nil
			}
		}
		if fence.Sequence != l.last[len(l.last)-1]+1 {
			return verdict.New(verdict.NotRun, partition.ReasonOutOfSequence, "sequence")
		}
	}
	if fence.At != nil && *fence.At != uint64(len(l.records)) {
		return verdict.New(verdict.NotRun, partition.ReasonOffsetMismatch, "moved")
	}
	if fence.Epoch > l.epoch {
		l.epoch, l.last = fence.Epoch, nil
	}
	l.last = append(l.last, fence.Sequence)
	l.last = l.last[max(0, len(l.last)-keptAppends):]
	l.records = append(l.records, records...)
	return nil
}

// ReadLatest implements partition.Log.
func (l *replayLog) ReadLatest(context.Context, partition.ID, string) (partition.Page, error) {
	time.Sleep(l.delay())
	l.mu.Lock()
	defer l.mu.Unlock()
	page := partition.Page{End: uint64(len(l.records))}
	newest := make(map[string]partition.Record)
	for _, r := range l.records {
		newest[r.Key] = r
	}
	for _, r := range newest {
		page.Records = append(page.Records, r)
	}
	return page, nil
}

// Read implements partition.Log.
func (l *replayLog) Read(context.Context, partition.ID, uint64, time.Duration) (partition.Batch, error) {
	return partition.Batch{}, nil
}

// claimNext reads the log and claims the partition with the next epoch, as an owner does.
func claimNext(ctx context.Context, log partition.Log, daemon string, pause time.Duration, stored func(uint64)) (*partition.Writer, uint64, error) {
	records, end, err := partition.ReadAll(ctx, log, testPartition)
	if err != nil {
		return nil, 0, err
	}
	epoch := uint64(1)
	for _, r := range records {
		if r.Key == "o" {
			before, _, _ := cutEpoch(string(r.Value))
			epoch = before + 1
		}
	}
	time.Sleep(pause)
	claim := record("o", fmt.Sprintf("%d %s", epoch, daemon))
	w, err := partition.Claim(ctx, log, testPartition, epoch, end, claim, time.Now, stored)
	return w, epoch, err
}

func cutEpoch(text string) (epoch uint64, daemon string, err error) {
	_, err = fmt.Sscanf(text, "%d %s", &epoch, &daemon)
	return epoch, daemon, err
}

// Two daemons that read the partition at the same end choose the same epoch. The log must
// not take the second claim for a repeat of the first: both would own the partition, send
// orders under one fencing token, and be told that appends are stored that are not.
func TestClaim_TwoDaemonsAtOneEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &replayLog{rng: rand.New(rand.NewPCG(1, 1))}
		var owners sync.Map
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() {
				if _, epoch, err := claimNext(t.Context(), log, fmt.Sprint("d", i), time.Second, func(uint64) {}); err == nil {
					owners.Store(i, epoch)
				}
			})
		}
		wg.Wait()
		n := 0
		owners.Range(func(any, any) bool { n++; return true })
		if claims := log.stored(); n != 1 || len(claims) != 1 {
			t.Errorf("%d owners with %d claims in the log, want one of each", n, len(claims))
		}
	})
}

// A claim that is in the log although its answer got lost is the daemon's own: sending it
// again succeeds, and appends follow it.
func TestClaim_LostAnswerIsNotAnotherOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &replayLog{rng: rand.New(rand.NewPCG(1, 1)), lossy: 1}
		go func() {
			time.Sleep(time.Second)
			log.mu.Lock()
			log.lossy = 0
			log.mu.Unlock()
		}()
		stored := make(chan uint64, 1)
		w, _, err := claimNext(t.Context(), log, "d", 0, func(id uint64) { stored <- id })
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = w.Run(ctx) }()
		w.Enqueue(7, []partition.Record{record("k", "v")})
		if id, records := <-stored, log.stored(); id != 7 || len(records) != 2 {
			t.Errorf("write %d stored, %d records, want 7 and 2", id, len(records))
		}
	})
}

// claimRound lets daemons claim one partition again and again over a log that is slow,
// loses answers and repeats first responses, and returns what is wrong.
func claimRound(t *testing.T, seed uint64) (faults []string) {
	log := &replayLog{rng: rand.New(rand.NewPCG(seed, 1)), slow: 900 * time.Millisecond, lossy: 0.2}
	rng := rand.New(rand.NewPCG(seed, 2))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var mu sync.Mutex
	owners := make(map[uint64][]string)
	acknowledged := make(map[string]bool)
	own := func(daemon string, pause, tenure time.Duration) {
		names := make(map[uint64]string)
		next, done := uint64(0), uint64(0)
		w, epoch, err := claimNext(ctx, log, daemon, pause, func(id uint64) {
			mu.Lock()
			defer mu.Unlock()
			for ; done < id; done++ {
				acknowledged[names[done+1]] = true
			}
		})
		if err != nil {
			return
		}
		mu.Lock()
		owners[epoch] = append(owners[epoch], daemon)
		mu.Unlock()
		run, stop := context.WithTimeout(ctx, tenure)
		defer stop()
		go func() {
			for run.Err() == nil {
				mu.Lock()
				next++
				names[next] = daemon + " " + strconv.FormatUint(epoch, 10) + " " + strconv.FormatUint(next, 10)
				key := names[next]
				mu.Unlock()
				w.Enqueue(next, []partition.Record{record(key, "x")})
				time.Sleep(200 * time.Millisecond)
			}
		}()
		_ = w.Run(run)
	}
	var wg sync.WaitGroup
	for i := range 3 {
		pauses := make([]time.Duration, 0, 64)
		for range 64 {
			pauses = append(pauses, time.Duration(rng.IntN(2000))*time.Millisecond)
		}
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				own(fmt.Sprint("d", i), pauses[n%64]/4, pauses[(n+7)%64])
				time.Sleep(pauses[(n+3)%64] / 8)
			}
		})
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for epoch, names := range owners {
		if len(names) > 1 {
			faults = append(faults, fmt.Sprintf("epoch %d has owners %v", epoch, names))
		}
	}
	inLog := make(map[string]int)
	for _, r := range log.stored() {
		inLog[r.Key]++
	}
	for key := range acknowledged {
		if inLog[key] != 1 {
			faults = append(faults, fmt.Sprintf("%q was reported as stored and is %d times in the log", key, inLog[key]))
		}
	}
	if len(owners) < 5 {
		faults = append(faults, fmt.Sprintf("only %d claims succeeded", len(owners)))
	}
	return faults
}

// Whatever the log's delays, an epoch has one owner, and what an owner reports as stored
// is in the log once.
func TestClaim_OneOwnerAnEpoch(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			for _, fault := range claimRound(t, seed) {
				t.Errorf("seed %d: %s", seed, fault)
			}
		})
	}
}

// The ownership is confirmed while only the owner's own records follow its claim, and not
// once a later owner's claim does.
func TestWriter_ConfirmsOwnershipUntilALaterClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memoryLog{}
		w, written, stop := runWriter(t, log)
		for id := uint64(1); id <= 3; id++ {
			if err := w.ConfirmOwnership(t.Context()); err != nil {
				t.Fatalf("after %d appends: %v", id-1, err)
			}
			w.Enqueue(id, []partition.Record{record("k", strconv.FormatUint(id, 10))})
			<-written
		}
		stop()
		if _, err := partition.Claim(t.Context(), log, testPartition, 4, 4, record("o", "next"), time.Now, func(uint64) {}); err != nil {
			t.Fatal(err)
		}
		if err := w.ConfirmOwnership(t.Context()); err != partition.ErrFenced {
			t.Errorf("%v after a later claim, want ErrFenced", err)
		}
	})
}
