package gateway_test

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	peakBackends          = 50
	peakSlots             = 8
	peakStart             = 8 * time.Second
	peakEnd               = 13 * time.Second
	peakTestDuration      = 16 * time.Second
	peakBaseLoad          = 0.5
	peakFactor            = 3
	peakLongFraction      = 0.2
	peakShortRunTime      = 20 * time.Millisecond
	peakLongRunTime       = 400 * time.Millisecond
	peakStragglerFraction = 0.02
	peakStragglerFactor   = 50
	// peakRerouteDelay is how long the callers' load balancer sends requests to a
	// failed daemon.
	peakRerouteDelay = 500 * time.Millisecond
)

// peakRequest is one request of the measurement and its response.
type peakRequest struct {
	long     bool
	runTime  time.Duration
	at       time.Time
	started  time.Time
	done     time.Time
	response callerResponse
}

type peakVariant struct {
	name                        string
	onlyShort                   bool
	daemonFails, regionIsolated bool
	// uneven gives one region three times the load of each other region instead
	// of the peak.
	uneven bool
}

// TestLoadPeak_WholePath measures latencies and verdicts at a peak of three times
// the load, with 20% long work and 2% stragglers of 50 times the run time:
//
//	go test -run TestLoadPeak_WholePath -v ./internal/gateway -measure
func TestLoadPeak_WholePath(t *testing.T) {
	if !*measure {
		t.Skip("a measurement: run it with -measure")
	}
	t.Logf("%-28s %9s %9s %9s %9s %9s %10s %9s %8s", "variant", "check p50", "check p99", "p99.9", "long p50", "long p99", "answered", "not run", "may have")
	for _, v := range []peakVariant{
		{name: "no long work", onlyShort: true}, {name: "all healthy"},
		{name: "1 of 9 daemons failed", daemonFails: true}, {name: "1 of 3 regions isolated", regionIsolated: true},
		{name: "1 region with 3x, no peak", uneven: true},
	} {
		synctest.Test(t, func(t *testing.T) { measurePeak(t, v) })
	}
}

func measurePeak(t *testing.T, v peakVariant) {
	var mu sync.Mutex
	var all []*peakRequest
	o := rigOptions{daemons: 9, backends: peakBackends, slots: peakSlots}
	o.runTime = func(q gateway.Request) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		i, _ := strconv.Atoi(string(q.Body))
		if all[i].started.IsZero() {
			all[i].started = time.Now()
		}
		return all[i].runTime
	}
	var r *rig
	o.change = func(d *document.Document) { kindOf(d, "review").Deadline = document.Duration(time.Minute) }
	o.wrapFor = func(d cluster.Daemon, b gateway.Backends) gateway.Backends {
		return partitionedBackends{b, d.Location.Region, &r}
	}
	r = newRig(t, o)
	defer r.close()
	waitForBackends()
	start := time.Now()
	random := rand.New(rand.NewPCG(1, 1))
	var calls sync.WaitGroup
	faultStarted := false
	for time.Since(start) < peakTestDuration {
		if !faultStarted && time.Since(start) >= peakStart {
			faultStarted = true
			r.startPeakFault(v, &calls)
		}
		a := drawRequest(random, v)
		mu.Lock()
		all = append(all, a)
		i := len(all) - 1
		mu.Unlock()
		daemon, caller := drawDaemon(random, v), string(rune('a'+random.IntN(20)))
		calls.Go(func() { r.sendPeakRequest(t.Context(), a, i, daemon, caller) })
		rate := baseArrivalRate()
		if since := time.Since(start); since >= peakStart && since < peakEnd && !v.uneven {
			rate *= peakFactor
		}
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	calls.Wait()
	mu.Lock()
	defer mu.Unlock()
	logPeakResult(t, v, all, start)
	r.checkSlots()
}

// baseArrivalRate returns the arrivals a second that use peakBaseLoad of all slots, long
// work and stragglers included.
func baseArrivalRate() float64 {
	mean := (1-peakLongFraction)*peakShortRunTime.Seconds() + peakLongFraction*peakLongRunTime.Seconds()
	mean *= 1 + peakStragglerFraction*(peakStragglerFactor-1)
	return peakBaseLoad * peakBackends * peakSlots / mean
}

