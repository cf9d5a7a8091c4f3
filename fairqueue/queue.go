// Package fairqueue is a bounded queue of requests that wait for a slot. The
// gateway pushes requests and pops them when slots become free. Short requests
// are served before long ones within configured limits. Service is fair between
// teams by weight, and within a team between its callers, by the slot time that
// they actually used.
//
// A Queue is not safe for concurrent use. It does no I/O and reads no clock;
// callers pass in the current time.
package fairqueue

import (
	"container/heap"
	"time"

	"github.com/currantwinch/currantwinch/estimate"
	"github.com/pkg/errors"
)

// Errors of Push. The request was not queued.
var (
	// ErrFull is returned when the queue has reached Options.MaxQueued.
	ErrFull = errors.New("fairqueue: queue is full")
	// ErrCallerFull is returned when the caller has as many requests in the
	// queue as it may: half of the free places, but at least
	// Options.MinPerCaller.
	ErrCallerFull = errors.New("fairqueue: caller's part of the queue is full")
)

// Request describes a request to queue.
type Request struct {
	Team string
	// Weight is the team's weight against other teams; values below 1 count as
	// 1.
	Weight int
	// Caller is the account that competes with others of its team, see Account.
	Caller string
	Class  estimate.Class
	// Cost is the slot time that the request is expected to use.
	Cost time.Duration
	// LatestStart is when the request can no longer meet its deadline. Zero
	// means never.
	LatestStart time.Time
}

// Slots is the state of the daemon's slots.
type Slots struct {
	// Free is the number of requests that may start now.
	Free int
	// Total is the number of slots held, including busy ones.
	Total int
	// Long is the number of slots that run long requests.
	Long int
	// ShortReserve is the number of slots that long requests must not use.
	ShortReserve int
	// LongMinimum is the number of slots that long requests get before any short
	// request.
	LongMinimum int
}

// Options configures a Queue. A zero field takes its default.
type Options struct {
	// MaxQueued bounds the waiting requests.
	MaxQueued int
	// MinPerCaller is the number of requests that each caller may queue while
	// the queue is not full.
	MinPerCaller int
	// MaxIdleAccounts bounds the accounts that are kept without waiting or
	// running requests, because they have used more than their share.
	MaxIdleAccounts int
	// OveruseBurst is the slot time by which the short requests of a caller or
	// team may exceed its fair share, see Queue.EffectiveClass.
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

// Queue is a bounded fair queue of values of type V. Use New to create one.
type Queue[V any] struct {
	options Options
	classes [2]tree[V]
	expiry  expiryHeap[V]
	free    *entry[V]
	length  int
}

// Handle identifies a request from Push until Done, Cancel or Expired. The zero
// Handle identifies none.
type Handle[V any] struct {
	entry      *entry[V]
	generation uint64
}

// Item is a request that was taken from the queue.
type Item[V any] struct {
	Handle  Handle[V]
	Request Request
	Value   V
	// Waited is how long the request was queued.
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

// Push queues a request. The error is ErrFull or ErrCallerFull.
func (q *Queue[V]) Push(r Request, value V, now time.Time) (Handle[V], error) {
	free := q.options.MaxQueued - q.length
	if free <= 0 {
		return Handle[V]{}, ErrFull
	}
	t := &q.classes[r.Class]
	c := t.callerAccount(r.Team, r.Weight, r.Caller)
	if c.queued >= max(q.options.MinPerCaller, free/2) {
		t.markIdle(c)
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

// Pop takes the next request to start, or returns false if none waits or the
// slots do not allow one. The user of the queue must call Done when the request
// has ended, or Cancel if it did not start.
func (q *Queue[V]) Pop(slots Slots, now time.Time) (Item[V], bool) {
	class, ok := q.Next(slots)
	if !ok {
		return Item[V]{}, false
	}
	t := &q.classes[class]
	e := t.pop()
	q.uncount(e)
	e.running = true
	return q.item(e, now), true
}

// Next returns the class that Pop would serve, or false if Pop would return
// none.
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

// Expired takes a request that can no longer meet its deadline, if there is one.
// The request has not run, its handle is invalid, and it must be answered at
// once.
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

// NextExpiry returns the earliest time at which Expired may return a request, or
// false if no request has a latest start.
func (q *Queue[V]) NextExpiry() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].request.LatestStart, true
}

// Cancel removes a request that did not start, from the queue or after Pop,
// without charging it. It reports whether the handle was still valid.
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

// Done ends a request that Pop returned and charges the slot time that it used.
// It reports whether the handle was still valid.
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

// Load compares the waiting requests of one caller with those of all callers.
type Load struct {
	// Queued is the number of the caller's waiting requests, and Backlog the
	// slot time that they are expected to use.
	Queued  int
	Backlog time.Duration
	// Share is the fraction, from 0 to 1, of the class's service that the caller
	// gets while all accounts that wait now keep waiting.
	Share float64
}

// Load returns the load of a caller in a class, as if the caller had one more
// request.
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

// uncount removes e from the queue's length and expiry heap.
func (q *Queue[V]) uncount(e *entry[V]) {
	q.length--
	if !e.request.LatestStart.IsZero() {
		heap.Remove(&q.expiry, e.expiryIndex)
	}
}

func (q *Queue[V]) remove(e *entry[V]) {
	t := &q.classes[e.request.Class]
	t.unlink(e)
	q.uncount(e)
	t.markIdle(e.account)
	q.freeEntry(e)
}

func (q *Queue[V]) finish(e *entry[V], used time.Duration) {
	t := &q.classes[e.request.Class]
	t.charge(e.account, used-e.request.Cost)
	q.classes[estimate.Long].chargeShort(e.request, used)
	e.account.running--
	t.markIdle(e.account)
	q.freeEntry(e)
}

func (h Handle[V]) valid() bool {
	return h.entry != nil && h.entry.generation == h.generation
}
