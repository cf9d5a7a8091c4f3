package flow_test

import (
	"testing"

	"github.com/currantwinch/currantwinch/flow"
)

func observeMany(o *flow.Offload, n int, congested bool, sent int) {
	for range n {
		o.Observe(congested, sent)
	}
}

// Offloading ends congestion. It must not end with it, since the same rate of
// calls would bring it back.
func TestOffload_LastsUntilTheRateFalls(t *testing.T) {
	var o flow.Offload
	observeMany(&o, 50, false, 10)
	observeMany(&o, 3, true, 10)
	if o.Active() {
		t.Error("active after a short burst")
	}
	observeMany(&o, 30, true, 10)
	if !o.Active() {
		t.Fatal("not active in lasting congestion")
	}
	observeMany(&o, 200, false, 10)
	if !o.Active() {
		t.Error("ended at the rate that caused the congestion")
	}
	observeMany(&o, 100, false, 3)
	if o.Active() {
		t.Error("still active at a third of that rate")
	}
}
