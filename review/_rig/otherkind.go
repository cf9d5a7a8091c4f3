package main

import (
	"fmt"
	"time"
)

// otherKind: runners crash and are back under their ids as runners of another kind.
// It is a trial, not a case: see review/REPORT.md.
func otherKind(f *Fleet, trouble bool) ([]string, error) {
	const (
		width     = 30
		number    = 24
		runMS     = 2500
		cuts      = 3
		cutFor    = 5 * time.Second
		cutEvery  = 9 * time.Second
		crashTime = 100 * time.Millisecond
		awayFor   = 2100 * time.Millisecond
		firstCut  = 2 * time.Second
	)
	step := Step{Count: width, CPU: 8000, MemMB: 1024, EstimatedMS: runMS, Requirements: "a"}
	plain := Step{Count: 2, CPU: 1000, MemMB: 1024, EstimatedMS: 300}
	if !f.SubmitAll(ids(1, 1), "ms=300", plain) {
		return nil, fmt.Errorf("the first submission was not accepted")
	}
	if !f.SubmitAll(ids(2, number), fmt.Sprintf("ms=%d needs=a", runMS), step) {
		return nil, fmt.Errorf("the submissions were not accepted")
	}
	time.Sleep(firstCut)
	for n := range cuts {
		next := time.Now().Add(cutEvery)
		if trouble {
			if err := f.rebornBehindCut(f.Runners[n], "b", cutFor, crashTime, awayFor); err != nil {
				return nil, err
			}
		}
		time.Sleep(time.Until(next))
	}
	var broken []string
	untold := 0
	for _, r := range f.Runners {
		r.mu.Lock()
		for _, m := range r.misplaced {
			if !m.told {
				untold++
				continue
			}
			broken = append(broken, fmt.Sprintf("ROUTE: %s needs a runner of kind a and started at %.3f on %s boot %d of kind %s", m.task, f.Ledger.at(m.at), r.ID, m.boot, m.kind))
		}
		r.mu.Unlock()
	}
	f.Ledger.Note("%d starts on runners of another kind, and %d before these had listed their runs", len(broken), untold)
	return broken, nil
}

// rebornBehindCut cuts a runner off from the store, just after it has written its entry.
// It crashes behind the cut and is back under its id as a runner of another kind.
func (f *Fleet) rebornBehindCut(r *Runner, kind string, cutFor, crashTime, awayFor time.Duration) error {
	for written := r.Written(); r.Written() == written; {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	f.Ledger.Note("DISRUPTION %s is cut off from the store", r)
	r.SetCutFromStore(true)
	time.Sleep(crashTime)
	f.Ledger.Note("DISRUPTION %s crashes", r)
	r.Crash()
	time.Sleep(awayFor)
	r.Kind = kind
	f.Ledger.Note("DISRUPTION %s is back under its id, as kind %s", r, kind)
	if err := r.Start(); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(cutFor)))
	r.SetCutFromStore(false)
	f.Ledger.Note("DISRUPTION %s reaches the store", r)
	return nil
}
