package flow

import "time"

const (
	// smoothing and variationSmoothing are the weights of one measurement in
	// the moving averages, and variationFactor the number of mean deviations
	// that the time-out lies above the mean; all as in RFC 6298.
	smoothing          = 1.0 / 8
	variationSmoothing = 1.0 / 4
	variationFactor    = 4
	// baseInterval is the time after which a receiver's older measurements no
	// longer count towards its shortest round trip.
	baseInterval = 30 * time.Second
)

// RoundTrips measures the round trips of calls to many receivers.
type RoundTrips struct {
	minTimeout, maxTimeout time.Duration
	mean, variation        time.Duration
	bases                  map[string]*base
	// swept is when the bases of receivers that are not called were dropped.
	swept time.Time
}

// base holds the shortest round trip of the current and of the previous
// interval. Zero means that there is no measurement.
type base struct {
	began             time.Time
	current, previous time.Duration
}

// NewRoundTrips returns RoundTrips whose Timeout stays between the two bounds.
func NewRoundTrips(minTimeout, maxTimeout time.Duration) *RoundTrips {
	return &RoundTrips{minTimeout: minTimeout, maxTimeout: maxTimeout, bases: make(map[string]*base)}
}

// Observe records a round trip and returns its queueing delay: how much longer
// it took than the receiver's shortest recent one.
func (r *RoundTrips) Observe(now time.Time, receiver string, took time.Duration) time.Duration {
	if r.mean == 0 {
		r.mean, r.variation = took, took/2
	}
	deviation := (took - r.mean).Abs()
	r.variation += time.Duration(variationSmoothing * float64(deviation-r.variation))
	r.mean += time.Duration(smoothing * float64(took-r.mean))
	return took - r.observeBase(now, receiver, took)
}

// observeBase records a round trip and returns the receiver's shortest one.
func (r *RoundTrips) observeBase(now time.Time, receiver string, took time.Duration) time.Duration {
	r.sweep(now)
	b := r.bases[receiver]
	if b == nil {
		b = &base{began: now}
		r.bases[receiver] = b
	}
	if age := now.Sub(b.began); age > baseInterval {
		b.previous = b.current
		if age > 2*baseInterval {
			b.previous = 0
		}
		b.began, b.current = now, 0
	}
	if b.current == 0 || took < b.current {
		b.current = took
	}
	if b.previous > 0 {
		return min(b.previous, b.current)
	}
	return b.current
}

// sweep drops receivers that were not called for two intervals.
func (r *RoundTrips) sweep(now time.Time) {
	if now.Sub(r.swept) < baseInterval {
		return
	}
	r.swept = now
	for receiver, b := range r.bases {
		if now.Sub(b.began) > 2*baseInterval {
			delete(r.bases, receiver)
		}
	}
}

// Timeout returns how long to wait for an answer.
func (r *RoundTrips) Timeout() time.Duration {
	return min(max(r.mean+variationFactor*r.variation, r.minTimeout), r.maxTimeout)
}
