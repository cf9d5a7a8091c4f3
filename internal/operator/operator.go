// Package operator implements the HTTP API for operators: it publishes documents,
// accepts and cancels jobs, and reports the status of the cell. Every change is a
// record in the platform's log, appended under the operator's own credential.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/intake"
	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
)

const (
	// maxBodyBytes limits the body of an operator's request.
	maxBodyBytes = 128 << 10
	// changeTimeout limits the append of a change and the wait until this daemon
	// has applied it.
	changeTimeout = 10 * time.Second
	// peerTimeout limits the calls to other daemons for one request.
	peerTimeout = 2 * time.Second
	// maxWait limits how long one request may wait for an offset to be in force.
	maxWait = 30 * time.Second
	// bodyRetryAfter is the Retry-After of a call whose body found no memory.
	bodyRetryAfter = time.Second
	// pollInterval is the time between two checks of the daemons' offsets during
	// such a wait.
	pollInterval = 50 * time.Millisecond
)

// Methods of the protocol between daemons.
const (
	methodStatus  = "operator.status"
	methodExplain = "operator.why"
)

// Placement is the part of the placer that this package uses.
type Placement interface {
	// Status returns the jobs whose home is this daemon, and the workers.
	Status() placer.Status
	// Why explains the state of a job whose home is this daemon.
	Why(jobID string) placer.Explanation
}

// Options configures an Operator.
type Options struct {
	roles.Base
	State     roles.StateReader
	Owners    roles.Owners
	Members   roles.Members
	Peers     roles.Peers
	Appender  roles.Appender
	Placement Placement
	// Dump returns the state dump of the daemon.
	Dump func() operatorapi.Dump
	// Ready reports whether the daemon is serving.
	Ready func() bool
	// Bodies reads operators' bodies within a memory budget; nil reads them without one.
	Bodies *intake.Bodies
}

// Operator is the role that serves the HTTP API for operators.
type Operator struct {
	o Options
}

// New returns an Operator and registers the methods that it handles for other
// daemons.
func New(o Options) *Operator {
	p := &Operator{o: o}
	o.Peers.Handle(methodStatus, p.handleStatus)
	o.Peers.Handle(methodExplain, roles.TypedHandler(reasonInvalidRequest, p.handleExplain))
	return p
}

// Start does nothing. The daemon serves Handler on its operators' listener.
func (p *Operator) Start(context.Context) error { return nil }

// Stop does nothing. The daemon shuts down the HTTP server.
func (p *Operator) Stop(context.Context) error { return nil }

// Dump returns an empty object, since the role has no state of its own.
func (p *Operator) Dump() any { return struct{}{} }

// Handler returns the HTTP handler for all routes of the API.
func (p *Operator) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/documents", p.listDocuments).Methods(http.MethodGet)
	r.HandleFunc("/v1/documents/{service}", p.getDocument).Methods(http.MethodGet)
	r.HandleFunc("/v1/documents/{service}", p.publish).Methods(http.MethodPut)
	r.HandleFunc("/v1/documents/{service}", p.withdraw).Methods(http.MethodDelete)
	r.HandleFunc("/v1/documents/{service}/history", p.history).Methods(http.MethodGet)
	r.HandleFunc("/v1/inforce/{offset:[0-9]+}", p.inForce).Methods(http.MethodGet)
	r.HandleFunc("/v1/outcomes", p.outcome).Methods(http.MethodGet).Queries("key", "{key}")
	r.HandleFunc("/v1/jobs", p.submit).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs", p.cancel).Methods(http.MethodDelete).Queries("id", "{id}")
	r.HandleFunc("/v1/why", p.explain).Methods(http.MethodGet).Queries("id", "{id}")
	r.HandleFunc("/v1/status", p.status).Methods(http.MethodGet)
	r.HandleFunc("/v1/health", p.health).Methods(http.MethodGet)
	r.HandleFunc("/debug/state", p.dump).Methods(http.MethodGet)
	r.HandleFunc("/metrics", p.metrics).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(notFound)
	return p.o.Bodies.Protect(r)
}

// readBody reads the body of a change. The caller must release the returned body, which is
// never nil.
func (p *Operator) readBody(w http.ResponseWriter, r *http.Request) (*intake.Body, error) {
	body, err := p.o.Bodies.Read(w, r, intake.BodyOptions{Limit: maxBodyBytes})
	var refusal *intake.Refusal
	if errors.As(err, &refusal) && refusal.Reason != intake.ReasonStalled {
		return body, verdict.New(verdict.NotRun, reasonBodyMemory, "bodies take all of their memory").WithRetryAfter(bodyRetryAfter)
	}
	return body, verdict.Wrap(err, verdict.NotRun, reasonInvalidRequest)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, verdict.New(verdict.NotRun, reasonNoRoute, "%s %s is not served", r.Method, r.URL.Path))
}

// Reasons in the failure responses.
const (
	reasonNoRoute         verdict.Reason = "no_route"
	reasonInvalidRequest  verdict.Reason = "bad_request"
	reasonInvalidDocument verdict.Reason = "bad_document"
	reasonConflict        verdict.Reason = "conflict"
	reasonRefused         verdict.Reason = "refused"
	reasonNotFound        verdict.Reason = "unknown_name"
	reasonOutcomeUnknown  verdict.Reason = "unsettled"
	reasonNoHomeDaemon    verdict.Reason = "no_home"
	// reasonBodyMemory means that the bodies of all operators' calls take the memory that
	// they may.
	reasonBodyMemory verdict.Reason = "body_memory"
)

func httpStatus(err error) int {
	switch verdict.ReasonOf(err) {
	case reasonNoRoute, reasonNotFound:
		return http.StatusNotFound
	case reasonInvalidRequest, reasonInvalidDocument:
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

func writeError(w http.ResponseWriter, err error) { writeFailure(w, err, operatorapi.Failure{}) }

func writeFailure(w http.ResponseWriter, err error, f operatorapi.Failure) {
	f.Verdict = verdict.Of(err)
	f.Reason = verdict.ReasonOf(err)
	f.Message = err.Error()
	f.RetryAfterMilliseconds = verdict.RetryAfterOf(err).Milliseconds()
	writeResponse(w, httpStatus(err), f)
}

func writeResponse(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func credentialOf(r *http.Request) logclient.Credential {
	return logclient.Credential(strings.TrimPrefix(r.Header.Get(operatorapi.HeaderAuthorization), "Bearer "))
}

func (p *Operator) dump(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, http.StatusOK, p.o.Dump())
}

func (p *Operator) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	p.o.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (p *Operator) health(w http.ResponseWriter, _ *http.Request) {
	if !p.o.Ready() {
		writeError(w, verdict.New(verdict.NotRun, "not_ready", "the daemon is starting or leaving").WithRetryAfter(time.Second))
		return
	}
	writeResponse(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{"serving"})
}

var _ roles.Role = (*Operator)(nil)

func (p *Operator) logEvent(e events.Event, attrs ...any) { p.o.Events.Log(e, attrs...) }
