package shard

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// fakeLog is a partition whose appends are checked against its end offset.
type fakeLog struct {
	mu      sync.Mutex
	records []partition.Record
	// lose makes appends take effect without an answer.
	lose bool
}

func (f *fakeLog) Append(_ context.Context, _ partition.ID, fence partition.Fence, records []partition.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fence.At != nil && *fence.At != uint64(len(f.records)) {
		return verdict.New(verdict.NotRun, partition.ReasonOffsetMismatch, "moved")
	}
	for _, r := range records {
		r.Offset = uint64(len(f.records))
		f.records = append(f.records, r)
	}
	if f.lose {
		return verdict.New(verdict.MayHaveRun, partition.ReasonNoAnswer, "lost")
	}
	return nil
}

func (f *fakeLog) ReadLatest(context.Context, partition.ID, string) (partition.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return partition.Page{Records: f.records, End: uint64(len(f.records))}, nil
}

func (f *fakeLog) Read(ctx context.Context, _ partition.ID, from uint64, wait time.Duration) (partition.Batch, error) {
	select {
	case <-ctx.Done():
		return partition.Batch{}, ctx.Err()
	case <-time.After(min(wait, 100*time.Millisecond)):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return partition.Batch{Records: f.records[from:], Next: uint64(len(f.records))}, nil
}

// startManager runs a Manager on the log until the test ends.
func startManager(t *testing.T, log partition.Log) *Manager {
	k := NewManager(Options{
		Log: log, MaxShards: 12, Now: time.Now, Applied: func(string, Layout) {}, OnResult: func(error) {},
		Rejected: func(service string, err error) { t.Logf("%s: %v", service, err) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = k.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	time.Sleep(200 * time.Millisecond)
	return k
}

// reconcileFor calls Reconcile every half second for a time.
func reconcileFor(t *testing.T, k *Manager, racks map[string]int, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if err := k.Reconcile(t.Context(), "pool", racks); err != nil {
			t.Logf("reconcile: %v", err)
		}
	}
}

func TestManager_WaitsForStableServerCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := startManager(t, &fakeLog{})
		for n := range 4 {
			reconcileFor(t, k, racksOf(2, 10*(n+1)), time.Second)
			if l, ok := k.Layout("pool"); ok {
				t.Fatalf("layout of %d shards decided while servers are still being added", l.Shards)
			}
		}
		reconcileFor(t, k, racksOf(18, 40), 3*time.Second)
		if l, ok := k.Layout("pool"); !ok || l.Shards != 2 {
			t.Errorf("%+v, want 2 shards", l)
		}
	})
}

func TestManager_GivesServiceWithoutServersOneShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := startManager(t, &fakeLog{})
		reconcileFor(t, k, nil, 4*time.Second)
		if _, ok := k.Layout("pool"); ok {
			t.Fatal("layout decided before maxSettleWait without any servers")
		}
		reconcileFor(t, k, nil, 4*time.Second)
		if l, ok := k.Layout("pool"); !ok || l.Shards != 1 {
			t.Errorf("%+v, want 1 shard", l)
		}
	})
}

func TestManager_TwoOwnersAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{lose: true}
		first, second := startManager(t, log), startManager(t, log)
		reconcileFor(t, first, racksOf(18, 40), 2*time.Second)
		reconcileFor(t, second, racksOf(6, 16), 2*time.Second)
		for range 3 {
			reconcileFor(t, first, racksOf(18, 40), time.Second)
			reconcileFor(t, second, racksOf(19, 16), time.Second)
		}
		a, _ := first.Layout("pool")
		b, _ := second.Layout("pool")
		if a.Shards != 2 || b.Shards != 2 || len(a.Racks) != 19 || !a.extends(b) || !b.extends(a) {
			t.Errorf("%+v and %+v, want the same 2 shards of 19 racks", a, b)
		}
	})
}

func TestManager_RejectsInconsistentLayouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{}
		k := startManager(t, log)
		reconcileFor(t, k, racksOf(18, 40), 3*time.Second)
		for _, l := range []Layout{{Shards: 3}, {Shards: 0}, {Shards: 2, Racks: map[string]int{"r0": 9}}} {
			value, err := workload.Encode(l)
			if err != nil {
				t.Fatal(err)
			}
			if err := log.Append(t.Context(), LayoutPartition, partition.Fence{}, []partition.Record{{Key: "pool", Value: value}}); err != nil {
				t.Fatal(err)
			}
		}
		_ = log.Append(t.Context(), LayoutPartition, partition.Fence{}, []partition.Record{{Key: "pool", Value: []byte("{")}})
		time.Sleep(time.Second)
		if l, _ := k.Layout("pool"); l.Shards != 2 || len(l.Racks) != 18 {
			t.Errorf("%+v, want the decided layout of 2 shards and 18 racks", l)
		}
		// New racks are still added afterwards.
		reconcileFor(t, k, racksOf(20, 40), time.Second)
		if l, _ := k.Layout("pool"); len(l.Racks) != 20 {
			t.Errorf("%d racks, want 20", len(l.Racks))
		}
	})
}
