package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// copiesRound is one seeded round of stragglers with copies, crashes, restarts under the same
// ID, outages of the log and changes of the owner. It returns the number of copies.
func copiesRound(t *testing.T, seed uint64) int {
	t.Helper()
	w := newCrashWorldOf(t, 4, seed, func(w *crashWorld) { w.sameID, w.ledger = true, newRunLedger() })
	w.runTime = func(id workload.TaskID) time.Duration {
		if id.Index%5 == 0 {
			return [...]time.Duration{6 * time.Second, 6 * time.Second, 2 * time.Second}[min(len(w.started[id]), 2)]
		}
		return time.Duration(300+id.Index*40) * time.Millisecond
	}
	ids := []string{}
	notedAt := make(map[workload.TaskID]time.Time)
	copies := 0
	var logBack time.Time
	check := func() {
		for task, runs := range w.ledger.runs {
			atOnce := 0
			for i, r := range runs {
				if !r.over {
					atOnce++
				}
				if noted := notedAt[task]; !noted.IsZero() && r.started.After(noted.Add(time.Second)) {
					t.Fatalf("seed %d: run %d of %v was started %v after an end was noted", seed, r.run, task, r.started.Sub(noted))
				}
				if r.doneAs > 0 && r.doneAs <= w.ledger.notedThrough[r.life] && notedAt[task].IsZero() {
					notedAt[task] = w.now
				}
				if i > 0 && !r.over && !runs[i-1].over {
					copies++
				}
			}
			if atOnce > 2 {
				t.Fatalf("seed %d: %v has %d runs at once, want at most 2", seed, task, atOnce)
			}
		}
	}
	for end := w.now.Add(20 * time.Second); w.now.Before(end); {
		w.run(100 * time.Millisecond)
		if w.rng.IntN(4) == 0 && !w.holdStores {
			wide := oneTask(500)
			wide.Count, wide.Speculative = 1+w.rng.IntN(12), true
			wide.MaxPerServer = w.rng.IntN(2) * 6
			ids = append(ids, fmt.Sprintf("%016x", len(ids)+1))
			w.submit(ids[len(ids)-1], wide)
		}
		switch w.rng.IntN(60) {
		case 0:
			if m := w.machines[w.rng.IntN(len(w.machines))]; m.life != nil {
				w.crash(m)
			}
		case 1:
			if !w.holdStores {
				w.holdStores, logBack = true, w.now.Add(logOutage)
			}
		case 2, 3:
			w.holdStores = false
			w.takeOver()
		}
		if w.holdStores && w.now.After(logBack) {
			w.holdStores = false
			w.storeAll()
		}
		check()
	}
	w.holdStores = false
	w.storeAll()
	for range 400 {
		w.run(100 * time.Millisecond)
		check()
	}
	for _, id := range ids {
		if got := w.status(id); got != workload.StatusCompleted && got != "" {
			t.Errorf("seed %d: submission %s is %q 40 s after the last fault, want completed", seed, id, got)
		}
	}
	for _, s := range w.core.servers {
		if len(s.attempts) > 0 || s.listed && s.free != s.info.Capacity {
			t.Errorf("seed %d: %s has %d attempts and %+v free after all work ended", seed, s.info.ID, len(s.attempts), s.free)
		}
	}
	return copies
}

// Random sequences of faults while tasks have two runs: a task must never have three at a
// time, nor begin again over a second after its end was noted, and all capacity must be free
// in the end.
func TestCopies_RandomSequences(t *testing.T) {
	copies := 0
	for seed := range *crashSeeds * 10 {
		copies += copiesRound(t, *crashSeed+uint64(seed))
	}
	t.Logf("tasks with two runs were seen %d times", copies)
	if copies == 0 {
		t.Error("no copies were started")
	}
}

// A tenant at its cap may have any number of steps queued. They do not wait for capacity, and
// must not keep the stragglers of others from getting copies.
func TestCopies_StepsHeldByACapAreNoObstacle(t *testing.T) {
	h := newHarness(t, 3)
	h.setTenants(capped("a", 32000), capped("b", 1000))
	h.answerAllPolls()
	h.submitAs("a", id1, speculative(1))
	first := h.takeStarts()[0]
	h.confirmStart(first)
	lasting := oneTask(1000)
	lasting.LongRunning = true
	for i := range 100 {
		h.submitAs("b", tenantID(100+i), lasting)
	}
	running := map[string][]StartTask{first.To.ID: {first}}
	for _, a := range h.takeStarts() {
		h.confirmStart(a)
		running[a.To.ID] = append(running[a.To.ID], a)
	}
	h.knowUsual()
	h.wait(3*time.Second, running)
	copies := 0
	for _, a := range h.takeStarts() {
		if a.Order.Task.Submission == id1 {
			copies++
		}
	}
	if copies != 1 {
		t.Errorf("%d copies of a straggler beside 99 steps that a cap holds back, want 1", copies)
	}
}
