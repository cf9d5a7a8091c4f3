package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/currantwinch/currantwinch/idempotency"
	"github.com/currantwinch/currantwinch/verdict"
)

// errorBody is the JSON body of a response that does not come from a backend
// server.
type errorBody struct {
	Verdict    verdict.Verdict `json:"verdict"`
	Reason     verdict.Reason  `json:"reason"`
	Message    string          `json:"message"`
	RetryAfter int64           `json:"retryAfterMilliseconds,omitempty"`
}

// writeOutcome writes a backend server's complete response.
func writeOutcome(w http.ResponseWriter, o idempotency.Outcome) {
	h := w.Header()
	h.Set(HeaderVerdict, verdict.Ran.String())
	h.Set(HeaderBackend, o.Backend)
	h.Set(HeaderRevision, strconv.FormatUint(o.Revision, 10))
	h.Set("Content-Length", strconv.Itoa(len(o.Body)))
	if o.ContentType != "" {
		h.Set("Content-Type", o.ContentType)
	}
	w.WriteHeader(o.Status)
	_, _ = w.Write(o.Body)
}

// writeError writes an error response. An error without a verdict counts as
// MayHaveRun.
func writeError(w http.ResponseWriter, status int, err error) {
	body := errorBody{Verdict: verdict.Of(err), Reason: verdict.ReasonOf(err), Message: err.Error()}
	h := w.Header()
	h.Set(HeaderVerdict, body.Verdict.String())
	h.Set(HeaderReason, string(body.Reason))
	h.Set("Content-Type", "application/json")
	if wait := verdict.RetryAfterOf(err); wait > 0 {
		body.RetryAfter = wait.Milliseconds()
		h.Set("Retry-After", strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// defaultRetryAfter is the Retry-After of a refusal that has none of its own.
const defaultRetryAfter = time.Second

// withRetryAdvice adds defaultRetryAfter to an error with the verdict NotRun and
// status 503 that has no Retry-After.
func withRetryAdvice(err error) error {
	if verdict.Of(err) != verdict.NotRun || httpStatus(err) != http.StatusServiceUnavailable || verdict.RetryAfterOf(err) > 0 {
		return err
	}
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonOf(err), RetryAfter: defaultRetryAfter, Err: err}
}

// httpStatus returns the HTTP status for an error.
func httpStatus(err error) int {
	switch verdict.ReasonOf(err) {
	case ReasonRateLimited:
		return http.StatusTooManyRequests
	case idempotency.ReasonKeyInvalid:
		return http.StatusBadRequest
	case idempotency.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case ReasonInProgress, idempotency.ReasonOutcomeLost, idempotency.ReasonOutcomeForgotten,
		idempotency.ReasonEarlierEpoch, idempotency.ReasonKeyExpired:
		return http.StatusConflict
	case ReasonNoResponse:
		return http.StatusGatewayTimeout
	}
	if verdict.Of(err) == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
