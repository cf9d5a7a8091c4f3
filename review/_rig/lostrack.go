package main

import (
	"fmt"
	"strings"
	"time"
)

// firstTwoRacks makes the runners of the first two racks the only ones of kind b.
func firstTwoRacks(rack int) string {
	if rack < 2 {
		return "b"
	}
	return "a"
}

// Waiting returns the tasks of a submission that have started, are not done and have not
// run since a time, and how many of its tasks have run.
func (l *Ledger) Waiting(submission string, since time.Time) (idle, done, seen int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task, runs := range l.runs {
		if !strings.HasPrefix(task, submission) {
			continue
		}
		seen++
		finished, active := false, false
		for _, r := range runs {
			finished = finished || r.how == "done"
			active = active || r.end.IsZero() || r.end.After(since)
		}
		switch {
		case finished:
			done++
		case !active:
			idle++
		}
	}
	return idle, done, seen
}

// lostRack: one of the two racks whose runners are of a kind is lost for good. See
// review/1/claim.txt.
func lostRack(f *Fleet, trouble bool) ([]string, error) {
	const (
		rackSize  = 20
		number    = 12
		width     = 4
		runMS     = 12000
		startTime = 10 * time.Second
		crashAt   = 3 * time.Second
		finish    = 14 * time.Second
		stillness = 3 * time.Second
	)
	step := Step{Count: width, CPU: 4000, MemMB: 1024, EstimatedMS: runMS, Requirements: "b"}
	before, after := ids(1, number), ids(2, number)
	if !f.SubmitAll(before, fmt.Sprintf("ms=%d needs=b", runMS), step) || !f.AwaitRunning(number*width, startTime) {
		return nil, fmt.Errorf("the first submissions do not all run")
	}
	time.Sleep(crashAt)
	if trouble {
		f.Ledger.Note("DISRUPTION the %d runners of rack %s are lost for good", rackSize, f.Runners[0].Rack)
		for _, r := range f.Runners[:rackSize] {
			r.Crash()
		}
	}
	time.Sleep(crashAt)
	if !f.SubmitAll(after, fmt.Sprintf("ms=%d needs=b", runMS/10), step) {
		return nil, fmt.Errorf("the second submissions were not accepted")
	}
	f.Ledger.Note("the traffic has ended")
	time.Sleep(finish + runMS*time.Millisecond)
	inUse, room := 0, 0
	for _, r := range f.Runners {
		n := r.RunningCount()
		inUse += n
		if r.Kind == "b" && r.Up() {
			room += int(r.CPU)/int(step.CPU) - n
		}
	}
	f.Ledger.Note("%d tasks run on %d runners; the runners of kind b that are up have room for %d more", inUse, len(f.Runners), room)
	const coresOfRunner, twiceOver = 32, 2
	used := inUse * int(step.CPU) / 1000
	f.Ledger.Note("%d of %d cores are in use", used, coresOfRunner*len(f.Runners))
	if room < twiceOver*width || 2*used >= coresOfRunner*len(f.Runners) {
		f.Ledger.Note("excused: no room twice over, or half of the capacity is in use")
		return nil, nil
	}
	var broken []string
	for _, id := range append(before, after...) {
		state := f.State(id)
		idle, done, seen := f.Ledger.Waiting(id, time.Now().Add(-stillness))
		if waiting := idle + width - seen; waiting > 0 && done+waiting == width {
			broken = append(broken, fmt.Sprintf("LOST: %s is shown as %q; %d of its %d tasks are not done and nothing of it has run for %s, with room for %d such tasks", id, state, waiting, width, stillness, room))
		}
	}
	return broken, nil
}

// Up reports whether the runner is up.
func (n *Runner) Up() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.up
}
