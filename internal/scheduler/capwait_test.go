package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// A tenant at its cap with thousands of queued steps must not cost a look at each of them
// whenever something ends, and its next task must start as soon as one of its runs ends. The
// work of another tenant must start meanwhile.
func TestCapQueue_NextTaskStartsAtOnceAndTheOthersCostNothing(t *testing.T) {
	h := newHarness(t, 4)
	h.config.Queues[0].TargetLatency = time.Hour
	h.answerAllPolls()
	h.setTenants(capped("a", 8000), capped("b", 0))
	for i := range 3000 {
		step := oneTask(4000)
		sub := &workload.Submission{ID: fmt.Sprintf("%016x", i+4096), Queue: testQueue, Service: testService, Spec: "x", Steps: []workload.Step{step}, Accepted: h.wall, Tenant: "a"}
		j := newJob(sub, h.now)
		j.stored = true
		h.core.assignQueue(j)
		h.core.jobs[sub.ID] = j
		h.core.schedule(j)
	}
	for h.do(func(*Core) {}); h.core.PlacementPending(); {
		h.finish()
	}
	starts := h.takeStarts()
	if len(starts) != 2 {
		t.Fatalf("%d tasks of 4 cores started under a cap of 8 cores, want 2", len(starts))
	}
	for _, s := range starts {
		h.confirmStart(s)
	}
	before := h.core.placement.total
	if r := h.submitAs("b", id2, oneTask(1000)); r.Outcome != 0 {
		t.Fatalf("submission of the other tenant: %+v", *r)
	}
	other := h.takeStarts()
	if len(other) != 1 || other[0].Order.Task.Submission != id2 {
		t.Fatalf("starts %+v beside a tenant at its cap, want the other tenant's task", other)
	}
	h.confirmStart(other[0])
	h.endRun(starts[0], workload.EndDone, 1, starts[1], other[0])
	if n := len(h.takeStarts()); n != 1 {
		t.Errorf("%d starts after the end of a run, want 1", n)
	}
	if n := h.core.placement.total.steps - before.steps; n > 200 {
		t.Errorf("%d steps examined for one submission and one end of a run, want at most 200", n)
	}
}

// A cap that is raised must let all that it held back start, although each end of a run wakes
// only a few steps.
func TestCapQueue_RaisedCapLetsAllStart(t *testing.T) {
	h := newHarness(t, 4)
	h.config.Queues[0].TargetLatency = time.Hour
	h.answerAllPolls()
	h.setTenants(capped("a", 1000))
	for i := range 60 {
		h.submitAs("a", tenantID(i), stepOf(1, 1000))
	}
	if n := len(h.takeStarts()); n != 1 {
		t.Fatalf("%d starts under a cap of one core, want 1", n)
	}
	h.setTenants(capped("a", 60_000))
	for range 20 {
		h.advance(tickInterval)
	}
	if n := len(h.takeStarts()); n != 59 {
		t.Errorf("%d starts within 1 s after the cap was raised, want 59", n)
	}
}
