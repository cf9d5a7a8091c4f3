package fairqueue

import (
	"math"
	"time"
)

const (
	// reserveWindow is the time constant of the moving average of short
	// requests.
	reserveWindow = 200 * time.Millisecond
)

// ReserveOptions configures a Reserve. A zero field takes its default.
type ReserveOptions struct {
	// Deviations is the number of standard deviations of a Poisson distribution
	// that the reserve covers beyond the mean. ContendedDeviations replaces it
	// when long requests have waited without a break for twice
	// LongWaitThreshold; between once and twice the threshold, the number is
	// interpolated.
	Deviations          float64
	ContendedDeviations float64
	LongWaitThreshold   time.Duration
	// MinSlots is the minimum reserve, kept even without short requests.
	MinSlots int
	// MaxFraction bounds the reserve to a fraction of the slots held, rounded
	// down.
	MaxFraction float64
}

const (
	defaultDeviations        = 2.5
	defaultLongWaitThreshold = 5 * time.Second
	defaultMinSlots          = 4
	defaultMaxFraction       = 0.5
)

func (o *ReserveOptions) setDefaults() {
	if o.Deviations == 0 {
		o.Deviations = defaultDeviations
	}
	if o.LongWaitThreshold == 0 {
		o.LongWaitThreshold = defaultLongWaitThreshold
	}
	if o.MinSlots == 0 {
		o.MinSlots = defaultMinSlots
	}
	if o.MaxFraction == 0 {
		o.MaxFraction = defaultMaxFraction
	}
}

// Reserve calculates how many slots must stay available for short requests: the
// moving average of their number, and a margin for its variation.
//
// The zero value is ready for use.
type Reserve struct {
	Options ReserveOptions

	mean float64
	last time.Time
	// longWaitingSince is since when long requests wait without a break; zero if
	// none wait.
	longWaitingSince time.Time
}

// Observe records the number of short requests that run or wait now.
func (r *Reserve) Observe(short int, now time.Time) {
	n := float64(short)
	elapsed := now.Sub(r.last).Seconds()
	r.last = now
	r.mean += (n - r.mean) * averageWeight(elapsed, reserveWindow)
}

// averageWeight returns the weight of a new measurement in an exponential moving
// average with a time constant, after elapsed seconds.
func averageWeight(elapsed float64, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-elapsed/timeConstant.Seconds())
}

// ObserveLong records whether long requests wait for a slot now.
func (r *Reserve) ObserveLong(waits bool, now time.Time) {
	if !waits {
		r.longWaitingSince = time.Time{}
		return
	}
	if r.longWaitingSince.IsZero() {
		r.longWaitingSince = now
	}
}

// Target returns the number of slots that should be available for short
// requests. It is also the basis of the demand for credits.
func (r *Reserve) Target() int {
	o := r.Options
	o.setDefaults()
	return max(int(math.Ceil(r.mean+r.deviations(o)*math.Sqrt(r.mean))), o.MinSlots)
}

// deviations returns the number of standard deviations to cover now.
func (r *Reserve) deviations(o ReserveOptions) float64 {
	if r.longWaitingSince.IsZero() {
		return o.Deviations
	}
	waited := r.last.Sub(r.longWaitingSince) - o.LongWaitThreshold
	progress := min(max(waited.Seconds()/o.LongWaitThreshold.Seconds(), 0), 1)
	return o.Deviations + progress*(o.ContendedDeviations-o.Deviations)
}

// Slots returns how many of total slots long requests must not use.
func (r *Reserve) Slots(total int) int {
	o := r.Options
	o.setDefaults()
	return min(r.Target(), int(math.Floor(o.MaxFraction*float64(total))))
}
