// Package workerhttp is a client of the platform's workers over HTTP with JSON
// bodies: POST http://<address>/v1/workers/<vm>/<method>. A worker responds with
// the changes since the revision that the request names, so that the size of a
// response depends on the number of changes and not on the number of tasks.
package workerhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

// maxResponseBytes is the maximum size of a response. The inventory of a full
// worker is far smaller.
const maxResponseBytes = 4 << 20

// Reasons of failed calls, in addition to those that a worker states.
const (
	ReasonConnectFailed     verdict.Reason = "worker_connect_failed"
	ReasonNoResponse        verdict.Reason = "worker_no_answer"
	ReasonResponseMalformed verdict.Reason = "worker_bad_answer"
	ReasonNotEncodable      verdict.Reason = "request_not_encodable"
)

type workers struct {
	client *http.Client
	cache  *stateCache
}

// New returns a client of workers that sends its requests with client. Timeouts
// come from the context of each call. Inventories are requested as deltas to the
// last response; callers must not modify the tasks of a returned inventory.
func New(client *http.Client) placer.Workers {
	return &workers{client: client, cache: newStateCache()}
}

func (w *workers) Inventory(ctx context.Context, vm cluster.VM) (placer.Inventory, error) {
	from := w.cache.get(vm.Name)
	var out InventoryResponse
	if err := w.call(ctx, vm, "inventory", InventoryBody{from.versionOf()}, &out); err != nil {
		return placer.Inventory{}, err
	}
	return w.applyResponse(vm, from, out, nil, 0)
}

// applyResponse derives the whole inventory from a response and caches it.
func (w *workers) applyResponse(vm cluster.VM, from *workerState, a InventoryResponse, renewed []placer.TaskRef, until placer.WorkerTime) (placer.Inventory, error) {
	next, err := from.apply(a, refSet(renewed), until)
	if err != nil {
		w.cache.drop(vm.Name, from)
		return placer.Inventory{}, err
	}
	w.cache.put(vm.Name, from, next)
	return next.inv, nil
}

func (w *workers) Start(ctx context.Context, vm cluster.VM, request placer.StartRequest) error {
	return w.call(ctx, vm, "start", request, nil)
}

func (w *workers) Renew(ctx context.Context, vm cluster.VM, request placer.RenewRequest) (placer.Inventory, error) {
	from := w.cache.get(vm.Name)
	inv, err := w.renewFrom(ctx, vm, from, request)
	if from == nil || verdict.ReasonOf(err) != ReasonUnknownRevision || verdict.Of(err) != verdict.NotRun {
		return inv, err
	}
	return w.renewFrom(ctx, vm, nil, request)
}

// renewFrom renews leases relative to a known state. If the call fails, it is
// unknown which leases were extended, so that the state is dropped and the next
// response must be a full inventory.
func (w *workers) renewFrom(ctx context.Context, vm cluster.VM, from *workerState, request placer.RenewRequest) (placer.Inventory, error) {
	var out InventoryResponse
	if err := w.call(ctx, vm, "renew", from.renewBody(request), &out); err != nil {
		w.cache.drop(vm.Name, from)
		return placer.Inventory{}, err
	}
	return w.applyResponse(vm, from, out, request.Tasks, request.LeaseUntil)
}

func (w *workers) Command(ctx context.Context, vm cluster.VM, request placer.CommandRequest) error {
	return w.call(ctx, vm, "command", request, nil)
}

// headers are sent with every call. They are shared by all requests, which the
// HTTP client does not modify: it adds its own headers to a copy.
var headers = http.Header{"Content-Type": {"application/json"}, "User-Agent": {""}}

// call sends one request. The verdict of its error is NotRun if no connection
// was made or the worker's response states so, and MayHaveRun otherwise.
func (w *workers) call(ctx context.Context, vm cluster.VM, method string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, ReasonNotEncodable)
	}
	target := url.URL{Scheme: "http", Host: vm.Address, Path: "/v1/workers/" + url.PathEscape(vm.Name) + "/" + method}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(body))
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, ReasonNotEncodable)
	}
	// Without GetBody the HTTP client cannot retry the request. A retried POST
	// could start work after its caller has given up on it.
	req.GetBody = nil
	req.Header = headers
	res, err := w.client.Do(req)
	if err != nil {
		return transportError(err)
	}
	defer res.Body.Close()
	return decode(res, out)
}

func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.Wrap(err, verdict.NotRun, ReasonConnectFailed)
	}
	return verdict.Wrap(err, verdict.MayHaveRun, ReasonNoResponse)
}

type errorResponse struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	Message string          `json:"message"`
}

func decode(res *http.Response, out any) error {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, ReasonNoResponse)
	}
	if len(data) > maxResponseBytes {
		return verdict.New(verdict.MayHaveRun, ReasonResponseMalformed, "answer is over %d bytes", maxResponseBytes)
	}
	if res.StatusCode != http.StatusOK {
		return errorFromResponse(res.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, ReasonResponseMalformed)
	}
	return nil
}

// errorFromResponse returns the error that a worker's response states. A response
// without a reason leaves unknown whether the call had an effect.
func errorFromResponse(status int, data []byte) error {
	var p errorResponse
	if err := json.Unmarshal(data, &p); err != nil || p.Reason == "" {
		return verdict.New(verdict.MayHaveRun, ReasonResponseMalformed, "status %d", status)
	}
	return verdict.New(p.Verdict, p.Reason, "%s", p.Message)
}
