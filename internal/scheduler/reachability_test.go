package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
)

// failPolls reports time-outs for the polls in flight to the servers.
func (h *harness) failPolls(servers ...string) {
	for _, id := range servers {
		poll, ok := h.polls[id]
		if !ok {
			continue
		}
		delete(h.polls, id)
		h.do(func(c *Core) {
			c.PollCompleted(poll.To, h.now, PollResponse{}, verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer"))
		})
	}
}

// newShortLeaseHarness returns a harness whose servers grant leases of 6 s, so
// that no earlier owner can have sent longer ones.
func newShortLeaseHarness(t *testing.T, servers int) *harness {
	h := newHarness(t, servers)
	h.bounds.MaxLease = 6 * time.Second
	h.takeOver()
	h.answerAllPolls()
	return h
}

// runOnEach starts one task on every server and returns the servers' IDs.
func (h *harness) runOnEach() []string {
	h.t.Helper()
	var ids []string
	for i, s := range h.servers {
		h.runOne(fmt.Sprintf("%016x", i+1), 20000)
		ids = append(ids, s.ID)
	}
	return ids
}

// An owner whose link is overloaded receives its answers too late and takes all
// servers for unresponsive. Their runs must not be given up for that: the polls
// do arrive, and renew the leases.
func TestCore_RenewsLeasesWhenMostServersAreUnresponsive(t *testing.T) {
	h := newShortLeaseHarness(t, 6)
	all := h.runOnEach()
	before := make(map[string]int64)
	for _, id := range all {
		before[id] = h.polls[id].Request.LeaseDeadlineMS
	}
	for elapsed := time.Duration(0); elapsed < 5*time.Second; elapsed += 500 * time.Millisecond {
		h.advance(500 * time.Millisecond)
		h.failPolls(all...)
	}
	h.advance(50 * time.Millisecond)
	for _, id := range all {
		if got := h.polls[id].Request.LeaseDeadlineMS; got < before[id]+3000 {
			t.Errorf("%s: lease deadline %d after 5 s, %d before; want it renewed", id, got, before[id])
		}
	}
	// 8 s after the last answer a lease that was not renewed is over.
	h.advance(3 * time.Second)
	if n := len(h.takeStarts()); n != 0 {
		t.Errorf("%d tasks started elsewhere while most servers seem unresponsive, want none", n)
	}
}

// Servers that are gone do not come back: their tasks start elsewhere after the
// renewed leases have expired.
func TestCore_GivesUpRunsOfManyServersThatStayUnresponsive(t *testing.T) {
	h := newShortLeaseHarness(t, 6)
	all := h.runOnEach()
	gone, rest := all[:4], all[4:]
	limit := 2*h.bounds.lease() + 2*time.Second
	for elapsed := time.Duration(0); elapsed < limit; elapsed += 500 * time.Millisecond {
		h.advance(500 * time.Millisecond)
		h.failPolls(gone...)
		for _, id := range rest {
			if _, ok := h.polls[id]; ok {
				h.answerPoll(id, PollResponse{})
			}
		}
	}
	if n := len(h.takeStarts()); n == 0 {
		t.Errorf("no task of the servers that are gone was started elsewhere within %s", limit)
	}
}

// The leases of a single unresponsive server expire, since it is more likely to
// be gone.
func TestCore_DoesNotRenewLeasesOfOneUnresponsiveServer(t *testing.T) {
	h := newShortLeaseHarness(t, 6)
	all := h.runOnEach()
	h.failPolls(all[0])
	before := h.polls[all[0]].Request.LeaseDeadlineMS
	h.advance(2 * time.Second)
	h.failPolls(all[0])
	if got := h.polls[all[0]].Request.LeaseDeadlineMS; got != before {
		t.Errorf("lease deadline moved from %d to %d", before, got)
	}
}
