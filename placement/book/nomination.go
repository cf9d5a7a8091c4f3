package book

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
)

// nomination is capacity of a worker that is set aside for one task of a team.
type nomination struct {
	team      string
	resources cluster.Resources
	// expectedStart is when the task is expected to start; zero means at any
	// time.
	expectedStart time.Time
	// expires is when the nomination ends; zero means never.
	expires time.Time
}

// Nomination sets capacity of a worker aside for one task.
type Nomination struct {
	Worker    string
	Job       string
	Index     int
	Team      string
	Resources cluster.Resources
	// ExpectedStart is when the task is expected to start. Tasks that are
	// expected to end earlier may be backfilled into the capacity until then.
	// Zero forbids backfill.
	ExpectedStart time.Time
	// Expires is when the nomination ends; zero means never.
	Expires time.Time
}

// Nominate sets the next free capacity of a worker aside for a task that does
// not fit yet, and replaces an earlier nomination of the task there. Other tasks
// cannot reserve that capacity, except by backfill. It does not count as used.
// The error is ErrAmount, or a RefusedError with UnknownWorker.
func (b *Book) Nominate(p Nomination) error {
	if !validAmount(p.Resources) {
		return ErrAmount
	}
	a, ok := b.workers[p.Worker]
	if !ok {
		return &RefusedError{Reason: UnknownWorker}
	}
	b.RemoveNomination(p.Worker, p.Job, p.Index)
	a.nominations[taskKey{p.Job, p.Index}] = nomination{team: p.Team, resources: p.Resources, expectedStart: p.ExpectedStart, expires: p.Expires}
	a.Nominated = a.Nominated.Add(p.Resources)
	b.chargeNomination(a, p.Team, teamCharge(p.ExpectedStart, p.Resources))
	return nil
}

// RemoveNomination removes the nomination of a task on a worker, if there is
// one.
func (b *Book) RemoveNomination(worker, job string, index int) {
	a, ok := b.workers[worker]
	if !ok {
		return
	}
	m, ok := a.nominations[taskKey{job, index}]
	if !ok {
		return
	}
	delete(a.nominations, taskKey{job, index})
	a.Nominated = a.Nominated.Sub(m.resources)
	b.chargeNomination(a, m.team, cluster.Resources{}.Sub(teamCharge(m.expectedStart, m.resources)))
}

// ExpireNominations removes the nominations that have expired at now.
func (b *Book) ExpireNominations(now time.Time) {
	for name, a := range b.workers {
		for t, m := range a.nominations {
			if !m.expires.IsZero() && !now.Before(m.expires) {
				b.RemoveNomination(name, t.job, t.index)
			}
		}
	}
}

// BackfillUntil returns the time by which backfilled tasks must have ended on a
// worker. It returns false if the worker has no nomination, or one that forbids
// backfill.
func (b *Book) BackfillUntil(worker string) (time.Time, bool) {
	a, ok := b.workers[worker]
	if !ok || len(a.nominations) == 0 {
		return time.Time{}, false
	}
	var until time.Time
	for _, m := range a.nominations {
		if m.expectedStart.IsZero() {
			return time.Time{}, false
		}
		if until.IsZero() || m.expectedStart.Before(until) {
			until = m.expectedStart
		}
	}
	return until, true
}

// teamCharge returns what a nomination counts for its team: all of it while
// running tasks are preempted for it, and nothing while the task just waits for
// capacity.
func teamCharge(by time.Time, r cluster.Resources) cluster.Resources {
	if by.IsZero() {
		return r
	}
	return cluster.Resources{}
}

// chargeNomination adds r to the nominated sum of a team.
func (b *Book) chargeNomination(a *account, team string, r cluster.Resources) {
	t := b.team(team)
	t.nominated = t.nominated.Add(r)
	t.version = b.version + 1
	b.markChanged(a)
}

// available returns what an entry may reserve: all unused capacity except that
// nominated for other tasks, unless the entry ends before they are expected to
// start.
func (a *account) available(e Entry) cluster.Resources {
	free := a.Capacity.Sub(a.Used)
	for t, m := range a.nominations {
		own := t.job == e.ID.Job && t.index == e.ID.Index
		endsInTime := !m.expectedStart.IsZero() && !e.Ends.IsZero() && !e.Ends.After(m.expectedStart)
		if !own && !endsInTime {
			free = free.Sub(m.resources)
		}
	}
	return free
}

// IsNominated reports whether a task has a nomination on a worker.
func (b *Book) IsNominated(worker, job string, index int) bool {
	a, ok := b.workers[worker]
	if !ok {
		return false
	}
	_, ok = a.nominations[taskKey{job, index}]
	return ok
}
