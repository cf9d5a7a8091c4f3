package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
)

// changeResult is the outcome of a change, and the view in which it was found.
type changeResult struct {
	outcome roles.Outcome
	view    roles.View
}

// appendAndWait appends a record under the operator's credential and waits until
// this daemon has applied it. An error with verdict MayHaveRun means that the
// caller must look up the outcome of the change by its key.
func (p *Operator) appendAndWait(ctx context.Context, r *http.Request, rec record.Record) (changeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if _, err := p.o.Appender.Append(ctx, credentialOf(r), rec); err != nil {
		return changeResult{}, err
	}
	for {
		changed := p.o.State.Changed()
		view := p.o.State.View()
		if outcome, ok := view.Outcome(rec.Key); ok {
			return changeResult{outcome, view}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return changeResult{}, verdict.New(verdict.MayHaveRun, reasonOutcomeUnknown, "appended, but not read back within %v", changeTimeout)
		}
	}
}

func idempotencyKey(r *http.Request, prefix string) string {
	if key := r.Header.Get(operatorapi.HeaderIdempotencyKey); key != "" {
		return prefix + key
	}
	return prefix + uuid.NewString()
}

func (p *Operator) publish(w http.ResponseWriter, r *http.Request) {
	body, err := p.readBody(w, r)
	defer body.Release()
	if err != nil {
		writeError(w, err)
		return
	}
	text := body.Bytes
	doc, err := document.Parse(text)
	body.Parsed()
	if err != nil {
		writeFailure(w, verdict.Wrap(err, verdict.NotRun, reasonInvalidDocument), operatorapi.Failure{Fields: fieldErrors(err)})
		return
	}
	if service := mux.Vars(r)["service"]; doc.Service != service {
		writeError(w, verdict.New(verdict.NotRun, reasonInvalidRequest, "the document is for %s, not for %s", doc.Service, service))
		return
	}
	p.changeDocument(w, r, text)
}

func (p *Operator) withdraw(w http.ResponseWriter, r *http.Request) { p.changeDocument(w, r, nil) }

// changeDocument publishes text, or withdraws the document if text is nil.
func (p *Operator) changeDocument(w http.ResponseWriter, r *http.Request, text []byte) {
	service := mux.Vars(r)["service"]
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		writeError(w, verdict.New(verdict.NotRun, reasonInvalidRequest, "base must be the revision that the change replaces, 0 for a new service"))
		return
	}
	rec := record.Record{
		Key:      idempotencyKey(r, "document/"),
		Kind:     record.KindDocument,
		Document: &record.Document{Service: service, Base: base, Text: text},
	}
	s, err := p.appendAndWait(r.Context(), r, rec)
	if err != nil {
		writeFailure(w, err, operatorapi.Failure{Key: rec.Key})
		return
	}
	if s.outcome.RefusalReason != "" {
		p.refusePublication(w, service, base, s)
		return
	}
	p.logEvent(events.DocumentAccepted, "service", service, "offset", s.outcome.Offset)
	accepted := operatorapi.Accepted{Key: rec.Key, Offset: s.outcome.Offset, Service: service}
	if pub, ok := publicationAt(s.view, service, s.outcome.Offset); ok {
		accepted.Revision = pub.Revision
	}
	writeResponse(w, http.StatusOK, accepted)
}

// refusePublication answers with a conflict and the current publication if another
// revision is in force than the one the change was based on, and with a plain
// refusal otherwise.
func (p *Operator) refusePublication(w http.ResponseWriter, service string, base uint64, s changeResult) {
	entry, ok := s.view.Document(service)
	if !ok || entry.Revision == base {
		writeError(w, verdict.New(verdict.NotRun, reasonRefused, "%s", s.outcome.RefusalReason))
		return
	}
	err := verdict.New(verdict.NotRun, reasonConflict, "%s: revision %d by %s at offset %d is in force", s.outcome.RefusalReason, entry.Revision, entry.Author, entry.Offset)
	winner := roles.Publication{Service: service, Revision: entry.Revision, Team: entry.Team, Author: entry.Author, Offset: entry.Offset, Time: entry.Time}
	writeFailure(w, err, operatorapi.Failure{CurrentPublication: &winner})
}

func publicationAt(v roles.View, service string, offset uint64) (roles.Publication, bool) {
	for _, pub := range v.History(service) {
		if pub.Offset == offset {
			return pub, true
		}
	}
	return roles.Publication{}, false
}

func fieldErrors(err error) []operatorapi.FieldError {
	var list document.Errors
	if !errors.As(err, &list) {
		return nil
	}
	out := make([]operatorapi.FieldError, 0, len(list))
	for _, e := range list {
		out = append(out, operatorapi.FieldError{Line: e.Line, Field: e.Field, Found: e.Found, Allowed: e.Allowed})
	}
	return out
}

func (p *Operator) submit(w http.ResponseWriter, r *http.Request) {
	body, err := p.readBody(w, r)
	defer body.Release()
	if err != nil {
		writeError(w, err)
		return
	}
	var s operatorapi.Submission
	d := json.NewDecoder(bytes.NewReader(body.Bytes))
	d.DisallowUnknownFields()
	err = d.Decode(&s)
	body.Parsed()
	if err != nil {
		writeError(w, verdict.Wrap(err, verdict.NotRun, reasonInvalidRequest))
		return
	}
	if _, ok := p.o.State.View().Document(s.Service); !ok {
		writeError(w, verdict.New(verdict.NotRun, reasonNotFound, "no document of service %q is in force", s.Service))
		return
	}
	if s.JobID == "" {
		s.JobID = s.Service + "/" + s.Workload + "/" + uuid.NewString()
	}
	rec := record.Record{
		Key:  "job/" + s.JobID,
		Kind: record.KindJob,
		Job:  &record.Job{ID: s.JobID, Service: s.Service, Workload: s.Workload},
	}
	p.changeJob(w, r, rec, s.JobID)
}

func (p *Operator) cancel(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	rec := record.Record{Key: "cancel/" + id, Kind: record.KindCancel, Cancel: &record.Cancel{JobID: id}}
	p.changeJob(w, r, rec, id)
}

func (p *Operator) changeJob(w http.ResponseWriter, r *http.Request, rec record.Record, jobID string) {
	s, err := p.appendAndWait(r.Context(), r, rec)
	if err != nil {
		writeFailure(w, err, operatorapi.Failure{Key: rec.Key})
		return
	}
	if s.outcome.RefusalReason != "" {
		writeError(w, verdict.New(verdict.NotRun, reasonRefused, "%s", s.outcome.RefusalReason))
		return
	}
	writeResponse(w, http.StatusOK, operatorapi.Accepted{Key: rec.Key, Offset: s.outcome.Offset, JobID: jobID})
}
