package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/placement/lease"
	"pgregory.net/rapid"
)

// A worker whose clock drifts within the bound, read at any moment of the call,
// refuses a request that arrives when the sender's ownership has ended, and has
// ended a lease by the time that the sender treats it as expired.
func TestReading_SafeWithinMaxDrift(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.9801, 1.0199).Draw(t, "rate")
		sentAt := time.Unix(1000, 0)
		trip := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "trip"))
		readAt := sentAt.Add(time.Duration(rapid.Int64Range(0, int64(trip)).Draw(t, "read")))
		origin := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "origin"))
		clockAt := func(at time.Time) lease.Clock {
			return lease.Clock(origin + time.Duration(float64(at.Sub(readAt))*rate))
		}
		r := lease.Reading{Clock: clockAt(readAt), SentAt: sentAt, ReceivedAt: sentAt.Add(trip)}
		until := r.ReceivedAt.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "until")))
		if clockAt(until) < r.NotAfter(until) {
			t.Fatalf("worker's clock reads %v, before the expiry %v", clockAt(until), r.NotAfter(until))
		}
		end := r.LeaseEnd(until, 30*time.Second)
		if clockAt(r.ReachedBy(end)) < end {
			t.Fatalf("lease until %v has not expired at %v", end, clockAt(r.ReachedBy(end)))
		}
		if late := until.Add(lease.MaxDuration(30 * time.Second)); clockAt(late) < end {
			t.Fatalf("lease outlasts MaxDuration")
		}
	})
}

// A clock that drifts beyond the bound breaks the guarantee: at 3% slow, a
// request is accepted after the sender's ownership has ended.
func TestReading_UnsafeBeyondMaxDrift(t *testing.T) {
	sentAt := time.Unix(1000, 0)
	r := lease.Reading{Clock: 0, SentAt: sentAt, ReceivedAt: sentAt}
	until := sentAt.Add(10 * time.Second)
	slow := lease.Clock(float64(10*time.Second) * 0.97)
	if slow >= r.NotAfter(until) {
		t.Error("a clock that is 3% slow still refuses; the bound is wider than documented")
	}
}

func Example() {
	now := time.Unix(0, 0)
	r := lease.Reading{Clock: lease.Clock(time.Hour), SentAt: now, ReceivedAt: now}
	fmt.Println(time.Duration(r.NotAfter(now.Add(3 * time.Second))))
	// Output: 1h0m2.94s
}
