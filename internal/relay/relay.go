// Package relay gives access to the platform's store, through another daemon
// while the store does not answer this one. All calls are idempotent: appends
// carry sequence numbers, and repeating any other call has no further effect.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	// minHedgeDelay is the least time without an answer, beyond the wait that a
	// call requests, after which another daemon is asked as well.
	minHedgeDelay = 400 * time.Millisecond
	// hedgeLatencyFactor: the hedge delay is at least this many times the
	// store's recent latency, since a slow store does not answer others any
	// faster.
	hedgeLatencyFactor = 3
	// latencyDecay is the factor by which each answer decays an earlier, higher
	// latency.
	latencyDecay = 0.8
	// probeTimeout limits a call that only tests whether the store answers.
	probeTimeout = 2 * time.Second
	// probeInterval is the time between direct probes of the store while calls
	// go through other daemons.
	probeInterval = time.Second
	// minAnswerTime is the least time that a daemon must have had to answer
	// before a missing answer counts as its failure.
	minAnswerTime = 300 * time.Millisecond
	// maxRelays limits the daemons that are asked for one call.
	maxRelays = 2
	// relayedReadSlack is the time beyond its wait that a read through another daemon may take.
	relayedReadSlack = 800 * time.Millisecond
	// isolatedAfter is the time without any answer after which this daemon
	// considers itself isolated. It spans several joins of the group.
	isolatedAfter = 1200 * time.Millisecond
)

// Store is the interface of the store that is relayed.
type Store interface {
	partition.Log
	partition.Group
}

// Options configures a Relay.
type Options struct {
	// Direct is the daemon's own connection to the store.
	Direct Store
	Peers  roles.Peers
	Now    func() time.Time
	// Metrics is the set with which the relay's metrics are registered.
	Metrics *metrics.Set
	Events  *events.Logger
}

// Relay is a Store that falls back to other daemons when the direct connection
// fails.
type Relay struct {
	direct Store
	peers  roles.Peers
	now    func() time.Time
	meter  *meter
	log    *events.Logger

	mu      sync.Mutex
	daemons func() []string
	// lastContact is when the store or another daemon last answered.
	lastContact time.Time
	// latency is the decayed maximum of the store's latency.
	latency time.Duration
	// isSuspected is set while the store is suspected: it did not answer this
	// daemon's last direct call.
	isSuspected bool
	// suspectedAt is when the current or last suspicion began.
	suspectedAt time.Time
	probedAt    time.Time
	routes      map[string]route
	// storeSuspected wakes MonitorConnectivity when the store becomes
	// suspected.
	storeSuspected chan struct{}
	// suspicion is closed when the store becomes suspected, and replaced when that ends.
	suspicion chan struct{}

	// contactOffset counts the contact calls made so far. Only
	// MonitorConnectivity's goroutine uses it.
	contactOffset int
}

// New returns a Relay and registers its methods with the peers.
func New(o Options) *Relay {
	r := &Relay{
		direct: o.Direct, peers: o.Peers, now: o.Now, log: o.Events, daemons: func() []string { return nil },
		routes: make(map[string]route), storeSuspected: make(chan struct{}, 1), suspicion: make(chan struct{}),
	}
	r.meter = newMeter(o.Metrics, r.suspected)
	r.register()
	return r
}

// SetDaemons sets the function that lists the other daemons. Until then there are
// none.
func (r *Relay) SetDaemons(daemons func() []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons = daemons
}

// otherDaemons lists the other daemons.
func (r *Relay) otherDaemons() []string {
	r.mu.Lock()
	daemons := r.daemons
	r.mu.Unlock()
	return daemons()
}

// isStoreAnswer reports whether a result is the store's own answer.
func isStoreAnswer(err error) bool { return err == nil || partition.IsPermanent(err) }

type outcome[T any] struct {
	value T
	err   error
}

// call makes one call, directly or through another daemon. Wait is how long the
// call asks the store to wait for records.
func call[T any](ctx context.Context, r *Relay, wait time.Duration, direct func(context.Context) (T, error), method string, params any) (T, error) {
	if r.suspected() {
		r.probe()
		if value, err, asked := callThroughPeers[T](ctx, r, wait, method, params); asked && isStoreAnswer(err) {
			return value, err
		}
	}
	suspicion := r.suspicionOf(wait)
	answers := make(chan outcome[T], 1)
	go func() {
		began := r.now()
		value, err := direct(ctx)
		took := r.now().Sub(began)
		r.recordContact(err)
		r.recordAnswer(err, took, wait)
		r.meter.recordCall(wayDirect, err, took, wait)
		answers <- outcome[T]{value, err}
	}()
	hedge := time.NewTimer(wait + r.hedgeDelay())
	defer hedge.Stop()
	select {
	case got := <-answers:
		if isStoreAnswer(got.err) || ctx.Err() != nil {
			return got.value, got.err
		}
		r.markSuspected()
		if value, err, asked := callThroughPeers[T](ctx, r, wait, method, params); asked && isStoreAnswer(err) {
			return value, err
		}
		return got.value, got.err
	case <-suspicion:
		return firstAnswer(ctx, r, wait, answers, method, params)
	case <-hedge.C:
		r.markSuspected()
		return firstAnswer(ctx, r, wait, answers, method, params)
	}
}

