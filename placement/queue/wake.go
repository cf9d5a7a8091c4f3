package queue

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/google/btree"
)

// UpdateRank is called when a team's rank may have changed.
func (q *Queue) UpdateRank(team string) {
	rank := q.ranker.Rank(team)
	for i := range q.bands {
		b := &q.bands[i]
		l, ok := b.lines[team]
		if !ok || l.rank == rank {
			continue
		}
		b.order.Delete(l)
		l.rank = rank
		b.order.ReplaceOrInsert(l)
	}
}

// WakeForCapacity makes ready the jobs that wait for room and that a worker with
// this much free could take a task of: of each shape as many, first ones
// first, as there is room for tasks. It returns how many it woke.
func (q *Queue) WakeForCapacity(free cluster.Resources, kind, region string) int {
	woken := 0
	for s, t := range q.shapes {
		if !s.suits(kind, region) {
			continue
		}
		woken += q.wake(t, times(free, s.Resources))
	}
	return woken
}

func (s Shape) suits(kind, region string) bool {
	if s.Region != "" && s.Region != region {
		return false
	}
	return s.Resources.Accelerators == 0 || s.AcceleratorKind == "" || s.AcceleratorKind == kind
}

// times is how many tasks of size r fit into free.
func times(free, r cluster.Resources) int {
	n := int64(1 << 20)
	for _, d := range [...][2]int64{{free.CPU, r.CPU}, {free.Memory, r.Memory}, {free.Accelerators, r.Accelerators}} {
		if d[1] > 0 {
			n = min(n, max(d[0], 0)/d[1])
		}
	}
	return int(n)
}

// wake makes ready the first jobs of t until they have tasks enough.
func (q *Queue) wake(t *btree.BTreeG[*item], tasks int) int {
	woken := 0
	for tasks > 0 && t.Len() > 0 {
		it, _ := t.Min()
		tasks -= it.Tasks
		q.detach(it)
		q.addReady(it)
		woken++
	}
	return woken
}

// WakeTeam makes ready the jobs that wait for their team's limit.
func (q *Queue) WakeTeam(team string) int {
	t, ok := q.limits[team]
	if !ok {
		return 0
	}
	return q.wake(t, 1<<30)
}

// WakeDue makes ready the jobs that were held back until now or earlier.
func (q *Queue) WakeDue(now time.Time) int {
	woken := 0
	for {
		it, ok := q.held.Min()
		if !ok || it.until.After(now) {
			return woken
		}
		q.detach(it)
		q.addReady(it)
		woken++
	}
}

// WakeJob makes one job ready that waits for room or for its team's limit. One
// that is held back stays so until its time: whoever held it back bounds how
// often it is tried.
func (q *Queue) WakeJob(id string) {
	if it, ok := q.items[id]; ok && it.reason != Ready && it.reason != Deferred {
		q.detach(it)
		q.addReady(it)
	}
}

// NextDue is when the next held-back job comes back, or false where none is held.
func (q *Queue) NextDue() (time.Time, bool) {
	it, ok := q.held.Min()
	if !ok {
		return time.Time{}, false
	}
	return it.until, true
}

// Heads returns the first job of each shape that waits for room, at most
// limit, those that come first in the order first.
func (q *Queue) Heads(limit int) []Job {
	heads := btree.NewG(degree, first)
	for _, t := range q.shapes {
		it, _ := t.Min()
		heads.ReplaceOrInsert(it)
		if heads.Len() > limit {
			heads.DeleteMax()
		}
	}
	var out []Job
	heads.Ascend(func(it *item) bool {
		out = append(out, it.Job)
		return true
	})
	return out
}

// Counts is how many jobs there are by reason.
type Counts struct {
	Ready                int `json:"ready"`
	InsufficientCapacity int `json:"noRoom"`
	OverLimit            int `json:"overLimit"`
	Deferred             int `json:"heldBack"`
}

// Counts returns how many jobs wait for what.
func (q *Queue) Counts() Counts {
	c := Counts{Deferred: q.held.Len()}
	for _, t := range q.shapes {
		c.InsufficientCapacity += t.Len()
	}
	for _, t := range q.limits {
		c.OverLimit += t.Len()
	}
	c.Ready = len(q.items) - c.InsufficientCapacity - c.OverLimit - c.Deferred
	return c
}
