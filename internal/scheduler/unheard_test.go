package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
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

// A server that an owner declared unheard leaves the list, is dropped and is back before
// the record of unheard servers is written anew. It must get no lease meanwhile: the next
// owner would not wait for that.
func TestCore_ServerListedAgainGetsNoLeaseWhileDeclaredUnheard(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	server := start.To.ID
	takeOverFrom(h)
	all := h.servers
	h.answerAllPollsBut(server)
	h.servers = nil
	for _, s := range all {
		if s.ID != server {
			h.servers = append(h.servers, s)
		}
	}
	h.do(func(c *Core) { c.SetServers(h.servers) })
	for range 240 {
		if _, known := h.core.servers[server]; !known {
			break
		}
		h.advance(50 * time.Millisecond)
	}
	if _, known := h.core.servers[server]; known {
		t.Fatal("the server is not dropped")
	}
	h.servers = all
	h.do(func(c *Core) { c.SetServers(h.servers) })
	if _, polled := h.polls[server]; polled {
		h.answerPoll(server, PollResponse{})
	}
	pair := oneTask(20000)
	pair.Count = 2
	h.submit(id2, pair)
	var sent, other StartTask
	for _, s := range h.takeStarts() {
		h.confirmStart(s)
		switch {
		case s.To.ID == server:
			sent = s
		case s.Order.Task.Submission == id2:
			other = s
		}
	}
	if sent.To.ID == "" {
		return // no lease was sent
	}
	takeOverFrom(h)
	h.answerPoll(other.To.ID, PollResponse{Ended: []RunEnd{endOf(other, 1, workload.EndDone)}})
	for range 240 {
		h.advance(50 * time.Millisecond)
		for _, s := range h.takeStarts() {
			if s.Order.Task != sent.Order.Task {
				continue
			}
			if left := sent.Order.LeaseDeadlineMS - h.clock(); left > 0 {
				t.Errorf("the task starts again %d ms before the end of a lease that the owner before sent to its server", left)
			}
			return
		}
	}
	t.Error("the task does not start again")
}
