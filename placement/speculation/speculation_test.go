package speculation_test

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/placement/speculation"
)

// A copy of a run that is about to end wastes capacity, and one of a straggler that comes
// late gains nothing.
func TestRun_CopyEndsFirst(t *testing.T) {
	for _, c := range []struct {
		name      string
		run       speculation.Run
		elsewhere time.Duration
		want      bool
	}{
		{"in its time", speculation.Run{Age: 500 * time.Millisecond, Expected: time.Second}, time.Second, false},
		{"a little late", speculation.Run{Age: 1500 * time.Millisecond, Expected: time.Second}, 100 * time.Millisecond, false},
		{"a straggler", speculation.Run{Age: 2 * time.Second, Expected: time.Second}, time.Second, true},
		{"a straggler, and all other servers are slow", speculation.Run{Age: 2 * time.Second, Expected: time.Second}, 5 * time.Second, false},
		{"on a server that turned slow", speculation.Run{Age: time.Second, Expected: 5 * time.Second, Slow: true}, time.Second, true},
		{"at its beginning", speculation.Run{Age: time.Millisecond, Expected: 5 * time.Second}, time.Second, false},
		{"its expected time is a guess", speculation.Run{Age: 2 * time.Second, Expected: time.Second, Uncertainty: 3}, time.Second, false},
		{"long overdue although that is a guess", speculation.Run{Age: 4 * time.Second, Expected: time.Second, Uncertainty: 9}, time.Second, true},
		{"nothing is known", speculation.Run{Age: time.Hour}, time.Second, false},
	} {
		if got := c.run.CopyEndsFirst(c.elsewhere); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}

// Copies without a bound take the capacity of a service in which many runs are late, as
// after a load peak.
func TestBudget_Allows(t *testing.T) {
	b := speculation.Budget{InUse: 100_000}
	n := 0
	for b.Allows(1000) {
		b.Take(1000)
		n++
	}
	if n != 5 {
		t.Errorf("%d copies of one core beside 100 cores in use, want 5", n)
	}
	small := speculation.Budget{InUse: 2000}
	first := small.Allows(1000)
	small.Take(1000)
	if !first || small.Allows(1000) {
		t.Error("a small service must have one copy, and no more")
	}
}

func TestOrder(t *testing.T) {
	runs := []speculation.Run{
		{Priority: 1, Age: 9 * time.Second, Expected: time.Second},
		{Priority: 0, Age: 3 * time.Second, Expected: time.Second},
		{Priority: 0, Age: 5 * time.Second, Expected: time.Second},
	}
	speculation.Order(runs, func(r speculation.Run) speculation.Run { return r })
	if runs[0].Age != 5*time.Second || runs[2].Priority != 1 {
		t.Errorf("order %+v, want the urgent ones first, the longest overdue among them at the front", runs)
	}
}
