package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
)

// Priority comes before lateness. Otherwise late gangs of a high-priority queue
// starve behind a stream of low-priority work that is in time.
func TestPlace_PriorityComesBeforeLateness(t *testing.T) {
	h := newHarness(t, 1)
	h.config.Queues = append(h.config.Queues, routing.Queue{Name: "batch", Service: testService, Priority: 2, Stretch: 9, TargetLatency: time.Minute})
	h.do(func(c *Core) { c.Configure(h.config) })
	h.answerAllPolls()
	full := h.occupy("s0", 31000, 0)
	h.submit(id1, oneTask(20000))
	h.advance(20 * time.Second)
	batch := subOf(id2)
	batch.sub.Queue = "batch"
	batch.sub.Steps[0].Need.CPU = 20000
	h.do(func(c *Core) { c.Submit(&batch.sub, 0, func(Reply) {}) })
	full.server.release(full)
	h.answerPoll("s0", PollResponse{})
	h.advance(50 * time.Millisecond)
	starts := h.takeStarts()
	if len(starts) != 1 || starts[0].Order.Task.Submission != id1 {
		t.Errorf("starts %+v, want only the late task of the high-priority queue", starts)
	}
}
