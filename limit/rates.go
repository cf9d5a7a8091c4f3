// Package limit provides the limits that a daemon applies before it starts a request:
// rate limits by caller, team and service, budgets of retries and hedged requests,
// and an adaptive concurrency limit for backend servers that run slower than
// expected. Every daemon enforces its part of a rate on its own, without
// communication.
//
// Its types are not safe for concurrent use and read no clock.
package limit

import (
	"container/list"
	"time"

	"golang.org/x/time/rate"
)

// Scope is the kind of subject whose rate is limited.
type Scope uint8

// The scopes.
const (
	ScopeService Scope = iota
	ScopeTeam
	ScopeCaller
)

// Key identifies the subject of one rate limit.
type Key struct {
	Scope   Scope
	Service string
	Name    string
}

// Rate is a rate limit in requests per second, with a burst in requests. A PerSecond
// of zero means no limit.
type Rate struct {
	PerSecond float64
	Burst     int
}

// PerDaemon returns the part of a rate that each of the given number of daemons
// enforces. Bursts are rounded up.
func (r Rate) PerDaemon(daemons int) Rate {
	daemons = max(daemons, 1)
	return Rate{PerSecond: r.PerSecond / float64(daemons), Burst: (r.Burst + daemons - 1) / daemons}
}

// Check is one rate limit that a request must satisfy.
type Check struct {
	Key  Key
	Rate Rate
}

// RateLimiter holds token buckets by key and evicts the least recently used.
type RateLimiter struct {
	maxKeys int
	buckets map[Key]*list.Element
	lru     *list.List
}

type bucket struct {
	key     Key
	limiter *rate.Limiter
}

// DefaultMaxKeys bounds the buckets of a RateLimiter made with a maximum of zero.
const DefaultMaxKeys = 8192

// NewRateLimiter returns a RateLimiter that keeps up to maxKeys buckets.
func NewRateLimiter(maxKeys int) *RateLimiter {
	if maxKeys <= 0 {
		maxKeys = DefaultMaxKeys
	}
	return &RateLimiter{maxKeys: maxKeys, buckets: make(map[Key]*list.Element), lru: list.New()}
}

// Allow takes one token for every check if all have one. Otherwise it takes none and
// returns the time until all of them have one.
func (r *RateLimiter) Allow(now time.Time, checks ...Check) (retryAfter time.Duration, ok bool) {
	for _, c := range checks {
		retryAfter = max(retryAfter, r.waitTime(c, now))
	}
	if retryAfter > 0 {
		return retryAfter, false
	}
	for _, c := range checks {
		if c.Rate.PerSecond > 0 {
			r.limiterFor(c, now).AllowN(now, 1)
		}
	}
	return 0, true
}

// waitTime returns the time until the check has a token.
func (r *RateLimiter) waitTime(c Check, now time.Time) time.Duration {
	if c.Rate.PerSecond <= 0 {
		return 0
	}
	missing := 1 - r.limiterFor(c, now).TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / c.Rate.PerSecond * float64(time.Second))
}

// limiterFor returns the bucket of a check, updated to the check's rate.
func (r *RateLimiter) limiterFor(c Check, now time.Time) *rate.Limiter {
	burst := max(c.Rate.Burst, 1)
	element, ok := r.buckets[c.Key]
	if !ok {
		return r.add(c.Key, rate.NewLimiter(rate.Limit(c.Rate.PerSecond), burst))
	}
	r.lru.MoveToFront(element)
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
		oldest := r.lru.Back()
		delete(r.buckets, oldest.Value.(*bucket).key)
		r.lru.Remove(oldest)
	}
	r.buckets[key] = r.lru.PushFront(&bucket{key, limiter})
	return limiter
}
