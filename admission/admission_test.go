package admission_test

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/admission"
	"github.com/currantwinch/currantwinch/estimate"
	"github.com/currantwinch/currantwinch/fairqueue"
	"github.com/currantwinch/currantwinch/verdict"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

func TestDecide_Cases(t *testing.T) {
	long := estimate.Prediction{P50: time.Second, Class: estimate.Long}
	short := estimate.Prediction{P50: time.Second, Class: estimate.Short}
	load := func(backlog time.Duration, part float64) fairqueue.Load {
		return fairqueue.Load{Queued: 1, Backlog: backlog, Share: part}
	}
	cases := []struct {
		name   string
		left   time.Duration
		run    estimate.Prediction
		state  admission.State
		admit  bool
		reason verdict.Reason
		retry  time.Duration
	}{
		{"idle slot", 2 * time.Second, long, admission.State{Idle: true}, true, "", 0},
		{"cannot meet its deadline even on an idle slot", time.Second, long, admission.State{Idle: true}, false, admission.ReasonDeadline, 0},
		{"half the time left may be waited", 21 * time.Second, long, admission.State{Load: load(10*time.Second, 1), Slots: 1}, true, "", 0},
		{"no more than that", 21 * time.Second, long, admission.State{Load: load(12*time.Second, 1), Slots: 1}, false, admission.ReasonOverloaded, 2 * time.Second},
		{"a tenth for short work", 21 * time.Second, short, admission.State{Load: load(3*time.Second, 1), Slots: 1}, false, admission.ReasonOverloaded, time.Second},
		{"own part of the slots counts", 21 * time.Second, long, admission.State{Load: load(10*time.Second, 0.5), Slots: 1}, false, admission.ReasonOverloaded, 10 * time.Second},
		{"no deadline is bounded all the same", 0, long, admission.State{Load: load(40*time.Second, 1), Slots: 1}, false, admission.ReasonOverloaded, 10 * time.Second},
		{"first request waits without slots", 21 * time.Second, long, admission.State{}, true, "", 0},
		{"the next does not", 21 * time.Second, long, admission.State{Load: load(time.Second, 1)}, false, admission.ReasonNoSlots, time.Second},
	}
	for _, c := range cases {
		r := admission.Request{Prediction: c.run, NetworkTime: 10 * time.Millisecond}
		if c.left > 0 {
			r.Deadline = start.Add(c.left + r.NetworkTime)
		}
		if c.reason == admission.ReasonDeadline {
			r.Deadline = start.Add(c.left)
		}
		d := admission.Decide(r, c.state, admission.Options{}, start)
		if d.Admit != c.admit || d.Reason != c.reason || d.RetryAfter != c.retry {
			t.Errorf("%s: got %+v", c.name, d)
		}
	}
}

// TestDecide_RetryAfterIsTruthful checks that a request which comes back when
// advised is admitted if nothing else came and the queue was served.
// A request that waits longer than expected leaves the queue while a straggler
// still has a part of its time: half for short work, a quarter for long.
func TestDecide_LatestStart(t *testing.T) {
	cases := []struct {
		name  string
		class estimate.Class
		left  time.Duration
		want  time.Duration
	}{
		{"short", estimate.Short, 21 * time.Second, 10 * time.Second},
		{"long", estimate.Long, 21 * time.Second, 15 * time.Second},
		{"just in time", estimate.Short, time.Second, 0},
	}
	for _, c := range cases {
		r := admission.Request{Prediction: estimate.Prediction{P50: time.Second, Class: c.class}, Deadline: start.Add(c.left)}
		d := admission.Decide(r, admission.State{Idle: true}, admission.Options{}, start)
		if got := d.LatestStart.Sub(start); !d.Admit || got != c.want {
			t.Errorf("%s: admitted %v until %v, want until %v", c.name, d.Admit, got, c.want)
		}
	}
}

func TestDecide_RetryAfterIsTruthful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := float64(rapid.IntRange(1, 64).Draw(t, "slots"))
		part := float64(rapid.IntRange(1, 10).Draw(t, "part")) / 10
		backlog := time.Duration(rapid.IntRange(0, 1_000_000).Draw(t, "backlog")) * time.Millisecond
		s := admission.State{Slots: slots, Load: fairqueue.Load{Queued: 1, Backlog: backlog, Share: part}}
		r := admission.Request{Prediction: estimate.Prediction{Class: estimate.Long}}
		d := admission.Decide(r, s, admission.Options{MaxRetryAfter: 24 * time.Hour}, start)
		if d.Admit {
			return
		}
		if d.RetryAfter <= 0 {
			t.Fatal("refused without advice")
		}
		done := time.Duration(d.RetryAfter.Seconds() * slots * part * float64(time.Second))
		s.Load.Backlog = max(0, backlog-done-time.Microsecond)
		if again := admission.Decide(r, s, admission.Options{}, start.Add(d.RetryAfter)); !again.Admit {
			t.Fatalf("refused again after %v", d.RetryAfter)
		}
	})
}
