package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

func TestCore_StartsOnlyOnEligibleServers(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(s *ServerInfo)
		step   func(s *workload.Step)
		config func(c *routing.Configuration)
		starts int
	}{
		{name: "plain", starts: 1},
		{name: "draining", change: func(s *ServerInfo) { s.Draining = true }},
		{name: "of another service", change: func(s *ServerInfo) { s.Service = "other" }},
		{name: "without the label", step: func(s *workload.Step) { s.Label = "b" }},
		{name: "with the label", step: func(s *workload.Step) { s.Label = "a" }, starts: 1},
		{name: "too small", step: func(s *workload.Step) { s.Need.MemoryMB = 70000 }},
		{name: "beyond the limit per server", step: func(s *workload.Step) { s.Count, s.MaxPerServer = 3, 2 }, starts: 2},
		{name: "queue routed to another service", config: func(c *routing.Configuration) { c.Queues[0].Service = "other" }},
		{name: "queue removed", config: func(c *routing.Configuration) { c.Queues = nil }, starts: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.answerAllPolls()
			step := oneTask(1000)
			if c.step != nil {
				c.step(&step)
			}
			h.holdStores = true
			h.submit(id1, step)
			if c.change != nil {
				c.change(&h.servers[0])
				h.do(func(k *Core) { k.SetServers(h.servers) })
			}
			if c.config != nil {
				next := &routing.Configuration{Version: 2, Queues: append([]routing.Queue(nil), h.config.Queues...)}
				c.config(next)
				h.do(func(k *Core) { k.Configure(next) })
			}
			h.storeAll()
			if n := len(h.takeStarts()); n != c.starts {
				t.Errorf("%d starts, want %d", n, c.starts)
			}
		})
	}
}

func TestCore_OccurrencesStartWhenTheyAreDue(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	sub := &workload.Submission{
		ID: id1, Queue: testQueue, Service: testService, Steps: []workload.Step{oneTask(1000)},
		FirstRun: h.wall + 1000, Interval: time.Second, Repeat: 2, Accepted: h.wall,
	}
	h.do(func(c *Core) { c.Submit(sub, 0, func(Reply) {}) })
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{900 * time.Millisecond, 0}, {150 * time.Millisecond, 1}, {800 * time.Millisecond, 0}, {200 * time.Millisecond, 1}} {
		h.advance(c.after)
		if n := len(h.takeStarts()); n != c.want {
			t.Errorf("%d starts %s later, want %d", n, c.after, c.want)
		}
	}
}

func TestCore_ResubmissionIsAcceptedDuringStoreOutage(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(id1, oneTask(1000))
	for _, c := range []struct {
		id   string
		want Outcome
	}{{id1, OutcomeDone}, {id2, OutcomeUnavailable}} {
		sub := &workload.Submission{ID: c.id, Queue: testQueue, Service: testService, Steps: []workload.Step{oneTask(1000)}}
		var got Reply
		h.do(func(core *Core) { core.Submit(sub, time.Second, func(r Reply) { got = r }) })
		if got.Outcome != c.want {
			t.Errorf("%s: outcome %d, want %d", c.id, got.Outcome, c.want)
		}
	}
	if got := h.status(id2); got != "" {
		t.Errorf("refused submission has status %q, want none", got)
	}
}

func TestCore_UnansweredStartIsStoppedWhereItMayNotStart(t *testing.T) {
	for name, change := range map[string]func(h *harness){
		"draining": func(h *harness) {
			h.servers[0].Draining = true
			h.do(func(c *Core) { c.SetServers(h.servers) })
		},
		"unlisted": func(h *harness) { h.do(func(c *Core) { c.SetServers(nil) }) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.answerAllPolls()
			h.submit(id1, oneTask(1000))
			start := h.takeStarts()[0]
			change(h)
			h.do(func(c *Core) {
				c.StartCompleted(start.To, start.Order, 0, verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer"))
			})
			if n := len(h.takeStarts()); n != 0 {
				t.Errorf("%d starts resent, want 0", n)
			}
			if len(h.stops) != 1 || h.stops[0].Order.Run != start.Order.Run {
				t.Errorf("stops %+v, want that of the start", h.stops)
			}
		})
	}
}

// The refusal of a resent start says nothing about the first copy, which may
// still start the run. A stop must be confirmed before the task goes elsewhere.
func TestCore_RefusedResendIsStoppedBeforeTaskMoves(t *testing.T) {
	for _, reason := range []verdict.Reason{ReasonInvalidTicket, ReasonUnhealthy, ReasonNoCapacity, ReasonDeadlinePassed} {
		t.Run(string(reason), func(t *testing.T) {
			h := newHarness(t, 2)
			h.answerAllPolls()
			h.submit(id1, oneTask(1000))
			start := h.takeStarts()[0]
			h.do(func(c *Core) {
				c.StartCompleted(start.To, start.Order, 0, verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer"))
			})
			if n := len(h.takeStarts()); n != 1 {
				t.Fatalf("%d starts resent, want 1", n)
			}
			h.do(func(c *Core) {
				c.StartCompleted(start.To, start.Order, h.clock(), verdict.New(verdict.NotRun, reason, "refused"))
			})
			if len(h.stops) != 1 || h.stops[0].Order.Run != start.Order.Run {
				t.Fatalf("stops %+v, want that of the start", h.stops)
			}
			h.answerPoll(start.To.ID, PollResponse{})
			h.advance(time.Second)
			if n := len(h.takeStarts()); n != 0 {
				t.Errorf("%d starts while a delayed copy may still start the run, want 0", n)
			}
			h.do(func(c *Core) { c.StopCompleted(h.stops[0].To, h.stops[0].Order, nil) })
			h.now = h.now.Add(time.Millisecond)
			h.answerPoll(start.To.ID, PollResponse{})
			h.advance(time.Second)
			if starts := h.takeStarts(); len(starts) != 1 || starts[0].Order.Run != 2 {
				t.Errorf("starts %+v once the stop is confirmed, want run 2", starts)
			}
		})
	}
}

// The retry delay that callers get grows with the store outage.
func TestCore_RetryAfterGrowsWithTheOutage(t *testing.T) {
	h := newHarness(t, 1)
	for _, c := range []struct {
		behind time.Duration
		want   int64
	}{{800 * time.Millisecond, 1000}, {1800 * time.Millisecond, 1800}, {3 * time.Second, 3000}, {time.Minute, 4000}} {
		sub := &workload.Submission{ID: id2, Queue: testQueue, Service: testService, Steps: []workload.Step{oneTask(1000)}}
		var got Reply
		h.do(func(core *Core) { core.Submit(sub, c.behind, func(r Reply) { got = r }) })
		if got.Outcome != OutcomeUnavailable || got.RetryAfterMS != c.want {
			t.Errorf("store down for %s: %+v, want a retry delay of %d ms", c.behind, got, c.want)
		}
	}
}
