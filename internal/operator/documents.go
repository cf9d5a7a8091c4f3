package operator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/gorilla/mux"
)

func documentResponse(e roles.DocumentEntry) operatorapi.Document {
	return operatorapi.Document{
		Service: e.Document.Service, Team: e.Team, Author: e.Author,
		Revision: e.Revision, Offset: e.Offset, Time: e.Time,
	}
}

func (p *Operator) listDocuments(w http.ResponseWriter, _ *http.Request) {
	entries := p.o.State.View().Documents()
	list := make([]operatorapi.Document, 0, len(entries))
	for _, e := range entries {
		list = append(list, documentResponse(e))
	}
	writeResponse(w, http.StatusOK, list)
}

func (p *Operator) getDocument(w http.ResponseWriter, r *http.Request) {
	service := mux.Vars(r)["service"]
	entry, ok := p.o.State.View().Document(service)
	if !ok {
		writeError(w, verdict.New(verdict.NotRun, reasonNotFound, "no document of service %q is in force", service))
		return
	}
	doc := documentResponse(entry)
	doc.Text = string(entry.Text)
	writeResponse(w, http.StatusOK, doc)
}

func (p *Operator) history(w http.ResponseWriter, r *http.Request) {
	publications := p.o.State.View().History(mux.Vars(r)["service"])
	if publications == nil {
		publications = []roles.Publication{}
	}
	writeResponse(w, http.StatusOK, publications)
}

func (p *Operator) outcome(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	view := p.o.State.View()
	out := operatorapi.Outcome{Key: key, NextOffset: view.Offset(), Log: p.o.State.Health()}
	if o, ok := view.Outcome(key); ok {
		out.Known, out.Offset, out.RefusalReason = true, o.Offset, o.RefusalReason
	}
	writeResponse(w, http.StatusOK, out)
}

// inForce waits until every live daemon has the offset in force, or until the
// duration in the query parameter wait has passed, and returns the progress of
// each daemon.
func (p *Operator) inForce(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.ParseUint(mux.Vars(r)["offset"], 10, 64)
	if err != nil {
		writeError(w, verdict.Wrap(err, verdict.NotRun, reasonInvalidRequest))
		return
	}
	wait, err := parseWait(r.URL.Query().Get("wait"))
	if err != nil {
		writeError(w, verdict.Wrap(err, verdict.NotRun, reasonInvalidRequest))
		return
	}
	deadline := p.o.Now().Add(wait)
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		report := p.progressReport(offset)
		if report.All || !p.o.Now().Before(deadline) {
			writeResponse(w, http.StatusOK, report)
			return
		}
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
	}
}

func parseWait(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	return min(d, maxWait), err
}

func (p *Operator) progressReport(offset uint64) operatorapi.InForce {
	out := operatorapi.InForce{Offset: offset, All: true}
	self := p.o.Members.Self().Name
	for _, m := range p.o.Members.Live() {
		if m.Daemon.Name == self {
			m.Offset = p.o.State.View().Offset()
		}
		d := operatorapi.DaemonInForce{Name: m.Daemon.Name, Offset: m.Offset, InForce: m.Offset > offset, SinceHeard: m.SinceHeard}
		out.All = out.All && d.InForce
		out.Daemons = append(out.Daemons, d)
	}
	return out
}
