package flow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/flow"
)

var start = time.Unix(0, 0)

func newQueue() *flow.Queue[int] {
	return flow.NewQueue[int](start, 400*time.Millisecond, 2*time.Second)
}

func next(t *testing.T, q *flow.Queue[int], now time.Time) flow.Call[int] {
	t.Helper()
	c, ok := q.Next(now)
	if !ok {
		t.Fatal("no call may be sent")
	}
	return c
}

// What runs is kept alive and ended before more is begun.
func TestQueue_OrdersByClass(t *testing.T) {
	q := newQueue()
	q.Add(start, flow.Call[int]{Class: flow.ClassStart, Receiver: "a", Value: 3})
	q.Add(start, flow.Call[int]{Class: flow.ClassStop, Receiver: "a", Value: 2})
	q.Add(start, flow.Call[int]{Class: flow.ClassRenewal, Receiver: "a", Value: 1})
	for want := 1; want <= 3; want++ {
		if c := next(t, q, start); c.Value != want {
			t.Errorf("got call %d, want %d", c.Value, want)
		}
	}
}

// After a takeover every receiver is called at once. Those calls take their
// places in the window like others; calls whose answers are held back do not.
func TestQueue_CountsRenewalsThatAreNotHeldBack(t *testing.T) {
	for _, c := range []struct {
		held bool
		want int
	}{{false, 64}, {true, 200}} {
		q := newQueue()
		for i := range 200 {
			q.Add(start, flow.Call[int]{Class: flow.ClassRenewal, Receiver: fmt.Sprint(i), Held: c.held})
		}
		sent := 0
		for _, ok := q.Next(start); ok; _, ok = q.Next(start) {
			sent++
		}
		if sent != c.want {
			t.Errorf("held back %v: %d of 200 sent at once, want %d", c.held, sent, c.want)
		}
	}
}

func TestQueue_ReturnsExpiredCalls(t *testing.T) {
	q := newQueue()
	q.Add(start, flow.Call[int]{Class: flow.ClassStart, Receiver: "a", Value: 1, Expires: start.Add(time.Second)})
	q.Add(start, flow.Call[int]{Class: flow.ClassStart, Receiver: "a", Value: 2})
	expired := q.Expired(start.Add(1500 * time.Millisecond))
	if len(expired) != 1 || expired[0].Value != 1 {
		t.Errorf("expired: got %v, want call 1", expired)
	}
	if c := next(t, q, start); c.Value != 2 {
		t.Errorf("got call %d, want 2", c.Value)
	}
}

func TestQueue_EditRemovesAndChangesWaitingCalls(t *testing.T) {
	q := newQueue()
	for value := 1; value <= 3; value++ {
		q.Add(start, flow.Call[int]{Class: flow.ClassStart, Receiver: "a", Value: value})
	}
	q.Edit(flow.ClassStart, func(c *flow.Call[int]) bool {
		if c.Value == 3 {
			c.Value = 30
		}
		return c.Value != 2
	})
	var got []int
	for c, ok := q.Next(start); ok; c, ok = q.Next(start) {
		got = append(got, c.Value)
	}
	if len(got) != 2 || got[0] != 1 || got[1] != 30 {
		t.Errorf("sent calls %v, want 1 and 30", got)
	}
}

// One receiver that does not answer must not take the places of the others.
func TestQueue_LimitsCallsToOneReceiver(t *testing.T) {
	q := newQueue()
	for i := range 30 {
		q.Add(start, flow.Call[int]{Class: flow.ClassStart, Receiver: "a", Value: i})
	}
	q.Add(start, flow.Call[int]{Class: flow.ClassStart, Receiver: "b", Value: 100})
	sent := make(map[string]int)
	for c, ok := q.Next(start); ok; c, ok = q.Next(start) {
		sent[c.Receiver]++
	}
	if sent["a"] != 8 || sent["b"] != 1 {
		t.Errorf("in flight: got %v, want 8 to a and 1 to b", sent)
	}
}

// Without a bound, resends take the whole link when nothing is answered.
func TestQueue_BoundsResends(t *testing.T) {
	q := newQueue()
	sent := 0
	for i := range 1000 {
		q.Add(start, flow.Call[int]{Class: flow.ClassStart, Receiver: fmt.Sprint(i), Attempt: 1})
	}
	for c, ok := q.Next(start); ok; c, ok = q.Next(start) {
		q.Failed(c)
		sent++
	}
	if sent > 32 {
		t.Errorf("%d resends at once without first copies, want at most 32", sent)
	}
	if _, ok := q.Next(start.Add(time.Second)); !ok {
		t.Error("a resend was held back for longer than a second")
	}
}

