package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// A task that failed on a server must run on another one next, even if that is
// less full.
func TestCore_FailedTaskRunsOnAnotherServer(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	h.submit(id2, oneTask(4000))
	h.submit(id1, oneTask(1000))
	starts := h.takeStarts()
	first := starts[len(starts)-1]
	if starts[0].To.ID != first.To.ID {
		t.Fatalf("tasks on %s and %s, want both on the fullest server", starts[0].To.ID, first.To.ID)
	}
	for _, s := range starts {
		h.confirmStart(s)
	}
	h.answerPoll(first.To.ID, PollResponse{
		Running: []ActiveRun{runOf(starts[0])},
		Ended:   []RunEnd{{Number: 1, Task: first.Order.Task, Run: 1, Kind: workload.EndFailed}},
	})
	h.advance(time.Second)
	again := h.takeStarts()
	if len(again) != 1 || again[0].To.ID == first.To.ID {
		t.Errorf("started again as %+v, want on the other server", again)
	}
}

// A server on which every run fails must be quarantined for longer each time.
// Failures of one submission count once.
func TestServer_QuarantineGrowsWithFailures(t *testing.T) {
	s := newServer(ServerInfo{ID: "s0"}, &session{})
	now := time.Unix(0, 0)
	for range 10 {
		s.recordFailure(id1)
	}
	if s.failures >= quarantineThreshold {
		t.Fatal("failures of one submission reach the quarantine threshold")
	}
	s.recordFailure(id2)
	s.recordFailure("00000000000000a3")
	if s.failures < quarantineThreshold {
		t.Fatalf("%d failures counted after 3 submissions failed", s.failures)
	}
	var rests []time.Duration
	for i := range 5 {
		rests = append(rests, s.quarantine(now))
		s.recordFailure(string(rune('a' + i)))
		if s.failures < quarantineThreshold {
			t.Error("one more failure after a quarantine does not reach the threshold")
		}
	}
	if rests[0] != minQuarantine || rests[1] != 2*minQuarantine || rests[4] != maxQuarantine {
		t.Errorf("quarantines %v", rests)
	}
	for range 100 {
		if d := s.quarantine(now); d != maxQuarantine {
			t.Fatalf("quarantine of %s after many, want %s", d, maxQuarantine)
		}
	}
	s.recordSuccess()
	if s.failures != 0 || s.quarantine(now) != minQuarantine {
		t.Error("a success does not reset failures and quarantine")
	}
}
