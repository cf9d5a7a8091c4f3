// Package loghttp is a client of the platform's log over HTTP.
package loghttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

// Path is the URL path of the log's records.
const Path = "/v1/records"

// MaxResponseBytes is the maximum size of a response body.
const MaxResponseBytes = 8 << 20

// Reasons of the errors that this package returns.
const (
	ReasonUnreachable       verdict.Reason = "log_unreachable"
	ReasonResponseLost      verdict.Reason = "log_answer_lost"
	ReasonResponseMalformed verdict.Reason = "log_bad_answer"
	ReasonBadStatus         verdict.Reason = "log_bad_status"
)

// AppendRequest is the body of a POST request.
type AppendRequest struct {
	Entries [][]byte `json:"entries"`
}

// AppendResponse is the body of the response to POST.
type AppendResponse struct {
	// First is the offset of the first entry. A response without it does not
	// show whether the entries were appended.
	First *uint64 `json:"first"`
}

// readResponse is the body of the response to GET. A response without Oldest
// and Head is malformed.
type readResponse struct {
	Records []logclient.StoredRecord `json:"records"`
	Oldest  *uint64                  `json:"oldest"`
	Head    *uint64                  `json:"head"`
}

// ErrorResponse is the body of a response whose status is not 200.
type ErrorResponse struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	Message string          `json:"message"`
}

// Log implements logclient.Log over HTTP.
type Log struct {
	url    string
	client *http.Client
}

// New returns a client of the log at baseURL. The HTTP client should limit its
// connections; timeouts come from the context of each call.
func New(baseURL string, client *http.Client) logclient.Log {
	return &Log{url: baseURL + Path, client: client}
}

// Append implements logclient.Log. The verdict of its error is NotRun if no
// connection was obtained or if the log's response states that nothing was
// appended; otherwise it is MayHaveRun.
func (l *Log) Append(ctx context.Context, credential logclient.Credential, entries [][]byte) (uint64, error) {
	body, err := json.Marshal(AppendRequest{Entries: entries})
	if err != nil {
		return 0, verdict.Wrap(err, verdict.NotRun, ReasonResponseMalformed)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.url, bytes.NewReader(body))
	if err != nil {
		return 0, verdict.Wrap(err, verdict.NotRun, ReasonUnreachable)
	}
	request.Header.Set("Authorization", "Bearer "+string(credential))
	request.Header.Set("Content-Type", "application/json")
	var answer AppendResponse
	if err := l.do(request, &answer); err != nil {
		return 0, err
	}
	if answer.First == nil {
		return 0, verdict.New(verdict.MayHaveRun, ReasonResponseMalformed, "answer states no offset")
	}
	return *answer.First, nil
}

// Read implements logclient.Log.
func (l *Log) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (logclient.Page, error) {
	query := url.Values{
		"from":  {strconv.FormatUint(from, 10)},
		"limit": {strconv.Itoa(limit)},
		"wait":  {wait.String()},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url+"?"+query.Encode(), nil)
	if err != nil {
		return logclient.Page{}, verdict.Wrap(err, verdict.NotRun, ReasonUnreachable)
	}
	var answer readResponse
	if err := l.do(request, &answer); err != nil {
		return logclient.Page{}, err
	}
	if answer.Oldest == nil || answer.Head == nil {
		return logclient.Page{}, verdict.New(verdict.MayHaveRun, ReasonResponseMalformed, "answer states no bounds")
	}
	return logclient.Page{Records: answer.Records, Oldest: *answer.Oldest, Head: *answer.Head}, nil
}

func (l *Log) do(request *http.Request, answer any) error {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := l.client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		if connected.Load() {
			return verdict.Wrap(err, verdict.MayHaveRun, ReasonResponseLost)
		}
		return verdict.Wrap(err, verdict.NotRun, ReasonUnreachable)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, ReasonResponseLost)
	}
	if len(data) > MaxResponseBytes {
		return verdict.New(verdict.MayHaveRun, logclient.ReasonAnswerTooLarge, "answer over %d bytes", MaxResponseBytes)
	}
	if response.StatusCode != http.StatusOK {
		return statusError(response.StatusCode, data)
	}
	return verdict.Wrap(errors.Wrap(json.Unmarshal(data, answer), "decode answer"), verdict.MayHaveRun, ReasonResponseMalformed)
}

// statusError returns the error for a status other than 200. The verdict is
// NotRun only if the response's body states so.
func statusError(status int, data []byte) error {
	var body ErrorResponse
	if err := json.Unmarshal(data, &body); err != nil || body.Verdict != verdict.NotRun {
		return verdict.New(verdict.MayHaveRun, ReasonBadStatus, "status %d", status)
	}
	return verdict.New(verdict.NotRun, body.Reason, "status %d: %s", status, body.Message)
}
