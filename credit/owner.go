package credit

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ErrStaleRequest means that a later request of the same holder was already served.
// The request had no effect.
var ErrStaleRequest = errors.New("credit: a later ask was served already")

// OwnerOptions configures an Owner. A duration of zero takes its default.
type OwnerOptions struct {
	Share  string
	Region string
	// Term is the duration of a lease.
	Term time.Duration
	// MaxRunTime is the longest time that a request can run. The slots of an
	// expired lease count as in use for that long, unless the backend server's
	// status shows earlier that fewer requests run.
	MaxRunTime time.Duration
	// HasPredecessor is set if another owner may have leased the slots before.
	HasPredecessor bool
}

// The defaults and limits of an Owner.
const (
	DefaultTerm       = 6 * time.Second
	DefaultMaxRunTime = 2 * time.Minute
	// maxClockDrift is the largest relative difference between the rates of two
	// clocks.
	maxClockDrift = 0.02
	// signalInterval is the shortest time between two refresh signals to one
	// holder.
	signalInterval = 10 * time.Millisecond
)

// Owner leases the slots of one share. Use NewOwner to create one.
type Owner struct {
	options  OwnerOptions
	backends []*leasedBackend
	holders  map[holderID]*holderState
}

type holderID struct{ name, incarnation string }

// holderState is the owner's state of one incarnation of a holder.
type holderState struct {
	id holderID
	// local is set for a holder in the share's region, and preferred also for a
	// holder whose own region has no slots.
	local, preferred bool
	demand           Demand
	sequence         uint64
	// expires is when the holder's lease has ended by any clock.
	expires time.Time
	// expired is set once the lease has ended: the holder's slots are uncertain.
	expired   bool
	signalled time.Time
	target    int
	charged   int
}

// leasedBackend is a backend server with its slots by holder.
type leasedBackend struct {
	Backend
	charges map[holderID]int
	// unreported is the number of slots that a predecessor may have leased and no
	// holder has reported. They count as in use until unreportedUntil, and for
	// MaxRunTime after it.
	unreported      int
	unreportedUntil time.Time
}

// NewOwner returns the owner of a share. Slots that a predecessor may have leased
// count as leased until a holder's request or a backend server's status shows
// otherwise.
func NewOwner(options OwnerOptions, backends []Backend, now time.Time) *Owner {
	if options.Term <= 0 {
		options.Term = DefaultTerm
	}
	if options.MaxRunTime <= 0 {
		options.MaxRunTime = DefaultMaxRunTime
	}
	o := &Owner{options: options, holders: make(map[holderID]*holderState)}
	o.SetBackends(backends, options.HasPredecessor, now)
	return o
}

// SetBackends sets the backend servers of the share. If maybeLeased is set, the
// slots of a server that is new to this owner count as leased already.
func (o *Owner) SetBackends(backends []Backend, maybeLeased bool, now time.Time) {
	var listed []*leasedBackend
	for _, b := range backends {
		l := o.backend(b.Name)
		if l == nil {
			l = &leasedBackend{charges: make(map[holderID]int)}
			if maybeLeased {
				l.unreported, l.unreportedUntil = b.Slots, now.Add(o.leaseValidity())
			}
		}
		l.Backend = b
		listed = append(listed, l)
	}
	o.backends = listed
}

// Serve responds to a holder's request and returns the names of the holders to send
// a refresh signal. It fails with ErrStaleRequest.
func (o *Owner) Serve(request Request, now time.Time) (Response, []string, error) {
	h := o.holderByID(holderID{request.Holder, request.Incarnation})
	if request.Sequence <= h.sequence {
		return Response{}, nil, ErrStaleRequest
	}
	h.sequence, h.demand = request.Sequence, request.Demand
	h.local = request.Region == o.options.Region
	h.preferred = h.local || request.NoLocalSlots
	h.expired = false
	h.expires = now.Add(o.leaseValidity())
	o.expire(now)
	o.applyReport(h, request.Held)
	o.setTargets()
	response := Response{
		Share:    o.options.Share,
		Sequence: request.Sequence,
		Term:     o.options.Term,
		Grants:   o.grant(h),
		Slots:    o.totalSlots(),
	}
	if h.charged >= h.target {
		// A holder that waits for slots is signalled as soon as there are any.
		h.signalled = now
	}
	return response, o.refreshSignals(now), nil
}

