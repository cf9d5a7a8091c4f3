package credit

import (
	"cmp"
	"slices"
	"time"
)

func compareIDs(a, b holderID) int {
	return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.incarnation, b.incarnation))
}

// live returns the holders that may be granted slots, in a fixed order.
func (o *Owner) live() []*holder {
	var live []*holder
	for _, h := range o.holders {
		if !h.expired {
			live = append(live, h)
		}
	}
	slices.SortFunc(live, func(a, b *holder) int { return compareIDs(a.id, b.id) })
	return live
}

// setTargets shares out the slots: the region's own short work first, then its
// long work, then that of other regions in the same order; what is left goes to
// the daemons of the region in equal parts, so that they have it before they
// need it. Daemons whose region has no slots count as the region's own.
func (o *Owner) setTargets() {
	live := o.live()
	room := o.slots()
	for _, l := range o.backends {
		if !l.Leaving {
			room -= min(o.uncertain(l), l.Slots)
		}
	}
	for _, h := range live {
		h.target = 0
		h.charged = o.charged(h)
	}
	tiers := []func(h *holder) int{
		func(h *holder) int { return wants(h, true, h.demand.Short) },
		func(h *holder) int { return wants(h, true, h.demand.Long) },
		func(h *holder) int { return wants(h, false, h.demand.Short) },
		func(h *holder) int { return wants(h, false, h.demand.Long) },
		func(h *holder) int {
			if !h.local {
				return 0
			}
			return room
		},
	}
	for _, tier := range tiers {
		room -= fill(live, tier, room)
	}
}

func wants(h *holder, preferred bool, n int) int {
	if h.preferred != preferred {
		return 0
	}
	return n
}

// fill adds up to room slots to the targets by max-min fairness over what each
// holder wants, and returns how many it added. An odd slot goes to who wants
// less, or has less.
func fill(live []*holder, want func(*holder) int, room int) int {
	order := slices.Clone(live)
	slices.SortStableFunc(order, func(a, b *holder) int {
		return cmp.Or(cmp.Compare(want(a), want(b)), cmp.Compare(a.target, b.target))
	})
	given := 0
	for i, h := range order {
		left := len(order) - i
		part := (room - given + left - 1) / left
		n := min(max(want(h), 0), part)
		h.target += n
		given += n
	}
	return given
}

// settle moves what a holder has towards its target and returns its grants.
func (o *Owner) settle(h *holder) []Grant {
	granted := o.grow(h)
	o.shrink(h, granted)
	var grants []Grant
	for _, l := range o.backends {
		if granted[l] > 0 {
			grants = append(grants, Grant{l.Name, granted[l]})
		}
	}
	h.charged = o.charged(h)
	return grants
}

// grow charges free slots to a holder up to its target, from the backend
// server with the most free ones first.
func (o *Owner) grow(h *holder) map[*lent]int {
	granted := make(map[*lent]int)
	total := 0
	for _, l := range o.backends {
		if n := l.charges[h.id]; n > 0 && !l.Leaving {
			granted[l] = n
			total += n
		}
	}
	for ; total < h.target; total++ {
		best := slices.MaxFunc(o.backends, func(a, b *lent) int { return cmp.Compare(a.free(), b.free()) })
		if best.free() == 0 {
			break
		}
		granted[best]++
		best.charges[h.id]++
	}
	return granted
}

// shrink lowers the grants to the holder's target. What it had stays charged
// until it reports that it has given it back.
func (o *Owner) shrink(h *holder, granted map[*lent]int) {
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

func (o *Owner) charged(h *holder) int {
	n := 0
	for _, l := range o.backends {
		n += l.charges[h.id]
	}
	return n
}

// prompts names the holders that would give or get slots if they asked now.
func (o *Owner) prompts(now time.Time) []string {
	free, short := 0, 0
	for _, l := range o.backends {
		free += l.free()
	}
	live := o.live()
	for _, h := range live {
		short += max(0, h.target-h.charged)
	}
	var names []string
	for _, h := range live {
		gives := h.charged > h.target && short > free
		gets := h.charged < h.target && free > 0
		if (gives || gets) && now.Sub(h.prompted) >= promptEvery {
			h.prompted = now
			names = append(names, h.id.name)
		}
	}
	return names
}

// BackendLeases is what an Owner has lent of one backend server.
type BackendLeases struct {
	Backend   string `json:"backend"`
	Slots     int    `json:"slots"`
	Leased    int    `json:"lent"`
	Uncertain int    `json:"uncertain"`
}

// Leases returns the state of every backend server of the share.
func (o *Owner) Leases() []BackendLeases {
	var all []BackendLeases
	for _, l := range o.backends {
		lending := BackendLeases{Backend: l.Name, Slots: l.Slots, Uncertain: o.uncertain(l)}
		for id, n := range l.charges {
			if !o.holders[id].expired {
				lending.Leased += n
			}
		}
		all = append(all, lending)
	}
	return all
}
