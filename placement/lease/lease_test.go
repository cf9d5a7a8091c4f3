package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/placement/lease"
	"pgregory.net/rapid"
)

// A worker whose rate is within the margin, read at any moment of the call,
// refuses what arrives at the end of the right, and has ended a lease by the
// time that it is called lapsed.
func TestReading_SafeWithinTheMargin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.9801, 1.0199).Draw(t, "rate")
		asked := time.Unix(1000, 0)
		trip := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "trip"))
		readAt := asked.Add(time.Duration(rapid.Int64Range(0, int64(trip)).Draw(t, "read")))
		origin := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "origin"))
		clockAt := func(at time.Time) lease.Clock {
			return lease.Clock(origin + time.Duration(float64(at.Sub(readAt))*rate))
		}
		r := lease.Reading{Clock: clockAt(readAt), SentAt: asked, ReceivedAt: asked.Add(trip)}
		until := r.ReceivedAt.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "until")))
		if clockAt(until) < r.NotAfter(until) {
			t.Fatalf("clock %v has not reached %v", clockAt(until), r.NotAfter(until))
		}
		end := r.LeaseEnd(until, 30*time.Second)
		if clockAt(r.ReachedBy(end)) < end {
			t.Fatalf("lease until %v has not lapsed at %v", end, clockAt(r.ReachedBy(end)))
		}
		if late := until.Add(lease.MaxDuration(30 * time.Second)); clockAt(late) < end {
			t.Fatalf("lease is longer than the longest")
		}
	})
}

// Outside the margin the promise breaks, as the package says.
func TestReading_BreaksOutsideTheMargin(t *testing.T) {
	asked := time.Unix(1000, 0)
	r := lease.Reading{Clock: 0, SentAt: asked, ReceivedAt: asked}
	until := asked.Add(10 * time.Second)
	slow := lease.Clock(float64(10*time.Second) * 0.97)
	if slow >= r.NotAfter(until) {
		t.Error("a clock 3% slow still refuses; the margin is wider than stated")
	}
}

func Example() {
	now := time.Unix(0, 0)
	r := lease.Reading{Clock: lease.Clock(time.Hour), SentAt: now, ReceivedAt: now}
	fmt.Println(time.Duration(r.NotAfter(now.Add(3 * time.Second))))
	// Output: 1h0m2.94s
}
