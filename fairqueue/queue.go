// Package fairqueue holds requests that wait for a slot. It is bounded, serves
// short work before long work within stated limits, and is fair between teams
// by weight and then between the callers of a team, by the slot time that they
// really used.
//
// A Queue is not safe for concurrent use. It does no I/O and reads no clock.
package fairqueue

import (
	"container/heap"
	"time"

	"github.com/currantwinch/currantwinch/estimate"
	"github.com/pkg/errors"
)

// Errors of Push. Nothing was queued.
var (
	// ErrFull says that the queue holds all it may.
	ErrFull = errors.New("fairqueue: queue is full")
	// ErrCallerFull says that the caller holds its part of a filling queue.
	ErrCallerFull = errors.New("fairqueue: caller's part of the queue is full")
)

// Request describes one waiting request.
type Request struct {
	Team string
	// Weight is the team's part of what is contended; below one counts as one.
	Weight int
	// Caller is the account that competes with others of its team.
	Caller string
	Class  estimate.Class
	// Cost is the slot time that the request is expected to use.
	Cost time.Duration
	// LatestStart is when the request can no longer meet its deadline. Zero
	// is never.
	LatestStart time.Time
}

// Slots is what the daemon may use right now.
type Slots struct {
	// Free is how many requests may start now.
	Free int
	// Total is all slots held, busy ones included.
	Total int
	// Long is how many slots run long work.
	Long int
	// ShortReserve is how many slots long work must leave alone.
	ShortReserve int
	// LongMinimum is how many slots long work gets before any short work.
	LongMinimum int
}

// Options bounds a Queue. The zero value of a field takes its default.
type Options struct {
	// MaxQueued bounds the waiting requests.
	MaxQueued int
	// MinPerCaller is what one caller may always queue while there is room.
	MinPerCaller int
	// MaxIdleAccounts bounds the callers remembered for what they overused.
	MaxIdleAccounts int
	// OveruseBurst is the slot time by which short work of a caller or team
	// may be ahead of its whole fair part, see Queue.Class.
	OveruseBurst time.Duration
}

const (
	defaultMaxQueued       = 4096
	defaultMinPerCaller    = 8
	defaultMaxIdleAccounts = 8192
	defaultOveruseBurst    = 8 * time.Second
)

func (o *Options) setDefaults() {
	if o.MaxQueued <= 0 {
		o.MaxQueued = defaultMaxQueued
	}
	if o.MinPerCaller <= 0 {
		o.MinPerCaller = defaultMinPerCaller
	}
	if o.MaxIdleAccounts <= 0 {
		o.MaxIdleAccounts = defaultMaxIdleAccounts
	}
	if o.OveruseBurst <= 0 {
		o.OveruseBurst = defaultOveruseBurst
	}
}

// Queue is a bounded fair queue of values of type V. New makes one.
type Queue[V any] struct {
	options Options
	classes [2]tree[V]
	expiry  expiryHeap[V]
	free    *entry[V]
	length  int
}

// Handle names a request from Push until Done, Cancel or Expired. The zero
// Handle names none.
type Handle[V any] struct {
	entry      *entry[V]
	generation uint64
}

// Item is a request that left the queue.
type Item[V any] struct {
	Handle  Handle[V]
	Request Request
	Value   V
	// Waited is how long it was queued.
	Waited time.Duration
}

// New returns an empty Queue.
func New[V any](options Options) *Queue[V] {
	options.setDefaults()
	q := &Queue[V]{options: options}
	for i := range q.classes {
		q.classes[i].init(options.MaxIdleAccounts)
	}
	return q
}

// Push queues a request. It fails with ErrFull or ErrCallerFull.
func (q *Queue[V]) Push(r Request, value V, now time.Time) (Handle[V], error) {
	room := q.options.MaxQueued - q.length
	if room <= 0 {
		return Handle[V]{}, ErrFull
	}
	t := &q.classes[r.Class]
	c := t.caller(r.Team, r.Weight, r.Caller)
	if c.queued >= max(q.options.MinPerCaller, room/2) {
		t.release(c)
		return Handle[V]{}, ErrCallerFull
	}
	e := q.newEntry()
	e.request, e.value, e.account, e.pushed = r, value, c, now
	t.push(e)
	if !r.LatestStart.IsZero() {
		heap.Push(&q.expiry, e)
	}
	q.length++
	return Handle[V]{e, e.generation}, nil
}

