// Package limit bounds what may start: rates by caller, team and service,
// budgets of retries and hedges, and the concurrency of a backend server that
// is slower than its slots promise.
//
// Its types are not safe for concurrent use and read no clock.
package limit

import (
	"container/list"
	"time"

	"golang.org/x/time/rate"
)

// Scope says whose rate is limited.
type Scope uint8

// The scopes.
const (
	ScopeService Scope = iota
	ScopeTeam
	ScopeCaller
)

// Key names one limited rate.
type Key struct {
	Scope   Scope
	Service string
	Name    string
}

// Rate is a limit of requests. A PerSecond of zero is no limit.
type Rate struct {
	PerSecond float64
	Burst     int
}

// PerDaemon returns the part of a rate that one of n daemons enforces.
func (r Rate) PerDaemon(n int) Rate {
	n = max(n, 1)
	return Rate{PerSecond: r.PerSecond / float64(n), Burst: (r.Burst + n - 1) / n}
}

// Check is one rate that a request must keep to.
type Check struct {
	Key  Key
	Rate Rate
}

// RateLimiter holds token buckets, the least recently used of which are forgotten.
type RateLimiter struct {
	maxKeys int
	buckets map[Key]*list.Element
	recent  *list.List
}

type bucket struct {
	key     Key
	limiter *rate.Limiter
}

// DefaultMaxKeys bounds the buckets of Rates made with a maximum of zero.
const DefaultMaxKeys = 8192

// NewRateLimiter returns Rates that remember up to maxKeys buckets.
func NewRateLimiter(maxKeys int) *RateLimiter {
	if maxKeys <= 0 {
		maxKeys = DefaultMaxKeys
	}
	return &RateLimiter{maxKeys: maxKeys, buckets: make(map[Key]*list.Element), recent: list.New()}
}

// Allow takes one token for each check, or none and returns after how long
// all of them would have one.
func (r *RateLimiter) Allow(now time.Time, checks ...Check) (retryAfter time.Duration, ok bool) {
	for _, c := range checks {
		retryAfter = max(retryAfter, r.wait(c, now))
	}
	if retryAfter > 0 {
		return retryAfter, false
	}
	for _, c := range checks {
		if c.Rate.PerSecond > 0 {
			r.limiter(c, now).AllowN(now, 1)
		}
	}
	return 0, true
}

// wait returns how long until the check has a token.
func (r *RateLimiter) wait(c Check, now time.Time) time.Duration {
	if c.Rate.PerSecond <= 0 {
		return 0
	}
	missing := 1 - r.limiter(c, now).TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / c.Rate.PerSecond * float64(time.Second))
}

// limiter returns the bucket of a check, at the rate that now applies.
func (r *RateLimiter) limiter(c Check, now time.Time) *rate.Limiter {
	burst := max(c.Rate.Burst, 1)
	element, ok := r.buckets[c.Key]
	if !ok {
		return r.add(c.Key, rate.NewLimiter(rate.Limit(c.Rate.PerSecond), burst))
	}
	r.recent.MoveToFront(element)
	limiter := element.Value.(*bucket).limiter
	if float64(limiter.Limit()) != c.Rate.PerSecond {
		limiter.SetLimitAt(now, rate.Limit(c.Rate.PerSecond))
	}
	if limiter.Burst() != burst {
		limiter.SetBurstAt(now, burst)
	}
	return limiter
}

func (r *RateLimiter) add(key Key, limiter *rate.Limiter) *rate.Limiter {
	if len(r.buckets) >= r.maxKeys {
		oldest := r.recent.Back()
		delete(r.buckets, oldest.Value.(*bucket).key)
		r.recent.Remove(oldest)
	}
	r.buckets[key] = r.recent.PushFront(&bucket{key, limiter})
	return limiter
}
