//go:build review3

package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"time"
)

// step is a step of a submission.
func step(count int, cpu int64, more map[string]any) map[string]any {
	s := map[string]any{"count": count, "cpu": cpu, "mem_mb": 256, "estimated_ms": 2000}
	for k, v := range more {
		s[k] = v
	}
	return s
}

// prepare starts n daemons beside the runners of the named services, under the first config.
func prepare(w *world, n int, services []string, routes ...map[string]any) error {
	w.configure(1, routes...)
	for _, s := range services {
		if err := w.addRunners(s, 8); err != nil {
			return err
		}
	}
	if err := w.boot(n); err != nil {
		return err
	}
	// Traffic starts 10 s after the machines.
	time.Sleep(10 * time.Second)
	return nil
}

func (w *world) cannotRun(why any) verdict {
	w.note("cannot run: %v", why)
	return notRun
}

// startsOf returns the starts of a submission.
func (w *world) startsOf(id string) []start {
	var out []start
	for _, s := range w.snapshot() {
		if strings.HasPrefix(s.task, id+".") {
			out = append(out, s)
		}
	}
	return out
}

// doneTasks counts the tasks of a step that have ended done.
func (w *world) doneTasks(stepName string) int {
	done := map[string]bool{}
	for _, s := range w.snapshot() {
		if strings.HasPrefix(s.task, stepName+".") && s.how == "done" {
			done[s.task] = true
		}
	}
	return len(done)
}

// atOnce returns the first task of which two runs work at the same time.
func atOnce(starts []start) (task string, found bool) {
	for i, a := range starts {
		for _, b := range starts[i+1:] {
			if a.task == b.task && b.at > a.at && (a.how == "" || a.endedAt > b.at) {
				return a.task, true
			}
		}
	}
	return "", false
}

// afterDone returns the first start of a task that follows a seen end done of it.
func afterDone(starts []start) (task string, found bool) {
	for _, a := range starts {
		for _, b := range starts {
			if a.task == b.task && a.how == "done" && a.seenAt > 0 && b.at > a.endedAt {
				return a.task, true
			}
		}
	}
	return "", false
}

// renamedTwice: one version of the config removes a route and adds another one, with the same
// host and path, that leads to another service. A late copy of a request that was answered
// with 200 arrives after that.
func renamedTwice(w *world, trouble bool) verdict {
	if err := prepare(w, 3, []string{"alpha", "gamma"}, route("r-old", "/jobs/", "alpha"), route("r-other", "/other/", "gamma")); err != nil {
		return w.cannotRun(err)
	}
	// The other route is in use.
	if !w.submit("/other/00000000000000b1", map[string]any{"spec": "500", "steps": []any{step(2, 1000, nil)}}) {
		return w.cannotRun("the other route doesn't serve")
	}
	const id = "00000000000000a1"
	body := map[string]any{"spec": "20000", "steps": []any{step(4, 1000, nil)}}
	if !w.submit("/jobs/"+id, body) {
		return w.cannotRun("not accepted")
	}
	if !w.await(5*time.Second, func() bool { return len(w.startsOf(id)) == 4 }) {
		return w.cannotRun("the tasks don't start")
	}
	next := []map[string]any{route("r-old", "/jobs/", "alpha"), route("r-other", "/other/", "gamma")}
	if trouble {
		next[0] = route("r-new", "/jobs/", "gamma")
	} else {
		next[0]["timeout_ms"] = 2500
	}
	w.configure(2, next...)
	time.Sleep(4 * time.Second)
	w.note("a late copy of the request arrives")
	w.call(w.front[1], http.MethodPost, "/jobs/"+id, body)
	time.Sleep(6 * time.Second)
	w.call(w.front[2], http.MethodGet, "/jobs/"+id, nil)
	starts := w.startsOf(id)
	if task, twice := atOnce(starts); twice {
		w.note("TWICE: two runs of %s at the same time, on runners that are up", task)
		return broken
	}
	w.note("%d starts of 4 tasks", len(starts))
	return held
}

