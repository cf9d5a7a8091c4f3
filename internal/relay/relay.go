// Package relay reaches the platform's store through another daemon while the
// store does not answer this one. Every call may be repeated without harm:
// appends carry sequence numbers, and the others change nothing that a repeat
// would change again.
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
	// hedgeAfter is how long the store may be silent, beyond what a call waits
	// for, before another daemon is asked as well.
	hedgeAfter = 400 * time.Millisecond
	// hedgeTimes is the same as a multiple of the store's recent answers: those
	// of a slow store come no sooner through others.
	hedgeTimes = 3
	// latencyDecay is what one answer leaves of an earlier, longer one.
	latencyDecay = 0.8
	// probeTimeout bounds a question that only shows whether the store answers.
	probeTimeout = 2 * time.Second
	// probeInterval is the time between two questions to the store itself while
	// calls go through other daemons.
	probeInterval = time.Second
	// fairTime is what a daemon must have had for an answer before its silence
	// counts against it.
	fairTime = 300 * time.Millisecond
	// maxRelays bounds the daemons asked about one call.
	maxRelays = 2
	// cutAfter is how long nobody may answer before this daemon takes itself for
	// cut off. The group is asked several times in it.
	cutAfter = 1200 * time.Millisecond
)

// Store is what is relayed.
type Store interface {
	partition.Log
	partition.Group
}

// Options is what a Relay is built from.
type Options struct {
	// Direct is the daemon's own path to the store.
	Direct Store
	Peers  roles.Peers
	Now    func() time.Time
	// Metrics is the set that the relay's metrics are registered with.
	Metrics *metrics.Set
	Events  *events.Logger
}

// Relay is a Store that asks other daemons when its own path fails.
type Relay struct {
	direct  Store
	peers   roles.Peers
	daemons func() []string
	now     func() time.Time
	meter   *meter
	log     *events.Logger

	mu sync.Mutex
	// heard is when the store or another daemon last answered anything.
	heard time.Time
	// latency is how long the store's answers take of late.
	latency time.Duration
	// suspect says that the store did not answer this daemon when last tried.
	suspect bool
	// suspectedAt is when the present or last suspicion began.
	suspectedAt time.Time
	probedAt    time.Time
	ways        map[string]way
	// woken tells WatchContact that the store has stopped answering.
	woken chan struct{}

	// asked counts the daemons that were asked for a sign of life. Only
	// WatchContact's goroutine reads it.
	asked int
}

// New returns a Relay, whose methods it registers with the peers.
func New(o Options) *Relay {
	r := &Relay{
		direct: o.Direct, peers: o.Peers, now: o.Now, log: o.Events, daemons: func() []string { return nil },
		ways: make(map[string]way), woken: make(chan struct{}, 1),
	}
	r.meter = newMeter(o.Metrics, r.suspected)
	r.register()
	return r
}

// SetDaemons sets who the other daemons are.
func (r *Relay) SetDaemons(daemons func() []string) { r.daemons = daemons }

// settled reports whether an answer is the store's own.
func settled(err error) bool { return err == nil || partition.IsPermanent(err) }

type outcome[T any] struct {
	value T
	err   error
}

// call makes one call, directly or through another daemon. Wait is how long the
// store itself may take by request.
func call[T any](ctx context.Context, r *Relay, wait time.Duration, direct func(context.Context) (T, error), method string, params any) (T, error) {
	if r.suspected() {
		r.probe()
		if value, err, asked := relayed[T](ctx, r, wait, method, params); asked && settled(err) {
			return value, err
		}
	}
	answers := make(chan outcome[T], 1)
	go func() {
		began := r.now()
		value, err := direct(ctx)
		took := r.now().Sub(began)
		r.note(err)
		r.learn(err, took, wait)
		r.meter.called(wayDirect, err, took, wait)
		answers <- outcome[T]{value, err}
	}()
	hedge := time.NewTimer(wait + r.hedge())
	defer hedge.Stop()
	select {
	case got := <-answers:
		if settled(got.err) || ctx.Err() != nil {
			return got.value, got.err
		}
		r.suspectNow()
		if value, err, asked := relayed[T](ctx, r, wait, method, params); asked && settled(err) {
			return value, err
		}
		return got.value, got.err
	case <-hedge.C:
		r.suspectNow()
		return first(ctx, r, wait, answers, method, params)
	}
}

