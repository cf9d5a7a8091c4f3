// Package operator answers operators: it publishes documents, accepts and
// cancels jobs, and reports on the cell. Every change goes through the
// platform's log under the operator's own credential.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/gorilla/mux"
)

const (
	// maxBodyBytes bounds an operator's request.
	maxBodyBytes = 128 << 10
	// settleTimeout bounds how long a change waits to be folded here.
	settleTimeout = 10 * time.Second
	// peerTimeout bounds a question to another daemon.
	peerTimeout = 2 * time.Second
	// maxWait bounds one wait for an offset to be in force.
	maxWait = 30 * time.Second
	// waitStep is how often a wait looks at the heartbeats.
	waitStep = 50 * time.Millisecond
)

// Methods of the protocol between daemons.
const (
	methodStatus = "operator.status"
	methodWhy    = "operator.why"
)

// Placement is what the operators' role asks of the placer.
type Placement interface {
	// Status lists the jobs and workers that this daemon answers for.
	Status() placer.Status
	// Why explains a job whose home is this daemon.
	Why(jobID string) placer.Explanation
}

// Options are what an Operator is built from.
type Options struct {
	roles.Base
	State     roles.StateReader
	Owners    roles.Owners
	Members   roles.Members
	Peers     roles.Peers
	Appender  roles.Appender
	Placement Placement
	// Dump returns the whole daemon's state dump.
	Dump func() operatorapi.Dump
	// Ready reports whether the daemon serves.
	Ready func() bool
}

// Operator serves the operators' protocol.
type Operator struct {
	o Options
}

// New returns an Operator and registers its methods between daemons.
func New(o Options) *Operator {
	p := &Operator{o: o}
	o.Peers.Handle(methodStatus, p.handleStatus)
	o.Peers.Handle(methodWhy, roles.TypedHandler(reasonBadRequest, p.handleWhy))
	return p
}

// Start does nothing; the daemon serves Handler.
func (p *Operator) Start(context.Context) error { return nil }

// Stop does nothing; requests end with the listener.
func (p *Operator) Stop(context.Context) error { return nil }

// Dump returns nothing of its own.
func (p *Operator) Dump() any { return struct{}{} }

// Handler returns the routes that operators use.
func (p *Operator) Handler() http.Handler {
	r := mux.NewRouter()
	r.Use(bounded)
	r.HandleFunc("/v1/documents", p.listDocuments).Methods(http.MethodGet)
	r.HandleFunc("/v1/documents/{service}", p.getDocument).Methods(http.MethodGet)
	r.HandleFunc("/v1/documents/{service}", p.publish).Methods(http.MethodPut)
	r.HandleFunc("/v1/documents/{service}", p.withdraw).Methods(http.MethodDelete)
	r.HandleFunc("/v1/documents/{service}/history", p.history).Methods(http.MethodGet)
	r.HandleFunc("/v1/inforce/{offset:[0-9]+}", p.inForce).Methods(http.MethodGet)
	r.HandleFunc("/v1/outcomes", p.outcome).Methods(http.MethodGet).Queries("key", "{key}")
	r.HandleFunc("/v1/jobs", p.submit).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs", p.cancel).Methods(http.MethodDelete).Queries("id", "{id}")
	r.HandleFunc("/v1/why", p.why).Methods(http.MethodGet).Queries("id", "{id}")
	r.HandleFunc("/v1/status", p.status).Methods(http.MethodGet)
	r.HandleFunc("/v1/health", p.health).Methods(http.MethodGet)
	r.HandleFunc("/debug/state", p.dump).Methods(http.MethodGet)
	r.HandleFunc("/metrics", p.metrics).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(notFound)
	return r
}

func bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

func notFound(w http.ResponseWriter, r *http.Request) {
	fail(w, verdict.New(verdict.NotRun, reasonNoRoute, "%s %s is not served", r.Method, r.URL.Path))
}

// Reasons of failures.
const (
	reasonNoRoute     verdict.Reason = "no_route"
	reasonBadRequest  verdict.Reason = "bad_request"
	reasonBadDocument verdict.Reason = "bad_document"
	reasonConflict    verdict.Reason = "conflict"
	reasonRefused     verdict.Reason = "refused"
	reasonUnknown     verdict.Reason = "unknown_name"
	reasonUnsettled   verdict.Reason = "unsettled"
	reasonNoHome      verdict.Reason = "no_home"
)

func httpStatus(err error) int {
	switch verdict.ReasonOf(err) {
	case reasonNoRoute, reasonUnknown:
		return http.StatusNotFound
	case reasonBadRequest, reasonBadDocument:
		return http.StatusBadRequest
	case reasonConflict:
		return http.StatusConflict
	case reasonRefused:
		return http.StatusForbidden
	}
	if verdict.Of(err) == verdict.MayHaveRun {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

func fail(w http.ResponseWriter, err error) { failWith(w, err, operatorapi.Failure{}) }

func failWith(w http.ResponseWriter, err error, f operatorapi.Failure) {
	f.Verdict = verdict.Of(err)
	f.Reason = verdict.ReasonOf(err)
	f.Message = err.Error()
	f.RetryAfterMilliseconds = verdict.RetryAfterOf(err).Milliseconds()
	answer(w, httpStatus(err), f)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func credential(r *http.Request) logclient.Credential {
	return logclient.Credential(strings.TrimPrefix(r.Header.Get(operatorapi.HeaderAuthorization), "Bearer "))
}

func (p *Operator) dump(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, p.o.Dump()) }

func (p *Operator) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	p.o.Metrics.WritePrometheus(w)
}

func (p *Operator) health(w http.ResponseWriter, _ *http.Request) {
	if !p.o.Ready() {
		fail(w, verdict.New(verdict.NotRun, "not_ready", "the daemon is starting or leaving").WithRetryAfter(time.Second))
		return
	}
	answer(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{"serving"})
}

var _ roles.Role = (*Operator)(nil)

func (p *Operator) event(e events.Event, attrs ...any) { p.o.Events.Log(e, attrs...) }
