package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// workPerTask returns the placement work for each placed task of a full service behind a queue
// of so many submissions.
func workPerTask(t *testing.T, queued int) float64 {
	w := newPeakWorld(t, peakCosts{pass: 5 * time.Millisecond})
	w.closed = true
	w.fill(queued)
	w.run(4 * time.Second)
	before := w.h.core.placement.total
	w.run(2 * time.Second)
	after := w.h.core.placement.total
	placed := after.placed - before.placed
	if placed == 0 {
		t.Fatalf("nothing placed in 2 s behind %d submissions", queued)
	}
	return float64(stepWork*(after.steps-before.steps)+serverWork*(after.servers-before.servers))/float64(placed) + startWork
}

// Each pass looked at all servers for each queued step, so that a placed task cost ten times
// as much behind a queue ten times as long.
func TestPlacement_WorkDoesNotGrowWithTheQueue(t *testing.T) {
	short, long := workPerTask(t, 1_000), workPerTask(t, 10_000)
	if t.Logf("%.0f and %.0f units of work for each task", short, long); long > 1.3*short {
		t.Errorf("%.0f units of work for each task behind 10,000 submissions and %.0f behind 1,000, want under 1.3 times", long, short)
	}
}

// A pass examines only the steps that something has changed for. If a change wakes no step, a
// task waits beside capacity that it may use. A look at all steps but gangs, whose plans are
// renewed at intervals, must place nothing.
func TestPlacement_NoStepMissesWhatItWaitsFor(t *testing.T) {
	for _, queued := range []int{300, 2_000, 3_000} {
		w := newPeakWorld(t, peakCosts{})
		if queued == 2_000 {
			w.addTenants()
		}
		w.closed = true
		w.fill(queued)
		looks := 0
		for range 60 {
			w.run(50*time.Millisecond + time.Duration(w.rng.IntN(10))*time.Millisecond)
			c := w.h.core
			for n := 0; c.PlacementPending() && n < 100; n++ {
				c.SetStartRoom(1000)
				w.carryOut(c.Finish(true))
			}
			for _, st := range c.queued {
				if !st.spec.Gang {
					c.wake(st)
				}
			}
			c.placementNeeded = true
			c.SetStartRoom(1000)
			missed := 0
			for c.PlacementPending() {
				actions := c.Finish(true)
				for _, a := range actions {
					if start, ok := a.(StartTask); ok && !c.task(c.jobs[start.Order.Task.Submission], start.Order.Task).step.spec.Gang {
						missed++
					}
				}
				w.carryOut(actions)
			}
			looks++
			if missed > 0 {
				t.Fatalf("%d submissions, look %d: %d tasks could have started before", queued, looks, missed)
			}
		}
	}
}

// The end of a run frees capacity for one of thousands of queued steps. Its placement must not
// wait for a look at all of them.
func TestPlacement_EndOfRunIsFollowedByPlacementAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.config.Queues[0].TargetLatency = time.Hour
	h.do(func(c *Core) { c.Configure(h.config) })
	h.answerAllPolls()
	start := h.runOne(id1, 32000)
	h.fillQueue(5000)
	h.do(func(*Core) {})
	for h.core.PlacementPending() {
		h.finish()
	}
	before := h.core.placement.total
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})
	if n := len(h.takeStarts()); n == 0 {
		t.Error("nothing started after the end of the run")
	}
	if n := h.core.placement.total.steps - before.steps; n > 100 {
		t.Errorf("%d steps examined after the end of one run, want at most 100", n)
	}
}

// A pass that examined thousands of steps at once held up polls and answers. It must end after
// its work and go on with the next one.
func TestPlacement_PassIsBoundedAndResumes(t *testing.T) {
	h := newHarness(t, 100)
	h.answerAllPolls()
	h.fillQueue(5000)
	h.core.SetTime(h.now, h.wall)
	passes, started := 0, 0
	for h.core.placementNeeded = true; h.core.PlacementPending(); passes++ {
		if passes == 10_000 {
			t.Fatal("placement does not end")
		}
		before := h.core.placement.total
		h.finish()
		after := h.core.placement.total
		n := len(h.takeStarts())
		started += n
		work := stepWork*(after.steps-before.steps) + serverWork*(after.servers-before.servers) + startWork*n
		// One step of at most four tasks may begin at the end of the pass's work.
		if most := maxPassWork + stepWork + serverWork*5*100 + 4*startWork; work > most {
			t.Errorf("a pass of %d units of work, want at most %d", work, most)
		}
	}
	if passes < 2 || started < 100 {
		t.Errorf("%d passes, %d tasks started, want several passes that fill 100 servers", passes, started)
	}
}
