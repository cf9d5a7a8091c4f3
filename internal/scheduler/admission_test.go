package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/flow"
	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// submitWide submits one task on 16 cores for each of count, with a declared run
// time of 1 s.
func (h *harness) submitWide(id string, count int) *Reply {
	step := oneTask(16000)
	step.Count = count
	return h.submit(id, step)
}

// addUrgentQueue adds a queue that is more pressing than the others.
func (h *harness) addUrgentQueue() {
	urgent := h.config.Queues[0]
	urgent.Name, urgent.Priority = "urgent", -1
	h.config = &routing.Configuration{Version: 2, Services: h.config.Services, Queues: []routing.Queue{h.config.Queues[0], urgent}}
	h.do(func(c *Core) { c.Configure(h.config) })
}

// submitToUrgentQueue submits to that queue. It returns OutcomeRefused while there is no
// reply.
func (h *harness) submitToUrgentQueue(id string, steps ...workload.Step) Reply {
	sub := &workload.Submission{ID: id, Queue: "urgent", Service: testService, Spec: "x", Steps: steps, Accepted: h.wall}
	got := Reply{Outcome: OutcomeRefused}
	h.do(func(c *Core) { c.Submit(sub, 0, func(r Reply) { got = r }) })
	return got
}

// A burst brings more work than the service can begin in time. What would begin
// too late is refused at once, with a delay after which there is room, and what
// was accepted before is begun.
func TestCore_RefusesWhatCannotBeginInTime(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	// The target of a submission is 1.5 x 1 s + 0.4 s, and three times that is
	// the latest useful completion, so that it must begin within 4.7 s. The two
	// servers complete four tasks a second.
	accepted := 0
	var refused *Reply
	for i := range 12 {
		if r := h.submitWide(fmt.Sprintf("%016x", i+1), 4); r.Outcome == OutcomeDone {
			accepted++
		} else if refused == nil {
			refused = r
		}
	}
	if accepted < 5 || accepted > 7 {
		t.Errorf("%d submissions of one second each accepted at once, want those that begin within 4.7 s", accepted)
	}
	if refused == nil || refused.Outcome != OutcomeRefused || refused.RetryAfterMS < 1000 || refused.RetryAfterMS > 15000 {
		t.Fatalf("refusal: %+v, want one with a retry delay", refused)
	}
	begun := make(map[string]bool)
	for range 10 {
		for _, a := range h.takeStarts() {
			begun[a.Order.Task.Submission] = true
			h.confirmStart(a)
			h.endOnServer(a)
		}
		h.advance(time.Second)
	}
	if len(begun) != accepted {
		t.Errorf("%d of %d accepted submissions were begun", len(begun), accepted)
	}
	if r := h.submitWide("00000000000000ff", 4); r.Outcome != OutcomeDone {
		t.Errorf("refused on an idle service: %+v", r)
	}
}

// endOnServer lists a run as done.
func (h *harness) endOnServer(a StartTask) {
	h.t.Helper()
	s := h.core.servers[a.To.ID]
	h.answerPoll(a.To.ID, PollResponse{Ended: []RunEnd{endOf(a, s.processedEnd+1, workload.EndDone)}})
}

// Pressing work does not wait behind the backlog of less pressing queues, and is
// not refused for it.
func TestCore_BacklogOfLaterQueuesRefusesNothing(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	h.addUrgentQueue()
	for i := range 12 {
		h.submitWide(fmt.Sprintf("%016x", i+1), 4)
	}
	if got := h.submitToUrgentQueue("00000000000000ff", oneTask(16000)); got.Outcome != OutcomeDone {
		t.Errorf("got %+v, want it accepted", got)
	}
}

// A submission that was accepted stays so, whatever the load when its caller
// repeats it.
func TestCore_RepeatOfAnAcceptedSubmissionIsNotRefused(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	first := fmt.Sprintf("%016x", 1)
	for i := range 12 {
		h.submitWide(fmt.Sprintf("%016x", i+1), 4)
	}
	if r := h.submitWide(first, 4); r.Outcome != OutcomeDone {
		t.Errorf("got %+v, want it accepted again", r)
	}
}

// A cancelled submission frees its place in the backlog.
func TestCore_CancelledWorkFreesItsPlace(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	var accepted []string
	for i := range 12 {
		id := fmt.Sprintf("%016x", i+1)
		if h.submitWide(id, 4).Outcome == OutcomeDone {
			accepted = append(accepted, id)
		}
	}
	for _, id := range accepted[1:] {
		h.do(func(c *Core) { c.Cancel(id, func(Reply) {}) })
	}
	if r := h.submitWide("00000000000000ff", 4); r.Outcome != OutcomeDone {
		t.Errorf("got %+v after the backlog was cancelled, want it accepted", r)
	}
}

// Callers that are refused together must not return together.
func TestSpread(t *testing.T) {
	seen := make(map[time.Duration]bool)
	for i := range 100 {
		d := spread(2*time.Second, fmt.Sprintf("%016x", i))
		if d < 2*time.Second || d > 3*time.Second {
			t.Fatalf("delay of 2 s became %s", d)
		}
		seen[d.Round(100*time.Millisecond)] = true
	}
	if len(seen) < 8 {
		t.Errorf("100 delays fall into %d tenths of a second, want them spread over 1 s", len(seen))
	}
}

