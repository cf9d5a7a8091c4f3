package credit

import (
	"slices"
	"time"
)

// HolderOptions configures a Holder. A duration of zero takes its default.
type HolderOptions struct {
	Name        string
	Incarnation string
	Region      string
	// RequestTimeout: a request without a response counts as lost after this
	// long. The timeout doubles with each consecutive lost request and grows
	// with the response time.
	RequestTimeout time.Duration
	// RefreshInterval is the longest time between two requests to an owner.
	RefreshInterval time.Duration
}

// The defaults and limits of a Holder.
const (
	DefaultRequestTimeout  = 200 * time.Millisecond
	DefaultRefreshInterval = time.Second
	// changeInterval is the shortest time between two requests after the demand
	// has risen or slots were returned.
	changeInterval = 20 * time.Millisecond
	// shortageInterval is the shortest time between two requests of a holder that
	// was granted less than its demand.
	shortageInterval = 100 * time.Millisecond
	// timeoutFactor multiplies the last response time to give the timeout of the
	// next request.
	timeoutFactor = 3
	maxTimeout    = 2 * time.Second
	// refusalBackoff: another region's share that granted nothing gets no demand
	// for this long.
	refusalBackoff = time.Second
)

// Share is a share of backend servers from which a Holder may request slots.
type Share struct {
	Name string
	// Region is the region of its backend servers.
	Region string
	// Slots is the total number of their slots.
	Slots int
}

// Slot is the right to run one request on a backend server under a lease.
type Slot struct {
	Backend string
	// SendBefore is when the lease expires: nothing may be sent from then on. The
	// slot stays in use until Release.
	SendBefore time.Time
	lease      *shareLease
}

// FreeSlots is the number of requests that a Holder can start on one backend
// server now.
type FreeSlots struct {
	Backend string
	// Slots is the number of free slots of the Held ones.
	Slots int
	Held  int
	// Local is set if the server is in the holder's own region.
	Local bool
}

// Holder holds the slots of backend servers that are leased to a daemon. Use
// NewHolder to create one.
type Holder struct {
	options HolderOptions
	shares  []*shareLease
	demand  Demand
	// shortageSince is when the region's own shares began to grant too little;
	// zero while they grant enough.
	shortageSince time.Time
	remoteBuffer  []*shareLease
}

// shareLease is a Holder's lease of slots of one share.
type shareLease struct {
	Share
	local bool
	// removed is set while the share is not listed by SetShares.
	removed        bool
	sequence       uint64
	requestPending bool
	requestSent    time.Time
	timeout        time.Duration
	expires        time.Time
	// demand is that of the latest request, and granted the number of slots that
	// the latest response granted.
	demand  Demand
	granted int
	held    []*heldBackend
	// reportDue is set if the owner counts more slots than this holder holds, so
	// that the next request should be sent soon.
	reportDue  bool
	refreshNow bool
	// refusedAt is when the owner last granted nothing despite a demand.
	refusedAt time.Time
}

// heldBackend is the slots of one backend server in a lease.
type heldBackend struct {
	name    string
	granted int
	busy    int
	// reported is the number of slots in the latest request.
	reported int
}

// NewHolder returns a Holder without any slots.
func NewHolder(options HolderOptions) *Holder {
	if options.RequestTimeout <= 0 {
		options.RequestTimeout = DefaultRequestTimeout
	}
	if options.RefreshInterval <= 0 {
		options.RefreshInterval = DefaultRefreshInterval
	}
	return &Holder{options: options}
}

// SetShares sets the shares from which slots are requested. Slots of other shares
// can't be acquired any more. Those in use stay counted, and are reported if their
// share is set again.
func (h *Holder) SetShares(shares []Share) {
	for _, s := range h.shares {
		if !slices.ContainsFunc(shares, func(x Share) bool { return x.Name == s.Name }) {
			s.remove()
		}
	}
	for _, share := range shares {
		s := h.share(share.Name)
		if s == nil {
			s = &shareLease{timeout: h.options.RequestTimeout}
			h.shares = append(h.shares, s)
		}
		s.Share, s.removed = share, false
		s.local = share.Region == h.options.Region
	}
}

// remove withdraws the grants of a share that is no longer set.
func (s *shareLease) remove() {
	s.removed, s.requestPending = true, false
	s.Slots, s.granted = 0, 0
	for _, x := range s.held {
		x.granted = 0
	}
	s.held = slices.DeleteFunc(s.held, func(x *heldBackend) bool { return x.slots() == 0 })
}

