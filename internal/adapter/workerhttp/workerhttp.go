// Package workerhttp drives the platform's workers over HTTP with JSON
// bodies: POST http://<address>/v1/workers/<vm>/<method>. A worker answers with
// what has changed since the revision that the request names, so that bytes
// follow change and not size.
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

// maxAnswerBytes bounds one answer; an inventory of a full worker is far
// smaller.
const maxAnswerBytes = 4 << 20

// Reasons of failed calls, beside those that a worker states.
const (
	ReasonConnectFailed     verdict.Reason = "worker_connect_failed"
	ReasonNoResponse        verdict.Reason = "worker_no_answer"
	ReasonResponseMalformed verdict.Reason = "worker_bad_answer"
	ReasonNotEncodable      verdict.Reason = "request_not_encodable"
)

type workers struct {
	client *http.Client
	states *states
}

// New returns workers that are called by client. Time limits come from each
// call's context. Inventories are read as differences to the last answer; the
// tasks of a returned one must not be changed.
func New(client *http.Client) placer.Workers {
	return &workers{client: client, states: newStates()}
}

func (w *workers) Inventory(ctx context.Context, vm cluster.VM) (placer.Inventory, error) {
	from := w.states.get(vm.Name)
	var out InventoryResponse
	if err := w.call(ctx, vm, "inventory", InventoryBody{from.knownOf()}, &out); err != nil {
		return placer.Inventory{}, err
	}
	return w.take(vm, from, out, nil, 0)
}

// take builds the whole inventory from an answer and keeps it.
func (w *workers) take(vm cluster.VM, from *held, a InventoryResponse, renewed []placer.TaskRef, until placer.WorkerTime) (placer.Inventory, error) {
	next, err := from.next(a, refSet(renewed), until)
	if err != nil {
		w.states.drop(vm.Name, from)
		return placer.Inventory{}, err
	}
	w.states.put(vm.Name, from, next)
	return next.inv, nil
}

func (w *workers) Start(ctx context.Context, vm cluster.VM, request placer.StartRequest) error {
	return w.call(ctx, vm, "start", request, nil)
}

func (w *workers) Renew(ctx context.Context, vm cluster.VM, request placer.RenewRequest) (placer.Inventory, error) {
	from := w.states.get(vm.Name)
	inv, err := w.renewFrom(ctx, vm, from, request)
	if from == nil || verdict.ReasonOf(err) != ReasonUnknownRevision || verdict.Of(err) != verdict.NotRun {
		return inv, err
	}
	return w.renewFrom(ctx, vm, nil, request)
}

// renewFrom renews relative to a state. After an answer that was lost, which
// leases hold is not known, so that the next answer must be in full.
func (w *workers) renewFrom(ctx context.Context, vm cluster.VM, from *held, request placer.RenewRequest) (placer.Inventory, error) {
	var out InventoryResponse
	if err := w.call(ctx, vm, "renew", from.renewal(request), &out); err != nil {
		w.states.drop(vm.Name, from)
		return placer.Inventory{}, err
	}
	return w.take(vm, from, out, request.Tasks, request.LeaseUntil)
}

func (w *workers) Command(ctx context.Context, vm cluster.VM, request placer.CommandRequest) error {
	return w.call(ctx, vm, "command", request, nil)
}

// headers are sent with every call; the client adds to a copy of them.
var headers = http.Header{"Content-Type": {"application/json"}, "User-Agent": {""}}

// call sends one request. The error's verdict is NotRun where no connection
// was made or the worker says so itself, and MayHaveRun otherwise.
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
	// A replayed POST could start work after its caller gave up on it.
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

type problem struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	Message string          `json:"message"`
}

func decode(res *http.Response, out any) error {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, ReasonNoResponse)
	}
	if len(data) > maxAnswerBytes {
		return verdict.New(verdict.MayHaveRun, ReasonResponseMalformed, "answer is over %d bytes", maxAnswerBytes)
	}
	if res.StatusCode != http.StatusOK {
		return stated(res.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, ReasonResponseMalformed)
	}
	return nil
}

// stated turns a worker's own words into an error.
func stated(status int, data []byte) error {
	var p problem
	if err := json.Unmarshal(data, &p); err != nil || p.Reason == "" {
		return verdict.New(verdict.MayHaveRun, ReasonResponseMalformed, "status %d", status)
	}
	return verdict.New(p.Verdict, p.Reason, "%s", p.Message)
}