// An owner whose link carries few orders a second has free servers and a queue
// that grows. It accepts what it can order within maxSendWait and refuses the
// rest, so that nothing accepted is left waiting beside free servers.
func TestCore_RefusesWhatCannotBeOrderedSoon(t *testing.T) {
	const ordersPerTick = 1 // 20 a second
	h := newHarness(t, 20)
	h.answerAllPolls()
	waiting := make(map[string]bool)
	accepted := 0
	var last string
	tick := func() {
		h.core.SetStartRoom(ordersPerTick)
		h.advance(50 * time.Millisecond)
		for _, a := range h.takeStarts() {
			id := a.Order.Task.Submission
			delete(waiting, id)
			h.confirmStart(a)
			h.endOnServer(a)
		}
	}
	// Two submissions of one task each a tick are twice what can be ordered.
	for i := range 400 {
		id := fmt.Sprintf("%016x", i+1)
		h.core.SetStartRoom(0)
		if r := h.submit(id, oneTask(1000)); r.Outcome == OutcomeDone {
			accepted++
			waiting[id], last = true, id
		}
		if i%2 == 1 {
			tick()
		}
	}
	const orderable, waitingAtMost = 200, int(maxSendWait/time.Second) * 20
	if accepted < orderable || accepted > orderable+waitingAtMost+10 {
		t.Errorf("%d of 400 submissions accepted, want the %d that could be ordered and those of another %s", accepted, orderable, maxSendWait)
	}
	for range int((maxSendWait + time.Second) / (50 * time.Millisecond)) {
		tick()
	}
	if len(waiting) > 0 {
		t.Errorf("%d accepted submissions were not begun %s after the last arrival, %s among them", len(waiting), maxSendWait+time.Second, last)
	}
}

// Submissions that wait for a log that hangs are refused while their callers can
// still try elsewhere, unless they may have been stored. A refused one never
// runs, and its ID can be submitted again.
func TestCore_RefusesSubmissionsWhoseWritesWereWithdrawn(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.holdStores = true
	sent := h.submit(id1, oneTask(1000))
	sent.Outcome = OutcomeNotFound
	queued := h.submit(id2, oneTask(1000))
	ids := h.core.UnstoredWrites()
	if len(ids) != 2 {
		t.Fatalf("%d unstored writes, want 2", len(ids))
	}
	withdrawn := max(ids[0], ids[1])
	h.do(func(c *Core) { c.WritesWithdrawn([]uint64{withdrawn}, time.Second) })
	if queued.Outcome != OutcomeUnavailable || queued.RetryAfterMS < 1000 {
		t.Errorf("withdrawn submission: %+v, want it refused with a retry delay", queued)
	}
	h.stores = h.stores[:1]
	h.holdStores = false
	h.storeAll()
	if sent.Outcome != OutcomeDone {
		t.Errorf("submission that was sent: %+v, want it accepted", sent)
	}
	if got := h.status(id2); got != "" {
		t.Errorf("withdrawn submission has status %q, want none", got)
	}
	starts := h.takeStarts()
	if len(starts) != 1 || starts[0].Order.Task.Submission != id1 {
		t.Errorf("%d starts, want that of the stored submission only", len(starts))
	}
	if again := h.submit(id2, oneTask(1000)); again.Outcome != OutcomeDone {
		t.Errorf("submitted again: %+v, want it accepted", again)
	}
}

// Pressing work is refused only for a longer backlog of less pressing work than
// of its own, since it is placed first.
func TestCore_LessPressingTasksWeighLess(t *testing.T) {
	h := newHarness(t, 20)
	h.answerAllPolls()
	h.addUrgentQueue()
	h.core.SetStartRoom(0)
	// Backlog fills the wait at the measured rate of starts.
	const perSecond = 100
	h.core.starts = flow.Measured(perSecond, h.now, maxHeldGap)
	backlog := oneTask(1000)
	backlog.Count = int(perSecond*maxSendWait.Seconds()) + 10
	h.submit(id1, backlog)
	h.core.SetStartRoom(0)
	if r := h.submit(id2, oneTask(1000)); r.Outcome != OutcomeRefused {
		t.Fatalf("equally pressing: %+v, want it refused", r)
	}
	if got := h.submitToUrgentQueue("00000000000000ff", oneTask(1000)); got.Outcome != OutcomeDone {
		t.Errorf("more pressing: %+v, want it accepted", got)
	}
}

// An end that was listed while the log hung must be acknowledged once the log is
// back, although the write that it waited for was withdrawn and no other follows.
func TestCore_AcknowledgesEndsAfterAWriteWasWithdrawn(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	h.holdStores = true
	h.do(func(c *Core) { c.Cancel(id1, func(Reply) {}) })
	h.submit(id2, oneTask(1000))
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndStopped)}})
	h.do(func(c *Core) { c.WritesWithdrawn(c.UnstoredWrites(), time.Second) })
	h.stores = h.stores[:1]
	h.storeAll()
	if got := h.core.servers["s0"].storedEnd; got != 1 {
		t.Errorf("acknowledged through end %d, want 1", got)
	}
}
