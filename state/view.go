package state

import (
	"sort"
	"sync"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/record"
)

// View is the state up to one offset. It never changes, and is safe for
// concurrent use.
type View struct {
	t tables
	// daemons lists the daemons. The list is created on first use.
	daemons func() []cluster.Daemon
}

// View returns an immutable view of the current state. It is cheap: rows are
// copied only when they change.
func (s *State) View() *View {
	v := &View{t: s.t.clone()}
	v.daemons = sync.OnceValue(v.listDaemons)
	return v
}

// Offset returns the first offset that is not part of the view.
func (v *View) Offset() uint64 { return v.t.next }

// Document returns a service's document in force, and false if there is none.
func (v *View) Document(service string) (DocumentEntry, bool) {
	row, ok := v.t.documents.Get(&documentRow{service: service})
	if !ok || row.Document == nil {
		return DocumentEntry{}, false
	}
	return row.DocumentEntry, true
}

// Documents returns all documents in force, sorted by service.
func (v *View) Documents() []DocumentEntry {
	var out []DocumentEntry
	v.t.documents.Ascend(func(row *documentRow) bool {
		if row.Document != nil {
			out = append(out, row.DocumentEntry)
		}
		return true
	})
	return out
}

// History returns the remembered publications of a service, oldest first.
func (v *View) History(service string) []Publication {
	var out []Publication
	if row, ok := v.t.documents.Get(&documentRow{service: service}); ok {
		out = append(out, row.history...)
	}
	v.t.refused.Ascend(func(p Publication) bool {
		if p.Service == service {
			out = append(out, p)
		}
		return true
	})
	sort.Slice(out, func(i, j int) bool { return out[i].Offset < out[j].Offset })
	return out
}

// Job returns an accepted job, and false if it is unknown or no longer
// remembered.
func (v *View) Job(id string) (JobEntry, bool) {
	job, ok := v.t.jobs.Get(&jobRow{id: id})
	if !ok {
		return JobEntry{}, false
	}
	return job.entry(), true
}

// OpenJobs returns the jobs of one key share that have not ended, sorted by
// ID.
func (v *View) OpenJobs(share cluster.Share) []JobEntry {
	if share.Kind != cluster.ShareKey {
		return nil
	}
	var out []JobEntry
	v.t.openJobs.AscendGreaterOrEqual(openJobRow{share: share.Name}, func(row openJobRow) bool {
		if row.share != share.Name {
			return false
		}
		job, _ := v.Job(row.id)
		out = append(out, job)
		return true
	})
	return out
}

// Jobs returns up to limit jobs whose IDs follow the given one, sorted by ID.
// It includes the ended jobs that are remembered.
func (v *View) Jobs(after string, limit int) []JobEntry {
	var out []JobEntry
	v.t.jobs.AscendGreaterOrEqual(&jobRow{id: after}, func(job *jobRow) bool {
		if job.id == after {
			return true
		}
		if len(out) >= limit {
			return false
		}
		out = append(out, job.entry())
		return true
	})
	return out
}

// Share returns the newest claim on a share, and false if there is none.
func (v *View) Share(share cluster.Share) (ShareEntry, bool) {
	row, ok := v.t.shares.Get(&ShareEntry{Share: share})
	if !ok {
		return ShareEntry{}, false
	}
	return *row, true
}

// Shares returns all shares that were ever claimed.
func (v *View) Shares() []ShareEntry {
	out := make([]ShareEntry, 0, v.t.shares.Len())
	v.t.shares.Ascend(func(row *ShareEntry) bool {
		out = append(out, *row)
		return true
	})
	return out
}

// Daemons returns the daemons that joined and have not left, sorted by name.
// The caller must not change the list.
func (v *View) Daemons() []cluster.Daemon { return v.daemons() }

func (v *View) listDaemons() []cluster.Daemon {
	out := make([]cluster.Daemon, 0, v.t.daemons.Len())
	v.t.daemons.Ascend(func(d *cluster.Daemon) bool {
		out = append(out, *d)
		return true
	})
	return out
}

// Bill returns the billed run of a request key, and false if it is unknown or
// no longer remembered.
func (v *View) Bill(requestKey string) (record.Bill, bool) {
	row, ok := v.t.bills.Get(&billRow{Bill: record.Bill{RequestKey: requestKey}})
	if !ok {
		return record.Bill{}, false
	}
	return row.Bill, true
}

// Outcome returns the outcome of the first record with a key. If several teams
// used the key, it returns that of a daemon's record, or else that of the
// first one; OutcomeOf tells them apart.
func (v *View) Outcome(key string) (Outcome, bool) {
	if outcome, ok := v.OutcomeOf(document.SystemTeam, key); ok {
		return outcome, true
	}
	for _, table := range v.t.keys {
		if outcome, ok := table.firstOfAnyTeam(key); ok {
			return outcome, true
		}
	}
	return Outcome{}, false
}

// OutcomeOf returns the outcome of the first record with a key by an author of
// the given team.
func (v *View) OutcomeOf(team, key string) (Outcome, bool) {
	for _, table := range v.t.keys {
		if outcome, ok := table.first(team, key); ok {
			return outcome, true
		}
	}
	return Outcome{}, false
}

// Counts holds the numbers of rows of a view.
type Counts struct {
	Documents int `json:"documents"`
	OpenJobs  int `json:"openJobs"`
	EndedJobs int `json:"endedJobs"`
	Shares    int `json:"shares"`
	Daemons   int `json:"daemons"`
	Bills     int `json:"bills"`
	Keys      int `json:"keys"`
}

// Counts returns the numbers of rows of the view.
func (v *View) Counts() Counts {
	return Counts{
		Documents: v.t.documents.Len(), OpenJobs: v.t.openJobs.Len(), EndedJobs: v.t.endedJobs.Len(),
		Shares: v.t.shares.Len(), Daemons: v.t.daemons.Len(), Bills: v.t.bills.Len(),
		Keys: v.t.keys[classOther].byHash.Len(),
	}
}
