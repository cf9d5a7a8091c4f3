package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/idempotency"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/gorilla/mux"
)

// The headers of callers' requests and answers.
const (
	HeaderCaller = "Caller"
	HeaderKey    = "Idempotency-Key"
	// HeaderDeadline is the time a caller gives its request, such as "1.5s".
	HeaderDeadline = "Request-Deadline"
	// HeaderAttempt is "1" where the caller states that it never sent the
	// request's key before. It lets a refusal say NotRun without asking the
	// key's owner.
	HeaderAttempt  = "Request-Attempt"
	HeaderVerdict  = "Currantwinch-Verdict"
	HeaderReason   = "Currantwinch-Reason"
	HeaderBackend  = "Currantwinch-Backend"
	HeaderRevision = "Currantwinch-Revision"
)

// refusedError is an error with the HTTP status that tells it.
type refusedError struct {
	status int
	err    *verdict.Error
}

// Handler serves callers.
func (g *Gateway) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/services/{service}/requests/{kind}", g.serveRequest).Methods(http.MethodPost)
	router.HandleFunc("/v1/keys", g.serveKeys).Methods(http.MethodPost)
	router.HandleFunc("/v1/health", g.serveHealth).Methods(http.MethodGet)
	router.NotFoundHandler = refuseAll(http.StatusNotFound, ReasonNotFound)
	router.MethodNotAllowedHandler = refuseAll(http.StatusMethodNotAllowed, ReasonMethodNotAllowed)
	return router
}

func refuseAll(status int, reason verdict.Reason) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		turnDown(w, r, refuse(status, reason, "%s %s", r.Method, r.URL.Path))
	})
}

func (g *Gateway) serveHealth(w http.ResponseWriter, _ *http.Request) {
	switch g.phase.Load() {
	case phaseServing:
		w.WriteHeader(http.StatusOK)
	case phaseStarting:
		writeError(w, http.StatusServiceUnavailable, verdict.New(verdict.NotRun, ReasonStarting, "starting"))
	default:
		writeError(w, http.StatusServiceUnavailable, verdict.New(verdict.NotRun, ReasonStopping, "stopping"))
	}
}

// turnDown refuses a request whose body may not have been read. The connection
// is closed where the server would otherwise wait for the rest.
func turnDown(w http.ResponseWriter, r *http.Request, refused *refusedError) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
	writeError(w, refused.status, refused.err)
}

// stopRetryAfter is when a caller should try again, at another daemon.
const stopRetryAfter = time.Second

func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request) {
	closed := g.take()
	if closed == nil {
		defer g.done()
	}
	c, refused := g.readCall(w, r)
	if refused != nil {
		g.count(refused.err)
		turnDown(w, r, refused)
		return
	}
	var outcome idempotency.Outcome
	var err error
	if closed == nil {
		outcome, err = g.serve(r.Context(), c)
	} else {
		w.Header().Set("Connection", "close")
		outcome, err = g.turnAway(r.Context(), c, closed)
	}
	g.count(err)
	g.metrics.pathSeconds.Update(g.o.Now().Sub(c.arrived).Seconds())
	if err != nil {
		writeError(w, statusOf(err), advised(err))
		return
	}
	writeOutcome(w, outcome)
}

func (g *Gateway) count(err error) {
	switch verdict.Of(err) {
	case verdict.Ran:
		g.metrics.ran.Inc()
	case verdict.NotRun:
		g.metrics.notRun.Inc()
	default:
		g.metrics.mayHaveRun.Inc()
	}
}

// readCall reads and checks a caller's request.
func (g *Gateway) readCall(w http.ResponseWriter, r *http.Request) (*call, *refusedError) {
	vars := mux.Vars(r)
	entry, kind, refused := g.findKind(vars["service"], vars["kind"])
	if refused != nil {
		return nil, refused
	}
	c := &call{
		entry: entry, kind: kind, arrived: g.o.Now(), granted: make(chan grant, 1),
		first: r.Header.Get(HeaderAttempt) == "1",
		request: Request{
			ID: g.newID(), Service: vars["service"], Kind: kind.Name,
			Caller: r.Header.Get(HeaderCaller), Key: r.Header.Get(HeaderKey), ContentType: r.Header.Get("Content-Type"),
		},
	}
	if refused := g.checkHeader(c); refused != nil {
		return nil, refused
	}
	if refused := g.setDeadline(c, r.Header.Get(HeaderDeadline)); refused != nil {
		return nil, refused
	}
	return c, g.readBody(w, r, c)
}

