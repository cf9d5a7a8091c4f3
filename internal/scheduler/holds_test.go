package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// gangThatHolds leaves two servers with 12 of 32 cores free each, for which a gang of two
// members of 20 cores waits. A run of 20 cores on each is nearly over, so that the gang holds
// both servers.
func gangThatHolds(t *testing.T) *harness {
	h := newHarness(t, 4)
	h.config.Queues[0].Priority, h.config.Queues[0].TargetLatency = 1, time.Hour
	h.config.Queues = append(h.config.Queues,
		routing.Queue{Name: "urgent", Service: testService, Stretch: 9, TargetLatency: time.Minute},
		routing.Queue{Name: "later", Service: testService, Priority: 3, Stretch: 9, TargetLatency: time.Minute})
	h.do(func(c *Core) { c.Configure(h.config) })
	h.answerAllPolls()
	h.occupy("s0", 20000, 900*time.Millisecond)
	h.occupy("s1", 20000, 900*time.Millisecond)
	h.occupy("s2", 32000, 0)
	h.occupy("s3", 32000, 0)
	gang := oneTask(20000)
	gang.Count, gang.Gang = 2, true
	h.submit(id1, gang)
	if n := len(h.core.holders); n != 1 {
		t.Fatalf("%d gangs hold capacity, want 1", n)
	}
	return h
}

func (h *harness) submitTo(queue, id string, step workload.Step) {
	h.t.Helper()
	sub := &workload.Submission{ID: id, Queue: queue, Service: testService, Spec: "x", Steps: []workload.Step{step}, Accepted: h.wall}
	h.do(func(c *Core) { c.Submit(sub, 0, func(Reply) {}) })
}

// What is held for a gang stays from pass to pass. It must not keep more urgent work, which
// arrives later, from starting.
func TestHold_CountsAgainstLaterStepsOnly(t *testing.T) {
	h := gangThatHolds(t)
	h.submitTo("later", "00000000000000b1", oneTask(12000))
	if n := len(h.takeStarts()); n != 0 {
		t.Fatalf("%d less urgent tasks started on capacity that is held for a gang, want 0", n)
	}
	h.submitTo("urgent", "00000000000000b2", oneTask(12000))
	if n := len(h.takeStarts()); n != 1 {
		t.Errorf("%d urgent tasks started on capacity that is held for a less urgent gang, want 1", n)
	}
}

// A gang that is cancelled must hold nothing any more: its servers would stay idle.
func TestHold_EndsWithTheGang(t *testing.T) {
	h := gangThatHolds(t)
	h.submitTo("later", "00000000000000b1", oneTask(12000))
	h.do(func(c *Core) { c.Cancel(id1, func(Reply) {}) })
	if n := len(h.takeStarts()); n != 1 {
		t.Errorf("%d tasks started once the gang was cancelled, want 1", n)
	}
	if n := len(h.core.heldForGangs); n != 0 {
		t.Errorf("capacity of %d servers held for a gang that was cancelled, want none", n)
	}
}

// A gang must start as soon as what it holds is free, without waiting to be planned anew.
func TestHold_GangStartsOnceAllIsFree(t *testing.T) {
	h := gangThatHolds(t)
	for _, id := range []string{"s0", "s1"} {
		if n := len(h.takeStarts()); n != 0 {
			t.Fatalf("%d members started before both servers had capacity, want 0", n)
		}
		for _, a := range h.core.servers[id].attempts {
			h.do(func(c *Core) { c.release(a) })
		}
	}
	if n := len(h.takeStarts()); n != 2 {
		t.Errorf("%d members started once both servers had capacity, want 2", n)
	}
}
