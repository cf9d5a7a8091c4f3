package backendstandin

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/verdict"
)

// InProcess implements gateway.Backends by direct calls to servers in the same
// process. The keys are the names of their VMs.
type InProcess map[string]*Server

var _ gateway.Backends = InProcess(nil)

// Send runs the request on the server and returns the response, or the error
// that corresponds to the injected fault.
func (d InProcess) Send(ctx context.Context, vm cluster.VM, r gateway.Request) (gateway.Response, error) {
	s, ok := d[vm.Name]
	if !ok || s.unreachable.Load() {
		return gateway.Response{}, verdict.New(verdict.NotRun, gateway.ReasonBackendUnreachable, "no server %s", vm.Name)
	}
	if ctx.Err() != nil || !time.Now().Before(r.Deadline) {
		return gateway.Response{}, verdict.New(verdict.NotRun, gateway.ReasonDeadlineExceeded, "no time left to send")
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if !r.SendBefore.IsZero() && !time.Now().Before(r.SendBefore) {
		return gateway.Response{}, verdict.New(verdict.NotRun, gateway.ReasonLeaseExpired, "sent too late")
	}
	return s.respond(ctx, r)
}

// respond returns the response and error that the HTTP adapter would return
// for this request and its fault.
func (s *Server) respond(ctx context.Context, r gateway.Request) (gateway.Response, error) {
	response := gateway.Response{ID: r.ID, Status: 200, ContentType: r.ContentType, Body: r.Body}
	fault := s.fault(r)
	switch fault {
	case FaultHang:
		s.hang(ctx)
		return gateway.Response{}, verdict.New(verdict.MayHaveRun, gateway.ReasonNoResponse, "hung")
	case FaultResetBefore:
		return gateway.Response{}, verdict.New(verdict.MayHaveRun, gateway.ReasonConnectionBroken, "reset")
	case FaultDecline:
		return gateway.Response{Leaving: true, Status: 503}, verdict.New(verdict.NotRun, gateway.ReasonBackendLeaving, "leaving")
	}
	done := make(chan struct{})
	go func() { defer close(done); s.run(r, fault == FaultSlow) }()
	select {
	case <-done:
	case <-ctx.Done():
		return gateway.Response{}, verdict.New(verdict.MayHaveRun, gateway.ReasonNoResponse, "no answer in time")
	}
	switch fault {
	case FaultResetDuring, FaultResetAfter:
		return gateway.Response{}, verdict.New(verdict.MayHaveRun, gateway.ReasonConnectionBroken, "reset")
	case FaultTruncated:
		return gateway.Response{}, verdict.New(verdict.MayHaveRun, gateway.ReasonResponseTruncated, "truncated")
	case FaultMalformed:
		return gateway.Response{}, verdict.New(verdict.MayHaveRun, gateway.ReasonConnectionBroken, "malformed")
	case FaultOversized:
		return gateway.Response{}, verdict.New(verdict.MayHaveRun, gateway.ReasonResponseOversized, "oversized")
	case FaultMismatched:
		return gateway.Response{}, verdict.New(verdict.MayHaveRun, gateway.ReasonResponseMismatched, "crossed")
	case FaultError:
		response.Status = 500
	}
	return response, nil
}

// Status returns the server's status. It fails with verdict.NotRun if the
// server is unreachable.
func (d InProcess) Status(_ context.Context, vm cluster.VM) (gateway.BackendStatus, error) {
	s, ok := d[vm.Name]
	if !ok || s.unreachable.Load() {
		return gateway.BackendStatus{}, verdict.New(verdict.NotRun, gateway.ReasonBackendUnreachable, "no server %s", vm.Name)
	}
	return s.Status(), nil
}

// CloseIdle does nothing, because direct calls use no connections.
func (InProcess) CloseIdle(cluster.VM) {}
