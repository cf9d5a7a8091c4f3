package scheduler

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// An owner that reaches a majority of its witnesses, but neither the log nor a server, counts
// the lease that it sent last to that server. A later owner, which reaches the server and none
// of those witnesses, extends the lease meanwhile. The earlier one must not start the task on a
// server that the later one has not told: the first run goes on.
func TestTenure_TaskDoesNotStartWhileALaterOwnerRenewsItsRun(t *testing.T) {
	for _, tt := range []struct {
		name   string
		events []tenureEvent
	}{
		{"the first owner has started it", []tenureEvent{
			logAway(0), serverCut(0, 0), peerCut(0, 1), serverCut(1, 1), cutOff(1), nothing, logAway(1), nothing, claimBy(1),
		}},
		{"the second owner has inherited it", []tenureEvent{
			cutOff(0), serverCut(0, 1), serverCut(1, 0), serverCut(2, 0), claimBy(1), logAway(1), nothing, logAway(0), nothing, claimBy(0),
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newTenureWorld(t, 1, false, tenureFaults{})
			for _, e := range tt.events {
				w.apply(e)
				if e.name == nothing.name {
					w.run(tenureSlot)
				}
			}
			w.run(settleTime)
			if w.breach != "" || w.besideLater != "" {
				t.Errorf("after %s:\n  %s", w.now.Sub(time.Unix(1_700_000_000, 0)), strings.Join(w.trace, "\n  "))
			}
		})
	}
}

// Guards against an owner that takes a run for lost while a later owner keeps it up: each of
// the two reaches one server alone.
func TestTenureExplore_NoStartBesideALaterOwner(t *testing.T) {
	var found atomic.Int64
	playAllSequences(t, splitBegins, func(t *testing.T, w *tenureWorld, number int) {
		if w.besideLater != "" && found.Add(1) == 1 {
			t.Errorf("sequence %d:\n  %s", number, strings.Join(w.trace, "\n  "))
		}
	})
	t.Logf("%d sequences with two runs at once", found.Load())
}
