package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
)

// TestBills_StopWhileLogIsDown stops a daemon with pending bills while the log
// refuses appends. The stop must end in time. Once the log is back, every bill must
// be in it, even if the daemon that took the bills over fails, restarts or stops.
func TestBills_StopWhileLogIsDown(t *testing.T) {
	const (
		runs      = 20
		stopLimit = 3 * time.Second
		backBy    = 10 * time.Second
	)
	end := func(r *rig, i int) { _ = r.daemons[i].duties.Stop(context.Background()) }
	cases := []struct {
		name  string
		after func(r *rig)
	}{
		{"new writer keeps running", func(*rig) {}},
		{"new writer fails", func(r *rig) {
			end(r, 3)
			r.kill(3)
		}},
		{"new writer restarts", func(r *rig) {
			end(r, 3)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.daemons[3].self.Incarnation = "d3-2"
		}},
		{"new writer stops", func(r *rig) {
			if err := r.daemons[3].Stop(context.Background()); err != nil {
				r.t.Errorf("second stop: %v", err)
			}
			end(r, 3)
			r.kill(3)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, rigOptions{daemons: 6, backends: 6, slots: 4, runTime: runFor(10 * time.Millisecond)})
				defer r.close()
				waitForBackends()
				r.setLog(verdict.New(verdict.NotRun, "log_down", "down"))
				var keys []string
				for range runs {
					keys = append(keys, r.daemons[0].issueKey())
					r.daemons[0].send(t.Context(), "check", "book", "Idempotency-Key", keys[len(keys)-1])
				}
				began := time.Now()
				if err := r.daemons[0].Stop(t.Context()); err != nil {
					t.Errorf("stop: %v", err)
				}
				if took := time.Since(began); took > stopLimit {
					t.Errorf("the stop took %v, want at most %v", took, stopLimit)
				}
				end(r, 0)
				r.kill(0)
				c.after(r)
				time.Sleep(backBy)
				r.setLog(nil)
				time.Sleep(backBy)
				for _, key := range keys {
					if _, ok := r.bills()[key]; !ok {
						t.Errorf("no bill of %s in the log", key)
					}
				}
			})
		})
	}
}