// Pop takes the request that is to start next, if slots allow one. The caller
// ends it by Done, or by Cancel if it did not start after all.
func (q *Queue[V]) Pop(slots Slots, now time.Time) (Item[V], bool) {
	class, ok := q.Next(slots)
	if !ok {
		return Item[V]{}, false
	}
	t := &q.classes[class]
	e := t.pop()
	q.leave(e)
	e.running = true
	return q.item(e, now), true
}

// Next returns the class that Pop serves next, if slots allow one.
func (q *Queue[V]) Next(slots Slots) (estimate.Class, bool) {
	if slots.Free <= 0 {
		return 0, false
	}
	short, long := q.classes[estimate.Short].queued > 0, q.classes[estimate.Long].queued > 0
	switch {
	case long && slots.Long < slots.LongMinimum:
		return estimate.Long, true
	case short:
		return estimate.Short, true
	case long && slots.Long < slots.Total-slots.ShortReserve:
		return estimate.Long, true
	}
	return 0, false
}

// Expired takes a request that can no longer meet its deadline, if there is
// one. It did not run, its handle is void, and it is to be answered at once.
func (q *Queue[V]) Expired(now time.Time) (Item[V], bool) {
	if len(q.expiry) == 0 || q.expiry[0].request.LatestStart.After(now) {
		return Item[V]{}, false
	}
	e := q.expiry[0]
	item := q.item(e, now)
	q.remove(e)
	item.Handle = Handle[V]{}
	return item, true
}

// NextExpiry returns when Expired may next have something, and false if never.
func (q *Queue[V]) NextExpiry() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].request.LatestStart, true
}

// Cancel takes back a request that did not start: from the queue, or after
// Pop without any charge. It reports whether the handle was still valid.
func (q *Queue[V]) Cancel(h Handle[V]) bool {
	if !h.valid() {
		return false
	}
	if h.entry.running {
		q.finish(h.entry, 0)
		return true
	}
	q.remove(h.entry)
	return true
}

// Done ends a request that Pop returned and charges the slot time it used. It
// reports whether the handle was still valid.
func (q *Queue[V]) Done(h Handle[V], used time.Duration) bool {
	if !h.valid() || !h.entry.running {
		return false
	}
	q.finish(h.entry, used)
	return true
}

// Len returns the number of waiting requests.
func (q *Queue[V]) Len() int { return q.length }

// Queued returns the number of waiting requests of a class.
func (q *Queue[V]) Queued(class estimate.Class) int { return q.classes[class].queued }

// Backlog returns the slot time that the waiting requests of a class are
// expected to use.
func (q *Queue[V]) Backlog(class estimate.Class) time.Duration { return q.classes[class].backlog }

// Callers returns the number of callers with waiting requests of a class.
func (q *Queue[V]) Callers(class estimate.Class) int { return q.classes[class].callers }

// Load is how one caller's waiting work compares with that of all.
type Load struct {
	// Queued counts the caller's waiting requests and Backlog is the slot
	// time they are expected to use.
	Queued  int
	Backlog time.Duration
	// Share is the part of the class's service that the caller gets while all
	// that wait now keep waiting, between 0 and 1.
	Share float64
}

// Load returns a caller's load in a class, as if it had one request more.
func (q *Queue[V]) Load(class estimate.Class, team string, weight int, caller string) Load {
	return q.classes[class].load(team, weight, caller)
}

func (q *Queue[V]) item(e *entry[V], now time.Time) Item[V] {
	return Item[V]{
		Handle:  Handle[V]{e, e.generation},
		Request: e.request,
		Value:   e.value,
		Waited:  now.Sub(e.pushed),
	}
}

// leave takes e's part in the bounds and deadlines away.
func (q *Queue[V]) leave(e *entry[V]) {
	q.length--
	if !e.request.LatestStart.IsZero() {
		heap.Remove(&q.expiry, e.expiryIndex)
	}
}

func (q *Queue[V]) remove(e *entry[V]) {
	t := &q.classes[e.request.Class]
	t.unlink(e)
	q.leave(e)
	t.release(e.account)
	q.freeEntry(e)
}

func (q *Queue[V]) finish(e *entry[V], used time.Duration) {
	t := &q.classes[e.request.Class]
	t.charge(e.account, used-e.request.Cost)
	q.classes[estimate.Long].chargeShort(e.request, used)
	e.account.running--
	t.release(e.account)
	q.freeEntry(e)
}

func (h Handle[V]) valid() bool {
	return h.entry != nil && h.entry.generation == h.generation
}
