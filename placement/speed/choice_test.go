package speed_test

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/placement/speed"
)

// Long work that takes the fast servers makes short work late, and work that is late on a
// slow server must not be placed there for the sake of others.
func TestChoice_Compare(t *testing.T) {
	urgent := speed.NewChoice(false, time.Second, time.Second)
	ample := speed.NewChoice(true, time.Second, 20*time.Second)
	tight := speed.NewChoice(true, time.Second, 1200*time.Millisecond)
	late := speed.NewChoice(true, time.Second, -time.Second)
	for _, c := range []struct {
		name   string
		choice speed.Choice
		a, b   int
		want   int
	}{
		{"urgent work takes the fastest", urgent, 3, 0, -1},
		{"urgent work takes a slow server last", urgent, -5, 0, 1},
		{"other work leaves the fastest", ample, 0, 3, -1},
		{"other work takes a slow server last", ample, -5, 3, 1},
		{"a server that does not suffice comes last", tight, -1, 2, 1},
		{"the slowest that suffices comes first", tight, 0, 2, -1},
		{"late work takes the fastest", late, 0, 2, 1},
		{"alike servers are equal", ample, 0, 0, 0},
	} {
		if got := c.choice.Compare(c.a, c.b); got != c.want {
			t.Errorf("%s: Compare(%d, %d) = %d, want %d", c.name, c.a, c.b, got, c.want)
		}
	}
}

// A gang with one member on a slow server holds all other servers for as long as that.
func TestChoice_Range(t *testing.T) {
	rooms := []speed.ClassSlots{{Class: 3, Slots: 4}, {Class: 0, Slots: 10}, {Class: -1, Slots: 6}, {Class: -5, Slots: 20}}
	urgent := speed.NewChoice(false, time.Second, time.Second)
	other := speed.NewChoice(true, time.Second, time.Minute)
	for _, c := range []struct {
		name      string
		choice    speed.Choice
		need      int
		low, high int
		fits      bool
	}{
		{"urgent gang on the fastest", urgent, 4, 3, 3, true},
		{"urgent gang that does not fit on the fastest leaves them", urgent, 8, 0, 0, true},
		{"urgent gang that needs both classes", urgent, 12, 0, 3, true},
		{"other gang on one class, the slowest that suffices", other, 6, -1, -1, true},
		{"other gang on one class that holds it", other, 9, 0, 0, true},
		{"a slow server only if it must be", other, 21, -5, -1, true},
		{"no room", other, 41, 0, 0, false},
	} {
		low, high, fits := c.choice.Range(rooms, c.need)
		if low != c.low || high != c.high || fits != c.fits {
			t.Errorf("%s: classes %d to %d, %t, want %d to %d, %t", c.name, low, high, fits, c.low, c.high, c.fits)
		}
	}
}

// Where all work has the same objective, none may leave the fast servers idle for others.
func TestObjectives_Yields(t *testing.T) {
	var o speed.Objectives
	now := time.Unix(1_700_000_000, 0)
	o.Observe("long", 9*time.Second, now)
	if o.Yields("long") {
		t.Error("the only work yields")
	}
	o.Observe("short", time.Second, now.Add(time.Second))
	if o.Yields("short") || !o.Yields("long") {
		t.Error("the longer objective must yield, and the shorter must not")
	}
	o.Observe("short", 100*time.Millisecond, now.Add(2*time.Second))
	if o.Yields("short") {
		t.Error("one submission with a short declared time makes the others of its queue yield")
	}
	o.Observe("long", 9*time.Second, now.Add(20*time.Second))
	if !o.Yields("long") {
		t.Error("the short objective is forgotten within 20 s")
	}
	o.Observe("long", 9*time.Second, now.Add(40*time.Second))
	if o.Yields("long") {
		t.Error("work that has not come for over half a minute still holds the fast servers")
	}
}

func TestSlowWait(t *testing.T) {
	if got := speed.SlowWait(100 * time.Millisecond); got > 300*time.Millisecond {
		t.Errorf("a task of 100ms waits %v, more than it saves", got)
	}
	if got := speed.SlowWait(time.Minute); got > time.Second {
		t.Errorf("a task of 1m waits %v, want at most 1s", got)
	}
}
