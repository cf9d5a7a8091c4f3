package fairqueue_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/estimate"
	"github.com/currantwinch/currantwinch/fairqueue"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

// stream is a caller that always has requests waiting.
type stream struct {
	team   string
	weight int
	caller string
	// cost is the expected slot time of a request, and used the actual one.
	cost, used time.Duration
}

// shares serves streams n times and returns the slot time of each team and
// caller.
func shares(streams []stream, n int) map[string]time.Duration {
	q := fairqueue.New[stream](fairqueue.Options{})
	push := func(s stream) {
		_, _ = q.Push(fairqueue.Request{Team: s.team, Weight: s.weight, Caller: s.caller, Cost: s.cost}, s, start)
	}
	for _, s := range streams {
		push(s)
		push(s)
	}
	got := make(map[string]time.Duration)
	for range n {
		item, _ := q.Pop(fairqueue.Slots{Free: 1, Total: 1}, start)
		got[item.Value.team] += item.Value.used
		got[item.Value.team+"/"+item.Value.caller] += item.Value.used
		q.Done(item.Handle, item.Value.used)
		push(item.Value)
	}
	return got
}

func TestQueue_SharesByActualUse(t *testing.T) {
	const unit = 10 * time.Millisecond
	split := []stream{{"a", 1, "only", unit, unit}}
	for i := range 10 {
		split = append(split, stream{"b", 1, fmt.Sprint(i), unit, unit})
	}
	cases := []struct {
		name    string
		streams []stream
		a, b    string
		// ratio is the expected slot time of a divided by that of b.
		ratio float64
	}{
		{"equal callers", []stream{{"t", 1, "a", unit, unit}, {"t", 1, "b", unit, unit}}, "t/a", "t/b", 1},
		{"weights", []stream{{"a", 3, "c", unit, unit}, {"b", 1, "c", unit, unit}}, "a", "b", 3},
		{"callers of a team split its share", split, "a", "b", 1},
		{"underestimate is charged when done", []stream{{"t", 1, "a", unit, unit}, {"t", 1, "b", unit, 10 * unit}}, "t/a", "t/b", 1},
		{"overestimate is refunded when done", []stream{{"t", 1, "a", unit, unit}, {"t", 1, "b", 10 * unit, unit}}, "t/a", "t/b", 1},
	}
	for _, c := range cases {
		got := shares(c.streams, 4000)
		ratio := got[c.a].Seconds() / got[c.b].Seconds()
		if ratio < 0.98*c.ratio || ratio > 1.02*c.ratio {
			t.Errorf("%s: ratio %.3f, want %.3f", c.name, ratio, c.ratio)
		}
	}
}

func TestQueue_NoCreditForIdleTime(t *testing.T) {
	q := fairqueue.New[string](fairqueue.Options{})
	push := func(caller string) {
		_, _ = q.Push(fairqueue.Request{Team: "t", Caller: caller, Cost: time.Second}, caller, start)
	}
	pop := func() string {
		item, _ := q.Pop(fairqueue.Slots{Free: 1, Total: 1}, start)
		q.Done(item.Handle, time.Second)
		return item.Value
	}
	push("late")
	pop()
	for range 10 {
		push("busy")
		push("busy")
		pop()
	}
	late := 0
	for range 4 {
		push("late")
	}
	for range 4 {
		if pop() == "late" {
			late++
		}
	}
	if late > 3 {
		t.Errorf("caller that was idle got %d of 4 slots, want at most 3", late)
	}
}

func TestQueue_NextClass(t *testing.T) {
	cases := []struct {
		name        string
		short, long int
		slots       fairqueue.Slots
		want        string
	}{
		{"short first", 1, 1, fairqueue.Slots{Free: 1, Total: 4}, "short"},
		{"long when no short waits", 0, 1, fairqueue.Slots{Free: 1, Total: 4}, "long"},
		{"long leaves the reserve", 0, 1, fairqueue.Slots{Free: 1, Total: 4, Long: 3, ShortReserve: 1}, ""},
		{"minimum of long requests comes first", 1, 1, fairqueue.Slots{Free: 1, Total: 4, Long: 0, LongMinimum: 1}, "long"},
		{"no class without a free slot", 1, 1, fairqueue.Slots{Total: 4}, ""},
	}
	for _, c := range cases {
		q := fairqueue.New[string](fairqueue.Options{})
		for range c.short {
			_, _ = q.Push(fairqueue.Request{Class: estimate.Short}, "short", start)
		}
		for range c.long {
			_, _ = q.Push(fairqueue.Request{Class: estimate.Long}, "long", start)
		}
		if item, _ := q.Pop(c.slots, start); item.Value != c.want {
			t.Errorf("%s: got %q, want %q", c.name, item.Value, c.want)
		}
	}
}

