// Package tenant decides what the tenants of a cluster may start: it counts what each has
// running against its cap, orders tenants by their share of the capacity, and tells
// submissions within a tenant's rate from those in excess of it. It does no input or
// output and reads no clock. A Ledger must be used by one goroutine at a time.
package tenant

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/placement/quota"
	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
	"golang.org/x/time/rate"
)

// DefaultWindow is the time over which a tenant's rate of submissions counts if the
// settings give none.
const DefaultWindow = 5 * time.Second

// account is what is known of one tenant.
type account struct {
	name string
	// entitlement is the last one that a configuration held, if entitled is set.
	entitlement routing.Tenant
	entitled    bool
	// used is the sum of what the tenant's attempts reserve, and attempts is their number.
	used     quota.Amounts
	attempts int
	// submissions grants the submissions that are not in excess.
	submissions *rate.Limiter
	// share is the part of the capacity to which the tenant is entitled, usage the part
	// that it uses, and over is set if that is as much or more.
	share, usage float64
	over         bool
	// peak is the largest recent demand. Above ceiling, unless it is 0, nothing starts until
	// ceilingUntil: another owner needs that part of the cap.
	peak peak
	// gang is what the largest waiting gang needs.
	gang         quota.Amounts
	ceiling      int64
	ceilingUntil time.Time
}

// Ledger holds what each tenant has running on the servers of one owner. The empty name
// is that of work without a tenant, which has no cap and no share.
type Ledger struct {
	window   time.Duration
	active   bool
	accounts map[string]*account
	// excess is what attempts of submissions beyond their tenants' rates reserve.
	excess quota.Amounts
	// unattributed is capacity that any tenant may be using.
	unattributed quota.Amounts
	// Fractions holds the part of each cap that this owner may use.
	Fractions *Fractions
}

// NewLedger returns a Ledger that counts rates of submissions over the given window.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{window: cmp.Or(window, DefaultWindow), accounts: make(map[string]*account), Fractions: NewFractions(true)}
}

func amountsOf(r workload.Resources) quota.Amounts { return quota.Amounts{r.CPU, r.MemoryMB, r.GPU} }

func resourcesOf(a quota.Amounts) workload.Resources {
	return workload.Resources{CPU: a[0], MemoryMB: a[1], GPU: a[2]}
}

func (l *Ledger) account(name string) *account {
	a, ok := l.accounts[name]
	if !ok {
		a = &account{name: name}
		l.accounts[name] = a
	}
	return a
}

// Configure applies the tenants of a configuration. A nil tenancy means that there are no
// caps and no shares. A tenant that the configuration no longer has keeps the entitlement
// that it had last, since work of it may still be waiting.
func (l *Ledger) Configure(tenancy *routing.Tenancy, now time.Time) {
	l.active = tenancy != nil
	if !l.active {
		return
	}
	for name, t := range tenancy.Tenants {
		a := l.account(name)
		a.entitlement, a.entitled = t, true
		burst := max(int(t.Weight*l.window.Seconds()), 1)
		if a.submissions == nil {
			a.submissions = rate.NewLimiter(rate.Limit(t.Weight), burst)
			continue
		}
		a.submissions.SetLimitAt(now, rate.Limit(t.Weight))
		a.submissions.SetBurstAt(now, burst)
	}
}

// Active reports whether the configuration has tenants.
func (l *Ledger) Active() bool { return l.active }

// Reserve adds one attempt to a tenant's use, whatever its cap is. Excess is set if it is
// of a submission beyond the tenant's rate. A nil Ledger counts nothing.
func (l *Ledger) Reserve(name string, need workload.Resources, excess bool) {
	l.change(name, amountsOf(need), 1, excess)
}

// Release removes an attempt from a tenant's use.
func (l *Ledger) Release(name string, need workload.Resources, excess bool) {
	l.change(name, quota.Amounts{}.Minus(amountsOf(need)), -1, excess)
}

func (l *Ledger) change(name string, by quota.Amounts, attempts int, excess bool) {
	if l == nil || name == "" {
		return
	}
	a := l.account(name)
	a.used = a.used.Plus(by)
	a.attempts += attempts
	if excess {
		l.excess = l.excess.Plus(by)
	}
}

