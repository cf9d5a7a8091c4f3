package state

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/currantwinch/currantwinch/document"
)

// documentRow is a service's newest document and its history. A withdrawn
// service keeps its row without a document, so that its revision numbers
// continue.
type documentRow struct {
	service string
	DocumentEntry
	// sources are the workloads of this revision, which its jobs refer to.
	sources []*jobWorkload
	// published are the jobs that publishing the document started, by
	// workload.
	published []publishedJob
	history   []Publication
}

// publishedJob is the job that publishing started for a workload.
type publishedJob struct {
	Workload string `cbor:"1,keyasint"`
	JobID    string `cbor:"2,keyasint"`
}

func (s *State) applyDocument(e logEntry) (refused string) {
	old, _ := s.t.documents.Get(&documentRow{service: e.Document.Service})
	row, refused := nextDocumentRow(e, old)
	if refused != "" {
		s.recordRefusal(e, refused)
		return refused
	}
	s.startPublishedJobs(e, old, row)
	row.history = appendBounded(historyOf(old), publicationOf(e, row.Revision, ""), MaxPublicationsPerService)
	s.t.documents.ReplaceOrInsert(row)
	return ""
}

// nextDocumentRow compares the record's base revision with the revision in
// force. It returns the row that replaces old, or the reason why the record is
// refused.
func nextDocumentRow(e logEntry, old *documentRow) (row *documentRow, refused string) {
	base, revision := e.Record.Document.Base, uint64(0)
	if old != nil {
		revision = old.Revision
		if refused := requireTeam(e, old.Team); refused != "" {
			return nil, refused
		}
	}
	withdrawn := old != nil && old.DocumentEntry.Document == nil
	if base != revision && !(withdrawn && base == 0) {
		return nil, conflictReason(base, old)
	}
	row = &documentRow{service: e.Record.Document.Service}
	row.DocumentEntry = DocumentEntry{
		Text: e.Record.Document.Text, Revision: revision + 1,
		Team: e.team, Author: e.Author, Offset: e.Offset, Time: e.Time.UTC(),
	}
	if len(row.Text) == 0 {
		if old == nil || withdrawn {
			return nil, "there is no document to withdraw"
		}
		return row, ""
	}
	doc, refused := parseText(e)
	row.setDocument(doc)
	return row, refused
}

func conflictReason(base uint64, old *documentRow) string {
	if old == nil {
		return fmt.Sprintf("conflict: revision %d is named, but the service has no document", base)
	}
	return fmt.Sprintf("conflict: revision %d is named, but revision %d is in force, by team %s, author %s, offset %d",
		base, old.Revision, old.Team, old.Author, old.Offset)
}

// parseText parses the text of a published document, and refuses one of
// another service or team.
func parseText(e logEntry) (*document.Document, string) {
	doc, err := document.Parse(e.Record.Document.Text)
	if err != nil {
		return nil, strings.ToValidUTF8(fmt.Sprintf("bad document: %.500v", err), "?")
	}
	if doc.Service != e.Record.Document.Service {
		return nil, fmt.Sprintf("bad document: the text names service %s", doc.Service)
	}
	return doc, requireTeam(e, doc.Team)
}

func publicationOf(e logEntry, revision uint64, refused string) Publication {
	return Publication{
		Service: e.Record.Document.Service, Revision: revision, Base: e.Record.Document.Base,
		Team: e.team, Author: e.Author, Offset: e.Offset, Time: e.Time.UTC(), RefusalReason: refused,
	}
}

func historyOf(row *documentRow) []Publication {
	if row == nil {
		return nil
	}
	return row.history
}

// appendBounded returns a new slice of the newest limit elements.
func appendBounded[T any](list []T, v T, limit int) []T {
	from := max(0, len(list)+1-limit)
	out := make([]T, 0, len(list)-from+1)
	out = append(out, list[from:]...)
	return append(out, v)
}

// recordRefusal adds a refused publication to the history, and drops the
// oldest one above MaxRefusedPublications.
func (s *State) recordRefusal(e logEntry, refused string) {
	s.t.refused.ReplaceOrInsert(publicationOf(e, 0, refused))
	if s.t.refused.Len() > MaxRefusedPublications {
		s.t.refused.DeleteMin()
	}
}

// startPublishedJobs starts a job for each workload that starts when
// published. An unchanged workload keeps its job. So does a changed workload
// of class service, whose job continues under the new workload. Jobs of
// removed workloads are cancelled if they are of class service; others run to
// their end.
func (s *State) startPublishedJobs(e logEntry, old, row *documentRow) {
	kept := make(map[string]bool)
	for _, source := range row.sources {
		w := source.workload
		if w.Start != document.StartPublished {
			continue
		}
		id, ok := unchangedJob(old, w)
		if !ok {
			id, ok = s.moveJobToRevision(old, source)
		}
		if !ok {
			id = publishedJobID(row.service, w.Name, row.Revision)
			s.acceptJob(e, id, source)
		}
		kept[id] = true
		row.published = append(row.published, publishedJob{Workload: w.Name, JobID: id})
	}
	if old == nil {
		return
	}
	for _, p := range old.published {
		if !kept[p.JobID] {
			s.cancelReplaced(e, p.JobID)
		}
	}
}

func publishedJobID(service, workload string, revision uint64) string {
	return fmt.Sprintf("%s/%s@%d", service, workload, revision)
}

// setDocument sets the parsed document, which may be nil, and its workloads.
func (r *documentRow) setDocument(doc *document.Document) {
	r.DocumentEntry.Document = doc
	if doc == nil {
		return
	}
	for _, w := range doc.Workloads {
		r.sources = append(r.sources, &jobWorkload{r.service, r.Team, r.Revision, w})
	}
}

func workloadsOf(row *documentRow) []document.Workload {
	if row == nil || row.DocumentEntry.Document == nil {
		return nil
	}
	return row.DocumentEntry.Document.Workloads
}

// unchangedJob returns the job of an equal workload of the old document, if
// there is one.
func unchangedJob(old *documentRow, w document.Workload) (id string, ok bool) {
	for _, before := range workloadsOf(old) {
		if before.Name == w.Name && reflect.DeepEqual(before, w) {
			return old.jobOf(w.Name)
		}
	}
	return "", false
}

// jobOf returns the job that publishing started for a workload, if there is
// one.
func (r *documentRow) jobOf(workload string) (id string, ok bool) {
	if r == nil {
		return "", false
	}
	for _, p := range r.published {
		if p.Workload == workload {
			return p.JobID, true
		}
	}
	return "", false
}

// moveJobToRevision moves the open job of a service workload to the changed
// workload, so that its tasks can be replaced in a rolling update.
func (s *State) moveJobToRevision(old *documentRow, source *jobWorkload) (id string, ok bool) {
	id, ok = old.jobOf(source.workload.Name)
	if !ok || source.workload.Class != document.ClassService {
		return "", false
	}
	job, ok := s.t.jobs.Get(&jobRow{id: id})
	if !ok || job.phase != JobAccepted || job.source.workload.Class != document.ClassService {
		return "", false
	}
	changed := *job
	changed.source = source
	s.t.jobs.ReplaceOrInsert(&changed)
	return id, true
}
