package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	// exploredCap is more than one server of the tenureWorld has, and less than both.
	exploredCap     = 40_000
	exploredMaxTask = 9000
	capSeeds        = 1500
	capEvents       = 50
)

// capExplorer plays the work of one tenant with a cap in a tenureWorld.
type capExplorer struct {
	*tenureWorld
	// need is the CPU of each task of a submission, and open the accepted submissions.
	need  map[string]int64
	open  []string
	count int
	// starts counts the runs that have begun, and beside those while two owners ran.
	starts, beside int
}

// playCapSeed plays random sequences of lost, cut off and replaced owners, of servers that do
// not answer, and of submissions, ends and cancellations of a tenant's work.
func playCapSeed(t *testing.T, seed uint64, faults tenantFaults) *capExplorer {
	w := &capExplorer{tenureWorld: newTenureWorld(t, seed, seed%2 == 1, tenureFaults{}), need: make(map[string]int64)}
	config := *w.harness.config
	config.Version++
	config.Tenancy = tenantsOf(routing.Tenant{Name: "a", Weight: 1000, Cap: cpuCap(exploredCap)})
	w.harness.config = &config
	w.do(w.owners[0], func(c *Core) { c.Configure(&config) })
	w.do(w.owners[0], func(c *Core) { c.Cancel(id1, func(Reply) {}) })
	w.run(10 * tenureStep)
	w.begun = w.check
	// New work may start before the leases of earlier owners are over, which the rule of the
	// other explorations forbids: they have no new work.
	w.restarts = true
	w.slow = []time.Duration{0, 300 * time.Millisecond, tenureLease}[w.rng.IntN(3)]
	w.lossy = w.rng.IntN(2) == 0
	events := allTenureEvents()
	if w.rng.IntN(2) == 0 {
		events = append(events, serverRestarts(0), serverRestarts(1), serverRestarts(0), serverRestarts(1))
	}
	for range capEvents {
		for _, o := range w.owners {
			o.core.tenants.faults = faults
		}
		switch w.rng.IntN(5) {
		case 0, 1:
			w.submitAny()
		case 2:
			w.endAny()
		case 3:
			w.cancelAny()
		default:
			w.apply(events[w.rng.IntN(len(events))])
		}
		for range 1 + w.rng.IntN(8) {
			if w.rng.IntN(3) == 0 {
				w.endAny()
			}
			w.run(tenureStep)
		}
	}
	w.run(settleTime)
	return w
}

// owner returns a random owner that runs, or nil.
func (w *capExplorer) owner() *tenureOwner {
	var running []*tenureOwner
	for _, o := range w.owners {
		if o.running && !w.daemons[o.daemon].paused {
			running = append(running, o)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return running[w.rng.IntN(len(running))]
}

func (w *capExplorer) submitAny() {
	o := w.owner()
	if o == nil {
		return
	}
	w.count++
	id := fmt.Sprintf("%016x", 0x1000+w.count)
	need := 1000 + w.rng.Int64N(exploredMaxTask-1000)
	step := stepOf(1+w.rng.IntN(8), need)
	step.Gang = w.rng.IntN(4) == 0 && int64(step.Count)*need <= exploredCap
	sub := &workload.Submission{ID: id, Queue: testQueue, Service: testService, Spec: "x", Tenant: "a", Steps: []workload.Step{step}, Accepted: w.wall()}
	w.need[id] = need
	w.open = append(w.open, id)
	w.note("%s: %d tasks of %d, gang %t, sent to owner %d", id, step.Count, need, step.Gang, o.epoch)
	w.do(o, func(c *Core) { c.Submit(sub, 0, func(Reply) {}) })
}

func (w *capExplorer) endAny() {
	v := w.servers[w.rng.IntN(len(w.servers))]
	for key := range v.runs {
		kind := workload.EndDone
		if w.rng.IntN(6) == 0 {
			kind = workload.EndFailed
		}
		w.note("run %d of %v ends on %s", key.run, key.task, v.info.ID)
		w.endRun(v, key, kind)
		return
	}
}

func (w *capExplorer) cancelAny() {
	if o := w.owner(); o != nil && len(w.open) > 0 {
		id := w.open[w.rng.IntN(len(w.open))]
		w.note("%s is cancelled at owner %d", id, o.epoch)
		w.do(o, func(c *Core) { c.Cancel(id, func(Reply) {}) })
	}
}

// check reports a run that begins although the tenant has its cap and one task running.
func (w *capExplorer) check(o *tenureOwner, v *tenureServer, order Order) {
	w.starts++
	total := int64(0)
	for _, s := range w.servers {
		for key := range s.runs {
			if w.clock(s) <= s.leaseUntil {
				total += w.need[key.task.Submission]
			}
		}
	}
	running := 0
	for _, other := range w.owners {
		if other.running {
			running++
		}
	}
	if running > 1 {
		w.beside++
	}
	if total >= exploredCap+exploredMaxTask {
		w.violate("owner %d starts %v on %s: %d millicores run under a cap of %d", o.epoch, order.Task, v.info.ID, total, exploredCap)
	}
}

// Guards against starts above a cap in the code that sends them, and not only in the count:
// owners that go on after they were replaced, servers that a new owner does not reach,
// starts without an answer, runs that are being stopped.
func TestTenantExplore_CapHoldsAcrossOwners(t *testing.T) {
	seeds := capSeeds
	if testing.Short() {
		seeds = shortSeeds
	}
	starts, beside := 0, 0
	for seed := range uint64(seeds) {
		w := playCapSeed(t, seed, tenantFaults{})
		if w.breach != "" {
			t.Fatalf("seed %d:\n  %s", seed, strings.Join(w.trace, "\n  "))
		}
		starts, beside = starts+w.starts, beside+w.beside
	}
	t.Logf("%d seeds, %d starts, %d of them while two owners ran", seeds, starts, beside)
	if starts < 5*seeds || beside == 0 {
		t.Errorf("%d starts, %d of them beside another owner, in %d seeds show too little", starts, beside, seeds)
	}
}

// Guards against an exploration that would not notice a count that is too low.
func TestTenantExplore_DetectsFaults(t *testing.T) {
	for name, faults := range map[string]tenantFaults{
		"servers that have not listed their runs count for nothing": {onlySeen: true},
		"runs that are being stopped count for nothing":             {forgetStops: true},
	} {
		found := false
		for seed := uint64(0); seed < capSeeds && !found; seed++ {
			w := playCapSeed(t, seed, faults)
			if found = w.breach != ""; found {
				t.Logf("%s: seed %d: %s", name, seed, w.breach)
			}
		}
		if !found {
			t.Errorf("%s: no breach found", name)
		}
	}
}
