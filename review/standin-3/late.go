//go:build review3

package main

import (
	"sync"
	"time"
)

const (
	// lateWindow is for_s of applied_late, and lateShare its x.
	lateWindow = 5500 * time.Millisecond
	lateShare  = 0.055
	// crashDowntime is how long the runner is down; reuse_after_s is 2.
	crashDowntime = 2200 * time.Millisecond
)

// lateCalls lets single calls of /hold get no response. Each is executed when its channel is
// closed.
type lateCalls struct {
	mu    sync.Mutex
	armed bool
	least int
	taken chan order
	begin chan struct{}
}

func newLateCalls() *lateCalls { return &lateCalls{taken: make(chan order, 1)} }

// arm lets the next call that acknowledges at least the given end be late, and returns the
// channel that lets it be executed.
func (l *lateCalls) arm(least int) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.armed, l.least, l.begin = true, least, make(chan struct{})
	return l.begin
}

func (l *lateCalls) late(path string, o order) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.armed || path != "/hold" || o.LastSeen < l.least {
		return nil
	}
	l.armed = false
	l.taken <- o
	return l.begin
}

// lateAck: a runner gets two calls late, crashes between them and is back under its id.
func lateAck(w *world, trouble bool) verdict {
	w.configure(1, route("r-1", "/jobs/", "alpha"))
	w.kindOf = func(number int) string {
		if number == 0 {
			return "c"
		}
		return "a"
	}
	var r *runner
	calls := newLateCalls()
	for i := range 8 {
		one, err := newRunner(w, i, "alpha")
		if err != nil {
			return w.cannotRun(err)
		}
		if i == 0 {
			r = one
			r.mu.Lock()
			r.late = calls.late
			r.mu.Unlock()
		}
	}
	if err := w.boot(3); err != nil {
		return w.cannotRun(err)
	}
	time.Sleep(10 * time.Second)
	only := map[string]any{"requirements": r.kind}
	const first, long, spread, id = "00000000000000c1", "00000000000000c2", "00000000000000c3", "00000000000000c4"
	if !w.submit("/jobs/"+spread, map[string]any{"spec": "60000", "steps": []any{step(7, 1000, map[string]any{"anti_affinity": 1})}}) ||
		!w.submit("/jobs/"+first, map[string]any{"spec": "300", "steps": []any{step(6, 1000, only)}}) ||
		!w.submit("/jobs/"+long, map[string]any{"spec": "60000", "steps": []any{step(1, 1000, only)}}) {
		return w.cannotRun("not accepted")
	}
	if !w.await(5*time.Second, func() bool { return w.seenDone(first+".0.0") == 6 && len(w.startsOf(long)) == 1 }) {
		return w.cannotRun("the first tasks don't end")
	}
	time.Sleep(4 * time.Second)
	if !trouble {
		if !w.submit("/jobs/"+id, map[string]any{"spec": "500", "steps": []any{step(4, 1000, only)}}) {
			return w.cannotRun("not accepted")
		}
		time.Sleep(8 * time.Second)
		return w.judgeLate(id)
	}
	executeFirst := calls.arm(6)
	a := <-calls.taken
	began := w.since()
	w.note("a call of /hold at %s with last_seen %d gets no response", r.id, a.LastSeen)
	time.Sleep(200 * time.Millisecond)
	r.crash(crashDowntime)
	if !w.await(crashDowntime+3*time.Second, func() bool { return len(w.startsOf(long)) == 2 }) {
		return w.cannotRun("nothing starts on the runner that is back")
	}
	executeSecond := calls.arm(0)
	b := <-calls.taken
	w.note("a second call of /hold at %s, with last_seen %d, gets no response", r.id, b.LastSeen)
	late := 2
	if !w.submit("/jobs/"+id, map[string]any{"spec": "500", "steps": []any{step(4, 1000, only)}}) {
		return w.cannotRun("not accepted")
	}
	if !w.await(1200*time.Millisecond, func() bool { return w.doneTasks(id+".0.0") == 4 }) {
		return w.cannotRun("the tasks don't end in time")
	}
	w.note("the first call is executed, %.1f s late", (w.since() - began).Seconds())
	close(executeFirst)
	time.Sleep(time.Until(w.zero.Add(began + lateWindow)))
	n := w.callsBetween(began, began+lateWindow)
	w.note("%d of %d calls to runners within %.1f s were late, %.3f of them; at most %.3f are", late, n, lateWindow.Seconds(), float64(late)/float64(n), lateShare)
	if float64(late) > lateShare*float64(n) {
		return w.cannotRun("too few calls for two late ones")
	}
	time.Sleep(3 * time.Second)
	close(executeSecond)
	time.Sleep(5 * time.Second)
	return w.judgeLate(id)
}

func (w *world) judgeLate(id string) verdict {
	w.call(w.front[1], "GET", "/jobs/"+id, nil)
	if task, twice := afterDone(w.startsOf(id)); twice {
		w.note("TWICE: %s starts after a run of it has ended done, and that end was seen", task)
		return broken
	}
	return held
}
