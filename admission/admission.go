// Package admission decides whether a request may wait for a slot. The gateway
// calls it for every request that it receives. A request that is not expected to
// be answered before its deadline is refused at once, with the time after which
// it could be served.
//
// Decide is a pure function of the load, a prediction and the current time.
package admission

import (
	"time"

	"github.com/currantwinch/currantwinch/estimate"
	"github.com/currantwinch/currantwinch/fairqueue"
	"github.com/currantwinch/currantwinch/verdict"
)

// Reasons for refusals. The request did not run, so the verdict of each is
// verdict.NotRun.
const (
	ReasonDeadline   verdict.Reason = "deadline_too_close"
	ReasonOverloaded verdict.Reason = "overloaded"
	ReasonNoSlots    verdict.Reason = "no_slots"
)

// Request is the information about a request that Decide needs.
type Request struct {
	Prediction estimate.Prediction
	// Deadline is when the caller no longer needs the answer. Zero means none.
	Deadline time.Time
	// NetworkTime is the time that the request and its answer spend on the
	// network.
	NetworkTime time.Duration
}

// State is the state of the daemon that received the request.
type State struct {
	// Load is the caller's load in the request's class.
	Load fairqueue.Load
	// Slots is the rate at which the daemon can serve the class, in slot-seconds
	// per second.
	Slots float64
	// Idle is set if a slot is free and no request of the class waits.
	Idle bool
}

// Decision is the result for one request.
type Decision struct {
	Admit  bool
	Reason verdict.Reason
	// RetryAfter is when a refused request would be admitted if no other
	// requests arrived. Zero means no advice.
	RetryAfter time.Duration
	// LatestStart is the time after which an admitted request is refused instead
	// of started, see Options.MaxStartFraction. Zero means none.
	LatestStart time.Time
	// Wait is the expected wait of an admitted request.
	Wait time.Duration
}

// Options configures Decide. A zero field takes its default.
type Options struct {
	// MaxWaitFraction is the fraction of the time left before the latest useful
	// start that a long request may be expected to wait. MaxShortWaitFraction is
	// the same for a short request. It is smaller, so that a short request that
	// runs longer than predicted still meets its deadline.
	MaxWaitFraction      float64
	MaxShortWaitFraction float64
	// MaxStartFraction is the fraction of that time within which a long request
	// must start, and MaxShortStartFraction the same for a short one. A request
	// that waits longer is refused as not run, because it could miss its
	// deadline if it runs longer than predicted.
	MaxStartFraction      float64
	MaxShortStartFraction float64
	// MaxWait bounds the expected wait of all requests.
	MaxWait time.Duration
	// MinRetryAfter and MaxRetryAfter bound Decision.RetryAfter for overload.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

const (
	defaultMaxWaitFraction       = 0.5
	defaultMaxShortWaitFraction  = 0.1
	defaultMaxStartFraction      = 0.75
	defaultMaxShortStartFraction = 0.5
	defaultMaxWait               = 30 * time.Second
	defaultMinRetryAfter         = 50 * time.Millisecond
	defaultMaxRetryAfter         = 30 * time.Second
)

func (o *Options) setDefaults() {
	if o.MaxWaitFraction <= 0 {
		o.MaxWaitFraction = defaultMaxWaitFraction
	}
	if o.MaxShortWaitFraction <= 0 {
		o.MaxShortWaitFraction = defaultMaxShortWaitFraction
	}
	if o.MaxStartFraction <= 0 {
		o.MaxStartFraction = defaultMaxStartFraction
	}
	if o.MaxShortStartFraction <= 0 {
		o.MaxShortStartFraction = defaultMaxShortStartFraction
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

func (o *Options) waitFraction(class estimate.Class) float64 {
	if class == estimate.Short {
		return o.MaxShortWaitFraction
	}
	return o.MaxWaitFraction
}

func (o *Options) startFraction(class estimate.Class) float64 {
	if class == estimate.Short {
		return o.MaxShortStartFraction
	}
	return o.MaxStartFraction
}

// Decide returns whether a request may wait. Its reason for a refusal is
// ReasonDeadline if even an immediate start would miss the deadline,
// ReasonOverloaded if the expected wait is too long, and ReasonNoSlots if the
// daemon has no slots for the class.
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
		limit = min(limit, time.Duration(float64(left)*o.waitFraction(r.Prediction.Class)))
		d.LatestStart = now.Add(time.Duration(float64(left) * o.startFraction(r.Prediction.Class)))
	}
	// A caller's first request is admitted even without slots, because the
	// demand for slots is calculated from the waiting requests.
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

// expectedWait returns how long the caller's waiting requests take at its share
// of the slots. It returns false if there are no slots.
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