// While long requests have a minimum of m slots and no run takes longer than r,
// the n-th long request starts within (n/m + 1) r, regardless of short requests.
func TestQueue_LongStartsWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 8
		minimum := rapid.IntRange(1, total).Draw(t, "minimum")
		longest := rapid.IntRange(1, 20).Draw(t, "longest")
		n := rapid.IntRange(1, 40).Draw(t, "n")
		q := fairqueue.New[int](fairqueue.Options{})
		for i := range n {
			_, _ = q.Push(fairqueue.Request{Caller: "long", Class: estimate.Long, Cost: time.Second}, i, start)
		}
		var ends [total]int
		var long [total]bool
		started := 0
		for tick := 0; started < n; tick++ {
			if tick > (n/minimum+1)*longest {
				t.Fatalf("%d of %d long requests started by tick %d", started, n, tick)
			}
			for range total {
				_, _ = q.Push(fairqueue.Request{Caller: "short", Class: estimate.Short, Cost: time.Second}, -1, start)
			}
			running := 0
			for i := range ends {
				if ends[i] <= tick {
					long[i] = false
				}
				if long[i] {
					running++
				}
			}
			for i := range ends {
				if ends[i] > tick {
					continue
				}
				item, ok := q.Pop(fairqueue.Slots{Free: 1, Total: total, Long: running, LongMinimum: minimum}, start)
				if !ok {
					continue
				}
				q.Done(item.Handle, time.Second)
				ends[i] = tick + rapid.IntRange(1, longest).Draw(t, "run")
				if long[i] = item.Value >= 0; long[i] {
					running++
					started++
				}
			}
		}
	})
}

func TestQueue_OneCallerCannotFillQueue(t *testing.T) {
	q := fairqueue.New[int](fairqueue.Options{MaxQueued: 100, MinPerCaller: 4})
	accepted := 0
	for range 1000 {
		if _, err := q.Push(fairqueue.Request{Caller: "flooder"}, 0, start); err == nil {
			accepted++
		} else if !errors.Is(err, fairqueue.ErrCallerFull) {
			t.Fatal(err)
		}
	}
	for i := range 8 {
		if _, err := q.Push(fairqueue.Request{Caller: fmt.Sprint(i)}, 0, start); err != nil {
			t.Fatalf("caller %d: %v after one caller queued %d requests", i, err, accepted)
		}
	}
}

func TestQueue_ExpiredIsReturnedOnce(t *testing.T) {
	q := fairqueue.New[string](fairqueue.Options{})
	late, _ := q.Push(fairqueue.Request{LatestStart: start.Add(time.Second)}, "late", start)
	_, _ = q.Push(fairqueue.Request{LatestStart: start.Add(time.Minute)}, "early", start)
	if _, ok := q.Expired(start); ok {
		t.Error("expired before its time")
	}
	if next, _ := q.NextExpiry(); !next.Equal(start.Add(time.Second)) {
		t.Errorf("next expiry %v", next)
	}
	now := start.Add(time.Second)
	if item, ok := q.Expired(now); !ok || item.Value != "late" || item.Waited != time.Second {
		t.Errorf("got %v, %v", item, ok)
	}
	if q.Cancel(late) || q.Done(late, 0) {
		t.Error("the handle of an expired request is still valid")
	}
	if item, _ := q.Pop(fairqueue.Slots{Free: 1, Total: 1}, now); item.Value != "early" {
		t.Errorf("popped %q", item.Value)
	}
}

