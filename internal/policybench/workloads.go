package policybench

import "time"

// The window of the load peak.
const (
	peakStart    = 15 * time.Second
	peakDuration = 5 * time.Second
	peakEnd      = peakStart + peakDuration
)

// baseLoad is the fraction of all slots that requests need outside of a load peak.
const baseLoad = 0.5

// peakWorkload has a load peak of three times the base load, 20% long reviews and
// 2% stragglers.
func peakWorkload(seed uint64) workload {
	return workload{
		seed:          seed,
		sources:       equalSources(20, baseLoad, 0.2),
		duration:      40 * time.Second,
		stragglers:    0.02,
		loadFactor:    peakLoad(3, peakStart, peakDuration),
		regionWeights: [regions]float64{1, 1, 1},
	}
}

// overloadWorkload constantly needs factor times the cell's slots.
func overloadWorkload(seed uint64, factor, stragglers float64) workload {
	return workload{
		seed:          seed,
		sources:       equalSources(20, factor, 0.2),
		duration:      30 * time.Second,
		stragglers:    stragglers,
		loadFactor:    constantLoad(1),
		regionWeights: [regions]float64{1, 1, 1},
	}
}

// skewedWorkload is a constant base load of which one region gets three times as
// many requests as each of the others.
func skewedWorkload(seed uint64) workload {
	w := peakWorkload(seed)
	w.loadFactor = constantLoad(1)
	w.regionWeights = [regions]float64{3, 1, 1}
	return w
}

// The regular callers of fairWorkload, and the name of the extra one.
const (
	regularCallers  = 20
	extraCallerName = "guest"
)

// extraCaller is the caller that fairWorkload adds to the regular ones.
type extraCaller uint8

const (
	// extraNone adds no caller, extraEqual one more regular caller.
	extraNone extraCaller = iota
	extraEqual
	// extraFlooder needs ten times the slots of a regular caller.
	// extraMisdeclaring needs as many as a regular caller, for reviews that it
	// declares as checks. extraSplit needs ten times as many, under ten names of
	// one account.
	extraFlooder
	extraMisdeclaring
	extraSplit
)

// fairWorkload has 20 equal callers with the given total load, and an extra one.
func fairWorkload(seed uint64, load float64, g extraCaller) workload {
	w := overloadWorkload(seed, load, 0)
	perCaller := load / regularCallers
	w.sources = equalSources(regularCallers, load, 0.2)
	switch g {
	case extraEqual:
		w.sources = append(w.sources, source{caller: extraCallerName, team: "consortium", load: perCaller, longFraction: 0.2})
	case extraFlooder:
		w.sources = append(w.sources, source{caller: extraCallerName, team: "consortium", load: 10 * perCaller, longFraction: 0.2})
	case extraMisdeclaring:
		w.sources = append(w.sources, source{caller: extraCallerName, team: "consortium", load: perCaller, longFraction: 1, misdeclares: true})
	case extraSplit:
		for i := range 10 {
			name := extraCallerName + "/" + string(rune('a'+i))
			w.sources = append(w.sources, source{caller: name, team: "consortium", load: perCaller, longFraction: 0.2})
		}
	}
	return w
}

// longBacklogWorkload keeps long requests, with stragglers among them, queued all
// the time, while checks have a load peak of three times their base load, as in
// peakWorkload.
func longBacklogWorkload(seed uint64) workload {
	w := peakWorkload(seed)
	w.sources = equalSources(20, baseLoad/6, 0)
	for _, s := range equalSources(10, 1.1, 1) {
		s.caller = "review-" + s.caller
		s.constantRate = true
		w.sources = append(w.sources, s)
	}
	return w
}

// shiftingWorkload sends the requests of one region, enough for all of its slots,
// to the region's first daemon only, and from peakStart on to the others too.
func shiftingWorkload(seed uint64) workload {
	w := overloadWorkload(seed, 0.6, 0)
	w.sources = equalSources(20, 0.6, 0.5)
	w.duration = 30 * time.Second
	w.loadFactor = func(t time.Duration) float64 {
		if t >= peakStart {
			return 3
		}
		return 1
	}
	w.regionWeights = [regions]float64{1, 0, 0}
	w.firstDaemonOnly = func(t time.Duration) bool { return t < peakStart }
	return w
}
