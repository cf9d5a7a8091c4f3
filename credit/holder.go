package credit

import (
	"slices"
	"time"
)

// HolderOptions describes a Holder. The zero value of a time takes its
// default.
type HolderOptions struct {
	Name        string
	Incarnation string
	Region      string
	// RequestTimeout is after how long an ask counts as lost. It doubles with each
	// ask lost in a row, and grows with the time that answers take.
	RequestTimeout time.Duration
	// RefreshInterval is how often an owner is asked at the least.
	RefreshInterval time.Duration
}

// The defaults of holders.
const (
	DefaultRequestTimeout  = 200 * time.Millisecond
	DefaultRefreshInterval = time.Second
	// changeEvery bounds the asks after a change of demand or a return.
	changeEvery = 20 * time.Millisecond
	// hungryEvery bounds the asks of a daemon that got less than it wanted.
	hungryEvery = 100 * time.Millisecond
	// timeoutFactor is how many times the last answer's time an ask may take.
	timeoutFactor = 3
	maxTimeout    = 2 * time.Second
	// refusedFor is how long another region is left alone after it had
	// nothing to lend.
	refusedFor = time.Second
)

// Share is a share that a Holder may ask.
type Share struct {
	Name string
	// Region is where its backend servers stand.
	Region string
	// Slots is how many they have together.
	Slots int
}

// Slot is the right to run one request on a backend server.
type Slot struct {
	Backend string
	// SendBefore is when the right ends: nothing may be sent after it. The
	// slot stays in use until Release.
	SendBefore time.Time
	share      *source
}

// FreeSlots is what a Holder could start on one backend server now.
type FreeSlots struct {
	Backend string
	// Slots is how many requests could start, of Held slots.
	Slots int
	Held  int
	// Local is true in the holder's own region.
	Local bool
}

// Holder keeps the slots that a daemon was lent. NewHolder makes one.
type Holder struct {
	options HolderOptions
	sources []*source
	demand  Demand
	// hungry is since when the region's own shares have granted too little.
	hungry       time.Time
	remoteBuffer []*source
}

// source is what a Holder has of one share.
type source struct {
	Share
	local bool
	// gone is set while the share is not among those there are.
	gone     bool
	sequence uint64
	pending  bool
	sent     time.Time
	timeout  time.Duration
	expires  time.Time
	// demand is what the newest ask wanted and granted what its answer gave.
	demand  Demand
	granted int
	holds   []*hold
	// dirty is set when the owner should hear of a change soon.
	dirty    bool
	prompted bool
	// refused is when the owner last had nothing to lend.
	refused time.Time
}

