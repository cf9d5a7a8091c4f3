package scheduler

import (
	"cmp"
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// peakKind is one of three kinds of work: long gangs, wide middle work, narrow short work.
type peakKind struct {
	name             string
	perSecond        float64
	steps            float64
	tasks            int
	run              time.Duration
	cpu              int64
	gangs            float64
	target           time.Duration
	priority         int
	decision, server time.Duration
	allowed          float64
}

var peakKinds = []peakKind{
	{"long", 3.24, 1.2, 20, 5 * time.Second, 18000, 0.3, 1200 * time.Millisecond, 1, 430 * time.Millisecond, 6200 * time.Microsecond, 0.35},
	{"middle", 9.3, 1.5, 25, 3400 * time.Millisecond, 6900, 0, 3 * time.Second, 2, 120 * time.Millisecond, 1800 * time.Microsecond, 0.45},
	{"short", 74.9, 1, 3, 800 * time.Millisecond, 9900, 0.33, 400 * time.Millisecond, 0, 9 * time.Millisecond, 130 * time.Microsecond, 0.7},
}

const (
	peakServers = 350
	peakClients = 28
	// peakWindow is the number of orders in flight that the owner's link allows.
	peakWindow = 166
	// peakTrip is the time from an order to its answer.
	peakTrip = 5 * time.Millisecond
)

// peakCosts are the processor times that a peakWorld charges, on an owner with 0.3 of a
// core.
type peakCosts struct{ event, pass, step, server, placed time.Duration }

var smallOwnerCosts = peakCosts{
	event: 40 * time.Microsecond, pass: 60 * time.Microsecond, step: 2 * time.Microsecond, server: 200 * time.Nanosecond, placed: 100 * time.Microsecond,
}

// peakWorld drives a Core through the load of the three kinds in virtual time, without
// a network: policy answers, run ends and gangs, and the Engine's order of events and passes.
type peakWorld struct {
	h        *harness
	rng      *rand.Rand
	costs    peakCosts
	pacer    *pacer
	due      peakEvents
	sequence int
	// clients holds until when each policy client is busy.
	clients     [peakClients]time.Time
	inFlight    int
	submissions int
	lastTick    time.Time
	speeds      map[string]float64
	ends        map[string]uint64
	began       time.Time
	placed      int
	// lastPlaced is when a task was placed last, and longestGap the longest time without
	// a placement while tasks were waiting and idle held. Both are counted from gapsFrom.
	lastPlaced, gapsFrom time.Time
	longestGap           time.Duration
	// tenants is set if submissions have tenants.
	tenants bool
	// closed keeps the number of open submissions constant.
	closed bool
	kindOf map[string]peakKind
	// begun holds the submissions with a first start, and waits, by kind, the time to it.
	begun map[string]bool
	waits map[string][]time.Duration
	// longestPass is the longest time that one pass took.
	longestPass time.Duration
}

type peakEvent struct {
	at       time.Time
	sequence int
	do       func(c *Core)
}

type peakEvents []peakEvent

func (q peakEvents) Len() int { return len(q) }
func (q peakEvents) Less(i, k int) bool {
	return cmp.Or(q[i].at.Compare(q[k].at), cmp.Compare(q[i].sequence, q[k].sequence)) < 0
}
func (q peakEvents) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Push implements heap.Interface.
func (q *peakEvents) Push(x any) { *q = append(*q, x.(peakEvent)) }

// Pop implements heap.Interface.
func (q *peakEvents) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = peakEvent{}
	*q = (*q)[:last]
	return e
}

func newPeakWorld(t *testing.T, costs peakCosts) *peakWorld {
	h := newHarness(t, 0)
	speeds := make(map[string]float64)
	for i := range peakServers {
		id := fmt.Sprintf("s%03d", i)
		h.servers = append(h.servers, ServerInfo{
			ID: id, Service: testService, Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200),
			Capacity: workload.Resources{CPU: 64000, MemoryMB: 128000}, Labels: []string{"k", fmt.Sprintf("r%d", i/12)}, StartedAtMS: 1000,
		})
		speeds[id] = []float64{0.8, 1, 1.25}[i%3]
	}
	h.config.Queues = nil
	for _, k := range peakKinds {
		h.config.Queues = append(h.config.Queues, routing.Queue{
			Name: k.name, Service: testService, MaxFailedRuns: 3, Stretch: 1.5, TargetLatency: k.target, Priority: k.priority,
			Policy: &workload.PolicyTiming{DecisionTime: k.decision, TimePerServer: k.server, PermissionValidity: 2500 * time.Millisecond},
		})
	}
	h.do(func(c *Core) { c.Configure(h.config); c.SetServers(h.servers) })
	h.answerAllPolls()
	w := &peakWorld{
		h: h, rng: rand.New(rand.NewPCG(1, 2)), costs: costs, speeds: speeds, ends: make(map[string]uint64), began: h.now, lastTick: h.now,
		lastPlaced: h.now, kindOf: make(map[string]peakKind),
		begun: make(map[string]bool), waits: make(map[string][]time.Duration),
	}
	w.pacer = newPacer(func() time.Time { return w.h.now })
	h.core.SetPolicyClientCount(peakClients)
	return w
}

