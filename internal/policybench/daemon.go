package policybench

import (
	"time"

	"github.com/currantwinch/currantwinch/admission"
	"github.com/currantwinch/currantwinch/credit"
	"github.com/currantwinch/currantwinch/dispatch"
	"github.com/currantwinch/currantwinch/estimate"
	"github.com/currantwinch/currantwinch/fairqueue"
	"github.com/currantwinch/currantwinch/limit"
)

// daemon is the request path of one entry daemon.
type daemon struct {
	cell      *cell
	index     int
	region    int
	estimator *estimate.Estimator
	queue     *fairqueue.Queue[*outcome]
	reserve   fairqueue.Reserve
	holder    *credit.Holder
	balancer  *dispatch.Balancer
	hedges    *limit.Budget
	// lateRequests are the requests to hedge, oldest first.
	lateRequests []*outcome
	// running counts the requests that occupy slots, by class.
	running    [2]int
	free       []credit.FreeSlots
	candidates []dispatch.Candidate
	crashed    bool
	crashedAt  time.Time
}

// hedgeFactor is the multiple of the predicted 95th percentile of the run time
// after which a request is hedged.
const hedgeFactor = 2

func newDaemon(c *cell, index int) *daemon {
	d := &daemon{
		cell:      c,
		index:     index,
		region:    index / (daemons / regions),
		estimator: estimate.New(estimate.Options{}),
		queue:     fairqueue.New[*outcome](fairqueue.Options{MaxQueued: 1 << 16, OveruseBurst: c.policy.overuseBurst}),
		balancer:  dispatch.New(dispatch.Options{}),
		hedges:    limit.DefaultHedgeBudget(),
	}
	d.reserve.Options = c.policy.reserve
	name := "d" + string(rune('0'+index))
	c.names[name] = index
	d.holder = credit.NewHolder(credit.HolderOptions{Name: name, Incarnation: "1", Region: regionName(d.region), RefreshInterval: c.policy.refresh})
	d.estimator.Declare("service", "check", checkRunTime)
	d.estimator.Declare("service", "review", reviewRunTime)
	var shares []credit.Share
	for _, s := range c.shares {
		shares = append(shares, s.share)
		for _, b := range s.backends {
			d.balancer.Add(b.Name, b.Slots)
		}
	}
	d.holder.SetShares(shares)
	return d
}

func (d *daemon) tick() {
	if d.crashed {
		return
	}
	d.dispatchQueued()
	d.cell.after(tickInterval, d.tick)
}

// receive admits or refuses a request.
func (d *daemon) receive(s *outcome) {
	p := d.estimator.Predict(estimate.Key{Service: "service", Kind: s.kind, Caller: s.caller})
	if d.cell.policy.singleClass {
		p.Class = estimate.Short
	}
	p.Class = d.queue.EffectiveClass(p.Class, s.team, fairqueue.Account(s.caller))
	decision := d.admit(s, p)
	if !decision.Admit {
		d.refuse(s, decision.RetryAfter)
		return
	}
	_, err := d.queue.Push(fairqueue.Request{
		Team:        s.team,
		Caller:      fairqueue.Account(s.caller),
		Class:       p.Class,
		Cost:        p.Mean,
		LatestStart: decision.LatestStart,
	}, s, d.cell.now)
	if err != nil {
		d.refuse(s, time.Second)
		return
	}
	d.dispatchQueued()
}

// refuse refuses a request as not run. Its caller may retry, depending on the
// retry mode, if the retry comes before the deadline.
func (d *daemon) refuse(s *outcome, retryAfter time.Duration) {
	c := d.cell
	s.refused = true
	again := retryAfter
	if c.policy.retries == retryFixed {
		again = fixedRetryDelay
	}
	age := c.now.Sub(epoch) - s.at + again
	if c.policy.retries == retryNever || retryAfter == 0 || age >= s.deadline {
		return
	}
	c.after(again, func() {
		s.refused = false
		c.route(s)
	})
}

