package quota_test

import (
	"fmt"
	"testing"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/placement/quota"
	"pgregory.net/rapid"
)

func amount(cpu, memory, acc int64) cluster.Resources {
	return cluster.Resources{CPU: cpu, Memory: memory, Accelerators: acc}
}

func TestLedger_Cases(t *testing.T) {
	l := quota.NewLedger(amount(1000, 1000, 10))
	l.SetQuota("guaranteed", quota.Quota{Guaranteed: amount(300, 300, 0), Limit: amount(500, 0, 0)})
	l.SetQuota("heavy", quota.Quota{Weight: 4})
	l.SetUsed("guaranteed", amount(200, 200, 0))
	l.SetUsed("heavy", amount(400, 0, 0))
	l.SetUsed("plain", amount(0, 0, 2))
	cases := []struct {
		name      string
		got, want any
	}{
		{"below its guarantee first", l.Rank("guaranteed").Less(l.Rank("nobody")), true},
		{"weight divides the share", l.Rank("heavy").Less(l.Rank("plain")), true},
		{"dominant share", l.Rank("plain").Share, uint64(200_000_000)},
		{"limit", l.Allows("guaranteed", amount(301, 0, 0)), false},
		{"limit reached", l.Allows("guaranteed", amount(300, 900, 0)), true},
		{"over the limit even alone", l.FitsLimit("guaranteed", amount(501, 0, 0)), false},
		{"reclaims within its guarantee", l.MayReclaim("guaranteed", amount(100, 100, 0)), true},
		{"does not reclaim beyond it", l.MayReclaim("guaranteed", amount(101, 0, 0)), false},
		{"no guarantee, no reclaiming", l.MayReclaim("plain", amount(1, 0, 0)), false},
		{"may reclaim from a borrower", l.MayReclaimFrom("plain", amount(0, 0, 2)), true},
		{"may not reclaim guaranteed use", l.MayReclaimFrom("guaranteed", amount(1, 0, 0)), false},
	}
	for _, c := range cases {
		if c.got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, c.got, c.want)
		}
	}
}

// Serving the team with the lowest rank until nothing more fits makes shares as
// even as whole tasks allow, for any mix of task sizes.
func TestRank_EvensOutShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const teams = 6
		l := quota.NewLedger(amount(10000, 10000, 0))
		var sizes [teams]cluster.Resources
		for i := range sizes {
			sizes[i] = amount(rapid.Int64Range(1, 100).Draw(t, "cpu"), rapid.Int64Range(1, 100).Draw(t, "mem"), 0)
		}
		left := l.Total()
		for {
			best := 0
			for i := range sizes {
				if l.Rank(fmt.Sprint(i)).Less(l.Rank(fmt.Sprint(best))) {
					best = i
				}
			}
			if !sizes[best].Fits(left) {
				break
			}
			l.Charge(fmt.Sprint(best), sizes[best])
			left = left.Sub(sizes[best])
		}
		lowest, highest := l.Rank("0").Share, l.Rank("0").Share
		for i := range sizes {
			s := l.Rank(fmt.Sprint(i)).Share
			lowest, highest = min(lowest, s), max(highest, s)
		}
		// One task of 100 is one percent of the cell.
		if highest-lowest > 10_000_000 {
			t.Fatalf("shares range from %d to %d billionths, want at most 10,000,000 apart", lowest, highest)
		}
	})
}

func Example() {
	l := quota.NewLedger(amount(64000, 256, 8))
	l.SetUsed("a", amount(32000, 0, 0))
	l.SetUsed("b", amount(0, 0, 2))
	fmt.Println(l.Rank("b").Less(l.Rank("a")))
	// Output: true
}

func TestAllowsSplit_Cases(t *testing.T) {
	for _, c := range []struct {
		used, unreported, more, limit int64
		placers                       int
		want                          bool
	}{
		{0, 0, 10, 10, 9, true},
		{3, 3, 1, 12, 3, true},
		{4, 4, 1, 12, 3, false},
		{4, 1, 1, 9, 3, true},
		{4, 1, 2, 9, 3, false},
		{4, 4, 8, 12, 1, true},
		{4, 4, 9, 12, 1, false},
		{400, 400, 9, 0, 3, true},
	} {
		l := quota.NewLedger(cluster.Resources{})
		l.SetQuota("a", quota.Quota{Limit: cluster.Resources{CPU: c.limit}})
		l.SetUsed("a", cluster.Resources{CPU: c.used})
		if got := l.AllowsSplit("a", cluster.Resources{CPU: c.more}, cluster.Resources{CPU: c.unreported}, c.placers); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
