package ownership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/currantwinch/currantwinch/cluster"
)

// Candidate is a daemon that may own shares.
type Candidate struct {
	Name     string
	Location cluster.Location
}

// Assignment is one share with the daemon that owns it, or no Owner.
type Assignment struct {
	Share cluster.Share
	// Region is where the share's VMs stand; empty for a share of no place.
	Region string
	Owner  string
}

// Move gives a share to a daemon. From is empty for a share without an owner
// among the candidates.
type Move struct {
	Share    cluster.Share
	From, To string
}

// Plan returns the moves that balance the shares over the candidates. Shares
// of one kind and region form a group, which is spread over the candidates of
// that region, or over all if it has none there. Only what a candidate has
// beyond its part of the group moves, and what has no owner. All daemons with
// equal arguments get the same moves. Of candidates with one name, the first
// counts.
func Plan(shares []Assignment, candidates []Candidate) []Move {
	if len(candidates) == 0 {
		return nil
	}
	sorted := slices.SortedStableFunc(slices.Values(candidates), func(a, b Candidate) int { return cmp.Compare(a.Name, b.Name) })
	p := planner{
		candidates: slices.CompactFunc(sorted, func(a, b Candidate) bool { return a.Name == b.Name }),
		total:      make(map[string]int), domain: make(map[string]int),
	}
	groups := p.groups(shares)
	for _, key := range slices.SortedFunc(maps.Keys(groups), group.compare) {
		p.plan(key, groups[key])
	}
	return p.moves
}

// group is what is balanced together.
type group struct {
	kind   cluster.ShareKind
	region string
}

func (g group) compare(o group) int {
	return cmp.Or(cmp.Compare(g.kind, o.kind), cmp.Compare(g.region, o.region))
}

type planner struct {
	candidates []Candidate
	// total and domain count the shares given so far, by daemon and by
	// failure domain.
	total, domain map[string]int
	moves         []Move
}

func (p *planner) groups(shares []Assignment) map[group][]Assignment {
	sorted := slices.SortedFunc(slices.Values(shares), func(a, b Assignment) int {
		return cmp.Compare(a.Share.String(), b.Share.String())
	})
	groups := make(map[group][]Assignment)
	for _, s := range sorted {
		key := group{s.Share.Kind, s.Region}
		groups[key] = append(groups[key], s)
	}
	return groups
}

// local returns the candidates of a region, or all if there is none.
func (p *planner) local(region string) []Candidate {
	var local []Candidate
	for _, c := range p.candidates {
		if region == "" || c.Location.Region == region {
			local = append(local, c)
		}
	}
	if len(local) == 0 {
		return p.candidates
	}
	return local
}

func (p *planner) plan(key group, shares []Assignment) {
	local := p.local(key.region)
	held := make(map[string][]Assignment, len(local))
	for _, c := range local {
		held[c.Name] = nil
	}
	var loose []Assignment
	for _, s := range shares {
		if _, ok := held[s.Owner]; ok {
			held[s.Owner] = append(held[s.Owner], s)
		} else {
			loose = append(loose, s)
		}
	}
	quota := p.quotas(local, held, len(shares))
	for _, c := range local {
		if extra := len(held[c.Name]) - quota[c.Name]; extra > 0 {
			kept := len(held[c.Name]) - extra
			loose = append(loose, held[c.Name][kept:]...)
			held[c.Name] = held[c.Name][:kept]
		}
		p.count(c, len(held[c.Name]))
	}
	p.give(loose, local, held, quota)
}

// quotas returns how many shares of the group each candidate keeps or gets.
// The larger quotas go to those that hold so many already, so that least
// moves, and then to those with the fewest shares otherwise.
func (p *planner) quotas(local []Candidate, held map[string][]Assignment, shares int) map[string]int {
	order := slices.Clone(local)
	above := func(c Candidate) int { return max(0, len(held[c.Name])-shares/len(order)) }
	slices.SortStableFunc(order, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(min(1, above(b)), min(1, above(a))), p.compareLoad(a, b))
	})
	quota := make(map[string]int, len(order))
	for i, c := range order {
		quota[c.Name] = shares / len(order)
		if i < shares%len(order) {
			quota[c.Name]++
		}
	}
	return quota
}

func (p *planner) compareLoad(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(p.total[a.Name], p.total[b.Name]),
		cmp.Compare(p.domain[a.Location.FailureDomain], p.domain[b.Location.FailureDomain]),
		cmp.Compare(a.Name, b.Name),
	)
}

func (p *planner) count(c Candidate, shares int) {
	p.total[c.Name] += shares
	p.domain[c.Location.FailureDomain] += shares
}

// give hands each loose share to the candidate below its quota that ranks
// first for it. Daemons that plan while a part of the moves is made already
// still agree on the others, since no choice depends on how many were made.
func (p *planner) give(loose []Assignment, local []Candidate, held map[string][]Assignment, quota map[string]int) {
	slices.SortFunc(loose, func(a, b Assignment) int { return cmp.Compare(a.Share.String(), b.Share.String()) })
	given := make(map[string]int, len(local))
	for _, s := range loose {
		var best *Candidate
		for i, c := range local {
			if len(held[c.Name])+given[c.Name] >= quota[c.Name] {
				continue
			}
			if best == nil || rank(s.Share, c) > rank(s.Share, *best) {
				best = &local[i]
			}
		}
		given[best.Name]++
		p.count(*best, 1)
		p.moves = append(p.moves, Move{Share: s.Share, From: p.owner(s), To: best.Name})
	}
}

// rank orders the candidates of one share.
func rank(share cluster.Share, c Candidate) uint64 {
	return xxhash.Sum64String(share.String() + "@" + c.Name)
}

// owner returns the share's owner if that is a candidate.
func (p *planner) owner(s Assignment) string {
	if slices.ContainsFunc(p.candidates, func(c Candidate) bool { return c.Name == s.Owner }) {
		return s.Owner
	}
	return ""
}
