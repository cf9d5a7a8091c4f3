// Package placer schedules and runs jobs. It has two duties. The allocator
// keeps the allocation state of the racks that this daemon owns and runs
// attempts on their workers under leases. The scheduler places the tasks of
// jobs and sees each job through to its end. A job's home is the daemon that
// owns the job's key share; the scheduler of the home reaches the owners of
// racks by calls between daemons. Ownership of a share is a lease, held as a
// roles.Lease. Terms fence off daemons that have lost a share. The daemon
// starts the package's Placer as a role, and the operator API reads its status.
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

// Intervals and time limits of placement.
const (
	// LeaseDuration is how long a worker keeps a task running without a
	// renewal.
	LeaseDuration      = 30 * time.Second
	leaseRenewInterval = LeaseDuration / 3
	// backlogPollInterval is how often workers are polled while jobs wait for
	// capacity.
	backlogPollInterval = time.Second
	// transitionPollInterval is how often a worker is polled while one of its
	// tasks starts or stops.
	transitionPollInterval = 200 * time.Millisecond
	// failedPollInterval is how often a worker is polled after a failed poll.
	failedPollInterval = time.Second
	// minPollInterval is the delay before the next poll of a worker for which a
	// poll was requested during the last one, or which has not been read yet.
	minPollInterval   = time.Millisecond
	workerCallTimeout = time.Second
	// startValidity bounds how long after it is sent a start request may take
	// effect.
	startValidity = 2 * time.Second
	// reservationDuration is how long a gang's reservations last.
	reservationDuration = 2 * time.Second

	// dutyStallTimeout is the longest time between two turns of a healthy duty.
	dutyStallTimeout = 10 * time.Second
)

// Options configures a Placer.
type Options struct {
	roles.Base
	State            roles.StateReader
	Owners           roles.Owners
	Members          roles.Members
	Peers            roles.Peers
	Appender         roles.Appender
	SystemCredential logclient.Credential
	Workers          Workers
	// Policies is the placement policy of each class. The built-in policies are
	// used if it is nil.
	Policies pipeline.Policies
}

// Placer is the role that schedules and runs jobs.
type Placer struct {
	o         Options
	allocator *allocator
	scheduler *scheduler
	metrics   *placerMetrics

	calls   sync.WaitGroup
	mu      sync.Mutex
	stopped bool
}

var _ roles.Role = (*Placer)(nil)

// New returns a Placer that does nothing before Start. It registers its methods
// with Peers.
func New(o Options) *Placer {
	if o.Policies == nil {
		o.Policies = pipeline.DefaultPolicies()
	}
	p := &Placer{o: o, metrics: newMetrics(o.Metrics)}
	p.allocator = newAllocator(p)
	p.scheduler = newScheduler(p)
	o.Peers.Handle(methodSync, handler(p.allocator.serveSync))
	o.Peers.Handle(methodPlace, handler(p.allocator.servePlace))
	o.Peers.Handle(methodTerminate, handler(p.allocator.serveTerminate))
	o.Peers.Handle(methodPreemptionCost, handler(p.allocator.servePreemptionCost))
	o.Peers.Handle(methodEvict, handler(p.scheduler.serveEvict))
	o.Peers.Handle(methodSlots, handler(p.allocator.serveSlots))
	o.Peers.Handle(methodNominate, handler(p.allocator.serveNominate))
	return p
}

// Start starts the allocator and scheduler duties.
func (p *Placer) Start(context.Context) error {
	p.o.Duties.Go("placer.racks", dutyStallTimeout, p.allocator.run)
	p.o.Duties.Go("placer.homes", dutyStallTimeout, p.scheduler.run)
	return nil
}

// Stop waits for the calls in flight, at most until ctx ends. Running tasks
// keep their leases and are adopted by the next owner.
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
		return errors.Wrap(ctx.Err(), "placer: stop: calls still in flight")
	}
}

// async runs f in a goroutine of its own, unless the role has stopped. Its
// context ends with the duties or after limit.
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

// call sends a request to another daemon, or handles it locally if this is the
// daemon.
func call[Q, R any](ctx context.Context, p *Placer, daemon, method string, local func(context.Context, Q) (R, error), q Q) (R, error) {
	if daemon == p.o.Self.Name {
		return local(ctx, q)
	}
	var r R
	err := p.o.Peers.Call(ctx, daemon, method, q, &r)
	return r, err
}

func handler[Q, R any](f func(context.Context, Q) (R, error)) roles.PeerHandler {
	return roles.TypedHandler("bad_request", func(ctx context.Context, _ string, q Q) (any, error) { return f(ctx, q) })
}
