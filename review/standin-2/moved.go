//go:build review2

package main

import (
	"fmt"
	"time"
)

func init() { scenarios["moved-queue"] = movedQueue }

// movedQueue: a version of the config leads a queue to another service while an accepted
// submission of it waits for its second step.
func movedQueue(w *world) string {
	w.configure(3, []string{"bench", "annex"}, route{name: "recon", service: "bench"})
	for i := range 2 {
		w.newRunner(fmt.Sprintf("i-bench-%d", i), "bench", "r1", 32000)
		w.newRunner(fmt.Sprintf("i-annex-%d", i), "annex", "r2", 32000)
	}
	w.startDaemons(3)
	w.awaitReady()
	time.Sleep(4 * time.Second)
	id := newID()
	path := "/recon/" + id
	if !w.submit(path, `{"spec":"4000,500","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimated_ms":4000},{"count":2,"cpu":1000,"mem_mb":100,"estimated_ms":500,"depends_on":[0]}]}`) {
		w.must(fmt.Errorf("the submission was not accepted"))
	}
	acked := time.Now()
	time.Sleep(time.Second)
	if w.trouble {
		w.configure(11, []string{"bench", "annex"}, route{name: "recon", service: "annex"})
	} else {
		w.configure(11, []string{"bench", "annex"}, route{name: "recon", service: "bench"})
	}
	// visible_ms after the ack, config_apply_ms after the version: whichever is later.
	time.Sleep(time.Until(acked.Add(6 * time.Second)))
	gone, state := 0, ""
	for n := range 12 {
		status, answer := w.logged(w.daemons[n%3], "GET", path, "")
		if status == 410 {
			gone++
		}
		state = answer
		time.Sleep(1500 * time.Millisecond)
	}
	started, done, _ := w.check.counts()
	w.rec.add("of 4 tasks %d were started and %d ended done", started, done)
	if gone > 0 {
		return fmt.Sprintf("LOST: %d of 12 GETs for an accepted submission that nobody has cancelled were answered 410 (%s); %d of its 4 tasks have run", gone, state, done)
	}
	return ""
}
