package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// Guards against a refusal while servers that could run the work are idle: the queue ahead
// wants servers of one kind, all of which are busy, and the submission another kind.
func TestCore_RefusesNothingThatFreeServersCouldRun(t *testing.T) {
	for _, c := range []struct {
		name, label string
		want        Outcome
	}{
		{"the kind whose servers are free", "r1", OutcomeDone},
		{"the kind for which the queue waits", "r0", OutcomeRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 4)
			h.answerAllPolls()
			for i := range 12 {
				wide := oneTask(16000)
				wide.Count, wide.Label = 4, "r0"
				h.submit(fmt.Sprintf("%016x", i+1), wide)
				h.takeStarts()
			}
			one := oneTask(16000)
			one.Count, one.Label = 4, c.label
			if r := h.submit("00000000000000ff", one); r.Outcome != c.want {
				t.Errorf("outcome %d (%s), want %d", r.Outcome, r.Reason, c.want)
			}
		})
	}
}

// The servers are free for what is placed first, too: a submission that returns to an idle
// kind behind a queue for that kind must still be refused.
func TestCore_FreeServersAreThoseOfTheQueueAhead(t *testing.T) {
	h := newHarness(t, 4)
	h.answerAllPolls()
	h.holdStores = true // nothing starts before it is stored
	refused := false
	for i := range 16 {
		wide := oneTask(16000)
		wide.Count, wide.Label = 4, "r1"
		sub := &workload.Submission{ID: fmt.Sprintf("%016x", i+1), Queue: testQueue, Service: testService, Spec: "x", Steps: []workload.Step{wide}, Accepted: h.wall}
		h.do(func(c *Core) {
			c.Submit(sub, 0, func(r Reply) { refused = refused || r.Outcome == OutcomeRefused })
		})
	}
	if !refused {
		t.Error("64 tasks of one second are accepted for servers that hold 4, want those that begin within 4.7 s")
	}
}

// Guards against callers that are refused, return after the delay that they were given, and
// are placed behind all that came meanwhile for the first time: the more often a caller
// returned, the later it began.
func TestCore_ReturningSubmissionIsPlacedBeforeLaterOnes(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	var waiting []StartTask
	refused := ""
	for i := range 12 {
		id := fmt.Sprintf("%016x", i+1)
		if r := h.submitWide(id, 4); r.Outcome == OutcomeRefused {
			refused = id
			break
		}
		waiting = append(waiting, h.takeStarts()...)
	}
	if refused == "" {
		t.Fatal("no submission is refused")
	}
	h.advance(3 * time.Second)
	for len(waiting) > 4 {
		waiting = waiting[1:]
	}
	// All that waits has started and ended; the servers are full with the last ones.
	for range 8 {
		for _, s := range waiting {
			h.confirmStart(s)
			h.endOnServer(s)
		}
		waiting = h.takeStarts()
		if len(waiting) == 0 {
			break
		}
	}
	h.submitWide("00000000000000f0", 4) // fills the servers
	for _, s := range h.takeStarts() {
		waiting = append(waiting, s)
		h.confirmStart(s)
	}
	h.submitWide("00000000000000f1", 4) // comes for the first time
	h.advance(100 * time.Millisecond)
	if r := h.submitWide(refused, 4); r.Outcome != OutcomeDone {
		t.Fatalf("the submission is refused again: %+v", r)
	}
	h.endOnServer(waiting[len(waiting)-1])
	h.advance(time.Second)
	starts := h.takeStarts()
	if len(starts) == 0 || starts[0].Order.Task.Submission != refused {
		t.Errorf("starts %v, want one of the submission that returned, %s", starts, refused)
	}
}