// ObserveRunning applies a backend server's status: the number of requests that it
// ran when it was asked at the given time. Of the uncertain slots whose leases ended
// before that, it frees those in which no request can run.
func (o *Owner) ObserveRunning(backend string, running int, askedAt time.Time) {
	l := o.backend(backend)
	if l == nil {
		return
	}
	unattributed := running
	if l.unreportedUntil.Before(askedAt) {
		l.unreported = min(l.unreported, unattributed)
		unattributed -= l.unreported
	}
	for _, id := range l.chargedHolders() {
		h := o.holders[id]
		if h.expired && h.expires.Before(askedAt) {
			l.setCharge(id, min(l.charges[id], unattributed))
			unattributed -= l.charges[id]
		}
	}
}

// UncertainBackends returns the names of the backend servers with uncertain slots.
// The caller should pass their status to ObserveRunning.
func (o *Owner) UncertainBackends(now time.Time) []string {
	o.expire(now)
	var names []string
	for _, l := range o.backends {
		if o.uncertainSlots(l) > 0 {
			names = append(names, l.Name)
		}
	}
	return names
}

// expire marks holders whose leases have ended as expired, which makes their slots
// uncertain, and frees uncertain slots after MaxRunTime.
func (o *Owner) expire(now time.Time) {
	for id, h := range o.holders {
		if now.After(h.expires) {
			h.expired = true
		}
		if now.After(h.expires.Add(o.options.MaxRunTime)) {
			o.removeHolder(id)
		}
	}
	for _, l := range o.backends {
		if now.After(l.unreportedUntil.Add(o.options.MaxRunTime)) {
			l.unreported = 0
		}
	}
}

func (o *Owner) removeHolder(id holderID) {
	delete(o.holders, id)
	for _, l := range o.backends {
		delete(l.charges, id)
	}
}

// applyReport charges a holder for the slots that it reports. They replace all
// grants in earlier responses, which the holder ignores from now on.
func (o *Owner) applyReport(h *holderState, held []HeldSlots) {
	for _, l := range o.backends {
		slots := 0
		for _, hold := range held {
			if hold.Backend == l.Name {
				slots = hold.Slots
			}
		}
		if extra := slots - l.charges[h.id]; extra > 0 {
			l.unreported -= min(l.unreported, extra)
		}
		l.setCharge(h.id, slots)
	}
}

// leaseValidity returns how long after the owner's response a lease can be valid by
// any clock.
func (o *Owner) leaseValidity() time.Duration {
	return time.Duration(float64(o.options.Term) * (1 + maxClockDrift))
}

func (o *Owner) holderByID(id holderID) *holderState {
	h, ok := o.holders[id]
	if !ok {
		h = &holderState{id: id}
		o.holders[id] = h
	}
	return h
}

func (o *Owner) backend(name string) *leasedBackend {
	i := slices.IndexFunc(o.backends, func(l *leasedBackend) bool { return l.Name == name })
	if i < 0 {
		return nil
	}
	return o.backends[i]
}

// totalSlots returns the number of slots of the servers that are not leaving.
func (o *Owner) totalSlots() int {
	n := 0
	for _, l := range o.backends {
		if !l.Leaving {
			n += l.Slots
		}
	}
	return n
}

func (o *Owner) uncertainSlots(l *leasedBackend) int {
	n := l.unreported
	for id, slots := range l.charges {
		if o.holders[id].expired {
			n += slots
		}
	}
	return n
}

func (l *leasedBackend) setCharge(id holderID, slots int) {
	if slots == 0 {
		delete(l.charges, id)
		return
	}
	l.charges[id] = slots
}

// freeSlots returns the number of slots that can still be leased.
func (l *leasedBackend) freeSlots() int {
	if l.Leaving {
		return 0
	}
	n := l.Slots - l.unreported
	for _, slots := range l.charges {
		n -= slots
	}
	return max(n, 0)
}

// chargedHolders returns the holders that have slots, in a fixed order.
func (l *leasedBackend) chargedHolders() []holderID {
	var ids []holderID
	for id := range l.charges {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}
