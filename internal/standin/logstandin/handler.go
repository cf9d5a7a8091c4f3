package logstandin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/currantwinch/currantwinch/internal/adapter/loghttp"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/verdict"
)

// ResponseFault is a fault in the bytes of an HTTP response.
type ResponseFault int32

// The faults of HTTP responses.
const (
	ResponseIntact ResponseFault = iota
	ResponseTruncated
	ResponseMalformed
	ResponseOversized
	// ResponseEmpty is a valid JSON object without any field.
	ResponseEmpty
)

// Handler serves a log over HTTP.
type Handler struct {
	log   logclient.Log
	fault atomic.Int32
}

// Handler returns a handler that serves the log over HTTP.
func (l *Log) Handler() *Handler { return &Handler{log: l} }

// SetResponseFault injects the fault into every later response.
func (h *Handler) SetResponseFault(f ResponseFault) { h.fault.Store(int32(f)) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != loghttp.Path:
		http.NotFound(w, r)
	case r.Method == http.MethodPost:
		h.append(w, r)
	case r.Method == http.MethodGet:
		h.read(w, r)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (h *Handler) append(w http.ResponseWriter, r *http.Request) {
	var request loghttp.AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		h.fail(w, verdict.Wrap(err, verdict.NotRun, "bad_request"))
		return
	}
	credential := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	first, err := h.log.Append(r.Context(), logclient.Credential(credential), request.Entries)
	if err != nil {
		h.fail(w, err)
		return
	}
	h.respond(w, loghttp.AppendResponse{First: &first})
}

func (h *Handler) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("limit"))
	wait, err3 := time.ParseDuration(q.Get("wait"))
	if err != nil || err2 != nil || err3 != nil {
		h.fail(w, verdict.New(verdict.NotRun, "bad_request", "bad query"))
		return
	}
	page, err := h.log.Read(r.Context(), from, limit, wait)
	if err != nil {
		h.fail(w, err)
		return
	}
	h.respond(w, page)
}

// fail responds with the error if the call certainly had no effect, and aborts
// the connection otherwise, so that the client sees an unknown outcome.
func (h *Handler) fail(w http.ResponseWriter, err error) {
	if verdict.Of(err) != verdict.NotRun {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(loghttp.ErrorResponse{
		Verdict: verdict.NotRun, Reason: verdict.ReasonOf(err), Message: err.Error(),
	})
}

func (h *Handler) respond(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch ResponseFault(h.fault.Load()) {
	case ResponseTruncated:
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	case ResponseMalformed:
		data = append([]byte("{"), data...)
	case ResponseEmpty:
		data = []byte("{}")
	case ResponseOversized:
		data = append(data, strings.Repeat(" ", loghttp.MaxResponseBytes+1)...)
	}
	_, _ = w.Write(data)
}
