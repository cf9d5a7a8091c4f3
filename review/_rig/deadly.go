package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// deadly: a task crashes each runner that starts it, which falls silent, and the daemon
// that ordered the start is killed soon after each of the first crashes. It is a trial,
// not a case: see review/REPORT.md.
func deadly(f *Fleet, trouble bool) ([]string, error) {
	const (
		kills     = 2
		killAfter = 700 * time.Millisecond
		crashTime = 20 * time.Millisecond
		awayFor   = 2500 * time.Millisecond
		ownerAway = 3 * time.Second
		watched   = 60 * time.Second
		mostExtra = 3
		id        = "5c0e7a21deadbeef"
	)
	var mu sync.Mutex
	crashes := 0
	for _, r := range f.Runners {
		r.onDeadly = func() {
			time.Sleep(crashTime)
			mu.Lock()
			defer mu.Unlock()
			crashes++
			f.Ledger.Note("DISRUPTION crash %d, of %s", crashes, r)
			r.SetSilent(true)
			if crashes <= kills {
				time.Sleep(killAfter)
			}
			if owner := f.Owner(); trouble && crashes <= kills && owner != nil {
				owner.Signal(syscall.SIGKILL)
				owner.AwaitEnd(time.Second)
				time.AfterFunc(ownerAway, func() { _ = owner.Start() })
			}
			r.Crash()
			time.AfterFunc(awayFor, func() { _ = r.Start() })
		}
	}
	if !f.Submit(id, "deadly ms=5000", Step{Count: 1, CPU: 1000, MemMB: 64, EstimatedMS: 1000}) {
		return nil, fmt.Errorf("the submission was not accepted")
	}
	time.Sleep(watched)
	state := f.State(id)
	starts := f.Ledger.StartsOf(id + ".0.0.0")
	f.Ledger.Note("%d starts, state %q", starts, state)
	const afterThree = 3
	if extra := starts - afterThree; extra >= mostExtra {
		return []string{fmt.Sprintf("BUDGET: %s was started %d times after three runners had crashed under it", id, extra)}, nil
	}
	return nil, nil
}
