// Package lease converts local times to readings of a worker's clock, from one
// reading of it. The owner of a worker uses it for the expiry of start requests
// and for leases. Clocks need not agree, but their rates must, to within
// MaxDriftPercent. With a larger drift, a worker may accept a start after the
// sender's ownership has ended, and the sender may treat a lease as expired
// while the worker still honours it.
package lease

import "time"

// Clock is the time since the boot of a worker, by the worker's own clock. Only
// readings of the same worker and boot may be compared.
type Clock time.Duration

// MaxDriftPercent is by how much the rates of any two clocks may differ, in
// percent.
const MaxDriftPercent = 2

const percent = 100

// Reading is a worker's clock, read at some moment between SentAt and ReceivedAt
// of the local clock.
type Reading struct {
	Clock      Clock
	SentAt     time.Time
	ReceivedAt time.Time
}

// MinClockAt returns the lowest possible reading of the worker's clock at local
// time t, which must not be before ReceivedAt.
func (r Reading) MinClockAt(t time.Time) Clock {
	return r.Clock + Clock(t.Sub(r.ReceivedAt)*(percent-MaxDriftPercent)/percent)
}

// NotAfter returns the expiry of a request that must not take effect at or after
// local time until: the worker's clock has reached it by then.
func (r Reading) NotAfter(until time.Time) Clock { return r.MinClockAt(until) }

// LeaseEnd returns the end of a lease of duration d that is granted at local
// time now. It does not depend on when the grant arrives.
func (r Reading) LeaseEnd(now time.Time, d time.Duration) Clock { return r.MinClockAt(now) + Clock(d) }

// ReachedBy returns the local time from which the worker's clock is certain to
// read c or more.
func (r Reading) ReachedBy(c Clock) time.Time {
	if c <= r.Clock {
		return r.ReceivedAt
	}
	return r.ReceivedAt.Add(maxElapsed(time.Duration(c - r.Clock)))
}

// MaxDuration returns how long a lease of duration d, granted by another daemon,
// can last by the clock of any daemon.
func MaxDuration(d time.Duration) time.Duration { return maxElapsed(maxElapsed(d)) }

// maxElapsed returns the longest time that another clock can show while one
// clock advances by d, rounded up.
func maxElapsed(d time.Duration) time.Duration {
	return d*percent/(percent-MaxDriftPercent) + 1
}
