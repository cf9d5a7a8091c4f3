package failure_test

import (
	"context"
	"flag"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var soakDuration = flag.Duration("soak", 0, "how long to inject a fault every few seconds (0 skips the test)")

// boundedUsage is the property that faults leak no resources.
const boundedUsage = "resource usage returns to its level from before the faults"

const (
	soakWarmUp        = 10 * time.Second
	soakFaultDuration = 2 * time.Second
	soakFaultInterval = 2 * time.Second
	soakSettleTime    = 45 * time.Second
	// heapLimit is the target for the heap of one daemon, in bytes.
	heapLimit = 32 << 20
	// growthTolerance is the fraction by which counts may grow between two
	// measurements without load, since the numbers of polls in progress and of
	// idle connections vary.
	growthTolerance = 0.1
)

// soakFaults are injected in this order, repeatedly.
var soakFaults = []string{
	"daemon crash", "region link cut both ways", "log down", "worker reboots", "backend server hangs",
	"daemon restart", "worker unreachable", "log responses lost", "daemon paused for longer than its lease",
	"VM list hides a daemon", "backend server loses responses", "daemon cut off from daemons and log",
	"operators race", "rack unreachable",
}

// resourceUsage is what a cell uses at one time.
type resourceUsage struct {
	goroutines  int
	connections int
	daemons     int
	openJobs    int
	heapBytes   uint64
}

// TestSoak injects a fault every few seconds and compares the cell's resource
// usage without load before and after, to find goroutines, connections, daemon
// records, jobs and memory that faults leak.
func TestSoak(t *testing.T) {
	if *soakDuration == 0 {
		t.Skip("run with -soak 2m")
	}
	synctest.Test(t, func(t *testing.T) { runSoak(t, uint64(*firstSeed)) })
}

func runSoak(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed)
	defer sim.close()
	sim.start()
	sim.publish(t.Context(), 0)
	sim.runLoadAndSettle(soakWarmUp, func(context.Context) {})
	before := sim.usage()
	sim.runLoadAndSettle(*soakDuration, sim.injectFaults)
	sim.probe()
	after := sim.usage()
	t.Logf("before %+v, after %+v", before, after)
	violations := append(sim.violations(), growthViolations(before, after)...)
	for i := range daemons {
		sim.stop(i)
	}
	sim.report(seed, violations)
}

// runLoadAndSettle runs the load and action for d, and then waits until the cell
// has settled.
func (sim *simulation) runLoadAndSettle(d time.Duration, action func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var load sync.WaitGroup
	load.Go(func() { sim.runLoad(ctx, func() time.Duration { return requestInterval }) })
	load.Go(func() { sim.runOperator(ctx) })
	action(ctx)
	load.Wait()
	sim.inFlight.Wait()
	time.Sleep(soakSettleTime)
}

// injectFaults injects the soakFaults one after the other until ctx ends.
func (sim *simulation) injectFaults(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		f := findFault(sim.t, soakFaults[i%len(soakFaults)])
		sim.log.printf("fault begins: %s", f.name)
		f.inject(sim)
		time.Sleep(soakFaultDuration)
		f.clear(sim)
		sim.startStoppedDaemons()
		sim.log.printf("fault ends: %s", f.name)
		time.Sleep(soakFaultInterval)
	}
}

func (sim *simulation) usage() resourceUsage {
	sim.http.CloseIdleConnections()
	synctest.Wait()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	s := resourceUsage{goroutines: runtime.NumGoroutine(), connections: sim.net.OpenConnections(), heapBytes: memory.HeapAlloc}
	view := sim.anyView()
	if view == nil {
		return s
	}
	s.daemons = len(view.Daemons())
	for _, id := range sim.jobs {
		if job, ok := view.Job(id); ok && job.Done == nil {
			s.openJobs++
		}
	}
	return s
}

func growthViolations(before, after resourceUsage) []violation {
	var out []violation
	check := func(resource string, a, b int) {
		if float64(b) > float64(a)*(1+growthTolerance) {
			out = append(out, violation{boundedUsage, resource})
		}
	}
	check("goroutines", before.goroutines, after.goroutines)
	check("connections", before.connections, after.connections)
	check("daemons", before.daemons, after.daemons)
	check("open jobs", before.openJobs, after.openJobs)
	if after.heapBytes > daemons*heapLimit {
		out = append(out, violation{boundedUsage, "heap"})
	}
	return out
}
