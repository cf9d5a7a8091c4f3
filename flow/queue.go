package flow

import (
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/limit"
)

const (
	// maxPerReceiver limits the calls in flight to one receiver, so that one
	// that does not answer cannot fill the window.
	maxPerReceiver = 8
	// maxPerSilent is the same limit for one whose last call timed out.
	maxPerSilent = 1
	// resendRatio and resendBurst bound resends to a fraction of first copies.
	resendRatio = 0.1
	resendBurst = 32
	// maxResendWait is how long a resend waits at most for the budget. Without
	// first copies there would be no budget, and the window limits resends too.
	maxResendWait = time.Second
	// maxRenewalDelay bounds the delay between renewals of one receiver while
	// the sender is overloaded.
	maxRenewalDelay = 300 * time.Millisecond
	// renewalDelayFactor is the delay between renewals in units of the
	// queueing delay. A later renewal returns what several would have returned.
	renewalDelayFactor = 2
)

// Queue holds the calls that wait to be sent and counts those in flight.
type Queue[T any] struct {
	window  *Window
	trips   *RoundTrips
	resends *limit.Budget
	waiting [classes][]Call[T]
	// inFlight counts the calls in flight by receiver, held ones excepted.
	inFlight map[string]int
}

// NewQueue returns an empty Queue. Time-outs stay between the two bounds.
func NewQueue[T any](now time.Time, minTimeout, maxTimeout time.Duration) *Queue[T] {
	return &Queue[T]{
		window: NewWindow(now), trips: NewRoundTrips(minTimeout, maxTimeout),
		resends: limit.NewBudget(resendRatio, resendBurst), inFlight: make(map[string]int),
	}
}

// Add queues a call.
func (q *Queue[T]) Add(now time.Time, c Call[T]) {
	c.queuedAt = now
	q.waiting[c.Class] = append(q.waiting[c.Class], c)
}

// Edit calls edit for every waiting call of a class and removes those for which
// it returns false.
func (q *Queue[T]) Edit(class Class, edit func(c *Call[T]) bool) {
	kept := q.waiting[class][:0]
	for _, c := range q.waiting[class] {
		if edit(&c) {
			kept = append(kept, c)
		}
	}
	clear(q.waiting[class][len(kept):])
	q.waiting[class] = kept
}

// Expired removes and returns the waiting calls that have become useless.
func (q *Queue[T]) Expired(now time.Time) []Call[T] {
	var out []Call[T]
	for class := range q.waiting {
		q.waiting[class] = slices.DeleteFunc(q.waiting[class], func(c Call[T]) bool {
			expired := !c.Expires.IsZero() && now.After(c.Expires)
			if expired {
				out = append(out, c)
			}
			return expired
		})
	}
	return out
}

// Next removes and returns the next call to send now. It returns false if none
// may be sent. The caller must pass the outcome to Answered, TimedOut or Failed.
func (q *Queue[T]) Next(now time.Time) (Call[T], bool) {
	for class := range q.waiting {
		for i, c := range q.waiting[class] {
			if !q.maySend(now, c) {
				continue
			}
			if !c.Held && !q.window.Acquire() {
				return Call[T]{}, false
			}
			q.waiting[class] = slices.Delete(q.waiting[class], i, i+1)
			q.sending(now, c)
			return c, true
		}
	}
	return Call[T]{}, false
}

// maySend reports whether a call may be sent as far as its time, its receiver
// and the budget of resends are concerned.
func (q *Queue[T]) maySend(now time.Time, c Call[T]) bool {
	if now.Before(c.NotBefore) {
		return false
	}
	if c.Class == ClassRenewal {
		// At most one is in flight to each receiver.
		return true
	}
	most := maxPerReceiver
	if q.window.Silent(c.Receiver) {
		most = maxPerSilent
	}
	if q.inFlight[c.Receiver] >= most {
		return false
	}
	return c.Attempt == 0 || now.Sub(c.queuedAt) >= maxResendWait || q.resends.Available()
}

func (q *Queue[T]) sending(now time.Time, c Call[T]) {
	if c.Held {
		return
	}
	q.inFlight[c.Receiver]++
	if c.Class == ClassRenewal {
		return
	}
	if c.Attempt == 0 {
		q.resends.RecordAttempt()
		return
	}
	if now.Sub(c.queuedAt) < maxResendWait {
		q.resends.TrySpend()
	}
}

// Answered records that a call was answered, whatever the answer. Took is the
// time from sending to the answer.
func (q *Queue[T]) Answered(now time.Time, c Call[T], took time.Duration) {
	if c.Held {
		return
	}
	q.release(c)
	q.window.ObserveAnswer(now, c.Receiver, q.trips.Observe(now, c.Receiver, took))
}

// TimedOut records that a call was not answered within Timeout.
func (q *Queue[T]) TimedOut(now time.Time, c Call[T]) {
	if c.Held {
		return
	}
	q.release(c)
	q.window.ObserveTimeout(now, c.Receiver)
}

// Failed records that a call ended without an answer before Timeout, which
// tells nothing of the load.
func (q *Queue[T]) Failed(c Call[T]) {
	if !c.Held {
		q.release(c)
	}
}

func (q *Queue[T]) release(c Call[T]) {
	q.window.Release()
	if q.inFlight[c.Receiver]--; q.inFlight[c.Receiver] <= 0 {
		delete(q.inFlight, c.Receiver)
	}
}

// Timeout returns how long to wait for an answer to any call.
func (q *Queue[T]) Timeout() time.Duration { return q.trips.Timeout() }

// Room returns how many more calls of ClassStart should be queued now. Work that
// would only wait here is better decided on later, when more is known.
func (q *Queue[T]) Room() int {
	ahead := q.window.InFlight() + len(q.waiting[ClassStop]) + len(q.waiting[ClassStart])
	return max(roomFactor*q.window.Limit()-ahead, 0)
}

// roomFactor keeps one window of calls waiting beside the one in flight, so that
// the link does not idle between two rounds of decisions.
const roomFactor = 2

// RenewalDelay returns the delay before the next renewal of a receiver. It is
// zero unless the sender is overloaded.
func (q *Queue[T]) RenewalDelay() time.Duration {
	if !q.window.Congested() {
		return 0
	}
	return min(renewalDelayFactor*q.window.Delay(), maxRenewalDelay)
}

// Status is a snapshot of a Queue.
type Status struct {
	Window, InFlight, Waiting int
	Congested                 bool
	// Delay is the queueing delay of the last round.
	Delay, Timeout time.Duration
}

// Status returns a snapshot.
func (q *Queue[T]) Status() Status {
	s := Status{Window: q.window.Limit(), InFlight: q.window.InFlight(), Congested: q.window.Congested(), Delay: q.window.Delay(), Timeout: q.Timeout()}
	for _, waiting := range q.waiting {
		s.Waiting += len(waiting)
	}
	return s
}
