package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// newGangLackingTickets makes a gang of two learn that only s0 and s1 may run it while they
// are full. It then frees them, so that the gang lacks only tickets.
func newGangLackingTickets(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, 16)
	h.requireTickets()
	h.config.Queues = append(h.config.Queues, routing.Queue{Name: "urgent", Service: testService, Priority: -1, Stretch: 1.5})
	h.do(func(c *Core) { c.Configure(h.config) })
	h.answerAllPolls()
	full := make(map[string]*attempt)
	for _, id := range []string{"s0", "s1"} {
		full[id] = h.occupy(id, 31000, 0)
	}
	gang := oneTask(20000)
	gang.Count, gang.Gang = 2, true
	h.submit(id1, gang)
	for range 8 {
		h.answerRequests("s0", "s1")
		h.advance(50 * time.Millisecond)
	}
	h.requests = nil
	for id, a := range full {
		h.core.servers[id].release(a)
	}
	h.advance(3 * time.Second)
	if len(h.requests) == 0 {
		t.Fatal("no ticket request once there is capacity")
	}
	return h
}

// submitUrgent submits a wide step with a higher priority than every gang.
func (h *harness) submitUrgent(id string) {
	h.t.Helper()
	sub := subOf(id)
	sub.sub.Queue = "urgent"
	sub.sub.Steps[0].Count = 16
	sub.sub.Steps[0].Need = workload.Resources{CPU: 20000, MemoryMB: 1000}
	h.do(func(c *Core) { c.Submit(&sub.sub, 0, func(Reply) {}) })
}

// A gang must keep its capacity while its tickets are requested. Without a
// reservation, long gangs starved behind a stream of short urgent work that
// took the capacity before each answer.
func TestReserve_GangKeepsCapacityWhileTicketsAreRequested(t *testing.T) {
	h := newGangLackingTickets(t)
	h.submitUrgent("00000000000000a3")
	urgent := h.takeStarts()
	if len(urgent) != 14 {
		t.Errorf("%d urgent tasks started, want those on the 14 other servers", len(urgent))
	}
	for _, s := range urgent {
		if s.To.ID == "s0" || s.To.ID == "s1" {
			t.Errorf("an urgent task took reserved capacity of %s", s.To.ID)
		}
	}
	h.answerRequests("s0", "s1")
	started := 0
	for _, s := range h.takeStarts() {
		if s.Order.Task.Submission == id1 {
			started++
		}
	}
	if started != 2 {
		t.Errorf("%d members started with tickets for reserved capacity, want 2", started)
	}
}

// A reservation must end although its request is never answered.
func TestReserve_ExpiresWithoutAnswer(t *testing.T) {
	h := newGangLackingTickets(t)
	h.advance(5 * time.Second)
	h.submitUrgent("00000000000000a3")
	if n := len(h.takeStarts()); n != 16 {
		t.Errorf("%d urgent tasks started long after the request, want 16", n)
	}
}

// A gang that needs more servers than one request may name must ask about two
// lists at once, since asking in turn doubles its wait.
func TestPrepareGang_WideGangSendsTwoRequestsAtOnce(t *testing.T) {
	h := newHarness(t, 150)
	h.requireTickets()
	h.do(func(c *Core) { c.SetPolicyClientCount(4) })
	h.answerAllPolls()
	gang := oneTask(20000)
	gang.Count, gang.Gang = 70, true
	h.submit(id1, gang)
	if len(h.requests) != 2 {
		t.Fatalf("%d requests at first, want 2", len(h.requests))
	}
	for _, id := range h.requests[1].Servers {
		if slices.Contains(h.requests[0].Servers, id) {
			t.Fatalf("both requests name %s", id)
		}
	}
	if n := len(h.requests[0].Servers) + len(h.requests[1].Servers); n != 150 {
		t.Errorf("requests name %d servers, want all 150", n)
	}
}

// A gang must reserve capacity in the pass that requests its tickets, even if
// no more may be held. A later step in the same pass would take it.
func TestReserve_StartsWithRequestingPass(t *testing.T) {
	h := newHarness(t, 16)
	h.requireTickets()
	h.answerAllPolls()
	full := make(map[string]*attempt)
	for _, info := range h.servers {
		full[info.ID] = h.occupy(info.ID, 31000, 10*time.Second)
		full[info.ID].task.step.spec.Estimate = 10 * time.Second
	}
	submitGang := func(id string, members int, cpu int64, allowed ...string) {
		gang := oneTask(cpu)
		gang.Count, gang.Gang = members, true
		h.submit(id, gang)
		for range 8 {
			h.answerRequests(allowed...)
			h.advance(20 * time.Millisecond)
		}
	}
	submitGang(id1, 9, 31000, "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "s10")
	submitGang(id2, 2, 20000, "s0", "s1")
	small := subOf("00000000000000a3")
	small.sub.Queue = "plain"
	small.sub.Steps[0].Count = 4
	small.sub.Steps[0].Need = workload.Resources{CPU: 12000, MemoryMB: 1000}
	h.config.Queues[1].Priority = 3
	h.do(func(c *Core) { c.Configure(h.config); c.Submit(&small.sub, 0, func(Reply) {}) })
	h.requests, h.starts = nil, nil
	for _, id := range []string{"s0", "s1"} {
		h.core.servers[id].release(full[id])
	}
	h.advance(3 * time.Second)
	if len(h.requests) == 0 {
		t.Fatal("no ticket request once there is capacity")
	}
	if starts := h.takeStarts(); len(starts) != 2 {
		t.Errorf("%d small tasks started, want the 2 that fit beside the reserved capacity", len(starts))
	}
}
