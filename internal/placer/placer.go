package placer

import (
	"context"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/placement/pipeline"
	"github.com/pkg/errors"
)

// Times of placement.
const (
	// LeaseDuration is how long a worker keeps a task without a renewal.
	LeaseDuration = 30 * time.Second
	renewEvery    = LeaseDuration / 3
	// hungryEvery is how often workers are read while work waits for room.
	hungryEvery = time.Second
	// settleEvery is how often a worker is read while one of its tasks starts
	// or stops.
	settleEvery = 200 * time.Millisecond
	// retryEvery is how often a worker that failed a call is tried again.
	retryEvery = time.Second
	// hurryGap is between two visits where the next one is in a hurry.
	hurryGap    = time.Millisecond
	callTimeout = time.Second
	// startWindow bounds how long a start may be under way.
	startWindow = 2 * time.Second
	// holdLength bounds a gang's holds.
	holdLength = 2 * time.Second

	quietLimit = 10 * time.Second
)

// Options is what a Placer is built from.
type Options struct {
	roles.Base
	State            roles.StateReader
	Owners           roles.Owners
	Members          roles.Members
	Peers            roles.Peers
	Appender         roles.Appender
	SystemCredential logclient.Credential
	Workers          Workers
	// Policies says how each class is placed; nil is the built-in policies.
	Policies pipeline.Policies
}

// Placer is the role that runs jobs.
type Placer struct {
	o       Options
	racks   *racks
	homes   *homes
	metrics *placerMetrics

	calls   sync.WaitGroup
	mu      sync.Mutex
	stopped bool
}

var _ roles.Role = (*Placer)(nil)

// New returns a Placer that does nothing before Start. It registers its
// methods with Peers.
func New(o Options) *Placer {
	if o.Policies == nil {
		o.Policies = pipeline.DefaultPolicies()
	}
	p := &Placer{o: o, metrics: newMetrics(o.Metrics)}
	p.racks = newRacks(p)
	p.homes = newHomes(p)
	o.Peers.Handle(methodSync, handler(p.racks.serveSync))
	o.Peers.Handle(methodPlace, handler(p.racks.servePlace))
	o.Peers.Handle(methodSettle, handler(p.racks.serveSettle))
	o.Peers.Handle(methodQuote, handler(p.racks.serveQuote))
	o.Peers.Handle(methodLeave, handler(p.homes.serveLeave))
	o.Peers.Handle(methodSlots, handler(p.racks.serveSlots))
	o.Peers.Handle(methodPromise, handler(p.racks.servePromise))
	return p
}

// Start begins both duties.
func (p *Placer) Start(context.Context) error {
	p.o.Duties.Go("placer.racks", quietLimit, p.racks.run)
	p.o.Duties.Go("placer.homes", quietLimit, p.homes.run)
	return nil
}

// Stop waits for the calls under way, at most until ctx ends. Running tasks
// keep their leases and are found by the next owner.
func (p *Placer) Stop(ctx context.Context) error {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	done := make(chan struct{})
	go func() { p.calls.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "placer: calls under way")
	}
}

// async runs one bounded call beside the duties, unless the role has stopped.
// Its context ends with the duties or after limit.
func (p *Placer) async(limit time.Duration, f func(ctx context.Context)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	p.calls.Add(1)
	go func() {
		defer p.calls.Done()
		ctx, cancel := context.WithTimeout(p.o.Duties.Context(), limit)
		defer cancel()
		f(ctx)
	}()
}

// call sends a request to another daemon, or handles it here.
func call[Q, R any](ctx context.Context, p *Placer, daemon, method string, local func(context.Context, Q) (R, error), q Q) (R, error) {
	if daemon == p.o.Self.Name {
		return local(ctx, q)
	}
	var r R
	err := p.o.Peers.Call(ctx, daemon, method, q, &r)
	return r, err
}

func handler[Q, R any](f func(context.Context, Q) (R, error)) roles.PeerHandler {
	return roles.Typed("bad_request", func(ctx context.Context, _ string, q Q) (any, error) { return f(ctx, q) })
}
