package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// runLedger records what the servers of a world did, and which of their ends the
// Core acknowledged. A nil ledger records nothing.
type runLedger struct {
	runs map[workload.TaskID][]*ledgerRun
	// notedThrough is the last acknowledged end of each server.
	notedThrough map[*life]uint64
}

type ledgerRun struct {
	life    *life
	run     int
	started time.Time
	over    bool
	// doneAs is the number of the end, if the run ended done.
	doneAs uint64
}

func newRunLedger() *runLedger {
	return &runLedger{runs: make(map[workload.TaskID][]*ledgerRun), notedThrough: make(map[*life]uint64)}
}

func (l *runLedger) started(on *life, key runKey, at time.Time) {
	if l != nil {
		l.runs[key.task] = append(l.runs[key.task], &ledgerRun{life: on, run: key.run, started: at})
	}
}

func (l *runLedger) ended(on *life, key runKey, number uint64, kind workload.EndKind) {
	if l == nil {
		return
	}
	for _, r := range l.runs[key.task] {
		if r.life == on && r.run == key.run {
			r.over = true
			if kind == workload.EndDone {
				r.doneAs = number
			}
		}
	}
}

func (l *runLedger) crashed(on *life) {
	if l == nil {
		return
	}
	for _, runs := range l.runs {
		for _, r := range runs {
			r.over = r.over || r.life == on
		}
	}
}

func (l *runLedger) noted(on *life, number uint64) {
	if l != nil {
		l.notedThrough[on] = max(l.notedThrough[on], number)
	}
}

// violations lists the starts after a run of the same task that ended done, if that
// end was acknowledged at any time.
func (l *runLedger) violations() []string {
	var out []string
	for task, runs := range l.runs {
		for i, r := range runs {
			if r.doneAs == 0 || r.doneAs > l.notedThrough[r.life] || i == len(runs)-1 {
				continue
			}
			out = append(out, fmt.Sprintf("%v: run %d on %s ended done as end %d of a server of which %d were acknowledged, and run %d was started",
				task, r.run, r.life.id, r.doneAs, l.notedThrough[r.life], runs[i+1].run))
		}
	}
	return out
}

// overlapping lists the tasks with several runs at once.
func (l *runLedger) overlapping() []string {
	var out []string
	for task, runs := range l.runs {
		n := 0
		for _, r := range runs {
			if !r.over {
				n++
			}
		}
		if n > 1 {
			out = append(out, fmt.Sprintf("%v has %d runs at once", task, n))
		}
	}
	return out
}

// logOutage is longer than a server takes to restart.
const logOutage = worldDowntime + time.Second

// busiest returns the machine with the most runs.
func (w *crashWorld) busiest() *machine {
	most := w.machines[0]
	for _, m := range w.machines {
		if m.life != nil && (most.life == nil || len(m.life.runs) > len(most.life.runs)) {
			most = m
		}
	}
	return most
}

// restartRound is one seeded round of restarts under the same ID, outages of the log,
// changes of the owner, and more ends on a server than one answer lists.
func restartRound(t *testing.T, seed uint64, pageEnds int) {
	t.Helper()
	w := newCrashWorldOf(t, 4, seed, func(w *crashWorld) { w.sameID, w.pageEnds, w.ledger = true, pageEnds, newRunLedger() })
	w.runTime = func(id workload.TaskID) time.Duration { return time.Duration(300+id.Index*40) * time.Millisecond }
	ids := []string{}
	var logBack time.Time
	for end := w.now.Add(20 * time.Second); w.now.Before(end); {
		w.run(100 * time.Millisecond)
		if w.rng.IntN(4) == 0 && !w.holdStores {
			wide := oneTask(500)
			wide.Count = 1 + w.rng.IntN(12)
			ids = append(ids, fmt.Sprintf("%016x", len(ids)+1))
			w.submit(ids[len(ids)-1], wide)
		}
		switch w.rng.IntN(40) {
		case 0:
			if m := w.machines[w.rng.IntN(len(w.machines))]; m.life != nil {
				w.crash(m)
			}
		case 1:
			if !w.holdStores {
				w.holdStores, logBack = true, w.now.Add(logOutage)
				w.run(worldStep * 50)
				if m := w.busiest(); m.life != nil {
					w.crash(m)
				}
			}
		case 2:
			w.holdStores = false
			w.takeOver()
		}
		if w.holdStores && w.now.After(logBack) {
			w.holdStores = false
			w.storeAll()
		}
		if found := w.ledger.overlapping(); len(found) > 0 {
			t.Fatalf("seed %d: %v", seed, found)
		}
	}
	w.holdStores = false
	w.storeAll()
	w.run(40 * time.Second)
	for _, v := range w.ledger.violations() {
		t.Errorf("seed %d: %s", seed, v)
	}
	for _, id := range ids {
		if got := w.status(id); got != workload.StatusCompleted && got != "" {
			t.Errorf("seed %d: submission %s is %q 40 s after the last fault, want completed", seed, id, got)
		}
	}
}

// Servers that restart under their ID while ends wait for the log must lose no end: an
// acknowledgement made for the instance before would drop ends unread, and their tasks
// would run again.
func TestCore_EndsSurviveRestartsUnderTheSameID(t *testing.T) {
	for seed := range *crashSeeds * 10 {
		restartRound(t, *crashSeed+uint64(seed), 0)
	}
}

// The same where a server has more ends than one answer lists: a run that is not on the
// page may have ended.
func TestCore_EndsSurviveShortPages(t *testing.T) {
	for seed := range *crashSeeds * 10 {
		restartRound(t, *crashSeed+uint64(seed), 3)
	}
}
