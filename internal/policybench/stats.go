package policybench

import (
	"math"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/fairqueue"
)

// outcome is the outcome of one arrival.
type outcome struct {
	arrival
	// wait is the time from arrival until a backend server starts it.
	wait time.Duration
	// responseTime is the time from arrival until its response is back.
	responseTime time.Duration
	started      bool
	done         bool
	refused      bool
	expired      bool
	remote       bool
	// lost is set for a request in progress on a daemon that crashed.
	lost bool
	// attempts is the number of times that its caller sent it.
	attempts int
	// entryDaemon is the daemon that received it.
	entryDaemon *daemon
}

// useful reports whether the response came by the deadline.
func (s *outcome) useful() bool { return s.done && s.responseTime <= s.deadline }

// result is the result of one run over a trace.
type result struct {
	outcomes []*outcome
	// The bytes that crossed regions: request and response bodies, and messages
	// about credits.
	crossRegionBodyBytes    int64
	crossRegionControlBytes int64
	// controlBytes is the size of all messages about credits between daemons,
	// within regions too.
	controlBytes   int64
	creditRequests int
	hedges         int
	// overcommits counts the starts at which a backend server ran more requests
	// than it has slots.
	overcommits int
}

// outcomesOf returns the outcomes of the arrivals of a class within a window,
// without those that were lost.
func (r result) outcomesOf(long bool, from, to time.Duration) []*outcome {
	var picked []*outcome
	for _, s := range r.outcomes {
		if s.long == long && !s.lost && s.at >= from && s.at < to {
			picked = append(picked, s)
		}
	}
	return picked
}

// quantile returns a quantile of a measure over all outcomes. Those that did not
// reach the measured event count as notReached, the highest value.
func quantile(all []*outcome, q float64, measure func(*outcome) time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	var values []time.Duration
	for _, s := range all {
		values = append(values, measure(s))
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// notReached is the measured time of a start or response that did not happen.
const notReached = time.Hour

func waitTimeOf(s *outcome) time.Duration {
	if !s.started {
		return notReached
	}
	return s.wait
}

func responseTimeOf(s *outcome) time.Duration {
	if !s.done {
		return notReached
	}
	return s.responseTime
}

// fraction returns the fraction of all for which is reports true.
func fraction(all []*outcome, is func(*outcome) bool) float64 {
	n := 0
	for _, s := range all {
		if is(s) {
			n++
		}
	}
	return float64(n) / float64(max(len(all), 1))
}

// usefulFraction returns the slot time of useful runs within a window, as a
// fraction of the time of all the cell's slots. extra is added to the run time of
// each request, such as the network round trip during which its slot is held.
func (r result) usefulFraction(from, to, extra time.Duration) float64 {
	return r.usedFraction(from, to, extra, (*outcome).useful)
}

// wastedFraction is usefulFraction for requests that were started and have no
// response by their deadline.
func (r result) wastedFraction(from, to, extra time.Duration) float64 {
	return r.usedFraction(from, to, extra, func(s *outcome) bool { return s.started && !s.useful() })
}

func (r result) usedFraction(from, to, extra time.Duration, counts func(*outcome) bool) float64 {
	used := 0.0
	for _, s := range r.outcomes {
		if !counts(s) {
			continue
		}
		begin := max(s.at+s.wait, from)
		end := min(s.at+s.wait+s.runTime+extra, to)
		used += max(0, (end - begin).Seconds())
	}
	return used / (cellSlots * (to - from).Seconds())
}

// slotTime returns, in seconds and by account, the useful slot time within a
// window, and the slot time requested by arrivals within it. The account of a
// caller's name with a slash is the part before the slash.
func (r result) slotTime(from, to time.Duration) (got, requested map[string]float64) {
	got, requested = make(map[string]float64), make(map[string]float64)
	for _, s := range r.outcomes {
		account := fairqueue.Account(s.caller)
		if s.at >= from && s.at < to {
			requested[account] += s.runTime.Seconds()
		}
		if s.useful() {
			begin, end := max(s.at+s.wait, from), min(s.at+s.wait+s.runTime, to)
			got[account] += max(0, (end - begin).Seconds())
		}
	}
	return got, requested
}

// maxMinLevel returns the largest allocation of any caller when the total of got
// is divided among the requested amounts by max-min fairness.
func maxMinLevel(got, requested map[string]float64) float64 {
	total := 0.0
	for _, v := range got {
		total += v
	}
	low, high := 0.0, total
	for range 60 {
		level := (low + high) / 2
		sum := 0.0
		for _, v := range requested {
			sum += min(v, level)
		}
		if sum < total {
			low = level
		} else {
			high = level
		}
	}
	return high
}

// jain returns Jain's fairness index.
func jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return math.NaN()
	}
	return sum * sum / (float64(len(values)) * squares)
}
