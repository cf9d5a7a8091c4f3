// Package queue holds the jobs that have tasks to place and says which is
// tried next: the highest priority first, within it the team that the quotas
// put first, within that the job that was accepted first. A job that cannot
// be placed is set aside with the reason, and comes back only when what it
// waits for has changed. Removing a job costs the same however many wait.
//
// A Queue belongs to one goroutine. Time is passed in.
package queue

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/quota"
	"github.com/google/btree"
)

const degree = 16

// Shape is what one task of a job asks for. Jobs of one shape are woken
// together.
type Shape struct {
	Resources       cluster.Resources
	AcceleratorKind string
	// Region is the only region allowed, or empty for several or any.
	Region string
}

// Job is a job with tasks to place.
type Job struct {
	ID       string
	Team     string
	Priority document.Priority
	// AcceptedOffset is the log offset at which the job was accepted.
	AcceptedOffset uint64
	Shape          Shape
	// Tasks is how many wait.
	Tasks int
}

// Reason says why a job is set aside.
type Reason string

// The reasons.
const (
	Ready Reason = ""
	// InsufficientCapacity ends when a worker has room for one task of the job's shape.
	InsufficientCapacity Reason = "no_room"
	// OverLimit ends when the team uses less or its quota changes.
	OverLimit Reason = "over_limit"
	// Deferred ends at a time.
	Deferred Reason = "held_back"
)

// Ranker orders teams.
type Ranker interface {
	Rank(team string) quota.Rank
}

type item struct {
	Job
	band   int
	reason Reason
	since  time.Time
	until  time.Time
}

func earlier(a, b *item) bool {
	if a.AcceptedOffset != b.AcceptedOffset {
		return a.AcceptedOffset < b.AcceptedOffset
	}
	return a.ID < b.ID
}

func sooner(a, b *item) bool {
	if !a.until.Equal(b.until) {
		return a.until.Before(b.until)
	}
	return a.ID < b.ID
}

// line is the ready jobs of one team in one band.
type line struct {
	team string
	rank quota.Rank
	jobs *btree.BTreeG[*item]
}

func before(a, b *line) bool {
	if a.rank != b.rank {
		return a.rank.Less(b.rank)
	}
	return a.team < b.team
}

type band struct {
	lines map[string]*line
	order *btree.BTreeG[*line]
}

// Queue holds waiting jobs.
type Queue struct {
	ranker Ranker
	bands  [4]band
	items  map[string]*item
	// The jobs set aside, by what wakes them.
	shapes map[Shape]*btree.BTreeG[*item]
	limits map[string]*btree.BTreeG[*item]
	held   *btree.BTreeG[*item]
}

// New returns an empty queue that orders teams by ranker.
func New(ranker Ranker) *Queue {
	q := &Queue{
		ranker: ranker,
		items:  make(map[string]*item),
		shapes: make(map[Shape]*btree.BTreeG[*item]),
		limits: make(map[string]*btree.BTreeG[*item]),
		held:   btree.NewG(degree, sooner),
	}
	for i := range q.bands {
		q.bands[i] = band{lines: make(map[string]*line), order: btree.NewG(degree, before)}
	}
	return q
}

// PriorityBand is a priority's place in the order; the lowest is served first.
func PriorityBand(p document.Priority) int {
	switch p {
	case document.PriorityUrgent:
		return 0
	case document.PriorityHigh:
		return 1
	case document.PriorityLow:
		return 3
	default:
		return 2
	}
}

// Len is the number of jobs, those set aside included.
func (q *Queue) Len() int { return len(q.items) }

// Put adds a job or changes how many of its tasks wait. A job set aside stays
// so. One without tasks is removed.
func (q *Queue) Put(j Job, now time.Time) {
	if j.Tasks <= 0 {
		q.Remove(j.ID)
		return
	}
	if it, ok := q.items[j.ID]; ok {
		it.Tasks = j.Tasks
		return
	}
	it := &item{Job: j, band: PriorityBand(j.Priority), since: now}
	q.items[j.ID] = it
	q.addReady(it)
}

// Remove forgets a job.
func (q *Queue) Remove(id string) {
	it, ok := q.items[id]
	if !ok {
		return
	}
	q.detach(it)
	delete(q.items, id)
}

// Next returns the job to try, or false where none is ready. The job stays
// where it is until Put, Block or Remove.
func (q *Queue) Next() (Job, bool) {
	for i := range q.bands {
		if l, ok := q.bands[i].order.Min(); ok {
			it, _ := l.jobs.Min()
			return it.Job, true
		}
	}
	return Job{}, false
}

// Block sets a job aside. Until is read for HeldBack only.
func (q *Queue) Block(id string, r Reason, now, until time.Time) {
	it, ok := q.items[id]
	if !ok {
		return
	}
	q.detach(it)
	it.reason, it.since, it.until = r, now, until
	switch r {
	case InsufficientCapacity:
		insert(q.shapes, it.Shape, it)
	case OverLimit:
		insert(q.limits, it.Team, it)
	case Deferred:
		q.held.ReplaceOrInsert(it)
	default:
		q.addReady(it)
	}
}

// Reason returns why a job is set aside and since when, or false for a job
// that is not in the queue.
func (q *Queue) Reason(id string) (Reason, time.Time, bool) {
	it, ok := q.items[id]
	if !ok {
		return Ready, time.Time{}, false
	}
	return it.reason, it.since, true
}

func insert[K comparable](m map[K]*btree.BTreeG[*item], key K, it *item) {
	t, ok := m[key]
	if !ok {
		t = btree.NewG(degree, first)
		m[key] = t
	}
	t.ReplaceOrInsert(it)
}

// first orders jobs of all teams by priority, then age.
func first(a, b *item) bool {
	if a.band != b.band {
		return a.band < b.band
	}
	return earlier(a, b)
}

func remove[K comparable](m map[K]*btree.BTreeG[*item], key K, it *item) {
	t, ok := m[key]
	if !ok {
		return
	}
	t.Delete(it)
	if t.Len() == 0 {
		delete(m, key)
	}
}

// detach takes a job out of whatever list it is in.
func (q *Queue) detach(it *item) {
	switch it.reason {
	case InsufficientCapacity:
		remove(q.shapes, it.Shape, it)
	case OverLimit:
		remove(q.limits, it.Team, it)
	case Deferred:
		q.held.Delete(it)
	default:
		q.removeReady(it)
	}
}

func (q *Queue) addReady(it *item) {
	it.reason = Ready
	b := &q.bands[it.band]
	l, ok := b.lines[it.Team]
	if !ok {
		l = &line{team: it.Team, rank: q.ranker.Rank(it.Team), jobs: btree.NewG(degree, earlier)}
		b.lines[it.Team] = l
		b.order.ReplaceOrInsert(l)
	}
	l.jobs.ReplaceOrInsert(it)
}

func (q *Queue) removeReady(it *item) {
	b := &q.bands[it.band]
	l, ok := b.lines[it.Team]
	if !ok {
		return
	}
	l.jobs.Delete(it)
	if l.jobs.Len() == 0 {
		b.order.Delete(l)
		delete(b.lines, it.Team)
	}
}
