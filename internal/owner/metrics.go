package owner

import "github.com/VictoriaMetrics/metrics"

type ownerMetrics struct {
	listErrors, claims, effectiveClaims, lapsedLeases, handedOverShares *metrics.Counter
}

func newOwnerMetrics(set *metrics.Set, w *Owner) ownerMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	set.GetOrCreateGauge("currantwinch_owner_acting_shares", func() float64 {
		w.mu.Lock()
		defer w.mu.Unlock()
		return float64(len(w.leased))
	})
	set.GetOrCreateGauge("currantwinch_owner_live_daemons", func() float64 { return float64(len(w.Live())) })
	return ownerMetrics{
		listErrors:       set.GetOrCreateCounter("currantwinch_owner_list_errors_total"),
		claims:           set.GetOrCreateCounter("currantwinch_owner_claims_total"),
		effectiveClaims:  set.GetOrCreateCounter("currantwinch_owner_effective_claims_total"),
		lapsedLeases:     set.GetOrCreateCounter("currantwinch_owner_lapses_total"),
		handedOverShares: set.GetOrCreateCounter("currantwinch_owner_handed_over_shares_total"),
	}
}
