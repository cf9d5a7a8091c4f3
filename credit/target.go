package credit

import (
	"cmp"
	"slices"
	"time"
)

func compareIDs(a, b holderID) int {
	return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.incarnation, b.incarnation))
}

// liveHolders returns the holders that may be granted slots, in a fixed order.
func (o *Owner) liveHolders() []*holderState {
	var live []*holderState
	for _, h := range o.holders {
		if !h.expired {
			live = append(live, h)
		}
	}
	slices.SortFunc(live, func(a, b *holderState) int { return compareIDs(a.id, b.id) })
	return live
}

// setTargets divides the slots among the holders: first for the region's own short
// work, then for its long work, then for that of other regions in the same order.
// The remaining slots go to the region's daemons in equal parts, so that they have
// them before they need them. For the tiers of work, daemons whose region has no
// slots count as the region's own.
func (o *Owner) setTargets() {
	live := o.liveHolders()
	available := o.totalSlots()
	for _, l := range o.backends {
		if !l.Leaving {
			available -= min(o.uncertainSlots(l), l.Slots)
		}
	}
	for _, h := range live {
		h.target = 0
		h.charged = o.charged(h)
	}
	tiers := []func(h *holderState) int{
		func(h *holderState) int { return tierDemand(h, true, h.demand.Short) },
		func(h *holderState) int { return tierDemand(h, true, h.demand.Long) },
		func(h *holderState) int { return tierDemand(h, false, h.demand.Short) },
		func(h *holderState) int { return tierDemand(h, false, h.demand.Long) },
		func(h *holderState) int {
			if !h.local {
				return 0
			}
			return available
		},
	}
	for _, tier := range tiers {
		available -= fillTier(live, tier, available)
	}
}

func tierDemand(h *holderState, preferred bool, n int) int {
	if h.preferred != preferred {
		return 0
	}
	return n
}

// fillTier adds up to the available slots to the holders' targets by max-min
// fairness over their demands, and returns how many it added. A slot that does not
// divide evenly goes to the holder with the smaller demand or, of equal ones, the
// smaller target.
func fillTier(live []*holderState, want func(*holderState) int, available int) int {
	order := slices.Clone(live)
	slices.SortStableFunc(order, func(a, b *holderState) int {
		return cmp.Or(cmp.Compare(want(a), want(b)), cmp.Compare(a.target, b.target))
	})
	added := 0
	for i, h := range order {
		remaining := len(order) - i
		equalPart := (available - added + remaining - 1) / remaining
		n := min(max(want(h), 0), equalPart)
		h.target += n
		added += n
	}
	return added
}

// grant brings a holder's slots closer to its target and returns its grants.
func (o *Owner) grant(h *holderState) []Grant {
	granted := o.increaseGrants(h)
	o.reduceGrants(h, granted)
	var grants []Grant
	for _, l := range o.backends {
		if granted[l] > 0 {
			grants = append(grants, Grant{l.Name, granted[l]})
		}
	}
	h.charged = o.charged(h)
	return grants
}

// increaseGrants charges free slots to a holder up to its target, from the backend
// server with the most free ones first.
func (o *Owner) increaseGrants(h *holderState) map[*leasedBackend]int {
	granted := make(map[*leasedBackend]int)
	total := 0
	for _, l := range o.backends {
		if n := l.charges[h.id]; n > 0 && !l.Leaving {
			granted[l] = n
			total += n
		}
	}
	for ; total < h.target; total++ {
		best := slices.MaxFunc(o.backends, func(a, b *leasedBackend) int { return cmp.Compare(a.freeSlots(), b.freeSlots()) })
		if best.freeSlots() == 0 {
			break
		}
		granted[best]++
		best.charges[h.id]++
	}
	return granted
}

// reduceGrants lowers the grants to the holder's target. The slots stay charged to
// it until it reports that it has returned them.
func (o *Owner) reduceGrants(h *holderState, granted map[*leasedBackend]int) {
	total := 0
	for _, n := range granted {
		total += n
	}
	for ; total > h.target; total-- {
		most := o.backends[0]
		for _, l := range o.backends {
			if granted[l] > granted[most] {
				most = l
			}
		}
		granted[most]--
	}
}

func (o *Owner) charged(h *holderState) int {
	n := 0
	for _, l := range o.backends {
		n += l.charges[h.id]
	}
	return n
}

// refreshSignals returns the names of the holders that would return or receive slots
// if they sent a request now.
func (o *Owner) refreshSignals(now time.Time) []string {
	free, missing := 0, 0
	for _, l := range o.backends {
		free += l.freeSlots()
	}
	live := o.liveHolders()
	for _, h := range live {
		missing += max(0, h.target-h.charged)
	}
	var names []string
	for _, h := range live {
		mustReturn := h.charged > h.target && missing > free
		canReceive := h.charged < h.target && free > 0
		if (mustReturn || canReceive) && now.Sub(h.signalled) >= signalInterval {
			h.signalled = now
			names = append(names, h.id.name)
		}
	}
	return names
}

// BackendLeases is the number of slots of one backend server that an Owner has
// leased, for diagnostics.
type BackendLeases struct {
	Backend   string `json:"backend"`
	Slots     int    `json:"slots"`
	Leased    int    `json:"lent"`
	Uncertain int    `json:"uncertain"`
}

// Leases returns the leased slots of every backend server of the share.
func (o *Owner) Leases() []BackendLeases {
	var all []BackendLeases
	for _, l := range o.backends {
		leases := BackendLeases{Backend: l.Name, Slots: l.Slots, Uncertain: o.uncertainSlots(l)}
		for id, n := range l.charges {
			if !o.holders[id].expired {
				leases.Leased += n
			}
		}
		all = append(all, leases)
	}
	return all
}
