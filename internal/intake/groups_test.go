package intake

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// A crowd that uses one tenant's key must be felt by that tenant alone: a request of another one
// takes the place of one that still arrives, however fast, and its own requests wait.
func TestBudget_GroupBeyondItsShareGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(800*kilobyte, time.Now)
		evicted := 0
		crowd := make([]*Entry, 7)
		for i := range crowd {
			crowd[i] = b.Begin(Client{Group: "a", Address: fmt.Sprint("10.0.0.", i)}, 200_000, func() { evicted++ })
			if err := crowd[i].Take(100 * kilobyte); err != nil {
				t.Fatal(err)
			}
			_ = crowd[i].Add(100_000)
		}
		own := b.Begin(Client{Group: "a"}, 200_000, func() {})
		var refusal *Refusal
		if err := own.Take(100 * kilobyte); !errors.As(err, &refusal) || evicted > 1 {
			t.Errorf("one more of the crowd: %v, %d gave way, want a refusal and at most the slowest", err, evicted)
		}
		own.End()
		evicted = 0
		other := b.Begin(Client{Group: "b"}, 200_000, func() {})
		for range 2 {
			if !other.Try(100 * kilobyte) {
				t.Error("a request of another group found no room")
			}
		}
		if evicted == 0 {
			t.Error("no request of the crowd gave way")
		}
		s := b.Status()
		if len(s.Holders) != 8 || s.Holders[0].Group != "b" || s.Holders[0].Bytes != 200*kilobyte || s.Requests != 8 {
			t.Errorf("%+v, want the other group first of eight holders", s)
		}
	})
}

// Connections whose bodies the daemon lets wait, and those that have shown a key, stay when those without one can give way, and a tenant with
// more than its share gives way before the others.
func TestYielding_KnownClientsStay(t *testing.T) {
	of := func(group string, s int) ConnectionState {
		return ConnectionState{Address: "lb", Idle: time.Duration(s) * time.Second, Known: group != "", Group: group}
	}
	queued := func(s int) ConnectionState {
		c := of("", s)
		c.Queued = true
		return c
	}
	for _, c := range []struct {
		name  string
		all   []ConnectionState
		index int
	}{
		{"a body that waits for the processor stays", []ConnectionState{queued(9), of("", 1), queued(8), queued(7)}, 1},
		{"the last of those that wait", []ConnectionState{queued(9), queued(1), queued(2), of("a", 9)}, 1},
		{"one without a key", []ConnectionState{of("a", 9), of("b", 8), of("", 1), of("a", 7)}, 2},
		{"the group with the most", []ConnectionState{of("b", 9), of("a", 1), of("a", 3), of("a", 2)}, 2},
		{"equal groups", []ConnectionState{of("a", 1), of("b", 9), of("a", 2), of("b", 3)}, 1},
	} {
		if index, ok := Yielding(c.all, "lb", 4, 4); index != c.index || !ok {
			t.Errorf("%s: %d, %t, want %d", c.name, index, ok, c.index)
		}
	}
}
