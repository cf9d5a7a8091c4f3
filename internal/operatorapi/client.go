package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/currantwinch/currantwinch/internal/certs"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

// maxAnswerBytes bounds what the client reads of one answer.
const maxAnswerBytes = 64 << 20

// Client speaks to the operators' side of one of several daemons.
type Client struct {
	// Addresses are the daemons' operator addresses, tried in order.
	Addresses []string
	// Scheme is "http" or "https".
	Scheme     string
	Credential string
	HTTP       *http.Client
}

// Error is a daemon's refusal or failure.
type Error struct {
	Failure
	// Status is the HTTP status, 0 where no answer came.
	Status int
}

// Error returns the daemon's message.
func (e *Error) Error() string { return e.Message }

// call sends one request. It moves on to the next address only while the
// request certainly did not run, or, for reads, after any failure.
func (c *Client) call(ctx context.Context, method, path, key string, body []byte, result any) error {
	last := &Error{Failure: Failure{Verdict: verdict.NotRun, Reason: "no_address", Message: "no daemon address is given"}}
	for _, address := range c.Addresses {
		err := c.callOne(ctx, address, method, path, key, body, result)
		if err == nil {
			return nil
		}
		last = err
		reachedDaemon := err.Status != 0 && err.Status != http.StatusServiceUnavailable
		mayHaveRun := method != http.MethodGet && err.Verdict != verdict.NotRun
		if reachedDaemon || mayHaveRun || ctx.Err() != nil {
			return err
		}
	}
	return last
}

func (c *Client) callOne(ctx context.Context, address, method, path, key string, body []byte, result any) *Error {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }, GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.Scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return transportError(err, verdict.NotRun, key)
	}
	req.Header.Set(HeaderAuthorization, "Bearer "+c.Credential)
	if key != "" {
		req.Header.Set(HeaderIdempotencyKey, key)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return transportError(err, sentVerdict(wrote.Load() && !certs.Refused(err)), key)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return transportError(err, verdict.MayHaveRun, key)
	}
	if resp.StatusCode != http.StatusOK {
		return failureFrom(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return transportError(err, verdict.MayHaveRun, key)
	}
	return nil
}

func sentVerdict(wrote bool) verdict.Verdict {
	if wrote {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

func transportError(err error, v verdict.Verdict, key string) *Error {
	return &Error{Failure: Failure{Verdict: v, Reason: "transport", Message: err.Error(), Key: key}}
}

func failureFrom(status int, data []byte) *Error {
	e := &Error{Status: status}
	if err := json.Unmarshal(data, &e.Failure); err != nil {
		e.Failure = Failure{Verdict: verdict.MayHaveRun, Reason: "malformed", Message: fmt.Sprintf("status %d with an unreadable body", status)}
	}
	return e
}

// Publish replaces the service's document at revision base.
func (c *Client) Publish(ctx context.Context, service string, base uint64, key string, text []byte) (Accepted, error) {
	var a Accepted
	path := fmt.Sprintf("/v1/documents/%s?base=%d", url.PathEscape(service), base)
	err := c.call(ctx, http.MethodPut, path, key, text, &a)
	return a, err
}

// Withdraw removes the service's document at revision base.
func (c *Client) Withdraw(ctx context.Context, service string, base uint64, key string) (Accepted, error) {
	var a Accepted
	path := fmt.Sprintf("/v1/documents/%s?base=%d", url.PathEscape(service), base)
	err := c.call(ctx, http.MethodDelete, path, key, nil, &a)
	return a, err
}

// Documents lists the documents in force, without their text.
func (c *Client) Documents(ctx context.Context) ([]Document, error) {
	var list []Document
	err := c.call(ctx, http.MethodGet, "/v1/documents", "", nil, &list)
	return list, err
}

// Document returns one document in force.
func (c *Client) Document(ctx context.Context, service string) (Document, error) {
	var d Document
	err := c.call(ctx, http.MethodGet, "/v1/documents/"+url.PathEscape(service), "", nil, &d)
	return d, err
}

// History returns the publications of a service as far as they are kept.
func (c *Client) History(ctx context.Context, service string) ([]roles.Publication, error) {
	var list []roles.Publication
	err := c.call(ctx, http.MethodGet, "/v1/documents/"+url.PathEscape(service)+"/history", "", nil, &list)
	return list, err
}

// InForce waits up to wait until every live daemon has offset in force.
func (c *Client) InForce(ctx context.Context, offset uint64, wait time.Duration) (InForce, error) {
	var f InForce
	path := "/v1/inforce/" + strconv.FormatUint(offset, 10) + "?wait=" + wait.String()
	err := c.call(ctx, http.MethodGet, path, "", nil, &f)
	return f, err
}

// Outcome says what became of a change by its key.
func (c *Client) Outcome(ctx context.Context, key string) (Outcome, error) {
	var o Outcome
	err := c.call(ctx, http.MethodGet, "/v1/outcomes?key="+url.QueryEscape(key), "", nil, &o)
	return o, err
}

// Submit accepts a run of a workload.
func (c *Client) Submit(ctx context.Context, s Submission) (Accepted, error) {
	var a Accepted
	body, err := json.Marshal(s)
	if err != nil {
		return a, errors.Wrap(err, "encode submission")
	}
	err = c.call(ctx, http.MethodPost, "/v1/jobs", "", body, &a)
	return a, err
}

// Cancel ends a job.
func (c *Client) Cancel(ctx context.Context, jobID string) (Accepted, error) {
	var a Accepted
	err := c.call(ctx, http.MethodDelete, "/v1/jobs?id="+url.QueryEscape(jobID), "", nil, &a)
	return a, err
}

// Status returns the state of the cell.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, "/v1/status", "", nil, &s)
	return s, err
}

// Explain explains a job's tasks.
func (c *Client) Explain(ctx context.Context, jobID string) (placer.Explanation, error) {
	var w placer.Explanation
	err := c.call(ctx, http.MethodGet, "/v1/why?id="+url.QueryEscape(jobID), "", nil, &w)
	return w, err
}

// Dump returns the state dump of the first daemon that answers.
func (c *Client) Dump(ctx context.Context) (Dump, error) {
	var d Dump
	err := c.call(ctx, http.MethodGet, "/debug/state", "", nil, &d)
	return d, err
}
