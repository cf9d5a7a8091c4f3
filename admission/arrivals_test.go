package admission_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/admission"
	"pgregory.net/rapid"
)

// A caller that is refused again and again must keep the time of its first request, or each
// return would put it behind those that came meanwhile.
func TestArrivals_KeepTheFirstTime(t *testing.T) {
	a := admission.NewArrivals(10, time.Minute)
	a.Refused("x", start)
	a.Refused("x", start.Add(time.Second))
	if got := a.First("x", start.Add(2*time.Second)); !got.Equal(start) {
		t.Errorf("first came at %s, want %s", got, start)
	}
	if got, now := a.First("y", start.Add(time.Second)), start.Add(time.Second); !got.Equal(now) {
		t.Errorf("a new request came first at %s, want now, %s", got, now)
	}
	if got, now := a.First("x", start.Add(2*time.Minute)), start.Add(2*time.Minute); !got.Equal(now) {
		t.Errorf("after the time that it is kept it came first at %s, want now, %s", got, now)
	}
}

// Callers choose IDs freely. What is remembered must stay bounded whatever they send, and must
// hold the newest: the oldest callers have given up.
func TestArrivals_AreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(0, 8).Draw(t, "bound")
		a := admission.NewArrivals(bound, time.Minute)
		now := start
		first := make(map[string]time.Time)
		var order []string
		for range rapid.IntRange(0, 60).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Second)
			id := strconv.Itoa(rapid.IntRange(0, 20).Draw(t, "id"))
			for len(order) > 0 && now.Sub(first[order[0]]) > time.Minute {
				delete(first, order[0])
				order = order[1:]
			}
			if _, known := first[id]; !known && bound > 0 {
				if len(order) == bound {
					delete(first, order[0])
					order = order[1:]
				}
				first[id], order = now, append(order, id)
			}
			a.Refused(id, now)
			if a.Len() > bound {
				t.Fatalf("%d requests are remembered, want at most %d", a.Len(), bound)
			}
			for id, at := range first {
				if got := a.First(id, now); !got.Equal(at) {
					t.Fatalf("request %s came first at %s, want %s", id, got, at)
				}
			}
		}
	})
}
