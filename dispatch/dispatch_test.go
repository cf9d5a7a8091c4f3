package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/dispatch"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

func balancer(n int) *dispatch.Balancer {
	b := dispatch.New(dispatch.Options{})
	for i := range n {
		b.Add(name(i), 8)
	}
	return b
}

func name(i int) string { return fmt.Sprintf("b%d", i) }

// finish records n requests with the same outcome, of the callers in turn.
func finish(b *dispatch.Balancer, backend string, n int, o dispatch.Outcome, now time.Time, callers ...string) {
	for i := range n {
		b.Started(backend)
		b.Finished(backend, dispatch.Result{
			Outcome:         o,
			Caller:          callers[i%len(callers)],
			RunTime:         10 * time.Millisecond,
			ExpectedRunTime: 10 * time.Millisecond,
		}, now)
	}
}

func TestBalancer_Ejects(t *testing.T) {
	cases := []struct {
		name    string
		servers int
		act     func(*dispatch.Balancer)
		want    int
	}{
		{"one that fails everything", 10, func(b *dispatch.Balancer) {
			finish(b, name(0), 8, dispatch.Failure, start, "a", "b")
		}, 1},
		{"one that hangs", 10, func(b *dispatch.Balancer) {
			finish(b, name(0), 8, dispatch.Timeout, start, "a", "b")
		}, 1},
		{"not for one failure", 10, func(b *dispatch.Balancer) {
			finish(b, name(0), 8, dispatch.Success, start, "a", "b")
			finish(b, name(0), 1, dispatch.Failure, start, "a")
		}, 0},
		{"not for one caller's bad requests", 10, func(b *dispatch.Balancer) {
			finish(b, name(0), 50, dispatch.Failure, start, "a")
		}, 0},
		{"not for callers that disconnected", 10, func(b *dispatch.Balancer) {
			finish(b, name(0), 50, dispatch.Cancelled, start, "a", "b")
		}, 0},
		{"never more than the maximum fraction", 10, func(b *dispatch.Balancer) {
			for i := range 10 {
				finish(b, name(i), 20, dispatch.Failure, start, "a", "b")
			}
		}, 3},
		{"never the only one", 1, func(b *dispatch.Balancer) {
			finish(b, name(0), 50, dispatch.Failure, start, "a", "b")
		}, 0},
		{"a removed server no longer counts", 10, func(b *dispatch.Balancer) {
			finish(b, name(0), 8, dispatch.Failure, start, "a", "b")
			b.Remove(name(0))
		}, 0},
	}
	for _, c := range cases {
		b := balancer(c.servers)
		c.act(b)
		if b.Ejected() != c.want {
			t.Errorf("%s: %d servers ejected, want %d", c.name, b.Ejected(), c.want)
		}
	}
}

func TestBalancer_ReadmitsAfterProbes(t *testing.T) {
	b := balancer(10)
	finish(b, name(0), 7, dispatch.Failure, start, "a", "b")
	candidates := []dispatch.Candidate{{Backend: name(0), Free: 8, Held: 8, Local: true}}
	accepts := func(now time.Time) bool {
		_, ok := b.Choose(candidates, now)
		return ok
	}
	now := start
	steps := []struct {
		name string
		wait time.Duration
		want bool
		then dispatch.Outcome
	}{
		{"aside", 999 * time.Millisecond, false, 0},
		{"first probe fails", time.Millisecond, true, dispatch.Failure},
		{"longer delay after a failed probe", 1999 * time.Millisecond, false, 0},
		{"second probe", time.Millisecond, true, dispatch.Success},
		{"third probe", 0, true, dispatch.Success},
		{"last probe", 0, true, dispatch.Success},
	}
	for _, s := range steps {
		now = now.Add(s.wait)
		if got := accepts(now); got != s.want {
			t.Fatalf("%s: accepts a request: %v", s.name, got)
		}
		if !s.want {
			continue
		}
		b.Started(name(0))
		if accepts(now) && b.Ejected() == 1 {
			t.Fatalf("%s: accepts a second probe while one runs", s.name)
		}
		b.Finished(name(0), dispatch.Result{Outcome: s.then, Caller: "a"}, now)
	}
	if b.Ejected() != 0 {
		t.Error("still ejected after three successful probes")
	}
}

