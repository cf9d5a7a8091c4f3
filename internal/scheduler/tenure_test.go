package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

// testTenureLease is the lease of the owners in the tests of tenures, and testTakeoverWait
// how long it lasts at most on any two clocks that are 2% off, with the slack.
const (
	testTenureLease  = 6 * time.Second
	testTakeoverWait = testTenureLease*102/98 + takeoverSlack + time.Millisecond
)

var tenureStart = time.Unix(1_700_000_000, 0)

// testClaim returns the claim of an owner whose witnesses are a, b and c, after one with
// the same.
func testClaim() workload.PartitionOwner {
	all := []string{"a", "b", "c"}
	lease := testTenureLease.Milliseconds()
	return workload.PartitionOwner{
		Epoch: 2, Daemon: "b", LeaseMS: lease, Witnesses: all,
		Prior: []workload.PriorOwner{{Epoch: 1, Daemon: "a", LeaseMS: lease, Witnesses: all}},
	}
}

func timeAt(d time.Duration) time.Time { return tenureStart.Add(d) }

// The wait for an earlier owner's leases must begin once it can extend them no more, and
// not at the claim: until then another witness may have attested for it.
func TestTenure_WaitsFromThePromises(t *testing.T) {
	for _, tc := range []struct {
		name string
		tell func(o *tenure, now time.Time)
		over bool
	}{
		{"nobody has promised", func(*tenure, time.Time) {}, false},
		{"one of three", func(o *tenure, now time.Time) { o.applyPromise("b", false, now) }, false},
		{"two of three", func(o *tenure, now time.Time) { o.applyPromise("b", false, now); o.applyPromise("c", false, now) }, true},
		{"one twice", func(o *tenure, now time.Time) { o.applyPromise("b", false, now); o.applyPromise("b", false, now) }, false},
		{"the earlier owner has ended", func(o *tenure, now time.Time) { o.applyPromise("a", true, now) }, true},
		{"its daemon has promised and still runs it", func(o *tenure, now time.Time) { o.applyPromise("a", false, now) }, false},
	} {
		o := newTenure(testClaim(), testTenureLease, timeAt(0), timeAt(0))
		told := timeAt(5 * time.Second)
		tc.tell(o, told)
		silent, over := o.sinceLastPriorRenewal(told.Add(time.Second))
		if over != tc.over || over && silent != time.Second {
			t.Errorf("%s: no extension for %s, %t; want %t and 1 s", tc.name, silent, over, tc.over)
		}
	}
}

// Neither the earlier owner nor its witnesses are ever reached. The tasks that it may have
// started must not wait for ever.
func TestTenure_WaitEndsIfNobodyIsReached(t *testing.T) {
	o := newTenure(testClaim(), testTenureLease, timeAt(0), timeAt(0))
	o.advance(timeAt(maxAttested))
	if _, over := o.sinceLastPriorRenewal(timeAt(maxAttested)); over {
		t.Errorf("no extension after %s by this clock, which may run fast", maxAttested)
	}
	late := timeAt(maxAttested * 12 / 10)
	o.advance(late)
	if _, over := o.sinceLastPriorRenewal(late); !over {
		t.Errorf("the earlier owner may extend leases %s after the claim, want at most about %s", late.Sub(tenureStart), maxAttested)
	}
}

