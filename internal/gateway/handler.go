package gateway

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/idempotency"
	"github.com/currantwinch/currantwinch/internal/intake"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
)

// The headers of callers' requests and of responses to them.
const (
	HeaderCaller = "Caller"
	HeaderKey    = "Idempotency-Key"
	// HeaderDeadline is the longest time until the response, such as "1.5s".
	HeaderDeadline = "Request-Deadline"
	// HeaderAttempt is "1" if the caller states that it never sent the request's
	// key before. A refusal can then say NotRun without asking the key's owner.
	HeaderAttempt  = "Request-Attempt"
	HeaderVerdict  = "Currantwinch-Verdict"
	HeaderReason   = "Currantwinch-Reason"
	HeaderBackend  = "Currantwinch-Backend"
	HeaderRevision = "Currantwinch-Revision"
)

// requestError is an error in a caller's request, with its HTTP status.
type requestError struct {
	status int
	err    *verdict.Error
}

// Handler returns the HTTP handler of the callers' API.
func (g *Gateway) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/services/{service}/requests/{kind}", g.serveRequest).Methods(http.MethodPost)
	router.HandleFunc("/v1/keys", g.serveKeys).Methods(http.MethodPost)
	router.HandleFunc("/v1/health", g.serveHealth).Methods(http.MethodGet)
	router.NotFoundHandler = refuseHandler(http.StatusNotFound, ReasonNotFound)
	router.MethodNotAllowedHandler = refuseHandler(http.StatusMethodNotAllowed, ReasonMethodNotAllowed)
	return g.o.Bodies.Protect(router)
}

func refuseHandler(status int, reason verdict.Reason) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(w, r, refuse(status, reason, "%s %s", r.Method, r.URL.Path))
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

// writeRefusal refuses a request whose body may not have been read. It closes the
// connection of a request with a body, as the server would otherwise wait for the
// rest of the body.
func writeRefusal(w http.ResponseWriter, r *http.Request, refused *requestError) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
	writeError(w, refused.status, refused.err)
}

// stopRetryAfter is the Retry-After of a daemon that is stopping; the retry then
// goes to another daemon.
const stopRetryAfter = time.Second

func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request) {
	refusal := g.beginCall()
	if refusal == nil {
		defer g.endCall()
	} else {
		// The caller's next call goes to another daemon.
		w.Header().Set("Connection", "close")
	}
	c, invalid := g.readCall(w, r, refusal)
	if invalid != nil {
		g.countVerdict(invalid.err)
		writeRefusal(w, r, invalid)
		return
	}
	defer c.releaseMemory()
	var outcome idempotency.Outcome
	var err error
	if refusal == nil {
		outcome, err = g.serve(r.Context(), c)
	} else {
		outcome, err = g.refuseCall(r.Context(), c, refusal)
	}
	c.releaseBody()
	g.countVerdict(err)
	g.metrics.pathSeconds.Update(g.o.Now().Sub(c.arrived).Seconds())
	if err != nil {
		writeError(w, httpStatus(err), withRetryAdvice(err))
		return
	}
	writeOutcome(w, outcome)
}

func (g *Gateway) countVerdict(err error) {
	switch verdict.Of(err) {
	case verdict.Ran:
		g.metrics.ran.Inc()
	case verdict.NotRun:
		g.metrics.notRun.Inc()
	default:
		g.metrics.mayHaveRun.Inc()
	}
}

// readCall reads and validates a caller's request. A request that refusal refuses is read only
// if an earlier one with its key may have run.
func (g *Gateway) readCall(w http.ResponseWriter, r *http.Request, refusal *verdict.Error) (*call, *requestError) {
	vars := mux.Vars(r)
	entry, kind, refused := g.findKind(vars["service"], vars["kind"])
	if refused != nil {
		return nil, refused
	}
	c := &call{
		entry: entry, kind: kind, arrived: g.o.Now(), grants: make(chan grant, 1),
		firstAttempt: r.Header.Get(HeaderAttempt) == "1",
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
	if refusal != nil && !c.mayHaveEarlierAttempt() {
		return nil, &requestError{status: httpStatus(refusal), err: refusal}
	}
	return c, g.readBody(w, r, c)
}

func (g *Gateway) findKind(service, name string) (roles.DocumentEntry, document.RequestKind, *requestError) {
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

func refuse(status int, reason verdict.Reason, format string, args ...any) *requestError {
	return &requestError{status: status, err: verdict.New(verdict.NotRun, reason, format, args...)}
}

func (g *Gateway) checkHeader(c *call) *requestError {
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

func (g *Gateway) setDeadline(c *call, header string) *requestError {
	timeout := c.kind.Deadline.Std()
	if timeout <= 0 {
		timeout = g.o.Limits.DefaultDeadline
	}
	if header != "" {
		requested, err := time.ParseDuration(header)
		if err != nil || requested <= 0 {
			return refuse(http.StatusBadRequest, ReasonInvalidDeadline, "%s %q is no positive duration", HeaderDeadline, header)
		}
		timeout = min(timeout, requested)
	}
	c.request.Deadline = c.arrived.Add(timeout)
	return nil
}

func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *call) *requestError {
	requests := c.entry.Document.Requests
	maxBytes := requests.MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = g.o.Limits.MaxBodyBytes
	}
	c.request.MaxResponseBytes = requests.MaxResponseBytes
	if c.request.MaxResponseBytes <= 0 {
		c.request.MaxResponseBytes = g.o.Limits.MaxResponseBytes
	}
	body, err := g.o.Bodies.Read(w, r, intake.BodyOptions{Limit: maxBytes, Group: c.entry.Team, Deadline: c.request.Deadline})
	body.Parsed()
	if err != nil {
		return c.bodyRefused(err, maxBytes)
	}
	c.body, c.request.Body = body, body.Bytes
	return nil
}

// bodyRefused returns the refusal of a call whose body could not be read. Where the
// daemon is the reason, it speaks for earlier calls with the same key as well, which may have run.
func (c *call) bodyRefused(err error, maxBytes int64) *requestError {
	var refusal *intake.Refusal
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, "the body is over %d bytes", maxBytes)
	case errors.Is(err, intake.ErrOverBudget):
		return refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, "the body is longer than this daemon's limits.bodyBytes allows")
	case errors.As(err, &refusal) && refusal.Reason != intake.ReasonStalled:
		unread := refuse(http.StatusServiceUnavailable, ReasonBodyMemory, "the body was refused: %s", refusal.Reason)
		unread.err.RetryAfter = cmp.Or(refusal.RetryAfter, overloadRetryAfter)
		if c.mayHaveEarlierAttempt() {
			unread.err.Verdict = verdict.MayHaveRun
		}
		return unread
	}
	return refuse(http.StatusBadRequest, ReasonBodyTruncated, "read body: %v", err)
}

// serveKeys issues idempotency keys.
func (g *Gateway) serveKeys(w http.ResponseWriter, r *http.Request) {
	if refusal := g.beginCall(); refusal != nil {
		writeError(w, http.StatusServiceUnavailable, refusal)
		return
	}
	defer g.endCall()
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxKeysPerIssue {
			writeError(w, http.StatusBadRequest, verdict.New(verdict.NotRun, ReasonInvalidCount, "count %q is not between 1 and %d", text, maxKeysPerIssue))
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
	_ = json.NewEncoder(w).Encode(keyIssueResponse{Keys: keys})
}
