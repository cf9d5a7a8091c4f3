//go:build review3

package main

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"
)

const (
	// manyRunners is a fleet of two shards: a shard has up to 384 runners.
	manyRunners  = 400
	runnersARack = 20
	// lostRackTime is how long the submissions are watched after the loss of a rack.
	lostRackTime = 45 * time.Second
	// lostRackStart is when the tasks that last must be at work again: the entries of the
	// lost runners are removed after 4.5 s, then 4 s and 3 s are calm.
	lostRackStart = 12 * time.Second
)

// splitLasting: a rack is lost for good. Tasks of two steps of one submission last; those of
// one step need a label that only that rack and one other one have.
func splitLasting(w *world, trouble bool) verdict {
	w.configure(1, route("r-1", "/jobs/", "alpha"))
	w.rackSize = runnersARack
	w.kindOf = func(number int) string {
		if number < 2*runnersARack {
			return "b"
		}
		return "a"
	}
	runners := make(map[string]*runner, manyRunners)
	for i := range manyRunners {
		r, err := newRunner(w, i, "alpha")
		if err != nil {
			return w.cannotRun(err)
		}
		runners[r.id] = r
	}
	if err := w.boot(3); err != nil {
		return w.cannotRun(err)
	}
	time.Sleep(10 * time.Second)
	ids := sameShard(2)
	lasts := func(kind string) map[string]any {
		return step(2, 1000, map[string]any{"long_running": true, "requirements": kind})
	}
	split, whole := ids[0], ids[1]
	if !w.submit("/jobs/"+split, map[string]any{"spec": "3600000", "steps": []any{lasts("a"), lasts("b")}}) ||
		!w.submit("/jobs/"+whole, map[string]any{"spec": "3600000", "steps": []any{lasts("b")}}) {
		return w.cannotRun("not accepted")
	}
	if !w.await(10*time.Second, func() bool { return len(w.startsOf(split)) == 4 && len(w.startsOf(whole)) == 2 }) {
		return w.cannotRun("the tasks don't start")
	}
	rack := ""
	for _, s := range append(w.startsOf(split), w.startsOf(whole)...) {
		if r := runners[s.runner]; r.kind == "b" {
			if rack != "" && r.rack != rack {
				return w.cannotRun("the tasks don't run in one rack")
			}
			rack = r.rack
		}
	}
	time.Sleep(3 * time.Second)
	lost := w.since()
	if trouble {
		w.note("the rack %s is lost for good, %d of %d runners", rack, runnersARack, manyRunners)
		for _, r := range runners {
			if r.rack == rack {
				r.leave()
			}
		}
	}
	time.Sleep(lostRackTime)
	w.call(w.front[1], "GET", "/jobs/"+split, nil)
	w.call(w.front[1], "GET", "/jobs/"+whole, nil)
	w.noteStep("the step 0 of "+split, split+".0.0", lost)
	w.noteStep("the only step of "+whole, whole+".0.0", lost)
	w.noteStep("the step 1 of "+split, split+".0.1", lost)
	if w.working(split+".0.1") == 2 {
		return held
	}
	for _, s := range w.startsOf(split) {
		if s.at > lost {
			return w.cannotRun("a task was started after the loss and has ended")
		}
	}
	w.note("LOST: tasks of %s.0.1 don't run from %.1f s to %.1f s after the loss, while the 20 runners of the other rack with their label have room for them", split, lostRackStart.Seconds(), (w.since() - lost).Seconds())
	return broken
}

// noteStep notes how many tasks of a step with two tasks run, and the last start since a time.
func (w *world) noteStep(what, step string, since time.Duration) {
	at := "none"
	for _, s := range w.snapshot() {
		if strings.HasPrefix(s.task, step+".") && s.at > since {
			at = fmt.Sprintf("%.1f s after the loss", (s.at - since).Seconds())
		}
	}
	w.note("of %s %d of 2 tasks run; the last start since the loss: %s", what, w.working(step), at)
}

// working counts the runs of a step that are under way.
func (w *world) working(step string) int {
	n := 0
	for _, s := range w.snapshot() {
		if strings.HasPrefix(s.task, step+".") && s.how == "" {
			n++
		}
	}
	return n
}

// sameShard returns n identifiers of submissions of the first of two shards.
func sameShard(n int) []string {
	var out []string
	for i := 1; len(out) < n; i++ {
		id := fmt.Sprintf("%016x", 0xd00+i)
		h := fnv.New32a()
		_, _ = h.Write([]byte(id))
		if h.Sum32()%2 == 0 {
			out = append(out, id)
		}
	}
	return out
}
