package state

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/currantwinch/currantwinch/document"
)

// documentRow is a service's newest document and its history. A withdrawn
// service keeps its row without a document, so that its revisions go on.
type documentRow struct {
	service string
	DocumentEntry
	// sources are the workloads that jobs of this revision run under.
	sources []*jobSource
	// published are the jobs that publishing started, by workload.
	published []publishedJob
	history   []Publication
}

// publishedJob is the job that a workload of a document has become.
type publishedJob struct {
	Workload string `cbor:"1,keyasint"`
	JobID    string `cbor:"2,keyasint"`
}

func (s *State) foldDocument(e entry) (refused string) {
	old, _ := s.t.documents.Get(&documentRow{service: e.Document.Service})
	row, refused := nextDocument(e, old)
	if refused != "" {
		s.refuse(e, refused)
		return refused
	}
	s.startPublished(e, old, row)
	row.history = appendBounded(historyOf(old), publicationOf(e, row.Revision, ""), MaxPublicationsPerService)
	s.t.documents.ReplaceOrInsert(row)
	return ""
}

// nextDocument is the compare-and-set: the row that replaces old, or why none
// does.
func nextDocument(e entry, old *documentRow) (row *documentRow, refused string) {
	base, revision := e.Record.Document.Base, uint64(0)
	if old != nil {
		revision = old.Revision
		if refused := checkTeam(e, old.Team); refused != "" {
			return nil, refused
		}
	}
	withdrawn := old != nil && old.DocumentEntry.Document == nil
	if base != revision && !(withdrawn && base == 0) {
		return nil, conflict(base, old)
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
	doc, refused := checkText(e)
	row.setDocument(doc)
	return row, refused
}

func conflict(base uint64, old *documentRow) string {
	if old == nil {
		return fmt.Sprintf("conflict: revision %d is named, but the service has no document", base)
	}
	return fmt.Sprintf("conflict: revision %d is named, but revision %d is in force, by team %s, author %s, offset %d",
		base, old.Revision, old.Team, old.Author, old.Offset)
}

func checkText(e entry) (*document.Document, string) {
	doc, err := document.Parse(e.Record.Document.Text)
	if err != nil {
		return nil, strings.ToValidUTF8(fmt.Sprintf("bad document: %.500v", err), "?")
	}
	if doc.Service != e.Record.Document.Service {
		return nil, fmt.Sprintf("bad document: the text names service %s", doc.Service)
	}
	return doc, checkTeam(e, doc.Team)
}

func publicationOf(e entry, revision uint64, refused string) Publication {
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

func (s *State) refuse(e entry, refused string) {
	s.t.refused.ReplaceOrInsert(publicationOf(e, 0, refused))
	if s.t.refused.Len() > MaxRefusedPublications {
		s.t.refused.DeleteMin()
	}
}

// startPublished turns the workloads that start when published into jobs. An
// unchanged workload keeps its job, and so does a changed service, whose job
// goes on under the new workload. The jobs of removed ones are cancelled if
// they are services, since others run to their end.
func (s *State) startPublished(e entry, old, row *documentRow) {
	kept := make(map[string]bool)
	for _, source := range row.sources {
		w := source.workload
		if w.Start != document.StartPublished {
			continue
		}
		id, ok := unchanged(old, w)
		if !ok {
			id, ok = s.revise(old, source)
		}
		if !ok {
			id = publishedID(row.service, w.Name, row.Revision)
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
			s.supersede(e, p.JobID)
		}
	}
}

func publishedID(service, workload string, revision uint64) string {
	return fmt.Sprintf("%s/%s@%d", service, workload, revision)
}

// setDocument sets what the row's text was read as, if anything.
func (r *documentRow) setDocument(doc *document.Document) {
	r.DocumentEntry.Document = doc
	if doc == nil {
		return
	}
	for _, w := range doc.Workloads {
		r.sources = append(r.sources, &jobSource{r.service, r.Team, r.Revision, w})
	}
}

func workloadsOf(row *documentRow) []document.Workload {
	if row == nil || row.DocumentEntry.Document == nil {
		return nil
	}
	return row.DocumentEntry.Document.Workloads
}

// unchanged returns the job of an equal workload of the old document.
func unchanged(old *documentRow, w document.Workload) (id string, ok bool) {
	for _, before := range workloadsOf(old) {
		if before.Name == w.Name && reflect.DeepEqual(before, w) {
			return old.jobOf(w.Name)
		}
	}
	return "", false
}

// jobOf returns the job that a workload was turned into when published.
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

// revise moves the open job of a service to the service's changed workload, so
// that its tasks can be replaced a few at a time.
func (s *State) revise(old *documentRow, source *jobSource) (id string, ok bool) {
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
