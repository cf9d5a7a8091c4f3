package scheduler

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/flow"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	// minOrderTimeout and maxOrderTimeout bound the wait for the answer to an
	// order. Orders are idempotent and are resent after it.
	minOrderTimeout = 400 * time.Millisecond
	maxOrderTimeout = 2 * time.Second
	// lateAnswerTime is how long an order's connection is kept open after its
	// time-out. Closing it would cost a new connection, and the answer may
	// still tell what became of the order.
	lateAnswerTime = time.Second
	// pollSlack is the least wait for a poll's answer beyond the wait that it
	// requests.
	pollSlack = 500 * time.Millisecond
	// resendJitter is the largest random part of a delay, as a fraction of it.
	resendJitter = 0.5
)

// orderSender sends the Core's orders and polls at the rate that this daemon's
// link and processor can carry. Its methods may be called from any goroutine.
type orderSender struct {
	engine *Engine
	mu     sync.Mutex
	queue  *flow.Queue[Action]
	// congested is the last state that was logged.
	congested bool
	// offload decides whether starts are forwarded through other daemons, and
	// sent counts the starts since it was asked last.
	offload flow.Offload
	sent    int
	// groupSize is the moving average of the starts in a forwarded group.
	groupSize float64
}

func newOrderSender(e *Engine) *orderSender {
	return &orderSender{engine: e, queue: flow.NewQueue[Action](e.o.Now(), minOrderTimeout, maxOrderTimeout), groupSize: 1}
}

// add queues orders and polls.
func (s *orderSender) add(actions []Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.engine.o.Now()
	for _, a := range s.group(actions) {
		switch a := a.(type) {
		case StartTask:
			s.queue.Add(now, flow.Call[Action]{
				Class: flow.ClassStart, Receiver: a.To.ID, Attempt: a.Attempt, NotBefore: now.Add(withJitter(a.Delay)), Expires: a.Expires, Value: a,
			})
		case startGroup:
			s.queue.Add(now, flow.Call[Action]{Class: flow.ClassStart, Receiver: a.daemon, Expires: a.expires(), Value: a})
		case StopTask:
			s.addStop(now, a)
		case PollServer:
			delay := max(a.Delay, s.queue.RenewalDelay())
			s.queue.Add(now, flow.Call[Action]{
				Class: flow.ClassRenewal, Receiver: a.To.ID, Held: a.Request.Wait > 0, NotBefore: now.Add(withJitter(delay)), Value: a,
			})
		}
	}
}

// addStop queues a stop. Of a start and a stop of the same run that both wait
// neither is sent, since the run has not begun.
func (s *orderSender) addStop(now time.Time, a StopTask) {
	begun := true
	s.queue.Edit(flow.ClassStart, func(c *flow.Call[Action]) bool {
		start, rest := splitStart(c.Value, a)
		if start == nil {
			return true
		}
		if start.Attempt == 0 {
			begun = false
			s.notSent(*start)
		}
		c.Value = rest
		return rest != nil
	})
	if begun {
		s.queue.Add(now, flow.Call[Action]{
			Class: flow.ClassStop, Receiver: a.To.ID, Attempt: a.Attempt, NotBefore: now.Add(withJitter(a.Delay)), Value: a,
		})
	}
}

// withJitter lengthens a delay by a random part, so that calls that failed
// together are not resent together.
func withJitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*resendJitter*float64(d))
}

// notSent reports a start that is not going to be sent. It does not block, since
// the Engine's own goroutine may be the caller.
func (s *orderSender) notSent(a StartTask) {
	s.engine.o.Metrics.startsWithdrawn.Inc()
	go s.engine.push(notSentEvent{a})
}

// pump sends all calls that may be sent now. Once the Engine has ended nothing is
// sent any more, since another owner may have followed.
func (s *orderSender) pump() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine.ctx.Err() != nil {
		return
	}
	now := s.engine.o.Now()
	for _, c := range s.queue.Expired(now) {
		for _, a := range startsOf(c.Value) {
			s.notSent(a)
		}
	}
	for c, ok := s.queue.Next(now); ok; c, ok = s.queue.Next(now) {
		s.send(c)
	}
	s.logCongestion()
}

