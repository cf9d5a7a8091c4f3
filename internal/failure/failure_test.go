package failure_test

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var (
	seedCount    = flag.Int("seeds", 1, "number of seeds for each scenario")
	firstSeed    = flag.Int("seed", 1, "first seed")
	allScenarios = flag.Bool("all", false, "also run each fault twice in a row, and pairs of faults together")
)

// TestFaults_Alone injects one fault in each run.
func TestFaults_Alone(t *testing.T) {
	for _, f := range faults {
		runSeeds(t, f.name, f)
	}
}

// TestFaults_Twice injects the same fault twice in a row.
func TestFaults_Twice(t *testing.T) {
	if !*allScenarios {
		t.Skip("run with -all")
	}
	for _, f := range faults[1:] {
		runSeeds(t, f.name+" twice", f, f)
	}
}

// TestFaults_Pairs injects two faults at the same time.
func TestFaults_Pairs(t *testing.T) {
	if !*allScenarios {
		t.Skip("run with -all")
	}
	for _, p := range pairs {
		a, b := findFault(t, p.first), findFault(t, p.second)
		runSeeds(t, p.first+" and "+p.second, fault{
			name:   p.first + " and " + p.second,
			inject: func(sim *simulation) { a.inject(sim); b.inject(sim) },
			clear:  func(sim *simulation) { b.clear(sim); a.clear(sim) },
		})
	}
}

// findFault returns the fault of that name, or fails the test.
func findFault(t testing.TB, name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	t.Fatalf("no fault %q", name)
	return fault{}
}

func runSeeds(t *testing.T, name string, sequence ...fault) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runScenario(t, uint64(seed), sequence) })
		})
	}
}

// runScenario runs a cell under load, injects the faults one after the other,
// and checks the properties after the load has ended and the cell has settled.
func runScenario(t *testing.T, seed uint64, sequence []fault) {
	sim := newSimulation(t, seed)
	defer sim.close()
	sim.start()
	sim.publish(t.Context(), 0)
	time.Sleep(time.Second)

	stopWatcher := make(chan struct{})
	watcherViolations := make(chan []violation, 1)
	go func() { watcherViolations <- sim.watchDocuments(stopWatcher) }()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(len(sequence))*(faultDelay+faultDuration)+faultDelay)
	var loadDone sync.WaitGroup
	loadDone.Go(func() { sim.runLoad(ctx, func() time.Duration { return requestInterval }) })
	loadDone.Go(func() { sim.runOperator(ctx) })
	for _, f := range sequence {
		time.Sleep(faultDelay)
		sim.log.printf("fault begins: %s", f.name)
		sim.setFaultActive(true)
		f.inject(sim)
		time.Sleep(faultDuration)
		sim.log.printf("fault ends: %s", f.name)
		f.clear(sim)
		sim.setFaultActive(false)
	}
	<-ctx.Done()
	cancel()
	loadDone.Wait()
	sim.inFlight.Wait()
	time.Sleep(sim.settleTime)
	sim.probe()
	close(stopWatcher)
	violations := append(sim.violations(), <-watcherViolations...)
	for i := range daemons {
		sim.stop(i)
	}
	sim.report(seed, violations)
}

func (sim *simulation) setFaultActive(active bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faultActive, sim.faultEndedAt = active, time.Now()
}

// probe sends one request of each kind and checks that it runs.
func (sim *simulation) probe() {
	for i, kind := range []string{"lookup", "check", "review"} {
		c := &clientRequest{caller: fmt.Sprintf("probe-%d", i), kind: kind}
		sim.requests = append(sim.requests, c)
		sim.sendWithRetries(c, (faultyDaemon+1)%daemons)
		if len(c.attempts) == 0 || !c.ran() {
			sim.t.Errorf("%s: the probe request of kind %s did not run: attempts %+v", recovery, kind, c.attempts)
		}
	}
}

func (sim *simulation) report(seed uint64, violations []violation) {
	ran := 0
	for _, c := range sim.requests {
		if len(c.attempts) > 0 && c.ran() {
			ran++
		}
	}
	sim.t.Logf("%d requests, %d ran; %d publications, %d jobs", len(sim.requests), ran, len(sim.publications), len(sim.jobs))
	for _, b := range violations {
		sim.t.Errorf("%s: %s", b.property, b.detail)
	}
	if !sim.t.Failed() {
		return
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(sim.t.Name(), ""), "/")
	sim.t.Logf("replay: go test ./internal/failure -run '^%s$/%s' -seed %d -v", name, strings.Join(strings.Split(sim.t.Name(), "/")[1:], "/"), seed)
	sim.t.Logf("trace:\n%s", strings.Join(sim.log.lines, "\n"))
	for _, e := range sim.cell.Workers.Events() {
		sim.t.Logf("%9v %s of %s/%d attempt %d on %s %s", e.At.Sub(sim.startTime).Round(time.Millisecond), e.Kind, e.Task.JobID, e.Task.Index, e.Task.Attempt, e.VM, e.Reason)
	}
}
