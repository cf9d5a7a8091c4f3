package tenant

import (
	"time"

	"github.com/currantwinch/currantwinch/placement/quota"
	"github.com/currantwinch/currantwinch/workload"
)

// InExcess reports whether another submission of a tenant is beyond its rate, with a burst
// of what the tenant may send within the window.
func (l *Ledger) InExcess(name string, now time.Time) bool {
	a, _, entitled := l.limitOf(name)
	return entitled && a.submissions.TokensAt(now) < 1
}

// Accepted counts a submission that was accepted within its tenant's rate. One that is
// refused is not counted: its caller sends it again.
func (l *Ledger) Accepted(name string, now time.Time) {
	if a, _, entitled := l.limitOf(name); entitled {
		a.submissions.AllowN(now, 1)
	}
}

// RefreshShares renews which tenants use all of their share of total or more. A tenant's share
// is its weight divided by the weights of all tenants that have attempts or of which
// waiting reports that work waits. What a tenant uses is the largest fraction that it uses
// of any resource.
func (l *Ledger) RefreshShares(total workload.Resources, waiting func(name string) bool) {
	if !l.active {
		return
	}
	weights := 0.0
	for _, a := range l.accounts {
		if a.entitled && (a.attempts > 0 || waiting(a.name)) {
			weights += a.entitlement.Weight
		}
	}
	for _, a := range l.accounts {
		a.share = 0
		if weights > 0 {
			a.share = min(a.entitlement.Weight/weights, 1)
		}
		a.usage = float64(quota.DominantShare(a.used, amountsOf(total))) / quota.ShareUnit
		a.over = a.entitled && weights > 0 && a.usage >= a.share
	}
}

// OverShare reports whether a tenant used all of its share or more when the shares were last
// renewed.
func (l *Ledger) OverShare(name string) bool {
	a, _, entitled := l.limitOf(name)
	return entitled && a.over
}

// Share returns the share of the capacity to which a tenant is entitled while all tenants
// that have work compete, and the fraction that it used, when the shares were last renewed.
func (l *Ledger) Share(name string) (share, usage float64) {
	a := l.accounts[name]
	if a == nil {
		return 0, 0
	}
	return a.share, a.usage
}
