package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// begunJob submits two tasks that follow each other and ends the first one. No server has
// the label that the second one requires.
func (h *harness) begunJob() StartTask {
	h.t.Helper()
	second := labelled("b", 1)
	second.After = []int{0}
	h.submit(id1, oneTask(1000), second)
	start := h.takeStarts()[0]
	h.confirmStart(start)
	h.answerPoll(start.To.ID, PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})
	return start
}

// handOverBegun hands the job over to partition 1 and returns what is sent there.
func (h *harness) handOverBegun() Handover {
	h.t.Helper()
	h.do(func(c *Core) { c.handOver(c.jobs[id1], 1, testService, handoverIncapable) })
	for _, a := range h.shardCalls {
		if send, ok := a.(SendHandover); ok {
			return send.Handover
		}
	}
	h.t.Fatal("no handover sent")
	return Handover{}
}

// A submission comes back from the partition that took it over before the answer to the
// first handover has arrived. What this partition knows of its ended tasks must last, or
// the next owner runs them again.
func TestShards_SubmissionThatComesBackKeepsItsProgress(t *testing.T) {
	for _, tc := range []struct {
		name string
		// confirmed lets the answer to the first handover arrive after all.
		confirmed bool
	}{{"the first handover is confirmed late", true}, {"the first handover is never confirmed", false}} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.answerAllPolls()
			done := h.begunJob()
			sent := h.handOverBegun()
			back := sent
			back.Number, back.From = sent.Number+1, 1
			h.do(func(c *Core) { c.TakeOver(back, func(Reply) {}) })
			if tc.confirmed {
				h.do(func(c *Core) { c.HandoverCompleted(id1, sent.Number, nil) })
			}
			h.takeOver()
			for range 3 {
				h.answerAllPolls()
				h.advance(time.Second)
			}
			for _, a := range h.takeStarts() {
				if a.Order.Task == done.Order.Task {
					t.Errorf("%s started again as run %d by the next owner, though it has ended as done", a.Order.Task, a.Order.Run)
				}
			}
		})
	}
}

// The partition that handed a submission over asks later whether the other one still knows
// it, which tells that one that no copy of the handover will follow. While its own record
// of that is not stored, the next owner sends the handover again: it must not ask, or the
// other partition forgets the submission's end and runs it once more.
func TestShards_ForwardIsNotRelinquishedBeforeItIsStored(t *testing.T) {
	giver, taker := newHarness(t, 1), newHarness(t, 1)
	for _, h := range []*harness{giver, taker} {
		h.answerAllPolls()
	}
	giver.servers[0].Labels = nil
	giver.submit(id1, labelled("b", 1))
	taker.servers[0].Labels = []string{"b", "r1"}
	taker.do(func(c *Core) { c.SetServers(taker.servers) })
	sent := giver.handOverBegun()
	taker.do(func(c *Core) { c.TakeOver(sent, func(Reply) {}) })
	start := taker.takeStarts()[0]
	taker.confirmStart(start)
	taker.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})

	// The answer arrives, and the store does not answer the giver from now on.
	giver.holdStores = true
	giver.do(func(c *Core) { c.HandoverCompleted(id1, sent.Number, nil) })
	giver.shardCalls = nil
	for range 4 {
		giver.advance(giver.bounds.StatusRetention / 3)
		taker.advance(taker.bounds.StatusRetention / 3)
		for _, a := range giver.shardCalls {
			if q, ok := a.(QueryHeld); ok {
				taker.do(func(c *Core) { c.Held(q.IDs) })
			}
		}
		giver.shardCalls = nil
	}
	// The next owner finds the handover and sends it again.
	giver.holdStores = false
	giver.takeOver()
	for _, a := range giver.shardCalls {
		if send, ok := a.(SendHandover); ok {
			taker.do(func(c *Core) { c.TakeOver(send.Handover, func(Reply) {}) })
		}
	}
	taker.answerAllPolls()
	taker.advance(time.Second)
	if again := taker.takeStarts(); len(again) != 0 {
		t.Errorf("%s started again as run %d after its submission has completed", again[0].Order.Task, again[0].Order.Run)
	}
}

// A run fails on a server that falls silent before it lists that. The lease lapses, and the
// submission is handed over. The failure, which the server lists when it is back, must
// count there: a task may fail no more often than its queue allows.
func TestShards_FailureThatIsListedAfterTheHandoverCounts(t *testing.T) {
	giver, taker := newHarness(t, 1), newHarness(t, 1)
	for _, h := range []*harness{giver, taker} {
		h.answerAllPolls()
	}
	first := giver.runOne(id1, 1000)
	noAnswer := verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer")
	fail := func() {
		if poll, ok := giver.polls["s0"]; ok {
			delete(giver.polls, "s0")
			giver.do(func(c *Core) { c.PollCompleted(poll.To, giver.now, PollResponse{}, noAnswer) })
		}
	}
	for range 24 {
		fail()
		giver.advance(500 * time.Millisecond)
	}
	sent := giver.handOverBegun()
	taker.do(func(c *Core) { c.TakeOver(sent, func(Reply) {}) })
	failed := 1
	giver.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(first, 1, workload.EndFailed)}})
	for number := uint64(1); number < 4 && taker.status(id1) != workload.StatusFailed; number++ {
		starts := taker.takeStarts()
		if len(starts) == 0 {
			taker.advance(time.Second)
			starts = taker.takeStarts()
		}
		if len(starts) == 0 {
			break
		}
		taker.confirmStart(starts[0])
		taker.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(starts[0], number, workload.EndFailed)}})
		failed++
	}
	if limit := giver.config.Queues[0].MaxFailedRuns; failed > limit {
		t.Errorf("%d runs of the task failed, at most %d may", failed, limit)
	}
}

// A server falls silent under a run after it has answered its owner. The submission must
// stay until the lease of that run is over, whatever room another shard has.
func TestShards_BegunWorkOnASilentServerIsNotHandedOver(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.runOne(id1, 1000)
	began := h.now
	noAnswer := verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer")
	for h.now.Sub(began) < h.bounds.lease() {
		if poll, ok := h.polls["s0"]; ok {
			delete(h.polls, "s0")
			h.do(func(c *Core) { c.PollCompleted(poll.To, h.now, PollResponse{}, noAnswer) })
		}
		h.advance(100 * time.Millisecond)
		h.do(func(c *Core) {
			needs := [][]Need{{needOf(c.jobs[id1].occurrences[0].steps[0])}}
			c.RoomAnswered(RoomQuestion{Service: testService, Needs: needs}, []RoomAnswer{{Partition: 1, Fits: []Fit{FitNow}, FreeCPU: 1 << 20}})
		})
		if len(h.core.departures) != 0 {
			t.Fatalf("handed over %s after its server fell silent, within a lease of %s", h.now.Sub(began), h.bounds.lease())
		}
	}
}
