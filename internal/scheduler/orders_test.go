package scheduler

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// slowServers answers every start after a delay and counts the orders.
type slowServers struct {
	ServerClient
	delay time.Duration

	mu            sync.Mutex
	starts, stops int
	cancelled     int
}

func (s *slowServers) Start(ctx context.Context, _ Instance, _ Order) (int64, error) {
	s.mu.Lock()
	s.starts++
	s.mu.Unlock()
	select {
	case <-time.After(s.delay):
		return 1, nil
	case <-ctx.Done():
		s.mu.Lock()
		s.cancelled++
		s.mu.Unlock()
		return 0, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, ReasonNoAnswer)
	}
}

func (s *slowServers) Stop(context.Context, Instance, Order) error {
	s.mu.Lock()
	s.stops++
	s.mu.Unlock()
	return nil
}

// counts returns the numbers of starts, stops and cancelled calls.
func (s *slowServers) counts() (starts, stops, cancelled int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts, s.stops, s.cancelled
}

// newTestSender returns the orderSender of an Engine that does not run.
func newTestSender(t *testing.T, servers ServerClient) *orderSender {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return newTestSenderUntil(ctx, servers)
}

// newTestSenderUntil returns the orderSender of an Engine that ends with ctx.
func newTestSenderUntil(ctx context.Context, servers ServerClient) *orderSender {
	e := NewEngine(EngineOptions{Servers: servers, Events: events.Discard(), Metrics: NewMetrics(metrics.NewSet()), Now: time.Now})
	e.ctx = ctx
	return e.orders
}

func startOf(server, index int) StartTask {
	return StartTask{
		To:      Instance{ID: fmt.Sprintf("s%d", server)},
		Order:   Order{Task: workload.TaskID{Submission: id1, Index: index}, Run: 1},
		Expires: time.Now().Add(time.Minute),
	}
}

// takeEvents returns the events that wait for the Core.
func takeEvents(e *Engine) []event {
	var out []event
	for {
		select {
		case ev := <-e.events.C():
			out = append(out, ev)
		default:
			return out
		}
	}
}

// A stop that is sent beside a start of the same run may arrive first. Where the
// start still waits, neither is sent.
func TestOrderSender_StopWithdrawsAWaitingStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := &slowServers{delay: 300 * time.Millisecond}
		s := newTestSender(t, servers)
		const orders = 100
		for i := range orders {
			s.add([]Action{startOf(i, i)})
		}
		s.pump()
		synctest.Wait()
		if starts, _, _ := servers.counts(); starts >= orders {
			t.Fatalf("%d starts sent at once, so that none waits", starts)
		}
		last := startOf(orders-1, orders-1)
		s.add([]Action{StopTask{To: last.To, Order: last.Order}})
		s.pump()
		synctest.Wait()
		waiting := takeEvents(s.engine)
		if len(waiting) != 1 {
			t.Fatalf("%d events, want one", len(waiting))
		}
		if ev, ok := waiting[0].(notSentEvent); !ok || ev.action.Order != last.Order {
			t.Errorf("got event %+v, want that the start was not sent", waiting[0])
		}
		time.Sleep(2 * time.Second)
		if starts, stops, _ := servers.counts(); starts != orders-1 || stops != 0 {
			t.Errorf("%d starts and %d stops sent, want %d and none", starts, stops, orders-1)
		}
	})
}

// An owner that has lost its partition may have orders waiting. Sent after that,
// they would be beside those of the next owner.
func TestOrderSender_SendsNothingOnceTheEngineHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := &slowServers{delay: 300 * time.Millisecond}
		ctx, cancel := context.WithCancel(t.Context())
		s := newTestSenderUntil(ctx, servers)
		for i := range 100 {
			s.add([]Action{startOf(i, i)})
		}
		s.pump()
		synctest.Wait()
		sent, _, _ := servers.counts()
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
		if after, _, _ := servers.counts(); after != sent {
			t.Errorf("%d orders sent after the end", after-sent)
		}
	})
}

// A stop of a start that was sent must follow it.
func TestOrderSender_StopFollowsASentStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := &slowServers{delay: 300 * time.Millisecond}
		s := newTestSender(t, servers)
		start := startOf(0, 0)
		s.add([]Action{start})
		s.pump()
		s.add([]Action{StopTask{To: start.To, Order: start.Order}})
		s.pump()
		synctest.Wait()
		if starts, stops, _ := servers.counts(); starts != 1 || stops != 1 {
			t.Errorf("%d starts and %d stops sent, want one each", starts, stops)
		}
	})
}