func (d *daemon) admit(s *outcome, p estimate.Prediction) admission.Decision {
	if d.cell.policy.admitAll {
		return admission.Decision{Admit: true}
	}
	held, busy := d.holder.Held(d.cell.now)
	slots := held
	if p.Class == estimate.Long {
		slots -= d.shortReserve(held)
	}
	state := admission.State{
		Load:  d.queue.Load(p.Class, s.team, 1, fairqueue.Account(s.caller)),
		Slots: float64(slots),
		Idle:  busy < held && d.queue.Queued(p.Class) == 0,
	}
	request := admission.Request{
		Prediction:  p,
		Deadline:    epoch.Add(s.at + s.deadline),
		NetworkTime: 2 * oneWayLocal,
	}
	return admission.Decide(request, state, d.cell.policy.admission, d.cell.now)
}

func (d *daemon) shortReserve(held int) int {
	if d.cell.policy.noShortReserve {
		return 0
	}
	return d.reserve.Slots(held)
}

// dispatchQueued marks expired requests, starts requests while there are slots for
// them, and requests credits.
func (d *daemon) dispatchQueued() {
	if d.crashed {
		return
	}
	now := d.cell.now
	for {
		item, ok := d.queue.Expired(now)
		if !ok {
			break
		}
		item.Value.expired = true
	}
	d.reserve.Observe(d.running[estimate.Short]+d.queue.Queued(estimate.Short), now)
	d.sendDueHedges()
	for d.startNext() {
	}
	d.reserve.ObserveLong(d.queue.Queued(estimate.Long) > 0, now)
	d.requestCredits()
}

// startNext starts the next queued request if a slot is available to it, and
// reports whether it did.
func (d *daemon) startNext() bool {
	now := d.cell.now
	if d.queue.Len() == 0 {
		return false
	}
	slots := d.slots()
	class, ok := d.queue.Next(slots)
	if !ok {
		return false
	}
	backend, ok := d.chooseBackend(class, slots.ShortReserve-d.running[estimate.Short])
	if !ok {
		return false
	}
	slot, ok := d.holder.Acquire(backend, now)
	if !ok {
		return false
	}
	item, _ := d.queue.Pop(slots, now)
	d.start(item, slot)
	return true
}

// slots returns the slots that the daemon may use now, and collects the candidate
// backend servers.
func (d *daemon) slots() fairqueue.Slots {
	d.free = d.holder.AppendFree(d.free[:0], d.cell.now)
	d.candidates = d.candidates[:0]
	held, _ := d.holder.Held(d.cell.now)
	slots := fairqueue.Slots{
		Total:        held,
		Long:         d.running[estimate.Long],
		ShortReserve: d.shortReserve(held),
		LongMinimum:  int(d.cell.policy.longMinimum * float64(held)),
	}
	for _, f := range d.free {
		slots.Free += f.Slots
		d.candidates = append(d.candidates, dispatch.Candidate{
			Backend: f.Backend,
			Free:    f.Slots,
			Held:    f.Held,
			Local:   f.Local || d.cell.policy.ignoreLocality,
		})
	}
	return slots
}

// chooseBackend returns the best backend server for a class of work. needed is the
// number of local slots that short work may need soon, which long work leaves free
// where it can.
func (d *daemon) chooseBackend(class estimate.Class, needed int) (string, bool) {
	choose := d.balancer.Choose
	if class == estimate.Long && !d.cell.policy.longTakesLocal {
		choose = func(c []dispatch.Candidate, now time.Time) (int, bool) {
			return d.balancer.ChooseLong(c, needed, now)
		}
	}
	i, ok := choose(d.candidates, d.cell.now)
	if !ok {
		return "", false
	}
	return d.candidates[i].Backend, true
}

// start runs a request on a backend server and records its response.
func (d *daemon) start(item fairqueue.Item[*outcome], slot credit.Slot) {
	c, s := d.cell, item.Value
	class := item.Request.Class
	d.running[class]++
	d.balancer.Started(slot.Backend)
	backend := c.names[slot.Backend]
	path := oneWay(d.region, regionOfBackend(backend))
	if d.region != regionOfBackend(backend) {
		s.remote = true
		c.result.crossRegionBodyBytes += requestBytes + answerBytes
	}
	s.started = true
	s.wait = c.now.Sub(epoch) - s.at + path
	c.execute(backend, path, s.runTime, func() {
		if d.crashed {
			return
		}
		s.recordResponse(c)
		d.finish(item, slot, class, s.runTime)
	})
	if c.policy.hedge && class == estimate.Short {
		d.scheduleHedge(s)
	}
}

