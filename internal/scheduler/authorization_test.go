package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// A request must not name servers with capacity held for gangs while others
// have capacity.
func TestRequestTickets_SkipsServersHeldForGangs(t *testing.T) {
	h := newHarness(t, 12)
	h.requireTickets()
	h.answerAllPolls()
	h.core.heldForGangs = make(map[*server]workload.Resources)
	for _, id := range []string{"s0", "s1", "s2"} {
		h.core.heldForGangs[h.core.servers[id]] = workload.Resources{CPU: 20000}
	}
	h.submit(id1, oneTask(1000))
	if len(h.requests) != 1 {
		t.Fatalf("%d requests, want 1", len(h.requests))
	}
	for _, id := range h.requests[0].Servers {
		if id == "s0" || id == "s1" || id == "s2" {
			t.Errorf("request names %s, whose capacity is held for a gang", id)
		}
	}
}

// While the servers are full, a step must ask about full servers as well, once
// each. With requests about the few servers that have capacity, a step sent
// thirty of them.
func TestRequestTickets_AsksAboutFullServersOnce(t *testing.T) {
	h := newHarness(t, 40)
	h.requireTickets()
	h.answerAllPolls()
	for _, s := range h.servers {
		if s.ID == "s0" || s.ID == "s1" {
			continue
		}
		h.occupy(s.ID, 31000, 0)
	}
	wide := oneTask(20000)
	wide.Count = 30
	h.submit(id1, wide)
	if len(h.requests) != 1 || len(h.requests[0].Servers) != 40 {
		t.Fatalf("requests %v, want one for all 40 servers", h.requests)
	}
	h.answerRequests()
	for range 20 {
		h.advance(50 * time.Millisecond)
	}
	if len(h.requests) != 0 {
		t.Errorf("%d more requests after each server was denied", len(h.requests))
	}
}
