package policybench

import (
	"math"
	"math/rand/v2"
	"time"
)

// Size of the cell that the traces are made for.
const (
	regions         = 3
	daemons         = 9
	backends        = 50
	slotsPerBackend = 8
	cellSlots       = backends * slotsPerBackend
)

// Properties of the requests in the traces.
const (
	checkRunTime   = 20 * time.Millisecond
	reviewRunTime  = 400 * time.Millisecond
	checkDeadline  = 2 * time.Second
	reviewDeadline = 60 * time.Second
	// runTimeSigma is the standard deviation of the logarithm of run times.
	runTimeSigma = 0.3
	// stragglerFactor is the factor by which stragglers run longer.
	stragglerFactor = 50
	requestBytes    = 2 << 10
	answerBytes     = 4 << 10
)

// arrival is one request of a trace.
type arrival struct {
	at     time.Duration
	region int
	// daemon is the index of the entry daemon within the region.
	daemon  int
	caller  string
	team    string
	kind    string
	long    bool
	runTime time.Duration
	// hedgeRunTime is the run time of a hedge, the second attempt.
	hedgeRunTime time.Duration
	deadline     time.Duration
}

// source is one caller's stream of requests.
type source struct {
	caller string
	team   string
	// load is the fraction of the cell's slots that it needs at a load factor of 1.
	load float64
	// longFraction is the fraction of its requests that are reviews.
	longFraction float64
	// constantRate is set for a source that the workload's load factor does not
	// affect.
	constantRate bool
	// misdeclares is set for a caller that declares its reviews as checks.
	misdeclares bool
}

// workload describes a trace.
type workload struct {
	seed       uint64
	sources    []source
	duration   time.Duration
	stragglers float64
	// loadFactor returns the factor that scales the load at a time.
	loadFactor func(time.Duration) float64
	// regionWeights holds the relative number of requests from each region.
	regionWeights [regions]float64
	// firstDaemonOnly, if set, sends all requests of a region to its first daemon
	// at the times for which it returns true.
	firstDaemonOnly func(time.Duration) bool
}

// meanRunTime returns the mean run time of a source's requests.
func (w workload) meanRunTime(s source) time.Duration {
	mean := (1-s.longFraction)*checkRunTime.Seconds() + s.longFraction*reviewRunTime.Seconds()
	mean *= 1 + w.stragglers*(stragglerFactor-1)
	mean *= math.Exp(runTimeSigma * runTimeSigma / 2)
	return time.Duration(mean * float64(time.Second))
}

// generate returns the arrivals of w in order of time. It draws the same random
// numbers for an arrival that it leaves out.
func (w workload) generate() []arrival {
	r := rand.New(rand.NewPCG(w.seed, 1))
	var rates []float64
	total := 0.0
	for _, s := range w.sources {
		total += s.load * cellSlots / w.meanRunTime(s).Seconds()
		rates = append(rates, total)
	}
	peak := 0.0
	for t := time.Duration(0); t < w.duration; t += 100 * time.Millisecond {
		peak = max(peak, w.loadFactor(t))
	}
	var trace []arrival
	for t := time.Duration(0); ; {
		t += time.Duration(r.ExpFloat64() / (total * peak) * float64(time.Second))
		if t >= w.duration {
			return trace
		}
		s := pickSource(w.sources, rates, r.Float64()*total)
		factor := w.loadFactor(t)
		if s.constantRate {
			factor = 1
		}
		thin := r.Float64()*peak > factor
		a := w.newArrival(r, s, t)
		if !thin {
			trace = append(trace, a)
		}
	}
}

func pickSource(sources []source, rates []float64, pick float64) source {
	for i, rate := range rates {
		if pick < rate {
			return sources[i]
		}
	}
	return sources[len(sources)-1]
}

func (w workload) newArrival(r *rand.Rand, s source, t time.Duration) arrival {
	a := arrival{at: t, caller: s.caller, team: s.team, kind: "check", deadline: checkDeadline}
	a.long = r.Float64() < s.longFraction
	base := checkRunTime
	if a.long {
		base = reviewRunTime
	}
	if a.long && !s.misdeclares {
		a.kind, a.deadline = "review", reviewDeadline
	}
	a.runTime = w.runTime(r, base)
	a.hedgeRunTime = w.runTime(r, base)
	a.region = pickRegion(w.regionWeights, r.Float64())
	a.daemon = r.IntN(daemons / regions)
	if w.firstDaemonOnly != nil && w.firstDaemonOnly(t) {
		a.daemon = 0
	}
	return a
}

func (w workload) runTime(r *rand.Rand, base time.Duration) time.Duration {
	factor := math.Exp(r.NormFloat64() * runTimeSigma)
	if r.Float64() < w.stragglers {
		factor *= stragglerFactor
	}
	return time.Duration(float64(base) * factor)
}

func pickRegion(weights [regions]float64, pick float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	pick *= total
	for i, weight := range weights {
		if pick < weight {
			return i
		}
		pick -= weight
	}
	return regions - 1
}

// withoutLong returns the trace without its long requests.
func withoutLong(trace []arrival) []arrival {
	var kept []arrival
	for _, a := range trace {
		if !a.long {
			kept = append(kept, a)
		}
	}
	return kept
}

// constantLoad returns a load factor that does not change.
func constantLoad(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// peakLoad returns a load factor of 1 that rises to factor at start for length.
func peakLoad(factor float64, start, length time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= start && t < start+length {
			return factor
		}
		return 1
	}
}

// equalSources returns n callers of one team that each send an equal part of load.
func equalSources(n int, load, long float64) []source {
	var sources []source
	for i := range n {
		name := "caller-" + string(rune('a'+i))
		sources = append(sources, source{caller: name, team: "consortium", load: load / float64(n), longFraction: long})
	}
	return sources
}
