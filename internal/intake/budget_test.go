package intake

import (
	"bytes"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// largestBody is the longest body of a submission.
const largestBody = 262144

// start adds a request that takes n bytes, of which received have come.
func start(t *testing.T, b *Budget, n, received int64, interrupted *string, name string) *Entry {
	t.Helper()
	e := b.Begin(Client{}, largestBody, func() { *interrupted += name })
	if err := e.Take(n); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if err := e.Add(int(received)); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return e
}

// An ordinary caller must not be refused because others hold the budget: the request that
// has stopped gives way, though it has sent the most.
func TestBudget_StoppedRequestGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(800*kilobyte, time.Now)
		var interrupted string
		stopped := start(t, b, 300*kilobyte, 250_000, &interrupted, "stopped")
		steady := start(t, b, 300*kilobyte, 10_000, &interrupted, "steady")
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			if err := steady.Add(10_000); err != nil {
				t.Fatal(err)
			}
		}
		done := make(chan error, 1)
		next := b.Begin(Client{}, 200*kilobyte, func() {})
		go func() { done <- next.Take(200 * kilobyte) }()
		synctest.Wait()
		if interrupted != "stopped" {
			t.Fatalf("%q gave way, want stopped", interrupted)
		}
		var refusal *Refusal
		if err := stopped.Add(1); !errors.As(err, &refusal) || refusal.Reason != ReasonGaveWay {
			t.Errorf("%v, want %s", err, ReasonGaveWay)
		}
		stopped.End()
		if err := <-done; err != nil {
			t.Errorf("the next request: %v", err)
		}
		next.End()
		steady.End()
		if u := b.Usage(); u.Held != 0 {
			t.Errorf("%d bytes are held after all requests, want 0", u.Held)
		}
	})
}

// A request that has come whole may run, and must not be refused as not run.
func TestBudget_ArrivedRequestDoesNotGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(400*kilobyte, time.Now)
		var interrupted string
		first := start(t, b, 300*kilobyte, largestBody, &interrupted, "arrived")
		if err := first.Arrived(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		var refusal *Refusal
		second := b.Begin(Client{}, largestBody, func() {})
		if err := second.Take(200 * kilobyte); !errors.As(err, &refusal) || refusal.Reason != ReasonFull {
			t.Errorf("%v, want %s", err, ReasonFull)
		}
		if interrupted != "" {
			t.Errorf("%q gave way, want none", interrupted)
		}
		small := b.Begin(Client{}, 1000, func() {})
		if err := small.Take(firstBytes); err != nil {
			t.Errorf("a small request: %v, want its part of the budget", err)
		}
	})
}

// Requests that all hold a part and wait for more must not wait for each other: the one that
// began first goes on.
func TestBudget_LastGivesWayIfAllWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(800*kilobyte, time.Now)
		var interrupted string
		type outcome struct {
			name string
			err  error
		}
		finished := make(chan outcome, 2)
		entries := make(map[string]*Entry)
		for _, name := range []string{"a", "b"} {
			entries[name] = start(t, b, 300*kilobyte, 200_000, &interrupted, name)
		}
		for name, e := range entries {
			go func() {
				err := e.Take(200 * kilobyte)
				if err != nil {
					e.End()
				}
				finished <- outcome{name, err}
			}()
		}
		results := make(map[string]error)
		for range 2 {
			o := <-finished
			results[o.name] = o.err
		}
		if results["a"] != nil || results["b"] == nil || interrupted != "b" {
			t.Errorf("%v, %q gave way, want the first one to go on", results, interrupted)
		}
	})
}

// A body that waits for memory must not wait for one that waits for the processor behind it: both
// would be refused, the first after a second.
func TestBudget_LastGivesWayThoughItWaitsForTheProcessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, q := NewBudget(800*kilobyte, time.Now), NewWorkQueue(1, time.Now)
		var interrupted string
		first := start(t, b, 300*kilobyte, 200_000, &interrupted, "first")
		second := start(t, b, 300*kilobyte, 200_000, &interrupted, "second")
		first.setWork(q.Begin("g", largestBody, time.Time{}))
		second.setWork(q.Begin("g", largestBody, time.Time{}))
		first.work.Acquire()
		go func() {
			second.work.Acquire()
			second.work.End()
			second.End()
		}()
		synctest.Wait()
		time.Sleep(100 * time.Millisecond)
		second.interrupt = func() { interrupted += "second"; second.work.Cancel() }
		began := time.Now()
		if err := first.Take(200 * kilobyte); err != nil || interrupted != "second" || time.Since(began) > retryInterval {
			t.Errorf("%v after %v, %q gave way, want the second one at once", err, time.Since(began), interrupted)
		}
		first.work.End()
		first.End()
	})
}

