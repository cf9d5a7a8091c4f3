package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// gangReady has a gang of two learn that s0 and s1 alone may run it while they are
// full, and then frees them, so that only its tickets are missing.
func gangReady(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, 16)
	h.withAdvice()
	h.config.Queues = append(h.config.Queues, routing.Queue{Name: "urgent", Service: testService, Priority: -1, Stretch: 1.5})
	h.do(func(c *Core) { c.Configure(h.config) })
	h.listAll()
	full := make(map[string]*attempt)
	for _, id := range []string{"s0", "s1"} {
		full[id] = h.occupy(id, 31000, 0)
	}
	gang := oneTask(20000)
	gang.Count, gang.Gang = 2, true
	h.submit(id1, gang)
	for range 8 {
		h.advised("s0", "s1")
		h.after(50 * time.Millisecond)
	}
	h.asks = nil
	for id, a := range full {
		h.core.servers[id].release(a)
	}
	h.after(3 * time.Second)
	if len(h.asks) == 0 {
		t.Fatal("no question for the tickets once there is room")
	}
	return h
}

// submitUrgent submits wide work that comes before every gang.
func (h *harness) submitUrgent(id string) {
	h.t.Helper()
	sub := subOf(id)
	sub.sub.Queue = "urgent"
	sub.sub.Steps[0].Count = 16
	sub.sub.Steps[0].Need = workload.Resources{CPU: 20000, MemoryMB: 1000}
	h.do(func(c *Core) { c.Submit(&sub.sub, 0, func(Reply) {}) })
}

// Long gangs starved behind a stream of short urgent work: by the time of each
// answer the room was gone.
func TestReserve_GangKeepsItsRoomWhileItsTicketsAreAsked(t *testing.T) {
	h := gangReady(t)
	h.submitUrgent("00000000000000a3")
	urgent := h.takeStarts()
	if len(urgent) != 14 {
		t.Errorf("%d urgent tasks started, want those on the 14 other servers", len(urgent))
	}
	for _, s := range urgent {
		if s.To.ID == "s0" || s.To.ID == "s1" {
			t.Errorf("an urgent task took the reserved room of %s", s.To.ID)
		}
	}
	h.advised("s0", "s1")
	started := 0
	for _, s := range h.takeStarts() {
		if s.Order.Task.Submission == id1 {
			started++
		}
	}
	if started != 2 {
		t.Errorf("%d members started with tickets for reserved room, want 2", started)
	}
}

// Room is not kept for a question that is never answered.
func TestReserve_EndsWithoutAnAnswer(t *testing.T) {
	h := gangReady(t)
	h.after(5 * time.Second)
	h.submitUrgent("00000000000000a3")
	if n := len(h.takeStarts()); n != 16 {
		t.Errorf("%d urgent tasks started long after the question, want 16", n)
	}
}

// A gang that needs more servers than one question may name asks about two lists
// at once, so that it does not wait for two answers in turn.
func TestGather_WideGangAsksTwoQuestionsAtOnce(t *testing.T) {
	h := newHarness(t, 150)
	h.withAdvice()
	h.do(func(c *Core) { c.Askers(4) })
	h.listAll()
	gang := oneTask(20000)
	gang.Count, gang.Gang = 70, true
	h.submit(id1, gang)
	if len(h.asks) != 2 {
		t.Fatalf("%d questions at first, want 2", len(h.asks))
	}
	for _, id := range h.asks[1].Servers {
		if slices.Contains(h.asks[0].Servers, id) {
			t.Fatalf("%s is asked about twice", id)
		}
	}
	if n := len(h.asks[0].Servers) + len(h.asks[1].Servers); n != 150 {
		t.Errorf("asked about %d servers, want all 150", n)
	}
}

// A gang that comes when as much is held as may be still reserves its room at
// once: a less pressing step of the same round would take it.
func TestReserve_HoldsFromTheRoundThatAsks(t *testing.T) {
	h := newHarness(t, 16)
	h.withAdvice()
	h.listAll()
	full := make(map[string]*attempt)
	for _, info := range h.servers {
		full[info.ID] = h.occupy(info.ID, 31000, 10*time.Second)
		full[info.ID].task.step.spec.Estimate = 10 * time.Second
	}
	gather := func(id string, members int, cpu int64, allowed ...string) {
		gang := oneTask(cpu)
		gang.Count, gang.Gang = members, true
		h.submit(id, gang)
		for range 8 {
			h.advised(allowed...)
			h.after(20 * time.Millisecond)
		}
	}
	gather(id1, 9, 31000, "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "s10")
	gather(id2, 2, 20000, "s0", "s1")
	small := subOf("00000000000000a3")
	small.sub.Queue = "plain"
	small.sub.Steps[0].Count = 4
	small.sub.Steps[0].Need = workload.Resources{CPU: 12000, MemoryMB: 1000}
	h.config.Queues[1].Priority = 3
	h.do(func(c *Core) { c.Configure(h.config); c.Submit(&small.sub, 0, func(Reply) {}) })
	h.asks, h.starts = nil, nil
	for _, id := range []string{"s0", "s1"} {
		h.core.servers[id].release(full[id])
	}
	h.after(3 * time.Second)
	if len(h.asks) == 0 {
		t.Fatal("no question for the tickets once there is room")
	}
	if starts := h.takeStarts(); len(starts) != 2 {
		t.Errorf("%d small tasks started, want the 2 that fit beside the reserved room", len(starts))
	}
}