func TestBalancer_Chooses(t *testing.T) {
	local := func(i, free int) dispatch.Candidate {
		return dispatch.Candidate{Backend: name(i), Free: free, Held: 4, Local: true}
	}
	remote := func(i, free int) dispatch.Candidate {
		return dispatch.Candidate{Backend: name(i), Free: free, Held: 4}
	}
	slow := func(b *dispatch.Balancer) {
		for range 50 {
			b.Started(name(0))
			b.Finished(name(0), dispatch.Result{RunTime: 3 * time.Second, ExpectedRunTime: time.Second}, start)
		}
	}
	cases := []struct {
		name       string
		before     func(*dispatch.Balancer)
		candidates []dispatch.Candidate
		want       int
	}{
		{"the least loaded", nil, []dispatch.Candidate{local(0, 1), local(1, 3)}, 1},
		{"the own region", nil, []dispatch.Candidate{remote(0, 4), local(1, 1)}, 1},
		{"another region if it is the only candidate", nil, []dispatch.Candidate{remote(0, 4)}, 0},
		{"the faster of equal load", slow, []dispatch.Candidate{local(0, 3), local(1, 3)}, 1},
		{"none that is unknown", nil, []dispatch.Candidate{{Backend: "new", Free: 1, Held: 1}}, -1},
		{"none without a free slot", nil, []dispatch.Candidate{local(0, 0)}, -1},
	}
	for _, c := range cases {
		b := balancer(10)
		if c.before != nil {
			c.before(b)
		}
		if got, _ := b.Choose(c.candidates, start); got != c.want {
			t.Errorf("%s: chose %d, want %d", c.name, got, c.want)
		}
	}
}

func TestLongWorkCandidates_Cases(t *testing.T) {
	local, remote := dispatch.Candidate{Backend: "l", Free: 2, Local: true}, dispatch.Candidate{Backend: "r", Free: 1}
	cases := []struct {
		name       string
		candidates []dispatch.Candidate
		n          int
		want       int
	}{
		{"enough free", []dispatch.Candidate{local, remote}, 1, 2},
		{"too few free", []dispatch.Candidate{local, remote, local}, 4, 1},
		{"nothing elsewhere", []dispatch.Candidate{local}, 4, 1},
	}
	for _, c := range cases {
		got := dispatch.LongWorkCandidates(c.candidates, c.n)
		if len(got) != c.want || (c.name == "too few free" && got[0] != remote) {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}

// TestBalancer_ChooseLong checks that long work leaves the reserved slots of the
// daemon's own region free only while a server of another region accepts requests.
func TestBalancer_ChooseLong(t *testing.T) {
	local := dispatch.Candidate{Backend: "b0", Free: 2, Held: 2, Local: true}
	remote := dispatch.Candidate{Backend: "b1", Free: 1, Held: 1}
	cases := []struct {
		name   string
		needed int
		remove string
		want   string
	}{
		{"enough free in the own region", 1, "", "b0"},
		{"short work may need them", 2, "", "b1"},
		{"short work may need them, no other accepts", 2, "b1", "b0"},
	}
	for _, c := range cases {
		b := balancer(2)
		b.Remove(c.remove)
		candidates := []dispatch.Candidate{local, remote}
		i, ok := b.ChooseLong(candidates, c.needed, start)
		if !ok || candidates[i].Backend != c.want {
			t.Errorf("%s: got %d %v of %v, want %s", c.name, i, ok, candidates, c.want)
		}
	}
}

func TestMaxConnections_AllDaemonsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		connections := slots + rapid.IntRange(0, 64).Draw(t, "more")
		n := rapid.IntRange(1, 30).Draw(t, "daemons")
		left, open := slots, 0
		for range n {
			held := rapid.IntRange(0, left).Draw(t, "held")
			left -= held
			got := dispatch.MaxConnections(connections, slots, held, n)
			if got < held {
				t.Fatalf("%d connections for %d held slots", got, held)
			}
			open += got
		}
		if open > connections {
			t.Fatalf("%d connections open, want at most %d", open, connections)
		}
	})
}
