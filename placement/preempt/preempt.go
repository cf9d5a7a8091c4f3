// Package preempt chooses which running tasks make room for a more pressing
// one, so that as little work as possible is lost: tasks whose progress is
// saved before tasks whose progress would be lost, teams that borrow before
// teams within their guarantee, and services last and only within their
// budgets.
//
// Only urgent work, and work of a team that takes back its guarantee, makes
// room this way. What it displaces waits in the queue; it can in turn take
// room only from teams that borrow, and those from nobody, so that there is
// no cascade.
package preempt

import (
	"sort"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/book"
	"github.com/currantwinch/currantwinch/placement/queue"
)

// Cost is in millicore-seconds of work that would be done again.
type Cost int64

const (
	// checkpointTime is the work that a task loses although it is saved.
	checkpointTime = time.Second
	// restartTime is what every victim costs beside its lost work.
	restartTime = 5 * time.Second
	// gangFactor stands for the rest of a gang, which stops with its member.
	gangFactor = 20
	// guaranteedFactor is for tasks of teams that do not borrow.
	guaranteedFactor = 4
	// serviceCost puts services behind all other work.
	serviceCost = Cost(1) << 40
)

// Candidate is a running task that may have to make room.
type Candidate struct {
	ID        book.ID
	Resources cluster.Resources
	Class     document.Class
	Priority  document.Priority
	// Checkpointable is true for a task whose progress can be saved.
	Checkpointable bool
	// SinceCheckpoint is how long it has run since its last checkpoint.
	SinceCheckpoint time.Duration
	// Borrows is true where the task's team uses more than its guarantee.
	Borrows bool
}

// Preemptor say on whose behalf room is made.
type Preemptor struct {
	Priority document.Priority
	// Reclaims is set for a team that stays within its guarantee; it takes
	// room from teams that borrow only.
	Reclaims bool
}

// MayPreempt reports whether tasks with these terms may make room at all.
func (t Preemptor) MayPreempt() bool { return t.Priority == document.PriorityUrgent || t.Reclaims }

// takes reports whether a candidate may have to make room.
func (t Preemptor) takes(c Candidate) bool {
	if c.Priority == document.PriorityUrgent {
		return false
	}
	if t.Priority == document.PriorityUrgent {
		return true
	}
	return c.Borrows && queue.PriorityBand(c.Priority) >= queue.PriorityBand(t.Priority)
}

// CostOf is what stopping a candidate costs.
func CostOf(c Candidate) Cost {
	lost := c.SinceCheckpoint
	if c.Checkpointable {
		lost = min(lost, checkpointTime)
	}
	cost := Cost((lost + restartTime) / time.Millisecond * time.Duration(max(c.Resources.CPU, 1)) / 1000)
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

// Victims is a choice of tasks on one worker.
type Victims struct {
	IDs  []book.ID
	Cost Cost
	// Services lists those of them that need leave of their home.
	Services []book.ID
}

// Choose returns the cheapest candidates found whose room, with what is free,
// suffices for need, or false where no choice does. Candidates are reordered.
func Choose(need, free cluster.Resources, candidates []Candidate, terms Preemptor) (Victims, bool) {
	if !terms.MayPreempt() {
		return Victims{}, false
	}
	ordered := candidates[:0]
	for _, c := range candidates {
		if terms.takes(c) {
			ordered = append(ordered, c)
		}
	}
	missing := need.Sub(free)
	sort.Slice(ordered, func(i, j int) bool { return cheaper(ordered[i], ordered[j], missing) })
	chosen, ok := enough(need, free, ordered)
	if !ok {
		return Victims{}, false
	}
	return prune(need, free, chosen), true
}

// cheaper compares candidates by cost for what they give of what is missing.
func cheaper(a, b Candidate, missing cluster.Resources) bool {
	ca, cb := CostOf(a), CostOf(b)
	ga, gb := gain(a.Resources, missing), gain(b.Resources, missing)
	if x, y := float64(ca)*float64(gb), float64(cb)*float64(ga); x != y {
		return x < y
	}
	return a.ID.Job < b.ID.Job || (a.ID.Job == b.ID.Job && a.ID.Index < b.ID.Index)
}

// gain is how much of what is missing r gives, in thousandths summed over
// resources.
func gain(r, missing cluster.Resources) int64 {
	sum := int64(0)
	for _, d := range [...][2]int64{{r.CPU, missing.CPU}, {r.Memory, missing.Memory}, {r.Accelerators, missing.Accelerators}} {
		if d[1] > 0 {
			sum += min(d[0], d[1]) * 1000 / d[1]
		}
	}
	return sum
}

func enough(need, free cluster.Resources, ordered []Candidate) ([]Candidate, bool) {
	for i, c := range ordered {
		free = free.Add(c.Resources)
		if need.Fits(free) {
			return ordered[:i+1], true
		}
	}
	return nil, false
}

// prune drops, dearest first, the victims that are not needed after all.
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
