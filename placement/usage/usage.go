// Package usage handles tasks that use more resources than they declared. From
// reports that lag behind, it decides what to do about each task of a worker,
// which rack owners ask for, and it estimates the real use of the tasks of each
// workload, which homes ask for.
//
// A task over its declared CPU is throttled at once, which protects the other
// tasks on the worker. A task that stays over its size, as it does with memory,
// which throttling does not reduce, is checkpointed and stopped, but only on a
// worker that is about to run out of resources, lowest priority and class first,
// and only as many tasks as needed.
//
// The package is not safe for concurrent use.
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
	// tolerancePercent is by how much a task may exceed its declared size, in
	// percent.
	tolerancePercent = 5
	// pressurePercent is the use of a worker's capacity, in percent, above which
	// tasks may be stopped.
	pressurePercent = 95
	percent         = 100
	// stopDelay is how long a task must have exceeded its size before it may be
	// stopped.
	stopDelay = 10 * time.Second
)

// ActionKind is what to do with a task.
type ActionKind uint8

// Kinds of actions.
const (
	None ActionKind = iota
	Throttle
	Unthrottle
	Stop
)

// Task is the state of one running task by its last report.
type Task struct {
	ID       book.ID
	Class    document.Class
	Priority document.Priority
	Declared cluster.Resources
	// Used is the measured use, which is ReportAge old.
	Used      cluster.Resources
	ReportAge time.Duration
	// RunTime is how long the task has run. A task that has run for less than
	// ReportAge has no report yet and counts with its declared size.
	RunTime   time.Duration
	Throttled bool
	// ExceededSince is when the task was first seen to exceed its declared size;
	// zero if it does not.
	ExceededSince time.Time
}

// ExceedsDeclared reports whether the task uses more CPU or memory than it
// declared, beyond the tolerance.
func (t Task) ExceedsDeclared() bool {
	return t.overCPU() || t.Used.Memory > toleratedSize(t.Declared.Memory)
}

func (t Task) overCPU() bool { return t.Used.CPU > toleratedSize(t.Declared.CPU) }

func toleratedSize(declared int64) int64 { return declared + declared*tolerancePercent/percent }

// expectedUse returns the resources that a task is assumed to use now.
func (t Task) expectedUse() cluster.Resources {
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

// Decide returns the actions for the tasks of one worker. Before a Stop, the
// caller checkpoints the task if it can be checkpointed.
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
	return append(out, selectStops(capacity, tasks, now)...)
}

// selectStops chooses the tasks to stop so that the worker does not run out of
// resources.
func selectStops(capacity cluster.Resources, tasks []Task, now time.Time) []Action {
	var sum cluster.Resources
	for _, t := range tasks {
		sum = sum.Add(t.expectedUse())
	}
	limit := cluster.Resources{CPU: capacity.CPU * pressurePercent / percent, Memory: capacity.Memory * pressurePercent / percent}
	var out []Action
	for _, t := range lowestFirst(tasks) {
		if sum.CPU <= limit.CPU && sum.Memory <= limit.Memory {
			break
		}
		if !t.ExceedsDeclared() || t.ExceededSince.IsZero() || now.Sub(t.ExceededSince) < stopDelay {
			continue
		}
		sum = sum.Sub(t.expectedUse())
		out = append(out, Action{t.ID, Stop})
	}
	return out
}

// lowestFirst sorts tasks by priority, then class, then excess of memory, those
// to stop first in front.
func lowestFirst(tasks []Task) []Task {
	out := append([]Task(nil), tasks...)
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if x, y := queue.PriorityBand(a.Priority), queue.PriorityBand(b.Priority); x != y {
			return x > y
		}
		if x, y := classOrder(a.Class), classOrder(b.Class); x != y {
			return x < y
		}
		return a.Used.Memory-a.Declared.Memory > b.Used.Memory-b.Declared.Memory
	})
	return out
}

// classOrder returns the position of a class in the order of stopping: batch
// tasks first, then gangs, then services.
func classOrder(c document.Class) int {
	switch c {
	case document.ClassService:
		return 2
	case document.ClassGang:
		return 1
	default:
		return 0
	}
}
