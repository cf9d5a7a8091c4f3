// Package backendhttp sends requests to backend servers over HTTP. The verdict
// of an error states whether any byte of the request may have reached the
// server, so that callers know whether a retry can run the request twice.
package backendhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/internal/intake"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

// Headers of the protocol with backend servers.
const (
	HeaderRequestID = "Request-Id"
	HeaderCaller    = "Caller"
	HeaderKey       = "Idempotency-Key"
	// HeaderTimeout is the remaining time for the response, in milliseconds.
	HeaderTimeout = "Request-Timeout"
	HeaderVerdict = "Currantwinch-Verdict"
	HeaderLeaving = "Leaving"
)

const (
	// idleDivisor sets the maximum number of idle connections: the maximum number
	// of connections divided by this.
	idleDivisor      = 3
	idleTimeout      = 30 * time.Second
	maxHeaderBytes   = 16 << 10
	maxStatusBytes   = 4 << 10
	defaultMaxAnswer = 1 << 20
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Option changes a Client.
type Option func(*Client)

// WithClock sets the clock that SendBefore and Deadline are compared with.
func WithClock(now func() time.Time) Option { return func(c *Client) { c.now = now } }

// WithAnswerBudget bounds the bodies of all responses together, from their first byte until the
// gateway releases them.
func WithAnswerBudget(b *intake.Budget) Option { return func(c *Client) { c.answers = b } }

// Client implements gateway.Backends.
type Client struct {
	dial     DialFunc
	maxConns int
	now      func() time.Time
	answers  *intake.Budget

	mu         sync.Mutex
	transports map[string]*http.Transport
}

// New returns a client that opens at most maxConnsPerBackend connections to
// one backend server, and keeps at most a third of them when they are idle. With
// the limit that dispatch.MaxConnections gives for a daemon that holds all
// slots, the connections of all daemons together stay within what a backend
// server accepts.
func New(dial func(ctx context.Context, network, addr string) (net.Conn, error), maxConnsPerBackend int, options ...Option) *Client {
	c := &Client{dial: dial, maxConns: maxConnsPerBackend, now: time.Now, answers: intake.NewBudget(math.MaxInt64, time.Now), transports: make(map[string]*http.Transport)}
	for _, o := range options {
		o(c)
	}
	return c
}

var _ gateway.Backends = (*Client)(nil)

func (c *Client) transport(address string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.transports[address]
	if !ok {
		t = &http.Transport{
			DialContext:            c.dialTracked,
			MaxConnsPerHost:        c.maxConns,
			MaxIdleConnsPerHost:    c.maxIdle(),
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		}
		c.transports[address] = t
	}
	return t
}

func (c *Client) dialTracked(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn, now: c.now}, nil
}

// maxIdle returns the maximum number of idle connections to one backend server.
func (c *Client) maxIdle() int { return max(1, c.maxConns/idleDivisor) }

// CloseIdle closes the idle connections to a backend server and removes its
// transport.
func (c *Client) CloseIdle(vm cluster.VM) {
	c.mu.Lock()
	t, ok := c.transports[vm.Address]
	delete(c.transports, vm.Address)
	c.mu.Unlock()
	if ok {
		t.CloseIdleConnections()
	}
}

// Send sends one request and reads the whole response. The verdict of its error
// is NotRun only if no byte of the request was written to a connection, or if
// the backend server states that it did not run the request.
func (c *Client) Send(ctx context.Context, vm cluster.VM, request gateway.Request) (gateway.Response, error) {
	left := request.Deadline.Sub(c.now())
	if left <= 0 {
		return gateway.Response{}, verdict.New(verdict.NotRun, gateway.ReasonDeadlineExceeded, "no time left to send")
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	response, track, err := c.roundTrip(ctx, vm, request)
	if err != nil {
		return gateway.Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := c.readResponse(vm, response, request, track)
	if err != nil {
		// Unread bytes of this response may remain on the connection, so it must
		// not be reused.
		track.closeConn()
		return gateway.Response{}, err
	}
	return answer, declined(response, answer)
}

// roundTrip sends the request and retries on stale connections: an idle
// connection may turn out closed before the first byte is written to it. The
// number of retries is limited to the number of idle connections, maxIdle.
func (c *Client) roundTrip(ctx context.Context, vm cluster.VM, request gateway.Request) (*http.Response, *sendTracker, error) {
	for stale := 0; ; stale++ {
		track := &sendTracker{before: request.SendBefore}
		left := request.Deadline.Sub(c.now())
		response, err := c.transport(vm.Address).RoundTrip(newRequest(track.trace(ctx), vm, request, left))
		if err == nil {
			return response, track, nil
		}
		err = track.fail(err)
		if stale >= c.maxIdle() || !track.reused || verdict.ReasonOf(err) != gateway.ReasonBackendUnreachable {
			return nil, nil, err
		}
	}
}

// newRequest builds the HTTP request. Its body cannot be rewound by net/http,
// which therefore never retries the request by itself.
func newRequest(ctx context.Context, vm cluster.VM, request gateway.Request, left time.Duration) *http.Request {
	path := "/v1/run/" + url.PathEscape(request.Service) + "/" + url.PathEscape(request.Kind)
	r := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: vm.Address, Path: "/v1/run/" + request.Service + "/" + request.Kind, RawPath: path},
		Host:          vm.Address,
		Header:        make(http.Header, 5),
		ContentLength: int64(len(request.Body)),
		Body:          &onceBody{Reader: bytes.NewReader(request.Body)},
	}
	timeout := strconv.FormatInt(max(1, left.Milliseconds()), 10)
	names := [...]string{HeaderRequestID, HeaderCaller, HeaderKey, HeaderTimeout, "Content-Type"}
	values := [...]string{request.ID, request.Caller, request.Key, timeout, request.ContentType}
	for i, name := range names {
		if values[i] != "" {
			r.Header[name] = values[i : i+1 : i+1]
		}
	}
	return r.WithContext(ctx)
}

