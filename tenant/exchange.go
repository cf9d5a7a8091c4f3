package tenant

import (
	"time"

	"github.com/currantwinch/currantwinch/placement/quota"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	// peakWindow is the length of one window of peak. The largest demand of a tenant counts as
	// what it needs soon for one to two windows.
	peakWindow = time.Second
	// ceilingTime is how long an owner starts nothing above the fraction that it keeps after
	// a division of the cap, so that capacity for a transfer becomes free as its runs end.
	// The owner that needs the transfer asks twice in that time.
	ceilingTime = time.Second
	// minTransfer is the smallest amount, in millionths of the cap, that is transferred unless
	// less was asked for. Each transfer costs three writes.
	minTransfer = Whole / 1000
)

// peak is the largest demand of a tenant in this window and the one before.
type peak struct {
	since             time.Time
	current, previous quota.Amounts
}

// Question asks the owners of other partitions for a part of a tenant's cap. All amounts
// are in millionths of the cap.
type Question struct {
	Tenant string `json:"tenant"`
	// From is the partition that asks, which holds Held, could use Demand and asks for
	// Amount more.
	From   int   `json:"from"`
	Held   int64 `json:"held"`
	Demand int64 `json:"demand"`
	Amount int64 `json:"amount"`
	// Gang is the use with which its largest waiting gang would run.
	Gang int64 `json:"gang"`
	// Precedes is set by the owner that is asked if the partition that asks has the lower
	// number.
	Precedes bool `json:"-"`
}

func most(a, b quota.Amounts) quota.Amounts {
	return quota.Amounts{max(a[0], b[0]), max(a[1], b[1]), max(a[2], b[2])}
}

// Observe updates the recent peak of a tenant's demand: what it uses, plus what its queued
// tasks would reserve.
func (l *Ledger) Observe(name string, queued workload.Resources, now time.Time) {
	a, _, capped := l.limitOf(name)
	if !capped {
		return
	}
	if now.Sub(a.peak.since) >= peakWindow {
		a.peak.previous, a.peak.current, a.peak.since = a.peak.current, quota.Amounts{}, now
	}
	a.peak.current = most(a.peak.current, a.used.Plus(amountsOf(queued)))
	if !now.Before(a.ceilingUntil) {
		a.ceiling = 0
	}
}

// Ask returns the request to the owners of other partitions for a part of a tenant's cap, if
// the tenant's runs and queued tasks here need more than this owner holds, and otherwise
// false. The caller sets From.
func (l *Ledger) Ask(name string, queued workload.Resources) (Question, bool) {
	a, limit, capped := l.limitOf(name)
	if !capped {
		return Question{}, false
	}
	held := l.Fractions.Usable(name)
	demand := min(fractionFor(a.used.Plus(l.unattributed).Plus(amountsOf(queued)), limit), Whole)
	if demand <= held {
		return Question{}, false
	}
	return Question{Tenant: name, Held: held, Demand: demand, Amount: demand - held, Gang: l.gangUse(a, limit)}, true
}

// SetGang notes what the largest waiting gang of a tenant needs; nothing if none waits.
func (l *Ledger) SetGang(name string, need workload.Resources) {
	if a, _, capped := l.limitOf(name); capped {
		a.gang = amountsOf(need)
	}
}

// gangUse returns the use with which the largest waiting gang would run, in millionths of the
// cap; 0 if none waits, or if it is larger than the cap and waits for a higher one.
func (l *Ledger) gangUse(a *account, limit quota.Amounts) int64 {
	if a.gang == (quota.Amounts{}) || fractionFor(a.gang, limit) > Whole {
		return 0
	}
	return min(fractionFor(a.used.Plus(l.unattributed).Plus(a.gang), limit), Whole)
}

// Grant returns how much this owner gives to one that asks, in millionths of the cap: what
// it neither uses nor needs soon, or 0. If both need more than they hold, the sum of what
// they hold is divided in proportion to their demands. An owner that holds more than its
// part then starts nothing above that part for a second, and gives what its runs free as
// they end. A gang that the part of its partition does not hold gets precedence, that of the
// lower partition if both have one.
func (l *Ledger) Grant(q Question, queued workload.Resources, now time.Time) int64 {
	a, limit, capped := l.limitOf(q.Tenant)
	if !capped || q.Amount <= 0 {
		return 0
	}
	l.Observe(q.Tenant, queued, now)
	held := l.Fractions.Usable(q.Tenant)
	used := fractionFor(a.used.Plus(l.unattributed), limit)
	soon := fractionFor(most(a.peak.current, a.peak.previous).Plus(l.unattributed), limit)
	if l.Fractions.faults.giveUsed {
		used, soon = 0, 0
	}
	keep := max(soon, used)
	if soon > held-q.Amount && q.Demand > 0 {
		both := held + max(q.Held, 0)
		part := int64(float64(both) * float64(soon) / float64(soon+q.Demand))
		// A gang starts whole: one that its part does not hold would never start.
		askerBlocked, ownBlocked := q.Gang > both-part, l.gangUse(a, limit) > part
		switch {
		case askerBlocked && (q.Precedes || !ownBlocked):
			part = 0
		case ownBlocked:
			return 0
		}
		if part < keep {
			keep = max(part, used)
			a.ceiling, a.ceilingUntil = max(part, 1), now.Add(ceilingTime)
		}
	}
	give := min(held-keep, q.Amount)
	if give < min(minTransfer, q.Amount) {
		return 0
	}
	return give
}
