package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// placementOrder is the sort key of a step: first the queue's priority, then
// steps that can still meet their target before late ones, then the earliest
// target.
type placementOrder struct {
	priority int
	late     int
	target   time.Time
	id       string
}

// compare returns a negative number if a comes before b.
func (a placementOrder) compare(b placementOrder) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.late, b.late), a.target.Compare(b.target), cmp.Compare(a.id, b.id))
}

func (c *Core) placementOrderOf(st *step) placementOrder { return c.orderOf(st.job()) }

func (c *Core) orderOf(j *job) placementOrder {
	u := placementOrder{priority: j.queue.Priority, target: j.targetTime(), id: j.sub.ID}
	if c.now.After(u.target) && !j.sub.Timed() {
		u.late = 1
	}
	return u
}

func (c *Core) sortQueued() {
	keys := make(map[*step]placementOrder, len(c.queued))
	for _, st := range c.queued {
		keys[st] = c.placementOrderOf(st)
	}
	slices.SortFunc(c.queued, func(x, y *step) int {
		return cmp.Or(keys[x].compare(keys[y]), cmp.Compare(x.index, y.index))
	})
}
