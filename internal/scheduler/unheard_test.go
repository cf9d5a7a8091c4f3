package scheduler

import (
	"testing"
	"time"
)

// An owner that a server answers after all may send it leases. The owner after it must then
// wait for those, although an earlier record says that nobody had heard from the server.
func TestCore_ServerHeardAfterAllGetsNoLeaseBeforeThatIsStored(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	server := start.To.ID
	h.takeOver()
	h.answerAllPollsBut(server)
	for range 8 {
		h.advance(time.Second)
	}
	h.holdStores = true
	h.answerPoll(server, PollResponse{Running: []ActiveRun{runOf(start)}})
	h.advance(300 * time.Millisecond)
	if poll := h.polls[server]; h.core.servers[server].synced || poll.Request.LeaseDeadlineMS != 0 {
		t.Fatalf("poll %+v, want no lease before the log says that the server answered", poll.Request)
	}
	h.holdStores = false
	h.storeAll()
	h.answerPoll(server, PollResponse{Running: []ActiveRun{runOf(start)}})
	if poll := h.polls[server]; poll.Request.LeaseDeadlineMS == 0 {
		t.Fatalf("poll %+v, want one that renews the lease", poll.Request)
	}
	h.takeOver()
	h.answerAllPollsBut(server)
	for range 8 {
		h.advance(time.Second)
	}
	if n := len(h.takeStarts()); n != 0 {
		t.Errorf("%d starts 8 s after a lease of at most 10 s was sent, want 0", n)
	}
	for range 3 {
		h.advance(time.Second)
	}
	if n := len(h.takeStarts()); n != 1 {
		t.Errorf("%d starts 11 s after that lease, want 1", n)
	}
}

// Owners follow each other every 3 s. Together they wait for one lease, however many they
// are, and leave no record of it behind.
func TestCore_OwnersInARowWaitForOneLease(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	waited := time.Duration(0)
	for range 10 {
		h.takeOver()
		h.answerAllPollsBut(start.To.ID)
		for range 6 {
			h.advance(500 * time.Millisecond)
			waited += 500 * time.Millisecond
			if n := len(h.takeStarts()); n > 0 {
				if waited < 10*time.Second || waited > 14*time.Second {
					t.Errorf("started again after %s, want 10 to 14 s", waited)
				}
				h.advance(time.Second)
				if _, left := h.log[string(keyUnheard)]; left {
					t.Error("the record of unheard servers is left after all is over")
				}
				return
			}
		}
	}
	t.Errorf("no start in %s", waited)
}

// A server is silent until its owner has waited for it long enough, and answers then. It must
// be used again: the record that names it as unheard is gone.
func TestCore_ServerThatAnswersAfterTheWaitIsUsed(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.takeOver()
	for range 12 {
		h.advance(time.Second)
	}
	if !h.core.recovered {
		t.Fatal("the owner still waits after 12 s for leases of at most 10 s")
	}
	h.answerPoll("s0", PollResponse{})
	h.submit(id1, oneTask(1000))
	for range 4 {
		h.answerAllPolls()
		h.advance(300 * time.Millisecond)
	}
	if n := len(h.takeStarts()); n != 1 {
		t.Errorf("%d starts on a server that answers again, want 1", n)
	}
}

// Servers that answer a new owner within unheardInterval must not wait for records, which
// would delay each change of owner by two of them.
func TestCore_ServersThatAnswerAtOnceWaitForNoRecord(t *testing.T) {
	h := newHarness(t, 4)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	h.holdStores = true
	h.takeOver()
	for i, s := range h.servers {
		h.advance(100 * time.Millisecond)
		list := PollResponse{}
		if s.ID == start.To.ID {
			list.Running = []ActiveRun{runOf(start)}
		}
		h.answerPoll(s.ID, list)
		if !h.core.servers[s.ID].synced {
			t.Errorf("server %d, which answered after %d ms, is not used", i, 100*(i+1))
		}
	}
	if !h.core.recovered {
		t.Error("not recovered after all servers have answered, although no record was stored")
	}
}