// SetDemand sets the number of slots that this daemon can use, including those in
// use.
func (h *Holder) SetDemand(d Demand) { h.demand = d }

// Requests returns the requests that are due. The caller sends each to its share's
// owner and passes the outcome to Accept or RequestFailed.
func (h *Holder) Requests(now time.Time) []Request {
	var requests []Request
	h.divideDemand(now, func(s *shareLease, d Demand) {
		if h.requestDue(s, d, now) {
			requests = append(requests, h.newRequest(s, d, now))
		}
	})
	return requests
}

// Accept applies the response to a request. It reports whether it was the latest
// request; the responses to others have no effect.
func (h *Holder) Accept(response Response, now time.Time) bool {
	s := h.share(response.Share)
	if s == nil || !s.requestPending || s.sequence != response.Sequence {
		return false
	}
	s.requestPending = false
	s.expires = s.requestSent.Add(response.Term)
	s.timeout = min(max(h.options.RequestTimeout, timeoutFactor*now.Sub(s.requestSent)), maxTimeout)
	s.Slots = response.Slots
	s.applyGrants(response.Grants)
	if !s.local && s.granted == 0 && s.demand.Total() > 0 {
		s.refusedAt = now
	}
	return true
}

// applyGrants replaces the grants. It sets reportDue if the latest request reported
// more slots of a server than are held now, as the owner still counts them.
func (s *shareLease) applyGrants(grants []Grant) {
	s.granted = 0
	for _, x := range s.held {
		x.granted = 0
	}
	for _, g := range grants {
		s.backend(g.Backend).granted = g.Slots
		s.granted += g.Slots
	}
	s.reportDue = slices.ContainsFunc(s.held, func(x *heldBackend) bool { return x.reported > x.slots() })
	s.held = slices.DeleteFunc(s.held, func(x *heldBackend) bool { return x.slots() == 0 })
}

// RequestFailed records that a request got no response. Requests returns another
// one when it is due.
func (h *Holder) RequestFailed(share string, sequence uint64) {
	if s := h.share(share); s != nil && s.sequence == sequence {
		s.requestPending = false
	}
}

// Refresh records a refresh signal from the owner of a share: the next call of
// Requests returns a request to it. If the owner granted nothing before, the
// request demands slots again, as slots may have been returned.
func (h *Holder) Refresh(share string) {
	if s := h.share(share); s != nil {
		s.refreshNow = true
		s.refusedAt = time.Time{}
	}
}

// AppendFree appends one entry to buffer for each backend server with free slots,
// and returns the extended buffer.
func (h *Holder) AppendFree(buffer []FreeSlots, now time.Time) []FreeSlots {
	for _, s := range h.shares {
		if !s.expires.After(now) {
			continue
		}
		for _, x := range s.held {
			if x.busy < x.granted {
				buffer = append(buffer, FreeSlots{x.name, x.granted - x.busy, x.granted, s.local})
			}
		}
	}
	return buffer
}

// Acquire takes a free slot of a backend server. It returns false if there is none.
func (h *Holder) Acquire(backend string, now time.Time) (Slot, bool) {
	for _, s := range h.shares {
		if !s.expires.After(now) {
			continue
		}
		for _, x := range s.held {
			if x.name == backend && x.busy < x.granted {
				x.busy++
				return Slot{backend, s.expires, s}, true
			}
		}
	}
	return Slot{}, false
}

// Release frees a slot. It must be called only once the backend server no longer
// runs the slot's request.
func (h *Holder) Release(slot Slot) {
	x := slot.lease.backend(slot.Backend)
	x.busy--
	if x.busy >= x.granted {
		slot.lease.reportDue = true
	}
}

// Held returns the number of slots that may be used now, including those in use,
// and the number in use.
func (h *Holder) Held(now time.Time) (held, busy int) {
	for _, s := range h.shares {
		live := s.expires.After(now)
		for _, x := range s.held {
			busy += x.busy
			held += x.busy
			if live {
				held += max(0, x.granted-x.busy)
			}
		}
	}
	return held, busy
}

func (h *Holder) share(name string) *shareLease {
	for _, s := range h.shares {
		if s.Name == name {
			return s
		}
	}
	return nil
}

func (s *shareLease) backend(backend string) *heldBackend {
	for _, x := range s.held {
		if x.name == backend {
			return x
		}
	}
	x := &heldBackend{name: backend}
	s.held = append(s.held, x)
	return x
}

// slots returns the number of slots granted or in use, whichever is more.
func (x *heldBackend) slots() int { return max(x.granted, x.busy) }