// renamedLost: one version of the config removes a route and adds another one, with the same
// host, path and service. It removes a third route altogether; what becomes of that one's
// submission is noted and not judged.
func renamedLost(w *world, trouble bool) verdict {
	routes := []map[string]any{route("r-old", "/jobs/", "alpha"), route("r-other", "/other/", "alpha"), route("r-gone", "/gone/", "alpha")}
	if err := prepare(w, 3, []string{"alpha"}, routes...); err != nil {
		return w.cannotRun(err)
	}
	const id, gone, later = "00000000000000a2", "00000000000000a7", "00000000000000a3"
	body := map[string]any{"spec": "4000,1000", "steps": []any{step(4, 1000, nil), step(4, 1000, map[string]any{"depends_on": []int{0}})}}
	if !w.submit("/jobs/"+id, body) || !w.submit("/gone/"+gone, body) {
		return w.cannotRun("not accepted")
	}
	if !w.await(5*time.Second, func() bool { return len(w.startsOf(id)) == 4 && len(w.startsOf(gone)) == 4 }) {
		return w.cannotRun("the first step doesn't start")
	}
	if trouble {
		routes = []map[string]any{route("r-new", "/jobs/", "alpha"), routes[1]}
	} else {
		routes[0]["timeout_ms"] = 2500
	}
	w.configure(2, routes...)
	if !w.await(10*time.Second, func() bool { return w.doneTasks(id+".0.0") == 4 }) {
		return w.cannotRun("the first step isn't done")
	}
	w.note("all tasks of step 0 are done, the turn of step 1 has come")
	// The service has room, for the same kind of work by the same path.
	if !w.submit("/jobs/"+later, body) {
		return w.cannotRun("a later submission isn't accepted")
	}
	if !w.await(10*time.Second, func() bool { return w.doneTasks(later+".0.1") == 4 }) {
		return w.cannotRun("a later submission isn't run")
	}
	w.note("the traffic ends")
	result := w.judgeAtTheEnd(id)
	w.note("step 1 of %s, whose route is gone: %d of 4 tasks done", gone, w.doneTasks(gone+".0.1"))
	return result
}

const (
	// finish is the time from the end of the traffic until submissions are asked for, and
	// watch how long a task whose turn has come may have nothing running then.
	finish = 14 * time.Second
	watch  = 3 * time.Second
	// lookFurther is how long a submission is watched after that, for the record.
	lookFurther = 45 * time.Second
)

// judgeAtTheEnd asks for a submission finish after the end of the traffic, at each daemon that
// is up, and judges whether it has something running, or is completed, within watch of that.
func (w *world) judgeAtTheEnd(id string) verdict {
	ended := w.since()
	time.Sleep(finish)
	for _, d := range w.front {
		if d.process.ProcessState == nil {
			w.call(d, http.MethodGet, "/jobs/"+id, nil)
		}
	}
	goesOn := func() bool { return w.works(id) || w.completed(id) }
	if w.await(watch, goesOn) {
		w.note("%s goes on", id)
		return held
	}
	w.note("LOST: from %.1f to %.1f s after the end of the traffic nothing of %s runs while a task's turn has come and the runners have room", finish.Seconds(), (w.since() - ended).Seconds(), id)
	if w.await(lookFurther, goesOn) {
		w.note("a task of %s runs %.1f s after the end of the traffic", id, (w.since() - ended).Seconds())
	} else {
		w.note("nothing of %s has run %.1f s after the end of the traffic", id, (w.since() - ended).Seconds())
	}
	return broken
}

// completed reports whether a daemon shows a submission as completed.
func (w *world) completed(id string) bool {
	for _, d := range w.front {
		if d.process.ProcessState == nil {
			_, text := w.do(clientTimeout, http.MethodGet, "http://"+d.frontend+"/jobs/"+id, host, nil)
			return strings.Contains(text, "completed")
		}
	}
	return false
}

const (
	// checkpointBytes is the length of the checkpoint of one task. No page bounds it.
	checkpointBytes = 300_000
	// checkpointInterval is checkpoint_interval_s.
	checkpointInterval = 2 * time.Second
)