// suspicionOf returns the channel that is closed once the store becomes suspected while a call
// waits for records. It returns nil for a call that does not wait, whose own time shows that.
func (r *Relay) suspicionOf(wait time.Duration) <-chan struct{} {
	if wait == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isSuspected {
		// Other daemons were asked before this direct call.
		return nil
	}
	return r.suspicion
}

// firstAnswer returns the first store answer, be it direct or through another
// daemon.
func firstAnswer[T any](ctx context.Context, r *Relay, wait time.Duration, direct <-chan outcome[T], method string, params any) (T, error) {
	through := make(chan outcome[T], 1)
	go func() {
		value, err, asked := callThroughPeers[T](ctx, r, wait, method, params)
		if !asked {
			err = verdict.New(verdict.MayHaveRun, partition.ReasonNoAnswer, "no other daemon to ask")
		}
		through <- outcome[T]{value, err}
	}()
	select {
	case got := <-direct:
		if isStoreAnswer(got.err) {
			return got.value, got.err
		}
		other := <-through
		return other.value, other.err
	case got := <-through:
		if isStoreAnswer(got.err) {
			return got.value, got.err
		}
		other := <-direct
		return other.value, other.err
	}
}

// callThroughPeers asks other daemons in turn. It reports false if it asked
// none.
func callThroughPeers[T any](ctx context.Context, r *Relay, wait time.Duration, method string, params any) (value T, err error, asked bool) {
	wait = min(wait, maxRelayedWait)
	names := r.otherDaemons()
	chosen := r.selectPeers(names, isBulk(method))
	if len(chosen) == 0 {
		return value, nil, false
	}
	for i, name := range chosen {
		value = *new(T)
		timeout := attemptTimeout(ctx, wait, len(chosen)-i)
		attempt, cancel := context.WithTimeout(ctx, timeout)
		began := r.now()
		err = r.peers.Call(attempt, name, method, params, &value)
		cancel()
		r.recordContact(err)
		r.meter.recordCall(wayRelayed, err, r.now().Sub(began), wait)
		if isStoreAnswer(err) {
			return value, err, true
		}
		if r.now().Sub(began) < timeout || timeout >= wait+minAnswerTime {
			// The call failed before its time was over, or it had enough time
			// to be answered.
			r.setRoute(name, route{rank: rankFailed})
		}
	}
	return value, err, true
}

// attemptTimeout divides the time left, beyond the wait requested from the
// store, by the number of attempts left, so that a daemon that does not answer
// leaves time for the next.
func attemptTimeout(ctx context.Context, wait time.Duration, attempts int) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return wait + relayTimeout
	}
	left := time.Until(deadline)
	timeout := min(wait+max(left-wait, 0)/time.Duration(attempts), left)
	if wait > 0 {
		return min(timeout, wait+relayedReadSlack)
	}
	return timeout
}

// recordContact records that a call was answered, be it with a refusal.
func (r *Relay) recordContact(err error) {
	if !isStoreAnswer(err) && verdict.ReasonOf(err) != partition.ReasonUnavailable {
		return
	}
	r.setLastContact()
}

// recordAnswer records the store's latency. Any answer, however late, ends the
// suspicion.
func (r *Relay) recordAnswer(err error, took, wait time.Duration) {
	if !isStoreAnswer(err) {
		return
	}
	r.clearSuspicion()
	r.mu.Lock()
	defer r.mu.Unlock()
	if wait == 0 {
		r.latency = max(took, time.Duration(latencyDecay*float64(r.latency)))
	}
}

// hedgeDelay returns the time without an answer after which another daemon is
// asked.
func (r *Relay) hedgeDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(minHedgeDelay, hedgeLatencyFactor*r.latency)
}

// Isolated reports whether neither the store nor another daemon answers this
// one. While only the store is down the others do, which MonitorConnectivity
// finds out.
func (r *Relay) Isolated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastContact.IsZero() && r.now().Sub(r.lastContact) > isolatedAfter
}

// StoreUnreachable reports whether the store answers neither this daemon nor
// any other daemon whose state is known.
func (r *Relay) StoreUnreachable() bool {
	return r.suspected() && len(r.selectPeers(r.otherDaemons(), false)) == 0
}

func (r *Relay) suspected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isSuspected
}

// markSuspected routes further calls through other daemons until the store
// answers this one.
func (r *Relay) markSuspected() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.probedAt = now
	if r.isSuspected {
		return
	}
	r.isSuspected, r.suspectedAt = true, now
	close(r.suspicion)
	select {
	case r.storeSuspected <- struct{}{}:
	default:
	}
	heard := r.lastContact
	if heard.IsZero() {
		heard = now
	}
	r.log.Log(events.StoreSuspected, "heardAge", now.Sub(heard).Milliseconds(), "latency", r.latency.Milliseconds())
}

// clearSuspicion ends the suspicion.
func (r *Relay) clearSuspicion() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isSuspected {
		return
	}
	r.isSuspected, r.suspicion = false, make(chan struct{})
	r.log.Log(events.StoreSuspicionCleared, "suspected", r.now().Sub(r.suspectedAt).Milliseconds())
}

// probe calls the store directly, at most once a probeInterval, while other
// calls go through peers. An answer ends the suspicion.
func (r *Relay) probe() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now().Sub(r.probedAt) < probeInterval {
		return
	}
	r.probedAt = r.now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if _, err := r.direct.Holders(ctx); isStoreAnswer(err) {
			r.clearSuspicion()
		}
	}()
}
