package tenant

import (
	"time"

	"github.com/currantwinch/currantwinch/placement/quota"
	"github.com/currantwinch/currantwinch/workload"
)

// InExcess reports whether another submission of a tenant would exceed its rate. The burst
// is what the rate allows within the window of NewLedger.
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

// RefreshShares recomputes the share and the usage of each tenant, as fractions of total, the
// capacity in service. A tenant's share is its weight divided by the sum of the weights of
// the tenants that have attempts or for which waiting reports queued work. Its usage is the
// largest fraction that it uses of any resource (dominant share).
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

// OverShare reports whether a tenant's usage was at least its share at the last
// RefreshShares.
func (l *Ledger) OverShare(name string) bool {
	a, _, entitled := l.limitOf(name)
	return entitled && a.over
}

// Share returns a tenant's share and usage, as fractions of the capacity from 0 to 1, as of
// the last RefreshShares.
func (l *Ledger) Share(name string) (share, usage float64) {
	a := l.accounts[name]
	if a == nil {
		return 0, 0
	}
	return a.share, a.usage
}
