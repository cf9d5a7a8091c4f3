package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// answerRequests answers all open requests; the named servers are allowed.
func (h *harness) answerRequests(allowed ...string) {
	h.t.Helper()
	asks := h.requests
	h.requests = nil
	for _, ask := range asks {
		var tickets []Ticket
		for _, s := range ask.Servers {
			if slices.Contains(allowed, s) {
				tickets = append(tickets, Ticket{s, "t"})
			}
		}
		h.do(func(c *Core) { c.AuthorizationCompleted(ask.Step, ask.Servers, tickets, 2*time.Second, nil) })
	}
}

// requireTickets makes the harness's queue need tickets, and adds a queue that does
// not.
func (h *harness) requireTickets() {
	h.config.Queues[0].Policy = &workload.PolicyTiming{DecisionTime: 400 * time.Millisecond, TimePerServer: 6 * time.Millisecond, PermissionValidity: 2 * time.Second}
	h.config.Queues = append(h.config.Queues, routing.Queue{Name: "plain", Service: testService, Stretch: 1.5})
	h.do(func(c *Core) { c.Configure(h.config) })
}

func TestPrepareGang_AsksAboutIdleServersBesideBusyAllowedOnes(t *testing.T) {
	h := newHarness(t, 14)
	h.requireTickets()
	h.answerAllPolls()
	gang := oneTask(20000)
	gang.Count, gang.Gang = 2, true
	h.submit(id1, gang)
	first := h.requests[0].Servers
	allowed := []string{first[0], first[1]}
	// A run that takes much longer than declared occupies an allowed server.
	h.occupy(first[0], 31000, 2*time.Second)
	h.answerRequests(allowed...)
	h.advance(3 * time.Second)
	if len(h.requests) != 1 {
		t.Fatalf("%d requests while idle servers were not asked about, want 1", len(h.requests))
	}
	fresh := 0
	for _, s := range h.requests[0].Servers {
		if !slices.Contains(first, s) {
			fresh++
		}
	}
	if fresh == 0 {
		t.Errorf("request for %v names no new server", h.requests[0].Servers)
	}
	h.answerRequests(append(allowed, h.requests[0].Servers...)...)
	if n := len(h.takeStarts()); n != 2 {
		t.Errorf("%d members started once an idle server was allowed, want 2", n)
	}
}

func TestPrepareGang_HoldsCapacityAgainstLowerPrioritySteps(t *testing.T) {
	h := newHarness(t, 8)
	h.config.Queues = append(h.config.Queues, routing.Queue{Name: "later", Service: testService, Priority: 3, Stretch: 9, TargetLatency: time.Minute})
	h.do(func(c *Core) { c.Configure(h.config) })
	h.answerAllPolls()
	filler := oneTask(12000)
	filler.Count = 16
	h.submit(id1, filler)
	ends := h.takeStarts()
	if len(ends) != 16 {
		t.Fatalf("%d fillers started, want 16", len(ends))
	}
	gang := oneTask(20000)
	gang.Count, gang.Gang = 1, true
	h.submit(id2, gang)
	h.advance(900 * time.Millisecond)
	small := subOf("00000000000000a3")
	small.sub.Queue = "later"
	small.sub.Steps[0].Count = 40
	small.sub.Steps[0].Need.CPU = 4000
	h.do(func(c *Core) { c.Submit(&small.sub, 0, func(Reply) {}) })
	if n := len(h.takeStarts()); n > 14 {
		t.Errorf("%d small tasks started, want at most 14 beside the capacity held for the gang", n)
	}
}

type submission struct{ sub workload.Submission }

func subOf(id string) *submission {
	return &submission{workload.Submission{ID: id, Queue: testQueue, Service: testService, Steps: []workload.Step{oneTask(1000)}}}
}

func TestAllowRate_FollowsDecisions(t *testing.T) {
	h := newHarness(t, 20)
	h.requireTickets()
	h.answerAllPolls()
	for i := range 12 {
		step := oneTask(1000)
		step.Count = 4
		h.submit(fmt.Sprintf("%016x", i+1), step)
		h.answerRequests("s0")
	}
	if share := h.core.allowRateOf(testQueue).rate; share > 0.3 {
		t.Errorf("allow rate %.2f after one server in many was allowed, want at most 0.3", share)
	}
}

func TestGang_RestartsOnceAllMembersOfFailedRunEnded(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	gang := oneTask(20000)
	gang.Count, gang.Gang = 2, true
	h.submit(id1, gang)
	starts := h.takeStarts()
	for _, s := range starts {
		h.confirmStart(s)
	}
	h.answerPoll(starts[0].To.ID, PollResponse{Ended: []RunEnd{endOf(starts[0], 1, workload.EndFailed)}})
	h.advance(500 * time.Millisecond)
	if n := len(h.takeStarts()); n != 0 {
		t.Fatalf("%d members started while a member of the failed run is left, want 0", n)
	}
	h.answerPoll(starts[1].To.ID, PollResponse{Ended: []RunEnd{endOf(starts[1], 1, workload.EndGangMemberEnded)}})
	h.advance(500 * time.Millisecond)
	again := h.takeStarts()
	if len(again) != 2 || again[0].Order.Run != 2 || again[1].Order.Run != 2 {
		t.Errorf("starts %+v, want both members under run 2", again)
	}
}

// The policy request must go out while the submission is being stored, so that
// its answer is there when the tasks may start. Nothing may start before.
func TestCore_RequestsTicketsWhileSubmissionIsStored(t *testing.T) {
	h := newHarness(t, 4)
	h.config.Queues[0].Policy = &workload.PolicyTiming{DecisionTime: 10 * time.Millisecond, TimePerServer: time.Millisecond, PermissionValidity: 2500 * time.Millisecond}
	h.answerAllPolls()
	h.holdStores = true
	h.submit(id1, oneTask(1000))
	if len(h.requests) != 1 {
		t.Fatalf("%d requests while the submission is being stored, want 1", len(h.requests))
	}
	var tickets []Ticket
	for _, id := range h.requests[0].Servers {
		tickets = append(tickets, Ticket{id, "t-" + id})
	}
	h.do(func(c *Core) {
		c.AuthorizationCompleted(h.requests[0].Step, h.requests[0].Servers, tickets, 2500*time.Millisecond, nil)
	})
	if n := len(h.takeStarts()); n != 0 {
		t.Fatalf("%d starts before the submission is stored, want 0", n)
	}
	h.storeAll()
	if n := len(h.takeStarts()); n != 1 {
		t.Errorf("%d starts once it is stored, want 1", n)
	}
}

// A server whose runs are long overdue does not count as free soon. A gang that
// waited for it would keep capacity on its other servers idle.
func TestExpectedFree_IgnoresLongOverdueRuns(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	for id, age := range map[string]time.Duration{"s0": 900 * time.Millisecond, "s1": 5 * time.Second} {
		h.occupy(id, 20000, age)
	}
	if soon := h.core.servers["s0"].expectedFree(h.now).CPU; soon != 30000 {
		t.Errorf("expected free CPU %d with a run that is nearly over, want 30000", soon)
	}
	if soon := h.core.servers["s1"].expectedFree(h.now).CPU; soon != 12000 {
		t.Errorf("expected free CPU %d with a run that is long overdue, want 12000", soon)
	}
}
