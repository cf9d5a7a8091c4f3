// Package quota keeps what each team uses of the cell and says who comes
// next. The rule is weighted dominant-resource fairness with guarantees: a
// team below its guarantee comes before any team that borrows; within either
// group the team with the least dominant share for its weight comes first. A
// team's limit is never passed. What a team borrows is taken back when a team
// below its guarantee needs it.
//
// All arithmetic is in integers. A Ledger belongs to one goroutine.
package quota

import (
	"math"
	"math/bits"
	"sort"

	"github.com/currantwinch/currantwinch/cluster"
)

// shareUnit is a share of the whole cell.
const shareUnit = 1_000_000_000

// Quota is one team's part of the cell.
type Quota struct {
	// Weight is the team's part of what is contended; zero counts as one.
	Weight     int64
	Guaranteed cluster.Resources
	// Limit bounds each resource; a zero one is unlimited.
	Limit cluster.Resources
}

type team struct {
	quota Quota
	used  cluster.Resources
}

// Ledger holds all teams.
type Ledger struct {
	total cluster.Resources
	teams map[string]*team
}

// NewLedger returns a ledger of a cell that holds total.
func NewLedger(total cluster.Resources) *Ledger {
	return &Ledger{total: total, teams: make(map[string]*team)}
}

// SetTotal changes what the cell holds.
func (l *Ledger) SetTotal(total cluster.Resources) { l.total = total }

// Total is what the cell holds.
func (l *Ledger) Total() cluster.Resources { return l.total }

// SetQuota changes a team's quota.
func (l *Ledger) SetQuota(name string, q Quota) { l.team(name).quota = q }

// Quota returns a team's quota.
func (l *Ledger) Quota(name string) Quota { return l.team(name).quota }

// SetUsed replaces what a team uses.
func (l *Ledger) SetUsed(name string, r cluster.Resources) { l.team(name).used = r }

// Charge adds to what a team uses; give back with a negative amount.
func (l *Ledger) Charge(name string, r cluster.Resources) {
	t := l.team(name)
	t.used = t.used.Add(r)
}

// Used is what a team uses.
func (l *Ledger) Used(name string) cluster.Resources { return l.team(name).used }

// Names returns the known teams in order.
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

// Rank orders teams; the lower one is served first.
type Rank struct {
	// Borrows is true for a team at or over its guarantee.
	Borrows bool
	// Share is the dominant share for the team's weight, in billionths of the
	// cell.
	Share uint64
}

// Less reports whether r comes before o.
func (r Rank) Less(o Rank) bool {
	if r.Borrows != o.Borrows {
		return !r.Borrows
	}
	return r.Share < o.Share
}

// Rank returns a team's place in the order.
func (l *Ledger) Rank(name string) Rank {
	t := l.team(name)
	return Rank{Borrows: !below(t.used, t.quota.Guaranteed), Share: l.share(t.used) / uint64(max(t.quota.Weight, 1))}
}

// below reports whether something guaranteed is not used yet.
func below(used, guaranteed cluster.Resources) bool {
	return used.CPU < guaranteed.CPU || used.Memory < guaranteed.Memory || used.Accelerators < guaranteed.Accelerators
}

// share is the largest part that used is of the cell in any resource.
func (l *Ledger) share(used cluster.Resources) uint64 {
	return max(part(used.CPU, l.total.CPU), part(used.Memory, l.total.Memory), part(used.Accelerators, l.total.Accelerators))
}

func part(used, total int64) uint64 {
	if used <= 0 {
		return 0
	}
	if total <= 0 {
		return math.MaxUint32
	}
	hi, lo := bits.Mul64(uint64(used), shareUnit)
	if hi >= uint64(total) {
		return math.MaxUint64
	}
	q, _ := bits.Div64(hi, lo, uint64(total))
	return q
}

// Allows reports whether a team may use r more without passing its limit.
func (l *Ledger) Allows(name string, r cluster.Resources) bool {
	t := l.team(name)
	return within(t.used, r, t.quota.Limit)
}

// AllowsSplit reports whether a team's use may grow by r where parts placers
// share the room below its limit, of which this one has taken unseen since it
// last knew what the others use. A part's first take is always allowed, so
// that the last of the room can be used.
func (l *Ledger) AllowsSplit(name string, r, unseen cluster.Resources, parts int) bool {
	if unseen.IsZero() {
		return true
	}
	t := l.team(name)
	known, n := t.used.Sub(unseen), int64(max(parts, 1))
	ok := func(known, unseen, more, limit int64) bool {
		return limit == 0 || more == 0 || (unseen+more)*n <= limit-known
	}
	return ok(known.CPU, unseen.CPU, r.CPU, t.quota.Limit.CPU) &&
		ok(known.Memory, unseen.Memory, r.Memory, t.quota.Limit.Memory) &&
		ok(known.Accelerators, unseen.Accelerators, r.Accelerators, t.quota.Limit.Accelerators)
}

// FitsLimit reports whether r alone keeps within the team's limit.
func (l *Ledger) FitsLimit(name string, r cluster.Resources) bool {
	return within(cluster.Resources{}, r, l.team(name).quota.Limit)
}

func within(used, r, limit cluster.Resources) bool {
	ok := func(used, more, limit int64) bool { return limit == 0 || more == 0 || used+more <= limit }
	return ok(used.CPU, r.CPU, limit.CPU) && ok(used.Memory, r.Memory, limit.Memory) &&
		ok(used.Accelerators, r.Accelerators, limit.Accelerators)
}

// MayReclaim reports whether a team stays within its guarantee with r more,
// so that it may take back what others borrow.
func (l *Ledger) MayReclaim(name string, r cluster.Resources) bool {
	t := l.team(name)
	return !t.quota.Guaranteed.IsZero() && t.used.Add(r).Fits(t.quota.Guaranteed)
}

// MayReclaimFrom reports whether a team would still have its guarantee, or be a plain
// borrower, after it gave r back.
func (l *Ledger) MayReclaimFrom(name string, r cluster.Resources) bool {
	t := l.team(name)
	rest := t.used.Sub(r)
	return t.quota.Guaranteed.IsZero() || t.quota.Guaranteed.Fits(rest)
}

// Borrowed returns what a team uses above its guarantee, never negative.
func (l *Ledger) Borrowed(name string) cluster.Resources {
	t := l.team(name)
	over := t.used.Sub(t.quota.Guaranteed)
	return cluster.Resources{CPU: max(over.CPU, 0), Memory: max(over.Memory, 0), Accelerators: max(over.Accelerators, 0)}
}