// A server that answers just after the time-out is healthy: its connection stays
// open, and its answer ends the doubt about the start.
func TestOrderSender_ReportsALateAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := &slowServers{delay: minOrderTimeout + 200*time.Millisecond}
		s := newTestSender(t, servers)
		s.add([]Action{startOf(0, 0)})
		s.pump()
		time.Sleep(time.Second)
		synctest.Wait()
		outcomes := takeEvents(s.engine)
		if len(outcomes) != 2 {
			t.Fatalf("%d events, want a time-out and an answer", len(outcomes))
		}
		if err := outcomes[0].(startedEvent).err; verdict.Of(err) != verdict.MayHaveRun {
			t.Errorf("at the time-out: %v, want that the start may have run", err)
		}
		if err := outcomes[1].(startedEvent).err; err != nil {
			t.Errorf("after the answer: %v, want success", err)
		}
		if _, _, cancelled := servers.counts(); cancelled != 0 {
			t.Errorf("%d calls cancelled at a server that answers", cancelled)
		}
	})
}

// A start whose ticket expires while it waits would only be refused.
func TestOrderSender_DropsExpiredStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := &slowServers{delay: 300 * time.Millisecond}
		s := newTestSender(t, servers)
		const orders = 100
		for i := range orders {
			a := startOf(i, i)
			a.Expires = time.Now().Add(200 * time.Millisecond)
			s.add([]Action{a})
		}
		s.pump()
		time.Sleep(time.Second)
		synctest.Wait()
		dropped := 0
		for _, ev := range takeEvents(s.engine) {
			if _, ok := ev.(notSentEvent); ok {
				dropped++
			}
		}
		if starts, _, _ := servers.counts(); dropped == 0 || dropped+starts != orders {
			t.Errorf("%d starts sent and %d dropped, want some dropped and %d in all", starts, dropped, orders)
		}
	})
}

func TestCore_StartThatWasNotSentIsPlacedAgain(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.submit(id1, oneTask(20000))
	first := h.takeStarts()[0]
	h.do(func(c *Core) { c.StartNotSent(first.To, first.Order) })
	starts := h.takeStarts()
	if len(starts) != 1 || len(h.stops) != 0 {
		t.Fatalf("%d starts and %d stops, want the task to be placed again", len(starts), len(h.stops))
	}
}

// An earlier copy without an answer may have begun the run, so that its resend
// cannot simply be dropped.
func TestCore_ResendThatWasNotSentIsStopped(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	h.submit(id1, oneTask(20000))
	first := h.takeStarts()[0]
	h.do(func(c *Core) {
		c.StartCompleted(first.To, first.Order, 0, verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer"))
	})
	resend := h.takeStarts()[0]
	if resend.Attempt != 1 || resend.Delay < minResendDelay {
		t.Errorf("resend: attempt %d after %s, want attempt 1 after at least %s", resend.Attempt, resend.Delay, minResendDelay)
	}
	h.do(func(c *Core) { c.StartNotSent(resend.To, resend.Order) })
	if len(h.takeStarts()) != 0 || len(h.stops) != 1 {
		t.Errorf("%d stops, want the doubtful run to be stopped before the task moves", len(h.stops))
	}
}

// Starts beyond what can be sent soon are not placed, so that work that arrives
// meanwhile and comes first is not behind them.
func TestCore_PlacesNoMoreThanCanBeSent(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	h.core.SetStartRoom(3)
	many := oneTask(1000)
	many.Count = 10
	h.submit(id1, many)
	if n := len(h.takeStarts()); n != 3 {
		t.Fatalf("%d starts, want 3", n)
	}
	h.addUrgentQueue()
	h.submitToUrgentQueue(id2, oneTask(1000))
	h.core.SetStartRoom(1)
	h.do(func(*Core) {})
	starts := h.takeStarts()
	if len(starts) != 1 || starts[0].Order.Task.Submission != id2 {
		t.Errorf("got %d starts, want that of the urgent submission", len(starts))
	}
}

// Fixed delays let the copies of many orders arrive together again and again.
func TestResendDelay_Grows(t *testing.T) {
	if d := resendDelay(0); d != 0 {
		t.Errorf("first copy delayed by %s", d)
	}
	for copies := 1; copies < 20; copies++ {
		if d := resendDelay(copies); d < resendDelay(copies-1) || d > maxResendDelay {
			t.Errorf("delay after %d copies: %s", copies, d)
		}
	}
	if resendDelay(6) != maxResendDelay {
		t.Errorf("delay after 6 copies: %s, want %s", resendDelay(6), maxResendDelay)
	}
}
