package scheduler

import (
	"math"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

const (
	// maxArrivals bounds the refused submissions whose first arrival is kept: about 300
	// refusals a second for the longest retry delay, in half a megabyte.
	maxArrivals = 4096
	// arrivalRetention is how long a first arrival is kept. It exceeds the longest retry delay
	// with its jitter.
	arrivalRetention = 20 * time.Second
	// maxStepsAhead bounds the queued steps that are examined for one refusal.
	maxStepsAhead = 256
)

// serversFree reports whether the first tasks of a submission that would be refused fit on
// servers which are free beside all that is placed before it. The queue ahead may wait for
// servers of another kind, which says nothing of the time at which the submission can begin.
func (c *Core) serversFree(j *job) bool {
	first := firstStep(j.sub)
	if first == nil || c.tenants.inExcess(j) {
		return false
	}
	need := first.Reserved()
	var free []*server
	slots := 0
	for _, s := range c.servers {
		if s.info.Service != j.sub.Service || !s.stored || !s.usable(c.now) || s.trial != nil || !s.hasLabel(first.Label) {
			continue
		}
		n := need.FitCount(s.free.Minus(c.heldForGangs[s]), math.MaxInt32)
		if first.MaxPerServer > 0 {
			n = min(n, first.MaxPerServer)
		}
		if n > 0 {
			slots += n
			free = append(free, s)
		}
	}
	order := c.orderOf(j)
	looked := 0
	for _, st := range c.queued {
		if slots < first.Count {
			return false
		}
		if st.job().ending != "" || st.job().sub.Service != j.sub.Service || c.placementOrderOf(st).compare(order) > 0 {
			continue
		}
		if looked++; looked > maxStepsAhead {
			return false
		}
		if n := st.unplacedTasks(); n > 0 && mayUse(st, free) {
			slots -= n * slotsOf(st.spec.Reserved(), need)
		}
	}
	return slots >= first.Count
}

// firstStep returns the step with which a submission begins, or nil if there are several.
func firstStep(sub *workload.Submission) *workload.Step {
	var first *workload.Step
	for i := range sub.Steps {
		if len(sub.Steps[i].After) > 0 {
			continue
		}
		if first != nil {
			return nil
		}
		first = &sub.Steps[i]
	}
	return first
}

// slotsOf returns how many slots of the given size a task with another need takes at most.
func slotsOf(need, slot workload.Resources) int {
	n := 1
	for n < maxStepsAhead && !need.Fits(slot.Scaled(n)) {
		n++
	}
	return n
}

// mayUse reports whether tasks of a step fit on one of the servers.
func mayUse(st *step, servers []*server) bool {
	need := st.spec.Reserved()
	for _, s := range servers {
		if s.hasLabel(st.spec.Label) && need.Fits(s.free) {
			return true
		}
	}
	return false
}
