// Package failure_test injects faults into a cell of daemons that run in virtual
// time on an in-memory network, and checks safety and liveness properties from
// what callers, operators, workers and backend servers observe.
package failure_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/standin/backendstandin"
	"github.com/currantwinch/currantwinch/internal/standin/cell"
	"github.com/currantwinch/currantwinch/internal/standin/memnet"
)

// Size of the cell: two daemons in each of three regions, so that a majority
// remains when one region is lost.
const (
	daemons  = 6
	workers  = 6
	backends = 6
	slots    = 4
)

// Durations of one run.
const (
	startupTimeout  = 12 * time.Second
	faultDelay      = 4 * time.Second
	faultDuration   = 9 * time.Second
	loadDuration    = 24 * time.Second
	settleTime      = 25 * time.Second
	stopTimeout     = 30 * time.Second
	requestInterval = 50 * time.Millisecond
	publishDeadline = 6 * time.Second
	batchRunTime    = 4 * time.Second

	shortRunTime  = 20 * time.Millisecond
	scanRunTime   = 90 * time.Millisecond
	reviewRunTime = 1500 * time.Millisecond

	longRunTime = 12 * time.Second
)

// simulation is one run of a cell with its load and injected faults.
type simulation struct {
	t      testing.TB
	rng    *rand.Rand
	cell   *cell.Cell
	net    *memnet.Network
	memory *cell.InMemory
	http   *http.Client
	log    *trace

	mu sync.Mutex
	// clockRate is the rate of a daemon's clock relative to true time, by VM name.
	clockRate map[string]float64
	// hung names backend servers that never respond, failing those that reset
	// the connection after running the request.
	hung    map[string]bool
	failing map[string]bool
	// mismatching names backend servers that respond with another request's ID.
	mismatching map[string]bool
	// faultActive is set while a fault is injected; faultEndedAt is when it was
	// last set or cleared.
	faultActive  bool
	faultEndedAt time.Time
	stops        []stopWindow
	inFlight     sync.WaitGroup
	requests     []*clientRequest
	// duplicates are requests sent concurrently with the first attempt under the
	// same idempotency key.
	duplicates  []*clientRequest
	documentOps []documentOp
	// operatorTurn counts the iterations of runOperator.
	operatorTurn int
	publications []publication
	jobs         []string
	leavingSince map[string]time.Time
	startTime    time.Time
	// unreachableWorker is the index of the worker that isolateLongTaskWorker
	// made unreachable.
	unreachableWorker int
	// settleTime is the time that tasks have to end after the load stops.
	settleTime time.Duration
}

// stopWindow is the time of a graceful stop of one daemon.
type stopWindow struct {
	daemon     int
	start, end time.Time
}

// trace collects the daemons' events and the injected faults. It is printed when
// a run fails.
type trace struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func (tr *trace) printf(format string, args ...any) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	at := time.Since(tr.start).Round(time.Millisecond)
	tr.lines = append(tr.lines, fmt.Sprintf("%9v %s", at, fmt.Sprintf(format, args...)))
}

// Write adds an event of a daemon.
func (tr *trace) Write(p []byte) (int, error) {
	tr.printf("%s", strings.TrimRight(string(p), "\n"))
	return len(p), nil
}

func newSimulation(t testing.TB, seed uint64) *simulation {
	now := time.Now()
	sim := &simulation{
		t: t, settleTime: settleTime, rng: rand.New(rand.NewPCG(seed, 1)), net: memnet.New(), log: &trace{start: now}, startTime: now,
		clockRate: make(map[string]float64), hung: make(map[string]bool), failing: make(map[string]bool),
		mismatching: make(map[string]bool), leavingSince: make(map[string]time.Time),
	}
	sim.memory = cell.NewInMemory(sim.net)
	sim.http = &http.Client{Transport: &http.Transport{DialContext: sim.memory.Dialer("caller", "outside"), DisableKeepAlives: true}}
	sim.setLatency()
	c, err := cell.New(sim.options(seed))
	if err != nil {
		t.Fatal(err)
	}
	sim.cell = c
	return sim
}

var regions = []string{"north", "south", "west"}

