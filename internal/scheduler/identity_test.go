package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// Guards against work that is lost, read or cancelled through another queue: the second
// submission of an ID, to another address, was answered as a repeat of the first and never ran,
// and each address reached the other's (found by reading in the third review).
func TestCore_OneIDAtTwoAddresses(t *testing.T) {
	const other = "desk.example/other/"
	for name, prepare := range map[string]func(h *harness){
		"while it runs": func(*harness) {},
		"after its end": func(h *harness) { h.endDone(h.takeStarts()[0], 1) },
		"under the next owner": func(h *harness) {
			h.takeOver()
			h.locateAll(false)
		},
		"on its way to another partition": func(h *harness) { h.endDeparture(false) },
		"in another partition":            func(h *harness) { h.endDeparture(true) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.withAddress()
			h.locateAll(false)
			h.answerAllPolls()
			if r := h.submitAt(testAddress, id1); r.Outcome != OutcomeDone {
				t.Fatalf("refused: %+v", r)
			}
			prepare(h)
			if r := h.submitAt(testAddress, id1); r.Outcome != OutcomeDone {
				t.Errorf("the repeat is answered %+v", r)
			}
			q := h.config.Queues[0]
			q.Name, q.PathPrefix = "other", "/other/"
			h.configure(h.config.Queues[0], q)
			if r := h.submitAt(other, id1); r.Outcome != OutcomeConflict {
				t.Errorf("a submission at another address is answered %+v, want a conflict", r)
			}
			for address, want := range map[workload.QueueAddress]bool{testAddress: true, other: false, "": true} {
				got := h.core.mayAccess(workload.Reference{ID: id1, Address: address}, func(Reply) {})
				if got != want {
					t.Errorf("access at %q: %t, want %t", address, got, want)
				}
			}
		})
	}
}

// endDeparture leads the queue elsewhere and ends the run, upon which the submission departs.
func (h *harness) endDeparture(confirmed bool) {
	h.t.Helper()
	start := h.takeStarts()[0]
	q := h.config.Queues[0]
	q.Service = otherService
	h.configure(q)
	h.confirmStart(start)
	h.answerPoll(start.To.ID, PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndFailed)}})
	h.advance(time.Second)
	moved := h.handedOver()
	if len(moved) != 1 {
		h.t.Fatalf("%d handovers, want 1", len(moved))
	}
	if confirmed {
		h.do(func(c *Core) { c.HandoverCompleted(id1, moved[0].Handover.Number, nil) })
	}
}

// A handover must not be confirmed by a partition that has the ID for a submission of another
// queue: nobody would run it.
func TestCore_HandoverIsRefusedWhileItsIDIsTaken(t *testing.T) {
	h := newHarness(t, 1)
	h.withAddress()
	h.submitAt("desk.example/jobs/", id1)
	var got *Reply
	sub := workload.Submission{ID: id1, Queue: "other", Address: "desk.example/other/", Service: testService, Spec: "y", Steps: []workload.Step{oneTask(1000)}}
	h.do(func(c *Core) { c.TakeOver(Handover{Submission: sub, Number: 1}, func(r Reply) { got = &r }) })
	if got == nil || got.Outcome != OutcomeConflict {
		t.Errorf("answered %+v, want a conflict", got)
	}
	if spec := h.core.jobs[id1].sub.Spec; spec != "x" {
		t.Errorf("the partition has the submission with spec %q, want its own", spec)
	}
}
