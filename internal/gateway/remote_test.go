package gateway_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestSlots_OnlyServerOfRegionLeaves stops the only backend server of a region. Calls
// to the region's daemons must run in another region within 2 s of the first sign
// that it is leaving.
func TestSlots_OnlyServerOfRegionLeaves(t *testing.T) {
	const (
		within = 2 * time.Second
		// listReadTime is the time after which the daemons have read the list.
		listReadTime = 300 * time.Millisecond
	)
	cases := []struct {
		name  string
		leave func(r *rig)
		busy  int
	}{
		{"by the list", func(r *rig) { r.markLeaving("b0") }, 0},
		{"by its own status", func(r *rig) { r.backends["b0"].MarkLeaving(time.Now()) }, 0},
		{"while the other regions are busy", func(r *rig) { r.markLeaving("b0") }, 12},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, rigOptions{daemons: 9, backends: 3, slots: 8, runTime: runFor(20 * time.Millisecond)})
				defer r.close()
				waitForBackends()
				load := &loadGenerator{rig: r, responses: map[string]int{}, skip: map[int]bool{0: true, 3: true, 6: true}}
				load.start(t.Context(), c.busy, 6*time.Second)
				time.Sleep(time.Second)
				c.leave(r)
				left := time.Now()
				time.Sleep(listReadTime)
				var asks sync.WaitGroup
				for _, d := range []int{0, 3, 6} {
					asks.Go(func() {
						p := r.daemons[d].send(t.Context(), "review", "look")
						if took := time.Since(left); p.verdict() != "ran" || took > within {
							t.Errorf("daemon %d: %s %s after %v, want ran within %v", d, p.verdict(), p.reason(), took, within)
						} else {
							t.Logf("daemon %d: ran after %v", d, took)
						}
					})
				}
				asks.Wait()
				load.calls.Wait()
				r.checkSlots()
			})
		})
	}
}
