package flow

import "time"

const (
	// throughputInterval is the time over which a Throughput is measured.
	throughputInterval = time.Second
	// throughputValidity is how long a measurement counts. A rate that an outage lowered must
	// not decide anything long after it.
	throughputValidity = 10 * time.Second
)

// Throughput is the rate of completed calls, measured while calls wait to be sent. At other times
// the rate only says how few there were to send. The zero value has measured nothing and needs
// MaxGap.
type Throughput struct {
	// MaxGap is the longest time between two calls of Waiting if calls waited in between.
	MaxGap time.Duration

	count int
	// since is the beginning of the measurement, waitingAt when calls last waited, and
	// measuredAt the end of the last measurement.
	since, waitingAt, measuredAt time.Time
	perSecond                    float64
}

// Measured returns a Throughput that was measured at a time.
func Measured(perSecond float64, at time.Time, maxGap time.Duration) Throughput {
	return Throughput{MaxGap: maxGap, perSecond: perSecond, measuredAt: at}
}

// Waiting notes that calls wait to be sent.
func (t *Throughput) Waiting(now time.Time) {
	if t.since.IsZero() || now.Sub(t.waitingAt) > t.MaxGap {
		t.count, t.since = 0, now
	}
	t.waitingAt = now
}

// Completed notes that a call was completed.
func (t *Throughput) Completed() { t.count++ }

// Measure updates the rate once calls have waited for a second. It must be called at regular
// intervals.
func (t *Throughput) Measure(now time.Time) {
	if t.since.IsZero() {
		return
	}
	if now.Sub(t.waitingAt) > t.MaxGap {
		t.since = time.Time{}
		return
	}
	elapsed := now.Sub(t.since)
	if elapsed < throughputInterval {
		return
	}
	t.perSecond = max(float64(t.count)/elapsed.Seconds(), 1)
	t.count, t.since, t.measuredAt = 0, now, now
}

// PerSecond returns the completed calls a second, or false if that was not measured lately.
func (t *Throughput) PerSecond(now time.Time) (float64, bool) {
	return t.perSecond, t.perSecond > 0 && now.Sub(t.measuredAt) <= throughputValidity
}