func (w *peakWorld) at(at time.Time, do func(c *Core)) {
	w.sequence++
	heap.Push(&w.due, peakEvent{at, w.sequence, do})
}

func (w *peakWorld) elapsed() time.Duration { return w.h.now.Sub(w.began) }

// around returns a random duration within a third of d.
func (w *peakWorld) around(d time.Duration) time.Duration {
	return time.Duration((0.67 + 0.66*w.rng.Float64()) * float64(d))
}

// submit adds a stored submission of a kind, past admission.
func (w *peakWorld) submit(c *Core, k peakKind) {
	w.submissions++
	steps := make([]workload.Step, int(k.steps+w.rng.Float64()))
	gang := w.rng.Float64() < k.gangs
	for i := range steps {
		cpu := int64(w.around(time.Duration(k.cpu)))
		steps[i] = workload.Step{Count: k.tasks, Need: workload.Resources{CPU: cpu, MemoryMB: cpu / 10}, Estimate: w.around(k.run), Gang: gang && i == 0}
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	id := fmt.Sprintf("%016x", w.submissions+4096)
	sub := &workload.Submission{ID: id, Queue: k.name, Service: testService, Spec: "x", Steps: steps, Accepted: w.h.wall}
	if w.tenants {
		sub.Tenant = w.drawTenant()
	}
	w.kindOf[id] = k
	j := newJob(sub, c.now)
	j.stored = true
	c.assignQueue(j)
	c.jobs[sub.ID] = j
	c.admit(j)
}

// peakTenants is the number of tenants. The first three send 0.3, 0.15 and 0.1 of the work, the
// others the same part of the rest each.
const peakTenants = 20

// addTenants gives the submissions to come tenants, whose caps are 0.2 of the CPU each.
func (w *peakWorld) addTenants() {
	w.tenants = true
	var all []routing.Tenant
	for i := range peakTenants {
		all = append(all, routing.Tenant{Name: fmt.Sprintf("t%02d", i), Weight: 4, Cap: cpuCap(peakServers * 64000 / 5)})
	}
	w.h.setTenants(all...)
}

func (w *peakWorld) drawTenant() string {
	x := w.rng.Float64()
	for i, part := range []float64{0.3, 0.15, 0.1} {
		if x -= part; x < 0 {
			return fmt.Sprintf("t%02d", i)
		}
	}
	return fmt.Sprintf("t%02d", 3+w.rng.IntN(peakTenants-3))
}

// fill queues n submissions, of each kind in proportion to its rate.
func (w *peakWorld) fill(n int) {
	total := 0.0
	for _, k := range peakKinds {
		total += k.perSecond
	}
	w.h.core.SetTime(w.h.now, w.h.wall)
	for range n {
		w.submit(w.h.core, w.draw(total))
	}
}

func (w *peakWorld) draw(total float64) peakKind {
	x := w.rng.Float64() * total
	for _, k := range peakKinds {
		if x -= k.perSecond; x < 0 {
			return k
		}
	}
	return peakKinds[len(peakKinds)-1]
}

// arrive submits work of a kind at the rate that factor sets.
func (w *peakWorld) arrive(k peakKind, factor func(elapsed time.Duration) float64) {
	wait := w.rng.ExpFloat64() / (k.perSecond * factor(w.elapsed()))
	w.at(w.h.now.Add(time.Duration(wait*float64(time.Second))), func(c *Core) {
		w.submit(c, k)
		w.arrive(k, factor)
	})
}

// peakAllows is the policy service's decision, which holds for the life of a step.
func peakAllows(step string, server string, share float64) bool {
	f := fnv.New32a()
	_, _ = f.Write([]byte(step + "/" + server))
	return float64(f.Sum32()%1000) < share*1000
}

// authorize answers a request once the client that is free first has decided.
func (w *peakWorld) authorize(a RequestAuthorization) {
	k := w.kindOf[a.Step.Submission]
	first := 0
	for i := range w.clients {
		if w.clients[i].Before(w.clients[first]) {
			first = i
		}
	}
	done := latest(w.clients[first], w.h.now).Add(a.Cost)
	w.clients[first] = done
	var tickets []Ticket
	for _, s := range a.Servers {
		if peakAllows(a.Step.StepName(), s, k.allowed) {
			tickets = append(tickets, Ticket{s, "t"})
		}
	}
	w.at(done.Add(peakTrip), func(c *Core) { c.AuthorizationCompleted(a.Step, a.Servers, tickets, 2500*time.Millisecond, nil) })
}

// start lets a server carry out a start: the run ends after its time.
func (w *peakWorld) start(a StartTask) {
	k := w.kindOf[a.Order.Task.Submission]
	if j := w.h.core.jobs[a.Order.Task.Submission]; j != nil && !w.begun[j.sub.ID] {
		w.begun[j.sub.ID] = true
		w.waits[k.name] = append(w.waits[k.name], w.h.now.Sub(j.accepted))
	}
	w.placed++
	w.inFlight++
	w.at(w.h.now.Add(peakTrip), func(c *Core) {
		w.inFlight--
		c.StartCompleted(a.To, a.Order, w.h.clock(), nil)
	})
	took := time.Duration(float64(w.around(k.run)) / w.speeds[a.To.ID])
	w.at(w.h.now.Add(2*peakTrip+took), func(c *Core) { w.ended(c, a) })
}

func (w *peakWorld) ended(c *Core, a StartTask) {
	s := c.servers[a.To.ID]
	w.ends[a.To.ID]++
	s.processedEnd, s.storedEnd = w.ends[a.To.ID], w.ends[a.To.ID]
	c.handleEnd(s, endOf(a, w.ends[a.To.ID], workload.EndDone))
	if w.closed && c.jobs[a.Order.Task.Submission] != nil && c.jobs[a.Order.Task.Submission].ending != "" {
		w.submit(c, w.kindOf[a.Order.Task.Submission])
	}
}

// charge lets the virtual time pass that the processor needs.
func (w *peakWorld) charge(d time.Duration) {
	w.h.now = w.h.now.Add(d)
	w.h.wall = w.h.now.UnixMilli()
}

// round applies the events that are due, at most as many as the Engine does, and runs a
// pass as the Engine does. It returns the actions' number of starts.
func (w *peakWorld) round() {
	c := w.h.core
	w.setTime()
	for n := 0; n <= maxEventBurst && len(w.due) > 0 && !w.due[0].at.After(w.h.now); n++ {
		e := heap.Pop(&w.due).(peakEvent)
		w.setTime()
		e.do(c)
		w.charge(w.costs.event)
	}
	if w.h.now.Sub(w.lastTick) >= tickInterval {
		w.lastTick = w.h.now
		c.Tick()
	}
	c.SetStartRoom(max(peakWindow-w.inFlight, 0))
	waits, mayPlace := c.PlacementPending(), w.pacer.mayPlace()
	before := c.placement.total
	actions := c.Finish(mayPlace)
	after := c.placement.total
	if waits && mayPlace {
		cost := w.costs.pass + time.Duration(after.steps-before.steps)*w.costs.step +
			time.Duration(after.servers-before.servers)*w.costs.server + time.Duration(after.placed-before.placed)*w.costs.placed
		w.longestPass = max(w.longestPass, cost)
		w.charge(cost)
	}
	w.pacer.roundDone(waits && mayPlace, c.PlacementPending())
	w.carryOut(actions)
}

func (w *peakWorld) setTime() {
	w.h.wall = w.h.now.UnixMilli()
	w.h.core.SetTime(w.h.now, w.h.wall)
	w.h.core.SetOwnershipConfirmed(w.h.now)
}

func (w *peakWorld) carryOut(actions []Action) {
	started := false
	for _, a := range actions {
		switch a := a.(type) {
		case Store:
			w.at(w.h.now.Add(4*time.Millisecond), func(c *Core) { c.WritesStored(a.WriteID) })
		case StartTask:
			started = true
			w.start(a)
		case RequestAuthorization:
			w.authorize(a)
		}
	}
	switch {
	case w.h.now.Before(w.gapsFrom) || started:
		w.lastPlaced = w.h.now
	case w.use() > 0.9:
		// The servers are nearly full: what waits may have to wait.
		w.lastPlaced = w.h.now
	default:
		w.longestGap = max(w.longestGap, w.h.now.Sub(w.lastPlaced))
	}
}

// use returns the fraction of the CPU that is in use.
func (w *peakWorld) use() float64 {
	var free, all int64
	for _, s := range w.h.core.servers {
		free, all = free+s.free.CPU, all+s.info.Capacity.CPU
	}
	return 1 - float64(free)/float64(all)
}

// next advances the time to the next event, pass or tick.
func (w *peakWorld) next() {
	at := w.lastTick.Add(tickInterval)
	if len(w.due) > 0 && w.due[0].at.Before(at) {
		at = w.due[0].at
	}
	if w.pacer.armed && w.pacer.next.Before(at) {
		at = w.pacer.next
	}
	if w.pacer.armed && !w.pacer.next.After(latest(at, w.h.now)) {
		w.pacer.armed = false
	}
	if at.After(w.h.now) {
		w.h.now = at
	}
}

// logWaits logs the times to the first starts since the last call.
func (w *peakWorld) logWaits() {
	w.h.t.Helper()
	for _, k := range peakKinds {
		waits := w.waits[k.name]
		slices.Sort(waits)
		if n := len(waits); n > 0 {
			w.h.t.Logf("%s: %d first starts, after %s in the median, 95%% within %s", k.name, n, waits[n/2].Round(time.Millisecond), waits[n*95/100].Round(time.Millisecond))
		}
		w.waits[k.name] = nil
	}
}

// run lets the world go on for d.
func (w *peakWorld) run(d time.Duration) {
	for until := w.h.now.Add(d); w.h.now.Before(until); {
		w.next()
		w.round()
	}
}
