package scheduler

import "testing"

// A server that restarts again and again under one owner must not make the lists of
// decisions of all waiting steps longer, and a decision about an instance that is gone must
// not count for the instance that gets its number.
func TestCore_NumbersOfInstancesAreAssignedAgain(t *testing.T) {
	h := newHarness(t, 3)
	h.requireTickets()
	h.submit(id1, oneTask(99_000))
	st := h.core.jobs[id1].occurrences[0].steps[0]
	for _, s := range h.core.servers {
		st.authorization.decide(s, denied)
	}
	for restart := range int64(1000) {
		h.relist("s1", 10_000+restart)
		s := h.core.servers["s1"]
		if got := st.authorization.decisionOn(s); got != undecided {
			t.Fatalf("decision %d about an instance that was not asked about", got)
		}
		st.authorization.decide(s, denied)
	}
	for _, id := range []string{"s0", "s2"} {
		if got := st.authorization.decisionOn(h.core.servers[id]); got != denied {
			t.Errorf("decision %d about server %s, want it kept", got, id)
		}
	}
	if n := len(st.authorization.decisions); n > 3 {
		t.Errorf("%d decisions for 3 servers", n)
	}
}