type onceBody struct{ *bytes.Reader }

func (*onceBody) Close() error { return nil }

// readResponse reads the whole response. The request has already been written, so
// that the verdict of every error is MayHaveRun.
func (c *Client) readResponse(vm cluster.VM, response *http.Response, request gateway.Request, track *sendTracker) (gateway.Response, error) {
	id := response.Header.Get(HeaderRequestID)
	if id != request.ID {
		return gateway.Response{}, verdict.New(verdict.MayHaveRun, gateway.ReasonResponseMismatched, "answer carries request ID %q, want %q", id, request.ID)
	}
	limit := request.MaxResponseBytes
	if limit <= 0 {
		limit = defaultMaxAnswer
	}
	if response.ContentLength > limit {
		return gateway.Response{}, oversized(limit)
	}
	memory := c.answers.Begin(intake.Client{Group: request.Service, Address: vm.Address}, response.ContentLength, track.closeConn)
	body, err := memory.ReadAll(response.Body, response.ContentLength, limit, func(time.Duration) {})
	if err == nil {
		err = memory.Arrived()
	}
	if err != nil {
		memory.End()
		return gateway.Response{}, unreadable(err, limit)
	}
	return gateway.Response{
		ID: id, Status: response.StatusCode, Body: body,
		ContentType: response.Header.Get("Content-Type"),
		Leaving:     response.Header.Get(HeaderLeaving) == "true",
		Memory:      memory,
	}, nil
}

// unreadable returns the error of a response that could not be read.
func unreadable(err error, limit int64) error {
	var refusal *intake.Refusal
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return oversized(limit)
	case errors.As(err, &refusal), errors.Is(err, intake.ErrOverBudget):
		return verdict.Wrap(err, verdict.MayHaveRun, gateway.ReasonResponseMemory)
	}
	return verdict.Wrap(err, verdict.MayHaveRun, gateway.ReasonResponseTruncated)
}

func oversized(limit int64) error {
	return verdict.New(verdict.MayHaveRun, gateway.ReasonResponseOversized, "answer is over the %d bytes allowed", limit)
}

// declined returns an error if the backend server states that it did not run
// the request.
func declined(response *http.Response, answer gateway.Response) error {
	if response.Header.Get(HeaderVerdict) != verdict.NotRun.String() {
		return nil
	}
	reason := gateway.ReasonBackendDeclined
	if answer.Leaving {
		reason = gateway.ReasonBackendLeaving
	}
	return verdict.New(verdict.NotRun, reason, "backend server answered %d, not run", answer.Status)
}

// Status requests the status of a backend server. The verdict of its errors is
// always NotRun, since a status request runs no work.
func (c *Client) Status(ctx context.Context, vm cluster.VM) (gateway.BackendStatus, error) {
	var status gateway.BackendStatus
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Address+"/v1/status", nil)
	if err != nil {
		return status, verdict.Wrap(err, verdict.NotRun, gateway.ReasonBackendUnreachable)
	}
	response, err := c.transport(vm.Address).RoundTrip(r.WithContext(new(sendTracker).trace(ctx)))
	if err != nil {
		return status, verdict.Wrap(err, verdict.NotRun, gateway.ReasonBackendUnreachable)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return status, verdict.New(verdict.NotRun, gateway.ReasonResponseMalformed, "status answered %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status)
	return status, verdict.Wrap(err, verdict.NotRun, gateway.ReasonResponseMalformed)
}

// trace returns a context that attaches s to the connection that the request is
// given.
func (s *sendTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*trackedConn); ok {
				s.reused = info.Reused
				conn.attach(s)
			}
		},
	})
}
