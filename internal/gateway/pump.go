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

// pathTime is the time set aside for the network between a daemon and a
// backend server of another region, both ways.
const pathTime = 30 * time.Millisecond

// promptTimeout bounds a prompt to another daemon.
const promptTimeout = 200 * time.Millisecond

func (g grant) error() error {
	if g.err == nil {
		return nil
	}
	return g.err
}

func (c *call) refuse(reason verdict.Reason, retryAfter time.Duration, format string, args ...any) {
	c.granted <- grant{err: verdict.New(verdict.NotRun, reason, format, args...).WithRetryAfter(retryAfter)}
}

// arrive admits a call to its pool's queue or refuses it.
func (d *dispatcher) arrive(c *call) {
	now := d.o.Now()
	p, ok := d.pools[c.entry.Document.Requests.Pool]
	if !ok || p.slots == 0 {
		c.refuse(ReasonNoSlot, time.Second, "pool %q has no backend server", c.entry.Document.Requests.Pool)
		return
	}
	prediction := d.predict(c)
	prediction.Class = p.queue.EffectiveClass(prediction.Class, c.entry.Team, c.account())
	latest := c.request.Deadline.Add(-prediction.P50)
	if c.attempts == 0 {
		decision, ok := d.admit(p, c, prediction, now)
		if !ok {
			return
		}
		latest = decision.LatestStart
	}
	d.push(p, c, prediction, latest, now)
	// Free slots are used before the next arrival is judged by the queue.
	d.pump(p, now)
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

// admit checks limits, the length of the queue and the deadline. It refuses
// the call where it returns false.
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
	slots := p.slotsNow(now)
	class := prediction.Class
	usable := float64(p.usable(daemons, now))
	if class == estimate.Long {
		usable = max(1, usable-float64(slots.ShortReserve))
	}
	decision := admission.Decide(
		admission.Request{Prediction: prediction, Deadline: c.request.Deadline, NetworkTime: pathTime},
		admission.State{
			Load:  p.queue.Load(class, c.entry.Team, c.weight(), c.account()),
			Slots: usable, Idle: slots.Free > 0 && p.queue.Queued(class) == 0,
		}, admission.Options{}, now)
	if !decision.Admit {
		c.refuse(decision.Reason, decision.RetryAfter, "%d calls wait", p.queue.Len())
		return decision, false
	}
	if most := requests.MaxQueued; most > 0 && p.queued[c.request.Service] >= most {
		c.refuse(ReasonQueueFull, max(decision.Wait, minRetryAfter), "%d calls of %s wait", most, c.request.Service)
		return decision, false
	}
	return decision, true
}

// minRetryAfter is the shortest advice for a queue that is full.
const minRetryAfter = 100 * time.Millisecond

// account is what competes with other callers of the team.
func (c *call) account() string { return fairqueue.Account(c.request.Caller) }

func (c *call) weight() int { return c.entry.Document.Quota.Weight }

// push puts a call into the queue.
func (d *dispatcher) push(p *pool, c *call, prediction estimate.Prediction, latest, now time.Time) {
	c.expects = prediction.Mean
	h, err := p.queue.Push(fairqueue.Request{
		Team: c.entry.Team, Weight: c.weight(), Caller: c.account(),
		Class: prediction.Class, Cost: prediction.Mean, LatestStart: latest,
	}, c, now)
	if err != nil {
		c.refuse(ReasonQueueFull, fullRetryAfter, "%v", err)
		return
	}
	c.handle, c.queued = h, true
	p.queued[c.request.Service]++
}

// left notes that a call is no longer in the queue.
func (p *pool) left(c *call) {
	c.queued = false
	p.queued[c.request.Service]--
	if p.queued[c.request.Service] == 0 {
		delete(p.queued, c.request.Service)
	}
}

// pump refuses calls that can no longer be answered in time, and gives slots
// to those that are next.
func (d *dispatcher) pump(p *pool, now time.Time) {
	for {
		item, ok := p.queue.Expired(now)
		if !ok {
			break
		}
		p.left(item.Value)
		item.Value.refuse(ReasonDeadlineExceeded, minRetryAfter, "no slot in time")
	}
	p.observe(now)
	for p.queue.Len() > 0 && d.start(p, now) {
	}
}

// avoided says which backend servers get no work because they refused their
// last connection. Where all did, all are tried, so that callers hear of it at
// once.
func (d *dispatcher) avoided(p *pool) func(string) bool {
	for name := range p.known {
		if !d.watch.isLeaving(name) && !d.isLost(name) {
			return d.isLost
		}
	}
	return func(string) bool { return false }
}