// Answers of other daemons must extend leases only if a majority of the witnesses attests,
// dated when it was asked, by processes that remember, and for a bounded time.
func TestTenure_LeaseFollowsTheEvidence(t *testing.T) {
	const long = time.Hour
	for _, tc := range []struct {
		name string
		hear func(o *tenure)
		now  time.Duration
		left time.Duration
	}{
		{"the claim, from its start", func(*tenure) {}, 4 * time.Second, 2 * time.Second},
		{"a read, from its start", func(o *tenure) { o.applyConfirmation(timeAt(2*time.Second), timeAt(4*time.Second)) }, 4 * time.Second, 4 * time.Second},
		{"one witness", func(o *tenure) { o.applyAttestation("a", timeAt(3*time.Second), timeAt(4*time.Second), long) }, 4 * time.Second, 2 * time.Second},
		{"two witnesses, from the earlier question", func(o *tenure) {
			o.applyAttestation("a", timeAt(2*time.Second), timeAt(4*time.Second), long)
			o.applyAttestation("b", timeAt(3*time.Second), timeAt(4*time.Second), long)
		}, 4 * time.Second, 4 * time.Second},
		{"a witness that has restarted since", func(o *tenure) {
			o.applyAttestation("a", timeAt(3*time.Second), timeAt(4*time.Second), time.Second)
			o.applyAttestation("b", timeAt(3*time.Second), timeAt(4*time.Second), long)
		}, 4 * time.Second, 2 * time.Second},
		{"a daemon that is no witness", func(o *tenure) {
			o.applyAttestation("x", timeAt(3*time.Second), timeAt(4*time.Second), long)
			o.applyAttestation("b", timeAt(3*time.Second), timeAt(4*time.Second), long)
		}, 4 * time.Second, 2 * time.Second},
		{"attestations long after the last call to the log", func(o *tenure) {
			for _, w := range []string{"a", "b", "c"} {
				o.applyAttestation(w, timeAt(40*time.Second), timeAt(40*time.Second), long)
			}
		}, 32 * time.Second, maxAttested + testTenureLease - 32*time.Second},
	} {
		o := newTenure(testClaim(), testTenureLease, timeAt(0), timeAt(time.Second))
		tc.hear(o)
		if got := o.leaseLeft(timeAt(tc.now)); got != tc.left {
			t.Errorf("%s: a lease of %s at %s, want %s", tc.name, got, tc.now, tc.left)
		}
	}
}

// The next claim must name every owner whose leases may last, however many follow each
// other within one lease, with the witnesses that it stored last.
func TestNextClaim_NamesAllWhoseLeasesMayLast(t *testing.T) {
	bounds := Bounds{MaxLease: testTenureLease}
	log := make(map[string]partition.Record)
	records := func() (out []partition.Record) {
		for _, r := range log {
			out = append(out, r)
		}
		return out
	}
	put := func(r partition.Record) { log[r.Key] = r }
	for n := range 5 {
		claim := nextClaim(records(), fmt.Sprintf("d%d", n), bounds, []string{fmt.Sprintf("w%d", n)})
		if len(claim.Prior) != n || claim.Epoch != uint64(n+1) {
			t.Fatalf("claim %d: epoch %d after %d owners, want %d after %d", n, claim.Epoch, len(claim.Prior), n+1, n)
		}
		put(ClaimRecord(claim))
	}
	put(recordOf(keyUpdate, "", workload.OwnerUpdate{Epoch: 5, Witnesses: []string{"x", "y"}}))
	if last := nextClaim(records(), "d5", bounds, nil).Prior[4]; !slices.Equal(last.Witnesses, []string{"x", "y"}) {
		t.Errorf("witnesses %v of the last owner, want those that it stored after its claim", last.Witnesses)
	}
	put(recordOf(keyUpdate, "", workload.OwnerUpdate{Epoch: 5, PriorExpired: true}))
	if prior := nextClaim(records(), "d5", bounds, nil).Prior; len(prior) != 1 || prior[0].Daemon != "d4" {
		t.Errorf("owners %v named although only the leases of the last one may last", prior)
	}
	put(recordOf(keyUpdate, "", workload.OwnerUpdate{Epoch: 4, PriorExpired: true}))
	if prior := nextClaim(records(), "d5", bounds, nil).Prior; len(prior) != 5 {
		t.Errorf("%d owners named after an update of the owner before the last, want 5", len(prior))
	}
}

// A claim must not grow without bound where owners follow each other for long, and must not
// forget the oldest either.
func TestNextClaim_BoundsTheOwnersThatItNames(t *testing.T) {
	bounds := Bounds{MaxLease: testTenureLease}
	claim := nextClaim(nil, "d", bounds, []string{"d"})
	for range 3 * maxPriorOwners {
		claim = nextClaim([]partition.Record{ClaimRecord(claim)}, "d", bounds, []string{"d"})
	}
	if len(claim.Prior) != maxPriorOwners {
		t.Errorf("%d owners named, want %d", len(claim.Prior), maxPriorOwners)
	}
	o := newTenure(claim, testTenureLease, timeAt(0), timeAt(0))
	o.applyPromise("d", true, timeAt(time.Second))
	if _, over := o.sinceLastPriorRenewal(timeAt(time.Second)); over {
		t.Error("the owners that are not named any more count as over")
	}
}

