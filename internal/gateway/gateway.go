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
	"github.com/currantwinch/currantwinch/internal/intake"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/verdict"
)

// Options holds the dependencies and configuration of a Gateway.
type Options struct {
	roles.Base
	State    roles.StateReader
	Owners   roles.Owners
	Members  roles.Members
	Peers    roles.Peers
	Appender roles.Appender
	// SystemCredential authorises the log appends that write bills.
	SystemCredential logclient.Credential
	Backends         Backends
	// Bodies reads callers' bodies within a memory budget; nil reads them without bounds in
	// time and in sum.
	Bodies *intake.Bodies
	// Limits bounds callers' requests. Zero fields take their defaults.
	Limits Limits
	// KeyConfig bounds the tables of idempotency keys; the zero value takes
	// idempotency.DefaultConfig.
	KeyConfig idempotency.Config
}

// Gateway is the role of a daemon that serves callers' requests. It implements
// roles.Role.
type Gateway struct {
	o          Options
	keys       *keyOwner
	settler    *settler
	bills      *billQueue
	slotOwner  *slotOwner
	registry   *backendRegistry
	dispatcher *dispatcher
	metrics    *requestMetrics

	phase     atomic.Int32
	callCount atomic.Int64
	// lastID numbers the request IDs of this daemon.
	lastID atomic.Uint64
	// inFlight counts the calls that were admitted and not yet answered.
	inFlight sync.WaitGroup
	mu       sync.Mutex
}

// The phases of a Gateway.
const (
	phaseStarting int32 = iota
	phaseServing
	phaseStopping
)

var _ roles.Role = (*Gateway)(nil)

// New returns a Gateway whose methods are registered with the peers. Start
// opens it to callers.
func New(o Options) *Gateway {
	o.Limits.setDefaults()
	if o.KeyConfig == (idempotency.Config{}) {
		o.KeyConfig = idempotency.DefaultConfig()
	}
	g := &Gateway{o: o, metrics: newRequestMetrics(o.Metrics)}
	g.bills = newBillQueue(o, g.metrics)
	g.keys = newKeyOwner(o, o.KeyConfig, g.bills.add, g.bills.addCopy)
	g.settler = newSettler(o, g.keys)
	g.registry = newBackendRegistry(o)
	g.slotOwner = newSlotOwner(o, g.registry)
	g.dispatcher = newDispatcher(o, g.slotOwner, g.registry, g.metrics)
	g.bills.register(o.Peers)
	g.keys.register(o.Peers)
	g.slotOwner.register(o.Peers)
	g.registry.register(o.Peers)
	g.dispatcher.register(o.Peers)
	return g
}

// Start starts the background duties and opens the gateway to callers.
func (g *Gateway) Start(context.Context) error {
	g.o.Duties.Go("gateway.dispatch", dispatchStallTimeout, g.dispatcher.run)
	g.o.Duties.Go("gateway.settle", settleStallTimeout, g.settler.run)
	g.o.Duties.Go("gateway.bills", billsStallTimeout, g.bills.run)
	g.o.Duties.Go("gateway.backends", monitorStallTimeout, g.monitorBackends)
	g.o.Duties.Go("gateway.keys", keysStallTimeout, g.expireKeys)
	g.phase.Store(phaseServing)
	return nil
}

const (
	keyExpiryInterval = time.Second
	keysStallTimeout  = 30 * time.Second
)

// expireKeys expires overdue attempts once per keyExpiryInterval and hands over
// the key tables of shares that other daemons own now.
func (g *Gateway) expireKeys(ctx context.Context, turn duty.Heartbeat) error {
	tick := time.NewTicker(keyExpiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.o.State.Changed():
		case <-tick.C:
			g.keys.expire()
			g.keys.dropStaleSnapshots()
		}
		turn()
		g.handOverMovedShares(ctx)
	}
}

// Stop refuses new calls and waits until the calls in flight have been answered,
// and until the outcomes for key owners and the bills have been delivered. It
// then hands over the key tables. It returns an error if ctx ends first.
func (g *Gateway) Stop(ctx context.Context) error {
	g.mu.Lock()
	g.phase.Store(phaseStopping)
	g.mu.Unlock()
	answered := make(chan struct{})
	go func() { g.inFlight.Wait(); close(answered) }()
	select {
	case <-answered:
	case <-ctx.Done():
		return g.reportIncompleteStop(verdict.Wrap(ctx.Err(), verdict.MayHaveRun, ReasonStopping))
	}
	for _, deliver := range []func(context.Context) error{g.settler.flush, g.bills.flush, g.dispatcher.returnSlots} {
		if err := deliver(ctx); err != nil {
			return g.reportIncompleteStop(err)
		}
	}
	g.handOverAllShares(ctx)
	return nil
}

// reportIncompleteStop logs how many calls, outcomes and bills were left when
// ctx ended, and returns err.
func (g *Gateway) reportIncompleteStop(err error) error {
	pending := int(g.callCount.Load()) + g.settler.pendingCount() + g.bills.pendingCount()
	g.o.Events.Log(events.StopIncomplete, "left", pending, "error", err)
	return err
}

// beginCall admits a call, which endCall ends. The error says why the call is
// refused; nil admits it.
func (g *Gateway) beginCall() *verdict.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.phase.Load() != phaseServing:
		return verdict.New(verdict.NotRun, ReasonStopping, "this daemon does not serve").WithRetryAfter(stopRetryAfter)
	case g.callCount.Load() >= int64(g.o.Limits.MaxCalls):
		return verdict.New(verdict.NotRun, ReasonTooManyCalls, "%d calls are in progress", g.callCount.Load()).WithRetryAfter(overloadRetryAfter)
	}
	g.inFlight.Add(1)
	g.callCount.Add(1)
	return nil
}

// newID returns a request ID that is unique across daemons.
func (g *Gateway) newID() string {
	return g.o.Self.Incarnation + "-" + strconv.FormatUint(g.lastID.Add(1), 36)
}

func (g *Gateway) endCall() {
	g.callCount.Add(-1)
	g.inFlight.Done()
}
