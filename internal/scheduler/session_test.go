package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// An end waits for the log while its server restarts under its ID. Once it is stored,
// its number must not be acknowledged to the next instance, which would drop ends with
// the same numbers that nobody has read.
func TestCore_AcknowledgementThatWaitedIsNotForTheNextInstance(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	h.holdStores = true
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(start, 80, workload.EndDone)}})
	h.advance(3 * time.Second)
	h.answerPoll("s0", PollResponse{StartedAtMS: 5000, ClockMS: 100})
	h.holdStores = false
	h.storeAll()
	if got := h.core.servers["s0"].storedEnd; got != 0 {
		t.Errorf("stored end %d of an instance that has listed none, want 0", got)
	}
	h.relist("s0", 5000)
	h.runOne(id2, 1000)
	if got := h.polls["s0"].Request.AckedEnd; got != 0 {
		t.Errorf("end %d acknowledged to an instance that has listed none", got)
	}
}

// An answer that an instance gave before it ended may arrive after another instance is
// known to have followed. It must not bring back what the former instance listed.
func TestCore_AnswerOfAFormerInstanceIsNotApplied(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	poll := h.polls[start.To.ID]
	h.do(func(c *Core) {
		c.StopCompleted(start.To, start.Order, verdict.New(verdict.NotRun, ReasonWrongInstance, "another instance"))
	})
	h.do(func(c *Core) {
		c.PollCompleted(poll.To, h.now, PollResponse{ClockMS: h.clock(), StartedAtMS: 1000, Running: []ActiveRun{runOf(start)}}, nil)
	})
	if s := h.core.servers[start.To.ID]; s.synced || len(s.attempts) != 0 {
		t.Errorf("synced %t with %d attempts after an answer of the former instance, want false and none", s.synced, len(s.attempts))
	}
}

// A stop that an instance confirmed before it ended forbids nothing to the next one,
// which a late copy of the start may still reach.
func TestCore_StopConfirmedByAFormerInstanceIsSentAgain(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.submit(id1, oneTask(1000))
	start := h.takeStarts()[0]
	h.do(func(c *Core) { c.Cancel(id1, func(Reply) {}) })
	if len(h.stops) != 1 {
		t.Fatalf("%d stops after the cancel, want 1", len(h.stops))
	}
	stop := h.stops[0]
	h.stops = nil
	h.advance(300 * time.Millisecond)
	h.answerPoll("s0", PollResponse{StartedAtMS: 5000, ClockMS: 100, Running: []ActiveRun{runOf(start)}})
	h.do(func(c *Core) { c.StopCompleted(stop.To, stop.Order, nil) })
	if len(h.stops) != 1 || h.stops[0].To == stop.To {
		t.Errorf("stops %+v after the confirmation by the former instance, want one to the new instance", h.stops)
	}
}

// The clock of a former instance is far ahead of the next one's. An order's late answer
// must not carry it over, or leases would be taken for expired that are not.
func TestCore_ClockOfAFormerInstanceIsNotUsed(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.submit(id1, oneTask(1000))
	start := h.takeStarts()[0]
	h.advance(300 * time.Millisecond)
	h.answerPoll("s0", PollResponse{StartedAtMS: 5000, ClockMS: 100})
	h.do(func(c *Core) { c.StartCompleted(start.To, start.Order, h.clock(), nil) })
	if got := h.core.servers["s0"].clockMS; got != 100 {
		t.Errorf("clock %d ms after the answer of the former instance, want 100", got)
	}
}

// An acknowledgement may wait in a queue for longer than a server takes to restart. What
// was sent without it acknowledges nothing.
func TestCore_WithheldAcknowledgementIsSentAgain(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})
	if poll := h.polls["s0"]; poll.Request.AckedEnd != 1 || !poll.Request.AckValidUntil.After(h.now) {
		t.Fatalf("poll %+v, want one that acknowledges end 1 for some time", poll.Request)
	}
	h.answerPoll("s0", PollResponse{AckWithheld: true, Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})
	if poll, ok := h.polls["s0"]; !ok || poll.Request.AckedEnd != 1 {
		t.Errorf("poll %+v after one that was sent without its acknowledgement, want another that has it", poll.Request)
	}
}

// A server holds a poll back for as long as it is asked to. The end that it then lists is
// acknowledged at once, since its clock shows that it was up until then.
func TestCore_AcknowledgesEndsOfAHeldPollAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	h.answerPoll("s0", PollResponse{Running: []ActiveRun{runOf(start)}})
	for number := uint64(1); number <= 3; number++ {
		poll, sent := h.polls["s0"], h.now
		delete(h.polls, "s0")
		h.advance(1200 * time.Millisecond)
		list := PollResponse{ClockMS: h.clock(), StartedAtMS: 1000, Ended: []RunEnd{{Number: number}}, Running: []ActiveRun{runOf(start)}}
		h.do(func(c *Core) { c.PollCompleted(poll.To, sent, list, nil) })
		if got := h.polls["s0"].Request.AckedEnd; got != number {
			t.Errorf("acknowledged through end %d right after an answer held for 1.2 s, want %d", got, number)
		}
	}
}

// While this machine is suspended its monotonic clock stands still, and a server may
// restart. What was known before must not let an acknowledgement be sent.
func TestCore_AcknowledgesNoEndsAfterASuspension(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	h.holdStores = true
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})
	h.wall += 3000
	h.storeAll()
	if got := h.polls["s0"].Request.AckedEnd; got != 0 {
		t.Fatalf("end %d acknowledged after 3 s of suspension", got)
	}
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})
	if got := h.polls["s0"].Request.AckedEnd; got != 1 {
		t.Errorf("acknowledged through end %d after an answer since, want 1", got)
	}
}

// A server may come back under its ID as another kind and with another capacity, while its
// entry is still that of the instance before. A task that requires the former kind must not
// start there, nor may one that has only been ordered be ordered again.
func TestCore_StartsNothingOnAnInstanceWithoutItsEntry(t *testing.T) {
	for _, tc := range []struct {
		name   string
		labels []string
		starts int
	}{
		{"the same kind", []string{"a", "r0"}, 1},
		{"another kind", []string{"b", "r0"}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.answerAllPolls()
			h.submit(id2, oneTask(1000))
			ordered := h.takeStarts()[0]
			h.advance(300 * time.Millisecond)
			h.answerPoll("s0", PollResponse{StartedAtMS: 2000, ClockMS: 100})
			h.do(func(c *Core) {
				c.StartCompleted(ordered.To, ordered.Order, 0, verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer"))
			})
			picky := oneTask(1000)
			picky.Label = "a"
			h.submit(id1, picky)
			if starts := h.takeStarts(); len(starts) != 0 {
				t.Fatalf("%s started on an instance whose entry has not come", starts[0].Order.Task)
			}
			h.servers[0].Labels = tc.labels
			h.relist("s0", 2000)
			if n := len(h.takeStarts()); n != tc.starts {
				t.Errorf("%d starts of a task for kind a after the entry came, want %d", n, tc.starts)
			}
		})
	}
}
