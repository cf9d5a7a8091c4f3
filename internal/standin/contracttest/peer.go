package contracttest

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/internal/standin/peerstandin"
	"github.com/currantwinch/currantwinch/verdict"
)

// PeerCaller is the client side of roles.Peers.
type PeerCaller interface {
	Call(ctx context.Context, daemon, method string, params, result any) error
}

// PeerPlatform is a peer daemon named "b" and the client under test that
// reaches it.
type PeerPlatform struct {
	Peers  PeerCaller
	Daemon *peerstandin.Daemon
	// Refuse makes the daemon refuse all later connections.
	Refuse func()
	// Close releases the daemon and its connections.
	Close func()
}

// peerTimeout is the deadline of each call in the suite.
const peerTimeout = time.Second

// peerCase is one outcome of a call.
type peerCase struct {
	name    string
	fault   peerstandin.Fault
	change  func(p PeerPlatform)
	verdict verdict.Verdict
	runs    int
	// waits is set if only the caller's deadline ends the call.
	waits bool
}

func peerCases() []peerCase {
	return []peerCase{
		{name: "complete response", verdict: verdict.Ran, runs: 1},
		{name: "refused", verdict: verdict.NotRun, change: func(p PeerPlatform) { p.Refuse() }},
		{name: "declined", fault: peerstandin.FaultDecline, verdict: verdict.NotRun},
		{name: "slow past the deadline", fault: peerstandin.FaultSlow, verdict: verdict.MayHaveRun, runs: 1, waits: true},
		{name: "hung", fault: peerstandin.FaultHang, verdict: verdict.MayHaveRun, waits: true},
		{name: "reset before the effect", fault: peerstandin.FaultResetBefore, verdict: verdict.MayHaveRun},
		{name: "reset during the effect", fault: peerstandin.FaultResetDuring, verdict: verdict.MayHaveRun, runs: 1},
		{name: "reset after the effect", fault: peerstandin.FaultResetAfter, verdict: verdict.MayHaveRun, runs: 1},
		{name: "response lost after the effect", fault: peerstandin.FaultResponseLost, verdict: verdict.MayHaveRun, runs: 1, waits: true},
		{name: "duplicate", fault: peerstandin.FaultDuplicate, verdict: verdict.Ran, runs: 1},
		{name: "truncated", fault: peerstandin.FaultTruncated, verdict: verdict.MayHaveRun, runs: 1},
		{name: "malformed", fault: peerstandin.FaultMalformed, verdict: verdict.MayHaveRun, runs: 1},
		{name: "mistyped", fault: peerstandin.FaultMistyped, verdict: verdict.MayHaveRun, runs: 1},
		{name: "oversized", fault: peerstandin.FaultOversized, verdict: verdict.MayHaveRun, runs: 1},
		{name: "unasked", fault: peerstandin.FaultUnsolicited, verdict: verdict.Ran, runs: 1},
	}
}

// Peers checks a client of the protocol between daemons against a stand-in that
// newPlatform connects. It runs in the virtual time of testing/synctest.
func Peers(t *testing.T, newPlatform func(t *testing.T, d *peerstandin.Daemon) PeerPlatform) {
	for _, c := range peerCases() {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { peerOnce(t, c, newPlatform) })
		})
	}
	t.Run("no fault affects a later call", func(t *testing.T) {
		for _, first := range peerstandin.Faults() {
			for _, second := range peerstandin.Faults() {
				synctest.Test(t, func(t *testing.T) {
					peerSequence(t, []peerstandin.Fault{first, second, peerstandin.FaultNone}, newPlatform)
				})
			}
		}
	})
	t.Run("concurrent calls with reordered responses", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { peerReordered(t, newPlatform) })
	})
	t.Run("params that cannot be encoded as JSON", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := newPlatform(t, &peerstandin.Daemon{})
			defer p.Close()
			if err := p.Peers.Call(t.Context(), "b", "m", func() {}, nil); verdict.Of(err) != verdict.NotRun {
				t.Errorf("got %v, want not run", err)
			}
		})
	})
}

func peerCall(t *testing.T, p PeerPlatform, method string) (answer string, err error) {
	ctx, cancel := context.WithTimeout(t.Context(), peerTimeout)
	defer cancel()
	err = p.Peers.Call(ctx, "b", method, "params of "+method, &answer)
	return answer, err
}

func peerOnce(t *testing.T, c peerCase, newPlatform func(*testing.T, *peerstandin.Daemon) PeerPlatform) {
	d := &peerstandin.Daemon{Fault: func(string) peerstandin.Fault { return c.fault }}
	p := newPlatform(t, d)
	defer p.Close()
	if c.change != nil {
		c.change(p)
	}
	began := time.Now()
	answer, err := peerCall(t, p, "1")
	if took := time.Since(began); took > peerTimeout || !c.waits && took > peerTimeout/2 {
		t.Errorf("call took %v", took)
	}
	if got := verdict.Of(err); got != c.verdict {
		t.Errorf("got verdict %v (%v), want %v", got, err, c.verdict)
	}
	if c.fault == peerstandin.FaultDecline && verdict.ReasonOf(err) != peerstandin.ReasonDeclined {
		t.Errorf("got reason %v", verdict.ReasonOf(err))
	}
	if err == nil && answer != "params of 1" {
		t.Errorf("got %q", answer)
	}
	time.Sleep(peerstandin.SlowDelay)
	if n := d.Runs(); n != c.runs {
		t.Errorf("%d runs, want %d", n, c.runs)
	}
}

// peerSequence makes calls one after the other, each with its own fault. It
// checks that no fault affects a later call and that no call runs twice.
func peerSequence(t *testing.T, faults []peerstandin.Fault, newPlatform func(*testing.T, *peerstandin.Daemon) PeerPlatform) {
	byMethod := make(map[string]peerstandin.Fault)
	for i, f := range faults {
		byMethod[fmt.Sprint(i)] = f
	}
	d := &peerstandin.Daemon{Fault: func(method string) peerstandin.Fault { return byMethod[method] }}
	p := newPlatform(t, d)
	defer p.Close()
	for i, f := range faults {
		method := fmt.Sprint(i)
		answer, err := peerCall(t, p, method)
		if err == nil && answer != "params of "+method {
			t.Errorf("%v: call %d got %q", faults, i, answer)
		}
		if f == peerstandin.FaultNone && err != nil {
			t.Errorf("%v: call %d: %v", faults, i, err)
		}
		if n := d.Runs(); n > i+1 {
			t.Errorf("%v: %d runs of %d calls", faults, n, i+1)
		}
		time.Sleep(peerstandin.SlowDelay)
	}
}

func peerReordered(t *testing.T, newPlatform func(*testing.T, *peerstandin.Daemon) PeerPlatform) {
	d := &peerstandin.Daemon{Fault: func(method string) peerstandin.Fault {
		if method == "0" {
			return peerstandin.FaultReordered
		}
		return peerstandin.FaultNone
	}}
	p := newPlatform(t, d)
	defer p.Close()
	type result struct{ method, answer string }
	results := make(chan result, 2)
	for _, method := range []string{"0", "1"} {
		go func() {
			answer, err := peerCall(t, p, method)
			if err != nil {
				t.Errorf("call %s: %v", method, err)
			}
			results <- result{method, answer}
		}()
		time.Sleep(peerTimeout / 10)
	}
	for range 2 {
		if r := <-results; r.answer != "params of "+r.method {
			t.Errorf("call %s got %q", r.method, r.answer)
		}
	}
}
