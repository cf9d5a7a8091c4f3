package contracttest

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/internal/standin/backendstandin"
	"github.com/currantwinch/currantwinch/verdict"
)

// BackendPlatform is a backend server under test and the client that reaches it.
type BackendPlatform struct {
	Backends gateway.Backends
	VM       cluster.VM
	Server   *backendstandin.Server
	// Refuse makes the server refuse all later connections.
	Refuse func()
	// Close releases the server and its connections.
	Close func()
}

// backendRunTime is the run time of each request in the suite.
const backendRunTime = 20 * time.Millisecond

// backendCase is one outcome of a request.
type backendCase struct {
	name   string
	fault  backendstandin.Fault
	change func(p BackendPlatform, r *gateway.Request)
	// verdict is the expected verdict of Send; Ran also requires the complete
	// response.
	verdict  verdict.Verdict
	status   int
	runs     int
	arrivals int
}

func backendCases() []backendCase {
	return []backendCase{
		{name: "complete response", verdict: verdict.Ran, status: 200, runs: 1, arrivals: 1},
		{name: "application error", fault: backendstandin.FaultError, verdict: verdict.Ran, status: 500, runs: 1, arrivals: 1},
		{name: "duplicate response", fault: backendstandin.FaultDuplicate, verdict: verdict.Ran, status: 200, runs: 1, arrivals: 1},
		{name: "hang", fault: backendstandin.FaultHang, verdict: verdict.MayHaveRun, arrivals: 1},
		{name: "slow past the deadline", fault: backendstandin.FaultSlow, verdict: verdict.MayHaveRun, runs: 1, arrivals: 1},
		{name: "reset before the run", fault: backendstandin.FaultResetBefore, verdict: verdict.MayHaveRun, arrivals: 1},
		{name: "reset during the run", fault: backendstandin.FaultResetDuring, verdict: verdict.MayHaveRun, runs: 1, arrivals: 1},
		{name: "reset after the run", fault: backendstandin.FaultResetAfter, verdict: verdict.MayHaveRun, runs: 1, arrivals: 1},
		{name: "truncated", fault: backendstandin.FaultTruncated, verdict: verdict.MayHaveRun, runs: 1, arrivals: 1},
		{name: "malformed", fault: backendstandin.FaultMalformed, verdict: verdict.MayHaveRun, runs: 1, arrivals: 1},
		{name: "oversized", fault: backendstandin.FaultOversized, verdict: verdict.MayHaveRun, runs: 1, arrivals: 1},
		{name: "crossed", fault: backendstandin.FaultMismatched, verdict: verdict.MayHaveRun, runs: 1, arrivals: 1},
		{name: "declined", fault: backendstandin.FaultDecline, verdict: verdict.NotRun, arrivals: 1},
		{
			name: "refused", verdict: verdict.NotRun,
			change: func(p BackendPlatform, _ *gateway.Request) { p.Refuse() },
		},
		{
			name: "lease has ended", verdict: verdict.NotRun,
			change: func(_ BackendPlatform, r *gateway.Request) { r.SendBefore = time.Now() },
		},
		{
			name: "deadline has passed", verdict: verdict.NotRun,
			change: func(_ BackendPlatform, r *gateway.Request) { r.Deadline = time.Now() },
		},
		{
			name: "leaving", verdict: verdict.NotRun, arrivals: 1,
			change: func(p BackendPlatform, _ *gateway.Request) { p.Server.MarkLeaving(time.Now()) },
		},
	}
}

// Backends checks an implementation of gateway.Backends against a server made
// by newPlatform. It runs in the virtual time of testing/synctest.
func Backends(t *testing.T, newPlatform func(t *testing.T, o backendstandin.Options) BackendPlatform) {
	for _, c := range backendCases() {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { backendOnce(t, c, newPlatform) })
		})
	}
	t.Run("no fault affects a later request", func(t *testing.T) {
		for _, first := range backendstandin.Faults() {
			for _, second := range backendstandin.Faults() {
				synctest.Test(t, func(t *testing.T) {
					backendSequence(t, []backendstandin.Fault{first, second, backendstandin.FaultNone}, newPlatform)
				})
			}
		}
	})
	t.Run("status", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { backendStatus(t, newPlatform) })
	})
	t.Run("canceled while it runs", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { backendCanceled(t, newPlatform) })
	})
}

func backendRequest(id string) gateway.Request {
	return gateway.Request{
		ID: id, Service: "desk", Kind: "check", Caller: "ann", Key: "key " + id,
		Deadline: time.Now().Add(5 * backendRunTime), SendBefore: time.Now().Add(backendRunTime),
		ContentType: "text/plain", Body: []byte("body of " + id), MaxResponseBytes: 1 << 10,
	}
}

