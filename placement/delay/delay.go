// Package delay decides how long a task waits for a free slot near its data or its group,
// where it runs faster than elsewhere (delay scheduling). It holds no state and no clock.
package delay

import (
	"slices"
	"time"
)

const (
	// confidence is the part of the time lost by running far that the expected wait may
	// take: ends of runs are not known exactly, and other tasks may take the slot.
	confidence = 0.6
	// maxWait is the longest wait. A submission with nothing running for 3 s beside free
	// capacity counts as lost.
	maxWait = 1500 * time.Millisecond
	// overdueFactor is how many times its expected time a run may have taken to be expected
	// to end soon, and overdueWait the part of that time that it is then given.
	overdueFactor = 1.5
	overdueWait   = 0.25
)

// Task is a task that could start far now.
type Task struct {
	// Near is its expected run time near, and Factor how many times as long it takes far.
	Near   time.Duration
	Factor float64
	// Waited is how long it has waited for a near slot, and Left the time to its target.
	Waited, Left time.Duration
}

// Limit returns the longest time that the task may wait in all: no longer than it loses by
// running far, and no longer than its objective allows. If a far run can still be in time, it
// must be so after the wait; if only a near one can, a near one must.
func (t Task) Limit() time.Duration {
	if t.Factor <= 1 || t.Near <= 0 {
		return 0
	}
	far := time.Duration(t.Factor * float64(t.Near))
	limit := min(far-t.Near, maxWait)
	left := t.Left + t.Waited
	switch {
	case left > far:
		limit = min(limit, left-far)
	case left > t.Near:
		limit = min(limit, left-t.Near)
	}
	return limit
}

// Waits reports whether the task waits for a near slot that is expected after the given
// time.
func (t Task) Waits(untilNear time.Duration) bool {
	lost := time.Duration((t.Factor - 1) * float64(t.Near))
	return t.Waited+untilNear < t.Limit() && float64(untilNear) < confidence*float64(lost)
}

// Run is a run on a near server: its age, its expected time and what it frees.
type Run struct {
	Age, Expected time.Duration
	Frees         int64
}

// UntilFree returns the time until so much is free on a server, given what is free now and
// its runs. It reports false if that is not to be expected: a run that is long overdue has no
// known end.
func UntilFree(need, free int64, runs []Run) (time.Duration, bool) {
	if free >= need {
		return 0, true
	}
	type end struct {
		in    time.Duration
		frees int64
	}
	ends := make([]end, 0, len(runs))
	for _, r := range runs {
		if r.Expected <= 0 || float64(r.Age) > overdueFactor*float64(r.Expected) {
			continue
		}
		ends = append(ends, end{max(r.Expected-r.Age, time.Duration(overdueWait*float64(r.Expected))), r.Frees})
	}
	slices.SortFunc(ends, func(x, y end) int { return int(x.in - y.in) })
	for _, e := range ends {
		if free += e.frees; free >= need {
			return e.in, true
		}
	}
	return 0, false
}
