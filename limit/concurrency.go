package limit

import "math"

const (
	// slowThreshold is the ratio of run time to expected run time above which the
	// limit is lowered.
	slowThreshold = 2.0
	// smoothingFactor is the weight of one measurement in the moving average.
	smoothingFactor = 0.1
	// The limit is lowered by decreaseFactor and raised by increaseFraction of the
	// slots.
	decreaseFactor   = 0.8
	increaseFraction = 0.1
)

// Concurrency is an adaptive limit on the number of concurrent requests to a backend
// server. It is lowered while requests run longer than expected and raised otherwise,
// between one and the number of the server's slots.
type Concurrency struct {
	slots           float64
	limit           float64
	logSlowness     float64
	sinceAdjustment int
}

// NewConcurrency returns a Concurrency that starts at the number of slots.
func NewConcurrency(slots int) *Concurrency {
	n := float64(max(slots, 1))
	return &Concurrency{slots: n, limit: n}
}

// Observe records one finished request: the ratio of its run time to the expected run
// time, and the number of requests that ran on the backend server at its end,
// itself included.
func (c *Concurrency) Observe(ratio float64, running int) {
	// Averaging logarithms keeps one straggler from dominating the average.
	c.logSlowness += smoothingFactor * (math.Log2(max(ratio, 0.01)) - c.logSlowness)
	c.sinceAdjustment++
	if c.sinceAdjustment < int(c.limit) {
		return
	}
	c.sinceAdjustment = 0
	slow := c.logSlowness > math.Log2(slowThreshold)
	switch {
	case slow && float64(running) >= c.limit-1:
		c.limit = max(1, c.limit*decreaseFactor)
	case !slow:
		c.limit = min(c.slots, c.limit+increaseFraction*c.slots)
	}
}

// Limit returns the number of requests that may run at once.
func (c *Concurrency) Limit() int { return int(c.limit) }

// Slowness returns the moving geometric mean of the ratios passed to Observe.
func (c *Concurrency) Slowness() float64 { return math.Exp2(c.logSlowness) }