func backendOptions(fault func(gateway.Request) backendstandin.Fault) backendstandin.Options {
	return backendstandin.Options{
		Name: "b", Slots: 8, Fault: fault,
		RunTime: func(gateway.Request) time.Duration { return backendRunTime },
	}
}

func backendOnce(t *testing.T, c backendCase, newPlatform func(*testing.T, backendstandin.Options) BackendPlatform) {
	p := newPlatform(t, backendOptions(func(gateway.Request) backendstandin.Fault { return c.fault }))
	defer p.Close()
	r := backendRequest("1")
	if c.change != nil {
		c.change(p, &r)
	}
	answer, err := p.Backends.Send(t.Context(), p.VM, r)
	if time.Now().After(r.Deadline) {
		t.Errorf("Send returned %v after the deadline", time.Since(r.Deadline))
	}
	if got := verdict.Of(err); got != c.verdict {
		t.Errorf("got verdict %v (%v), want %v", got, err, c.verdict)
	}
	if err == nil && (answer.Status != c.status || answer.ID != r.ID || string(answer.Body) != string(r.Body)) {
		t.Errorf("got response %d %q %q, want status %d and the response to this request", answer.Status, answer.ID, answer.Body, c.status)
	}
	time.Sleep(time.Second)
	if n := len(p.Server.Runs()); n != c.runs {
		t.Errorf("got %d runs, want %d", n, c.runs)
	}
	if n := len(p.Server.ArrivalTimes()); n != c.arrivals {
		t.Errorf("request arrived %d times, want %d", n, c.arrivals)
	}
	for _, run := range p.Server.Runs() {
		if run.ID != r.ID || run.Key != r.Key || run.Caller != r.Caller || run.Service != r.Service || run.Kind != r.Kind {
			t.Errorf("server recorded %+v, want %+v", run, r)
		}
	}
}

// backendSequence sends requests one after the other, each with its own fault.
// It checks that no fault affects a later request and that no request is sent
// twice.
func backendSequence(t *testing.T, faults []backendstandin.Fault, newPlatform func(*testing.T, backendstandin.Options) BackendPlatform) {
	byID := make(map[string]backendstandin.Fault)
	for i, f := range faults {
		byID[fmt.Sprint(i)] = f
	}
	p := newPlatform(t, backendOptions(func(r gateway.Request) backendstandin.Fault { return byID[r.ID] }))
	defer p.Close()
	for i, f := range faults {
		r := backendRequest(fmt.Sprint(i))
		answer, err := p.Backends.Send(t.Context(), p.VM, r)
		if err == nil && (answer.ID != r.ID || string(answer.Body) != string(r.Body)) {
			t.Errorf("%v: request %d got the response %q %q", faults, i, answer.ID, answer.Body)
		}
		if f == backendstandin.FaultNone && verdict.Of(err) == verdict.NotRun {
			t.Errorf("%v: request %d: %v", faults, i, err)
		}
		if n := len(p.Server.ArrivalTimes()); n > i+1 {
			t.Errorf("%v: %d requests arrived %d times", faults, i+1, n)
		}
	}
}

func backendStatus(t *testing.T, newPlatform func(*testing.T, backendstandin.Options) BackendPlatform) {
	p := newPlatform(t, backendOptions(nil))
	defer p.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = p.Backends.Send(t.Context(), p.VM, backendRequest("1"))
	}()
	time.Sleep(backendRunTime / 2)
	status, err := p.Backends.Status(t.Context(), p.VM)
	if err != nil || status.Running != 1 || status.Slots != 8 || status.Leaving || len(status.RequestIDs) != 1 {
		t.Errorf("while one runs: got %+v, %v", status, err)
	}
	<-done
	p.Server.MarkLeaving(time.Now())
	status, err = p.Backends.Status(t.Context(), p.VM)
	if err != nil || status.Running != 0 || !status.Leaving {
		t.Errorf("leaving: got %+v, %v", status, err)
	}
	p.Backends.CloseIdle(p.VM)
	p.Refuse()
	if _, err := p.Backends.Status(t.Context(), p.VM); verdict.Of(err) != verdict.NotRun {
		t.Errorf("refused: got %v, want not run", err)
	}
}

func backendCanceled(t *testing.T, newPlatform func(*testing.T, backendstandin.Options) BackendPlatform) {
	p := newPlatform(t, backendOptions(nil))
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), backendRunTime/2)
	defer cancel()
	_, err := p.Backends.Send(ctx, p.VM, backendRequest("1"))
	if verdict.Of(err) != verdict.MayHaveRun {
		t.Errorf("got %v, want may have run", err)
	}
	time.Sleep(time.Second)
	if n := len(p.Server.Runs()); n != 1 {
		t.Errorf("got %d runs, want 1: cancellation must not stop the run", n)
	}
}
