// Package queue holds the jobs that have tasks to place, and determines which is
// tried next: the job with the highest priority; of these, one of the team with
// the lowest rank by its quota; of these, the one that was accepted first. A job
// that cannot be placed is blocked with the reason, and becomes ready again only
// when the state that it waits for has changed. The cost of removing a job does
// not depend on the number of waiting jobs.
//
// The home of the jobs calls it. A Queue must be used by one goroutine at a
// time. Callers pass in the current time.
package queue

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/quota"
	"github.com/google/btree"
)

const btreeDegree = 16

// Shape is what one task of a job asks for. Jobs of the same shape are unblocked
// together.
type Shape struct {
	Resources       cluster.Resources
	AcceleratorKind string
	// Region is the only allowed region; empty if several or all are allowed.
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
	// Tasks is the number of tasks to place.
	Tasks int
}

// Reason says why a job is blocked.
type Reason string

// Reasons for blocking a job.
const (
	// Ready jobs are not blocked.
	Ready Reason = ""
	// InsufficientCapacity ends when a worker has the capacity for one task of
	// the job's shape.
	InsufficientCapacity Reason = "no_room"
	// OverLimit ends when the team's use decreases or its quota changes.
	OverLimit Reason = "over_limit"
	// Deferred ends at a set time.
	Deferred Reason = "held_back"
)

// Ranker determines the order of teams.
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

func lessByAge(a, b *item) bool {
	if a.AcceptedOffset != b.AcceptedOffset {
		return a.AcceptedOffset < b.AcceptedOffset
	}
	return a.ID < b.ID
}

func lessByDue(a, b *item) bool {
	if !a.until.Equal(b.until) {
		return a.until.Before(b.until)
	}
	return a.ID < b.ID
}

// teamQueue holds the ready jobs of one team in one priority band.
type teamQueue struct {
	team string
	rank quota.Rank
	jobs *btree.BTreeG[*item]
}

func lessByRank(a, b *teamQueue) bool {
	if a.rank != b.rank {
		return a.rank.Less(b.rank)
	}
	return a.team < b.team
}

type band struct {
	teams  map[string]*teamQueue
	byRank *btree.BTreeG[*teamQueue]
}

// Queue holds jobs that have tasks to place.
type Queue struct {
	ranker Ranker
	bands  [4]band
	items  map[string]*item
	// The blocked jobs, by what unblocks them.
	byShape  map[Shape]*btree.BTreeG[*item]
	byTeam   map[string]*btree.BTreeG[*item]
	deferred *btree.BTreeG[*item]
}

// New returns an empty queue that orders teams by ranker.
func New(ranker Ranker) *Queue {
	q := &Queue{
		ranker:   ranker,
		items:    make(map[string]*item),
		byShape:  make(map[Shape]*btree.BTreeG[*item]),
		byTeam:   make(map[string]*btree.BTreeG[*item]),
		deferred: btree.NewG(btreeDegree, lessByDue),
	}
	for i := range q.bands {
		q.bands[i] = band{teams: make(map[string]*teamQueue), byRank: btree.NewG(btreeDegree, lessByRank)}
	}
	return q
}

// PriorityBand returns the position of a priority in the order, from 0; the
// lowest band is served first.
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

// Len returns the number of jobs, including blocked ones.
func (q *Queue) Len() int { return len(q.items) }

// Put adds a job, or changes the number of its tasks to place. A blocked job
// stays blocked. A job without tasks is removed.
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

// Remove removes a job.
func (q *Queue) Remove(id string) {
	it, ok := q.items[id]
	if !ok {
		return
	}
	q.detach(it)
	delete(q.items, id)
}

// Next returns the job to try next, or false if none is ready. The job stays
// ready until the caller calls Put, Block or Remove.
func (q *Queue) Next() (Job, bool) {
	for i := range q.bands {
		if tq, ok := q.bands[i].byRank.Min(); ok {
			it, _ := tq.jobs.Min()
			return it.Job, true
		}
	}
	return Job{}, false
}

// Block blocks a job for a reason. The time until is used for Deferred only.
func (q *Queue) Block(id string, r Reason, now, until time.Time) {
	it, ok := q.items[id]
	if !ok {
		return
	}
	q.detach(it)
	it.reason, it.since, it.until = r, now, until
	switch r {
	case InsufficientCapacity:
		insert(q.byShape, it.Shape, it)
	case OverLimit:
		insert(q.byTeam, it.Team, it)
	case Deferred:
		q.deferred.ReplaceOrInsert(it)
	default:
		q.addReady(it)
	}
}

// Reason returns why a job is blocked and since when, or false for a job that is
// not in the queue.
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
		t = btree.NewG(btreeDegree, lessByPriority)
		m[key] = t
	}
	t.ReplaceOrInsert(it)
}

// lessByPriority orders jobs of all teams by priority, then by age.
func lessByPriority(a, b *item) bool {
	if a.band != b.band {
		return a.band < b.band
	}
	return lessByAge(a, b)
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

// detach removes a job from the list that it is in.
func (q *Queue) detach(it *item) {
	switch it.reason {
	case InsufficientCapacity:
		remove(q.byShape, it.Shape, it)
	case OverLimit:
		remove(q.byTeam, it.Team, it)
	case Deferred:
		q.deferred.Delete(it)
	default:
		q.removeReady(it)
	}
}

func (q *Queue) addReady(it *item) {
	it.reason = Ready
	b := &q.bands[it.band]
	tq, ok := b.teams[it.Team]
	if !ok {
		tq = &teamQueue{team: it.Team, rank: q.ranker.Rank(it.Team), jobs: btree.NewG(btreeDegree, lessByAge)}
		b.teams[it.Team] = tq
		b.byRank.ReplaceOrInsert(tq)
	}
	tq.jobs.ReplaceOrInsert(it)
}

func (q *Queue) removeReady(it *item) {
	b := &q.bands[it.band]
	tq, ok := b.teams[it.Team]
	if !ok {
		return
	}
	tq.jobs.Delete(it)
	if tq.jobs.Len() == 0 {
		b.byRank.Delete(tq)
		delete(b.teams, it.Team)
	}
}
