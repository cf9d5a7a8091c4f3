// Package preempt selects the running tasks to preempt for a task of higher
// urgency, so that as little work as possible is lost: tasks that can be
// checkpointed come before tasks whose progress would be lost, teams that borrow
// before teams within their guarantee, and services last and only within their
// disruption budgets.
//
// Only urgent tasks, and tasks of a team that reclaims its guarantee, may
// preempt. Preempted tasks return to the queue. They can preempt only tasks of
// teams that borrow, and those can preempt none, so that preemption does not
// cascade.
//
// Rack owners call it for one worker at a time. It keeps no state.
package preempt

import (
	"sort"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/book"
	"github.com/currantwinch/currantwinch/placement/queue"
)

// Cost is work that would have to be repeated, in millicore-seconds.
type Cost int64

const (
	// checkpointedLoss bounds the run time that a task loses if it is
	// checkpointed.
	checkpointedLoss = time.Second
	// restartOverhead is added to the lost run time of every victim.
	restartOverhead = 5 * time.Second
	// gangFactor accounts for the rest of a gang, which stops with any of its
	// members.
	gangFactor = 20
	// guaranteedFactor multiplies the cost of tasks of teams that do not borrow.
	guaranteedFactor = 4
	// serviceCost ranks services after all other tasks.
	serviceCost = Cost(1) << 40
)

// Candidate is a running task that may be preempted.
type Candidate struct {
	ID        book.ID
	Resources cluster.Resources
	Class     document.Class
	Priority  document.Priority
	// Checkpointable tasks can save their progress before they stop.
	Checkpointable bool
	// SinceCheckpoint is how long the task has run since its last checkpoint.
	SinceCheckpoint time.Duration
	// Borrows is set if the task's team uses more than its guarantee.
	Borrows bool
}

// Preemptor describes the task that needs the resources.
type Preemptor struct {
	Priority document.Priority
	// Reclaims is set for a team that stays within its guarantee. Such a team
	// preempts only tasks of teams that borrow.
	Reclaims bool
}

// MayPreempt reports whether the task may preempt any other task.
func (p Preemptor) MayPreempt() bool { return p.Priority == document.PriorityUrgent || p.Reclaims }

// mayEvict reports whether the task may preempt a candidate.
func (p Preemptor) mayEvict(c Candidate) bool {
	if c.Priority == document.PriorityUrgent {
		return false
	}
	if p.Priority == document.PriorityUrgent {
		return true
	}
	return c.Borrows && queue.PriorityBand(c.Priority) >= queue.PriorityBand(p.Priority)
}

// CostOf returns the cost of preempting a candidate.
func CostOf(c Candidate) Cost {
	lost := c.SinceCheckpoint
	if c.Checkpointable {
		lost = min(lost, checkpointedLoss)
	}
	cost := Cost((lost + restartOverhead) / time.Millisecond * time.Duration(max(c.Resources.CPU, 1)) / 1000)
	if c.Class == document.ClassGang {
		cost *= gangFactor
	}
	if !c.Borrows {
		cost *= guaranteedFactor
	}
	if c.Class == document.ClassService {
		cost += serviceCost
	}
	return cost
}

// Victims are the tasks to preempt on one worker.
type Victims struct {
	IDs  []book.ID
	Cost Cost
	// Services lists those of IDs that may stop only with the permission of
	// their job's home.
	Services []book.ID
}

// Choose returns the cheapest set of candidates found whose resources, together
// with what is free, suffice for need. It returns false if the preemptor may not
// preempt, or if no set suffices. It reorders candidates.
func Choose(need, free cluster.Resources, candidates []Candidate, by Preemptor) (Victims, bool) {
	if !by.MayPreempt() {
		return Victims{}, false
	}
	ordered := candidates[:0]
	for _, c := range candidates {
		if by.mayEvict(c) {
			ordered = append(ordered, c)
		}
	}
	missing := need.Sub(free)
	sort.Slice(ordered, func(i, j int) bool { return cheaper(ordered[i], ordered[j], missing) })
	chosen, ok := sufficientPrefix(need, free, ordered)
	if !ok {
		return Victims{}, false
	}
	return prune(need, free, chosen), true
}

// cheaper compares candidates by cost per unit of the missing resources that
// they cover.
func cheaper(a, b Candidate, missing cluster.Resources) bool {
	ca, cb := CostOf(a), CostOf(b)
	ga, gb := coverage(a.Resources, missing), coverage(b.Resources, missing)
	if x, y := float64(ca)*float64(gb), float64(cb)*float64(ga); x != y {
		return x < y
	}
	return a.ID.Job < b.ID.Job || (a.ID.Job == b.ID.Job && a.ID.Index < b.ID.Index)
}

// coverage returns the fraction of the missing resources that r covers, in
// thousandths summed over the resources.
func coverage(r, missing cluster.Resources) int64 {
	sum := int64(0)
	for _, d := range [...][2]int64{{r.CPU, missing.CPU}, {r.Memory, missing.Memory}, {r.Accelerators, missing.Accelerators}} {
		if d[1] > 0 {
			sum += min(d[0], d[1]) * 1000 / d[1]
		}
	}
	return sum
}

func sufficientPrefix(need, free cluster.Resources, ordered []Candidate) ([]Candidate, bool) {
	for i, c := range ordered {
		free = free.Add(c.Resources)
		if need.Fits(free) {
			return ordered[:i+1], true
		}
	}
	return nil, false
}

// prune removes victims that are not needed, the most expensive first.
func prune(need, free cluster.Resources, chosen []Candidate) Victims {
	sort.Slice(chosen, func(i, j int) bool { return CostOf(chosen[i]) > CostOf(chosen[j]) })
	for _, c := range chosen {
		free = free.Add(c.Resources)
	}
	var v Victims
	for _, c := range chosen {
		if rest := free.Sub(c.Resources); need.Fits(rest) {
			free = rest
			continue
		}
		v.IDs = append(v.IDs, c.ID)
		v.Cost += CostOf(c)
		if c.Class == document.ClassService {
			v.Services = append(v.Services, c.ID)
		}
	}
	return v
}
