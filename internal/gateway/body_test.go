package gateway_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/internal/intake"
	"github.com/currantwinch/currantwinch/verdict"
)

// holdBodies takes all of a budget for small bodies that have come whole.
func holdBodies(t *testing.T, b *intake.Budget) (release func()) {
	const size = 16 << 10
	var all []*intake.Entry
	for b.Usage().Held+size <= b.Usage().Limit {
		e := b.Begin(intake.Client{}, size, func() {})
		if err := e.Arrived(); err != nil || !e.Try(size) {
			t.Fatalf("%d bytes held: %v", b.Usage().Held, err)
		}
		all = append(all, e)
	}
	return func() {
		for _, e := range all {
			e.End()
		}
	}
}

// A call that finds no memory for its body is refused before anything runs. If its key may have
// been sent before, the refusal must not say "not run", or the caller would take a new key for
// work that an earlier call has done.
func TestBody_RefusalWithoutMemoryIsTrueOfEarlierCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, rigOptions{daemons: 1, backends: 3, slots: 2, runTime: runFor(10 * time.Millisecond)})
		defer r.close()
		waitForBackends()
		key := r.daemons[0].issueKey()
		release := holdBodies(t, r.bodies.Budget)
		for _, c := range []struct {
			name   string
			header []string
			want   verdict.Verdict
		}{
			{"no key", nil, verdict.NotRun},
			{"first call with its key", []string{gateway.HeaderKey, key, gateway.HeaderAttempt, "1"}, verdict.NotRun},
			{"key that may have been sent", []string{gateway.HeaderKey, key}, verdict.MayHaveRun},
		} {
			p := r.daemons[0].send(t.Context(), "peek", "x", c.header...)
			if p.status != http.StatusServiceUnavailable || p.header.Get(gateway.HeaderVerdict) != c.want.String() || p.header.Get("Retry-After") == "" {
				t.Errorf("%s: status %d, %v, want 503, %s and a Retry-After", c.name, p.status, p.header, c.want)
			}
		}
		if n := len(r.runs()); n != 0 {
			t.Errorf("%d runs, want none", n)
		}
		release()
		if p := r.daemons[0].send(t.Context(), "peek", "x"); p.status != http.StatusOK {
			t.Errorf("status %d once there is memory, want 200", p.status)
		}
	})
}

// A caller whose call a stopping daemon refuses must open its next connection, which goes to
// another daemon, whether its request has a body or not.
func TestBody_StoppingDaemonClosesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, rigOptions{daemons: 1, backends: 3, slots: 2, runTime: runFor(10 * time.Millisecond)})
		defer r.close()
		waitForBackends()
		if err := r.daemons[0].Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		for _, body := range []string{"", "x"} {
			p := r.daemons[0].send(t.Context(), "peek", body)
			if p.status != http.StatusServiceUnavailable || p.header.Get("Connection") != "close" || p.header.Get("Retry-After") == "" {
				t.Errorf("body %q: status %d, %v, want 503, a closed connection and a Retry-After", body, p.status, p.header)
			}
		}
	})
}
