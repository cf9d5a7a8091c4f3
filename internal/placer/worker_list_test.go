package placer

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
)

// A worker that the list leaves out for 20 s must be remembered, and a daemon must not
// claim to know all workers before it has seen the list for longer than that, without a
// pause in between.
func TestWorkerList_RemembersAndKnowsAll(t *testing.T) {
	worker := []cluster.VM{{Name: "w", Role: cluster.RoleWorker}}
	others := []cluster.VM{{Name: "v", Role: cluster.RoleWorker}, {Name: "e", Role: cluster.RoleEntry}}
	start := time.Unix(1000, 0)
	var l workerList
	update := func(after int, vms []cluster.VM) { l.update(vms, start.Add(time.Duration(after)*time.Second)) }
	want := func(after int, remembered, knowsAll bool) {
		t.Helper()
		if _, ok := l.workers["w"]; ok != remembered {
			t.Errorf("after %d s: the worker is remembered %t, want %t", after, ok, remembered)
		}
		if got := l.knowsAll(start.Add(time.Duration(after) * time.Second)); got != knowsAll {
			t.Errorf("after %d s: all workers are known %t, want %t", after, got, knowsAll)
		}
	}
	want(0, false, false)
	update(0, nil)
	update(1, worker)
	for s := 2; s <= 60; s++ {
		update(s, others)
		// The worker was last listed after 1 s. An empty list before that counts as
		// not read.
		want(s, s < 26, s >= 26)
	}
	if _, ok := l.workers["e"]; ok {
		t.Error("an entry VM counts as a worker")
	}
	update(90, others)
	want(90, false, false)
	for s := 91; s <= 115; s++ {
		update(s, others)
	}
	want(115, false, true)
}