// send sends a call. The caller holds s.mu.
func (s *orderSender) send(c flow.Call[Action]) {
	timeout := s.queue.Timeout()
	s.sent += len(startsOf(c.Value))
	switch a := c.Value.(type) {
	case PollServer:
		go s.sendPoll(c, a, a.Request.Wait+max(pollSlack, timeout))
	case startGroup:
		go s.forward(c, a, timeout)
	default:
		go s.sendOrder(c, timeout)
	}
}

// room returns how many more starts should be queued now.
func (s *orderSender) room() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(float64(s.queue.Room()) * s.groupSize)
}

func (s *orderSender) logCongestion() {
	status := s.queue.Status()
	if status.Congested == s.congested {
		return
	}
	s.congested = status.Congested
	s.engine.o.Events.Log(events.OrdersCongested, "partition", s.engine.o.Partition.Part, "congested", status.Congested, "window", status.Window,
		"inFlight", status.InFlight, "waiting", status.Waiting, "delay", status.Delay.Milliseconds(), "timeout", status.Timeout.Milliseconds())
}

func (s *orderSender) sendPoll(c flow.Call[Action], a PollServer, timeout time.Duration) {
	e := s.engine
	ctx, cancel := context.WithTimeout(e.ctx, timeout)
	defer cancel()
	sent := e.o.Now()
	request := a.Request
	withheld := request.AckedEnd > 0 && sent.After(request.AckValidUntil)
	if withheld {
		request.AckedEnd = 0
	}
	list, err := e.o.Servers.Poll(ctx, a.To, request)
	list.AckWithheld = withheld
	s.finished(func(now time.Time) {
		switch {
		case isAnswer(err):
			s.queue.Answered(now, c, now.Sub(sent))
		case ctx.Err() != nil:
			s.queue.TimedOut(now, c)
		default:
			s.queue.Failed(c)
		}
	})
	e.push(polledEvent{a.To, sent, list, err})
}

// sendOrder sends an order and reports its outcome. An order without an answer
// within the time-out is reported as such; an answer that comes later is
// reported too.
func (s *orderSender) sendOrder(c flow.Call[Action], timeout time.Duration) {
	e := s.engine
	ctx, cancel := context.WithTimeout(e.ctx, timeout+lateAnswerTime)
	defer cancel()
	sent := e.o.Now()
	timer := time.AfterFunc(timeout, func() {
		s.finished(func(now time.Time) { s.queue.TimedOut(now, c) })
		e.push(outcomeOf(c.Value, 0, verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer within %s", timeout)))
	})
	clock, err := s.call(ctx, c.Value)
	if !timer.Stop() {
		if isAnswer(err) {
			e.push(outcomeOf(c.Value, clock, err))
		}
		return
	}
	s.finished(func(now time.Time) {
		if isAnswer(err) {
			s.queue.Answered(now, c, now.Sub(sent))
			return
		}
		s.queue.Failed(c)
	})
	e.push(outcomeOf(c.Value, clock, err))
}

// isAnswer reports whether a call's error, or nil, is the server's answer.
func isAnswer(err error) bool { return err == nil || verdict.ReasonOf(err) != ReasonNoAnswer }

// finished records the end of a call and sends what may be sent now.
func (s *orderSender) finished(record func(now time.Time)) {
	s.mu.Lock()
	record(s.engine.o.Now())
	s.mu.Unlock()
	s.pump()
}

func (s *orderSender) call(ctx context.Context, a Action) (clock int64, err error) {
	switch a := a.(type) {
	case StartTask:
		return s.engine.o.Servers.Start(ctx, a.To, a.Order)
	case StopTask:
		return 0, s.engine.o.Servers.Stop(ctx, a.To, a.Order)
	}
	return 0, nil
}

// outcomeOf returns the event that reports the outcome of an order.
func outcomeOf(a Action, clock int64, err error) event {
	if stop, ok := a.(StopTask); ok {
		return stoppedEvent{stop, err}
	}
	return startedEvent{a.(StartTask), clock, err}
}

type notSentEvent struct{ action StartTask }

func (ev notSentEvent) apply(c *Core) { c.StartNotSent(ev.action.To, ev.action.Order) }
