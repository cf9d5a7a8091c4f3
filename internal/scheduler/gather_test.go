package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// advised answers all open questions: the named servers are allowed.
func (h *harness) advised(allowed ...string) {
	h.t.Helper()
	asks := h.asks
	h.asks = nil
	for _, ask := range asks {
		var tickets []Ticket
		for _, s := range ask.Servers {
			if slices.Contains(allowed, s) {
				tickets = append(tickets, Ticket{s, "t"})
			}
		}
		h.do(func(c *Core) { c.Advised(ask.Step, ask.Servers, tickets, 2*time.Second, nil) })
	}
}

// withAdvice gives the harness's queue a policy.
func (h *harness) withAdvice() {
	h.config.Queues[0].Policy = &routing.PolicyTiming{DecisionTime: 400 * time.Millisecond, TimePerServer: 6 * time.Millisecond, PermissionValidity: 2 * time.Second}
	h.config.Queues = append(h.config.Queues, routing.Queue{Name: "plain", Service: testService, Stretch: 1.5})
	h.do(func(c *Core) { c.Configure(h.config) })
}

func TestGather_AsksAboutIdleServersBesideBusyAllowedOnes(t *testing.T) {
	h := newHarness(t, 14)
	h.withAdvice()
	h.listAll()
	gang := oneTask(20000)
	gang.Count, gang.Gang = 2, true
	h.submit(id1, gang)
	first := h.asks[0].Servers
	allowed := []string{first[0], first[1]}
	// A task that runs on far beyond its declared time takes an allowed server.
	h.occupy(first[0], 31000, 2*time.Second)
	h.advised(allowed...)
	h.after(3 * time.Second)
	if len(h.asks) != 1 {
		t.Fatalf("%d questions while idle servers were not asked about, want one", len(h.asks))
	}
	fresh := 0
	for _, s := range h.asks[0].Servers {
		if !slices.Contains(first, s) {
			fresh++
		}
	}
	if fresh == 0 {
		t.Errorf("asked about %v again, which were asked about before", h.asks[0].Servers)
	}
	h.advised(append(allowed, h.asks[0].Servers...)...)
	if n := len(h.takeStarts()); n != 2 {
		t.Errorf("%d members started once an idle server was allowed, want 2", n)
	}
}

func TestGather_HoldsRoomAgainstLessPressingSteps(t *testing.T) {
	h := newHarness(t, 8)
	h.config.Queues = append(h.config.Queues, routing.Queue{Name: "later", Service: testService, Priority: 3, Stretch: 9, TargetLatency: time.Minute})
	h.do(func(c *Core) { c.Configure(h.config) })
	h.listAll()
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
	h.after(900 * time.Millisecond)
	small := subOf("00000000000000a3")
	small.sub.Queue = "later"
	small.sub.Steps[0].Count = 40
	small.sub.Steps[0].Need.CPU = 4000
	h.do(func(c *Core) { c.Submit(&small.sub, 0, func(Reply) {}) })
	if n := len(h.takeStarts()); n > 14 {
		t.Errorf("%d small tasks started, which leaves no room held for the gang", n)
	}
}

type submission struct{ sub workload.Submission }

func subOf(id string) *submission {
	return &submission{workload.Submission{ID: id, Queue: testQueue, Service: testService, Steps: []workload.Step{oneTask(1000)}}}
}

func TestAllowance_IsLearned(t *testing.T) {
	h := newHarness(t, 20)
	h.withAdvice()
	h.listAll()
	for i := range 12 {
		step := oneTask(1000)
		step.Count = 4
		h.submit(fmt.Sprintf("%016x", i+1), step)
		h.advised("s0")
	}
	if share := h.core.allowanceOf(testQueue).share; share > 0.3 {
		t.Errorf("share %.2f after one server in many was allowed", share)
	}
}

func TestGang_WaitsForAllMembersOfARunThatFailed(t *testing.T) {
	h := newHarness(t, 2)
	h.listAll()
	gang := oneTask(20000)
	gang.Count, gang.Gang = 2, true
	h.submit(id1, gang)
	starts := h.takeStarts()
	for _, s := range starts {
		h.taken(s)
	}
	h.list(starts[0].To.ID, PollResponse{Ended: []RunEnd{endOf(starts[0], 1, workload.EndFailed)}})
	h.after(500 * time.Millisecond)
	if n := len(h.takeStarts()); n != 0 {
		t.Fatalf("%d members started while one of the failed run is left", n)
	}
	h.list(starts[1].To.ID, PollResponse{Ended: []RunEnd{endOf(starts[1], 1, workload.EndGangMemberEnded)}})
	h.after(500 * time.Millisecond)
	again := h.takeStarts()
	if len(again) != 2 || again[0].Order.Run != 2 || again[1].Order.Run != 2 {
		t.Errorf("starts %+v, want both members under run 2", again)
	}
}

// The policy service is asked while a submission is being stored, so that its
// answer is there when the tasks may start; nothing starts before.
func TestCore_AsksWhileASubmissionIsStored(t *testing.T) {
	h := newHarness(t, 4)
	h.config.Queues[0].Policy = &routing.PolicyTiming{DecisionTime: 10 * time.Millisecond, TimePerServer: time.Millisecond, PermissionValidity: 2500 * time.Millisecond}
	h.listAll()
	h.holdStores = true
	h.submit(id1, oneTask(1000))
	if len(h.asks) != 1 {
		t.Fatalf("%d questions while the submission is being stored, want one", len(h.asks))
	}
	var tickets []Ticket
	for _, id := range h.asks[0].Servers {
		tickets = append(tickets, Ticket{id, "t-" + id})
	}
	h.do(func(c *Core) { c.Advised(h.asks[0].Step, h.asks[0].Servers, tickets, 2500*time.Millisecond, nil) })
	if n := len(h.takeStarts()); n != 0 {
		t.Fatalf("%d starts before the submission is stored", n)
	}
	h.storeAll()
	if n := len(h.takeStarts()); n != 1 {
		t.Errorf("%d starts once it is stored, want one", n)
	}
}

// A server whose tasks are long overdue will not be free soon: a gang that waited
// for it would keep its other servers idle.
func TestSoonFree_LeavesOutLongOverdueRuns(t *testing.T) {
	h := newHarness(t, 2)
	h.listAll()
	for id, age := range map[string]time.Duration{"s0": 900 * time.Millisecond, "s1": 5 * time.Second} {
		h.occupy(id, 20000, age)
	}
	if soon := h.core.servers["s0"].soonFree(h.now).CPU; soon != 30000 {
		t.Errorf("%d soon free of a run that is nearly over, want 30000", soon)
	}
	if soon := h.core.servers["s1"].soonFree(h.now).CPU; soon != 12000 {
		t.Errorf("%d soon free of a run that is long overdue, want 12000", soon)
	}
}
