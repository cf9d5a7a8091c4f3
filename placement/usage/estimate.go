package usage

import (
	"sort"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
)

const (
	// maxSamples is the number of most recent attempts that an estimate uses.
	maxSamples = 64
	// minSamples is the number of attempts below which there is no estimate.
	minSamples = 8
	// Estimates are percentiles rather than maxima, so that a few outliers do
	// not move them.
	sizePercentile = 95
	timePercentile = 90
)

// Key identifies tasks that share an estimate.
type Key struct {
	Team     string
	Service  string
	Workload string
}

// Sample is the measured use of one attempt.
type Sample struct {
	Peak    cluster.Resources
	RunTime time.Duration
}

type history struct {
	samples [maxSamples]Sample
	n       int
}

// Estimates learns the size and run time of tasks from attempts that succeeded.
type Estimates struct {
	limit          int
	histories      map[Key]*history
	insertionOrder []Key
}

// NewEstimates returns empty estimates that keep at most limit workloads; the
// one added first is evicted first.
func NewEstimates(limit int) *Estimates {
	return &Estimates{limit: limit, histories: make(map[Key]*history)}
}

// Add records one attempt.
func (e *Estimates) Add(k Key, s Sample) {
	h, ok := e.histories[k]
	if !ok {
		h = &history{}
		e.histories[k] = h
		e.insertionOrder = append(e.insertionOrder, k)
		e.evict()
	}
	h.samples[h.n%maxSamples] = s
	h.n++
}

func (e *Estimates) evict() {
	for len(e.histories) > e.limit {
		delete(e.histories, e.insertionOrder[0])
		e.insertionOrder = e.insertionOrder[1:]
	}
}

// Size returns the resources that a task should reserve. It is never less than
// the declared size, so that workers are not overcommitted even if every task
// uses all that it declared. It is greater, up to most, if earlier tasks with
// the same key have used more than the tolerance.
func (e *Estimates) Size(k Key, declared, most cluster.Resources) cluster.Resources {
	h, ok := e.histories[k]
	if !ok || h.n < minSamples {
		return declared
	}
	learn := func(declared, most int64, of func(Sample) int64) int64 {
		q := h.quantile(sizePercentile, of)
		if q <= toleratedSize(declared) {
			return declared
		}
		return max(declared, min(q, most))
	}
	return cluster.Resources{
		CPU:          learn(declared.CPU, most.CPU, func(s Sample) int64 { return s.Peak.CPU }),
		Memory:       learn(declared.Memory, most.Memory, func(s Sample) int64 { return s.Peak.Memory }),
		Accelerators: declared.Accelerators,
	}
}

// RunTime returns the expected run time of a task from attempts with the same
// key, or the declared one while too few are known.
func (e *Estimates) RunTime(k Key, declared time.Duration) time.Duration {
	h, ok := e.histories[k]
	if !ok || h.n < minSamples {
		return declared
	}
	return time.Duration(h.quantile(timePercentile, func(s Sample) int64 { return int64(s.RunTime) }))
}

func (h *history) quantile(p int, of func(Sample) int64) int64 {
	n := min(h.n, maxSamples)
	values := make([]int64, n)
	for i := range values {
		values[i] = of(h.samples[i])
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[(n-1)*p/percent]
}
