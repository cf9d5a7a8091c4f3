package logclient

import (
	"time"

	"golang.org/x/time/rate"
)

// Budget limits the rate of appends by a token bucket. It has no clock: each
// call passes the time. It is not safe for concurrent use.
type Budget struct{ limiter *rate.Limiter }

// NewBudget returns a Budget that allows perSecond appends per second, and up
// to burst at once.
func NewBudget(perSecond float64, burst int) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Take uses one append and leaves at least reserve of them, or uses none and
// returns how long to wait until it could.
func (b *Budget) Take(now time.Time, reserve int) (wait time.Duration) {
	if wait := b.Wait(now, 1+reserve); wait > 0 {
		return wait
	}
	b.limiter.AllowN(now, 1)
	return 0
}

// Wait returns how long to wait until n appends are available; zero if they
// are.
func (b *Budget) Wait(now time.Time, n int) time.Duration {
	missing := float64(n) - b.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return max(1, time.Duration(missing/float64(b.limiter.Limit())*float64(time.Second)))
}
