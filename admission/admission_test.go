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
	load := func(backlog time.Duration, share float64) fairqueue.Load {
		return fairqueue.Load{Queued: 1, Backlog: backlog, Share: share}
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
		{"long request may wait for half the time left", 21 * time.Second, long, admission.State{Load: load(10*time.Second, 1), Slots: 1}, true, "", 0},
		{"long request may not wait for more than half", 21 * time.Second, long, admission.State{Load: load(12*time.Second, 1), Slots: 1}, false, admission.ReasonOverloaded, 2 * time.Second},
		{"short request may wait for a tenth", 21 * time.Second, short, admission.State{Load: load(3*time.Second, 1), Slots: 1}, false, admission.ReasonOverloaded, time.Second},
		{"wait depends on the caller's share of the slots", 21 * time.Second, long, admission.State{Load: load(10*time.Second, 0.5), Slots: 1}, false, admission.ReasonOverloaded, 10 * time.Second},
		{"wait without a deadline is bounded", 0, long, admission.State{Load: load(40*time.Second, 1), Slots: 1}, false, admission.ReasonOverloaded, 10 * time.Second},
		{"first request waits without slots", 21 * time.Second, long, admission.State{}, true, "", 0},
		{"second request without slots is refused", 21 * time.Second, long, admission.State{Load: load(time.Second, 1)}, false, admission.ReasonNoSlots, time.Second},
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

// A request that waits longer than expected must leave the queue while enough of
// its time is left for a run that takes longer than predicted: half of it for
// short requests, a quarter for long ones.
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

// A request that comes back after RetryAfter is admitted if the queue was served
// and no other request arrived.
func TestDecide_AdmittedAfterRetryAfter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := float64(rapid.IntRange(1, 64).Draw(t, "slots"))
		share := float64(rapid.IntRange(1, 10).Draw(t, "part")) / 10
		backlog := time.Duration(rapid.IntRange(0, 1_000_000).Draw(t, "backlog")) * time.Millisecond
		s := admission.State{Slots: slots, Load: fairqueue.Load{Queued: 1, Backlog: backlog, Share: share}}
		r := admission.Request{Prediction: estimate.Prediction{Class: estimate.Long}}
		d := admission.Decide(r, s, admission.Options{MaxRetryAfter: 24 * time.Hour}, start)
		if d.Admit {
			return
		}
		if d.RetryAfter <= 0 {
			t.Fatal("refused without advice")
		}
		done := time.Duration(d.RetryAfter.Seconds() * slots * share * float64(time.Second))
		s.Load.Backlog = max(0, backlog-done-time.Microsecond)
		if again := admission.Decide(r, s, admission.Options{}, start.Add(d.RetryAfter)); !again.Admit {
			t.Fatalf("refused again after %v", d.RetryAfter)
		}
	})
}