// Owners follow each other and the first of them cannot be shown to have ended. What the
// second one waited must not count for the third.
func TestCore_UnprovenWaitIsNotRecorded(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	claim := testClaim()
	claim.Prior[0].Daemon = "gone"
	h.bounds.MaxLease = testTenureLease
	h.takeOver()
	h.core.SetClaim(claim, h.now, h.wall)
	h.answerAllPollsBut(start.To.ID)
	for range 10 {
		h.advance(500 * time.Millisecond)
	}
	if _, recorded := h.log[string(keyUnheard)]; recorded {
		t.Fatal("a wait is recorded while the earlier owner may still extend leases")
	}
	h.do(func(c *Core) { c.PromiseReceived("a", false); c.PromiseReceived("c", false) })
	h.advance(600 * time.Millisecond)
	h.advance(testTakeoverWait - time.Second)
	if n := len(h.takeStarts()); n != 0 {
		t.Fatalf("%d starts %s after the promises, want none within %s", n, testTakeoverWait-400*time.Millisecond, testTakeoverWait)
	}
	h.advance(time.Second)
	if n := len(h.takeStarts()); n != 1 {
		t.Errorf("%d starts after the leases of the earlier owner, want 1", n)
	}
}

// Without evidence no lease is extended and no task is started: the server would refuse it
// or end it at once.
func TestCore_StartsNothingWithoutEvidence(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.now = h.now.Add(testTenureLease)
	h.wall += testTenureLease.Milliseconds()
	h.core.SetTime(h.now, h.wall)
	h.core.Submit(&workload.Submission{
		ID: id1, Queue: testQueue, Service: testService, Spec: "x", Accepted: h.wall, Steps: []workload.Step{oneTask(1000)},
	}, 0, func(Reply) {})
	h.finish()
	if n := len(h.takeStarts()); n != 0 {
		t.Fatalf("%d starts without evidence, want 0", n)
	}
	h.advance(50 * time.Millisecond)
	if n := len(h.takeStarts()); n != 1 {
		t.Errorf("%d starts with new evidence, want 1", n)
	}
}

// This machine was suspended. What it knew before is as old as the wall clock says.
func TestCore_EvidenceAgesWhileTheMachineIsSuspended(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.now = h.now.Add(100 * time.Millisecond)
	h.wall += 8000
	h.core.SetTime(h.now, h.wall)
	if left := h.core.leaseLeft(); left > 0 {
		t.Errorf("a lease of %s after 8 s of suspension, want none", left)
	}
	h.core.SetOwnershipConfirmed(h.now.Add(-50 * time.Millisecond))
	if left := h.core.leaseLeft(); left > 0 {
		t.Errorf("a lease of %s by a call from before the suspension, want none", left)
	}
}

// A witness is gone for good. Others must take its place, or the owner could not outlive an
// outage of the log, nor the next one learn that it has ended.
func TestCore_ReplacesWitnessesThatAreGone(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	claim := testClaim()
	h.core.SetClaim(claim, h.now, h.wall)
	now := []string{"a", "b", "d"}
	set := func() { h.do(func(c *Core) { c.UpdateWitnesses(now, now) }) }
	set()
	h.advance(witnessSettleTime - time.Second)
	set()
	if _, stored := h.log[string(keyUpdate)]; stored {
		t.Fatal("other witnesses are stored while the missing one may be about to come back")
	}
	h.holdStores = true
	h.advance(time.Second)
	set()
	if got := h.core.tenure.state.Tenure.Witnesses; slices.Contains(got, "d") {
		t.Fatalf("witnesses %v before the log has them", got)
	}
	h.holdStores = false
	h.storeAll()
	if got := h.core.tenure.state.Tenure.Witnesses; !slices.Equal(got, now) {
		t.Errorf("witnesses %v once the log has them, want %v", got, now)
	}
}
