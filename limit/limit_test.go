package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/limit"
)

var start = time.Unix(0, 0)

func check(scope limit.Scope, name string, perSecond float64, burst int) limit.Check {
	return limit.Check{Key: limit.Key{Scope: scope, Name: name}, Rate: limit.Rate{PerSecond: perSecond, Burst: burst}}
}

func TestRateLimiter_Allow(t *testing.T) {
	caller := check(limit.ScopeCaller, "a", 10, 2)
	team := check(limit.ScopeTeam, "t", 1, 1)
	free := check(limit.ScopeService, "s", 0, 0)
	cases := []struct {
		name   string
		checks []limit.Check
		after  time.Duration
		ok     bool
		retry  time.Duration
	}{
		{"burst", []limit.Check{caller}, 0, true, 0},
		{"all or none, longest wait", []limit.Check{caller, team}, 0, true, 0},
		{"team has no token", []limit.Check{caller, team}, 100 * time.Millisecond, false, 900 * time.Millisecond},
		{"refusal took no caller token", []limit.Check{caller}, 100 * time.Millisecond, true, 0},
		{"caller has no token", []limit.Check{caller}, 100 * time.Millisecond, false, 100 * time.Millisecond},
		{"no limit", []limit.Check{free}, 100 * time.Millisecond, true, 0},
	}
	rates := limit.NewRateLimiter(0)
	for _, c := range cases {
		retry, ok := rates.Allow(start.Add(c.after), c.checks...)
		if ok != c.ok || retry.Round(time.Millisecond) != c.retry {
			t.Errorf("%s: got %v, %v, want %v, %v", c.name, ok, retry, c.ok, c.retry)
		}
	}
}

func TestRateLimiter_NewRateAppliesAtOnce(t *testing.T) {
	rates := limit.NewRateLimiter(0)
	slow := check(limit.ScopeCaller, "a", 0.001, 1)
	rates.Allow(start, slow)
	fast := check(limit.ScopeCaller, "a", 1000, 1)
	if _, ok := rates.Allow(start.Add(time.Second), fast); ok {
		t.Error("time before the change was counted at the new rate")
	}
	if _, ok := rates.Allow(start.Add(time.Second+time.Millisecond), fast); !ok {
		t.Error("the new rate was not applied")
	}
}

func TestRateLimiter_EvictsLeastRecentlyUsed(t *testing.T) {
	rates := limit.NewRateLimiter(2)
	for i := range 3 {
		rates.Allow(start, check(limit.ScopeCaller, fmt.Sprint(i), 0.001, 1))
	}
	for _, c := range []struct {
		caller int
		want   bool
	}{{2, false}, {1, false}, {0, true}} {
		if _, ok := rates.Allow(start, check(limit.ScopeCaller, fmt.Sprint(c.caller), 0.001, 1)); ok != c.want {
			t.Errorf("caller %d: got %v", c.caller, ok)
		}
	}
}

func TestRate_PerDaemon(t *testing.T) {
	part := limit.Rate{PerSecond: 90, Burst: 10}.PerDaemon(9)
	if part.PerSecond != 10 || part.Burst != 2 {
		t.Errorf("got %+v", part)
	}
}

func TestBudget_BoundsExtraAttempts(t *testing.T) {
	b := limit.NewBudget(0.1, 5)
	spent := 0
	for range 1000 {
		b.RecordAttempt()
		for b.TrySpend() {
			spent++
		}
	}
	if spent > 5+100 {
		t.Errorf("%d extra attempts for 1000 first attempts, want at most 105", spent)
	}
	if spent < 99 {
		t.Errorf("%d extra attempts for 1000 first attempts, want at least 99", spent)
	}
}

func TestConcurrency_AdaptsToServer(t *testing.T) {
	c := limit.NewConcurrency(8)
	// observe records n requests on a server that can run real requests at once.
	observe := func(n int, real float64) {
		for range n {
			running := c.Limit()
			c.Observe(max(1, float64(running)/real), running)
		}
	}
	observe(100, 8)
	if c.Limit() != 8 {
		t.Fatalf("limit %d for a server that runs as expected, want 8", c.Limit())
	}
	observe(2000, 2)
	if c.Limit() > 4 {
		t.Errorf("limit %d for a server that can run two requests at once, want at most 4", c.Limit())
	}
	observe(500, 8)
	if c.Limit() != 8 {
		t.Errorf("limit %d after the server recovered, want 8", c.Limit())
	}
	for range 1000 {
		c.Observe(100, c.Limit())
	}
	if c.Limit() != 1 {
		t.Errorf("limit %d for a very slow server, want 1", c.Limit())
	}
}
