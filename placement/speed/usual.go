package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// usualWindow is the number of runs from which a queue's usual time is computed.
	usualWindow = 48
	// usualInterval is the number of runs after which it is computed again.
	usualInterval = 4
	// minUsualRuns is the number of runs before which only the declared time counts.
	minUsualRuns = 8
	// maxDifference bounds the difference between declared and usual time, in standard
	// deviations of the latter: beyond it the declared time is more likely to be wrong,
	// unless declared times are reliable.
	maxDifference = 2
)

// UsualWork estimates the run times of a queue's tasks on a server of speed 1, from runs
// that ended and from declared times, each weighted by its reliability: declared times may
// be wrong by a large factor, and a queue may hold tasks of very different lengths. The zero
// value has no runs. It is not safe for concurrent use.
type UsualWork struct {
	// work holds the logarithms of the last run times on a server of speed 1, in seconds,
	// and bias those of their ratios to the declared times; 0 for a task without one.
	work, bias   [usualWindow]float32
	count, next  int
	sinceCompute int
	// Medians and spreads of work and bias, as logarithms.
	workMedian, workSpread, biasMedian, biasSpread float64
}

// Observe adds a run of a task with a declared time, which took the given time on a server
// of the given speed.
func (u *UsualWork) Observe(declared, took time.Duration, speed float64) {
	if took <= 0 || speed <= 0 {
		return
	}
	work := math.Log(took.Seconds() * speed)
	u.work[u.next] = float32(work)
	u.bias[u.next] = 0
	if declared > 0 {
		u.bias[u.next] = float32(work - math.Log(declared.Seconds()))
	}
	u.next = (u.next + 1) % usualWindow
	u.count = min(u.count+1, usualWindow)
	if u.sinceCompute++; u.sinceCompute >= usualInterval {
		u.sinceCompute = 0
		u.workMedian, u.workSpread = medianAndSpread(u.work[:u.count])
		u.biasMedian, u.biasSpread = medianAndSpread(u.bias[:u.count])
	}
}

// Work returns the expected run time, on a server of speed 1, of a task with the given
// declared time; 0 means that none is declared. It is the geometric mean of the usual and
// the declared time, each weighted by its reliability, and the declared time alone until
// Known reports true.
func (u *UsualWork) Work(declared time.Duration) time.Duration {
	if !u.Known() {
		return declared
	}
	if declared <= 0 {
		return seconds(u.workMedian)
	}
	byUsual, byDeclared := 1/(u.workSpread*u.workSpread), 1/(u.biasSpread*u.biasSpread)
	// The median bias corrects the declared time to the scale of the usual time, so that speeds
	// are relative to the service's usual server.
	difference := math.Log(declared.Seconds()) + u.biasMedian - u.workMedian
	most := maxDifference * u.workSpread * max(u.workSpread/u.biasSpread, 1)
	difference = min(max(difference, -most), most)
	return seconds(u.workMedian + difference*byDeclared/(byUsual+byDeclared))
}

// CautiousWork returns the longer of Work and the usual time: a declared time that is far
// too short must not make an ordinary run look overdue.
func (u *UsualWork) CautiousWork(declared time.Duration) time.Duration {
	return max(u.Work(declared), seconds(u.workMedian))
}

// Known reports whether enough runs were observed to estimate the usual time.
func (u *UsualWork) Known() bool { return u.count >= minUsualRuns }

// Uncertainty returns the factor by which the result of Work is too low or too high in about
// one of eighty cases. Known must report true.
func (u *UsualWork) Uncertainty() float64 {
	byUsual, byDeclared := 1/(u.workSpread*u.workSpread), 1/(u.biasSpread*u.biasSpread)
	return math.Exp(2.5 / math.Sqrt(byUsual+byDeclared))
}

// Siblings holds the run times of the ended tasks of one step, which predict those of its
// other tasks better than a declared time does. The zero value and nil hold none.
type Siblings struct {
	ended [maxSiblings]sibling
	count int
}

// sibling is a task that ended: the logarithm of its run time on a server of speed 1, in
// seconds, and the number of the server instance that it ran on.
type sibling struct {
	work   float32
	server uint64
}

const (
	// maxSiblings is the number of ended tasks that are kept, the last ones.
	maxSiblings = 9
	// minSiblings is the number of ended tasks on other servers that count for more than
	// the usual and the declared time.
	minSiblings = 3
)

// Observe adds a task that took the given time on a server of the given speed.
func (s *Siblings) Observe(server uint64, took time.Duration, speed float64) {
	if took <= 0 || speed <= 0 {
		return
	}
	s.ended[s.count%maxSiblings] = sibling{float32(math.Log(took.Seconds() * speed)), server}
	s.count++
}

// Work returns the median run time, on a server of speed 1, of the tasks that ended on other
// servers than the given one. It reports false if fewer than three did. Tasks on the same
// server do not show whether it is slow, since all of them took long then.
func (s *Siblings) Work(server uint64) (time.Duration, bool) {
	if s == nil {
		return 0, false
	}
	var buffer [maxSiblings]float32
	elsewhere := buffer[:0]
	for _, e := range s.ended[:min(s.count, maxSiblings)] {
		if e.server != server {
			elsewhere = append(elsewhere, e.work)
		}
	}
	if len(elsewhere) < minSiblings {
		return 0, false
	}
	slices.Sort(elsewhere)
	return seconds(median(elsewhere)), true
}

func seconds(log float64) time.Duration {
	return time.Duration(math.Exp(log) * float64(time.Second))
}

func medianAndSpread(values []float32) (mid, spread float64) {
	var buffer [usualWindow]float32
	sorted := append(buffer[:0], values...)
	slices.Sort(sorted)
	mid = median(sorted)
	for i, x := range sorted {
		sorted[i] = float32(math.Abs(float64(x) - mid))
	}
	slices.Sort(sorted)
	return mid, max(spreadFactor*median(sorted), minSpread)
}
