package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// setCapacity changes what the server list says of a server's CPU.
func (h *harness) setCapacity(server int, cpu int64) {
	h.servers[server].Capacity.CPU = cpu
	h.do(func(c *Core) { c.SetServers(h.servers) })
}

// lose reports that a start got no answer.
func (h *harness) lose(a StartTask) {
	err := verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer")
	h.do(func(c *Core) { c.StartCompleted(a.To, a.Order, 0, err) })
}

// startedOn counts the starts on a server.
func startedOn(starts []StartTask, server string) int {
	n := 0
	for _, s := range starts {
		if s.To.ID == server {
			n++
		}
	}
	return n
}

// A server's capacity shrinks and grows while tasks run there, are ordered or wait.
// No start may be sent that brings the server over the capacity that it reports.
func TestCore_StartsNothingBeyondAShrunkenCapacity(t *testing.T) {
	for _, tc := range []struct {
		name string
		// before runs on a server of 32 cores; the capacity shrinks to cpu after it.
		before func(h *harness)
		cpu    int64
		after  func(h *harness)
		// want is the number of starts after the change.
		want int
	}{
		{
			name: "a waiting task does not fit any more", cpu: 8000, want: 0,
			before: func(h *harness) { h.runOne(id1, 6000) },
			after:  func(h *harness) { h.submit(id2, oneTask(4000)) },
		},
		{
			name: "a smaller task still fits", cpu: 8000, want: 1,
			before: func(h *harness) { h.runOne(id1, 6000) },
			after:  func(h *harness) { h.submit(id2, oneTask(2000)) },
		},
		{
			name: "less than runs", cpu: 4000, want: 0,
			before: func(h *harness) { h.runOne(id1, 6000) },
			after:  func(h *harness) { h.submit(id2, oneTask(1000)) },
		},
		{
			name: "nothing is left", cpu: 0, want: 0,
			before: func(*harness) {},
			after:  func(h *harness) { h.submit(id2, oneTask(1)) },
		},
		{
			name: "a run that is being stopped still counts", cpu: 8000, want: 0,
			before: func(h *harness) {
				h.runOne(id1, 6000)
				h.do(func(c *Core) { c.Cancel(id1, func(Reply) {}) })
			},
			after: func(h *harness) { h.submit(id2, oneTask(4000)) },
		},
		{
			name: "an unanswered start is not repeated", cpu: 4000, want: 0,
			before: func(h *harness) { h.submit(id1, oneTask(6000)) },
			after:  func(h *harness) { h.lose(h.firstStart) },
		},
		{
			name: "an unanswered start that fits is repeated", cpu: 8000, want: 1,
			before: func(h *harness) { h.submit(id1, oneTask(6000)) },
			after:  func(h *harness) { h.lose(h.firstStart) },
		},
		{
			name: "a gang that fitted before", cpu: 16000, want: 0,
			before: func(*harness) {},
			after: func(h *harness) {
				gang := oneTask(9000)
				gang.Count, gang.Gang = 3, true
				h.submit(id2, gang)
			},
		},
		{
			name: "it grows again", cpu: 4000, want: 1,
			before: func(h *harness) { h.runOne(id1, 6000) },
			after: func(h *harness) {
				h.submit(id2, oneTask(4000))
				h.setCapacity(0, 10000)
			},
		},
		{
			name: "it grows while it drains", cpu: 4000, want: 0,
			before: func(h *harness) { h.runOne(id1, 6000) },
			after: func(h *harness) {
				h.servers[0].Draining = true
				h.submit(id2, oneTask(4000))
				h.setCapacity(0, 64000)
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.answerAllPolls()
			tc.before(h)
			if starts := h.takeStarts(); len(starts) > 0 {
				h.firstStart = starts[0]
			}
			h.setCapacity(0, tc.cpu)
			tc.after(h)
			h.advance(100 * time.Millisecond)
			if got := startedOn(h.takeStarts(), "s0"); got != tc.want {
				t.Errorf("%d starts, want %d", got, tc.want)
			}
		})
	}
}

