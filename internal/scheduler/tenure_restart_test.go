package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// restartedAtMS is the start of the instance that follows the first one of a server.
const restartedAtMS = 2000

// meetRestarted gives the owner the entry of a new instance of a server, and answers its
// poll by that instance, which holds nothing and has seen no fencing token. It returns the
// starts that the owner sends within the next 5.5 s.
func (o *isolated) meetRestarted(server string) []StartTask {
	entries := slices.Clone(o.h.servers)
	for i := range entries {
		if entries[i].ID == server {
			entries[i].StartedAtMS = restartedAtMS
		}
	}
	var starts []StartTask
	step := func(f func(c *Core)) {
		o.core.SetTime(o.h.now, o.h.wall)
		f(o.core)
		for _, a := range o.core.Finish(true) {
			switch a := a.(type) {
			case StartTask:
				starts = append(starts, a)
			case PollServer:
				o.polls[a.To.ID] = a
			}
		}
	}
	step(func(c *Core) { c.SetServers(entries) })
	poll := o.polls[server]
	delete(o.polls, server)
	list := PollResponse{ClockMS: o.h.clock(), StartedAtMS: restartedAtMS}
	step(func(c *Core) { c.PollCompleted(poll.To, o.h.now, list, nil) })
	for range 55 {
		o.h.now, o.h.wall = o.h.now.Add(100*time.Millisecond), o.h.wall+100
		step(func(c *Core) { c.Tick() })
	}
	return starts
}

// A server answers the next owner and then restarts, which makes it forget that owner's
// fencing token. An earlier owner, within its evidence, is the first to poll the new
// instance and takes its run there for lost, although the next owner has stored the end of
// that. The task must not start again. It has run for long, so that it is not
// suspected of the crash and needs no trial, which would have to be stored first.
func TestCore_EarlierOwnerUsesNoRestartedServerForAnEndedTask(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	ended := h.runOne(id1, 1000)
	for range 90 {
		h.advance(time.Second)
		h.answerPoll("s0", PollResponse{Running: []ActiveRun{runOf(ended)}})
	}
	earlier := isolate(h)
	takeOverFrom(h)
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(ended, 1, workload.EndDone)}})
	if got := h.status(id1); got != workload.StatusCompleted {
		t.Fatalf("the submission is %q to the next owner, want it completed", got)
	}
	met := h.clock()
	for _, again := range earlier.meetRestarted("s0") {
		t.Errorf("an earlier owner starts run %d of task %s under a lease of %d ms, after the next owner has stored its end",
			again.Order.Run, again.Order.Task, again.Order.LeaseDeadlineMS-met)
	}
}

// As before, with a task that waits for room. The next owner has recovered, since all
// servers have answered it, and starts the task on one of them. The earlier owner must not
// start it on another one that has restarted since and refuses nobody any more.
func TestCore_EarlierOwnerUsesNoRestartedServerForAWaitingTask(t *testing.T) {
	h := newHarness(t, 2)
	h.answerPoll("s0", PollResponse{})
	poll := h.polls["s1"]
	delete(h.polls, "s1")
	silent := verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer")
	h.do(func(c *Core) { c.PollCompleted(poll.To, h.now, PollResponse{}, silent) })
	start := h.runOne(id1, 32000)
	h.submit(id2, oneTask(32000))
	if len(h.takeStarts()) > 0 {
		t.Fatal("a task starts without room")
	}
	earlier := isolate(h)
	takeOverFrom(h)
	h.answerPoll("s1", PollResponse{})
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})
	starts := h.takeStarts()
	if len(starts) != 1 || starts[0].Order.Task.Submission != id2 {
		t.Fatalf("the next owner starts %v, want the waiting task", starts)
	}
	// The other server restarts, as soon as one may under the same ID.
	h.now, h.wall = h.now.Add(h.bounds.ReuseAfter), h.wall+h.bounds.ReuseAfter.Milliseconds()
	other := map[string]string{"s0": "s1", "s1": "s0"}[starts[0].To.ID]
	met := h.clock()
	for _, again := range earlier.meetRestarted(other) {
		t.Errorf("an earlier owner starts the task on %s under a lease of %d ms, while the next one runs it on %s",
			again.To.ID, again.Order.LeaseDeadlineMS-met, starts[0].To.ID)
	}
}

// As before, with a server that is back under its ID sooner than another one may get the ID.
// The earlier owner has not heard the server before.
func TestCore_EarlierOwnerUsesNoServerThatIsBackSoon(t *testing.T) {
	h := newHarness(t, 2)
	h.answerPoll("s0", PollResponse{})
	running := h.runOne(id1, 32000)
	h.submit(id2, oneTask(32000))
	if len(h.takeStarts()) > 0 {
		t.Fatal("a task starts without room")
	}
	earlier := isolate(h)
	takeOverFrom(h)
	h.answerPoll("s1", PollResponse{})
	h.answerPoll("s0", PollResponse{Running: []ActiveRun{runOf(running)}})
	starts := h.takeStarts()
	if len(starts) != 1 || starts[0].Order.Task.Submission != id2 {
		t.Fatalf("the next owner starts %v, want the waiting task", starts)
	}
	const gap = 600 * time.Millisecond
	h.now, h.wall = h.now.Add(gap), h.wall+gap.Milliseconds()
	met := h.clock()
	for _, again := range earlier.meetRestarted("s1") {
		t.Errorf("an earlier owner starts the task on %s under a lease of %d ms, which the next one has started",
			again.To.ID, again.Order.LeaseDeadlineMS-met)
	}
}
