package gateway

import (
	"context"
	"math"
	"time"

	"github.com/currantwinch/currantwinch/admission"
	"github.com/currantwinch/currantwinch/credit"
	"github.com/currantwinch/currantwinch/estimate"
	"github.com/currantwinch/currantwinch/fairqueue"
	"github.com/currantwinch/currantwinch/limit"
	"github.com/currantwinch/currantwinch/verdict"
)

// networkTime is the round-trip time reserved for the network between a daemon and
// a backend server of another region.
const networkTime = 30 * time.Millisecond

// refreshSignalTimeout bounds the call that signals a holder to request slots
// again.
const refreshSignalTimeout = 200 * time.Millisecond

func (g grant) error() error {
	if g.err == nil {
		return nil
	}
	return g.err
}

func (c *call) refuse(reason verdict.Reason, retryAfter time.Duration, format string, args ...any) {
	c.grants <- grant{err: verdict.New(verdict.NotRun, reason, format, args...).WithRetryAfter(retryAfter)}
}

// handleArrival admits a call to its pool's queue or refuses it.
func (d *dispatcher) handleArrival(c *call) {
	now := d.o.Now()
	p, ok := d.pools[c.entry.Document.Requests.Pool]
	if !ok || p.slots == 0 {
		c.refuse(ReasonNoSlot, time.Second, "pool %q has no backend server", c.entry.Document.Requests.Pool)
		return
	}
	prediction := d.predict(c)
	prediction.Class = p.queue.EffectiveClass(prediction.Class, c.entry.Team, c.account())
	latestStart := c.request.Deadline.Add(-prediction.P50)
	if c.attempts == 0 {
		decision, ok := d.admit(p, c, prediction, now)
		if !ok {
			return
		}
		latestStart = decision.LatestStart
	}
	d.push(p, c, prediction, latestStart, now)
	// Use free slots before the queue decides on the admission of the next arrival.
	d.serveQueue(p, now)
}

func (d *dispatcher) predict(c *call) estimate.Prediction {
	if c.attempts == 0 {
		d.estimator.Declare(c.request.Service, c.request.Kind, c.kind.DeclaredRunTime.Std())
	}
	return d.estimator.Predict(c.estimateKey())
}

func (c *call) estimateKey() estimate.Key {
	return estimate.Key{Service: c.request.Service, Kind: c.request.Kind, Caller: c.request.Caller}
}

// admit checks the caller's rate limit, the deadline and the length of the queue.
// It has refused the call if it returns false.
func (d *dispatcher) admit(p *pool, c *call, prediction estimate.Prediction, now time.Time) (admission.Decision, bool) {
	requests := c.entry.Document.Requests
	daemons := len(d.o.Members.Live())
	check := limit.Check{
		Key:  limit.Key{Scope: limit.ScopeCaller, Service: c.request.Service, Name: c.request.Caller},
		Rate: limit.Rate{PerSecond: requests.CallerRate, Burst: requests.CallerBurst}.PerDaemon(daemons),
	}
	if wait, ok := d.rates.Allow(now, check); !ok {
		c.refuse(ReasonRateLimited, wait, "caller %q sends too fast", c.request.Caller)
		return admission.Decision{}, false
	}
	slots := p.queueSlots(now)
	class := prediction.Class
	usable := float64(p.usableSlots(daemons, now))
	if class == estimate.Long {
		usable = max(1, usable-float64(slots.ShortReserve))
	}
	decision := admission.Decide(
		admission.Request{Prediction: prediction, Deadline: c.request.Deadline, NetworkTime: networkTime},
		admission.State{
			Load:  p.queue.Load(class, c.entry.Team, c.weight(), c.account()),
			Slots: usable, Idle: slots.Free > 0 && p.queue.Queued(class) == 0,
		}, admission.Options{}, now)
	if !decision.Admit {
		c.refuse(decision.Reason, decision.RetryAfter, "%d calls wait", p.queue.Len())
		return decision, false
	}
	if maxQueued := requests.MaxQueued; maxQueued > 0 && p.queuedByService[c.request.Service] >= maxQueued {
		c.refuse(ReasonQueueFull, max(decision.Wait, minRetryAfter), "%d calls of %s wait", maxQueued, c.request.Service)
		return decision, false
	}
	return decision, true
}

// minRetryAfter is the shortest Retry-After of a call that is refused because of
// the queue.
const minRetryAfter = 100 * time.Millisecond

// account is the account that shares the team's slots fairly with other callers.
func (c *call) account() string { return fairqueue.Account(c.request.Caller) }

func (c *call) weight() int { return c.entry.Document.Quota.Weight }

// push adds a call to the pool's queue, or refuses it if the queue is full.
func (d *dispatcher) push(p *pool, c *call, prediction estimate.Prediction, latestStart, now time.Time) {
	c.expectedRunTime = prediction.Mean
	h, err := p.queue.Push(fairqueue.Request{
		Team: c.entry.Team, Weight: c.weight(), Caller: c.account(),
		Class: prediction.Class, Cost: prediction.Mean, LatestStart: latestStart,
	}, c, now)
	if err != nil {
		c.refuse(ReasonQueueFull, overloadRetryAfter, "%v", err)
		return
	}
	c.handle, c.queued = h, true
	p.queuedByService[c.request.Service]++
}

// removeQueued updates the counts for a call that has left the queue.
func (p *pool) removeQueued(c *call) {
	c.queued = false
	p.queuedByService[c.request.Service]--
	if p.queuedByService[c.request.Service] == 0 {
		delete(p.queuedByService, c.request.Service)
	}
}