// first returns the first settled answer of the store's and another daemon's.
func first[T any](ctx context.Context, r *Relay, wait time.Duration, direct <-chan outcome[T], method string, params any) (T, error) {
	through := make(chan outcome[T], 1)
	go func() {
		value, err, asked := relayed[T](ctx, r, wait, method, params)
		if !asked {
			err = verdict.New(verdict.MayHaveRun, partition.ReasonNoAnswer, "no other daemon to ask")
		}
		through <- outcome[T]{value, err}
	}()
	select {
	case got := <-direct:
		if settled(got.err) {
			return got.value, got.err
		}
		other := <-through
		return other.value, other.err
	case got := <-through:
		if settled(got.err) {
			return got.value, got.err
		}
		other := <-direct
		return other.value, other.err
	}
}

// relayed asks other daemons in turn. It reports false if it asked nobody.
func relayed[T any](ctx context.Context, r *Relay, wait time.Duration, method string, params any) (value T, err error, asked bool) {
	names := r.daemons()
	chosen := r.choose(names)
	if len(chosen) == 0 {
		return value, nil, false
	}
	for i, name := range chosen {
		value = *new(T)
		given := share(ctx, wait, len(chosen)-i)
		attempt, cancel := context.WithTimeout(ctx, given)
		began := r.now()
		err = r.peers.Call(attempt, name, method, params, &value)
		cancel()
		r.note(err)
		r.meter.called(wayRelayed, err, r.now().Sub(began), wait)
		if settled(err) {
			return value, err, true
		}
		if r.now().Sub(began) < given || given >= wait+fairTime {
			// It failed by itself, or had the time to answer.
			r.learnWay(name, way{rank: rankFailed})
		}
	}
	return value, err, true
}

// share returns an equal part of the time that is left for so many attempts,
// beyond what the store is asked to wait, so that a daemon that is silent leaves
// some for the next.
func share(ctx context.Context, wait time.Duration, attempts int) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return wait + relayTimeout
	}
	left := time.Until(deadline)
	return min(wait+max(left-wait, 0)/time.Duration(attempts), left)
}

// note takes in whether a call was answered by anybody, if only with a refusal.
func (r *Relay) note(err error) {
	if !settled(err) && verdict.ReasonOf(err) != partition.ReasonUnavailable {
		return
	}
	r.hear()
}

// learn takes in how long the store took itself. An answer, however late, ends
// the suspicion.
func (r *Relay) learn(err error, took, wait time.Duration) {
	if !settled(err) {
		return
	}
	r.trust()
	r.mu.Lock()
	defer r.mu.Unlock()
	if wait == 0 {
		r.latency = max(took, time.Duration(latencyDecay*float64(r.latency)))
	}
}

// hedge returns how long the store may be silent before another daemon is asked.
func (r *Relay) hedge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(hedgeAfter, hedgeTimes*r.latency)
}

// Isolated reports whether neither the store nor another daemon answers this one.
// While only the store is away the others do, which WatchContact finds out.
func (r *Relay) Isolated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.heard.IsZero() && r.now().Sub(r.heard) > cutAfter
}

// StoreUnreachable reports whether the store answers neither this daemon nor any of which
// that is known.
func (r *Relay) StoreUnreachable() bool {
	return r.suspected() && len(r.choose(r.daemons())) == 0
}

func (r *Relay) suspected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspect
}

// suspectNow has further calls go through other daemons, until the store answers
// this one.
func (r *Relay) suspectNow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.probedAt = now
	if r.suspect {
		return
	}
	r.suspect, r.suspectedAt = true, now
	select {
	case r.woken <- struct{}{}:
	default:
	}
	heard := r.heard
	if heard.IsZero() {
		heard = now
	}
	r.log.Log(events.StoreSuspected, "heardAge", now.Sub(heard).Milliseconds(), "latency", r.latency.Milliseconds())
}

// trust ends the suspicion.
func (r *Relay) trust() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.suspect {
		return
	}
	r.suspect = false
	r.log.Log(events.StoreSuspicionCleared, "suspected", r.now().Sub(r.suspectedAt).Milliseconds())
}

// probe asks the store itself now and then, beside the calls that go through
// others, and ends the suspicion when it answers.
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
		if _, err := r.direct.Holders(ctx); settled(err) {
			r.trust()
		}
	}()
}
