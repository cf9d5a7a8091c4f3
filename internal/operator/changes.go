package operator

import (
	"context"
	"encoding/json"
	"io"
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

// settled is a change's outcome as folded here.
type settled struct {
	outcome roles.Outcome
	view    roles.View
}

// settle appends a record and waits until this daemon has folded it. An error
// with verdict MayHaveRun means that the change must be resolved by its key.
func (p *Operator) settle(ctx context.Context, r *http.Request, rec record.Record) (settled, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if _, err := p.o.Appender.Append(ctx, credential(r), rec); err != nil {
		return settled{}, err
	}
	for {
		changed := p.o.State.Changed()
		view := p.o.State.View()
		if outcome, ok := view.Outcome(rec.Key); ok {
			return settled{outcome, view}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return settled{}, verdict.New(verdict.MayHaveRun, reasonUnsettled, "appended, but not read back within %v", settleTimeout)
		}
	}
}

func changeKey(r *http.Request, prefix string) string {
	if key := r.Header.Get(operatorapi.HeaderIdempotencyKey); key != "" {
		return prefix + key
	}
	return prefix + uuid.NewString()
}

func (p *Operator) publish(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		fail(w, verdict.Wrap(err, verdict.NotRun, reasonBadRequest))
		return
	}
	doc, err := document.Parse(text)
	if err != nil {
		failWith(w, verdict.Wrap(err, verdict.NotRun, reasonBadDocument), operatorapi.Failure{Fields: fieldFaults(err)})
		return
	}
	if service := mux.Vars(r)["service"]; doc.Service != service {
		fail(w, verdict.New(verdict.NotRun, reasonBadRequest, "the document is for %s, not for %s", doc.Service, service))
		return
	}
	p.change(w, r, text)
}

func (p *Operator) withdraw(w http.ResponseWriter, r *http.Request) { p.change(w, r, nil) }

// change publishes text, or withdraws the document where text is nil.
func (p *Operator) change(w http.ResponseWriter, r *http.Request, text []byte) {
	service := mux.Vars(r)["service"]
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		fail(w, verdict.New(verdict.NotRun, reasonBadRequest, "base must be the revision that the change replaces, 0 for a new service"))
		return
	}
	rec := record.Record{
		Key:      changeKey(r, "document/"),
		Kind:     record.KindDocument,
		Document: &record.Document{Service: service, Base: base, Text: text},
	}
	s, err := p.settle(r.Context(), r, rec)
	if err != nil {
		failWith(w, err, operatorapi.Failure{Key: rec.Key})
		return
	}
	if s.outcome.RefusalReason != "" {
		p.refusePublication(w, service, base, s)
		return
	}
	p.event(events.DocumentAccepted, "service", service, "offset", s.outcome.Offset)
	accepted := operatorapi.Accepted{Key: rec.Key, Offset: s.outcome.Offset, Service: service}
	if pub, ok := publicationAt(s.view, service, s.outcome.Offset); ok {
		accepted.Revision = pub.Revision
	}
	answer(w, http.StatusOK, accepted)
}

// refusePublication tells a lost race, with the winner, from any other refusal.
func (p *Operator) refusePublication(w http.ResponseWriter, service string, base uint64, s settled) {
	entry, ok := s.view.Document(service)
	if !ok || entry.Revision == base {
		fail(w, verdict.New(verdict.NotRun, reasonRefused, "%s", s.outcome.RefusalReason))
		return
	}
	err := verdict.New(verdict.NotRun, reasonConflict, "%s: revision %d by %s at offset %d is in force", s.outcome.RefusalReason, entry.Revision, entry.Author, entry.Offset)
	winner := roles.Publication{Service: service, Revision: entry.Revision, Team: entry.Team, Author: entry.Author, Offset: entry.Offset, Time: entry.Time}
	failWith(w, err, operatorapi.Failure{CurrentPublication: &winner})
}

func publicationAt(v roles.View, service string, offset uint64) (roles.Publication, bool) {
	for _, pub := range v.History(service) {
		if pub.Offset == offset {
			return pub, true
		}
	}
	return roles.Publication{}, false
}

func fieldFaults(err error) []operatorapi.FieldError {
	var list document.Errors
	if !errors.As(err, &list) {
		return nil
	}
	faults := make([]operatorapi.FieldError, 0, len(list))
	for _, e := range list {
		faults = append(faults, operatorapi.FieldError{Line: e.Line, Field: e.Field, Found: e.Found, Allowed: e.Allowed})
	}
	return faults
}

func (p *Operator) submit(w http.ResponseWriter, r *http.Request) {
	var s operatorapi.Submission
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		fail(w, verdict.Wrap(err, verdict.NotRun, reasonBadRequest))
		return
	}
	if _, ok := p.o.State.View().Document(s.Service); !ok {
		fail(w, verdict.New(verdict.NotRun, reasonUnknown, "no document of service %q is in force", s.Service))
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
	s, err := p.settle(r.Context(), r, rec)
	if err != nil {
		failWith(w, err, operatorapi.Failure{Key: rec.Key})
		return
	}
	if s.outcome.RefusalReason != "" {
		fail(w, verdict.New(verdict.NotRun, reasonRefused, "%s", s.outcome.RefusalReason))
		return
	}
	answer(w, http.StatusOK, operatorapi.Accepted{Key: rec.Key, Offset: s.outcome.Offset, JobID: jobID})
}
