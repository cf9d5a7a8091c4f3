package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// longRunningMaxWait is how long a long-running step, with tasks that have run before, waits
// in the normal placement order. Then it comes before all others: a long-running task must
// run again within 6 s, however full the service is, and capacity for it may become free
// only when a run ends.
const longRunningMaxWait = 2 * time.Second

// placementOrder is the sort key of a step. Smaller values come first, in the order of the
// fields: long-running tasks that have waited too long since their last run, submissions
// within their tenant's rate, the queue's priority, steps that can still meet their target,
// tenants that use less than their share, the earliest target, and the submission's ID.
type placementOrder struct {
	// notOverdue is 0 for a step whose long-running tasks have waited too long, else 1.
	notOverdue int
	// excess is 1 for a submission beyond its tenant's rate.
	excess   int
	priority int
	// late is 1 if the target has passed.
	late int
	// overShare is 1 if the tenant uses its share of the capacity or more.
	overShare int
	target    time.Time
	id        string
}

// compare returns a negative number if a comes before b.
func (a placementOrder) compare(b placementOrder) int {
	// Sorting a long queue is a sixth of the cost of placement behind it, so that nothing is
	// compared that does not decide.
	switch {
	case a.notOverdue != b.notOverdue:
		return a.notOverdue - b.notOverdue
	case a.excess != b.excess:
		return a.excess - b.excess
	case a.priority != b.priority:
		return a.priority - b.priority
	case a.late != b.late:
		return a.late - b.late
	case a.overShare != b.overShare:
		return a.overShare - b.overShare
	}
	if n := a.target.Compare(b.target); n != 0 {
		return n
	}
	return cmp.Compare(a.id, b.id)
}

func (c *Core) placementOrderOf(st *step) placementOrder {
	order := c.orderOf(st.job())
	if st.overdue(c.now) {
		order.notOverdue = 0
	}
	return order
}

// overdue reports whether long-running tasks of the step that have run before, here or under
// an earlier owner, have waited for longer than longRunningMaxWait.
func (s *step) overdue(now time.Time) bool {
	if !s.spec.LongRunning || now.Sub(s.waitingSince) <= longRunningMaxWait {
		return false
	}
	for i := range s.tasks {
		if t := &s.tasks[i]; t.run > 0 && t.needsPlacement() {
			return true
		}
	}
	return false
}

func (c *Core) orderOf(j *job) placementOrder {
	target := j.targetTime()
	order := placementOrder{notOverdue: 1, priority: j.queue.Priority, target: target.Add(-j.returnedAfter()), id: j.sub.ID}
	// A submission with long-running tasks has no end that could be late. If it came after all
	// steps that are in time, it would not start again while new submissions arrive.
	if c.now.After(target) && !j.sub.Timed() && !j.longRunning() {
		order.late = 1
	}
	order.excess, order.overShare = c.tenants.orderOf(j)
	if order.excess > 0 {
		// If late excess came after excess that is in time, it would not start while new
		// excess arrives. A submission that was refused before is ordered by its present
		// arrival, since those accepted meanwhile would otherwise start later than their
		// admission predicted.
		order.late, order.target = 0, target
	}
	return order
}

// sortQueued sorts the queue in placement order. It reports whether the order of its steps
// has changed.
func (c *Core) sortQueued() bool {
	c.tenants.refreshShares()
	for _, st := range c.queued {
		st.entry.order = c.placementOrderOf(st)
	}
	if slices.IsSortedFunc(c.queued, (*step).Compare) {
		return false
	}
	slices.SortFunc(c.queued, (*step).Compare)
	return true
}