// Answers that one daemon does not read must not keep those to others from being sent. A
// connection that was quiet is not slow because its next answer is long.
func TestBudget_UnreadAnswersGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(8*megabyte, time.Now)
		var interrupted string
		unread := b.Begin(Client{}, 0, func() { interrupted += "unread" })
		quiet := b.Begin(Client{}, 0, func() { interrupted += "quiet" })
		if !unread.TryQueue(5 * megabyte) {
			t.Fatal("the first answer found no room")
		}
		time.Sleep(time.Minute)
		if !quiet.TryQueue(4 * megabyte) {
			t.Error("the answer of the quiet connection found no room")
		}
		if interrupted != "unread" || unread.TryQueue(1) {
			t.Errorf("%q gave way, want unread", interrupted)
		}
	})
}

// A client's rate is what it sends now: one that sent most at once and then a byte at a
// time is slow.
func TestProgress_LeftFollowsThePresentRate(t *testing.T) {
	begin := time.Now()
	drips, steady := NewProgress(250_000, begin), NewProgress(250_000, begin)
	drips.Add(240_000, begin)
	now := begin
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		drips.Add(1, now)
		steady.Add(5_000, now)
	}
	if a, b := drips.Left(now), steady.Left(now); a < 100*b {
		t.Errorf("left %s for one that drips and %s for a steady one, want far more", a, b)
	}
}

// The longest idle connection gives way, one of a busy request never, and a known daemon
// only if there is no other.
func TestYielding_ChoosesTheLongestIdle(t *testing.T) {
	idle := func(address string, s int) ConnectionState {
		return ConnectionState{Address: address, Idle: time.Duration(s) * time.Second}
	}
	busy, known := idle("a", 9), idle("a", 8)
	busy.Busy, known.Known = true, true
	for _, c := range []struct {
		name              string
		all               []ConnectionState
		limit, perAddress int
		index             int
		ok                bool
	}{
		{"room", []ConnectionState{idle("a", 1)}, 2, 2, -1, true},
		{"full", []ConnectionState{idle("a", 1), busy, known, idle("b", 3)}, 4, 4, 3, true},
		{"only a known one", []ConnectionState{busy, known}, 2, 2, 1, true},
		{"all busy", []ConnectionState{busy}, 1, 1, -1, false},
		{"all new", []ConnectionState{idle("a", 0)}, 1, 1, -1, false},
		{"the address's own", []ConnectionState{idle("b", 5), idle("a", 2)}, 9, 1, 1, true},
	} {
		if index, ok := Yielding(c.all, "a", c.limit, c.perAddress); index != c.index || ok != c.ok {
			t.Errorf("%s: %d, %t, want %d, %t", c.name, index, ok, c.index, c.ok)
		}
	}
}

// The largest legal body must fit the derived limits of every VM, with its decoded form,
// as must the longest message between daemons; and a VM without known limits gets more
// than the largest.
func TestLimitsFor_HoldTheLargestRequest(t *testing.T) {
	worst := bytes.Repeat([]byte("0,"), largestBody/2)
	var last Limits
	for _, memory := range []int64{72, 144, 184, 284, 536, 0} {
		l := LimitsFor(VM{MemoryMB: memory}, Profile{}, Limits{})
		need := largestBody + 1 + DecodedBytes(worst, 256) + 256*1024
		if room := l.BodyBytes - l.BodyBytes/smallPart; need > room {
			t.Errorf("%d MB: a body needs %d bytes, and %d are free for one", memory, need, room)
		}
		if room := l.MessageBytes - l.MessageBytes/smallPart; 6*megabyte > room {
			t.Errorf("%d MB: %d bytes for messages, want 6 MB", memory, room)
		}
		if l.AddressConnections >= l.Connections || l.BodyBytes < last.BodyBytes || l.Connections < last.Connections {
			t.Errorf("%d MB: %+v after %+v", memory, l, last)
		}
		last = l
	}
	if l := LimitsFor(VM{MemoryMB: 536, Descriptors: 256}, Profile{}, Limits{}); l.Connections+l.PeerConnections+l.OperatorConnections > 192 {
		t.Errorf("%+v take more than three quarters of 256 descriptors", l)
	}
	set := Limits{BodyBytes: 5 * megabyte, Connections: 20}
	if l := LimitsFor(VM{MemoryMB: 144, Descriptors: 3075}, Profile{}, set); l.BodyBytes != set.BodyBytes || l.Connections != 20 || set.Validate() != nil {
		t.Errorf("%+v, want what was set", l)
	}
	if (Limits{BodyBytes: megabyte}).Validate() == nil || (Limits{Connections: -1}).Validate() == nil {
		t.Error("limits below the least are valid")
	}
}
