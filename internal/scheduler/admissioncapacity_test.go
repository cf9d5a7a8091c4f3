package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// queueWaiting submits n submissions to the urgent queue, of three tasks on five cores each,
// which wait for the sender.
func (h *harness) queueWaiting(n int, estimate time.Duration) {
	h.t.Helper()
	h.addUrgentQueue()
	for i := range n {
		h.core.SetStartRoom(0)
		step := oneTask(5000)
		step.Count, step.Estimate = 3, estimate
		if r := h.submitToUrgentQueue(fmt.Sprintf("%016x", i+1000), step); r.Outcome != OutcomeDone {
			h.t.Fatalf("submission %d of the queue: %+v", i, r)
		}
	}
}

// A new owner that 10 of 80 servers had answered refused what came, behind 250 queued steps
// and on servers that were all free: it took the capacity of the servers that had answered
// for the whole, and the few starts that it had confirmed meanwhile for the rate of its link.
func TestCore_NewOwnerRefusesNothingWhileServersAreFree(t *testing.T) {
	h := newHarness(t, 80)
	h.answerAllPolls()
	h.queueWaiting(250, 680*time.Millisecond)
	h.takeOver()
	for _, s := range h.servers[:10] {
		h.answerPoll(s.ID, PollResponse{})
	}
	const ordersPerTick = 10 // 200 a second
	for i := range 40 {
		h.core.SetStartRoom(ordersPerTick)
		h.advance(50 * time.Millisecond)
		for _, a := range h.takeStarts() {
			h.confirmStart(a)
		}
		step := oneTask(5000)
		step.Count, step.Estimate = 3, 680*time.Millisecond
		if r := h.submit(fmt.Sprintf("%016x", i+5000), step); r.Outcome != OutcomeDone {
			t.Fatalf("submission after %d ms: %+v, want it accepted", 50*(i+1), r)
		}
	}
}

// Behind 250 queued steps of 10 s on servers with room for them all at once and for the new
// submission twice over, it was refused by the work that is queued, as if half of the idle
// cores could not help.
func TestCore_FreeCapacityBesideTheQueueIsNotRefused(t *testing.T) {
	// A server has room for 6 tasks. The queue has 750, and the submission 3.
	const enough, tooFew = 126, 125
	for servers, want := range map[int]Outcome{enough: OutcomeDone, tooFew: OutcomeRefused} {
		h := newHarness(t, servers)
		h.answerAllPolls()
		h.queueWaiting(250, 10*time.Second)
		step := oneTask(5000)
		step.Count = 3
		if r := h.submit("00000000000000ff", step); r.Outcome != want {
			t.Errorf("%d servers: %+v, want outcome %v", servers, r, want)
		}
	}
}
