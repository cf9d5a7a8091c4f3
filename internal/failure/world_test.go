// Package failure_test runs the daemons' own code in virtual time on a network
// in memory, breaks things, and checks from outside that the promises held.
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

// The smallest cell that shows the faults: two daemons in each of three
// regions, so that one region can be lost and a majority is left.
const (
	daemons  = 6
	workers  = 6
	backends = 6
	slots    = 4
)

// Times of one run.
const (
	warmUp    = 12 * time.Second
	faultAt   = 4 * time.Second
	faultFor  = 9 * time.Second
	loadFor   = 24 * time.Second
	settle    = 25 * time.Second
	stopLimit = 30 * time.Second
	callGap   = 50 * time.Millisecond
	publishTo = 6 * time.Second
	batchTime = 4 * time.Second

	shortTime  = 20 * time.Millisecond
	scanTime   = 90 * time.Millisecond
	reviewTime = 1500 * time.Millisecond

	slowTime = 12 * time.Second
)

// world is one run of one cell.
type world struct {
	t    testing.TB
	rng  *rand.Rand
	cell *cell.Cell
	net  *memnet.Network
	mem  *cell.InMemory
	http *http.Client
	log  *trace

	mu sync.Mutex
	// clockRate is each daemon's clock rate against the true one.
	clockRate map[string]float64
	// hung and failing name backend servers that do nothing or fail.
	hung    map[string]bool
	failing map[string]bool
	// crossed names backend servers that answer with another request's ID.
	crossed map[string]bool
	// broken is set while a fault lasts, mendedAt is when the last one ended.
	broken   bool
	mendedAt time.Time
	stops    []stopWindow
	callers  sync.WaitGroup
	calls    []*call
	// twins are requests sent again, with their keys, while the first attempt
	// is under way.
	twins   []*call
	changes []change
	// turn counts what the operator did.
	turn   int
	pubs   []publication
	jobs   []string
	leaves map[string]time.Time
	began  time.Time
	// unreachable is the worker that loseSlow made so.
	unreachable int
	// settle is how long the work has to end after the load.
	settle time.Duration
}

// stopWindow is a planned stop of one daemon.
type stopWindow struct {
	daemon     int
	begin, end time.Time
}

// trace is a log that a person can read, printed where a run fails.
type trace struct {
	mu    sync.Mutex
	began time.Time
	lines []string
}

func (tr *trace) add(format string, args ...any) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	at := time.Since(tr.began).Round(time.Millisecond)
	tr.lines = append(tr.lines, fmt.Sprintf("%9v %s", at, fmt.Sprintf(format, args...)))
}

// Write takes the daemons' events.
func (tr *trace) Write(p []byte) (int, error) {
	tr.add("%s", strings.TrimRight(string(p), "\n"))
	return len(p), nil
}

func newWorld(t testing.TB, seed uint64) *world {
	now := time.Now()
	w := &world{
		t: t, settle: settle, rng: rand.New(rand.NewPCG(seed, 1)), net: memnet.New(), log: &trace{began: now}, began: now,
		clockRate: make(map[string]float64), hung: make(map[string]bool), failing: make(map[string]bool),
		crossed: make(map[string]bool), leaves: make(map[string]time.Time),
	}
	w.mem = cell.NewInMemory(w.net)
	w.http = &http.Client{Transport: &http.Transport{DialContext: w.mem.Dialer("caller", "outside"), DisableKeepAlives: true}}
	w.setLatency()
	c, err := cell.New(w.options(seed))
	if err != nil {
		t.Fatal(err)
	}
	w.cell = c
	return w
}

var regions = []string{"north", "south", "west"}

func (w *world) setLatency() {
	for i, a := range regions {
		w.net.SetLatencyBetween(a, a, 1500*time.Microsecond)
		w.net.SetLatencyBetween(a, "outside", 3*time.Millisecond)
		for _, b := range regions[i+1:] {
			w.net.SetLatencyBetween(a, b, 12*time.Millisecond)
		}
	}
}

func (w *world) options(seed uint64) cell.Options {
	var places []cell.RegionSpec
	for _, r := range regions {
		places = append(places, cell.RegionSpec{Region: r, FailureDomains: []string{r + "-a"}})
	}
	return cell.Options{
		Network: w.mem, Regions: places,
		Daemons: daemons, Workers: workers, Backends: backends, WorkersPerRack: 2,
		WorkerCapacity: cluster.Resources{CPU: 8000, Memory: 16 << 30},
		Pool:           "pool", Slots: slots, Connections: 48,
		Now: time.Now, Seed: seed, VMListLag: time.Second,
		RequestRunTime: runTime,
		TaskRunTime:    taskTime,
		Events:         w.events,
		DaemonNow:      w.clock,
		BackendFault:   w.backendFault,
	}
}

func runTime(r gateway.Request) time.Duration {
	switch r.Kind {
	case "review":
		return reviewTime
	case "scan":
		return scanTime
	}
	return shortTime
}

func taskTime(r placer.StartRequest) time.Duration {
	switch {
	case r.Labels.Class == "service":
		return 0
	case strings.HasPrefix(r.Task.JobID, "desk/slow/"):
		return slowTime
	}
	return batchTime
}

// clock returns a daemon's own clock, which may run fast or slow.
func (w *world) clock(name string) func() time.Time {
	return func() time.Time {
		w.mu.Lock()
		rate, ok := w.clockRate[name]
		w.mu.Unlock()
		now := time.Now()
		if !ok {
			return now
		}
		return w.began.Add(time.Duration(float64(now.Sub(w.began)) * rate))
	}
}

func (w *world) backendFault(name string, _ gateway.Request) backendstandin.Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.hung[name]:
		return backendstandin.FaultHang
	case w.failing[name]:
		return backendstandin.FaultResetAfter
	case w.crossed[name]:
		return backendstandin.FaultMismatched
	}
	return backendstandin.FaultNone
}

func (w *world) events(string) *events.Logger { return events.NewLogger(newTextLogger(w.log)) }

// start starts all daemons and waits until every share has an owner.
func (w *world) start() {
	var wg sync.WaitGroup
	for i := range daemons {
		wg.Go(func() { w.startDaemon(i) })
	}
	wg.Wait()
	deadline := time.Now().Add(warmUp)
	for !w.owned() {
		if time.Now().After(deadline) {
			w.t.Fatalf("shares have no owner after %v", warmUp)
		}
		time.Sleep(callGap)
	}
	w.log.add("every share has an owner")
}

func (w *world) startDaemon(i int) {
	if err := w.cell.StartDaemon(context.Background(), i); err != nil {
		w.log.add("daemon %d did not start: %v", i, err)
		return
	}
	w.log.add("daemon %d started", i)
}

func (w *world) owned() bool {
	for i := range daemons {
		if d := w.cell.Daemon(i); d != nil && !d.AllSharesOwned() {
			return false
		}
	}
	return true
}

// operator returns a client of all daemons but the first skip.
func (w *world) operator(skip int) *operatorapi.Client {
	all := w.cell.OperatorAddresses()
	skip %= len(all)
	return &operatorapi.Client{
		Addresses: append(all[skip:len(all):len(all)], all[:skip]...), Scheme: "http",
		Credential: "desk/ann:secret", HTTP: w.http,
	}
}

// close ends whatever is left, so that the run leaves nothing behind.
func (w *world) close() {
	w.cell.Close()
	w.net.Close()
	w.http.CloseIdleConnections()
}