func (g *Gateway) findKind(service, name string) (roles.DocumentEntry, document.RequestKind, *refusedError) {
	entry, ok := g.o.State.View().Document(service)
	if !ok || entry.Document.Requests == nil {
		return entry, document.RequestKind{}, refuse(http.StatusNotFound, ReasonServiceUnknown, "no service %q answers requests", service)
	}
	for _, kind := range entry.Document.Requests.Kinds {
		if kind.Name == name {
			return entry, kind, nil
		}
	}
	return entry, document.RequestKind{}, refuse(http.StatusNotFound, ReasonKindUnknown, "service %q has no kind %q", service, name)
}

func refuse(status int, reason verdict.Reason, format string, args ...any) *refusedError {
	return &refusedError{status: status, err: verdict.New(verdict.NotRun, reason, format, args...)}
}

func (g *Gateway) checkHeader(c *call) *refusedError {
	limit := g.o.Limits.MaxNameBytes
	switch {
	case c.request.Caller == "":
		return refuse(http.StatusBadRequest, ReasonCallerRequired, "the %s header is missing", HeaderCaller)
	case len(c.request.Caller) > limit || len(c.request.Key) > limit || len(c.request.ContentType) > limit:
		return refuse(http.StatusBadRequest, ReasonHeaderTooLong, "a header is over %d bytes", limit)
	case c.request.Key == "" && !c.kind.Repeatable:
		return refuse(http.StatusBadRequest, ReasonKeyRequired, "kind %q may not be repeated and needs an %s", c.kind.Name, HeaderKey)
	}
	return nil
}

func (g *Gateway) setDeadline(c *call, text string) *refusedError {
	left := c.kind.Deadline.Std()
	if left <= 0 {
		left = g.o.Limits.DefaultDeadline
	}
	if text != "" {
		asked, err := time.ParseDuration(text)
		if err != nil || asked <= 0 {
			return refuse(http.StatusBadRequest, ReasonInvalidDeadline, "%s %q is no positive duration", HeaderDeadline, text)
		}
		left = min(left, asked)
	}
	c.request.Deadline = c.arrived.Add(left)
	return nil
}

func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *call) *refusedError {
	requests := c.entry.Document.Requests
	most := requests.MaxBodyBytes
	if most <= 0 {
		most = g.o.Limits.MaxBodyBytes
	}
	c.request.MaxResponseBytes = requests.MaxAnswerBytes
	if c.request.MaxResponseBytes <= 0 {
		c.request.MaxResponseBytes = g.o.Limits.MaxResponseBytes
	}
	if r.ContentLength > most {
		return refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, "the body is over %d bytes", most)
	}
	body, err := g.readTimed(w, r, most)
	if err != nil {
		return refuse(http.StatusBadRequest, ReasonBodyTruncated, "read body: %v", err)
	}
	if int64(len(body)) > most {
		return refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, "the body is over %d bytes", most)
	}
	c.request.Body = body
	return nil
}

// readTimed reads a body within its time. The deadline stays on a body that
// did not come, since the server reads what is left before it answers; it is
// lifted after a whole one, so that the server can tell whether the caller is
// still there.
func (g *Gateway) readTimed(w http.ResponseWriter, r *http.Request, most int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(g.o.Limits.BodyTimeout))
	body, err := readAll(r, most)
	if err != nil {
		return nil, err
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

func readAll(r *http.Request, most int64) ([]byte, error) {
	if r.ContentLength >= 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, verdict.Wrap(err, verdict.NotRun, ReasonBodyTruncated)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	return body, verdict.Wrap(err, verdict.NotRun, ReasonBodyTruncated)
}

// serveKeys issues idempotency keys.
func (g *Gateway) serveKeys(w http.ResponseWriter, r *http.Request) {
	if closed := g.take(); closed != nil {
		writeError(w, http.StatusServiceUnavailable, closed)
		return
	}
	defer g.done()
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxIssue {
			writeError(w, http.StatusBadRequest, verdict.New(verdict.NotRun, ReasonInvalidCount, "count %q is not between 1 and %d", text, maxIssue))
			return
		}
		count = n
	}
	keys, err := g.issueKeys(r.Context(), count)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(keyIssued{Keys: keys})
}
