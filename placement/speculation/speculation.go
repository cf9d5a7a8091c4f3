// Package speculation decides when a second copy of a running task pays. It holds no state
// and no clock. A copy pays if the run is expected to last for longer than a new one takes
// elsewhere, and it may cost only a small part of the capacity in use.
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

// Run is a run of which a copy may be started.
type Run struct {
	// Age is how long it has taken so far, Expected how long such a task takes on its
	// server, and Uncertainty by which factor that may be wrong: 1 if it is exact.
	Age, Expected time.Duration
	Uncertainty   float64
	// Slow is set if its server has turned slow, so that Expected is much longer than on
	// others.
	Slow bool
	// Priority is that of its work; 0 comes first.
	Priority int
	// CPU is what a copy reserves, in thousandths of a core.
	CPU int64
}

// Remaining returns how long the run is expected to last, or 0 for one of which nothing
// speaks for a copy. One that is long overdue is expected to take as long again: whatever
// holds it up has no known end.
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

// Pays reports whether a copy that takes the given time elsewhere, its start included, is
// expected to end before the run does.
func (r Run) Pays(elsewhere time.Duration) bool { return r.Remaining() > elsewhere }

// Budget limits the CPU of copies, in thousandths of a core.
type Budget struct {
	// InUse is the CPU of all runs, and Copies that of the copies among them.
	InUse, Copies int64
}

// Allows reports whether one more copy may start. Of small services one copy may run,
// whatever its size.
func (b *Budget) Allows(cpu int64) bool {
	return b.Copies == 0 || float64(b.Copies+cpu) <= budgetShare*float64(b.InUse)
}

// Take counts a copy.
func (b *Budget) Take(cpu int64) { b.Copies += cpu }

// Order sorts candidates: those of the most urgent work first, then those that are the
// longest overdue.
func Order[T any](candidates []T, run func(T) Run) {
	slices.SortStableFunc(candidates, func(x, y T) int {
		a, b := run(x), run(y)
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.ratio(), a.ratio()))
	})
}

func (r Run) ratio() float64 { return float64(r.Age) / float64(max(r.Expected, 1)) }
