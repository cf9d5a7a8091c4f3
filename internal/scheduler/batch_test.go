package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

// acceptingLog stores nothing and accepts every append.
type acceptingLog struct{ partition.Log }

func (acceptingLog) Append(context.Context, partition.ID, partition.Fence, []partition.Record) error {
	return nil
}

// eventFunc is an event that a test defines.
type eventFunc func(c *Core)

func (f eventFunc) apply(c *Core) { f(c) }

// batchHarness applies events to a Core as one batch of its Engine. The events take time.
type batchHarness struct {
	*harness
	engine *Engine
}

func newBatchHarness(t *testing.T, servers int) *batchHarness {
	h := newHarness(t, servers)
	now := func() time.Time { return h.now }
	e := NewEngine(EngineOptions{Now: now, Wall: func() int64 { return h.wall }, Events: events.Discard(), Metrics: NewMetrics(metrics.NewSet())})
	e.ctx = context.Background()
	claim := ClaimRecord(workload.PartitionOwner{Epoch: h.epoch, Daemon: "d"})
	writer, err := partition.Claim(e.ctx, acceptingLog{}, partition.ID{}, h.epoch, 0, claim, now, func(uint64) {})
	if err != nil {
		t.Fatal(err)
	}
	e.writer = writer
	return &batchHarness{h, e}
}

// apply applies events as the Engine's loop does.
func (h *batchHarness) apply(batch ...event) {
	h.engine.core = h.core
	for _, ev := range batch {
		h.engine.push(ev)
	}
	h.engine.applyBatch(<-h.engine.events.C())
	h.finish()
}

// A start is confirmed late in a batch of events. A poll left meanwhile, and the server
// listed its runs before it carried the start out; its answer comes last. The run is not lost:
// neither may the task start again, which would run it twice, nor is its capacity free.
func TestEngine_StartConfirmedInABatchOutlivesAnOlderList(t *testing.T) {
	h := newBatchHarness(t, 2)
	h.answerAllPolls()
	other := h.runOne(id2, 1000)
	h.submit(id1, oneTask(31000))
	start := h.takeStarts()[0]
	poll, polled := h.polls[start.To.ID]
	if !polled || start.To.ID != other.To.ID {
		t.Fatal("no poll is in flight at the server of the start")
	}
	var pollSent time.Time
	slow := eventFunc(func(*Core) {
		h.pass(20 * time.Millisecond)
		pollSent = h.now
		h.pass(20 * time.Millisecond)
	})
	confirmed := startedEvent{start, h.clock(), nil}
	listed := eventFunc(func(c *Core) {
		list := PollResponse{ClockMS: h.clock(), StartedAtMS: 1000, Running: []ActiveRun{runOf(other)}}
		c.PollCompleted(poll.To, pollSent, list, nil)
	})
	h.apply(slow, confirmed, listed)
	for range 10 {
		h.advance(100 * time.Millisecond)
		for _, again := range h.takeStarts() {
			t.Errorf("run %d of the task starts on %s while run %d lasts on %s", again.Order.Run, again.To.ID, start.Order.Run, start.To.ID)
		}
	}
	if free := h.core.servers[start.To.ID].free.CPU; free != 0 {
		t.Errorf("%d thousandths of a core are free beside the run, want 0", free)
	}
}

// A restarted server answers late in a batch of events. A call to the log that began after
// the batch, and before that answer, does not prove that the instance before had told no later
// owner: the restarted server must not be used on that evidence.
func TestEngine_RestartedServerInABatchIsMetWhenItsAnswerIsApplied(t *testing.T) {
	h := newBatchHarness(t, 1)
	h.answerAllPolls()
	h.runOne(id1, 1000)
	poll := h.polls["s0"]
	slow := eventFunc(func(*Core) { h.pass(20 * time.Millisecond) })
	answered := eventFunc(func(c *Core) {
		c.PollCompleted(poll.To, h.now, PollResponse{ClockMS: 1, StartedAtMS: restartedAtMS}, nil)
	})
	h.apply(slow, answered)
	if s := h.core.servers["s0"]; s.metStartedAtMS != restartedAtMS || !s.metAt.Equal(h.now) {
		t.Errorf("instance %d was met at %s, want %d at %s", s.metStartedAtMS, s.metAt, restartedAtMS, h.now)
	}
}

// The clock of a server that is read from an answer late in a batch of events must not be
// dated to the beginning of the batch: its leases would count as expired too early.
func TestEngine_ServerClockInABatchIsDatedWhenItIsApplied(t *testing.T) {
	h := newBatchHarness(t, 1)
	h.answerAllPolls()
	h.runOne(id1, 1000)
	poll := h.polls["s0"]
	slow := eventFunc(func(*Core) { h.pass(400 * time.Millisecond) })
	answered := eventFunc(func(c *Core) {
		c.PollCompleted(poll.To, h.now, PollResponse{ClockMS: h.clock(), StartedAtMS: 1000}, nil)
	})
	h.apply(slow, answered)
	if s := h.core.servers["s0"]; s.clockAt.Before(h.now) {
		t.Errorf("the reading of the clock is dated %s before its answer", h.now.Sub(s.clockAt))
	}
}
