// Package speed learns how fast each backend server runs tasks, from the run times of
// the tasks that ended there. It decides nothing about placement and holds no clock: the
// caller passes the time. All estimates are logarithms of a speed, so that twice as fast
// and half as fast are equally far from 1.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// steadyWindow is the number of runs from which the steady speed is estimated. The
	// run times of single tasks differ by a factor of up to 10 from what is expected.
	steadyWindow = 48
	// recentWindow is the number of runs from which a sudden change is detected. Two
	// stragglers among five runs do not move the median.
	recentWindow = 5
	// priorRuns is the weight of the prior, a speed of 1, in runs.
	priorRuns = 2
	// normalRange is how far below the steady speed, as a logarithm, the observation of a
	// run in about the usual time is.
	normalRange = 0.7
	// A server has changed if its recent speed differs from the steady one by more than
	// changeThreshold, as a logarithm, and by more than changeSpreads times the standard
	// deviation of its runs: over three standard errors of the recent median.
	changeThreshold = 0.8
	changeSpreads   = 1.8
	// halfLife is the time without a run in which the estimate comes half as close to 1.
	// A server that turned slow gets no work, so that nothing else ends the avoidance.
	halfLife = 8 * time.Second
	// restTime is the time without a run after which the estimate begins to approach 1.
	restTime = 4 * time.Second
	// maxObservation bounds one observation, as a logarithm, to a factor of 20.
	maxObservation = 3
	// significance is the number of standard errors by which a speed must differ from 1 to
	// count as different.
	significance = 3
	// minDifference is the smallest difference from 1 that counts, as a logarithm.
	minDifference = 0.14
	// classWidth is the width of a class, as a logarithm.
	classWidth = 0.35
	// The standard deviation of normally distributed values is spreadFactor times their
	// median absolute deviation. The standard error of their median is medianFactor times
	// that of their mean.
	spreadFactor, medianFactor = 1.48, 1.25
	// minSpread is the least standard deviation that is assumed of single runs. With few
	// runs priorSpread counts as much as spreadRuns of them, and with fewer than minRuns
	// no server counts as different.
	minSpread   = 0.1
	priorSpread = 0.5
	spreadRuns  = 4
	minRuns     = 5
)

// Estimator estimates the speed of one server instance, where 1 is the speed for which
// expected times are given and 2 is twice as fast. The zero value has no observations and
// estimates 1. It is not safe for concurrent use.
type Estimator struct {
	// runs holds the last observations, a ring of which next is the oldest once full.
	runs  [steadyWindow]float32
	count int
	next  int
	// groups holds, for the newest observations, the group of tasks that each is about and
	// how many runs it is the mean of; newest is the position of the last one.
	groups [recentWindow]group
	newest int
	// lastRun is when the last run ended.
	lastRun time.Time
	// normalStart is the latest start of a run that ended in about the usual time. A run that
	// began before it and is overdue is a straggler: the server is not the cause.
	normalStart time.Time
	// steady, recent and spread are computed from runs.
	steady, recent, spread float64
	// overdue are the observations of runs that have not ended and took longer than
	// expected; they only show that the server is slow.
	overdue []float32
}

// group identifies the tasks of one step.
type group struct {
	id       uint64
	runs     int
	position int
}

// Observe adds a run that ended at now and took the given time; expected is its time on a
// server of speed 1. Tasks of one step have one declared time, so that all their expected
// times are wrong by the same factor: the runs of one group, which is not 0, count as one
// observation. A long run is ignored if a run of usual length began at the same time or
// later: it is a straggler, and the server is not slow.
func (e *Estimator) Observe(groupID uint64, expected, took time.Duration, now time.Time) {
	if expected <= 0 || took <= 0 {
		return
	}
	x := observation(expected, took)
	start := now.Add(-took)
	e.lastRun = now
	switch {
	case float64(x) > e.steady-normalRange:
		if start.After(e.normalStart) {
			e.normalStart = start
		}
	case !start.After(e.normalStart):
		// A straggler. All other runs of its step are one observation, so that stragglers
		// of steps with many tasks would have too much weight.
		return
	}
	e.add(groupID, x)
	e.compute()
}

func (e *Estimator) add(groupID uint64, x float32) {
	for i := range e.groups {
		if g := &e.groups[i]; g.id == groupID && g.runs > 0 {
			g.runs++
			e.runs[g.position] += (x - e.runs[g.position]) / float32(g.runs)
			return
		}
	}
	e.newest = (e.newest + 1) % recentWindow
	e.groups[e.newest] = group{groupID, 1, e.next}
	e.runs[e.next] = x
	e.next = (e.next + 1) % steadyWindow
	e.count = min(e.count+1, steadyWindow)
}

func observation(expected, took time.Duration) float32 {
	x := math.Log(float64(expected) / float64(took))
	return float32(min(max(x, -maxObservation), maxObservation))
}