func (sim *simulation) setLatency() {
	for i, a := range regions {
		sim.net.SetLatencyBetween(a, a, 1500*time.Microsecond)
		sim.net.SetLatencyBetween(a, "outside", 3*time.Millisecond)
		for _, b := range regions[i+1:] {
			sim.net.SetLatencyBetween(a, b, 12*time.Millisecond)
		}
	}
}

func (sim *simulation) options(seed uint64) cell.Options {
	var places []cell.RegionSpec
	for _, r := range regions {
		places = append(places, cell.RegionSpec{Region: r, FailureDomains: []string{r + "-a"}})
	}
	return cell.Options{
		Network: sim.memory, Regions: places,
		Daemons: daemons, Workers: workers, Backends: backends, WorkersPerRack: 2,
		WorkerCapacity: cluster.Resources{CPU: 8000, Memory: 16 << 30},
		Pool:           "pool", Slots: slots, Connections: 48,
		Now: time.Now, Seed: seed, VMListLag: time.Second,
		RequestRunTime: requestRunTime,
		TaskRunTime:    taskRunTime,
		Events:         sim.events,
		DaemonNow:      sim.clock,
		BackendFault:   sim.backendFault,
	}
}

func requestRunTime(r gateway.Request) time.Duration {
	switch r.Kind {
	case "review":
		return reviewRunTime
	case "scan":
		return scanRunTime
	}
	return shortRunTime
}

func taskRunTime(r placer.StartRequest) time.Duration {
	switch {
	case r.Labels.Class == "service":
		return 0
	case strings.HasPrefix(r.Task.JobID, "desk/slow/"):
		return longRunTime
	}
	return batchRunTime
}

// clock returns a daemon's clock, which runs at the rate that setClock gave it.
func (sim *simulation) clock(name string) func() time.Time {
	return func() time.Time {
		sim.mu.Lock()
		rate, ok := sim.clockRate[name]
		sim.mu.Unlock()
		now := time.Now()
		if !ok {
			return now
		}
		return sim.startTime.Add(time.Duration(float64(now.Sub(sim.startTime)) * rate))
	}
}

func (sim *simulation) backendFault(name string, _ gateway.Request) backendstandin.Fault {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	switch {
	case sim.hung[name]:
		return backendstandin.FaultHang
	case sim.failing[name]:
		return backendstandin.FaultResetAfter
	case sim.mismatching[name]:
		return backendstandin.FaultMismatched
	}
	return backendstandin.FaultNone
}

func (sim *simulation) events(string) *events.Logger { return events.NewLogger(newTextLogger(sim.log)) }

// start starts all daemons and waits until every share has an owner, for at most
// startupTimeout.
func (sim *simulation) start() {
	var wg sync.WaitGroup
	for i := range daemons {
		wg.Go(func() { sim.startDaemon(i) })
	}
	wg.Wait()
	deadline := time.Now().Add(startupTimeout)
	for !sim.allSharesOwned() {
		if time.Now().After(deadline) {
			sim.t.Fatalf("not every share has an owner after %v", startupTimeout)
		}
		time.Sleep(requestInterval)
	}
	sim.log.printf("every share has an owner")
}

func (sim *simulation) startDaemon(i int) {
	if err := sim.cell.StartDaemon(context.Background(), i); err != nil {
		sim.log.printf("daemon %d did not start: %v", i, err)
		return
	}
	sim.log.printf("daemon %d started", i)
}

func (sim *simulation) allSharesOwned() bool {
	for i := range daemons {
		if d := sim.cell.Daemon(i); d != nil && !d.AllSharesOwned() {
			return false
		}
	}
	return true
}

// operator returns an operator client that tries all daemons, beginning with
// the daemon of index skip.
func (sim *simulation) operator(skip int) *operatorapi.Client {
	all := sim.cell.OperatorAddresses()
	skip %= len(all)
	return &operatorapi.Client{
		Addresses: append(all[skip:len(all):len(all)], all[:skip]...), Scheme: "http",
		Credential: "desk/ann:secret", HTTP: sim.http,
	}
}

// close stops the daemons and closes all connections, since synctest.Test waits
// for every goroutine to exit.
func (sim *simulation) close() {
	sim.cell.Close()
	sim.net.Close()
	sim.http.CloseIdleConnections()
}