// execute runs a request on a backend server and calls done when the response
// arrives.
func (c *cell) execute(backend int, path, runTime time.Duration, done func()) {
	c.after(path, func() { c.beginRun(backend) })
	c.after(path+runTime, func() { c.running[backend]-- })
	c.after(path+runTime+path, done)
}

// recordResponse records the first response to a request and ignores later ones.
func (s *outcome) recordResponse(c *cell) {
	if !s.done {
		s.done = true
		s.responseTime = c.now.Sub(epoch) - s.at
	}
}

// scheduleHedge hedges a request if it has no response after hedgeFactor times its
// predicted run time.
func (d *daemon) scheduleHedge(s *outcome) {
	d.hedges.RecordAttempt()
	p := d.estimator.Predict(estimate.Key{Service: "service", Kind: s.kind, Caller: s.caller})
	d.cell.after(hedgeFactor*p.P95, func() {
		if s.done || d.crashed {
			return
		}
		if !d.cell.policy.hedgeBeforeQueue {
			if d.queue.Len() == 0 {
				d.hedge(s)
			}
			return
		}
		d.lateRequests = append(d.lateRequests, s)
		d.dispatchQueued()
	})
}

// sendDueHedges hedges the late requests before queued requests start, while there
// are free slots and budget.
func (d *daemon) sendDueHedges() {
	for len(d.lateRequests) > 0 {
		s := d.lateRequests[0]
		if !s.done && !d.hedge(s) {
			return
		}
		d.lateRequests = d.lateRequests[1:]
	}
}

// hedge sends a request a second time if a slot is free and the budget allows it,
// and reports whether it did.
func (d *daemon) hedge(s *outcome) bool {
	c := d.cell
	d.slots()
	name, ok := d.chooseBackend(estimate.Short, 0)
	if !ok || !d.hedges.TrySpend() {
		return false
	}
	slot, ok := d.holder.Acquire(name, c.now)
	if !ok {
		return false
	}
	c.result.hedges++
	d.running[estimate.Short]++
	backend := c.names[name]
	runTime := s.hedgeRunTime
	if c.policy.hedgeSameRunTime {
		runTime = s.runTime
	}
	c.execute(backend, oneWay(d.region, regionOfBackend(backend)), runTime, func() {
		s.recordResponse(c)
		d.running[estimate.Short]--
		d.holder.Release(slot)
		d.dispatchQueued()
	})
	return true
}

func (d *daemon) finish(item fairqueue.Item[*outcome], slot credit.Slot, class estimate.Class, used time.Duration) {
	s, now := item.Value, d.cell.now
	d.running[class]--
	d.holder.Release(slot)
	d.queue.Done(item.Handle, used)
	d.balancer.Finished(slot.Backend, dispatch.Result{
		Caller:          s.caller,
		RunTime:         used,
		ExpectedRunTime: item.Request.Cost,
	}, now)
	d.estimator.Observe(estimate.Key{Service: "service", Kind: s.kind, Caller: s.caller}, used, now)
	d.dispatchQueued()
}

// beginRun records that a backend server starts a request, and counts overcommits.
func (c *cell) beginRun(backend int) {
	c.running[backend]++
	if c.running[backend] > slotsPerBackend {
		c.result.overcommits++
	}
}

// requestCredits sends the credit requests that are due.
func (d *daemon) requestCredits() {
	if d.crashed {
		return
	}
	d.holder.SetDemand(d.demand())
	for _, request := range d.holder.Requests(d.cell.now) {
		d.cell.requestCredits(d, request)
	}
}

// demand returns the number of slots that the daemon can use. A static partition
// reports no demand, so that each daemon gets an equal part.
func (d *daemon) demand() credit.Demand {
	if d.cell.policy.staticPartition {
		return credit.Demand{}
	}
	reserved := d.reserve.Target()
	if d.cell.policy.noShortReserve {
		reserved = 0
	}
	return credit.Demand{
		Short: max(d.running[estimate.Short]+d.queue.Queued(estimate.Short), reserved),
		Long:  d.running[estimate.Long] + d.queue.Queued(estimate.Long),
	}
}