// start gives a slot to the call that is next and reports whether it did.
func (d *dispatcher) start(p *pool, now time.Time) bool {
	slots := p.collect(d.watch, d.avoided(p), now)
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
	p.left(c)
	backend = p.chooseBut(c.avoid, backend, class, slots.ShortReserve, now)
	lent, ok := p.holder.Acquire(backend, now)
	vm, known := d.watch.vm(backend)
	if !ok || !known {
		p.queue.Cancel(item.Handle)
		c.refuse(ReasonNoSlot, minRetryAfter, "backend server %s is gone", backend)
		return true
	}
	p.balancer.Started(backend)
	p.running[item.Request.Class]++
	d.metrics.waitSeconds.Update(item.Waited.Seconds())
	c.granted <- grant{slot: &slot{
		pool: p, credit: lent, vm: vm, class: item.Request.Class, handle: item.Handle,
		caller: c.request.Caller, expects: c.expects,
	}}
	return true
}

// askOwners asks the owners of the pool's shares for the slots it needs.
func (d *dispatcher) askOwners(p *pool, now time.Time) {
	p.holder.SetDemand(p.demand(d.avoided(p), now))
	for _, ask := range p.holder.Requests(now) {
		part := parsePart(ask.Share)
		owner, ok := d.o.Owners.Owner(part.Share)
		switch {
		case !ok:
			p.holder.RequestFailed(ask.Share, ask.Sequence)
		case owner.Name == d.o.Self.Name:
			answer, err := d.lender.serve(creditAsk{part, ask})
			answered{p, ask, answer, err}.apply(d)
		default:
			d.spawn(func(ctx context.Context) { d.askRemote(ctx, p, owner.Name, creditAsk{part, ask}) })
		}
	}
	if p.queue.Len() > 0 {
		d.pump(p, now)
	}
}

func (d *dispatcher) askRemote(ctx context.Context, p *pool, daemon string, a creditAsk) {
	callCtx, cancel := context.WithTimeout(ctx, credit.DefaultRequestTimeout)
	defer cancel()
	var answer credit.Response
	err := d.o.Peers.Call(callCtx, daemon, methodCreditAsk, a, &answer)
	d.events.Push(ctx, answered{p, a.Ask, answer, err})
}

// answered is the outcome of an ask.
type answered struct {
	pool   *pool
	ask    credit.Request
	answer credit.Response
	err    error
}

func (e answered) apply(d *dispatcher) {
	if e.err != nil {
		e.pool.holder.RequestFailed(e.ask.Share, e.ask.Sequence)
		return
	}
	e.pool.holder.Accept(e.answer, d.o.Now())
}

// sendPrompt tells a daemon to ask again. A prompt that is lost costs time
// only.
func (d *dispatcher) sendPrompt(daemon string, part poolShare) {
	if daemon == d.o.Self.Name {
		d.prompted(part)
		return
	}
	d.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, promptTimeout)
		defer cancel()
		_ = d.o.Peers.Call(ctx, daemon, methodCreditPrompt, part, nil)
	})
}

// cancelled is a call whose caller has gone.
type cancelled struct{ call *call }

func (e cancelled) apply(d *dispatcher) {
	if !e.call.queued {
		return
	}
	p := d.pools[e.call.entry.Document.Requests.Pool]
	p.queue.Cancel(e.call.handle)
	p.left(e.call)
	e.call.refuse(ReasonCallerDisconnected, 0, "the caller has gone")
}

// giveBack returns all slots to their owners, when the daemon stops. What it
// fails to return is settled by the owners, from the servers' own word.
func (d *dispatcher) giveBack(ctx context.Context) error {
	for _, vm := range d.watch.list() {
		part := poolShare{Share: shareOf(vm), Pool: vm.Pool}
		owner, ok := d.o.Owners.Owner(part.Share)
		if !ok || owner.Name == d.o.Self.Name || ctx.Err() != nil {
			continue
		}
		ask := credit.Request{
			Share: part.String(), Holder: d.o.Self.Name, Incarnation: d.o.Self.Incarnation, Sequence: math.MaxUint64,
		}
		callCtx, cancel := context.WithTimeout(ctx, credit.DefaultRequestTimeout)
		_ = d.o.Peers.Call(callCtx, owner.Name, methodCreditAsk, creditAsk{part, ask}, nil)
		cancel()
	}
	return verdict.Wrap(ctx.Err(), verdict.NotRun, ReasonStopping)
}
