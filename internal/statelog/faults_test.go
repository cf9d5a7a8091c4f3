package statelog_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/internal/statelog"
)

func seeds(t *testing.T, n uint64) uint64 {
	t.Helper()
	if testing.Short() {
		return max(1, n/5)
	}
	return n
}

// faultRun runs several daemons under changing faults.
type faultRun struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	cell   *testCell
	nodes  []*node

	mu       sync.Mutex
	accepted []string
}

// Publishes documents and submits jobs under faults and restarts. No view goes
// back, no document reverts, no read misses a record, nothing accepted is
// lost, and in the end all daemons have the same state.
func TestStore_ConvergesUnderChangingFaults(t *testing.T) {
	accepted := 0
	n := seeds(t, 50)
	for seed := range n {
		synctest.Test(t, func(t *testing.T) {
			w := &faultRun{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), cell: newCell(t)}
			w.cell.log.SetRetention(150)
			for i := range 4 {
				w.nodes = append(w.nodes, w.cell.start(fmt.Sprint("n", i), w.options(i)))
			}
			w.nodes[0].append(t, aliceCredential, publish("d0", "checks", 0, 1))
			w.run()
			w.stopFaultsAndCompare()
			accepted += len(w.accepted)
		})
	}
	if accepted < 5*int(n) {
		t.Errorf("only %d jobs were accepted over %d seeds", accepted, n)
	}
}

func (w *faultRun) options(i int) func(*statelog.Options) {
	return func(o *statelog.Options) {
		if i == 0 {
			snapshotter(o)
		}
	}
}

func (w *faultRun) run() {
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	for _, n := range w.nodes {
		wg.Go(func() { w.checkViewAdvances(ctx, n) })
	}
	for i := range 40 {
		n := w.nodes[w.random.IntN(len(w.nodes))]
		wg.Go(func() { w.submit(n, fmt.Sprint("job", i)) })
		wg.Go(func() { w.publish(n, fmt.Sprint("doc", i), 2+i) })
		w.changeFaults()
		time.Sleep(time.Duration(w.random.IntN(1500)) * time.Millisecond)
		if i%8 == 7 {
			restarted := w.restart(w.random.IntN(len(w.nodes)))
			wg.Go(func() { w.checkViewAdvances(ctx, restarted) })
		}
	}
	cancel()
	wg.Wait()
}

// restart stops a daemon without a graceful stop and starts it again.
func (w *faultRun) restart(i int) *node {
	old := w.nodes[i]
	if err := old.duties.Stop(context.Background()); err != nil {
		w.t.Error(err)
	}
	w.nodes[i] = w.cell.start(fmt.Sprint("n", i), w.options(i))
	return w.nodes[i]
}

// changeFaults draws the next faults at random.
func (w *faultRun) changeFaults() {
	log := w.cell.log
	log.SetDown(w.random.IntN(6) == 0)
	log.SetHang(w.random.IntN(10) == 0)
	log.SetDelay(time.Duration(w.random.IntN(300))*time.Millisecond, time.Duration(w.random.IntN(300))*time.Millisecond)
	log.LoseResponses(w.random.IntN(3))
	log.LoseRequests(w.random.IntN(2))
	for _, n := range w.nodes {
		n.logClient.SetUnreachable(w.random.IntN(5) == 0)
	}
}

// checkViewAdvances fails the test if a daemon's view goes back.
func (w *faultRun) checkViewAdvances(ctx context.Context, n *node) {
	var offset, revision uint64
	for ctx.Err() == nil {
		changed := n.Changed()
		view := n.View()
		d, _ := view.Document("checks")
		if view.Offset() < offset || d.Revision < revision {
			w.t.Errorf("seed %d: %s went back from %d to %d, revision %d to %d",
				w.seed, n.dump().Source.From, offset, view.Offset(), revision, d.Revision)
		}
		offset, revision = view.Offset(), d.Revision
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (w *faultRun) submit(n *node, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := n.Append(ctx, aliceCredential, job(id)); err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted = append(w.accepted, id)
}

func (w *faultRun) publish(n *node, key string, count int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	d, _ := n.View().Document("checks")
	_, _ = n.Append(ctx, aliceCredential, publish(key, "checks", d.Revision, count))
}

// stopFaultsAndCompare stops the faults and compares the daemons with each
// other and with a newly started one.
func (w *faultRun) stopFaultsAndCompare() {
	w.cell.log.SetDown(false)
	w.cell.log.SetHang(false)
	w.cell.log.SetDelay(0, 0)
	for _, n := range w.nodes {
		n.logClient.SetUnreachable(false)
	}
	time.Sleep(time.Minute)
	fresh := w.cell.start("fresh", func(o *statelog.Options) { o.Peers = nil })
	w.nodes = append(w.nodes, fresh)
	for i, n := range w.nodes {
		if n.digest() != w.nodes[0].digest() {
			w.t.Errorf("seed %d: daemon %d has another state", w.seed, i)
		}
		w.checkReads(n)
		n.stop(w.t)
	}
	for _, id := range w.accepted {
		if _, ok := fresh.View().Job(id); !ok {
			w.t.Errorf("seed %d: accepted job %s is lost", w.seed, id)
		}
	}
}

// checkReads compares the completed reads of a daemon with the log's own
// times: no record at or above head may be older than the start of the read.
func (w *faultRun) checkReads(n *node) {
	oldest, _ := w.cell.log.Bounds()
	page, err := w.cell.log.Read(context.Background(), oldest, 1000, 0)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, e := range n.completedReads() {
		for _, stored := range page.Records {
			if stored.Offset >= e.head && stored.Time.Before(e.startedAt) {
				w.t.Errorf("seed %d: record %d of %v was missed by a read to %d begun %v",
					w.seed, stored.Offset, stored.Time, e.head, e.startedAt)
			}
		}
	}
}

// maxPropagation is the longest time from the acceptance of a document until
// every daemon has applied it, with a log that takes 200 ms per call.
const maxPropagation = 2 * time.Second

func TestStore_RecordReachesDaemonsWithinBound(t *testing.T) {
	delays := []struct{ before, after time.Duration }{{200, 0}, {0, 200}, {100, 100}}
	var longest time.Duration
	for seed := range seeds(t, 50) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 9))
			c := newCell(t)
			var nodes []*node
			for i := range 9 {
				nodes = append(nodes, c.start(fmt.Sprint("n", i), nil))
			}
			d := delays[seed%3]
			c.log.SetDelay(d.before*time.Millisecond, d.after*time.Millisecond)
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
			offset, err := nodes[random.IntN(9)].Append(t.Context(), aliceCredential, publish("d", "checks", 0, 1))
			if err != nil {
				t.Fatal(err)
			}
			accepted := time.Now()
			for _, n := range nodes {
				if err := n.WaitFor(t.Context(), offset); err != nil {
					t.Fatal(err)
				}
			}
			longest = max(longest, time.Since(accepted))
			for _, n := range nodes {
				n.stop(t)
			}
		})
	}
	t.Logf("longest time from accepted to in force on 9 daemons: %v", longest)
	if longest > maxPropagation {
		t.Errorf("longest time from accepted to in force %v, want at most %v", longest, maxPropagation)
	}
}
