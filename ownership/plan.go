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

// Assignment is a share and the daemon that owns it; Owner is empty if there
// is none.
type Assignment struct {
	Share cluster.Share
	// Region is the region of the share's VMs; empty for a share without a
	// location.
	Region string
	Owner  string
}

// Move assigns a share to another daemon. From is empty for a share whose
// owner is not a candidate.
type Move struct {
	Share    cluster.Share
	From, To string
}

// Plan returns the moves that balance the shares over the candidates. Shares
// of one kind and region form a group, which is spread over the candidates of
// that region, or over all candidates if the region has none. Only shares
// above a candidate's quota of the group and shares without an owner move.
// Daemons that call it with equal arguments get the same moves. Of several
// candidates with the same name, the first one counts.
func Plan(shares []Assignment, candidates []Candidate) []Move {
	if len(candidates) == 0 {
		return nil
	}
	sorted := slices.SortedStableFunc(slices.Values(candidates), func(a, b Candidate) int { return cmp.Compare(a.Name, b.Name) })
	p := planner{
		candidates:     slices.CompactFunc(sorted, func(a, b Candidate) bool { return a.Name == b.Name }),
		sharesByDaemon: make(map[string]int), sharesByDomain: make(map[string]int),
	}
	groups := p.groups(shares)
	for _, key := range slices.SortedFunc(maps.Keys(groups), group.compare) {
		p.plan(key, groups[key])
	}
	return p.moves
}

// group is a set of shares that is balanced together.
type group struct {
	kind   cluster.ShareKind
	region string
}

func (g group) compare(o group) int {
	return cmp.Or(cmp.Compare(g.kind, o.kind), cmp.Compare(g.region, o.region))
}

type planner struct {
	candidates []Candidate
	// sharesByDaemon and sharesByDomain count the shares assigned so far, by
	// daemon and by failure domain.
	sharesByDaemon, sharesByDomain map[string]int
	moves                          []Move
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

// localCandidates returns the candidates of a region, or all if it has none.
func (p *planner) localCandidates(region string) []Candidate {
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
	local := p.localCandidates(key.region)
	held := make(map[string][]Assignment, len(local))
	for _, c := range local {
		held[c.Name] = nil
	}
	var unassigned []Assignment
	for _, s := range shares {
		if _, ok := held[s.Owner]; ok {
			held[s.Owner] = append(held[s.Owner], s)
		} else {
			unassigned = append(unassigned, s)
		}
	}
	quota := p.quotas(local, held, len(shares))
	for _, c := range local {
		if extra := len(held[c.Name]) - quota[c.Name]; extra > 0 {
			kept := len(held[c.Name]) - extra
			unassigned = append(unassigned, held[c.Name][kept:]...)
			held[c.Name] = held[c.Name][:kept]
		}
		p.addLoad(c, len(held[c.Name]))
	}
	p.assign(unassigned, local, held, quota)
}

// quotas returns how many shares of the group each candidate gets. The larger
// quotas go first to candidates that already hold that many, which minimises
// the moves, and then to those with the fewest shares otherwise.
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
		cmp.Compare(p.sharesByDaemon[a.Name], p.sharesByDaemon[b.Name]),
		cmp.Compare(p.sharesByDomain[a.Location.FailureDomain], p.sharesByDomain[b.Location.FailureDomain]),
		cmp.Compare(a.Name, b.Name),
	)
}

func (p *planner) addLoad(c Candidate, shares int) {
	p.sharesByDaemon[c.Name] += shares
	p.sharesByDomain[c.Location.FailureDomain] += shares
}

// assign gives each unassigned share to the candidate below its quota with the
// highest rendezvous score for it. No choice depends on how many moves were
// already made, so daemons that plan while some of the moves are made agree on
// the others.
func (p *planner) assign(unassigned []Assignment, local []Candidate, held map[string][]Assignment, quota map[string]int) {
	slices.SortFunc(unassigned, func(a, b Assignment) int { return cmp.Compare(a.Share.String(), b.Share.String()) })
	assigned := make(map[string]int, len(local))
	for _, s := range unassigned {
		var best *Candidate
		for i, c := range local {
			if len(held[c.Name])+assigned[c.Name] >= quota[c.Name] {
				continue
			}
			if best == nil || rendezvousScore(s.Share, c) > rendezvousScore(s.Share, *best) {
				best = &local[i]
			}
		}
		assigned[best.Name]++
		p.addLoad(*best, 1)
		p.moves = append(p.moves, Move{Share: s.Share, From: p.owner(s), To: best.Name})
	}
}

// rendezvousScore ranks a candidate for a share by rendezvous hashing.
func rendezvousScore(share cluster.Share, c Candidate) uint64 {
	return xxhash.Sum64String(share.String() + "@" + c.Name)
}

// owner returns the share's owner if it is a candidate, or else "".
func (p *planner) owner(s Assignment) string {
	if slices.ContainsFunc(p.candidates, func(c Candidate) bool { return c.Name == s.Owner }) {
		return s.Owner
	}
	return ""
}
