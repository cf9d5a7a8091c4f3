package scheduler

import (
	"context"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/flow"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/verdict"
)

// forwardTimeoutFactor lengthens the wait for the answer to a group, which takes
// two hops and several answers.
const forwardTimeoutFactor = 2

// groupSizeWeight is the weight of the newest group in the moving average of
// sizes.
const groupSizeWeight = 0.1

// startGroup is several starts of one submission that another daemon forwards. It
// is sent as one message.
type startGroup struct {
	daemon string
	starts []StartTask
}

func (startGroup) action() {}

// expires returns when the first of the starts becomes useless.
func (g startGroup) expires() time.Time {
	first := g.starts[0].Expires
	for _, a := range g.starts[1:] {
		if a.Expires.Before(first) {
			first = a.Expires
		}
	}
	return first
}

// startsOf returns the starts that a call sends.
func startsOf(a Action) []StartTask {
	switch a := a.(type) {
	case StartTask:
		return []StartTask{a}
	case startGroup:
		return a.starts
	}
	return nil
}

// splitStart returns the start of the run that a stop refers to, and what is left
// of the call without it. It returns nil if the call does not start that run.
func splitStart(waiting Action, stop StopTask) (start *StartTask, rest Action) {
	starts := startsOf(waiting)
	i := slices.IndexFunc(starts, func(a StartTask) bool {
		return a.To.ID == stop.To.ID && a.Order.Task == stop.Order.Task && a.Order.Run == stop.Order.Run
	})
	if i < 0 {
		return nil, waiting
	}
	start = &starts[i]
	if len(starts) == 1 {
		return start, nil
	}
	group := waiting.(startGroup)
	group.starts = slices.Concat(starts[:i], starts[i+1:])
	return start, group
}

// observe must be called at regular intervals. It decides whether starts are
// forwarded.
func (s *orderSender) observe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.offload.Active()
	s.offload.Observe(s.queue.Status().Congested, s.sent)
	s.sent = 0
	after := s.offload.Active()
	if after == before {
		return
	}
	if !after {
		s.groupSize = 1
	}
	s.engine.o.Events.Log(events.StartsForwarded, "partition", s.engine.o.Partition.Part, "forwarded", after)
}

// group replaces the starts of each submission by one startGroup while starts are
// forwarded. A resend stays by itself, since the forwarding daemon may be the
// reason that it is needed, and so does a single start, which shares nothing.
func (s *orderSender) group(actions []Action) []Action {
	if !s.offload.Active() || s.engine.o.Forwarder == nil {
		return actions
	}
	starts := make(map[string][]StartTask)
	var order []string
	var out []Action
	for _, a := range actions {
		start, ok := a.(StartTask)
		if !ok || start.Attempt > 0 {
			out = append(out, a)
			continue
		}
		id := start.Order.Task.Submission
		if starts[id] == nil {
			order = append(order, id)
		}
		starts[id] = append(starts[id], start)
	}
	for _, id := range order {
		out = append(out, s.forwardable(id, starts[id])...)
	}
	return out
}

// forwardable returns the starts of a submission as a group, or as they are if
// they cannot be forwarded.
func (s *orderSender) forwardable(submission string, starts []StartTask) []Action {
	s.groupSize += groupSizeWeight * (float64(len(starts)) - s.groupSize)
	daemon, ok := s.engine.o.Forwarder.Choose(submission)
	if ok && len(starts) > 1 {
		return []Action{startGroup{daemon, starts}}
	}
	out := make([]Action, 0, len(starts))
	for _, a := range starts {
		out = append(out, a)
	}
	return out
}

// forward sends a group of starts and reports their outcomes.
func (s *orderSender) forward(c flow.Call[Action], g startGroup, timeout time.Duration) {
	e := s.engine
	ctx, cancel := context.WithTimeout(e.ctx, forwardTimeoutFactor*timeout)
	defer cancel()
	results := e.o.Forwarder.Forward(ctx, g.daemon, g.starts)
	s.finished(func(now time.Time) { s.recordGroup(now, c, results) })
	for i, a := range g.starts {
		if verdict.Of(results[i].Err) == verdict.NotRun && !isAnswer(results[i].Err) {
			// The other daemon did not forward it; no server has refused it.
			e.push(notSentEvent{a})
			continue
		}
		e.push(startedEvent{a, results[i].ClockMS, results[i].Err})
	}
}

// recordGroup records the outcome of a group by its fastest answer, which slow
// servers do not delay.
func (s *orderSender) recordGroup(now time.Time, c flow.Call[Action], results []StartResult) {
	var fastest time.Duration
	answered, notSent := false, true
	for _, r := range results {
		notSent = notSent && verdict.Of(r.Err) == verdict.NotRun
		if isAnswer(r.Err) && (!answered || r.Took < fastest) {
			answered, fastest = true, r.Took
		}
	}
	switch {
	case answered:
		s.queue.Answered(now, c, fastest)
	case notSent:
		s.queue.Failed(c)
	default:
		s.queue.TimedOut(now, c)
	}
}
