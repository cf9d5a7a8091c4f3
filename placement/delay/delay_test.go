package delay_test

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/placement/delay"
)

// A task that waits for longer than it gains, or past its objective, is served worse than
// on any remote slot.
func TestTask_Waits(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name  string
		task  delay.Task
		until time.Duration
		want  bool
	}{
		{"the wait pays", delay.Task{LocalTime: time.Second, RemoteFactor: 2, Left: 5 * time.Second}, 300 * ms, true},
		{"the wait is longer than the gain", delay.Task{LocalTime: time.Second, RemoteFactor: 2, Left: 5 * time.Second}, 1100 * ms, false},
		{"the wait is about as long as the gain", delay.Task{LocalTime: time.Second, RemoteFactor: 2, Left: 5 * time.Second}, 800 * ms, false},
		{"it has waited for as long as it gains", delay.Task{LocalTime: time.Second, RemoteFactor: 2, Left: 5 * time.Second, Waited: 900 * ms}, 300 * ms, false},
		{"a remote run is only in time if it starts now", delay.Task{LocalTime: time.Second, RemoteFactor: 2, Left: 2100 * ms}, 300 * ms, false},
		{"only a local run can be in time", delay.Task{LocalTime: time.Second, RemoteFactor: 2, Left: 1500 * ms}, 300 * ms, true},
		{"a local run would be late after the wait", delay.Task{LocalTime: time.Second, RemoteFactor: 2, Left: 1200 * ms}, 300 * ms, false},
		{"late in any case", delay.Task{LocalTime: time.Second, RemoteFactor: 2, Left: -time.Second}, 300 * ms, true},
		{"a local run is no faster", delay.Task{LocalTime: time.Second, RemoteFactor: 1, Left: 5 * time.Second}, 0, false},
		{"no factor is set", delay.Task{LocalTime: time.Second, Left: 5 * time.Second}, 0, false},
		{"long tasks wait no longer than counts as lost", delay.Task{LocalTime: time.Minute, RemoteFactor: 3, Left: time.Hour}, 1600 * ms, false},
	} {
		if got := c.task.Waits(c.until); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}

// A wait for a run with no known end would last until the limit.
func TestUntilFree(t *testing.T) {
	runs := []delay.Run{
		{Age: 200 * time.Millisecond, Expected: time.Second, Frees: 2},
		{Age: 900 * time.Millisecond, Expected: time.Second, Frees: 1},
		{Age: 9 * time.Second, Expected: time.Second, Frees: 8},
	}
	for _, c := range []struct {
		need, free int64
		want       time.Duration
		ok         bool
	}{
		{3, 3, 0, true},
		{1, 0, 250 * time.Millisecond, true},
		{3, 0, 800 * time.Millisecond, true},
		{4, 0, 0, false},
	} {
		if got, ok := delay.UntilFree(c.need, c.free, runs); got != c.want || ok != c.ok {
			t.Errorf("%d needed, %d free: %v, %t, want %v, %t", c.need, c.free, got, ok, c.want, c.ok)
		}
	}
}
