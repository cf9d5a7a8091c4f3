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
	dispatchQuiet = 10 * time.Second
	// busyTick and idleTick are how often the dispatcher looks at deadlines
	// and credits while requests wait, and while none does.
	busyTick = 10 * time.Millisecond
	idleTick = 100 * time.Millisecond
	// refreshEvery is how often the pools are compared with the platform's
	// list.
	refreshEvery = 250 * time.Millisecond

	arrivalsCapacity = 1024
	eventsCapacity   = 4096
	// fullRetryAfter is the advice where arrivals come faster than they can
	// be looked at.
	fullRetryAfter = time.Second
)

// dispatcher queues calls and gives them slots. One goroutine owns all of its
// state but what mu guards.
type dispatcher struct {
	o       Options
	lender  *lender
	watch   *backendWatch
	metrics *meters

	arrivals *ring.Ring[*call]
	events   *ring.Ring[event]
	wake     chan struct{}
	// calls are the short-lived calls to other daemons, made by spawn.
	calls sync.WaitGroup

	pools     map[string]*pool
	estimator *estimate.Estimator
	rates     *limit.RateLimiter
	random    *rand.Rand
	refreshed time.Time

	mu sync.Mutex
	// ended is set once the dispatcher starts no more calls.
	ended bool
	// prompts are the parts whose owners asked to be asked.
	prompts map[poolShare]bool
	// retries bounds repeated attempts.
	retries *limit.Budget
	doubts  []*slot
	// lost are the backend servers that refused their last connection.
	lost map[string]bool
}

// event is something that happened outside of the dispatcher's goroutine.
type event interface{ apply(d *dispatcher) }

func newDispatcher(o Options, l *lender, w *backendWatch, m *meters) *dispatcher {
	d := &dispatcher{
		o: o, lender: l, watch: w, metrics: m,
		arrivals:  ring.New[*call]("gateway.arrivals", arrivalsCapacity, ring.Reject),
		events:    ring.New[event]("gateway.events", eventsCapacity, ring.Block),
		wake:      make(chan struct{}, 1),
		pools:     make(map[string]*pool),
		estimator: estimate.New(estimate.Options{}),
		rates:     limit.NewRateLimiter(0),
		retries:   limit.DefaultRetryBudget(),
		random:    rand.New(rand.NewPCG(o.Seed, dispatchStream)),
		prompts:   make(map[poolShare]bool),
		lost:      make(map[string]bool),
	}
	l.prompt = d.sendPrompt
	return d
}

// dispatchStream tells the dispatcher's pseudo-random sequence from others.
const dispatchStream = 0x646973

func (d *dispatcher) register(peers roles.Peers) {
	peers.Handle(methodCreditPrompt, handle(func(_ context.Context, _ string, p poolShare) (any, error) {
		d.prompted(p)
		return struct{}{}, nil
	}))
}

// run is the dispatcher's duty.
func (d *dispatcher) run(ctx context.Context, turn duty.Turn) error {
	defer d.end()
	timer := time.NewTimer(busyTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-d.arrivals.C():
			d.arrive(c)
		case e := <-d.events.C():
			e.apply(d)
		case <-d.wake:
		case <-d.watch.changed:
			d.refreshed = time.Time{}
		case <-timer.C:
		}
		d.drain()
		d.step()
		turn()
		timer.Reset(d.tick())
	}
}

// spawn runs a short call to another daemon beside the dispatcher. It does
// nothing once the dispatcher has ended.
func (d *dispatcher) spawn(f func(ctx context.Context)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ended {
		d.calls.Go(func() { f(d.o.Duties.Context()) })
	}
}

// end waits for the calls that were spawned.
func (d *dispatcher) end() {
	d.mu.Lock()
	d.ended = true
	d.mu.Unlock()
	d.calls.Wait()
}

// drain takes in all that is at hand, so that one step serves it.
func (d *dispatcher) drain() {
	for range arrivalsCapacity {
		select {
		case c := <-d.arrivals.C():
			d.arrive(c)
		case e := <-d.events.C():
			e.apply(d)
		default:
			return
		}
	}
}

// step does all that is due in every pool.
func (d *dispatcher) step() {
	now := d.o.Now()
	if now.Sub(d.refreshed) >= refreshEvery {
		d.refreshed = now
		d.refresh()
	}
	for part := range d.takePrompts() {
		if p, ok := d.pools[part.Pool]; ok {
			p.holder.Refresh(part.String())
		}
	}
	for _, p := range d.pools {
		d.pump(p, now)
		d.askOwners(p, now)
	}
}

func (d *dispatcher) tick() time.Duration {
	for _, p := range d.pools {
		if p.queue.Len() > 0 {
			return busyTick
		}
	}
	return idleTick
}

// refresh makes the pools those that documents and the platform's list name.
func (d *dispatcher) refresh() {
	for _, vm := range d.watch.list() {
		if _, ok := d.pools[vm.Pool]; !ok {
			d.pools[vm.Pool] = newPool(d.o, vm.Pool)
		}
	}
	for _, p := range d.pools {
		p.refresh(d.watch)
	}
	d.forgetGone()
}

func (d *dispatcher) prompted(p poolShare) {
	d.mu.Lock()
	d.prompts[p] = true
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *dispatcher) takePrompts() map[poolShare]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.prompts) == 0 {
		return nil
	}
	taken := d.prompts
	d.prompts = make(map[poolShare]bool)
	return taken
}

// acquire waits for a slot for the call. The caller of acquire sends on it and
// then ends it by finished or unused. The error's verdict is NotRun.
func (d *dispatcher) acquire(ctx context.Context, c *call) (*slot, error) {
	if !d.arrivals.Push(ctx, c) {
		return nil, verdict.New(verdict.NotRun, ReasonQueueFull, "too many arrivals").WithRetryAfter(fullRetryAfter)
	}
	select {
	case got := <-c.granted:
		return got.slot, got.error()
	case <-d.o.Duties.Done():
		return nil, verdict.New(verdict.NotRun, ReasonStopping, "the daemon has stopped")
	case <-ctx.Done():
	}
	return nil, d.withdraw(c)
}

// withdraw takes back a call whose caller has gone.
func (d *dispatcher) withdraw(c *call) error {
	d.send(cancelled{c})
	select {
	case got := <-c.granted:
		if got.slot != nil {
			d.send(unused{got.slot})
		}
	case <-d.o.Duties.Done():
	}
	return verdict.New(verdict.NotRun, ReasonCallerDisconnected, "the caller has gone")
}

// send hands an event to the dispatcher's goroutine.
func (d *dispatcher) send(e event) { d.events.Push(d.o.Duties.Context(), e) }

// mayRetry takes one attempt from the budget of retries.
func (d *dispatcher) mayRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retries.TrySpend()
}

func (d *dispatcher) countFirst() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries.RecordAttempt()
}
