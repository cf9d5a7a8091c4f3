package queue

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/google/btree"
)

// UpdateRank re-sorts a team. Callers call it when the team's rank may have
// changed.
func (q *Queue) UpdateRank(team string) {
	rank := q.ranker.Rank(team)
	for i := range q.bands {
		b := &q.bands[i]
		tq, ok := b.teams[team]
		if !ok || tq.rank == rank {
			continue
		}
		b.byRank.Delete(tq)
		tq.rank = rank
		b.byRank.ReplaceOrInsert(tq)
	}
}

// WakeForCapacity unblocks jobs that wait for capacity and of which a worker
// with these free resources could run a task. For each shape it unblocks the
// first jobs, until their tasks use up the resources. It returns the number of
// unblocked jobs.
func (q *Queue) WakeForCapacity(free cluster.Resources, kind, region string) int {
	woken := 0
	for s, t := range q.byShape {
		if !s.matches(kind, region) {
			continue
		}
		woken += q.wake(t, fitCount(free, s.Resources))
	}
	return woken
}

func (s Shape) matches(kind, region string) bool {
	if s.Region != "" && s.Region != region {
		return false
	}
	return s.Resources.Accelerators == 0 || s.AcceleratorKind == "" || s.AcceleratorKind == kind
}

// fitCount returns how many tasks of size r fit into free.
func fitCount(free, r cluster.Resources) int {
	n := int64(1 << 20)
	for _, d := range [...][2]int64{{free.CPU, r.CPU}, {free.Memory, r.Memory}, {free.Accelerators, r.Accelerators}} {
		if d[1] > 0 {
			n = min(n, max(d[0], 0)/d[1])
		}
	}
	return int(n)
}

// wake unblocks the first jobs of t until they have the given number of tasks.
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

// WakeTeam unblocks the jobs that are blocked by their team's limit.
func (q *Queue) WakeTeam(team string) int {
	t, ok := q.byTeam[team]
	if !ok {
		return 0
	}
	return q.wake(t, 1<<30)
}

// WakeDue unblocks the jobs that were deferred until now or earlier.
func (q *Queue) WakeDue(now time.Time) int {
	woken := 0
	for {
		it, ok := q.deferred.Min()
		if !ok || it.until.After(now) {
			return woken
		}
		q.detach(it)
		q.addReady(it)
		woken++
	}
}

// WakeJob unblocks one job that waits for capacity or for its team's limit. A
// deferred job stays blocked until its time, because the deferral bounds how
// often it is retried.
func (q *Queue) WakeJob(id string) {
	if it, ok := q.items[id]; ok && it.reason != Ready && it.reason != Deferred {
		q.detach(it)
		q.addReady(it)
	}
}

// NextDue returns when the next deferred job becomes ready, or false if none is
// deferred.
func (q *Queue) NextDue() (time.Time, bool) {
	it, ok := q.deferred.Min()
	if !ok {
		return time.Time{}, false
	}
	return it.until, true
}

// Heads returns the first job of each shape that waits for capacity, in queue
// order and at most limit of them.
func (q *Queue) Heads(limit int) []Job {
	heads := btree.NewG(btreeDegree, lessByPriority)
	for _, t := range q.byShape {
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

// Counts is the number of jobs by reason.
type Counts struct {
	Ready                int `json:"ready"`
	InsufficientCapacity int `json:"noRoom"`
	OverLimit            int `json:"overLimit"`
	Deferred             int `json:"heldBack"`
}

// Counts returns the number of jobs by reason.
func (q *Queue) Counts() Counts {
	c := Counts{Deferred: q.deferred.Len()}
	for _, t := range q.byShape {
		c.InsufficientCapacity += t.Len()
	}
	for _, t := range q.byTeam {
		c.OverLimit += t.Len()
	}
	c.Ready = len(q.items) - c.InsufficientCapacity - c.OverLimit - c.Deferred
	return c
}
