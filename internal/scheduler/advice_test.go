package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// A question does not name servers that gangs are gathering on while others
// have room.
func TestAsk_LeavesOutServersThatAreHeld(t *testing.T) {
	h := newHarness(t, 12)
	h.withAdvice()
	h.listAll()
	h.core.held = make(map[*server]workload.Resources)
	for _, id := range []string{"s0", "s1", "s2"} {
		h.core.held[h.core.servers[id]] = workload.Resources{CPU: 20000}
	}
	h.submit(id1, oneTask(1000))
	if len(h.asks) != 1 {
		t.Fatalf("%d questions, want one", len(h.asks))
	}
	for _, id := range h.asks[0].Servers {
		if id == "s0" || id == "s1" || id == "s2" {
			t.Errorf("asked about %s, which is held for a gang", id)
		}
	}
}

// While the servers are full a step asks about busy ones as well, once each:
// with questions about the few that have room it asked thirty times.
func TestAsk_LearnsOfBusyServersWhileRoomIsShort(t *testing.T) {
	h := newHarness(t, 40)
	h.withAdvice()
	h.listAll()
	for _, s := range h.servers {
		if s.ID == "s0" || s.ID == "s1" {
			continue
		}
		h.occupy(s.ID, 31000, 0)
	}
	wide := oneTask(20000)
	wide.Count = 30
	h.submit(id1, wide)
	if len(h.asks) != 1 || len(h.asks[0].Servers) != 40 {
		t.Fatalf("questions %v, want one about all 40 servers", h.asks)
	}
	h.advised()
	for range 20 {
		h.after(50 * time.Millisecond)
	}
	if len(h.asks) != 0 {
		t.Errorf("%d more questions though each server was refused", len(h.asks))
	}
}
