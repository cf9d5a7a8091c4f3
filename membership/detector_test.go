package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/membership"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestDetector_Alive(t *testing.T) {
	r := membership.Heartbeat{Incarnation: "b1"}
	tests := []struct {
		name  string
		steps func(t *membership.Detector)
		now   int
		alive bool
	}{
		{"never heard", func(*membership.Detector) {}, 0, false},
		{"only listed", func(tb *membership.Detector) { tb.RecordListed([]string{"b"}, at(0)) }, 0, false},
		{"heard recently", func(tb *membership.Detector) { tb.RecordHeartbeat("b", r, at(0)) }, 1200, true},
		{"silent", func(tb *membership.Detector) { tb.RecordHeartbeat("b", r, at(0)) }, 1201, false},
		{"heard by another", func(tb *membership.Detector) {
			tb.RecordHeartbeat("b", r, at(0))
			tb.RecordIndirect("b", "b1", 100*time.Millisecond, at(1100))
		}, 2200, true},
		{"an older incarnation heard by another", func(tb *membership.Detector) {
			tb.RecordHeartbeat("b", r, at(0))
			tb.RecordIndirect("b", "b0", 0, at(1100))
		}, 2200, false},
		{"heard by another too long ago", func(tb *membership.Detector) {
			tb.RecordHeartbeat("b", r, at(0))
			tb.RecordIndirect("b", "b1", time.Second, at(1100))
		}, 1400, false},
		{"answers late but steadily", func(tb *membership.Detector) {
			for ms := 0; ms <= 8000; ms += 1000 {
				tb.RecordHeartbeat("b", r, at(ms))
			}
		}, 9100, true},
		{"own pause", func(tb *membership.Detector) {
			tb.Tick(at(0))
			tb.RecordHeartbeat("b", r, at(0))
			tb.Tick(at(9000))
		}, 9100, true},
		{"silent without a pause", func(tb *membership.Detector) {
			tb.RecordHeartbeat("b", r, at(0))
			for ms := 0; ms <= 2000; ms += 400 {
				tb.Tick(at(ms))
			}
		}, 2000, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb := membership.NewDetector(membership.DefaultTiming)
			tt.steps(tb)
			if got := tb.Alive("b", at(tt.now)); got != tt.alive {
				t.Errorf("alive %t, want %t", got, tt.alive)
			}
		})
	}
}

func TestDetector_MayRemove(t *testing.T) {
	tb := membership.NewDetector(membership.DefaultTiming)
	tb.RecordListed([]string{"listed"}, at(15000))
	tb.RecordHeartbeat("heard", membership.Heartbeat{}, at(15000))
	for name, want := range map[string]bool{"listed": false, "heard": false, "unknown": true} {
		if got := tb.MayRemove(name, start, at(21000)); got != want {
			t.Errorf("%s: may be removed %t", name, got)
		}
	}
	if tb.MayRemove("unknown", at(20000), at(21000)) {
		t.Error("may be removed right after the start")
	}
}

func ExampleDetector() {
	now := time.Unix(0, 0)
	t := membership.NewDetector(membership.DefaultTiming)
	t.RecordHeartbeat("a", membership.Heartbeat{Incarnation: "a1"}, now)
	fmt.Println(t.Alive("a", now.Add(time.Second)), t.Alive("a", now.Add(2*time.Second)))
	// Output: true false
}
