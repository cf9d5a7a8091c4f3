package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// longRunningPatience is how long the tasks of a long-running step that have run wait in
// the order of their queue. Then the step comes before all others: a long-running task must
// run again within 6 s, however full the service is, and capacity for it may become free
// only when a run ends.
const longRunningPatience = 2 * time.Second

// placementOrder is the sort key of a step: first long-running tasks that have waited too
// long since their last run, then what its tenant sent within its rate, then the queue's
// priority, then steps that can still meet their target before late ones, then tenants that
// use less than their share, then the earliest target.
type placementOrder struct {
	// notOverdue is 0 for a step whose long-running tasks have waited too long, else 1.
	notOverdue int
	excess     int
	priority   int
	late       int
	overShare  int
	target     time.Time
	id         string
}

// compare returns a negative number if a comes before b.
func (a placementOrder) compare(b placementOrder) int {
	if n := cmp.Or(a.notOverdue-b.notOverdue, a.excess-b.excess, a.priority-b.priority, a.late-b.late, a.overShare-b.overShare, a.target.Compare(b.target)); n != 0 {
		return n
	}
	return cmp.Compare(a.id, b.id)
}

func (c *Core) placementOrderOf(st *step) placementOrder {
	u := c.orderOf(st.job())
	if st.overdue(c.now) {
		u.notOverdue = 0
	}
	return u
}

// overdue reports whether long-running tasks of the step that have run before, here or under
// an earlier owner, have waited for longer than longRunningPatience.
func (s *step) overdue(now time.Time) bool {
	if !s.spec.LongRunning || now.Sub(s.waitingSince) <= longRunningPatience {
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
	u := placementOrder{notOverdue: 1, priority: j.queue.Priority, target: j.orderTarget(), id: j.sub.ID}
	// A submission with long-running tasks has no end that could be late. Behind all that is
	// in time it would never start again while fresh work comes.
	if c.now.After(j.targetTime()) && !j.sub.Timed() && !j.longRunning() {
		u.late = 1
	}
	u.excess, u.overShare = c.tenants.orderOf(j)
	if u.excess > 0 {
		// Late excess would come behind all that arrives, and would not start while it does.
		// Excess that returns does not overtake what was accepted meanwhile, which would
		// then start later than its admission promised.
		u.late, u.target = 0, j.targetTime()
	}
	return u
}

// sortQueued sorts the queue in placement order. It reports whether the order of its steps
// has changed.
func (c *Core) sortQueued() bool {
	c.tenants.refreshShares()
	for _, st := range c.queued {
		st.entry.order = c.placementOrderOf(st)
	}
	if slices.IsSortedFunc(c.queued, (*step).compareOrder) {
		return false
	}
	slices.SortFunc(c.queued, (*step).compareOrder)
	return true
}
