package scheduler

import (
	"container/heap"

	"github.com/currantwinch/currantwinch/internal/events"
)

// dueQueue holds the jobs with occurrences that were not activated yet, the one whose next
// occurrence is due first at the front. It implements heap.Interface.
type dueQueue []*job

// Len implements heap.Interface.
func (q dueQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q dueQueue) Less(i, k int) bool { return q[i].nextDueMS() < q[k].nextDueMS() }

// Swap implements heap.Interface.
func (q dueQueue) Swap(i, k int) {
	q[i], q[k] = q[k], q[i]
	q[i].dueIndex, q[k].dueIndex = i, k
}

// Push implements heap.Interface.
func (q *dueQueue) Push(x any) {
	j := x.(*job)
	j.dueIndex = len(*q)
	*q = append(*q, j)
}

// Pop implements heap.Interface.
func (q *dueQueue) Pop() any {
	last := len(*q) - 1
	j := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	j.dueIndex = notScheduled
	return j
}

// notScheduled is the index of a job that is not in the dueQueue.
const notScheduled = -1

// withdrawPlans removes a job that ends or leaves from the occurrences and the moves to come.
// The next placement pass drops its steps from the queue, which makes room for others.
func (c *Core) withdrawPlans(j *job) {
	c.placementNeeded = true
	delete(c.misrouted, j)
	if j.dueIndex != notScheduled {
		heap.Remove(&c.scheduled, j.dueIndex)
	}
}

// nextDueMS returns when the next occurrence is due that was not activated, in Unix
// milliseconds.
func (j *job) nextDueMS() int64 { return j.sub.Due(j.nextDue) }

// schedule activates the occurrences of a job that are due, as far as the memory allows,
// and queues the job for the next one.
func (c *Core) schedule(j *job) {
	for j.ending == "" {
		j.nextDue = j.done.Next(j.nextDue)
		if j.nextDue >= j.sub.Occurrences() {
			return
		}
		if j.nextDueMS() > c.wall || !c.mayBuild(j, j.nextDue) {
			heap.Push(&c.scheduled, j)
			return
		}
		c.activate(c.build(j, j.nextDue))
		j.nextDue++
	}
}

// startDueOccurrences activates the occurrences that are due, the longest due first. One
// for which there is no memory is tried again at the next call.
func (c *Core) startDueOccurrences() {
	var due []*job
	for len(c.scheduled) > 0 && c.scheduled[0].nextDueMS() <= c.wall {
		due = append(due, heap.Pop(&c.scheduled).(*job))
	}
	for _, j := range due {
		c.schedule(j)
	}
	c.noteMemoryShort()
}

// noteMemoryShort logs when due occurrences begin to wait for memory, and when none does
// any more.
func (c *Core) noteMemoryShort() {
	short := len(c.scheduled) > 0 && c.scheduled[0].nextDueMS() <= c.wall
	if short == c.memory.short {
		return
	}
	c.memory.short = short
	c.log.Log(events.MemoryBudgetChanged, "epoch", c.epoch, "exceeded", short, "held", c.memory.held, "limit", c.memory.limit, "jobs", len(c.jobs))
}

// build returns an occurrence, which it builds if it is not, or nil if there is none that
// is not done.
func (c *Core) build(j *job, index int) *occurrence {
	if o := j.occurrences[index]; o != nil {
		return o
	}
	o := j.build(index)
	if o == nil {
		return nil
	}
	c.memory.built(j)
	for _, st := range o.steps {
		for i := range st.tasks {
			if st.tasks[i].exposure != nil {
				c.loadExposure(&st.tasks[i])
			}
		}
	}
	return o
}

// activate queues the ready steps of a due occurrence.
func (c *Core) activate(o *occurrence) {
	if o == nil {
		return
	}
	o.due = true
	for _, s := range o.steps {
		c.enqueue(s)
	}
}
