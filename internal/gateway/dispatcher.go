package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/estimate"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/limit"
	"github.com/currantwinch/currantwinch/ring"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	dispatchStallTimeout = 10 * time.Second
	// busyInterval and idleInterval are the longest times between two checks of
	// deadlines and slot leases, while calls are queued and while none is.
	busyInterval = 10 * time.Millisecond
	idleInterval = 100 * time.Millisecond
	// poolRefreshInterval is the interval at which the pools are updated from
	// the platform's list of VMs.
	poolRefreshInterval = 250 * time.Millisecond

	arrivalsCapacity = 1024
	eventsCapacity   = 4096
	// overloadRetryAfter is the Retry-After of a call that finds the ring of
	// arrivals or the queue full.
	overloadRetryAfter = time.Second
)

// dispatcher queues calls and assigns them slots of backend servers. All of its
// state belongs to the goroutine of run, except what mu guards.
type dispatcher struct {
	o         Options
	slotOwner *slotOwner
	registry  *backendRegistry
	metrics   *requestMetrics

	arrivals *ring.Ring[*call]
	events   *ring.Ring[event]
	wake     chan struct{}
	// peerCalls counts the calls to other daemons started by spawn.
	peerCalls sync.WaitGroup

	pools       map[string]*pool
	estimator   *estimate.Estimator
	rates       *limit.RateLimiter
	random      *rand.Rand
	lastRefresh time.Time

	mu sync.Mutex
	// stopped is set once spawn starts no more calls.
	stopped bool
	// refreshSignals holds the pool shares whose owners signalled that this
	// daemon should request slots again.
	refreshSignals map[poolShare]bool
	// retryBudget bounds retries to a fraction of first attempts.
	retryBudget *limit.Budget
	unconfirmed []*slot
	// unreachable holds the backend servers that refused their last connection.
	unreachable map[string]bool
}

// event is a change that another goroutine reports to the dispatcher.
type event interface{ apply(d *dispatcher) }

func newDispatcher(o Options, owner *slotOwner, registry *backendRegistry, metrics *requestMetrics) *dispatcher {
	d := &dispatcher{
		o: o, slotOwner: owner, registry: registry, metrics: metrics,
		arrivals:       ring.New[*call]("gateway.arrivals", arrivalsCapacity, ring.Reject),
		events:         ring.New[event]("gateway.events", eventsCapacity, ring.Block),
		wake:           make(chan struct{}, 1),
		pools:          make(map[string]*pool),
		estimator:      estimate.New(estimate.Options{}),
		rates:          limit.NewRateLimiter(0),
		retryBudget:    limit.DefaultRetryBudget(),
		random:         rand.New(rand.NewPCG(o.Seed, dispatchRandomStream)),
		refreshSignals: make(map[poolShare]bool),
		unreachable:    make(map[string]bool),
	}
	owner.signalRefresh = d.sendRefreshSignal
	return d
}

// dispatchRandomStream separates the dispatcher's pseudo-random sequence from
// others of the same seed.
const dispatchRandomStream = 0x646973

func (d *dispatcher) register(peers roles.Peers) {
	peers.Handle(methodCreditRefresh, handle(func(_ context.Context, _ string, p poolShare) (any, error) {
		d.receiveRefreshSignal(p)
		return struct{}{}, nil
	}))
}

// run is the dispatcher's loop.
func (d *dispatcher) run(ctx context.Context, turn duty.Heartbeat) error {
	defer d.stop()
	timer := time.NewTimer(busyInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-d.arrivals.C():
			d.handleArrival(c)
		case e := <-d.events.C():
			e.apply(d)
		case <-d.wake:
		case <-d.registry.changed:
			d.lastRefresh = time.Time{}
		case <-timer.C:
		}
		d.drain()
		d.step()
		turn()
		timer.Reset(d.nextInterval())
	}
}

// spawn runs f, a short call to another daemon, in a goroutine of its own. It does
// nothing once the dispatcher has stopped.
func (d *dispatcher) spawn(f func(ctx context.Context)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped {
		d.peerCalls.Go(func() { f(d.o.Duties.Context()) })
	}
}

// stop prevents further spawned calls and waits for those in progress.
func (d *dispatcher) stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.peerCalls.Wait()
}

// drain handles the arrivals and events that are already queued, so that one step
// serves them all.
func (d *dispatcher) drain() {
	for range arrivalsCapacity {
		select {
		case c := <-d.arrivals.C():
			d.handleArrival(c)
		case e := <-d.events.C():
			e.apply(d)
		default:
			return
		}
	}
}

// step serves the queue of every pool and requests the slots it needs.
func (d *dispatcher) step() {
	now := d.o.Now()
	if now.Sub(d.lastRefresh) >= poolRefreshInterval {
		d.lastRefresh = now
		d.refresh()
	}
	for share := range d.takeRefreshSignals() {
		if p, ok := d.pools[share.Pool]; ok {
			p.holder.Refresh(share.String())
		}
	}
	for _, p := range d.pools {
		d.serveQueue(p, now)
		d.requestSlots(p, now)
	}
}

func (d *dispatcher) nextInterval() time.Duration {
	for _, p := range d.pools {
		if p.queue.Len() > 0 {
			return busyInterval
		}
	}
	return idleInterval
}

// refresh creates a pool for each that the platform's list names, and updates the
// backend servers of all pools.
func (d *dispatcher) refresh() {
	for _, vm := range d.registry.all() {
		if _, ok := d.pools[vm.Pool]; !ok {
			d.pools[vm.Pool] = newPool(d.o, vm.Pool)
		}
	}
	for _, p := range d.pools {
		p.refresh(d.registry)
	}
	d.releaseRemoved()
}

func (d *dispatcher) receiveRefreshSignal(p poolShare) {
	d.mu.Lock()
	d.refreshSignals[p] = true
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *dispatcher) takeRefreshSignals() map[poolShare]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.refreshSignals) == 0 {
		return nil
	}
	signals := d.refreshSignals
	d.refreshSignals = make(map[poolShare]bool)
	return signals
}

// acquire waits for a slot for the call. Its caller sends the request on the slot
// and then reports attemptFinished. The error's verdict is NotRun.
func (d *dispatcher) acquire(ctx context.Context, c *call) (*slot, error) {
	if !d.arrivals.Push(ctx, c) {
		return nil, verdict.New(verdict.NotRun, ReasonQueueFull, "too many arrivals").WithRetryAfter(overloadRetryAfter)
	}
	select {
	case got := <-c.grants:
		return got.slot, got.error()
	case <-d.o.Duties.Done():
		return nil, verdict.New(verdict.NotRun, ReasonStopping, "the daemon has stopped")
	case <-ctx.Done():
	}
	return nil, d.cancel(c)
}

// cancel removes a call whose caller has disconnected, and returns the slot that
// it may have been granted meanwhile.
func (d *dispatcher) cancel(c *call) error {
	d.send(callCancelled{c})
	select {
	case got := <-c.grants:
		if got.slot != nil {
			d.send(slotUnused{got.slot})
		}
	case <-d.o.Duties.Done():
	}
	return verdict.New(verdict.NotRun, ReasonCallerDisconnected, "the caller has gone")
}

// send passes an event to the dispatcher's goroutine.
func (d *dispatcher) send(e event) { d.events.Push(d.o.Duties.Context(), e) }

// takeRetry takes one retry from the budget and reports whether there was one.
func (d *dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryBudget.TrySpend()
}

func (d *dispatcher) recordFirstAttempt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryBudget.RecordAttempt()
}
