//go:build review2

package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

func init() { scenarios["lasting-task"] = lastingTask }

// lastingTask: one of eight runners is lost for good, and with it the only task of a
// submission that lasts, while ordinary submissions of the same queue keep the service
// full at an unchanged rate.
func lastingTask(w *world) string {
	const (
		others   = 7
		slots    = 4
		each     = 50 * time.Millisecond
		crashAt  = 15 * time.Second
		traffic  = 55 * time.Second
		ordinary = `{"spec":"1500","steps":[{"count":1,"cpu":2000,"mem_mb":100,"estimated_ms":1500}]}`
	)
	w.configure(3, []string{"bench"}, route{name: "recon", service: "bench"})
	first := w.newRunner("i-bench-0", "bench", "r1", 2000*slots)
	w.startDaemons(3)
	w.awaitReady()
	time.Sleep(3 * time.Second)
	id := newID()
	task := id + ".0.0.0"
	if !w.submit("/recon/"+id, `{"spec":"last","steps":[{"count":1,"cpu":2000,"mem_mb":100,"long_running":true}]}`) {
		w.must(fmt.Errorf("the submission was not accepted"))
	}
	for until := time.Now().Add(5 * time.Second); !first.at(task); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			w.must(fmt.Errorf("the task that lasts was not started"))
		}
	}
	for i := range others {
		w.newRunner(fmt.Sprintf("i-bench-%d", i+1), "bench", "r1", 2000*slots)
	}
	time.Sleep(2 * time.Second)

	// 20 ordinary submissions a second, of one task of 2 cores and 1.5 s: 30 of the 32
	// places, of which the task that lasts takes one. Without the lost runner 28 are left.
	var accepted, refused atomic.Int64
	began, crashed := time.Now(), time.Time{}
	var longest time.Duration
	for n := 0; time.Since(began) < traffic; n++ {
		if w.trouble && crashed.IsZero() && time.Since(began) > crashAt {
			first.crash()
			crashed = time.Now()
		}
		d := w.daemons[n%len(w.daemons)]
		go func() {
			if status, _ := w.logged(d, "POST", "/recon/"+newID(), ordinary); status == 200 {
				accepted.Add(1)
			} else {
				refused.Add(1)
			}
		}()
		time.Sleep(each)
		if at, last := w.check.running(task); !at {
			longest = max(longest, time.Since(last))
		}
	}
	status, state := w.logged(w.daemons[0], "GET", "/recon/"+id, "")
	w.rec.add("%d ordinary submissions accepted, %d not; the task that lasts was away for %.1f s at most; its submission: %d %s",
		accepted.Load(), refused.Load(), longest.Seconds(), status, state)
	// 6 s after its last run, 4 s and 3 s that are calm.
	if longest > 13*time.Second {
		return fmt.Sprintf("LOST: for %.1f s after its runner was lost the task that lasts was not at work again, while %d ordinary submissions were accepted in all and their tasks started", longest.Seconds(), accepted.Load())
	}
	return ""
}
