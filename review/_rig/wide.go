package main

import (
	"fmt"
	"net/http"
	"time"
)

// wide: a submission has more checkpoints than fit in one record of the store. See
// review/REPORT.md: it is a trial, not a case.
func wide(f *Fleet, trouble bool) ([]string, error) {
	const (
		width     = 12000
		ordinary  = 12
		ackTime   = 5 * time.Second
		startTime = 30 * time.Second
		endTime   = 40 * time.Second
	)
	others := ids(1, ordinary)
	if !f.SubmitAll(others, "ms=110000", Step{Count: 1, CPU: 500, MemMB: 64, EstimatedMS: 110000}) {
		return nil, fmt.Errorf("the ordinary submissions were not accepted")
	}
	spec := "saves ms=15000"
	if !trouble {
		spec = "ms=15000"
	}
	large := ids(2, 1)
	step := Step{Count: width, CPU: 20, MemMB: 16, EstimatedMS: 15000, Checkpoints: trouble}
	if !f.SubmitAll(large, spec, step) || !f.AwaitRunning(width+ordinary, startTime) {
		return nil, fmt.Errorf("the tasks of the large submission do not all run")
	}
	f.Ledger.Note("all tasks run")
	if !f.AwaitDone(large, width, endTime) {
		return nil, fmt.Errorf("the tasks of the large submission were not done")
	}
	f.Ledger.Note("all tasks of the large submission are done")
	time.Sleep(ackTime)
	acked := make(chan bool, ordinary)
	for _, id := range others {
		go func() { acked <- f.Cancel(id, ackTime) }()
	}
	missing := 0
	for range others {
		if !<-acked {
			missing++
		}
	}
	f.State(large[0])
	f.Submit(ids(3, 1)[0], "ms=300", Step{Count: 1, CPU: 500, MemMB: 64, EstimatedMS: 300})
	listed, unnoted := f.Ledger.Ends()
	f.Ledger.Note("%d of %d cancels have no ack after %s; %d of %d ends are not taken note of", missing, ordinary, ackTime, unnoted, listed)
	var broken []string
	if missing >= 3 && missing*10 > ordinary {
		broken = append(broken, fmt.Sprintf("Acks: %d of %d cancels have no 2xx or 410 after %s", missing, ordinary, ackTime))
	}
	if unnoted*5 > listed {
		broken = append(broken, fmt.Sprintf("Acks: %d of %d ends that runners list are not taken note of", unnoted, listed))
	}
	return broken, nil
}

// Cancel cancels a submission, with retries until the time is over, and reports
// whether that was acknowledged.
func (f *Fleet) Cancel(id string, within time.Duration) bool {
	until := time.Now().Add(within)
	for n := 0; time.Now().Before(until); n++ {
		d := f.Daemons[n%len(f.Daemons)]
		status, text, err := f.Call(d, http.MethodDelete, id, nil)
		f.Ledger.Note("request DELETE %s at %s: %d %s %v", id, d.Name, status, text, err)
		if status >= 200 && status < 300 || status == http.StatusGone {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