// hold is the slots of one backend server.
type hold struct {
	backend string
	granted int
	busy    int
	// reported is what the newest ask said of it.
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

// SetShares sets the shares there are. The slots of others may not be used any
// more. What runs on them stays counted, and is reported should they be back.
func (h *Holder) SetShares(shares []Share) {
	for _, s := range h.sources {
		if !slices.ContainsFunc(shares, func(x Share) bool { return x.Name == s.Name }) {
			s.leave()
		}
	}
	for _, share := range shares {
		s := h.source(share.Name)
		if s == nil {
			s = &source{timeout: h.options.RequestTimeout}
			h.sources = append(h.sources, s)
		}
		s.Share, s.gone = share, false
		s.local = share.Region == h.options.Region
	}
}

// leave ends the use of a share that is not there any more.
func (s *source) leave() {
	s.gone, s.pending = true, false
	s.Slots, s.granted = 0, 0
	for _, x := range s.holds {
		x.granted = 0
	}
	s.holds = slices.DeleteFunc(s.holds, func(x *hold) bool { return x.total() == 0 })
}

// SetDemand sets how many slots this daemon can use, busy ones included.
func (h *Holder) SetDemand(d Demand) { h.demand = d }

// Requests returns the asks that are due. Each is to be sent to its share's owner,
// and its outcome passed to Accept or Failed.
func (h *Holder) Requests(now time.Time) []Request {
	var asks []Request
	h.spread(now, func(s *source, d Demand) {
		if h.due(s, d, now) {
			asks = append(asks, h.ask(s, d, now))
		}
	})
	return asks
}

// Accept takes in the answer to an ask. It reports whether it was the newest
// one; others have no effect.
func (h *Holder) Accept(answer Response, now time.Time) bool {
	s := h.source(answer.Share)
	if s == nil || !s.pending || s.sequence != answer.Sequence {
		return false
	}
	s.pending = false
	s.expires = s.sent.Add(answer.Term)
	s.timeout = min(max(h.options.RequestTimeout, timeoutFactor*now.Sub(s.sent)), maxTimeout)
	s.Slots = answer.Slots
	s.replace(answer.Grants)
	if !s.local && s.granted == 0 && s.demand.Total() > 0 {
		s.refused = now
	}
	return true
}

// replace takes in new grants. What the owner still counts though it is given
// back makes the source dirty.
func (s *source) replace(grants []Grant) {
	s.granted = 0
	for _, x := range s.holds {
		x.granted = 0
	}
	for _, g := range grants {
		s.hold(g.Backend).granted = g.Slots
		s.granted += g.Slots
	}
	s.dirty = slices.ContainsFunc(s.holds, func(x *hold) bool { return x.reported > x.total() })
	s.holds = slices.DeleteFunc(s.holds, func(x *hold) bool { return x.total() == 0 })
}

// RequestFailed says that an ask had no answer. It is repeated after the timeout.
func (h *Holder) RequestFailed(share string, sequence uint64) {
	if s := h.source(share); s != nil && s.sequence == sequence {
		s.pending = false
	}
}

// Refresh says that the owner of a share asked to be asked. An owner that had
// nothing to lend is asked for as much again: it may have got slots back.
func (h *Holder) Refresh(share string) {
	if s := h.source(share); s != nil {
		s.prompted = true
		s.refused = time.Time{}
	}
}

// AppendFree returns what could start now, one entry a backend server, appended to
// buffer.
func (h *Holder) AppendFree(buffer []FreeSlots, now time.Time) []FreeSlots {
	for _, s := range h.sources {
		if !s.expires.After(now) {
			continue
		}
		for _, x := range s.holds {
			if x.busy < x.granted {
				buffer = append(buffer, FreeSlots{x.backend, x.granted - x.busy, x.granted, s.local})
			}
		}
	}
	return buffer
}

// Acquire takes a slot of a backend server, if there is a free one.
func (h *Holder) Acquire(backend string, now time.Time) (Slot, bool) {
	for _, s := range h.sources {
		if !s.expires.After(now) {
			continue
		}
		for _, x := range s.holds {
			if x.backend == backend && x.busy < x.granted {
				x.busy++
				return Slot{backend, s.expires, s}, true
			}
		}
	}
	return Slot{}, false
}

// Release gives back a slot once the backend server runs nothing in it.
func (h *Holder) Release(slot Slot) {
	x := slot.share.hold(slot.Backend)
	x.busy--
	if x.busy >= x.granted {
		slot.share.dirty = true
	}
}

// Held returns the slots that may be used now, busy ones included, and those
// in use.
func (h *Holder) Held(now time.Time) (held, busy int) {
	for _, s := range h.sources {
		live := s.expires.After(now)
		for _, x := range s.holds {
			busy += x.busy
			held += x.busy
			if live {
				held += max(0, x.granted-x.busy)
			}
		}
	}
	return held, busy
}

func (h *Holder) source(name string) *source {
	for _, s := range h.sources {
		if s.Name == name {
			return s
		}
	}
	return nil
}

func (s *source) hold(backend string) *hold {
	for _, x := range s.holds {
		if x.backend == backend {
			return x
		}
	}
	x := &hold{backend: backend}
	s.holds = append(s.holds, x)
	return x
}

// total is what a hold counts for: what may be used, or is in use if more.
func (x *hold) total() int { return max(x.granted, x.busy) }
