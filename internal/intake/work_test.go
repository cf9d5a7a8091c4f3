package intake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// queueUp begins a body and waits for the processor in the background; order gets the name once
// it may be worked on.
func queueUp(q *WorkQueue, group, name string, size int64, order *[]string) *Work {
	w := q.Begin(group, size, time.Time{})
	go func() {
		w.Acquire()
		*order = append(*order, name)
		w.Add(size)
		w.End()
	}()
	synctest.Wait()
	return w
}

// A crowd of large bodies must not take turns with each other until all are too late: the one
// that began first comes first, and groups take turns by the work that they had.
func TestWorkQueue_Order(t *testing.T) {
	for _, c := range []struct {
		name   string
		bodies [][2]string
		sizes  []int64
		want   string
	}{
		{"in their order", [][2]string{{"g", "a"}, {"g", "b"}, {"g", "c"}}, []int64{300, 100, 200}, "abc"},
		{"one of another group is not behind a crowd", [][2]string{{"g", "a"}, {"g", "b"}, {"g", "c"}, {"h", "x"}}, []int64{100, 100, 100, 150}, "axbc"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := NewWorkQueue(1, time.Now)
				running := q.Begin("g", 1, time.Time{})
				running.Acquire()
				var order []string
				for i, b := range c.bodies {
					queueUp(q, b[0], b[1], c.sizes[i], &order)
				}
				running.End()
				synctest.Wait()
				if got := strings.Join(order, ""); got != c.want {
					t.Errorf("%s, want %s", got, c.want)
				}
				if q.running != 0 || q.waiting != 0 || len(q.groups) != 0 {
					t.Errorf("%d running, %d waiting, %d groups after all bodies, want none", q.running, q.waiting, len(q.groups))
				}
			})
		})
	}
}

// A body that waits for its client must not keep the processor, one that is cancelled must not
// wait on, and one that ends twice must not let two others in.
func TestWorkQueue_ReleasesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewWorkQueue(1, time.Now)
		first := q.Begin("g", 100, time.Time{})
		first.Acquire()
		var order []string
		queueUp(q, "g", "second", 100, &order)
		cancelled := queueUp(q, "g", "cancelled", 200, &order)
		first.Release()
		synctest.Wait()
		if len(order) == 0 || order[0] != "second" {
			t.Errorf("%v went on after a release, want second first", order)
		}
		cancelled.Cancel()
		first.End()
		first.End()
		synctest.Wait()
		if q.running != 0 || q.waiting != 0 {
			t.Errorf("%d running and %d waiting, want none", q.running, q.waiting)
		}
	})
}

// While a body waits for memory, those that began later must not start: they would take what
// becomes free, until all hold a part and none is completed. Other groups go on.
func TestWorkQueue_LaterOnesWaitForMemoryToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewWorkQueue(1, time.Now)
		earlier, starved := q.Begin("g", 100, time.Time{}), q.Begin("g", 100, time.Time{})
		starved.Acquire()
		var order []string
		queueUp(q, "g", "later", 100, &order)
		starved.Yield()
		synctest.Wait()
		if len(order) != 0 {
			t.Errorf("%v went on, want none that began later", order)
		}
		earlier.Acquire()
		if !earlier.running {
			t.Error("one that began earlier does not go on")
		}
		earlier.End()
		queueUp(q, "h", "other", 100, &order)
		if len(order) != 1 || order[0] != "other" {
			t.Errorf("%v went on, want the other group", order)
		}
		starved.Acquire()
		if !starved.running {
			t.Error("the body does not go on once it has memory")
		}
		starved.End()
		synctest.Wait()
		if len(order) != 2 || q.running != 0 || q.waiting != 0 || len(q.groups) != 0 {
			t.Errorf("%v went on, %d running, %d waiting, %d groups after all, want the later one and none", order, q.running, q.waiting, len(q.groups))
		}
	})
}

// A body that cannot be worked on in time is refused: after the longest wait, or at once if the
// work ahead shows it, with the time that this work takes.
func TestWorkQueue_RefusesWhatComesTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewWorkQueue(1, time.Now)
		running := q.Begin("g", 10_000_000, time.Time{})
		running.Acquire()
		var order []string
		waiting := queueUp(q, "g", "waiting", 1_000_000, &order)
		time.Sleep(workWaitTimeout + time.Second)
		var refusal *Refusal
		if err := waiting.Refused(); !errors.As(err, &refusal) || refusal.Reason != ReasonBusy {
			t.Errorf("%v after the longest wait, want %s", err, ReasonBusy)
		}
		began := time.Now()
		short := q.Begin("g", 1000, began.Add(100*time.Millisecond))
		short.Acquire()
		if short.Refused() == nil || time.Since(began) != 100*time.Millisecond {
			t.Errorf("%v after %v, want a refusal at the caller's deadline", short.Refused(), time.Since(began))
		}
		short.End()
		queueUp(q, "g", "ahead", 900_000, &order)
		for range 12 {
			time.Sleep(100 * time.Millisecond)
			running.Add(10_000)
		}
		// 100,000 bytes a second leave 900,000 for 9 s.
		began = time.Now()
		late := q.Begin("g", 1_000_000, time.Time{})
		late.Acquire()
		if err := late.Refused(); !errors.As(err, &refusal) || refusal.RetryAfter < 8*time.Second || refusal.RetryAfter > 10*time.Second || time.Since(began) > 0 {
			t.Errorf("%v with Retry-After %v after %v, want a refusal at once and 9 s", err, refusal.RetryAfter, time.Since(began))
		}
		late.End()
		waiting.End()
		running.End()
	})
}

// Large bodies on real connections: those that stop short hold no turn, so that one that comes
// whole is read, whether its length is declared or not.
func TestBodies_LargeOnesAreReadBesideStoppedOnes(t *testing.T) {
	bodies := NewBodies(minBodyBytes, Limits{StallTimeout: 5 * time.Second, BodyTimeout: 10 * time.Second}, nil)
	bodies.Work = NewWorkQueue(1, time.Now)
	socket, err := Listen("127.0.0.1:0", SocketOptions{Connections: 16, Bytes: 32 * kilobyte})
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(bodies.Protect(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := bodies.Read(w, r, BodyOptions{Limit: 200_000})
		defer body.Release()
		body.Parsed()
		if err != nil || len(body.Bytes) != 100_000 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "whole")
	})), LimitsFor(VM{}, Profile{}, Limits{}))
	l := NewListener(socket, ListenerOptions{Name: "test", Connections: 16})
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	for range 4 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 99_980))
	}
	body := strings.Repeat("x", 100_000)
	for _, text := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 100000\r\n\r\n" + body,
		"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + body + "\r\n0\r\n\r\n",
	} {
		if got := answered(t, l.Addr().String(), text); !strings.HasSuffix(got, "whole") {
			t.Errorf("%.40q: %q, want its body read", text, got)
		}
	}
}
