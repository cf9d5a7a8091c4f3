//go:build review2

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["burst"] = burst }

// burst: requesters press with 2.2 times the usual traffic for 4 s, several times, while the
// store is slow.
func burst(w *world) string {
	const (
		runners = 4
		slots   = 6
		// usual is the number of submissions a second; 20 of the 24 places are in use.
		usual  = 100.0
		factor = 2.2
		// slower is how many times as long the store's answers take meanwhile.
		slower  = 60
		period  = 6 * time.Second
		length  = 4 * time.Second
		traffic = 96 * time.Second
		step    = 5 * time.Millisecond
		body    = `{"spec":"200","steps":[{"count":1,"cpu":1000,"mem_mb":10,"estimated_ms":200}]}`
	)
	w.configure(3, []string{"bench"}, route{name: "recon", service: "bench", targetMS: 30000})
	for i := range runners {
		w.newRunner(fmt.Sprintf("i-bench-%d", i), "bench", "r1", 1000*slots)
	}
	w.startDaemons(3)
	w.awaitReady()
	time.Sleep(3 * time.Second)

	var wg sync.WaitGroup
	var accepted, refused atomic.Int64
	began, sent, owed := time.Now(), 0, 0.0
	for last := began; time.Since(began) < traffic; {
		time.Sleep(step)
		rate := usual
		if w.trouble && time.Since(began)%period >= period-length {
			rate *= factor
			w.store.slow.Store(slower)
		} else {
			w.store.slow.Store(1)
		}
		now := time.Now()
		owed += rate * now.Sub(last).Seconds()
		last = now
		for ; owed >= 1; owed-- {
			sent++
			d := w.daemons[sent%len(w.daemons)]
			wg.Go(func() {
				id := newID()
				status, _ := w.call(d, "POST", "/recon/"+id, body)
				w.rec.add("POST    %s at %s -> %d", id, d.name, status)
				if status == 200 {
					accepted.Add(1)
				} else {
					refused.Add(1)
				}
			})
		}
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	started, done, twice := w.check.counts()
	w.rec.add("%d submissions accepted, %d not; %d runs started, %d ended done; TWICE %d times", accepted.Load(), refused.Load(), started, done, len(twice))
	if len(twice) > 0 {
		return fmt.Sprintf("TWICE: %d times among %d runs, first %s", len(twice), started, twice[0])
	}
	return ""
}
