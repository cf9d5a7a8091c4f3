package fairqueue

import (
	"math"
	"time"
)

const (
	// reserveFast is how fast a swing of short work is followed.
	reserveFast = 200 * time.Millisecond
)

// ReserveOptions tunes a Reserve. The zero value of a field takes its default.
type ReserveOptions struct {
	// Deviations is how many standard deviations of a Poisson-like use the
	// reserve covers beyond the mean, and PressedDeviations how many once long
	// work has waited without a break for twice Patience. From Patience on
	// the one turns into the other.
	Deviations          float64
	ContendedDeviations float64
	LongWaitThreshold   time.Duration
	Poisson             bool
	// MinSlots is what short work is provided with while there is none.
	MinSlots int
	// MaxFraction bounds the reserve to a part of the slots held, rounded down.
	MaxFraction float64
}

const (
	defaultDeviations = 2.5
	defaultPatience   = 5 * time.Second
	defaultMinSlots   = 4
	defaultMaxPart    = 0.5
)

func (o *ReserveOptions) setDefaults() {
	if o.Deviations == 0 {
		o.Deviations = defaultDeviations
	}
	if o.LongWaitThreshold == 0 {
		o.LongWaitThreshold = defaultPatience
	}
	if o.MinSlots == 0 {
		o.MinSlots = defaultMinSlots
	}
	if o.MaxFraction == 0 {
		o.MaxFraction = defaultMaxPart
	}
}

// Reserve learns how many slots must stay reachable for short work: what short
// work uses now, averaged over reserveFast, and room for its variation.
//
// The zero value is ready for use.
type Reserve struct {
	Options ReserveOptions

	mean float64
	last time.Time
	// pressed is since when long work waits without a break.
	pressed time.Time
}

// Observe takes in how many requests of the short class run or wait now.
func (r *Reserve) Observe(short int, now time.Time) {
	n := float64(short)
	elapsed := now.Sub(r.last).Seconds()
	r.last = now
	r.mean += (n - r.mean) * gain(elapsed, reserveFast)
}

// gain is the weight of a measurement after a time, for an average that
// follows within the given one.
func gain(elapsed float64, within time.Duration) float64 {
	return 1 - math.Exp(-elapsed/within.Seconds())
}

// ObserveLong takes in whether long work waits for a slot now.
func (r *Reserve) ObserveLong(waits bool, now time.Time) {
	if !waits {
		r.pressed = time.Time{}
		return
	}
	if r.pressed.IsZero() {
		r.pressed = now
	}
}

// Target returns how many slots short work should be able to reach, for the
// demand for credits.
func (r *Reserve) Target() int {
	o := r.Options
	o.setDefaults()
	return max(int(math.Ceil(r.mean+r.deviations(o)*math.Sqrt(r.mean))), o.MinSlots)
}

// deviations returns how many standard deviations are covered now.
func (r *Reserve) deviations(o ReserveOptions) float64 {
	if r.pressed.IsZero() {
		return o.Deviations
	}
	waited := r.last.Sub(r.pressed) - o.LongWaitThreshold
	part := min(max(waited.Seconds()/o.LongWaitThreshold.Seconds(), 0), 1)
	return o.Deviations + part*(o.ContendedDeviations-o.Deviations)
}

// Slots returns how many of total slots long work must leave alone.
func (r *Reserve) Slots(total int) int {
	o := r.Options
	o.setDefaults()
	return min(r.Target(), int(math.Floor(o.MaxFraction*float64(total))))
}
