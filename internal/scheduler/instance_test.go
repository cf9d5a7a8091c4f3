package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
)

// refusePoll answers the last poll of a server as another instance does.
func (h *harness) refusePoll(server string) {
	h.t.Helper()
	poll, ok := h.polls[server]
	if !ok {
		h.t.Fatalf("no poll of %s in flight", server)
	}
	delete(h.polls, server)
	h.do(func(c *Core) {
		c.PollCompleted(poll.To, h.now, PollResponse{}, verdict.New(verdict.NotRun, ReasonWrongInstance, "another instance"))
	})
}

// An entry may name the address of another server, which refuses the polls that are meant
// for this one. That says who is at the address and not that this server has ended: its
// tasks go on there, and must not be started again within their lease.
func TestCore_EntryWithAnotherServersAddressEndsNothing(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	other := map[string]string{"s0": h.servers[1].Address, "s1": h.servers[0].Address}[start.To.ID]
	for i := range h.servers {
		if h.servers[i].ID == start.To.ID {
			h.servers[i].Address = other
		}
	}
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.answerPoll(start.To.ID, PollResponse{Running: []ActiveRun{runOf(start)}})
	h.refusePoll(start.To.ID)
	h.advance(time.Second)
	if again := h.takeStarts(); len(again) != 0 {
		t.Errorf("%s started on %s 1 s after an entry named a wrong address of its server, whose lease lasts %s", again[0].Order.Task, again[0].To.ID, h.bounds.lease())
	}
}

// A server is listed at another address while a poll of the former one is in flight. Who
// is there now refuses it. That says nothing of the server, whose tasks go on.
func TestCore_RefusalAtAFormerAddressEndsNothing(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	for i := range h.servers {
		if h.servers[i].ID == start.To.ID {
			h.servers[i].Address = "10.0.0.77:80"
		}
	}
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.refusePoll(start.To.ID)
	h.advance(time.Second)
	if again := h.takeStarts(); len(again) != 0 {
		t.Errorf("%s started on %s after a refusal at a former address of its server, whose lease lasts %s", again[0].Order.Task, again[0].To.ID, h.bounds.lease())
	}
}

// An entry names the address of a server that this owner does not reach, with a later birth
// and another ID, and nobody answers there. That the server ended is the entry's word alone.
// Its tasks may go on, and must not be started again within their lease.
func TestCore_EntryWithTheAddressOfASilentServerEndsNothing(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	poll := h.polls[start.To.ID]
	h.do(func(c *Core) {
		c.PollCompleted(poll.To, h.now, PollResponse{}, verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer"))
	})
	for _, s := range h.servers {
		if s.ID == start.To.ID {
			s.ID, s.StartedAtMS = "odd", 9000
			h.servers = append(h.servers, s)
		}
	}
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.advance(time.Second)
	if again := h.takeStarts(); len(again) != 0 {
		t.Errorf("%s started on %s 1 s after its server fell silent, whose lease lasts %s, on the word of an entry", again[0].Order.Task, again[0].To.ID, h.bounds.lease())
	}
}
