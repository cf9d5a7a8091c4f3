package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// isolated is an owner that reaches servers, but neither the log nor other daemons: nothing
// confirms its ownership any more. The harness may hold a later owner meanwhile.
type isolated struct {
	h    *harness
	core *Core
	// lastProof is the clock of the servers at the newest proof of its ownership.
	lastProof int64
	polls     map[string]PollServer
	// longest is the latest lease deadline that it has sent to a server.
	longest int64
}

// isolate takes the present owner out of the harness, at the time of its claim.
func isolate(h *harness) *isolated {
	return &isolated{h: h, core: h.core, lastProof: h.clock(), polls: h.polls}
}

// do passes an event to the owner and notes what it sends.
func (o *isolated) do(f func(c *Core)) {
	o.core.SetTime(o.h.now, o.h.wall)
	f(o.core)
	for _, a := range o.core.Finish(true) {
		switch a := a.(type) {
		case PollServer:
			o.polls[a.To.ID] = a
			o.longest = max(o.longest, a.Request.LeaseDeadlineMS)
		case StartTask:
			o.longest = max(o.longest, a.Order.LeaseDeadlineMS)
		}
	}
}

func (o *isolated) answer(server string, list PollResponse, err error) {
	poll := o.polls[server]
	delete(o.polls, server)
	list.ClockMS, list.StartedAtMS = o.h.clock(), 1000
	o.do(func(c *Core) { c.PollCompleted(poll.To, o.h.now, list, err) })
}

// takeOverFrom replaces the owner by a new one, as harness.takeOver does, after a claim that
// names the longest lease as those of daemons do.
func takeOverFrom(h *harness) {
	last := ClaimRecord(workload.PartitionOwner{Epoch: h.epoch, Daemon: "d", LeaseMS: h.bounds.lease().Milliseconds()})
	h.log[last.Key] = last
	h.takeOver()
}

// checkLeases fails if a lease was sent that outlasts the newest proof by more than the
// longest lease.
func (o *isolated) checkLeases(t *testing.T) {
	t.Helper()
	if bound := o.lastProof + o.h.bounds.lease().Milliseconds(); o.longest > bound {
		t.Errorf("a lease was sent that ends %d ms after the newest proof of the ownership, want at most %s",
			o.longest-o.lastProof, o.h.bounds.lease())
	}
}

// An owner without new evidence hears a server for the first time. What an earlier owner
// may have granted there bounds when its runs are over; the owner must not grant as much
// itself, since a later owner counts from the newest evidence.
func TestCore_FirstAnswerAllowsNoLeaseBeyondTheEvidence(t *testing.T) {
	for _, tt := range []struct {
		name  string
		after time.Duration
		err   error
	}{
		{"evidence has expired", 9 * time.Second, nil},
		{"evidence expires soon", 5900 * time.Millisecond, nil},
		{"evidence expires soon, the server falls silent", 5900 * time.Millisecond, verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer")},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.answerAllPolls()
			run := PollResponse{Running: []ActiveRun{runOf(h.runOne(id1, 1000))}}
			takeOverFrom(h)
			o := isolate(h)
			h.now, h.wall = h.now.Add(tt.after), h.wall+tt.after.Milliseconds()
			o.answer("s0", run, nil)
			h.now, h.wall = h.now.Add(200*time.Millisecond), h.wall+200
			o.answer("s0", run, tt.err)
			o.checkLeases(t)
		})
	}
}

// The second of three owners in a row reaches nothing but a server that the third one does
// not reach. The third one must not start the task while the server may still run it under
// a lease of the second.
func TestCore_OwnerWaitsForLeasesThatAnIsolatedOneSends(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	server := start.To.ID
	takeOverFrom(h)
	second := isolate(h)
	h.now, h.wall = h.now.Add(100*time.Millisecond), h.wall+100
	takeOverFrom(h)
	h.answerAllPollsBut(server)
	for range 58 {
		h.advance(100 * time.Millisecond)
	}
	second.answer(server, PollResponse{Running: []ActiveRun{runOf(start)}}, nil)
	for range 120 {
		h.advance(100 * time.Millisecond)
		second.answer(server, PollResponse{Running: []ActiveRun{runOf(start)}}, nil)
		if len(h.takeStarts()) > 0 {
			if left := second.longest - h.clock(); left > 0 {
				t.Errorf("the task starts again %d ms before the end of a lease that the owner before sent to its server", left)
			}
			return
		}
	}
	t.Error("the task does not start again")
}
