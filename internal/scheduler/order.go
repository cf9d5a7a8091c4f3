package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// placementOrder is the sort key of a step: first what its tenant sent within its
// rate, then the queue's priority, then steps that can still meet their target
// before late ones, then tenants that use less than their share, then the earliest
// target.
type placementOrder struct {
	excess    int
	priority  int
	late      int
	overShare int
	target    time.Time
	id        string
}

// compare returns a negative number if a comes before b.
func (a placementOrder) compare(b placementOrder) int {
	return cmp.Or(cmp.Compare(a.excess, b.excess), cmp.Compare(a.priority, b.priority), cmp.Compare(a.late, b.late),
		cmp.Compare(a.overShare, b.overShare), a.target.Compare(b.target), cmp.Compare(a.id, b.id))
}

func (c *Core) placementOrderOf(st *step) placementOrder { return c.orderOf(st.job()) }

func (c *Core) orderOf(j *job) placementOrder {
	u := placementOrder{priority: j.queue.Priority, target: j.targetTime(), id: j.sub.ID}
	if c.now.After(u.target) && !j.sub.Timed() {
		u.late = 1
	}
	u.excess, u.overShare = c.tenants.orderOf(j)
	if u.excess > 0 {
		// Late excess would come behind all that arrives, and would not start while it does.
		u.late = 0
	}
	return u
}

func (c *Core) sortQueued() {
	c.tenants.refreshShares()
	keys := make(map[*step]placementOrder, len(c.queued))
	for _, st := range c.queued {
		keys[st] = c.placementOrderOf(st)
	}
	slices.SortFunc(c.queued, func(x, y *step) int {
		return cmp.Or(keys[x].compare(keys[y]), cmp.Compare(x.index, y.index))
	})
}
