// Package delay decides how long a task waits for a free slot in the rack of its data or its
// group, where it runs faster than elsewhere (delay scheduling). Slots, servers and runs there
// are local, all others remote. It holds no state and no clock.
package delay

import (
	"slices"
	"time"
)

const (
	// confidence is the fraction of the time lost by a remote run that the expected wait may
	// take: the ends of runs are not known exactly, and other tasks may take the slot.
	confidence = 0.6
	// maxWait is the longest wait. A submission with nothing running for 3 s beside free
	// capacity counts as lost.
	maxWait = 1500 * time.Millisecond
	// A run older than overdueFactor times its expected time has no known end. A younger one
	// is expected to last for at least overdueWait times its expected time.
	overdueFactor = 1.5
	overdueWait   = 0.25
)

// Task is a task that could start now on a remote server.
type Task struct {
	// LocalTime is its expected run time on a local server, and RemoteFactor the ratio of its
	// run time on a remote server to that.
	LocalTime    time.Duration
	RemoteFactor float64
	// Waited is how long it has waited for a local slot, and Left the time until its target,
	// negative if that has passed.
	Waited, Left time.Duration
}

// Limit returns the longest total time that the task may wait, counted from the start of
// its wait: at most what it loses by a remote run, and at most what its target allows. If a
// remote run can still meet the target, it must be able to after the wait; if only a local run
// can, a local run must.
func (t Task) Limit() time.Duration {
	if t.RemoteFactor <= 1 || t.LocalTime <= 0 {
		return 0
	}
	remoteTime := time.Duration(t.RemoteFactor * float64(t.LocalTime))
	limit := min(remoteTime-t.LocalTime, maxWait)
	left := t.Left + t.Waited
	switch {
	case left > remoteTime:
		limit = min(limit, left-remoteTime)
	case left > t.LocalTime:
		limit = min(limit, left-t.LocalTime)
	}
	return limit
}

// Waits reports whether the task waits for a local slot that is expected after the given
// time.
func (t Task) Waits(untilLocal time.Duration) bool {
	lost := time.Duration((t.RemoteFactor - 1) * float64(t.LocalTime))
	return t.Waited+untilLocal < t.Limit() && float64(untilLocal) < confidence*float64(lost)
}

// Run is a run on a local server.
type Run struct {
	// Age is the time since its start, and Expected its expected run time; 0 if unknown.
	Age, Expected time.Duration
	// Frees is the amount of the resource that its end frees, in the unit of UntilFree.
	Frees int64
}

// UntilFree returns the time until need units of a resource are free on a server, given what
// is free now and the server's runs. It reports false if too few of the runs have a known
// end: one that is long overdue has none.
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
