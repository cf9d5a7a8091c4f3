package logclient

import (
	"math/rand/v2"
	"time"
)

// Backoff computes exponential backoff with jitter.
type Backoff struct {
	Initial time.Duration
	Max     time.Duration
}

// Wait returns the wait before the given attempt, counted from one. It is
// random between half and the whole of a bound that starts at Initial and
// doubles with every attempt up to Max.
func (b Backoff) Wait(attempt int, random *rand.Rand) time.Duration {
	bound := b.Initial
	for i := 1; i < attempt && bound < b.Max; i++ {
		bound *= 2
	}
	bound = min(bound, b.Max)
	return bound/2 + time.Duration(random.Int64N(int64(bound/2)+1))
}

// CircuitBreaker stops calls that keep failing. After Threshold consecutive
// failures it opens. When its wait is over it allows one call as a probe,
// whose outcome closes or reopens it. It is not safe for concurrent use.
type CircuitBreaker struct {
	Threshold int
	Backoff   Backoff

	failures  int
	openUntil time.Time
	probing   bool
}

// Allow reports whether a call may be made now and, if not, how long to wait.
// An allowed call must be followed by RecordSuccess or RecordFailure.
func (c *CircuitBreaker) Allow(now time.Time) (ok bool, wait time.Duration) {
	if c.failures < c.Threshold {
		return true, 0
	}
	if wait := c.openUntil.Sub(now); wait > 0 {
		return false, wait
	}
	if c.probing {
		return false, c.Backoff.Initial
	}
	c.probing = true
	return true, 0
}

// Open reports whether calls are refused.
func (c *CircuitBreaker) Open(now time.Time) bool {
	return c.failures >= c.Threshold && (c.probing || now.Before(c.openUntil))
}

// RecordSuccess closes the circuit.
func (c *CircuitBreaker) RecordSuccess() { c.failures, c.probing = 0, false }

// RecordFailure counts a failure, and opens the circuit at the threshold.
func (c *CircuitBreaker) RecordFailure(now time.Time, random *rand.Rand) {
	c.failures++
	c.probing = false
	if over := c.failures - c.Threshold; over >= 0 {
		c.openUntil = now.Add(c.Backoff.Wait(over+1, random))
	}
}
