package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// A task that failed on a server runs elsewhere next, though that is less full.
func TestCore_FailedTaskRunsElsewhere(t *testing.T) {
	h := newHarness(t, 2)
	h.listAll()
	h.submit(id2, oneTask(4000))
	h.submit(id1, oneTask(1000))
	starts := h.takeStarts()
	first := starts[len(starts)-1]
	if starts[0].To.ID != first.To.ID {
		t.Fatalf("tasks on %s and %s, want both on the fullest server", starts[0].To.ID, first.To.ID)
	}
	for _, s := range starts {
		h.taken(s)
	}
	h.list(first.To.ID, PollResponse{
		Running: []ActiveRun{runOf(starts[0])},
		Ended:   []RunEnd{{Number: 1, Task: first.Order.Task, Run: 1, Kind: workload.EndFailed}},
	})
	h.after(time.Second)
	again := h.takeStarts()
	if len(again) != 1 || again[0].To.ID == first.To.ID {
		t.Errorf("started again as %+v, want on the other server", again)
	}
}

// A server that fails everything rests longer and longer; failures of one
// submission are one piece of evidence.
func TestServer_RestsByEvidence(t *testing.T) {
	s := newServer(ServerInfo{ID: "s0"})
	now := time.Unix(0, 0)
	for range 10 {
		s.failed(id1)
	}
	if s.faults >= faultLimit {
		t.Fatal("one submission is taken for a faulty server")
	}
	s.failed(id2)
	s.failed("00000000000000a3")
	if s.faults < faultLimit {
		t.Fatalf("%d faults after three submissions failed", s.faults)
	}
	var rests []time.Duration
	for i := range 5 {
		rests = append(rests, s.rest(now))
		s.failed(string(rune('a' + i)))
		if s.faults < faultLimit {
			t.Error("one more failure after a rest is not enough")
		}
	}
	if rests[0] != minRest || rests[1] != 2*minRest || rests[4] != maxRest {
		t.Errorf("rests %v", rests)
	}
	for range 100 {
		if d := s.rest(now); d != maxRest {
			t.Fatalf("a rest of %s after many, want %s", d, maxRest)
		}
	}
	s.succeeded()
	if s.faults != 0 || s.rest(now) != minRest {
		t.Error("a success changes nothing")
	}
}
