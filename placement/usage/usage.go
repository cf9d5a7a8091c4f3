// Package usage handles tasks that use more than they asked for. It decides
// what to do about each, from reports that lag, and learns what the tasks of
// one workload really use.
//
// A task over its declared size is throttled at once, because only that keeps
// its neighbours whole. If it stays over, which for memory a throttle cannot
// help, it is checkpointed and then stopped, but only on a worker that is
// about to run out, lowest class first, and only as many tasks as it takes.
// Nothing here is safe for concurrent use.
package usage

import (
	"sort"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/book"
	"github.com/currantwinch/currantwinch/placement/queue"
)

const (
	// tolerance is by how many percent a task may pass its declared size.
	tolerance = 5
	// pressureAt is the part of a worker, in percent, from which it is about
	// to run out.
	pressureAt = 95
	percent    = 100
	// stopAfter is how long a throttled task may stay over under pressure.
	stopAfter = 10 * time.Second
)

// ActionKind is how far a task's treatment has gone.
type ActionKind uint8

// The steps, in their order.
const (
	None ActionKind = iota
	Throttle
	Unthrottle
	Stop
)

// Task is one running task as last reported.
type Task struct {
	ID       book.ID
	Class    document.Class
	Priority document.Priority
	Declared cluster.Resources
	// Used is Age old.
	Used      cluster.Resources
	ReportAge time.Duration
	// RunTime is how long the task has run; a task younger than the report's
	// age has no report yet and counts with its declared size.
	RunTime   time.Duration
	Throttled bool
	// ExceededSince is when the task was first seen over, or zero.
	ExceededSince time.Time
}

// ExceedsDeclared reports whether a task uses more than it declared.
func (t Task) ExceedsDeclared() bool {
	return t.overCPU() || t.Used.Memory > allowed(t.Declared.Memory)
}

func (t Task) overCPU() bool { return t.Used.CPU > allowed(t.Declared.CPU) }

func allowed(declared int64) int64 { return declared + declared*tolerance/percent }

// expected is what a task is taken to use now.
func (t Task) expected() cluster.Resources {
	if t.RunTime <= t.ReportAge {
		return t.Declared
	}
	return t.Used
}

// Action is what to do with one task.
type Action struct {
	ID   book.ID
	Kind ActionKind
}

// Decide returns what to do with the tasks of one worker. A Stop means a
// checkpoint first where the task can make one.
func Decide(capacity cluster.Resources, tasks []Task, now time.Time) []Action {
	var out []Action
	for _, t := range tasks {
		switch {
		case t.overCPU() && !t.Throttled:
			out = append(out, Action{t.ID, Throttle})
		case t.Throttled && !t.ExceedsDeclared():
			out = append(out, Action{t.ID, Unthrottle})
		}
	}
	return append(out, stops(capacity, tasks, now)...)
}

// stops chooses which tasks end so that the worker does not run out.
func stops(capacity cluster.Resources, tasks []Task, now time.Time) []Action {
	var sum cluster.Resources
	for _, t := range tasks {
		sum = sum.Add(t.expected())
	}
	limit := cluster.Resources{CPU: capacity.CPU * pressureAt / percent, Memory: capacity.Memory * pressureAt / percent}
	var out []Action
	for _, t := range lowestFirst(tasks) {
		if sum.CPU <= limit.CPU && sum.Memory <= limit.Memory {
			break
		}
		if !t.ExceedsDeclared() || t.ExceededSince.IsZero() || now.Sub(t.ExceededSince) < stopAfter {
			continue
		}
		sum = sum.Sub(t.expected())
		out = append(out, Action{t.ID, Stop})
	}
	return out
}

// lowestFirst orders tasks by priority, then class, then by how far they are
// over, the first to go first.
func lowestFirst(tasks []Task) []Task {
	out := append([]Task(nil), tasks...)
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if x, y := queue.PriorityBand(a.Priority), queue.PriorityBand(b.Priority); x != y {
			return x > y
		}
		if x, y := standing(a.Class), standing(b.Class); x != y {
			return x < y
		}
		return a.Used.Memory-a.Declared.Memory > b.Used.Memory-b.Declared.Memory
	})
	return out
}

// standing is a class's place: batch work goes before gangs, gangs before
// services.
func standing(c document.Class) int {
	switch c {
	case document.ClassService:
		return 2
	case document.ClassGang:
		return 1
	default:
		return 0
	}
}