// An order that waits to be sent was decided on the old capacity. It must be withdrawn
// when the capacity shrinks, the newest first, and go elsewhere.
func TestCore_WithdrawsUnconfirmedStartsFromAShrunkenServer(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.runOne(id1, 10000)
	h.submit(id2, oneTask(8000))
	h.now = h.now.Add(time.Millisecond)
	h.submit("00000000000000a3", oneTask(8000))
	waiting := h.takeStarts()
	if len(waiting) != 2 {
		t.Fatalf("%d starts, want 2", len(waiting))
	}
	h.setCapacity(0, 20000)
	if len(h.stops) != 1 || h.stops[0].Order.Task != waiting[1].Order.Task {
		t.Fatalf("stops %+v, want the newer of two unconfirmed starts, %v", h.stops, waiting[1].Order.Task)
	}
	h.do(func(c *Core) { c.StartNotSent(waiting[1].To, waiting[1].Order) })
	if n := len(h.takeStarts()); n != 0 {
		t.Errorf("%d starts on the shrunken server, want 0", n)
	}
	h.servers = append(h.servers, ServerInfo{ID: "s1", Service: testService, Address: "10.0.0.9:80", Capacity: workload.Resources{CPU: 32000, MemoryMB: 64000}, StartedAtMS: 1000})
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.answerPoll("s1", PollResponse{})
	if got := startedOn(h.takeStarts(), "s1"); got != 1 {
		t.Errorf("%d starts on another server, want 1", got)
	}
}

// A server that began anew under its ID with another capacity, and the runs of an
// earlier owner, must be counted against the new capacity.
func TestCore_NewInstanceOfAnotherSize(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	start := h.runOne(id1, 6000)
	h.servers[0].StartedAtMS = 2000
	h.setCapacity(0, 7000)
	// A list to a poll that left at the time of the confirmation does not say which of the two
	// instances confirmed the start; that of the next poll does.
	h.answerPoll("s0", PollResponse{StartedAtMS: 2000})
	h.submit(id2, oneTask(4000))
	if starts := h.takeStarts(); len(starts) > 0 {
		t.Fatalf("starts %+v while the new instance may run the first task, want none", starts)
	}
	h.answerPoll("s0", PollResponse{StartedAtMS: 2000})
	starts := h.takeStarts()
	if len(starts) != 1 || starts[0].Order.Task != start.Order.Task {
		t.Fatalf("starts %+v, want only the lost task again", starts)
	}
	h.confirmStart(starts[0])
	h.takeOver()
	h.answerPoll("s0", PollResponse{StartedAtMS: 2000, Running: []ActiveRun{runOf(starts[0])}})
	h.advance(100 * time.Millisecond)
	if n := len(h.takeStarts()); n != 0 {
		t.Errorf("%d starts beside an adopted run that leaves too little, want 0", n)
	}
}

// A trial is stored before its tasks start. A capacity that shrinks meanwhile must
// hold all of them together, and not each by itself.
func TestCore_TrialKeepsToACapacityThatShrankWhileItWasStored(t *testing.T) {
	w := newCrashWorld(t, 2, 1)
	w.crashAfter[workload.TaskID{Submission: id1}] = worldStep
	wide := oneTask(3000)
	wide.Count = 4
	w.runTime = func(workload.TaskID) time.Duration { return time.Minute }
	w.submit(id1, wide)
	w.run(worldDowntime)
	w.holdStores = true
	for w.core.trials == 0 {
		w.step()
	}
	w.takeStarts()
	for i := range w.servers {
		w.setCapacity(i, 7000)
	}
	w.holdStores = false
	w.storeAll()
	w.now = w.now.Add(time.Second)
	w.do(func(c *Core) { c.Tick() })
	perServer := make(map[string]int)
	for _, a := range w.takeStarts() {
		perServer[a.To.ID]++
	}
	for id, n := range perServer {
		if n > 2 {
			t.Errorf("%d starts of 3 cores on %s, which has 7, want at most 2", n, id)
		}
	}
	if len(perServer) == 0 {
		t.Error("no start, want the members that fit")
	}
}
