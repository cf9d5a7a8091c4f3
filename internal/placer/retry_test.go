package placer

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/chart"
)

// TestRetryDelay_IsPositiveAfterTheFirstRetry guards against retries that loop
// without time passing.
func TestRetryDelay_IsPositiveAfterTheFirstRetry(t *testing.T) {
	last := time.Duration(0)
	for retries := 2; retries < 100; retries++ {
		p := retryDelay(retries)
		if p <= 0 || p < last || p > maxRetryDelay {
			t.Fatalf("delay after %d retries is %v, after one less %v", retries, p, last)
		}
		last = p
	}
}

func TestTerm_Before(t *testing.T) {
	order := []term{{}, {1, 1}, {1, 3}, {2, 1}, {3, 2}}
	for i, a := range order {
		for k, b := range order {
			if a.before(b) != (i < k) {
				t.Errorf("%v before %v is %v", a, b, a.before(b))
			}
		}
	}
}

func TestTask_Stale(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		state    chart.State
		accepted bool
		age      time.Duration
		want     bool
	}{
		{taskStarting, true, transientStaleAfter, true},
		{taskStarting, true, transientStaleAfter - 1, false},
		{taskStarting, false, time.Hour, false},
		{taskStopping, true, transientStaleAfter, true},
		{taskRunning, true, steadyStaleAfter - 1, false},
		{taskRunning, true, steadyStaleAfter, true},
		{taskUnknown, true, steadyStaleAfter, true},
		{taskWaiting, true, time.Hour, false},
	} {
		checked := &task{state: c.state, accepted: c.accepted, lastConfirmed: now.Add(-c.age)}
		if got := checked.stale(now); got != c.want {
			t.Errorf("%+v: stale is %v", c, got)
		}
	}
}
