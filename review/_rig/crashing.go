package main

import (
	"fmt"
	"strings"
	"time"
)

// stoppedTask is a span in which a task that lasts did not run.
type stoppedTask struct {
	task     string
	from, to time.Time
}

// StoppedFor returns the spans of more than a given length in which a task of the
// submissions did not run after its first run, up to a time.
func (l *Ledger) StoppedFor(submissions []string, longest time.Duration, until time.Time) []stoppedTask {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []stoppedTask
	for task, runs := range l.runs {
		if !containsPrefix(submissions, task) {
			continue
		}
		for i, r := range runs {
			if r.end.IsZero() {
				continue
			}
			next := until
			if i+1 < len(runs) {
				next = runs[i+1].start
			}
			if next.Sub(r.end) > longest {
				out = append(out, stoppedTask{task, r.end, next})
			}
		}
	}
	return out
}

func containsPrefix(prefixes []string, text string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(text, p) {
			return true
		}
	}
	return false
}

// crashing: the tasks of four of 48 lasting submissions fail soon after each start,
// and those of 24 others fail once. It is a trial, not a case: see review/REPORT.md.
func crashing(f *Fleet, trouble bool) ([]string, error) {
	const (
		sound     = 20
		bystander = 24
		failing   = 4
		width     = 8
		failAfter = 1500
		onceFirst = 30000
		onceEvery = 1500
		startTime = 15 * time.Second
		watched   = 80 * time.Second
		longest   = 9 * time.Second
	)
	step := Step{Count: width, CPU: 250, MemMB: 256, EstimatedMS: 1000, LongRunning: true, AntiAffinity: 1}
	single := step
	single.Count = 1
	good, once, bad := ids(1, sound), ids(2, bystander), ids(3, failing)
	if !f.SubmitAll(good, "ms=0", step) {
		return nil, fmt.Errorf("the sound submissions were not accepted")
	}
	for n, id := range once {
		if !f.Submit(id, fmt.Sprintf("once ms=%d", onceFirst+n*onceEvery), single) {
			return nil, fmt.Errorf("the sound submissions were not accepted")
		}
	}
	if !f.AwaitRunning(sound*width+bystander, startTime) {
		return nil, fmt.Errorf("the sound submissions do not all run")
	}
	f.Ledger.Note("all tasks of the sound submissions run")
	spec := "ms=0"
	if trouble {
		spec = fmt.Sprintf("fails ms=%d", failAfter)
		f.Ledger.Note("DISRUPTION the tasks of %d submissions fail %d ms after each start", failing, failAfter)
	}
	if !f.SubmitAll(bad, spec, step) {
		return nil, fmt.Errorf("the other submissions were not accepted")
	}
	time.Sleep(watched)
	var broken []string
	now := time.Now()
	for _, ids := range [][]string{once, bad} {
		for _, s := range f.Ledger.StoppedFor(ids, longest, now) {
			broken = append(broken, fmt.Sprintf("LOST: %s did not run from %.3f to %.3f, with room for it on every runner", s.task, f.Ledger.at(s.from), f.Ledger.at(s.to)))
		}
	}
	f.Ledger.Note("%d of %d tasks that failed once were stopped for over %s", len(f.Ledger.StoppedFor(once, longest, now)), bystander, longest)
	return broken, nil
}
