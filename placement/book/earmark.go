package book

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
)

// earmark is room promised to one task of a team.
type earmark struct {
	team      string
	resources cluster.Resources
	// by is when the task is expected to take the room; zero is at any time.
	by time.Time
	// expires ends the promise; zero is never.
	expires time.Time
}

// Nomination is what an earmark keeps room for.
type Nomination struct {
	Worker    string
	Job       string
	Index     int
	Team      string
	Resources cluster.Resources
	// ExpectedStart is when the room is expected to be taken. Work that is expected to
	// end before may use it meanwhile. Zero lets nobody.
	ExpectedStart time.Time
	// Expires ends the promise; zero is never.
	Expires time.Time
}

// Nominate promises the next room on a worker to a task that does not fit yet.
// Other work is refused what it would take from it. Nothing is counted as
// used. The error is ErrAmount or a RefusedError with NoWorker.
func (b *Book) Nominate(p Nomination) error {
	if !valid(p.Resources) {
		return ErrAmount
	}
	a, ok := b.workers[p.Worker]
	if !ok {
		return &RefusedError{Reason: UnknownWorker}
	}
	b.RemoveNomination(p.Worker, p.Job, p.Index)
	a.earmarks[task{p.Job, p.Index}] = earmark{team: p.Team, resources: p.Resources, by: p.ExpectedStart, expires: p.Expires}
	a.Nominated = a.Nominated.Add(p.Resources)
	b.promise(a, p.Team, due(p.ExpectedStart, p.Resources))
	return nil
}

// RemoveNomination takes a promise back.
func (b *Book) RemoveNomination(worker, job string, index int) {
	a, ok := b.workers[worker]
	if !ok {
		return
	}
	m, ok := a.earmarks[task{job, index}]
	if !ok {
		return
	}
	delete(a.earmarks, task{job, index})
	a.Nominated = a.Nominated.Sub(m.resources)
	b.promise(a, m.team, cluster.Resources{}.Sub(due(m.by, m.resources)))
}

// ExpireNominations takes back the promises whose time has passed.
func (b *Book) ExpireNominations(now time.Time) {
	for name, a := range b.workers {
		for t, m := range a.earmarks {
			if !m.expires.IsZero() && !now.Before(m.expires) {
				b.RemoveNomination(name, t.job, t.index)
			}
		}
	}
}

// BackfillUntil returns until when work may use what is earmarked on a worker,
// and false where nothing is earmarked or nobody may.
func (b *Book) BackfillUntil(worker string) (time.Time, bool) {
	a, ok := b.workers[worker]
	if !ok || len(a.earmarks) == 0 {
		return time.Time{}, false
	}
	var until time.Time
	for _, m := range a.earmarks {
		if m.by.IsZero() {
			return time.Time{}, false
		}
		if until.IsZero() || m.by.Before(until) {
			until = m.by
		}
	}
	return until, true
}

// due is what a promise counts for its team: all of it if the room is being
// made, and nothing while it is only waited for.
func due(by time.Time, r cluster.Resources) cluster.Resources {
	if by.IsZero() {
		return r
	}
	return cluster.Resources{}
}

// promise changes what a team has been promised.
func (b *Book) promise(a *account, team string, r cluster.Resources) {
	t := b.team(team)
	t.promised = t.promised.Add(r)
	t.version = b.version + 1
	b.touch(a)
}

// room is what an entry may take: everything unused that is not earmarked for
// others, or that it gives back before they need it.
func (a *account) room(e Entry) cluster.Resources {
	free := a.Capacity.Sub(a.Used)
	for t, m := range a.earmarks {
		own := t.job == e.ID.Job && t.index == e.ID.Index
		inTime := !m.by.IsZero() && !e.Ends.IsZero() && !e.Ends.After(m.by)
		if !own && !inTime {
			free = free.Sub(m.resources)
		}
	}
	return free
}

// IsNominated reports whether room is promised to a task on a worker.
func (b *Book) IsNominated(worker, job string, index int) bool {
	a, ok := b.workers[worker]
	if !ok {
		return false
	}
	_, ok = a.earmarks[task{job, index}]
	return ok
}
