// Package quota tracks the resources that each team uses in the cell and ranks
// teams for scheduling by weighted dominant-resource fairness with guarantees. A
// team below its guarantee comes before every team that borrows; within both
// groups, the team with the lowest dominant share divided by its weight comes
// first. A team's use never exceeds its limit. Borrowed resources are reclaimed
// when a team below its guarantee needs them.
//
// Homes use it to order their queues and to check limits and reclaims. All
// arithmetic is in integers. A Ledger must be used by one goroutine at a time.
package quota

import (
	"math"
	"math/bits"
	"sort"

	"github.com/currantwinch/currantwinch/cluster"
)

// ShareUnit is the dominant share of one that uses everything.
const ShareUnit = 1_000_000_000

// Quota is the entitlement of one team.
type Quota struct {
	// Weight divides the team's share when teams compete; zero counts as one.
	Weight     int64
	Guaranteed cluster.Resources
	// Limit bounds the use of each resource; zero means unlimited.
	Limit cluster.Resources
}

type team struct {
	quota Quota
	used  cluster.Resources
}

// Ledger holds the quota and the use of all teams.
type Ledger struct {
	total cluster.Resources
	teams map[string]*team
}

// NewLedger returns a ledger for a cell with these total resources.
func NewLedger(total cluster.Resources) *Ledger {
	return &Ledger{total: total, teams: make(map[string]*team)}
}

// SetTotal changes the total resources of the cell.
func (l *Ledger) SetTotal(total cluster.Resources) { l.total = total }

// Total returns the total resources of the cell.
func (l *Ledger) Total() cluster.Resources { return l.total }

// SetQuota changes the quota of a team.
func (l *Ledger) SetQuota(name string, q Quota) { l.team(name).quota = q }

// Quota returns a team's quota; it is zero for an unknown team.
func (l *Ledger) Quota(name string) Quota { return l.team(name).quota }

// SetUsed replaces the use of a team.
func (l *Ledger) SetUsed(name string, r cluster.Resources) { l.team(name).used = r }

// Charge adds r to the use of a team; a negative r gives resources back.
func (l *Ledger) Charge(name string, r cluster.Resources) {
	t := l.team(name)
	t.used = t.used.Add(r)
}

// Used returns the use of a team.
func (l *Ledger) Used(name string) cluster.Resources { return l.team(name).used }

// Names returns the names of the known teams, sorted.
func (l *Ledger) Names() []string {
	names := make([]string, 0, len(l.teams))
	for n := range l.teams {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func (l *Ledger) team(name string) *team {
	t, ok := l.teams[name]
	if !ok {
		t = &team{}
		l.teams[name] = t
	}
	return t
}

// Rank is a team's position in the order; the lower rank is served first.
type Rank struct {
	// Borrows is true for a team that uses its guarantee fully or more.
	Borrows bool
	// Share is the team's dominant share divided by its weight, in billionths of
	// the cell.
	Share uint64
}

// Less reports whether r is served before o.
func (r Rank) Less(o Rank) bool {
	if r.Borrows != o.Borrows {
		return !r.Borrows
	}
	return r.Share < o.Share
}

// Rank returns the current rank of a team.
func (l *Ledger) Rank(name string) Rank {
	t := l.team(name)
	return Rank{Borrows: !belowGuarantee(t.used, t.quota.Guaranteed), Share: l.share(t.used) / uint64(max(t.quota.Weight, 1))}
}

// belowGuarantee reports whether any guaranteed resource is not fully used.
func belowGuarantee(used, guaranteed cluster.Resources) bool {
	return used.CPU < guaranteed.CPU || used.Memory < guaranteed.Memory || used.Accelerators < guaranteed.Accelerators
}

// share returns the dominant share: the largest fraction of the cell that used
// takes of any resource.
func (l *Ledger) share(used cluster.Resources) uint64 {
	return DominantShare(amountsOf(used), amountsOf(l.total))
}

func shareOf(used, total int64) uint64 {
	if used <= 0 {
		return 0
	}
	if total <= 0 {
		return math.MaxUint32
	}
	hi, lo := bits.Mul64(uint64(used), ShareUnit)
	if hi >= uint64(total) {
		return math.MaxUint64
	}
	q, _ := bits.Div64(hi, lo, uint64(total))
	return q
}

// Allows reports whether a team can use r more without exceeding its limit.
func (l *Ledger) Allows(name string, r cluster.Resources) bool {
	t := l.team(name)
	return withinLimit(t.used, r, t.quota.Limit)
}

// AllowsSplit reports whether a team's use may grow by r while several placers
// divide the headroom below its limit evenly. Unreported is what this placer has
// taken since it last learned the use by the others. A placer's first request is
// always allowed, so that the last of the headroom can be used.
func (l *Ledger) AllowsSplit(name string, r, unreported cluster.Resources, placers int) bool {
	if unreported.IsZero() {
		return true
	}
	t := l.team(name)
	known, n := t.used.Sub(unreported), int64(max(placers, 1))
	ok := func(known, taken, more, limit int64) bool {
		return limit == 0 || more == 0 || (taken+more)*n <= limit-known
	}
	return ok(known.CPU, unreported.CPU, r.CPU, t.quota.Limit.CPU) &&
		ok(known.Memory, unreported.Memory, r.Memory, t.quota.Limit.Memory) &&
		ok(known.Accelerators, unreported.Accelerators, r.Accelerators, t.quota.Limit.Accelerators)
}

// FitsLimit reports whether r alone is within the team's limit.
func (l *Ledger) FitsLimit(name string, r cluster.Resources) bool {
	return withinLimit(cluster.Resources{}, r, l.team(name).quota.Limit)
}

func withinLimit(used, r, limit cluster.Resources) bool {
	return Within(amountsOf(used), amountsOf(r), amountsOf(limit))
}

func amountsOf(r cluster.Resources) Amounts { return Amounts{r.CPU, r.Memory, r.Accelerators} }

// MayReclaim reports whether a team that uses r more stays within its guarantee,
// and may therefore reclaim what other teams borrow.
func (l *Ledger) MayReclaim(name string, r cluster.Resources) bool {
	t := l.team(name)
	return !t.quota.Guaranteed.IsZero() && t.used.Add(r).Fits(t.quota.Guaranteed)
}

// MayReclaimFrom reports whether r can be reclaimed from a team: the team has no
// guarantee, or still uses all of it without r.
func (l *Ledger) MayReclaimFrom(name string, r cluster.Resources) bool {
	t := l.team(name)
	rest := t.used.Sub(r)
	return t.quota.Guaranteed.IsZero() || t.quota.Guaranteed.Fits(rest)
}

// Borrowed returns the use of a team above its guarantee; no dimension is
// negative.
func (l *Ledger) Borrowed(name string) cluster.Resources {
	t := l.team(name)
	over := t.used.Sub(t.quota.Guaranteed)
	return cluster.Resources{CPU: max(over.CPU, 0), Memory: max(over.Memory, 0), Accelerators: max(over.Accelerators, 0)}
}
