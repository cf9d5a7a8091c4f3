package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// When all capacity is in use, the capacity that becomes free must go to the tenant below
// its share, although the other's work came first. Nothing is killed for it.
func TestCore_FreedCapacityGoesToTheTenantBelowItsShare(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.setTenants(routing.Tenant{Name: "a", Weight: 10}, routing.Tenant{Name: "b", Weight: 10})
	h.submitAs("a", id1, stepOf(12, 4000))
	starts := h.takeStarts()
	if len(starts) != 8 {
		t.Fatalf("%d starts of the only tenant on a server for 8, want 8: an idle share is lent", len(starts))
	}
	for _, s := range starts {
		h.confirmStart(s)
	}
	h.advance(sharesInterval)
	h.submitAs("b", id2, stepOf(6, 4000))
	if len(h.takeStarts()) != 0 || len(h.stops) != 0 {
		t.Fatal("a lent share is returned as runs end, and no run is stopped for it")
	}
	for i := range 5 {
		h.advance(sharesInterval)
		h.endRun(starts[i], workload.EndDone, uint64(i+1), append(starts[i+1:len(starts):len(starts)], h.starts...)...)
		for _, s := range h.starts[len(h.starts)-1:] {
			h.confirmStart(s)
		}
	}
	count := map[string]int{}
	for _, s := range h.takeStarts() {
		count[s.Order.Task.Submission]++
	}
	if count[id2] < 4 || count[id1] > 1 {
		t.Errorf("5 freed slots: %d to the tenant below its share, %d to the one above, want 4 at least", count[id2], count[id1])
	}
}

// Excess must come behind everything else, whatever its queue's priority, and must not
// become ordinary work when another owner takes over.
func TestCore_ExcessComesBehindAllOtherWorkAndStaysExcess(t *testing.T) {
	h := newHarness(t, 1)
	h.bounds.ShareWindow = time.Second
	h.takeOver()
	h.answerAllPolls()
	h.setTenants(routing.Tenant{Name: "a", Weight: 1}, routing.Tenant{Name: "b", Weight: 10})
	h.runOne(tenantID(9), 32_000)
	h.submitAs("a", id1, stepOf(1, 4000))
	h.advance(time.Millisecond)
	h.submitAs("a", id2, stepOf(1, 4000))
	h.advance(time.Millisecond)
	h.submitAs("b", tenantID(3), stepOf(1, 4000))
	check := func(when string) {
		t.Helper()
		order := func(id string) placementOrder { return h.core.orderOf(h.core.jobs[id]) }
		if order(tenantID(3)).compare(order(id2)) >= 0 || order(id1).compare(order(id2)) >= 0 {
			t.Errorf("%s: the second of two submissions of a tenant with a rate of 1 comes before other work", when)
		}
		if order(id1).excess != 0 || order(id2).excess != 1 {
			t.Errorf("%s: excess is %d and %d, want 0 and 1", when, order(id1).excess, order(id2).excess)
		}
	}
	check("first owner")
	h.takeOver()
	check("next owner")
}

// Work that its tenant's cap holds back takes no capacity from others. It must not make
// the submissions of other tenants be refused, and new work of its own tenant must be
// refused where it could not begin in time under the cap.
func TestCore_WorkHeldByACapIsNoBacklogForOthers(t *testing.T) {
	h := newHarness(t, 4)
	h.answerAllPolls()
	h.setTenants(capped("a", 8000), capped("b", 0))
	h.submitAs("a", id1, stepOf(40, 4000))
	h.advance(time.Millisecond)
	h.submitAs("b", id2, stepOf(30, 4000))
	for _, s := range h.takeStarts() {
		h.confirmStart(s)
	}
	h.submitAs("b", tenantID(4), stepOf(4, 4000))
	accepted := 0
	for i := range 12 {
		h.advance(10 * time.Millisecond)
		if got := h.submitAs("a", tenantID(20+i), stepOf(40, 4000)); got.Outcome != OutcomeDone {
			break
		}
		accepted++
	}
	// Each takes 20 s in waves of 2, has a target of 30.4 s, and is of use up to 91.2 s.
	if accepted < 2 || accepted > 4 {
		t.Errorf("%d submissions of 20 s under their tenant's cap accepted behind another one, want 2 to 4 that can end within 91 s", accepted)
	}
	if got := h.submitAs("b", tenantID(6), oneTask(4000)); got.Outcome != OutcomeDone {
		t.Errorf("submission of another tenant: %+v, want it accepted", got)
	}
}

// A step that is wider than its tenant's cap takes as many times as long as it has waves.
// Counted as one wave, it would be late, and be placed behind everything, while it runs as
// fast as it may.
func TestCore_WavesUnderACapAreNotLate(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	h.setTenants(capped("a", 8000))
	h.submitAs("a", id1, stepOf(8, 4000))
	h.submitAs("", id2, stepOf(8, 4000))
	stretched, flat := h.core.jobs[id1], h.core.jobs[id2]
	if got, want := stretched.criticalPath, 4*flat.criticalPath; got != want {
		t.Errorf("expected time of 8 tasks of 1 s of which 2 fit under the cap: %v, want %v", got, want)
	}
	h.setTenants(capped("a", 32_000))
	if got, want := stretched.criticalPath, flat.criticalPath; got != want {
		t.Errorf("expected time once all 8 fit under the cap: %v, want %v", got, want)
	}
}

// A tenant that fills the owner's memory with excess must not make the submissions of other
// tenants be refused for want of it.
func TestCore_ExcessLeavesMemoryForOthers(t *testing.T) {
	h := newHarness(t, 1)
	h.bounds.ShareWindow, h.bounds.MemoryBytes = time.Second, megabyte
	h.takeOver()
	h.answerAllPolls()
	h.setTenants(routing.Tenant{Name: "a", Weight: 1}, routing.Tenant{Name: "b", Weight: 100})
	h.do(func(c *Core) { c.SetServers(nil) })
	n := 0
	for ; n < 5000; n++ {
		if got := h.submitAs("a", tenantID(n), stepOf(10, 4000)); got.Outcome != OutcomeDone {
			if got.Reason != "memory_budget" {
				t.Fatalf("submission %d: %+v, want it refused for its memory", n, got)
			}
			break
		}
	}
	if n < 10 || n == 5000 {
		t.Fatalf("%d submissions accepted, want some and then a refusal", n)
	}
	for i := range n / 5 {
		if got := h.submitAs("b", tenantID(10_000+i), stepOf(10, 4000)); got.Outcome != OutcomeDone {
			t.Fatalf("submission %d of another tenant, beside %d of excess: %+v, want it accepted", i, n, got)
		}
	}
}
