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

// maxResponseBytes limits how much of one response the client reads.
const maxResponseBytes = 64 << 20

// Client calls the operators' API of the first of several daemons that responds.
type Client struct {
	// Addresses are the operator addresses of the daemons, tried in order.
	Addresses []string
	// Scheme is "http" or "https".
	Scheme     string
	Credential string
	HTTP       *http.Client
}

// Error is a failure response of a daemon, or a transport failure.
type Error struct {
	Failure
	// Status is the HTTP status, or 0 if there was no complete response.
	Status int
}

// Error returns the message of the failure.
func (e *Error) Error() string { return e.Message }

// call sends one request. It tries the next address if no daemon handled the
// request or it was answered with status 503, but a change only if it certainly
// was not carried out.
func (c *Client) call(ctx context.Context, method, path, key string, body []byte, result any) error {
	last := &Error{Failure: Failure{Verdict: verdict.NotRun, Reason: "no_address", Message: "no daemon address is given"}}
	for _, address := range c.Addresses {
		err := c.callAddress(ctx, address, method, path, key, body, result)
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

func (c *Client) callAddress(ctx context.Context, address, method, path, key string, body []byte, result any) *Error {
	var mayBeSent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { mayBeSent.Store(true) }, GotConn: func(httptrace.GotConnInfo) { mayBeSent.Store(true) }}
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
		return transportError(err, verdictIfSent(mayBeSent.Load() && !certs.IsCertificateRejection(err)), key)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return transportError(err, verdict.MayHaveRun, key)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeFailure(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return transportError(err, verdict.MayHaveRun, key)
	}
	return nil
}

func verdictIfSent(mayBeSent bool) verdict.Verdict {
	if mayBeSent {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

func transportError(err error, v verdict.Verdict, key string) *Error {
	return &Error{Failure: Failure{Verdict: v, Reason: "transport", Message: err.Error(), Key: key}}
}

func decodeFailure(status int, data []byte) *Error {
	e := &Error{Status: status}
	if err := json.Unmarshal(data, &e.Failure); err != nil {
		e.Failure = Failure{Verdict: verdict.MayHaveRun, Reason: "malformed", Message: fmt.Sprintf("status %d with an unreadable body", status)}
	}
	return e
}

// Publish replaces the document of a service, whose current revision must be base;
// base is 0 for a new service. key is the idempotency key.
func (c *Client) Publish(ctx context.Context, service string, base uint64, key string, text []byte) (Accepted, error) {
	var a Accepted
	path := fmt.Sprintf("/v1/documents/%s?base=%d", url.PathEscape(service), base)
	err := c.call(ctx, http.MethodPut, path, key, text, &a)
	return a, err
}

// Withdraw removes the document of a service, whose current revision must be base.
// key is the idempotency key.
func (c *Client) Withdraw(ctx context.Context, service string, base uint64, key string) (Accepted, error) {
	var a Accepted
	path := fmt.Sprintf("/v1/documents/%s?base=%d", url.PathEscape(service), base)
	err := c.call(ctx, http.MethodDelete, path, key, nil, &a)
	return a, err
}

// Documents returns the documents in force, without their text.
func (c *Client) Documents(ctx context.Context) ([]Document, error) {
	var list []Document
	err := c.call(ctx, http.MethodGet, "/v1/documents", "", nil, &list)
	return list, err
}

// Document returns the document in force of a service, with its text.
func (c *Client) Document(ctx context.Context, service string) (Document, error) {
	var d Document
	err := c.call(ctx, http.MethodGet, "/v1/documents/"+url.PathEscape(service), "", nil, &d)
	return d, err
}

// History returns the retained publications of a service.
func (c *Client) History(ctx context.Context, service string) ([]roles.Publication, error) {
	var list []roles.Publication
	err := c.call(ctx, http.MethodGet, "/v1/documents/"+url.PathEscape(service)+"/history", "", nil, &list)
	return list, err
}

// InForce waits until every live daemon has offset in force, for at most wait, and
// returns the progress of each daemon.
func (c *Client) InForce(ctx context.Context, offset uint64, wait time.Duration) (InForce, error) {
	var f InForce
	path := "/v1/inforce/" + strconv.FormatUint(offset, 10) + "?wait=" + wait.String()
	err := c.call(ctx, http.MethodGet, path, "", nil, &f)
	return f, err
}

// Outcome returns the outcome of the change with the given idempotency key.
func (c *Client) Outcome(ctx context.Context, key string) (Outcome, error) {
	var o Outcome
	err := c.call(ctx, http.MethodGet, "/v1/outcomes?key="+url.QueryEscape(key), "", nil, &o)
	return o, err
}

// Submit submits a job that runs a workload.
func (c *Client) Submit(ctx context.Context, s Submission) (Accepted, error) {
	var a Accepted
	body, err := json.Marshal(s)
	if err != nil {
		return a, errors.Wrap(err, "encode submission")
	}
	err = c.call(ctx, http.MethodPost, "/v1/jobs", "", body, &a)
	return a, err
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, jobID string) (Accepted, error) {
	var a Accepted
	err := c.call(ctx, http.MethodDelete, "/v1/jobs?id="+url.QueryEscape(jobID), "", nil, &a)
	return a, err
}

// Status returns the status of the cell.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, "/v1/status", "", nil, &s)
	return s, err
}

// Explain returns the states of a job's tasks and the reasons for them.
func (c *Client) Explain(ctx context.Context, jobID string) (placer.Explanation, error) {
	var w placer.Explanation
	err := c.call(ctx, http.MethodGet, "/v1/why?id="+url.QueryEscape(jobID), "", nil, &w)
	return w, err
}

// Dump returns the state dump of the first daemon that responds.
func (c *Client) Dump(ctx context.Context) (Dump, error) {
	var d Dump
	err := c.call(ctx, http.MethodGet, "/debug/state", "", nil, &d)
	return d, err
}
