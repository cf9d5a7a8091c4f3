//go:build review2

package main

import (
	"fmt"
	"time"
)

func init() { scenarios["timed"] = timed }

// supervise does what the platform does to a machine's process: it kills one that exceeds
// memory_mb, and starts one that has ended again after a short delay.
func (d *daemon) supervise() {
	for {
		d.mu.Lock()
		gone, stopped := d.gone, d.stopped
		d.mu.Unlock()
		if stopped {
			return
		}
		select {
		case <-gone:
			time.Sleep(time.Second)
			d.mu.Lock()
			stopped := d.stopped
			d.mu.Unlock()
			if stopped {
				return
			}
			d.w.must(d.start())
		case <-time.After(50 * time.Millisecond):
			if rss := d.rss(); rss > d.w.memoryMB {
				d.w.rec.add("%s uses %d MB, over memory_mb = %d: killed", d.name, rss, d.w.memoryMB)
				d.w.kills.Add(1)
				d.kill()
			}
		}
	}
}

// timed: service teams hand in submissions that run every quarter of an hour for a year;
// with TROUBLE=0 the same ones for a day.
func timed(w *world) string {
	const teams = 20
	occurrences := 4 * 24
	if w.trouble {
		occurrences *= 365
	}
	w.configure(3, []string{"bench"}, route{name: "recon", service: "bench"})
	for i := range 4 {
		w.newRunner(fmt.Sprintf("i-bench-%d", i), "bench", "r1", 32000)
	}
	w.startDaemons(3)
	w.awaitReady()
	for _, d := range w.daemons {
		go d.supervise()
	}
	time.Sleep(3 * time.Second)

	// An ordinary submission, whose second step is due in the middle.
	id := newID()
	if !w.submit("/recon/"+id, `{"spec":"40000,500","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimated_ms":40000},{"count":2,"cpu":1000,"mem_mb":100,"estimated_ms":500,"depends_on":[0]}]}`) {
		w.must(fmt.Errorf("the submission was not accepted"))
	}
	accepted := 0
	for n := range teams {
		first := time.Now().Add(time.Hour).UnixMilli()
		body := fmt.Sprintf(`{"spec":"200","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimated_ms":200}],"first_run_ms":%d,"interval_ms":900000,"repeat_count":%d}`, first, occurrences)
		if status, _ := w.logged(w.daemons[n%len(w.daemons)], "POST", "/recon/"+newID(), body); status == 200 {
			accepted++
		}
		time.Sleep(time.Second)
	}
	w.rec.add("%d timed submissions accepted; the traffic ends", accepted)
	// The first step ends 40 s after its start; finish_s is 14 s after the end of the traffic.
	time.Sleep(35 * time.Second)
	answered, state := 0, ""
	for n := range 6 {
		status, answer := w.logged(w.daemons[n%len(w.daemons)], "GET", "/recon/"+id, "")
		if status == 200 {
			answered, state = answered+1, answer
		}
		time.Sleep(time.Second)
	}
	w.rec.add("processes killed for their memory: %d", w.kills.Load())
	// The rule's words: nothing of it runs for 3 s while a task's turn has come, and there is
	// room; nothing else runs, so that the service is at rest.
	idle := w.check.atRest()
	for _, task := range []string{".0.0.0", ".0.0.1", ".0.1.0", ".0.1.1"} {
		if at, last := w.check.running(id + task); at || time.Since(last) < 3*time.Second {
			idle = false
		}
	}
	if w.kills.Load() >= 6 && state != `{"state":"completed"}` && idle {
		return fmt.Sprintf("LOST: %d timed submissions were accepted, processes went over memory_mb %d times; the ordinary submission is not done and has had nothing running for 3 s and more, on runners at rest; %d of 6 GETs for it were answered 200, state %q",
			accepted, w.kills.Load(), answered, state)
	}
	return ""
}
