package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// A server lists only so many ends in one answer. A task of an earlier owner that is
// neither running nor on the page may have ended done, and must not start again.
func TestCore_NextOwnerStartsNothingBeforeAllEndsAreListed(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	two := oneTask(1000)
	two.Count = 2
	h.submit(id1, two)
	starts := h.takeStarts()
	h.confirmStart(starts[0])
	h.confirmStart(starts[1])
	h.takeOver()
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(starts[0], 1, workload.EndDone)}, MoreEnds: true})
	h.advance(100 * time.Millisecond)
	if again := h.takeStarts(); len(again) != 0 {
		t.Fatalf("%s started again while its server may list more ends", again[0].Order.Task)
	}
	if poll := h.polls["s0"].Request; poll.AckedEnd != 1 || poll.Wait != 0 {
		t.Fatalf("poll %+v after a page of ends, want one that acknowledges it and does not wait", poll)
	}
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(starts[1], 2, workload.EndDone)}})
	h.advance(100 * time.Millisecond)
	if again := h.takeStarts(); len(again) != 0 {
		t.Errorf("%s started again after it ended done", again[0].Order.Task)
	}
	if got := h.status(id1); got != workload.StatusCompleted {
		t.Errorf("status %q after the last page, want completed", got)
	}
}

// The same for the owner that started the runs. While the log stores nothing, the page
// does not move on, and what is not on it is held for as long as that lasts.
func TestCore_RunThatIsNotOnThePageIsHeld(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	first, second := h.runOne(id1, 1000), h.runOne(id2, 1000)
	h.holdStores = true
	page := PollResponse{Ended: []RunEnd{endOf(first, 1, workload.EndDone)}, MoreEnds: true}
	h.advance(10 * time.Millisecond)
	h.answerPoll("s0", page)
	for range 20 {
		h.advance(300 * time.Millisecond)
		h.answerPoll("s0", page)
	}
	if again := h.takeStarts(); len(again) != 0 {
		t.Fatalf("%s started again while its server may list more ends", again[0].Order.Task)
	}
	h.holdStores = false
	h.storeAll()
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(second, 2, workload.EndDone)}})
	if got := h.status(id2); got != workload.StatusCompleted {
		t.Errorf("status %q after the next page, want completed", got)
	}
}

// A server that leaves holds something for as long as it has not listed all its ends.
func TestCore_ServerWithMoreEndsIsNotEmpty(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	h.advance(10 * time.Millisecond)
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}, MoreEnds: true})
	h.servers[0].Draining = true
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.answerPoll("s0", PollResponse{MoreEnds: true})
	h.advance(time.Second)
	if h.core.servers["s0"] == nil {
		t.Error("the server was removed before it had listed all its ends")
	}
}
