// Package speculation decides when to start a second copy of a running task. It holds no
// state and no clock. A copy is started if it is expected to end before the run does. Copies
// together may use only a small fraction of the capacity in use.
package speculation

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minOverdue is how many times its expected time a run must have taken to count as a
	// straggler where that time is well known, and maxOverdue where it is not.
	minOverdue, maxOverdue = 2, 4
	// budgetShare is the share of the CPU in use that copies may use.
	budgetShare = 0.05
)

// Run is a run for whose task a copy may be started.
type Run struct {
	// Age is the time since its start, Expected the expected run time of such a task on its
	// server (0 if unknown), and Uncertainty the factor by which that may be wrong: 1 if it
	// is exact.
	Age, Expected time.Duration
	Uncertainty   float64
	// Slow is set if its server has become slow, so that Expected is much longer than on
	// other servers.
	Slow bool
	// Priority is the priority of its submission's queue; 0 comes first.
	Priority int
	// CPU is what a copy reserves, in thousandths of a core.
	CPU int64
}

// Remaining returns how long the run is expected to last, or 0 if there is no reason for a
// copy: the run is neither overdue nor on a slow server. A run that is long overdue is
// expected to take as long again, since the cause of the delay has no known end.
func (r Run) Remaining() time.Duration {
	if r.Expected <= 0 {
		return 0
	}
	overdue := min(max(r.Uncertainty, minOverdue), maxOverdue)
	if float64(r.Age) >= overdue*float64(r.Expected) {
		return r.Age
	}
	if !r.Slow {
		return 0
	}
	return max(r.Expected-r.Age, 0)
}

// CopyEndsFirst reports whether a copy that takes copyTime, including its start, is expected
// to end before the run does.
func (r Run) CopyEndsFirst(copyTime time.Duration) bool { return r.Remaining() > copyTime }

// Budget limits the CPU of copies, in thousandths of a core.
type Budget struct {
	// InUse is the CPU of all runs, and Copies that of the copies among them.
	InUse, Copies int64
}

// Allows reports whether one more copy that reserves cpu may start. One copy may always run,
// so that small services have copies too.
func (b *Budget) Allows(cpu int64) bool {
	return b.Copies == 0 || float64(b.Copies+cpu) <= budgetShare*float64(b.InUse)
}

// Take counts a copy that reserves cpu.
func (b *Budget) Take(cpu int64) { b.Copies += cpu }

// Order sorts candidates in place: by priority, then by descending ratio of age to expected
// time. Run returns the Run of a candidate.
func Order[T any](candidates []T, run func(T) Run) {
	slices.SortStableFunc(candidates, func(x, y T) int {
		a, b := run(x), run(y)
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.overdueRatio(), a.overdueRatio()))
	})
}

func (r Run) overdueRatio() float64 { return float64(r.Age) / float64(max(r.Expected, 1)) }