// SetOverdue replaces the observations of runs in progress, whose ages are lower bounds of
// their run times. Runs that are not overdue on a server of this speed are ignored, and so
// are stragglers: runs after whose start another run began that ended in about the usual
// time. One run of each group counts.
func (e *Estimator) SetOverdue(running []Running, now time.Time) {
	before := len(e.overdue)
	e.overdue = e.overdue[:0]
	var seen [recentWindow]uint64
	for _, r := range running {
		if r.Expected <= 0 || r.Age <= 0 || !now.Add(-r.Age).After(e.normalStart) {
			continue
		}
		if slices.Contains(seen[:len(e.overdue)], r.Group) {
			continue
		}
		if x := observation(r.Expected, r.Age); float64(x) < min(e.steady, 0) {
			seen[len(e.overdue)] = r.Group
			e.overdue = append(e.overdue, x)
			e.lastRun = now
		}
		if len(e.overdue) == recentWindow {
			break
		}
	}
	if before > 0 || len(e.overdue) > 0 {
		e.compute()
	}
}

// Running is a run in progress.
type Running struct {
	// Group identifies the tasks of one step; it is not 0.
	Group uint64
	// Expected is its expected time on a server of speed 1, and Age the time since its start.
	Expected, Age time.Duration
}

func (e *Estimator) compute() {
	var buffer [steadyWindow]float32
	all := buffer[:e.count]
	copy(all, e.runs[:e.count])
	slices.Sort(all)
	e.steady, e.spread = median(all), minSpread
	if len(all) > 0 {
		for i, x := range all {
			all[i] = float32(math.Abs(float64(x) - e.steady))
		}
		slices.Sort(all)
		own := max(spreadFactor*median(all), minSpread)
		e.spread = math.Sqrt((float64(e.count)*own*own + spreadRuns*priorSpread*priorSpread) / float64(e.count+spreadRuns))
	}
	e.recent = e.recentMedian()
}

// recentMedian returns the median of the newest observations, those of overdue runs
// first.
func (e *Estimator) recentMedian() float64 {
	var buffer [recentWindow]float32
	newest := append(buffer[:0], e.overdue...)
	for i := 1; i <= e.count && len(newest) < recentWindow; i++ {
		newest = append(newest, e.runs[(e.next-i+steadyWindow)%steadyWindow])
	}
	if len(newest) < recentWindow {
		return e.steady
	}
	slices.Sort(newest)
	return median(newest)
}

func median(sorted []float32) float64 {
	n := len(sorted)
	switch {
	case n == 0:
		return 0
	case n%2 == 1:
		return float64(sorted[n/2])
	}
	return float64(sorted[n/2-1]+sorted[n/2]) / 2
}

// log returns the estimate as a logarithm and its standard error.
func (e *Estimator) log(now time.Time) (estimate, deviation float64) {
	if e.count == 0 && len(e.overdue) == 0 {
		return 0, 1
	}
	estimate, deviation = e.steady, medianFactor*e.spread/math.Sqrt(float64(max(e.count, 1)))
	estimate *= float64(e.count) / float64(e.count+priorRuns)
	if math.Abs(e.recent-e.steady) > max(changeThreshold, changeSpreads*e.spread) {
		estimate, deviation = e.recent, medianFactor*e.spread/math.Sqrt(recentWindow)
	}
	if idle := now.Sub(e.lastRun) - restTime; idle > 0 {
		estimate *= math.Exp2(-float64(idle) / float64(halfLife))
	}
	return estimate, deviation
}

// Speed returns the estimated speed, a factor; 1 without observations.
func (e *Estimator) Speed(now time.Time) float64 {
	x, _ := e.log(now)
	return math.Exp(x)
}

// Base returns the speed of a service's usual server, as a logarithm: the median of its
// servers, 0 if there are none. An error of the expected run times is common to all servers,
// and a class must not depend on it.
func Base(servers []*Estimator, now time.Time) float64 {
	if len(servers) == 0 {
		return 0
	}
	logs := make([]float64, len(servers))
	for i, e := range servers {
		logs[i], _ = e.log(now)
	}
	slices.Sort(logs)
	return logs[len(logs)/2]
}

// Class returns the speed class of the server relative to the usual server, whose speed is
// base, a logarithm (see Base): 0 if its speed is not known to differ, higher classes for
// faster servers. Servers of one class count as equal, so that random variation of run times
// does not decide placement.
func (e *Estimator) Class(now time.Time, base float64) int {
	x, deviation := e.log(now)
	x -= base
	if e.count < minRuns || math.Abs(x) < max(minDifference, significance*deviation) {
		return 0
	}
	class := int(math.Round(x / classWidth))
	switch {
	case class == 0 && x > 0:
		return 1
	case class == 0:
		return -1
	}
	return class
}

// OfClass returns the speed in the middle of a class, as a factor of the usual server's.
func OfClass(class int) float64 { return math.Exp(classWidth * float64(class)) }

// Slow reports whether a class is that of a slow server, which placement avoids: it takes
// over 2.4 times the usual time.
func Slow(class int) bool { return class <= slowClass }

// slowClass is the highest class of a slow server. The servers of a mixed fleet, with
// speeds of 0.7 and more, are above it.
const slowClass = -3