// Runs random operations and compares the queue's counts with a model.
func TestQueue_Model(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 30
		q := fairqueue.New[int](fairqueue.Options{MaxQueued: bound, MinPerCaller: 2, MaxIdleAccounts: 3})
		waiting := map[int]fairqueue.Handle[int]{}
		running := map[int]fairqueue.Handle[int]{}
		now, next := start, 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				r := fairqueue.Request{
					Team:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
					Weight: rapid.IntRange(0, 3).Draw(t, "weight"),
					Caller: rapid.SampledFrom([]string{"x", "y", "z", "w"}).Draw(t, "caller"),
					Class:  estimate.Class(rapid.IntRange(0, 1).Draw(t, "class")),
					Cost:   time.Duration(rapid.IntRange(0, 100).Draw(t, "cost")) * time.Millisecond,
				}
				if rapid.Bool().Draw(t, "deadline") {
					r.LatestStart = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "left")) * time.Second)
				}
				if h, err := q.Push(r, next, now); err == nil {
					waiting[next] = h
				}
				next++
			},
			"pop": func(t *rapid.T) {
				item, ok := q.Pop(fairqueue.Slots{Free: 1, Total: 1}, now)
				if ok != (len(waiting) > 0) {
					t.Fatalf("pop returned %v with %d requests waiting", ok, len(waiting))
				}
				if ok {
					delete(waiting, item.Value)
					running[item.Value] = item.Handle
				}
			},
			"done": func(t *rapid.T) {
				for id, h := range running {
					if !q.Done(h, time.Duration(id%7)*time.Millisecond) || q.Done(h, 0) {
						t.Fatal("Done must succeed exactly once for a handle")
					}
					delete(running, id)
					break
				}
			},
			"cancel": func(t *rapid.T) {
				for id, h := range waiting {
					if !q.Cancel(h) || q.Cancel(h) {
						t.Fatal("Cancel must succeed exactly once for a handle")
					}
					delete(waiting, id)
					break
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Second)
				for item, ok := q.Expired(now); ok; item, ok = q.Expired(now) {
					if item.Request.LatestStart.After(now) {
						t.Fatal("expired early")
					}
					delete(waiting, item.Value)
				}
			},
			"": func(t *rapid.T) {
				sum := q.Queued(estimate.Short) + q.Queued(estimate.Long)
				if q.Len() != len(waiting) || sum != len(waiting) || q.Len() > bound {
					t.Fatalf("length %d, by class %d, waiting %d, bound %d", q.Len(), sum, len(waiting), bound)
				}
			},
		})
	})
}

func TestQueue_EffectiveClassOfOverusingCaller(t *testing.T) {
	long := fairqueue.Request{Team: "t", Caller: "honest", Class: estimate.Long, Cost: time.Second}
	short := fairqueue.Request{Team: "t", Caller: "flooder", Class: estimate.Short, Cost: time.Second}
	cases := []struct {
		name    string
		waiting bool
		used    int
		served  int
		want    estimate.Class
	}{
		{"short while no long request waits", false, 100, 0, estimate.Short},
		{"within the burst", true, 8, 0, estimate.Short},
		{"beyond it", true, 9, 0, estimate.Long},
		{"long requests have been served as much", true, 9, 30, estimate.Short},
	}
	for _, c := range cases {
		q := fairqueue.New[int](fairqueue.Options{})
		use := func(r fairqueue.Request, slots fairqueue.Slots) {
			_, _ = q.Push(r, 0, start)
			item, _ := q.Pop(slots, start)
			q.Done(item.Handle, time.Second)
		}
		if c.waiting {
			_, _ = q.Push(long, 0, start)
		}
		for range c.used {
			use(short, fairqueue.Slots{Free: 1, Total: 1})
		}
		for range c.served {
			use(long, fairqueue.Slots{Free: 1, Total: 1})
		}
		if got := q.EffectiveClass(estimate.Short, "t", "flooder"); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
		if got := q.EffectiveClass(estimate.Short, "t", "honest"); got != estimate.Short {
			t.Errorf("%s: another caller's short request has class %v, want short", c.name, got)
		}
	}
}

func TestReserve_Target(t *testing.T) {
	var r fairqueue.Reserve
	now := start
	observe := func(n int, waits bool, d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(10 * time.Millisecond)
			r.Observe(n, now)
			r.ObserveLong(waits, now)
		}
	}
	steps := []struct {
		name     string
		use      int
		waits    bool
		duration time.Duration
		want     int
	}{
		{"no short requests", 0, false, time.Second, 4},
		{"mean and 2.5 deviations", 16, false, 2 * time.Second, 26},
		{"long requests have waited for less than the threshold", 16, true, 4 * time.Second, 26},
		{"long requests have waited for more than twice the threshold", 16, true, 7 * time.Second, 16},
		{"long requests no longer wait", 16, false, 20 * time.Millisecond, 26},
	}
	for _, s := range steps {
		observe(s.use, s.waits, s.duration)
		if got := r.Target(); got != s.want {
			t.Errorf("%s: target %d, want %d", s.name, got, s.want)
		}
	}
	if got := r.Slots(20); got != 10 {
		t.Errorf("reserve of %d of 20 slots, want 10", got)
	}
}
