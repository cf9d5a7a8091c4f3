package scheduler

import (
	"slices"
	"time"
)

const (
	// maxCapWakes bounds the steps of a tenant that are examined within capWakeInterval
	// because its use fell below its cap. While the servers are full as well, none of them
	// can start.
	maxCapWakes     = 16
	capWakeInterval = 20 * time.Millisecond
	// maxCapChecks bounds the steps of a tenant that are checked to find one that its cap
	// allows.
	maxCapChecks = 8
)

// capQueue holds the steps, in placement order, that their tenant's cap holds back.
type capQueue struct {
	steps []*step
	// woken counts the steps that were woken since the beginning of the current
	// capWakeInterval, at since.
	woken int
	since time.Time
}

// waitForCap adds a step to the capQueue of its tenant, until the cap allows more.
func (c *Core) waitForCap(st *step) {
	if st.entry.capWaiting {
		return
	}
	st.entry.capWaiting = true
	name := st.job().sub.Tenant
	q := c.capWaiting[name]
	if q == nil {
		q = &capQueue{}
		c.capWaiting[name] = q
	}
	at, _ := slices.BinarySearchFunc(q.steps, st, (*step).Compare)
	q.steps = slices.Insert(q.steps, at, st)
}

// heldByCap reports whether the cap of its tenant holds back the rest of a step.
func (c *Core) heldByCap(st *step) bool {
	n := 1
	if st.spec.Gang {
		n = st.unplacedTasks()
	}
	return c.tenants.allows(st, n) < n
}

// wakeForCaps wakes the first step of each tenant that its cap allows again.
func (c *Core) wakeForCaps() {
	if len(c.capWaiting) == 0 {
		return
	}
	c.tenants.attributeCapacity()
	for name, q := range c.capWaiting {
		if c.tenants.ledger.AtCap(name) {
			continue
		}
		if c.now.Sub(q.since) >= capWakeInterval {
			q.since, q.woken = c.now, 0
		}
		for i := 0; i < min(len(q.steps), maxCapChecks) && q.woken < maxCapWakes; i++ {
			st := q.steps[i]
			waits := st.queued && st.job().ending == "" && st.unplacedTasks() > 0
			if waits && c.heldByCap(st) {
				continue
			}
			st.entry.capWaiting = false
			q.steps = slices.Delete(q.steps, i, i+1)
			if waits {
				q.woken++
				c.wake(st)
				break
			}
			i--
		}
		if len(q.steps) == 0 {
			delete(c.capWaiting, name)
		}
	}
}

// sortCapQueues drops the steps that no longer wait and sorts the others.
func (c *Core) sortCapQueues() {
	for _, q := range c.capWaiting {
		q.steps = slices.DeleteFunc(q.steps, func(st *step) bool {
			if !st.queued {
				st.entry.capWaiting = false
			}
			return !st.queued
		})
		slices.SortFunc(q.steps, (*step).Compare)
	}
}
