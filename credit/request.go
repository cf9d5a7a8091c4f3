package credit

import (
	"slices"
	"time"
)

// maxRemoteIncrement is the largest number of slots that one request to another
// region's share demands beyond those in use there.
const maxRemoteIncrement = 4

const (
	// A holder requests slots of other regions once the unmet demand has
	// exceeded shortageFraction of the slots granted by its own region's shares
	// for shortageDelay.
	shortageDelay    = time.Second
	shortageFraction = 0.25
)

// divideDemand divides the demand over the shares and calls visit with the part of
// each: the region's own shares by their size, and other regions' shares for the
// demand that the region's own did not grant.
func (h *Holder) divideDemand(now time.Time, visit func(*shareLease, Demand)) {
	size := 0
	for _, s := range h.shares {
		if s.local && s.valid(now) {
			size += s.Slots
		}
	}
	for _, s := range h.shares {
		if s.local && !s.removed {
			visit(s, h.localDemand(s, size))
		}
	}
	unmet := h.unmetDemand(now)
	for _, s := range h.remoteShares() {
		n := 0
		if now.Sub(s.refusedAt) >= refusalBackoff || s.granted > 0 {
			n = min(unmet, maxRemoteIncrement)
		}
		unmet -= n
		visit(s, h.remoteDemand(s, n))
	}
}

// remoteShares returns other regions' shares, those that have granted slots first,
// so that a share that granted none takes no demand away from them.
func (h *Holder) remoteShares() []*shareLease {
	remotes := h.remoteBuffer[:0]
	for _, grants := range []bool{true, false} {
		for _, s := range h.shares {
			if !s.local && !s.removed && grants == (s.granted > 0) {
				remotes = append(remotes, s)
			}
		}
	}
	h.remoteBuffer = remotes
	return remotes
}

// unmetDemand returns the number of slots to request from other regions: the demand
// that the region's own shares have not granted, once the shortage lasts, or the
// whole demand if they have no slots.
func (h *Holder) unmetDemand(now time.Time) int {
	if h.hasNoLocalSlots() {
		return h.demand.Total()
	}
	size, unmet, settled := 0, 0, true
	for _, s := range h.shares {
		if !s.local || s.removed {
			continue
		}
		settled = settled && s.sequence > 0 && !s.requestPending
		if s.valid(now) {
			size += s.Slots
			unmet += max(0, s.demand.Total()-s.granted)
		}
	}
	if !settled || !h.shortageLasts(unmet, size, now) {
		return 0
	}
	return unmet
}

// hasNoLocalSlots reports whether the holder's own region has no slots.
func (h *Holder) hasNoLocalSlots() bool {
	return !slices.ContainsFunc(h.shares, func(s *shareLease) bool { return s.local && s.Slots > 0 })
}

// shortageLasts reports whether the unmet demand has exceeded shortageFraction of
// the slots granted by the region's own shares for shortageDelay.
func (h *Holder) shortageLasts(unmet, size int, now time.Time) bool {
	if float64(unmet) <= shortageFraction*float64(h.grantedLocally()) || size == 0 {
		h.shortageSince = time.Time{}
		return false
	}
	if h.shortageSince.IsZero() {
		h.shortageSince = now
	}
	return now.Sub(h.shortageSince) >= shortageDelay
}

// grantedLocally returns the slots granted by the region's own shares.
func (h *Holder) grantedLocally() int {
	n := 0
	for _, s := range h.shares {
		if s.local {
			n += s.granted
		}
	}
	return n
}

// localDemand returns the demand for a share of the holder's own region, in
// proportion to its slots.
func (h *Holder) localDemand(s *shareLease, size int) Demand {
	size = max(size, s.Slots, 1)
	return Demand{
		Short: (h.demand.Short*s.Slots + size - 1) / size,
		Long:  (h.demand.Long*s.Slots + size - 1) / size,
	}
}

// remoteDemand returns the demand for another region's share: n slots beyond those
// in use, declared as short work up to the holder's demand for short work.
func (h *Holder) remoteDemand(s *shareLease, n int) Demand {
	for _, x := range s.held {
		n += x.busy
	}
	short := min(n, h.demand.Short)
	return Demand{Short: short, Long: n - short}
}

func (h *Holder) requestDue(s *shareLease, d Demand, now time.Time) bool {
	since := now.Sub(s.requestSent)
	wanted := s.local || d.Total() > 0 || len(s.held) > 0
	switch {
	case s.requestPending:
		return since >= s.timeout
	case !wanted:
		return false
	case s.sequence == 0 || s.refreshNow || since >= h.options.RefreshInterval:
		return true
	case s.reportDue || d.Total() > max(s.granted, s.demand.Total()):
		return since >= changeInterval
	case d.Total() > s.granted || demandChanged(d, s.demand):
		return since >= shortageInterval
	}
	return false
}

// demandChanged reports whether two demands differ by a quarter of b, and by at
// least two slots.
func demandChanged(a, b Demand) bool {
	delta := max(a.Total()-b.Total(), b.Total()-a.Total())
	return delta >= max(2, b.Total()/4)
}

func (h *Holder) newRequest(s *shareLease, d Demand, now time.Time) Request {
	live := s.valid(now)
	if s.requestPending {
		s.timeout = min(2*s.timeout, maxTimeout)
	}
	s.sequence++
	s.requestPending, s.requestSent = true, now
	s.demand = d
	s.reportDue, s.refreshNow = false, false
	a := Request{
		Share:        s.Name,
		Holder:       h.options.Name,
		Incarnation:  h.options.Incarnation,
		Region:       h.options.Region,
		Sequence:     s.sequence,
		Demand:       d,
		NoLocalSlots: h.hasNoLocalSlots(),
	}
	for _, x := range s.held {
		if !live {
			x.granted = 0
		}
		x.reported = x.slots()
		if x.reported > 0 {
			a.Held = append(a.Held, HeldSlots{x.name, x.reported})
		}
	}
	return a
}

// valid reports whether the lease has not expired.
func (s *shareLease) valid(now time.Time) bool { return s.expires.After(now) }
