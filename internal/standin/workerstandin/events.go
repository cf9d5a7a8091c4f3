package workerstandin

import (
	"fmt"
	"sort"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/placer"
)

// EventKind says whether an attempt started or ended.
type EventKind string

const (
	EventStart EventKind = "start"
	EventEnd   EventKind = "end"
)

// Event is the start or the end of an attempt on a VM.
type Event struct {
	At        time.Time
	Kind      EventKind
	VM        string
	Task      placer.TaskRef
	Resources cluster.Resources
	Labels    placer.TaskLabels
	// Reason is why an attempt ended.
	Reason string
}

func (w *Workers) record(e Event) { w.events = append(w.events, e) }

// Events returns all events up to now in the order of time. Among events of the
// same time, ends come before starts.
func (w *Workers) Events() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.options.Now()
	for _, v := range w.vms {
		w.advance(v, now)
	}
	out := append([]Event(nil), w.events...)
	sort.SliceStable(out, func(i, j int) bool {
		if !out[i].At.Equal(out[j].At) {
			return out[i].At.Before(out[j].At)
		}
		return out[i].Kind == EventEnd && out[j].Kind == EventStart
	})
	return out
}

// Violation is a time at which a VM was overcommitted or a task had more than
// one live attempt.
type Violation struct {
	At          time.Time
	Description string
}

// Violations replays the events and returns every time at which a VM held more
// than its capacity, or a task had more than one live attempt.
func (w *Workers) Violations() []Violation {
	type taskID struct {
		job   string
		index int
	}
	var out []Violation
	used := make(map[string]cluster.Resources)
	live := make(map[taskID]int)
	for _, e := range w.Events() {
		id := taskID{e.Task.JobID, e.Task.Index}
		if e.Kind == EventEnd {
			used[e.VM] = used[e.VM].Sub(e.Resources)
			live[id]--
			continue
		}
		used[e.VM] = used[e.VM].Add(e.Resources)
		live[id]++
		if capacity := w.capacity(e.VM); !used[e.VM].Fits(capacity) {
			out = append(out, Violation{e.At, fmt.Sprintf("%s holds %+v of %+v", e.VM, used[e.VM], capacity)})
		}
		if live[id] > 1 {
			out = append(out, Violation{e.At, fmt.Sprintf("task %s/%d runs %d times", id.job, id.index, live[id])})
		}
	}
	return out
}

func (w *Workers) capacity(name string) cluster.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.vms[name].vm.Capacity
}

// RunningAttempts returns the start events of the live attempts on all VMs. An attempt
// may start and end at the same time, which Events lists the other way round.
func (w *Workers) RunningAttempts() []Event {
	live := make(map[placer.TaskRef]int)
	starts := make(map[placer.TaskRef]Event)
	for _, e := range w.Events() {
		if e.Kind == EventStart {
			live[e.Task]++
			starts[e.Task] = e
		} else {
			live[e.Task]--
		}
	}
	out := make([]Event, 0, len(starts))
	for ref, e := range starts {
		if live[ref] > 0 {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].At.Before(out[j].At) })
	return out
}
