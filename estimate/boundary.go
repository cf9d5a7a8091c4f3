package estimate

import "time"

const (
	// boundaryRange is the largest factor, up or down, between the learned and
	// the configured boundary.
	boundaryRange = 8
	// minSeparation is the minimum distance, in buckets, between the means of
	// two groups that count as two classes: a factor of four in run time.
	minSeparation = 2 * bucketsPerDoubling
)

// learnBoundary sets the boundary that best separates callers into two groups by
// run time (Otsu's method on a logarithmic scale). Each caller of each kind has
// one vote, so that many requests from one caller do not move the boundary.
func (e *Estimator) learnBoundary() {
	var votes [bucketCount]int
	for element := e.lru.Front(); element != nil; element = element.Next() {
		c := element.Value.(*caller)
		if c.measured.samples() >= e.options.MinSamples {
			votes[c.measured.quantileBucket(classQuantile)]++
		}
	}
	boundary, ok := splitGroups(&votes)
	if !ok {
		boundary = e.options.Boundary
	}
	e.boundary = min(max(boundary, e.options.Boundary/boundaryRange), e.options.Boundary*boundaryRange)
}

// splitGroups returns the run time that splits votes into the two groups with
// the largest variance between them. It returns false if there is only one
// group.
func splitGroups(votes *[bucketCount]int) (time.Duration, bool) {
	total, sum := 0, 0
	for i, n := range votes {
		total += n
		sum += i * n
	}
	best, bestLow, bestHigh := -1.0, 0.0, 0.0
	low, lowSum := 0, 0
	for i, n := range votes {
		low += n
		lowSum += i * n
		high := total - low
		if n == 0 || low == 0 || high == 0 {
			continue
		}
		lowMean := float64(lowSum) / float64(low)
		highMean := float64(sum-lowSum) / float64(high)
		between := float64(low) * float64(high) * (highMean - lowMean) * (highMean - lowMean)
		if between > best {
			best, bestLow, bestHigh = between, lowMean, highMean
		}
	}
	if best < 0 || bestHigh-bestLow < minSeparation {
		return 0, false
	}
	return midpointOf(int((bestLow + bestHigh) / 2)), true
}
