package ownership_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/ownership"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func drawCell(t *rapid.T) ([]ownership.Assignment, []ownership.Candidate) {
	var candidates []ownership.Candidate
	for i := range rapid.IntRange(1, 9).Draw(t, "daemons") {
		region := fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "region"))
		candidates = append(candidates, ownership.Candidate{
			Name:     fmt.Sprint("d", i),
			Location: cluster.Location{Region: region, FailureDomain: region + fmt.Sprint(i%2)},
		})
	}
	last := rapid.SampledFrom([]int{-1, 10}).Draw(t, "last owner")
	var shares []ownership.Assignment
	for i := range rapid.IntRange(0, 60).Draw(t, "shares") {
		s := ownership.Assignment{Share: cluster.Share{Kind: cluster.ShareKey, Name: fmt.Sprint(i)}}
		if rapid.Bool().Draw(t, "rack") {
			s.Share.Kind = cluster.ShareRack
			s.Region = fmt.Sprint("r", rapid.IntRange(0, 3).Draw(t, "share region"))
		}
		if owner := rapid.IntRange(-1, last).Draw(t, "owner"); owner >= 0 {
			s.Owner = fmt.Sprint("d", owner)
		}
		shares = append(shares, s)
	}
	return shares, candidates
}

func apply(shares []ownership.Assignment, moves []ownership.Move) []ownership.Assignment {
	to := make(map[cluster.Share]string)
	for _, m := range moves {
		to[m.Share] = m.To
	}
	out := make([]ownership.Assignment, len(shares))
	for i, s := range shares {
		if owner, ok := to[s.Share]; ok {
			s.Owner = owner
		}
		out[i] = s
	}
	return out
}

// unowned reports whether no share has an owner, as at the first start of a
// cell.
func unowned(shares []ownership.Assignment) bool {
	return !slices.ContainsFunc(shares, func(s ownership.Assignment) bool { return s.Owner != "" })
}

type groupKey struct {
	kind   cluster.ShareKind
	region string
}

// local returns the daemons that a group may be assigned to.
func local(region string, candidates []ownership.Candidate) map[string]bool {
	in, all := make(map[string]bool), make(map[string]bool)
	for _, c := range candidates {
		all[c.Name] = true
		if region == "" || c.Location.Region == region {
			in[c.Name] = true
		}
	}
	if len(in) == 0 {
		return all
	}
	return in
}

// Every group is balanced within its region, no other balanced assignment
// needs fewer moves, and a second plan moves nothing.
func TestPlan_BalancedMinimalStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares, candidates := drawCell(t)
		moves := ownership.Plan(shares, candidates)
		after := apply(shares, moves)
		if again := ownership.Plan(after, candidates); len(again) != 0 {
			t.Fatalf("second plan moves %v", again)
		}
		made := rapid.IntRange(0, len(moves)).Draw(t, "made")
		rest := ownership.Plan(apply(shares, moves[:made]), candidates)
		if unowned(shares) && !cmp.Equal(apply(apply(shares, moves[:made]), rest), after) {
			t.Fatalf("after %d moves the others changed: %v, %v", made, moves, rest)
		}
		before, then := make(map[groupKey]map[string]int), make(map[groupKey]map[string]int)
		sizes := make(map[groupKey]int)
		for i, s := range shares {
			k := groupKey{s.Share.Kind, s.Region}
			if before[k] == nil {
				before[k], then[k] = make(map[string]int), make(map[string]int)
			}
			before[k][s.Owner]++
			then[k][after[i].Owner]++
			sizes[k]++
		}
		fewest := 0
		for k, size := range sizes {
			in := local(k.region, candidates)
			kept, larger := 0, 0
			for d := range in {
				if n := then[k][d]; n < size/len(in) || n > (size+len(in)-1)/len(in) {
					t.Fatalf("%v: %s holds %d of %d among %d", k, d, n, size, len(in))
				}
				kept += min(before[k][d], size/len(in))
				if before[k][d] > size/len(in) {
					larger++
				}
			}
			fewest += size - kept - min(larger, size%len(in))
		}
		if len(moves) != fewest {
			t.Fatalf("%d moves where %d do", len(moves), fewest)
		}
	})
}

// Guards against needless moves: one daemon of nine that leaves and returns
// moves only its own shares, once away and once back.
func TestPlan_OneDaemonLeavesAndReturns(t *testing.T) {
	var candidates []ownership.Candidate
	for i := range 9 {
		candidates = append(candidates, ownership.Candidate{
			Name: fmt.Sprint("d", i), Location: cluster.Location{Region: fmt.Sprint("r", i%3)},
		})
	}
	var shares []ownership.Assignment
	for i := range cluster.KeyShareCount {
		shares = append(shares, ownership.Assignment{Share: cluster.Share{Kind: cluster.ShareKey, Name: fmt.Sprint(i)}})
	}
	for i := range 99 {
		shares = append(shares, ownership.Assignment{
			Share: cluster.Share{Kind: cluster.ShareRack, Name: fmt.Sprint(i)}, Region: fmt.Sprint("r", i%3),
		})
	}
	shares = apply(shares, ownership.Plan(shares, candidates))
	held := 0
	for _, s := range shares {
		if s.Owner == "d0" {
			held++
		}
	}
	left := ownership.Plan(shares, candidates[1:])
	back := ownership.Plan(apply(shares, left), candidates)
	if diff := cmp.Diff([]int{15, 15, 15}, []int{held, len(left), len(back)}); diff != "" {
		t.Errorf("held, moved away, moved back: -want +got\n%s", diff)
	}
}

// Daemon names come from heartbeats, so a name may occur more than once among
// the candidates.
func TestPlan_DuplicateCandidate(t *testing.T) {
	var shares []ownership.Assignment
	for i := range 5 {
		shares = append(shares, ownership.Assignment{Share: cluster.Share{Kind: cluster.ShareKey, Name: strconv.Itoa(i)}, Owner: "a"})
	}
	once := ownership.Plan(shares, []ownership.Candidate{{Name: "a"}, {Name: "b"}})
	twice := ownership.Plan(shares, []ownership.Candidate{{Name: "a"}, {Name: "b"}, {Name: "a"}})
	if len(once) != 2 || !slices.Equal(once, twice) {
		t.Errorf("got %v, want %v", twice, once)
	}
}
