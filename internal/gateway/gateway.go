package gateway

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/idempotency"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/verdict"
)

// Options is what a Gateway is built from.
type Options struct {
	roles.Base
	State    roles.StateReader
	Owners   roles.Owners
	Members  roles.Members
	Peers    roles.Peers
	Appender roles.Appender
	// SystemCredential writes the bills.
	SystemCredential logclient.Credential
	Backends         Backends
	// Limits bound what callers may send; zero fields take their defaults.
	Limits Limits
	// KeyConfig bounds the memory of request keys; zero takes the default.
	KeyConfig idempotency.Config
}

// Gateway is the request path's role of one daemon.
type Gateway struct {
	o       Options
	keys    *keyOwner
	settler *settler
	bills   *bills
	lender  *lender
	watch   *backendWatch
	loop    *dispatcher
	metrics *meters

	phase atomic.Int32
	calls atomic.Int64
	// ids counts the request IDs given out.
	ids atomic.Uint64
	// admitted counts the calls that were taken and not yet answered.
	admitted sync.WaitGroup
	mu       sync.Mutex
}

// The phases of a gateway's life.
const (
	phaseStarting int32 = iota
	phaseServing
	phaseStopping
)

var _ roles.Role = (*Gateway)(nil)

// New returns a Gateway that registers its methods with the peers. Start
// makes it ready.
func New(o Options) *Gateway {
	o.Limits.setDefaults()
	if o.KeyConfig == (idempotency.Config{}) {
		o.KeyConfig = idempotency.DefaultConfig()
	}
	g := &Gateway{o: o, metrics: newMeters(o.Metrics)}
	g.bills = newBills(o, g.metrics)
	g.keys = newKeyOwner(o, o.KeyConfig, g.bills.add, g.bills.watch)
	g.settler = newSettler(o, g.keys)
	g.watch = newBackendWatch(o)
	g.lender = newLender(o, g.watch)
	g.loop = newDispatcher(o, g.lender, g.watch, g.metrics)
	g.bills.register(o.Peers)
	g.keys.register(o.Peers)
	g.lender.register(o.Peers)
	g.watch.register(o.Peers)
	g.loop.register(o.Peers)
	return g
}

// Start begins the duties and opens the gateway to callers.
func (g *Gateway) Start(context.Context) error {
	g.o.Duties.Go("gateway.dispatch", dispatchQuiet, g.loop.run)
	g.o.Duties.Go("gateway.settle", settleQuiet, g.settler.run)
	g.o.Duties.Go("gateway.bills", billsQuiet, g.bills.run)
	g.o.Duties.Go("gateway.backends", watchQuiet, g.watchBackends)
	g.o.Duties.Go("gateway.keys", keysQuiet, g.expireKeys)
	g.phase.Store(phaseServing)
	return nil
}

const (
	keysEvery = time.Second
	keysQuiet = 30 * time.Second
)

// expireKeys ends overdue attempts, once a second, and hands over the memory
// of shares that have gone to others.
func (g *Gateway) expireKeys(ctx context.Context, turn duty.Turn) error {
	tick := time.NewTicker(keysEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.o.State.Changed():
		case <-tick.C:
			g.keys.expire()
			g.keys.forgetIncoming()
		}
		turn()
		g.handOverLost(ctx)
	}
}

// Stop refuses new calls, waits until those taken have been answered, and
// until what is owed to key owners and to the log has been delivered. The
// error says that ctx ended first.
func (g *Gateway) Stop(ctx context.Context) error {
	g.mu.Lock()
	g.phase.Store(phaseStopping)
	g.mu.Unlock()
	answered := make(chan struct{})
	go func() { g.admitted.Wait(); close(answered) }()
	select {
	case <-answered:
	case <-ctx.Done():
		return g.cutOff(verdict.Wrap(ctx.Err(), verdict.MayHaveRun, ReasonStopping))
	}
	for _, deliver := range []func(context.Context) error{g.settler.flush, g.bills.flush, g.loop.giveBack} {
		if err := deliver(ctx); err != nil {
			return g.cutOff(err)
		}
	}
	g.handOverAll(ctx)
	return nil
}

// cutOff reports a stop that ended too early.
func (g *Gateway) cutOff(err error) error {
	left := int(g.calls.Load()) + g.settler.depth() + g.bills.depth()
	g.o.Events.Log(events.StopCutOff, "left", left, "error", err)
	return err
}

// take admits a call, which done ends. It returns why the gateway does not
// take it.
func (g *Gateway) take() *verdict.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.phase.Load() != phaseServing:
		return verdict.New(verdict.NotRun, ReasonStopping, "this daemon does not serve").WithRetryAfter(stopRetryAfter)
	case g.calls.Load() >= int64(g.o.Limits.MaxCalls):
		return verdict.New(verdict.NotRun, ReasonTooManyCalls, "%d calls are in progress", g.calls.Load()).WithRetryAfter(fullRetryAfter)
	}
	g.admitted.Add(1)
	g.calls.Add(1)
	return nil
}

// newID returns an ID that no other request of any daemon has.
func (g *Gateway) newID() string {
	return g.o.Self.Incarnation + "-" + strconv.FormatUint(g.ids.Add(1), 36)
}

func (g *Gateway) done() {
	g.calls.Add(-1)
	g.admitted.Done()
}