// drawDaemon draws the daemon that a request is sent to. Daemons 0, 3 and 6 are in
// region 0.
func drawDaemon(random *rand.Rand, v peakVariant) int {
	if !v.uneven {
		return random.IntN(9)
	}
	return min(max(0, random.IntN(5)-2), 2) + 3*random.IntN(3)
}

func drawRequest(random *rand.Rand, v peakVariant) *peakRequest {
	a := &peakRequest{at: time.Now(), long: random.Float64() < peakLongFraction, runTime: peakShortRunTime}
	if a.long {
		a.runTime = peakLongRunTime
	}
	factor := math.Exp(0.5*random.NormFloat64() - 0.125)
	if random.Float64() < peakStragglerFraction {
		factor *= peakStragglerFactor
	}
	a.runTime = time.Duration(float64(a.runTime) * factor)
	if v.onlyShort && a.long {
		a.runTime = time.Millisecond
	}
	return a
}

func (r *rig) sendPeakRequest(ctx context.Context, a *peakRequest, i, daemon int, caller string) {
	kind := "peek"
	if a.long {
		kind = "review"
	}
	r.mu.Lock()
	failed := r.down[r.daemons[daemon].self.Name]
	r.mu.Unlock()
	if failed {
		time.Sleep(peakRerouteDelay)
		daemon = 1 + daemon%8
	}
	a.response = r.daemons[daemon].send(ctx, kind, strconv.Itoa(i), "Caller", caller)
	a.done = time.Now()
}

func (r *rig) startPeakFault(v peakVariant, calls *sync.WaitGroup) {
	if v.daemonFails {
		r.kill(0)
		calls.Go(func() {
			time.Sleep(costTakeOverAfter)
			r.reassignShares(0)
		})
	}
	if v.regionIsolated {
		r.mu.Lock()
		r.isolatedRegion = region(0)
		r.mu.Unlock()
		calls.Go(func() {
			time.Sleep(peakEnd - peakStart)
			r.mu.Lock()
			r.isolatedRegion = ""
			r.mu.Unlock()
		})
	}
}

// partitionedBackends fails requests to backend servers in a region that cannot be
// reached.
type partitionedBackends struct {
	gateway.Backends
	region string
	rig    **rig
}

func (b partitionedBackends) Send(ctx context.Context, vm cluster.VM, q gateway.Request) (gateway.Response, error) {
	r := *b.rig
	r.mu.Lock()
	unreachable := r.partitioned(b.region, vm.Location.Region)
	r.mu.Unlock()
	if unreachable {
		return gateway.Response{}, verdict.New(verdict.NotRun, gateway.ReasonBackendUnreachable, "cut off")
	}
	if b.region != vm.Location.Region {
		time.Sleep(interRegionLatency)
		defer time.Sleep(interRegionLatency)
	}
	return b.Backends.Send(ctx, vm, q)
}

func logPeakResult(t *testing.T, v peakVariant, all []*peakRequest, start time.Time) {
	var shortWaits, longLatencies []time.Duration
	answered, notRun, mayHaveRun := 0, 0, 0
	for _, a := range all {
		at := a.at.Sub(start)
		if at < peakStart || at >= peakEnd {
			continue
		}
		switch a.response.verdict() {
		case "ran":
			answered++
		case "not_run":
			notRun++
			continue
		default:
			mayHaveRun++
			continue
		}
		if a.long {
			longLatencies = append(longLatencies, a.done.Sub(a.at))
		} else {
			shortWaits = append(shortWaits, a.started.Sub(a.at))
		}
	}
	q := func(d []time.Duration, part float64) time.Duration {
		if len(d) == 0 {
			return 0
		}
		slices.Sort(d)
		return d[int(part*float64(len(d)-1))].Round(100 * time.Microsecond)
	}
	t.Logf("%-28s %9v %9v %9v %9v %9v %10d %9d %8d", v.name, q(shortWaits, 0.5), q(shortWaits, 0.99), q(shortWaits, 0.999), q(longLatencies, 0.5), q(longLatencies, 0.99), answered, notRun, mayHaveRun)
}
