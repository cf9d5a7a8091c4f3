// Package policybench simulates the request policy in virtual time: a generator
// of arrivals, nine daemons that use the same decision packages as the real ones,
// and baselines that serve the same arrivals. Its benchmarks print each figure
// beside that of the baseline, and its tests check the targets.
package policybench

import (
	"container/heap"
	"time"
)

// engine runs functions in the order of their virtual times.
type engine struct {
	now      time.Time
	events   eventHeap
	sequence uint64
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// epoch is the start of virtual time.
var epoch = time.Unix(0, 0)

func newEngine() *engine { return &engine{now: epoch} }

// after schedules f to run after d.
func (e *engine) after(d time.Duration, f func()) { e.at(e.now.Add(d), f) }

// at schedules f to run at t, or now if t has passed.
func (e *engine) at(t time.Time, f func()) {
	if t.Before(e.now) {
		t = e.now
	}
	e.sequence++
	heap.Push(&e.events, event{t, e.sequence, f})
}

// run runs all events up to end, and those that they schedule up to end.
func (e *engine) run(end time.Time) {
	for len(e.events) > 0 && !e.events[0].at.After(end) {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
