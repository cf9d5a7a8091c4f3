package flow_test

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/flow"
)

// A rate must count only calls that were completed while others waited, and not for long.
func TestThroughput_MeasuresWhileCallsWait(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := flow.Throughput{MaxGap: 200 * time.Millisecond}
	run := func(d time.Duration, waiting bool) {
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			if waiting {
				r.Waiting(now)
			}
			r.Completed()
			r.Measure(now)
		}
	}
	run(3*time.Second, false)
	if got, ok := r.PerSecond(now); ok {
		t.Errorf("%.0f a second though nothing waited", got)
	}
	run(3*time.Second, true)
	if got, ok := r.PerSecond(now); !ok || got < 19 || got > 21 {
		t.Errorf("%.1f a second, %t, want 20", got, ok)
	}
	run(11*time.Second, false)
	if got, ok := r.PerSecond(now); ok {
		t.Errorf("%.0f a second, 11 s after the last wait", got)
	}
}
