package estimate

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling of 3 gives quantiles within 12% of the true value.
	bucketsPerDoubling = 3
	// bucketCount covers run times from minRunTime to about an hour.
	bucketCount = 76
	minRunTime  = 100 * time.Microsecond
	// decayWeight is the total count at which all counts are halved, so that a
	// quantile reflects about the last hundred measurements.
	decayWeight = 128
	// classQuantile is the quantile that determines the class. A caller keeps
	// its class if fewer than a fifth of its requests are outliers.
	classQuantile = 0.8
)

// histogram counts run times in logarithmic buckets; old counts decay.
type histogram struct {
	counts [bucketCount]uint16
	total  int
	// sum and weight give the decaying mean, in seconds.
	sum    float64
	weight float64
}

func (h *histogram) add(d time.Duration) {
	if h.total >= decayWeight {
		h.decay()
	}
	h.counts[bucketOf(d)]++
	h.total++
	h.sum += d.Seconds()
	h.weight++
}

func (h *histogram) decay() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += int(h.counts[i])
	}
	h.sum /= 2
	h.weight /= 2
}

func (h *histogram) samples() int { return h.total }

func (h *histogram) mean() time.Duration {
	if h.weight == 0 {
		return 0
	}
	return time.Duration(h.sum / h.weight * float64(time.Second))
}

func (h *histogram) quantile(q float64) time.Duration {
	return midpointOf(h.quantileBucket(q))
}

func (h *histogram) quantileBucket(q float64) int {
	rank := int(math.Ceil(q * float64(h.total)))
	seen := 0
	for i, n := range h.counts {
		seen += int(n)
		if seen >= rank && seen > 0 {
			return i
		}
	}
	return bucketCount - 1
}

func bucketOf(d time.Duration) int {
	if d <= minRunTime {
		return 0
	}
	i := int(math.Log2(float64(d)/float64(minRunTime)) * bucketsPerDoubling)
	return min(i, bucketCount-1)
}

// midpointOf returns the geometric midpoint of a bucket.
func midpointOf(bucket int) time.Duration {
	exponent := (float64(bucket) + 0.5) / bucketsPerDoubling
	return time.Duration(float64(minRunTime) * math.Exp2(exponent))
}
