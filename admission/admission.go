// Package admission decides whether a request may wait for a slot. A request
// that cannot get an answer before its deadline is refused at once, with the
// time after which it could be served.
//
// The decision is pure: it is made from a load and a prediction.
package admission

import (
	"time"

	"github.com/currantwinch/currantwinch/estimate"
	"github.com/currantwinch/currantwinch/fairqueue"
	"github.com/currantwinch/currantwinch/verdict"
)

// The reasons of refusals. Nothing ran, so each is verdict.NotRun.
const (
	ReasonDeadline   verdict.Reason = "deadline_too_close"
	ReasonOverloaded verdict.Reason = "overloaded"
	ReasonNoSlots    verdict.Reason = "no_slots"
)

// Request is what the decision needs to know of a request.
type Request struct {
	Prediction estimate.Prediction
	// Deadline is when the answer is of no more use. Zero is never.
	Deadline time.Time
	// NetworkTime is the time that the request and its answer spend on the network.
	NetworkTime time.Duration
}

// State is the state of the daemon that the request has entered.
type State struct {
	// Load is the caller's load in the request's class.
	Load fairqueue.Load
	// Slots is how many slots the class can use here, as a rate of slot
	// seconds a second.
	Slots float64
	// Idle is true while a slot is free and nothing of the class waits.
	Idle bool
}

// Decision is the outcome for one request.
type Decision struct {
	Admit  bool
	Reason verdict.Reason
	// RetryAfter is when a refused request would have been admitted if
	// nothing more came. Zero gives no advice.
	RetryAfter time.Duration
	// LatestStart is when an admitted request can no longer meet its
	// deadline. Zero is never.
	LatestStart time.Time
	// Wait is how long an admitted request is expected to wait.
	Wait time.Duration
}

// Options tunes Decide. The zero value of a field takes its default.
type Options struct {
	// MaxWaitFraction is the part of the time left that a long request may be
	// expected to wait, and MaxShortWaitPart that of a short one, which is
	// smaller so that its stragglers still meet their deadline.
	MaxWaitFraction      float64
	MaxShortWaitFraction float64
	// MaxStartFraction is the part of the time left within which a long request
	// must start, and MaxShortStartPart that of a short one: one that waits
	// longer than was expected is refused as not run, since it could straggle
	// past its deadline.
	MaxStartFraction      float64
	MaxShortStartFraction float64
	// MaxWait bounds the expected wait of any request.
	MaxWait time.Duration
	// MinRetryAfter and MaxRetryAfter bound the advice.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

const (
	defaultMaxWaitPart       = 0.5
	defaultMaxShortWaitPart  = 0.1
	defaultMaxStartPart      = 0.75
	defaultMaxShortStartPart = 0.5
	defaultMaxWait           = 30 * time.Second
	defaultMinRetryAfter     = 50 * time.Millisecond
	defaultMaxRetryAfter     = 30 * time.Second
)

func (o *Options) setDefaults() {
	if o.MaxWaitFraction <= 0 {
		o.MaxWaitFraction = defaultMaxWaitPart
	}
	if o.MaxShortWaitFraction <= 0 {
		o.MaxShortWaitFraction = defaultMaxShortWaitPart
	}
	if o.MaxStartFraction <= 0 {
		o.MaxStartFraction = defaultMaxStartPart
	}
	if o.MaxShortStartFraction <= 0 {
		o.MaxShortStartFraction = defaultMaxShortStartPart
	}
	if o.MaxWait <= 0 {
		o.MaxWait = defaultMaxWait
	}
	if o.MinRetryAfter <= 0 {
		o.MinRetryAfter = defaultMinRetryAfter
	}
	if o.MaxRetryAfter <= 0 {
		o.MaxRetryAfter = defaultMaxRetryAfter
	}
}

func (o *Options) waitPart(class estimate.Class) float64 {
	if class == estimate.Short {
		return o.MaxShortWaitFraction
	}
	return o.MaxWaitFraction
}

func (o *Options) startPart(class estimate.Class) float64 {
	if class == estimate.Short {
		return o.MaxShortStartFraction
	}
	return o.MaxStartFraction
}

// Decide says whether a request may wait.
func Decide(r Request, s State, o Options, now time.Time) Decision {
	o.setDefaults()
	limit := o.MaxWait
	var d Decision
	if !r.Deadline.IsZero() {
		d.LatestStart = r.Deadline.Add(-r.Prediction.P50 - r.NetworkTime)
		left := d.LatestStart.Sub(now)
		if left < 0 {
			return Decision{Reason: ReasonDeadline}
		}
		limit = min(limit, time.Duration(float64(left)*o.waitPart(r.Prediction.Class)))
		d.LatestStart = now.Add(time.Duration(float64(left) * o.startPart(r.Prediction.Class)))
	}
	// A caller's first request waits even without slots, as the demand for
	// them comes from what waits.
	if s.Idle || (s.Slots <= 0 && s.Load.Queued == 0) {
		d.Admit = true
		return d
	}
	wait, ok := expectedWait(s)
	if !ok {
		return Decision{Reason: ReasonNoSlots, RetryAfter: min(time.Second, o.MaxRetryAfter)}
	}
	if wait > limit {
		return Decision{Reason: ReasonOverloaded, RetryAfter: clamp(wait-limit, o.MinRetryAfter, o.MaxRetryAfter)}
	}
	d.Admit, d.Wait = true, wait
	return d
}

// expectedWait returns how long the caller's waiting work takes at its fair
// part of the slots, and false without any slots.
func expectedWait(s State) (time.Duration, bool) {
	rate := s.Slots * s.Load.Share
	if rate <= 0 {
		return 0, false
	}
	return time.Duration(float64(s.Load.Backlog) / rate), true
}

func clamp(d, low, high time.Duration) time.Duration {
	return min(max(d, low), high)
}