func TestQueue_RoomFollowsWhatWaits(t *testing.T) {
	q := newQueue()
	before := q.Room()
	q.Add(start, flow.Call[int]{Class: flow.ClassStart, Receiver: "a"})
	if got := q.Room(); got != before-1 {
		t.Errorf("room with one more call: got %d, want %d", got, before-1)
	}
	c := next(t, q, start)
	q.Answered(start, c, time.Millisecond)
	if got := q.Room(); got != before {
		t.Errorf("room after the answer: got %d, want %d", got, before)
	}
}

// observe passes answers that were queued for the given time to the window.
func observe(w *flow.Window, from time.Time, rounds int, delay time.Duration) time.Time {
	for range rounds {
		for i := range 10 {
			from = from.Add(20 * time.Millisecond)
			w.ObserveAnswer(from, fmt.Sprint(i), delay)
		}
	}
	return from
}

func TestWindow_FollowsDelay(t *testing.T) {
	w := flow.NewWindow(start)
	initial := w.Limit()
	now := observe(w, start, 5, 300*time.Millisecond)
	lowered := w.Limit()
	if lowered > initial/4 || !w.Congested() {
		t.Errorf("after rounds with a queueing delay of 300 ms: got a limit of %d, want at most %d", lowered, initial/4)
	}
	now = observe(w, now, 5, time.Millisecond)
	if w.Limit() != lowered || w.Congested() {
		t.Errorf("a window that nothing waits for was raised to %d", w.Limit())
	}
	for w.Acquire() {
	}
	observe(w, now, 5, time.Millisecond)
	if w.Limit() <= lowered {
		t.Errorf("a full window without queueing stays at %d", w.Limit())
	}
}

// Slow receivers delay their own answers only. They are no reason to call the
// others less.
func TestWindow_IgnoresSlowReceivers(t *testing.T) {
	w := flow.NewWindow(start)
	before, now := w.Limit(), start
	for i := range 100 {
		now = now.Add(20 * time.Millisecond)
		delay := 500 * time.Millisecond
		if i%4 == 0 {
			delay = time.Millisecond
		}
		w.ObserveAnswer(now, fmt.Sprint(i%10), delay)
	}
	if w.Limit() < before {
		t.Errorf("limit lowered from %d to %d by slow receivers", before, w.Limit())
	}
}

// Time-outs at most receivers are an overload of the sender; at a few they are
// not.
func TestWindow_TellsOverloadFromSilence(t *testing.T) {
	for _, c := range []struct {
		silent  int
		lowered bool
	}{{3, false}, {9, true}} {
		w := flow.NewWindow(start)
		before, now := w.Limit(), start
		for i := range 30 {
			now = now.Add(20 * time.Millisecond)
			if i%10 < c.silent {
				w.ObserveTimeout(now, fmt.Sprint(i%10))
				continue
			}
			w.ObserveAnswer(now, fmt.Sprint(i%10), time.Millisecond)
		}
		if lowered := w.Limit() < before; lowered != c.lowered {
			t.Errorf("%d of 10 receivers silent: lowered %v, want %v", c.silent, lowered, c.lowered)
		}
	}
}

func TestRoundTrips_TimeoutFollowsMeasurements(t *testing.T) {
	r := flow.NewRoundTrips(400*time.Millisecond, 2*time.Second)
	now := start
	for range 100 {
		r.Observe(now, "a", 10*time.Millisecond)
	}
	if got := r.Timeout(); got != 400*time.Millisecond {
		t.Errorf("short round trips: got %v, want the least time-out", got)
	}
	for range 100 {
		r.Observe(now, "a", 700*time.Millisecond)
	}
	if got := r.Timeout(); got < 700*time.Millisecond || got > time.Second {
		t.Errorf("round trips of 700 ms: got %v", got)
	}
	if got := r.Observe(now, "a", 50*time.Millisecond); got != 40*time.Millisecond {
		t.Errorf("queueing delay: got %v, want 40 ms", got)
	}
	// A path that became longer for good is no queue.
	later := now.Add(40 * time.Second)
	r.Observe(later, "a", 50*time.Millisecond)
	if got := r.Observe(later.Add(40*time.Second), "a", 50*time.Millisecond); got != 0 {
		t.Errorf("queueing delay on a longer path: got %v, want 0", got)
	}
}
