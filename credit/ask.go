package credit

import (
	"slices"
	"time"
)

// remoteChunk is the most that one ask to another region's share wants beyond
// what is in use there.
const remoteChunk = 4

const (
	// borrowAfter is how long the region's own shares must have granted too
	// little before another region's is asked, and borrowPart how much.
	borrowAfter = time.Second
	borrowPart  = 0.25
)

// spread divides the demand over the shares and calls ask for each: the
// region's own shares by their size, and other regions' shares for what the
// region's own did not grant.
func (h *Holder) spread(now time.Time, ask func(*source, Demand)) {
	size := 0
	for _, s := range h.sources {
		if s.local && s.live(now) {
			size += s.Slots
		}
	}
	for _, s := range h.sources {
		if s.local && !s.gone {
			ask(s, h.part(s, size))
		}
	}
	unmet := h.unmet(now)
	for _, s := range h.remotes() {
		n := 0
		if now.Sub(s.refused) >= refusedFor || s.granted > 0 {
			n = min(unmet, remoteChunk)
		}
		unmet -= n
		ask(s, h.remote(s, n))
	}
}

// remotes returns other regions' shares, those that lend to this holder first,
// so that one that lent nothing takes no work away from them.
func (h *Holder) remotes() []*source {
	remotes := h.remoteBuffer[:0]
	for _, lends := range []bool{true, false} {
		for _, s := range h.sources {
			if !s.local && !s.gone && lends == (s.granted > 0) {
				remotes = append(remotes, s)
			}
		}
	}
	h.remoteBuffer = remotes
	return remotes
}

// unmet returns the slots that other regions are to be asked for: what the
// region's own shares did not grant, once that has lasted, or all of the demand
// where they have no slots at all.
func (h *Holder) unmet(now time.Time) int {
	if h.homeless() {
		return h.demand.Total()
	}
	size, unmet, settled := 0, 0, true
	for _, s := range h.sources {
		if !s.local || s.gone {
			continue
		}
		settled = settled && s.sequence > 0 && !s.pending
		if s.live(now) {
			size += s.Slots
			unmet += max(0, s.demand.Total()-s.granted)
		}
	}
	if !settled || !h.lasting(unmet, size, now) {
		return 0
	}
	return unmet
}

// homeless reports whether the holder's own region has no slots at all.
func (h *Holder) homeless() bool {
	return !slices.ContainsFunc(h.sources, func(s *source) bool { return s.local && s.Slots > 0 })
}

// lasting reports whether the region's own shares have granted too little, by
// borrowPart of their slots, for borrowAfter.
func (h *Holder) lasting(unmet, size int, now time.Time) bool {
	if float64(unmet) <= borrowPart*float64(h.granted()) || size == 0 {
		h.hungry = time.Time{}
		return false
	}
	if h.hungry.IsZero() {
		h.hungry = now
	}
	return now.Sub(h.hungry) >= borrowAfter
}

// granted returns the slots granted by the region's own shares.
func (h *Holder) granted() int {
	n := 0
	for _, s := range h.sources {
		if s.local {
			n += s.granted
		}
	}
	return n
}

// part returns what a share of the holder's own region is asked for.
func (h *Holder) part(s *source, size int) Demand {
	size = max(size, s.Slots, 1)
	return Demand{
		Short: (h.demand.Short*s.Slots + size - 1) / size,
		Long:  (h.demand.Long*s.Slots + size - 1) / size,
	}
}

// remote returns what another region's share is asked for: n slots beyond
// those in use, as short work as far as there is any.
func (h *Holder) remote(s *source, n int) Demand {
	for _, x := range s.holds {
		n += x.busy
	}
	short := min(n, h.demand.Short)
	return Demand{Short: short, Long: n - short}
}

func (h *Holder) due(s *source, d Demand, now time.Time) bool {
	since := now.Sub(s.sent)
	wanted := s.local || d.Total() > 0 || len(s.holds) > 0
	switch {
	case s.pending:
		return since >= s.timeout
	case !wanted:
		return false
	case s.sequence == 0 || s.prompted || since >= h.options.RefreshInterval:
		return true
	case s.dirty || d.Total() > max(s.granted, s.demand.Total()):
		return since >= changeEvery
	case d.Total() > s.granted || differs(d, s.demand):
		return since >= hungryEvery
	}
	return false
}

// differs reports whether a demand has changed by a quarter or more.
func differs(a, b Demand) bool {
	delta := max(a.Total()-b.Total(), b.Total()-a.Total())
	return delta >= max(2, b.Total()/4)
}

func (h *Holder) ask(s *source, d Demand, now time.Time) Request {
	live := s.live(now)
	if s.pending {
		s.timeout = min(2*s.timeout, maxTimeout)
	}
	s.sequence++
	s.pending, s.sent = true, now
	s.demand = d
	s.dirty, s.prompted = false, false
	a := Request{
		Share:        s.Name,
		Holder:       h.options.Name,
		Incarnation:  h.options.Incarnation,
		Region:       h.options.Region,
		Sequence:     s.sequence,
		Demand:       d,
		NoLocalSlots: h.homeless(),
	}
	for _, x := range s.holds {
		if !live {
			x.granted = 0
		}
		x.reported = x.total()
		if x.reported > 0 {
			a.Held = append(a.Held, HeldSlots{x.backend, x.reported})
		}
	}
	return a
}

// live reports whether the source's grants may be used.
func (s *source) live(now time.Time) bool { return s.expires.After(now) }