// serveQueue refuses queued calls that can no longer meet their deadline, and
// assigns free slots to the next calls.
func (d *dispatcher) serveQueue(p *pool, now time.Time) {
	for {
		item, ok := p.queue.Expired(now)
		if !ok {
			break
		}
		p.removeQueued(item.Value)
		item.Value.refuse(ReasonDeadlineExceeded, minRetryAfter, "no slot in time")
	}
	p.observeLoad(now)
	for p.queue.Len() > 0 && d.startNext(p, now) {
	}
}

// unreachableFilter returns a function that reports which backend servers get no
// work because they refused their last connection. If all of the pool did, all are
// tried, so that callers get the error at once.
func (d *dispatcher) unreachableFilter(p *pool) func(string) bool {
	for name := range p.backends {
		if !d.registry.isLeaving(name) && !d.isUnreachable(name) {
			return d.isUnreachable
		}
	}
	return func(string) bool { return false }
}

// startNext assigns a slot to the next call and reports whether it took a call from
// the queue.
func (d *dispatcher) startNext(p *pool, now time.Time) bool {
	slots := p.collectCandidates(d.registry, d.unreachableFilter(p), now)
	class, ok := p.queue.Next(slots)
	if !ok {
		return false
	}
	backend, ok := p.choose(class, slots.ShortReserve, now)
	if !ok {
		return false
	}
	item, ok := p.queue.Pop(slots, now)
	if !ok {
		return false
	}
	c := item.Value
	p.removeQueued(c)
	backend = p.chooseExcept(c.failedBackend, backend, class, slots.ShortReserve, now)
	leased, ok := p.holder.Acquire(backend, now)
	vm, known := d.registry.vm(backend)
	if !ok || !known {
		p.queue.Cancel(item.Handle)
		c.refuse(ReasonNoSlot, minRetryAfter, "backend server %s is gone", backend)
		return true
	}
	p.balancer.Started(backend)
	p.running[item.Request.Class]++
	d.metrics.waitSeconds.Update(item.Waited.Seconds())
	c.grants <- grant{slot: &slot{
		pool: p, credit: leased, vm: vm, class: item.Request.Class, handle: item.Handle,
		caller: c.request.Caller, expectedRunTime: c.expectedRunTime,
	}}
	return true
}

// requestSlots requests the slots that the pool needs from the owners of its
// shares.
func (d *dispatcher) requestSlots(p *pool, now time.Time) {
	p.holder.SetDemand(p.demand(d.unreachableFilter(p), now))
	for _, request := range p.holder.Requests(now) {
		share := parsePoolShare(request.Share)
		owner, ok := d.o.Owners.Owner(share.Share)
		switch {
		case !ok:
			p.holder.RequestFailed(request.Share, request.Sequence)
		case owner.Name == d.o.Self.Name:
			response, err := d.slotOwner.serve(creditRequest{share, request})
			slotResponse{p, request, response, err}.apply(d)
		default:
			d.spawn(func(ctx context.Context) { d.requestRemoteSlots(ctx, p, owner.Name, creditRequest{share, request}) })
		}
	}
	if p.queue.Len() > 0 {
		d.serveQueue(p, now)
	}
}

func (d *dispatcher) requestRemoteSlots(ctx context.Context, p *pool, daemon string, request creditRequest) {
	callCtx, cancel := context.WithTimeout(ctx, credit.DefaultRequestTimeout)
	defer cancel()
	var response credit.Response
	err := d.o.Peers.Call(callCtx, daemon, methodCreditRequest, request, &response)
	d.events.Push(ctx, slotResponse{p, request.Request, response, err})
}

// slotResponse is the outcome of a request for slots.
type slotResponse struct {
	pool     *pool
	request  credit.Request
	response credit.Response
	err      error
}

func (e slotResponse) apply(d *dispatcher) {
	if e.err != nil {
		e.pool.holder.RequestFailed(e.request.Share, e.request.Sequence)
		return
	}
	e.pool.holder.Accept(e.response, d.o.Now())
}

// sendRefreshSignal tells a daemon to request slots again. It is best effort: the
// daemon requests them anyway within credit.DefaultRefreshInterval.
func (d *dispatcher) sendRefreshSignal(daemon string, share poolShare) {
	if daemon == d.o.Self.Name {
		d.receiveRefreshSignal(share)
		return
	}
	d.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, refreshSignalTimeout)
		defer cancel()
		_ = d.o.Peers.Call(ctx, daemon, methodCreditRefresh, share, nil)
	})
}

// callCancelled reports that a call's caller has disconnected.
type callCancelled struct{ call *call }

func (e callCancelled) apply(d *dispatcher) {
	if !e.call.queued {
		return
	}
	p := d.pools[e.call.entry.Document.Requests.Pool]
	p.queue.Cancel(e.call.handle)
	p.removeQueued(e.call)
	e.call.refuse(ReasonCallerDisconnected, 0, "the caller has gone")
}

// returnSlots returns all slots to their owners when the daemon stops. An owner
// that it does not reach learns from the backend servers' status that the slots
// are free.
func (d *dispatcher) returnSlots(ctx context.Context) error {
	for _, vm := range d.registry.all() {
		share := poolShare{Share: shareOf(vm), Pool: vm.Pool}
		owner, ok := d.o.Owners.Owner(share.Share)
		if !ok || owner.Name == d.o.Self.Name || ctx.Err() != nil {
			continue
		}
		request := credit.Request{
			Share: share.String(), Holder: d.o.Self.Name, Incarnation: d.o.Self.Incarnation, Sequence: math.MaxUint64,
		}
		callCtx, cancel := context.WithTimeout(ctx, credit.DefaultRequestTimeout)
		_ = d.o.Peers.Call(callCtx, owner.Name, methodCreditRequest, creditRequest{share, request}, nil)
		cancel()
	}
	return verdict.Wrap(ctx.Err(), verdict.NotRun, ReasonStopping)
}