// largeCheckpoint: one task saves a large checkpoint. The daemon that holds the partition is
// killed, and is back after half a second.
func largeCheckpoint(w *world, trouble bool) verdict {
	w.configure(1, route("r-1", "/jobs/", "alpha"))
	const id = "00000000000000a4"
	for i := range 8 {
		r, err := newRunner(w, i, "alpha")
		if err != nil {
			return w.cannotRun(err)
		}
		r.mu.Lock()
		r.checkpoint = func(task string, since time.Duration) string {
			n := int(since / checkpointInterval)
			if !strings.HasPrefix(task, id+".0.1.") || n == 0 {
				return ""
			}
			return strings.Repeat(fmt.Sprintf("%016x", n), checkpointBytes/16)
		}
		r.mu.Unlock()
	}
	if err := w.boot(3); err != nil {
		return w.cannotRun(err)
	}
	time.Sleep(10 * time.Second)
	body := map[string]any{"spec": "4000,25000", "steps": []any{step(4, 1000, nil), step(1, 1000, map[string]any{"checkpointing": true})}}
	if !w.submit("/jobs/"+id, body) {
		return w.cannotRun("not accepted")
	}
	if !w.await(10*time.Second, func() bool { return w.seenDone(id+".0.0") == 4 }) {
		return w.cannotRun("the first step isn't done")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		holder := w.store.holderOf(partitionOf("alpha"))
		for _, d := range w.front {
			if d.peer == holder {
				w.kill(d)
				time.Sleep(500 * time.Millisecond)
				if err := w.start(d); err != nil {
					return w.cannotRun(err)
				}
			}
		}
	}
	w.await(40*time.Second, func() bool { return w.doneTasks(id+".0.1") == 1 })
	time.Sleep(time.Second)
	w.call(w.front[1], http.MethodGet, "/jobs/"+id, nil)
	if task, twice := afterDone(w.startsOf(id)); twice {
		w.note("TWICE: %s starts after a run of it has ended done, and that end was seen", task)
		return broken
	}
	return held
}

// seenDone counts the tasks of a step whose ends done were taken note of.
func (w *world) seenDone(stepName string) int {
	n := 0
	for _, s := range w.snapshot() {
		if strings.HasPrefix(s.task, stepName+".") && s.how == "done" && s.seenAt > 0 {
			n++
		}
	}
	return n
}

// lostMachines is how many of the five machines lostMajority loses.
const lostMachines = 3

// lostMajority: three of five machines are lost for good, with the one that holds the
// partition, and a runner with them.
func lostMajority(w *world, trouble bool) verdict {
	w.configure(1, route("r-1", "/jobs/", "alpha"))
	runners := make(map[string]*runner)
	for i := range 8 {
		r, err := newRunner(w, i, "alpha")
		if err != nil {
			return w.cannotRun(err)
		}
		runners[r.id] = r
	}
	if err := w.boot(5); err != nil {
		return w.cannotRun(err)
	}
	time.Sleep(10 * time.Second)
	const id = "00000000000000a5"
	if !w.submit("/jobs/"+id, map[string]any{"spec": "60000", "steps": []any{step(2, 1000, nil)}}) {
		return w.cannotRun("not accepted")
	}
	if !w.await(5*time.Second, func() bool { return len(w.startsOf(id)) == 2 }) {
		return w.cannotRun("the tasks don't start")
	}
	time.Sleep(5 * time.Second)
	if trouble {
		holder := w.store.holderOf(partitionOf("alpha"))
		others := lostMachines - 1
		for _, d := range w.front {
			if d.peer == holder {
				w.kill(d)
			} else if others > 0 {
				w.kill(d)
				others--
			}
		}
		for _, s := range w.startsOf(id) {
			runners[s.runner].leave()
		}
	}
	w.note("the traffic ends")
	return w.judgeAtTheEnd(id)
}

// works reports whether a run of a submission is under way on a runner that is up.
func (w *world) works(id string) bool {
	for _, s := range w.startsOf(id) {
		if s.how == "" {
			return true
		}
	}
	return false
}

// partitionOf returns the partition of a service's only shard.
func partitionOf(service string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service))
	return int(h.Sum32() % storeParts)
}
