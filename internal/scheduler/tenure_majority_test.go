package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/partition"
)

// usersBounds are bounds in which a silent server may run its tasks for most of the time that
// accepted work may have nothing running.
var usersBounds = Bounds{MaxLease: 10 * time.Second, RestartTime: 17 * time.Second, StatusRetention: 2 * time.Minute, GangTimeout: 3 * time.Second}

// Guards against accepted work that has nothing running for a minute after most daemons are
// lost for good, beside idle servers: the next owner took the witnesses that it did not reach
// for a majority that attests for the earlier owner for 30 s (review case 15, LOST).
func TestCore_WorkGoesOnAfterMostDaemonsAreLost(t *testing.T) {
	witnesses := []string{"a", "b", "c", "d", "e"}
	for _, tc := range []struct {
		name   string
		left   []string
		within time.Duration
	}{
		{"three of five are lost", []string{"d", "e"}, usersBounds.RestartTime - claimTime},
		{"all but one are lost", []string{"e"}, usersBounds.RestartTime - claimTime},
		{"all witnesses are lost", nil, 45 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.bounds = usersBounds
			h.answerAllPolls()
			lost := h.runOne(id1, 1000).To.ID
			h.takeOver()
			claim := nextClaim(nil, "a", usersBounds, witnesses)
			claim = nextClaim([]partition.Record{ClaimRecord(claim)}, "e", usersBounds, witnesses)
			h.core.SetClaim(claim, h.now, h.wall)
			h.answerAllPollsBut(lost)
			for _, daemon := range tc.left {
				h.do(func(c *Core) { c.PromiseReceived(daemon, true) })
			}
			began := h.now
			for h.now.Sub(began) < time.Minute && len(h.starts) == 0 {
				h.advance(100 * time.Millisecond)
			}
			if took := h.now.Sub(began); len(h.starts) == 0 || took > tc.within {
				t.Errorf("%d starts %s after the claim, want one within %s", len(h.starts), took, tc.within)
			}
		})
	}
}

// The attestations of a majority extend leases for a shorter time than those of all, and for
// as long as the claims of an earlier version let them if the claim is one of those.
func TestTenure_MajorityExtendsLeasesShorterThanAll(t *testing.T) {
	const shorter = 2 * time.Second
	shorterMS := shorter.Milliseconds()
	for _, tc := range []struct {
		name      string
		stored    *int64
		attesting []string
		want      time.Duration
	}{
		{"a majority", &shorterMS, []string{"a", "b"}, shorter},
		{"all", &shorterMS, []string{"a", "b", "c"}, 20 * time.Second},
		{"a majority, earlier version", nil, []string{"a", "b"}, 20 * time.Second},
	} {
		claim := testClaim()
		claim.MajorityMS = tc.stored
		o := newTenure(claim, testTenureLease, timeAt(0), timeAt(0))
		for _, w := range tc.attesting {
			o.applyAttestation(w, timeAt(20*time.Second), timeAt(20*time.Second), time.Hour)
		}
		if got := o.leaseLeft(timeAt(0)); got != tc.want+testTenureLease {
			t.Errorf("%s: leases until %s, want %s", tc.name, got, tc.want+testTenureLease)
		}
	}
}

// One promise shows that an earlier owner cannot have all attestations. It says nothing of the
// owners of an earlier version, which need a majority alone.
func TestTenure_OnePromiseEndsTheLongDoubt(t *testing.T) {
	shorterMS := (2 * time.Second).Milliseconds()
	for _, tc := range []struct {
		name    string
		stored  *int64
		promise string
		at      time.Duration
		over    bool
	}{
		{"too early", &shorterMS, "b", 2 * time.Second, false},
		{"after the time of a majority", &shorterMS, "b", 2100 * time.Millisecond, true},
		{"of a daemon that is no witness", &shorterMS, "x", 10 * time.Second, false},
		{"an earlier version", nil, "b", 10 * time.Second, false},
		{"nobody in the longest time", &shorterMS, "x", 32 * time.Second, true},
	} {
		claim := testClaim()
		claim.Prior[0].MajorityMS = tc.stored
		o := newTenure(claim, testTenureLease, timeAt(0), timeAt(0))
		o.applyPromise(tc.promise, false, timeAt(time.Second))
		o.advance(timeAt(tc.at))
		if _, over := o.sinceLastPriorRenewal(timeAt(tc.at)); over != tc.over {
			t.Errorf("%s: no extension any more: %t, want %t", tc.name, over, tc.over)
		}
	}
}

// The time for a majority follows from the bounds, and bounds that leave none say so.
func TestBounds_MajorityAttested(t *testing.T) {
	for _, tc := range []struct {
		lease, restart time.Duration
		least, most    time.Duration
		fits           bool
	}{
		{10 * time.Second, 17 * time.Second, 2 * time.Second, 2500 * time.Millisecond, true},
		{6 * time.Second, 17 * time.Second, 5 * time.Second, 7 * time.Second, true},
		{10 * time.Second, 14 * time.Second, 0, 0, false},
		{10 * time.Second, time.Hour, maxAttested, maxAttested, true},
		{10 * time.Second, 0, maxAttested, maxAttested, true},
	} {
		name := fmt.Sprintf("leases of %s, restart within %s", tc.lease, tc.restart)
		got, fits := Bounds{MaxLease: tc.lease, RestartTime: tc.restart}.MajorityAttested()
		if got < tc.least || got > tc.most || fits != tc.fits {
			t.Errorf("%s: %s, %t, want %s to %s, %t", name, got, fits, tc.least, tc.most, tc.fits)
		}
	}
}