// ExcessUse returns what the attempts of all submissions beyond their tenants' rates
// reserve.
func (l *Ledger) ExcessUse() workload.Resources { return resourcesOf(l.excess) }

// SetUnattributed sets the capacity on which runs of any tenant may be: that of servers
// whose runs are not known. It counts as used by every tenant.
func (l *Ledger) SetUnattributed(r workload.Resources) { l.unattributed = amountsOf(r) }

// Unattributed returns the capacity that counts as used by every tenant.
func (l *Ledger) Unattributed() workload.Resources { return resourcesOf(l.unattributed) }

// limitOf returns the cap that applies to a tenant, or false if none does.
func (l *Ledger) limitOf(name string) (*account, quota.Amounts, bool) {
	if !l.active || name == "" {
		return nil, quota.Amounts{}, false
	}
	a := l.accounts[name]
	if a == nil || !a.entitled {
		return nil, quota.Amounts{}, false
	}
	return a, amountsOf(a.entitlement.Cap), true
}

// Allows returns how many of n tasks that need as much each may start now. Every start
// begins while the tenant's use is below its cap, so that a steady stream of smaller tasks
// cannot starve a task larger than the rest of the cap. The use exceeds the cap by less than
// one task. An owner that holds at most half of the cap starts nothing that would exceed its
// fraction, so that all owners together exceed the cap by less than one task.
func (l *Ledger) Allows(name string, need workload.Resources, n int) int {
	a, limit, capped := l.limitOf(name)
	if !capped {
		return n
	}
	used, fraction := a.used.Plus(l.unattributed), l.Fractions.Usable(name)
	if a.ceiling > 0 {
		fraction = min(fraction, a.ceiling)
	}
	limit = limitBy(limit, fraction)
	if fraction > Whole/2 {
		return quota.StartsBelow(used, amountsOf(need), limit, n)
	}
	return quota.StartsWithin(used, amountsOf(need), limit, n)
}

// AtCap reports whether a tenant uses all that this owner may use of its cap, for at least
// one resource.
func (l *Ledger) AtCap(name string) bool {
	a, limit, capped := l.limitOf(name)
	if !capped {
		return false
	}
	used := a.used.Plus(l.unattributed)
	for i, most := range limitBy(limit, l.Fractions.Usable(name)) {
		if most != 0 && used[i] >= most {
			return true
		}
	}
	return false
}

// Fraction returns the part of a tenant's cap that this owner may use, in millionths.
func (l *Ledger) Fraction(name string) int64 { return l.Fractions.Usable(name) }

// MostAtOnce returns how many of n tasks that need as much each can ever run at the same
// time under a tenant's cap.
func (l *Ledger) MostAtOnce(name string, need workload.Resources, n int) int {
	limit, capped := l.Limit(name)
	if !capped {
		return n
	}
	return MostUnder(limit, need, n)
}

// MostUnder returns the same for a cap; a resource that is 0 is unlimited.
func MostUnder(limit, need workload.Resources, n int) int {
	return quota.StartsBelow(quota.Amounts{}, amountsOf(need), amountsOf(limit), n)
}

// Limit returns a tenant's cap over all owners, or false if none applies. A resource that is 0 is
// unlimited.
func (l *Ledger) Limit(name string) (workload.Resources, bool) {
	_, limit, capped := l.limitOf(name)
	return resourcesOf(limit), capped
}

// Cap returns a tenant's cap over all owners; a resource that is 0 is unlimited.
func (l *Ledger) Cap(name string) workload.Resources {
	_, limit, _ := l.limitOf(name)
	return resourcesOf(limit)
}

// Names returns the names of the tenants that the configuration has or had, or that have
// attempts, in order.
func (l *Ledger) Names() []string { return slices.Sorted(maps.Keys(l.accounts)) }

// Used returns what a tenant's attempts reserve, and how many there are.
func (l *Ledger) Used(name string) (used workload.Resources, attempts int) {
	a := l.accounts[name]
	if a == nil {
		return workload.Resources{}, 0
	}
	return resourcesOf(a.used), a.attempts
}
