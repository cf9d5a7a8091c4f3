package credit

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ErrStaleRequest says that an ask arrived after a later one of the same holder. It
// had no effect.
var ErrStaleRequest = errors.New("credit: a later ask was served already")

// OwnerOptions describes an Owner. The zero value of a time takes its default.
type OwnerOptions struct {
	Share  string
	Region string
	// Term is how long a grant lasts.
	Term time.Duration
	// MaxRunTime is how long a request may run at the longest. Slots whose holder
	// has gone count as used for that long, unless the backend server shows
	// earlier that it runs less.
	MaxRunTime time.Duration
	// HasPredecessor is set when another owner may have lent the slots before.
	HasPredecessor bool
}

// The defaults of owners.
const (
	DefaultTerm       = 6 * time.Second
	DefaultMaxRunTime = 2 * time.Minute
	// clockDrift is by how much the rates of two clocks may differ.
	clockDrift = 0.02
	// promptEvery bounds the prompts to one holder.
	promptEvery = 10 * time.Millisecond
)

// Owner lends the slots of one share. NewOwner makes one.
type Owner struct {
	options  OwnerOptions
	backends []*lent
	holders  map[holderID]*holder
}

type holderID struct{ name, incarnation string }

// holder is what the owner knows of one incarnation of a daemon.
type holder struct {
	id holderID
	// local is true in the share's region, and preferred there and for a holder
	// whose own region has no slots.
	local, preferred bool
	demand           Demand
	sequence         uint64
	// expires is when the holder's right certainly has ended.
	expires time.Time
	// expired is set once it has: what the holder had is uncertain.
	expired  bool
	prompted time.Time
	target   int
	charged  int
}

// lent is one backend server's slots.
type lent struct {
	Backend
	charges map[holderID]int
	// unknown is what a predecessor may have lent, until unknownUntil and for
	// as long as a request may run after that.
	unknown      int
	unknownUntil time.Time
}

// NewOwner returns the owner of a share. Slots that a predecessor may have
// lent count as lent until holders or backend servers say otherwise.
func NewOwner(options OwnerOptions, backends []Backend, now time.Time) *Owner {
	if options.Term <= 0 {
		options.Term = DefaultTerm
	}
	if options.MaxRunTime <= 0 {
		options.MaxRunTime = DefaultMaxRunTime
	}
	o := &Owner{options: options, holders: make(map[holderID]*holder)}
	o.SetBackends(backends, options.HasPredecessor, now)
	return o
}

// SetBackends sets the backend servers of the share. Where used is true, a
// server that is new to this owner counts as lent by a predecessor.
func (o *Owner) SetBackends(backends []Backend, used bool, now time.Time) {
	var kept []*lent
	for _, b := range backends {
		l := o.backend(b.Name)
		if l == nil {
			l = &lent{charges: make(map[holderID]int)}
			if used {
				l.unknown, l.unknownUntil = b.Slots, now.Add(o.validity())
			}
		}
		l.Backend = b
		kept = append(kept, l)
	}
	o.backends = kept
}

// Serve answers a holder's ask and names the holders that are to be prompted.
// It fails with ErrStale.
func (o *Owner) Serve(ask Request, now time.Time) (Response, []string, error) {
	h := o.holderOf(holderID{ask.Holder, ask.Incarnation})
	if ask.Sequence <= h.sequence {
		return Response{}, nil, ErrStaleRequest
	}
	h.sequence, h.demand = ask.Sequence, ask.Demand
	h.local = ask.Region == o.options.Region
	h.preferred = h.local || ask.NoLocalSlots
	h.expired = false
	h.expires = now.Add(o.validity())
	o.expire(now)
	o.report(h, ask.Held)
	o.setTargets()
	answer := Response{
		Share:    o.options.Share,
		Sequence: ask.Sequence,
		Term:     o.options.Term,
		Grants:   o.settle(h),
		Slots:    o.slots(),
	}
	if h.charged >= h.target {
		// One that waits for slots is prompted as soon as there are any.
		h.prompted = now
	}
	return answer, o.prompts(now), nil
}

// ObserveRunning takes in how many requests a backend server runs, by its own
// word, as asked at the given time. It settles what lapsed before that.
func (o *Owner) ObserveRunning(backend string, running int, asked time.Time) {
	l := o.backend(backend)
	if l == nil {
		return
	}
	left := running
	if l.unknownUntil.Before(asked) {
		l.unknown = min(l.unknown, left)
		left -= l.unknown
	}
	for _, id := range l.holders() {
		h := o.holders[id]
		if h.expired && h.expires.Before(asked) {
			l.charge(id, min(l.charges[id], left))
			left -= l.charges[id]
		}
	}
}

// UncertainBackends returns the backend servers whose state would settle what became
// of slots that were lent.
func (o *Owner) UncertainBackends(now time.Time) []string {
	o.expire(now)
	var names []string
	for _, l := range o.backends {
		if o.uncertain(l) > 0 {
			names = append(names, l.Name)
		}
	}
	return names
}

// expire turns what was lent to holders that were not heard of in time into
// uncertain slots, and frees those after the longest run.
func (o *Owner) expire(now time.Time) {
	for id, h := range o.holders {
		if now.After(h.expires) {
			h.expired = true
		}
		if now.After(h.expires.Add(o.options.MaxRunTime)) {
			o.forget(id)
		}
	}
	for _, l := range o.backends {
		if now.After(l.unknownUntil.Add(o.options.MaxRunTime)) {
			l.unknown = 0
		}
	}
}

func (o *Owner) forget(id holderID) {
	delete(o.holders, id)
	for _, l := range o.backends {
		delete(l.charges, id)
	}
}

// report takes in what a holder has. It supersedes all answers to earlier
// asks, which the holder will not take any more.
func (o *Owner) report(h *holder, holds []HeldSlots) {
	for _, l := range o.backends {
		slots := 0
		for _, hold := range holds {
			if hold.Backend == l.Name {
				slots = hold.Slots
			}
		}
		if more := slots - l.charges[h.id]; more > 0 {
			l.unknown -= min(l.unknown, more)
		}
		l.charge(h.id, slots)
	}
}

// validity is how long a grant may be in use by any clock, from its answer.
func (o *Owner) validity() time.Duration {
	return time.Duration(float64(o.options.Term) * (1 + clockDrift))
}

func (o *Owner) holderOf(id holderID) *holder {
	h, ok := o.holders[id]
	if !ok {
		h = &holder{id: id}
		o.holders[id] = h
	}
	return h
}

func (o *Owner) backend(name string) *lent {
	i := slices.IndexFunc(o.backends, func(l *lent) bool { return l.Name == name })
	if i < 0 {
		return nil
	}
	return o.backends[i]
}

// slots is how many slots can be lent at all.
func (o *Owner) slots() int {
	n := 0
	for _, l := range o.backends {
		if !l.Leaving {
			n += l.Slots
		}
	}
	return n
}

func (o *Owner) uncertain(l *lent) int {
	n := l.unknown
	for id, slots := range l.charges {
		if o.holders[id].expired {
			n += slots
		}
	}
	return n
}

func (l *lent) charge(id holderID, slots int) {
	if slots == 0 {
		delete(l.charges, id)
		return
	}
	l.charges[id] = slots
}

// free is what can still be lent.
func (l *lent) free() int {
	if l.Leaving {
		return 0
	}
	n := l.Slots - l.unknown
	for _, slots := range l.charges {
		n -= slots
	}
	return max(n, 0)
}

// holders returns who has slots, in a fixed order.
func (l *lent) holders() []holderID {
	var ids []holderID
	for id := range l.charges {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}
