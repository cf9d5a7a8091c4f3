// Package lease computes times of a worker's own clock from one reading of
// it. Clocks need not agree; only their rates do, to within RateMargin. If a
// rate is further off, a start may be accepted after its sender's right ended,
// and a lease may be called lapsed while the worker still honours it.
package lease

import "time"

// Clock is a reading of a worker's clock since its boot. It is compared only
// with readings of the same worker and boot.
type Clock time.Duration

// MaxDriftPercent is by how many percent the rates of any two clocks may differ.
const MaxDriftPercent = 2

const percent = 100

// Reading is a worker's clock as it was between Asked and Answered of the
// local clock.
type Reading struct {
	Clock      Clock
	SentAt     time.Time
	ReceivedAt time.Time
}

// MinClockAt is the least that the worker's clock can read at local time t,
// which is not before the reading.
func (r Reading) MinClockAt(t time.Time) Clock {
	return r.Clock + Clock(t.Sub(r.ReceivedAt)*(percent-MaxDriftPercent)/percent)
}

// NotAfter is an expiry for a request that must not take effect at or after
// local time until: by then the worker's clock has surely reached it.
func (r Reading) NotAfter(until time.Time) Clock { return r.MinClockAt(until) }

// LeaseEnd is the end of a lease of length d that is granted at local time now.
// However late the grant arrives, the lease ends no later.
func (r Reading) LeaseEnd(now time.Time, d time.Duration) Clock { return r.MinClockAt(now) + Clock(d) }

// ReachedBy is the local time from which the worker's clock surely reads c or
// more.
func (r Reading) ReachedBy(c Clock) time.Time {
	if c <= r.Clock {
		return r.ReceivedAt
	}
	return r.ReceivedAt.Add(slowest(time.Duration(c - r.Clock)))
}

// MaxDuration is how long, by any daemon's clock, a lease of length d can last
// from the moment it was granted by another daemon.
func MaxDuration(d time.Duration) time.Duration { return slowest(slowest(d)) }

// slowest is how long d of one clock can take on another, rounded up.
func slowest(d time.Duration) time.Duration {
	return d*percent/(percent-MaxDriftPercent) + 1
}
