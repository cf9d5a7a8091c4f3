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
	crestBackends  = 50
	crestSlots     = 8
	crestFrom      = 8 * time.Second
	crestUntil     = 13 * time.Second
	crestEnds      = 16 * time.Second
	crestBase      = 0.5
	crestFactor    = 3
	crestLong      = 0.2
	crestCheck     = 20 * time.Millisecond
	crestReview    = 400 * time.Millisecond
	crestStraggler = 0.02
	crestStraggles = 50
	// crestRerouted is how long the balancer sends callers to a dead daemon.
	crestRerouted = 500 * time.Millisecond
)

// asked is one request of the crest and what became of it.
type asked struct {
	long    bool
	runTime time.Duration
	at      time.Time
	started time.Time
	done    time.Time
	reply   reply
}

type crestVariant struct {
	name      string
	onlyShort bool
	dead, cut bool
	// uneven gives one region three times the load of each other in place of
	// the crest.
	uneven bool
}

// TestCrest_WholePath measures the daemons' own code at a crest of three times
// the load, with 20% long work and 2% stragglers of 50 times the run time:
//
//	go test -run TestCrest_WholePath -v ./internal/gateway -measure
func TestCrest_WholePath(t *testing.T) {
	if !*measure {
		t.Skip("a measurement: run it with -measure")
	}
	t.Logf("%-28s %9s %9s %9s %9s %9s %10s %9s %8s", "variant", "check p50", "check p99", "p99.9", "long p50", "long p99", "answered", "not run", "may have")
	for _, v := range []crestVariant{
		{name: "no long work", onlyShort: true}, {name: "all healthy"},
		{name: "1 of 9 daemons dead", dead: true}, {name: "1 of 3 regions cut off", cut: true},
		{name: "1 region with 3x, no crest", uneven: true},
	} {
		synctest.Test(t, func(t *testing.T) { crest(t, v) })
	}
}

func crest(t *testing.T, v crestVariant) {
	var mu sync.Mutex
	var all []*asked
	o := rigOptions{daemons: 9, backends: crestBackends, slots: crestSlots}
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
		return cutBackends{b, d.Location.Region, &r}
	}
	r = newRig(t, o)
	defer r.close()
	settle()
	start := time.Now()
	random := rand.New(rand.NewPCG(1, 1))
	var calls sync.WaitGroup
	faulted := false
	for time.Since(start) < crestEnds {
		if !faulted && time.Since(start) >= crestFrom {
			faulted = true
			r.crestFault(v, &calls)
		}
		a := drawAsked(random, v)
		mu.Lock()
		all = append(all, a)
		i := len(all) - 1
		mu.Unlock()
		daemon, caller := drawDaemon(random, v), string(rune('a'+random.IntN(20)))
		calls.Go(func() { r.askCrest(t.Context(), a, i, daemon, caller) })
		rate := crestRate()
		if since := time.Since(start); since >= crestFrom && since < crestUntil && !v.uneven {
			rate *= crestFactor
		}
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	calls.Wait()
	mu.Lock()
	defer mu.Unlock()
	report(t, v, all, start)
	r.checkSlots()
}

// crestRate is the arrivals a second that use crestBase of all slots, long
// work and stragglers included.
func crestRate() float64 {
	mean := (1-crestLong)*crestCheck.Seconds() + crestLong*crestReview.Seconds()
	mean *= 1 + crestStraggler*(crestStraggles-1)
	return crestBase * crestBackends * crestSlots / mean
}

// drawDaemon draws the daemon that a request comes to. Those of region 0 are 0,
// 3 and 6.
func drawDaemon(random *rand.Rand, v crestVariant) int {
	if !v.uneven {
		return random.IntN(9)
	}
	return min(max(0, random.IntN(5)-2), 2) + 3*random.IntN(3)
}

func drawAsked(random *rand.Rand, v crestVariant) *asked {
	a := &asked{at: time.Now(), long: random.Float64() < crestLong, runTime: crestCheck}
	if a.long {
		a.runTime = crestReview
	}
	factor := math.Exp(0.5*random.NormFloat64() - 0.125)
	if random.Float64() < crestStraggler {
		factor *= crestStraggles
	}
	a.runTime = time.Duration(float64(a.runTime) * factor)
	if v.onlyShort && a.long {
		a.runTime = time.Millisecond
	}
	return a
}

func (r *rig) askCrest(ctx context.Context, a *asked, i, daemon int, caller string) {
	kind := "peek"
	if a.long {
		kind = "review"
	}
	r.mu.Lock()
	dead := r.down[r.daemons[daemon].self.Name]
	r.mu.Unlock()
	if dead {
		time.Sleep(crestRerouted)
		daemon = 1 + daemon%8
	}
	a.reply = r.daemons[daemon].ask(ctx, kind, strconv.Itoa(i), "Caller", caller)
	a.done = time.Now()
}

func (r *rig) crestFault(v crestVariant, calls *sync.WaitGroup) {
	if v.dead {
		r.kill(0)
		calls.Go(func() {
			time.Sleep(costTakeOver)
			r.takeOver(0)
		})
	}
	if v.cut {
		r.mu.Lock()
		r.cutRegion = region(0)
		r.mu.Unlock()
		calls.Go(func() {
			time.Sleep(crestUntil - crestFrom)
			r.mu.Lock()
			r.cutRegion = ""
			r.mu.Unlock()
		})
	}
}

// cutBackends refuses to reach a backend server across a cut.
type cutBackends struct {
	gateway.Backends
	region string
	rig    **rig
}

func (b cutBackends) Send(ctx context.Context, vm cluster.VM, q gateway.Request) (gateway.Response, error) {
	r := *b.rig
	r.mu.Lock()
	cut := r.cutBetween(b.region, vm.Location.Region)
	r.mu.Unlock()
	if cut {
		return gateway.Response{}, verdict.New(verdict.NotRun, gateway.ReasonBackendUnreachable, "cut off")
	}
	if b.region != vm.Location.Region {
		time.Sleep(oneWay)
		defer time.Sleep(oneWay)
	}
	return b.Backends.Send(ctx, vm, q)
}

func report(t *testing.T, v crestVariant, all []*asked, start time.Time) {
	var waits, long []time.Duration
	answered, not, may := 0, 0, 0
	for _, a := range all {
		at := a.at.Sub(start)
		if at < crestFrom || at >= crestUntil {
			continue
		}
		switch a.reply.verdict() {
		case "ran":
			answered++
		case "not_run":
			not++
			continue
		default:
			may++
			continue
		}
		if a.long {
			long = append(long, a.done.Sub(a.at))
		} else {
			waits = append(waits, a.started.Sub(a.at))
		}
	}
	q := func(d []time.Duration, part float64) time.Duration {
		if len(d) == 0 {
			return 0
		}
		slices.Sort(d)
		return d[int(part*float64(len(d)-1))].Round(100 * time.Microsecond)
	}
	t.Logf("%-28s %9v %9v %9v %9v %9v %10d %9d %8d", v.name, q(waits, 0.5), q(waits, 0.99), q(waits, 0.999), q(long, 0.5), q(long, 0.99), answered, not, may)
}
