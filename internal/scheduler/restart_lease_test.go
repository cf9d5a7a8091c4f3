package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
)

// A server restarts under its ID while a start is unanswered, and carries a copy of it out.
// The deadline is one on the clock of the former instance, which is far ahead of the new one,
// so that the server grants its longest lease, and its answers are lost. The task must not
// start elsewhere before that lease is over.
func TestCore_CopyOfAStartThatReachesARestartedServerKeepsItsTask(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	h.submit(id1, oneTask(1000))
	start := h.takeStarts()[0]
	first := start.To.ID
	silent := verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer")
	restartAt := h.now.Add(2 * time.Second)
	var leaseEnds time.Time // of the run on the restarted server
	copies := []StartTask{start}
	for range 400 {
		h.advance(50 * time.Millisecond)
		for _, s := range h.servers {
			poll, ok := h.polls[s.ID]
			if !ok {
				continue
			}
			if s.ID != first {
				h.answerPoll(s.ID, PollResponse{})
				continue
			}
			delete(h.polls, first)
			h.do(func(c *Core) { c.PollCompleted(poll.To, h.now, PollResponse{}, silent) })
		}
		for _, copied := range append(copies, h.takeStarts()...) {
			if copied.To.ID != first {
				if left := leaseEnds.Sub(h.now); left > 0 {
					t.Errorf("the task starts on %s %s before the end of the lease that the restarted server granted",
						copied.To.ID, left.Round(10*time.Millisecond))
				}
				return
			}
			if h.now.After(copied.Expires) {
				// The Engine does not send it any more.
				h.do(func(c *Core) { c.StartNotSent(copied.To, copied.Order) })
				continue
			}
			if h.now.After(restartAt) && leaseEnds.IsZero() {
				clock := h.now.Sub(restartAt).Milliseconds()
				leaseEnds = h.now.Add(min(msDuration(copied.Order.LeaseDeadlineMS-clock), h.bounds.MaxLease))
			}
			h.do(func(c *Core) { c.StartCompleted(copied.To, copied.Order, 0, silent) })
		}
		copies = nil
	}
	t.Error("the task does not start again")
}

// The same copy was sent by an earlier owner. The next one does not reach the restarted
// server, and counts from the end of the earlier owner the lease that its claim names. The
// task must not start elsewhere before the longest lease that a server grants is over.
func TestCore_NextOwnerWaitsForTheLeaseThatARestartedServerGrants(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	h.submit(id1, oneTask(1000))
	start := h.takeStarts()[0]
	leaseEnds := h.now.Add(min(msDuration(start.Order.LeaseDeadlineMS-1), h.bounds.MaxLease))
	takeOverFrom(h)
	h.answerAllPollsBut(start.To.ID)
	for range 400 {
		h.advance(50 * time.Millisecond)
		if len(h.takeStarts()) > 0 {
			if left := leaseEnds.Sub(h.now); left > 0 {
				t.Errorf("the task starts again %s before the end of the lease that the restarted server granted", left.Round(10*time.Millisecond))
			}
			return
		}
	}
	t.Error("the task does not start again")
}
