package logclient_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/logclient"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestHealthSignals_Health(t *testing.T) {
	seen := logclient.HealthSignals{StartedAt: start}
	cases := []struct {
		name    string
		signals logclient.HealthSignals
		after   time.Duration
		want    logclient.Health
	}{
		{"no answer yet", seen, time.Second, logclient.HealthUnknown},
		{"no answer for a minute", seen, time.Minute, logclient.HealthDown},
		{"in time", seen.WithAnswer(start, 0), time.Second, logclient.HealthFresh},
		{"late answer", seen.WithAnswer(start, 2*time.Second), 0, logclient.HealthSlow},
		{"answer outstanding", seen.WithAnswer(start, 0), 3 * time.Second, logclient.HealthSlow},
		{"10 s late", seen.WithAnswer(start, 10*time.Second), 10 * time.Second, logclient.HealthSlow},
		{"no answer for 13 s", seen.WithAnswer(start, 0), 13 * time.Second, logclient.HealthDown},
		{"two failures", seen.WithAnswer(start, 0).WithFailure().WithFailure(), time.Second, logclient.HealthFresh},
		{"three failures", seen.WithAnswer(start, 0).WithFailure().WithFailure().WithFailure(), time.Second, logclient.HealthDown},
		{"answer after failures", seen.WithFailure().WithFailure().WithFailure().WithAnswer(start, 0), 0, logclient.HealthFresh},
		{"truncated", logclient.HealthSignals{StartedAt: start, LastAnswer: start, Truncated: true}, 0, logclient.HealthTruncated},
	}
	for _, c := range cases {
		if got := c.signals.Health(start.Add(c.after)); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestCheckPage_Bounds(t *testing.T) {
	stored := func(offsets ...uint64) []logclient.StoredRecord {
		var out []logclient.StoredRecord
		for _, o := range offsets {
			out = append(out, logclient.StoredRecord{Offset: o})
		}
		return out
	}
	cases := []struct {
		name string
		page logclient.Page
		from uint64
		want any
		head bool
	}{
		{"whole", logclient.Page{Records: stored(3, 4), Oldest: 1, Head: 5}, 3, nil, true},
		{"more to come", logclient.Page{Records: stored(3, 4), Oldest: 1, Head: 6}, 3, nil, false},
		{"empty at head", logclient.Page{Oldest: 1, Head: 3}, 3, nil, true},
		{"empty below head", logclient.Page{Oldest: 1, Head: 4}, 3, nil, false},
		{"retention", logclient.Page{Oldest: 4, Head: 5}, 3, new(*logclient.RetentionError), false},
		{"truncated", logclient.Page{Oldest: 0, Head: 2}, 3, new(*logclient.TruncatedError), false},
		{"gap at the start", logclient.Page{Records: stored(4), Head: 5}, 3, new(*logclient.GapError), false},
		{"gap inside", logclient.Page{Records: stored(3, 5), Head: 6}, 3, new(*logclient.GapError), false},
		{"repetition", logclient.Page{Records: stored(3, 3), Head: 6}, 3, new(*logclient.GapError), false},
		{"beyond the head", logclient.Page{Records: stored(3, 4), Head: 4}, 3, new(*logclient.GapError), false},
	}
	for _, c := range cases {
		batch, err := logclient.CheckPage(c.page, c.from, start)
		if (err == nil) != (c.want == nil) || (c.want != nil && !errors.As(err, c.want)) {
			t.Errorf("%s: %v", c.name, err)
		}
		if err == nil && batch.ReachedHead() != c.head {
			t.Errorf("%s: reached head %v", c.name, batch.ReachedHead())
		}
	}
}

func TestCircuitBreaker_OpensProbesCloses(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	c := logclient.CircuitBreaker{Threshold: 2, Backoff: logclient.Backoff{Initial: time.Second, Max: 8 * time.Second}}
	now := start
	allow := func(want bool) {
		t.Helper()
		if ok, wait := c.Allow(now); ok != want || (!ok && wait <= 0) {
			t.Errorf("at %v: allowed %v after %v", now.Sub(start), ok, wait)
		}
	}
	allow(true)
	c.RecordFailure(now, random)
	allow(true)
	c.RecordFailure(now, random)
	allow(false)
	now = now.Add(time.Second)
	allow(true)
	allow(false) // only one probe
	c.RecordFailure(now, random)
	now = now.Add(900 * time.Millisecond)
	allow(false)
	now = now.Add(1100 * time.Millisecond)
	allow(true)
	c.RecordSuccess()
	allow(true)
	allow(true)
	if c.Open(now) {
		t.Error("open after a success")
	}
}

func TestBackoff_GrowsToItsBound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	b := logclient.Backoff{Initial: 100 * time.Millisecond, Max: time.Second}
	for attempt, bound := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		bound *= time.Millisecond
		for range 50 {
			if w := b.Wait(attempt+1, random); w < bound/2 || w > bound {
				t.Fatalf("attempt %d waits %v, bound %v", attempt+1, w, bound)
			}
		}
	}
}

func TestBudget_Reserve(t *testing.T) {
	b := logclient.NewBudget(10, 5)
	for range 3 {
		if wait := b.Take(start, 2); wait != 0 {
			t.Fatalf("wait %v within the burst", wait)
		}
	}
	if wait := b.Take(start, 2); wait <= 0 {
		t.Error("the reserve was spent")
	}
	for range 2 {
		if wait := b.Take(start, 0); wait != 0 {
			t.Errorf("wait %v for the reserve", wait)
		}
	}
	if wait := b.Take(start, 0); wait < 90*time.Millisecond || wait > 110*time.Millisecond {
		t.Errorf("wait %v for the next append at 10 a second", wait)
	}
}
