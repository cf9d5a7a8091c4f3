package state

import (
	"fmt"
	"strings"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/record"
)

// MaxJobID is the maximum length of a job ID in bytes.
const MaxJobID = 200

// jobRow is a stored job. Jobs of one workload share their source.
type jobRow struct {
	id     string
	source *jobWorkload
	author string
	offset uint64
	// time is in nanoseconds since the Unix epoch.
	time  int64
	phase JobPhase
	done  *record.Done
}

// jobWorkload is a workload of one document revision.
type jobWorkload struct {
	service  string
	team     string
	revision uint64
	workload document.Workload
}

func (r *jobRow) entry() JobEntry {
	return JobEntry{
		ID: r.id, Service: r.source.service, Team: r.source.team, Author: r.author,
		Workload: r.source.workload, Revision: r.source.revision,
		Offset: r.offset, Time: timeOf(r.time), Phase: r.phase, Done: r.done,
	}
}

// openJobRow indexes the open jobs by key share.
type openJobRow struct{ share, id string }

func (r openJobRow) less(o openJobRow) bool {
	if r.share != o.share {
		return r.share < o.share
	}
	return r.id < o.id
}

// endedJobRow indexes the ended jobs by the offset at which they ended.
type endedJobRow struct {
	offset uint64
	id     string
}

func (r endedJobRow) less(o endedJobRow) bool {
	if r.offset != o.offset {
		return r.offset < o.offset
	}
	return r.id < o.id
}

func (s *State) applyJob(e logEntry) (refused string) {
	job := e.Job
	row, _ := s.t.documents.Get(&documentRow{service: job.Service})
	if row == nil || row.DocumentEntry.Document == nil {
		return fmt.Sprintf("service %s has no document", job.Service)
	}
	if refused := requireTeam(e, row.Team); refused != "" {
		return refused
	}
	if job.Revision != 0 && job.Revision != row.Revision {
		return fmt.Sprintf("revision %d is named, but revision %d is in force", job.Revision, row.Revision)
	}
	if job.ID == "" || len(job.ID) > MaxJobID || strings.Contains(job.ID, "@") {
		return fmt.Sprintf("%.50q is not a job ID", job.ID)
	}
	if s.t.jobs.Has(&jobRow{id: job.ID}) {
		return fmt.Sprintf("job %s exists", job.ID)
	}
	for _, source := range row.sources {
		w := source.workload
		if w.Name == job.Workload && w.Class != document.ClassService {
			s.acceptJob(e, job.ID, source)
			return ""
		}
	}
	return fmt.Sprintf("service %s has no workload %s that can be submitted", job.Service, job.Workload)
}

func (s *State) acceptJob(e logEntry, id string, source *jobWorkload) {
	s.t.jobs.ReplaceOrInsert(&jobRow{
		id: id, source: source, author: intern(e.Author), offset: e.Offset, time: e.Time.UnixNano(),
	})
	s.t.openJobs.ReplaceOrInsert(openJobRowOf(id))
}

func openJobRowOf(id string) openJobRow { return openJobRow{cluster.KeyShare(id).Name, id} }

func (s *State) applyCancel(e logEntry) (refused string) {
	job, ok := s.t.jobs.Get(&jobRow{id: e.Cancel.JobID})
	if !ok {
		return fmt.Sprintf("job %s is not known", e.Cancel.JobID)
	}
	if refused := requireTeam(e, job.source.team); refused != "" {
		return refused
	}
	if job.phase != JobAccepted {
		return fmt.Sprintf("job %s has ended", job.id)
	}
	s.endJob(e, job, JobCancelled, nil)
	return ""
}

// applyDone records the end of a job. A cancelled job stays cancelled, and
// gets the counts of the tasks that had run.
func (s *State) applyDone(e logEntry) (refused string) {
	job, ok := s.t.jobs.Get(&jobRow{id: e.Done.JobID})
	if !ok {
		return fmt.Sprintf("job %s is not known", e.Done.JobID)
	}
	if job.done != nil {
		return fmt.Sprintf("job %s has ended", job.id)
	}
	if job.phase == JobCancelled {
		changed := *job
		changed.done = doneOf(e, job)
		s.t.jobs.ReplaceOrInsert(&changed)
		return ""
	}
	s.endJob(e, job, JobDone, doneOf(e, job))
	return ""
}

// doneOf returns a copy of the record's body that shares the job's ID string.
func doneOf(e logEntry, job *jobRow) *record.Done {
	done := *e.Done
	done.JobID = job.id
	return &done
}

// cancelReplaced cancels an open job of class service whose workload was
// removed or is no longer a service.
func (s *State) cancelReplaced(e logEntry, id string) {
	job, ok := s.t.jobs.Get(&jobRow{id: id})
	if ok && job.phase == JobAccepted && job.source.workload.Class == document.ClassService {
		s.endJob(e, job, JobCancelled, nil)
	}
}

// endJob marks a job as ended, and drops the job that ended first if more than
// MaxEndedJobs are remembered.
func (s *State) endJob(e logEntry, job *jobRow, phase JobPhase, done *record.Done) {
	changed := *job
	changed.phase, changed.done = phase, done
	s.t.jobs.ReplaceOrInsert(&changed)
	s.t.openJobs.Delete(openJobRowOf(job.id))
	s.t.endedJobs.ReplaceOrInsert(endedJobRow{e.Offset, job.id})
	if s.t.endedJobs.Len() > MaxEndedJobs {
		oldest, _ := s.t.endedJobs.DeleteMin()
		s.t.jobs.Delete(&jobRow{id: oldest.id})
	}
}
