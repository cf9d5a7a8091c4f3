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

// daemon is one entry daemon's request path.
type daemon struct {
	cell      *cell
	index     int
	region    int
	estimator *estimate.Estimator
	queue     *fairqueue.Queue[*served]
	reserve   fairqueue.Reserve
	holder    *credit.Holder
	balancer  *dispatch.Balancer
	hedges    *limit.Budget
	// late are the requests to be sent a second time, oldest first.
	late []*served
	// runs counts the requests in slots by class.
	runs       [2]int
	free       []credit.FreeSlots
	candidates []dispatch.Candidate
	dead       bool
	died       time.Time
}

// hedgeFactor is how many times its expected worst run time a request may take
// before it is sent again.
const hedgeFactor = 2

func newDaemon(c *cell, index int) *daemon {
	d := &daemon{
		cell:      c,
		index:     index,
		region:    index / (daemons / regions),
		estimator: estimate.New(estimate.Options{}),
		queue:     fairqueue.New[*served](fairqueue.Options{MaxQueued: 1 << 16, OveruseBurst: c.policy.overuse}),
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
		shares = append(shares, s.info)
		for _, b := range s.backends {
			d.balancer.Add(b.Name, b.Slots)
		}
	}
	d.holder.SetShares(shares)
	return d
}

func (d *daemon) tick() {
	if d.dead {
		return
	}
	d.pump()
	d.cell.after(tickEvery, d.tick)
}

// receive admits or refuses a request.
func (d *daemon) receive(s *served) {
	p := d.estimator.Predict(estimate.Key{Service: "service", Kind: s.kind, Caller: s.caller})
	if d.cell.policy.noClasses {
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
	d.pump()
}

// refuse answers a request as not run. Its caller may come back with it while
// its deadline allows.
func (d *daemon) refuse(s *served, retryAfter time.Duration) {
	c := d.cell
	s.refused = true
	again := retryAfter
	if c.policy.retries == retryNaive {
		again = naiveRetry
	}
	age := c.now.Sub(epoch) - s.at + again
	if c.policy.retries == retryNever || retryAfter == 0 || age >= s.deadline {
		return
	}
	c.after(again, func() {
		s.refused = false
		c.enter(s)
	})
}

func (d *daemon) admit(s *served, p estimate.Prediction) admission.Decision {
	if d.cell.policy.admitAll {
		return admission.Decision{Admit: true}
	}
	held, busy := d.holder.Held(d.cell.now)
	slots := held
	if p.Class == estimate.Long {
		slots -= d.reserved(held)
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

func (d *daemon) reserved(held int) int {
	if d.cell.policy.noReserve {
		return 0
	}
	return d.reserve.Slots(held)
}

// pump starts what may start, answers what has expired and asks for slots.
func (d *daemon) pump() {
	if d.dead {
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
	d.reserve.Observe(d.runs[estimate.Short]+d.queue.Queued(estimate.Short), now)
	d.hedgeLate()
	for d.startNext() {
	}
	d.reserve.ObserveLong(d.queue.Queued(estimate.Long) > 0, now)
	d.ask()
}

// startNext starts one request, if a slot and a request for it are there.
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
	backend, ok := d.choose(class, slots.ShortReserve-d.runs[estimate.Short])
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

// slots returns what may be used now, and collects the candidates.
func (d *daemon) slots() fairqueue.Slots {
	d.free = d.holder.AppendFree(d.free[:0], d.cell.now)
	d.candidates = d.candidates[:0]
	held, _ := d.holder.Held(d.cell.now)
	slots := fairqueue.Slots{
		Total:        held,
		Long:         d.runs[estimate.Long],
		ShortReserve: d.reserved(held),
		LongMinimum:  int(d.cell.policy.longMinimum * float64(held)),
	}
	for _, f := range d.free {
		slots.Free += f.Slots
		d.candidates = append(d.candidates, dispatch.Candidate{
			Backend: f.Backend,
			Free:    f.Slots,
			Held:    f.Held,
			Local:   f.Local || d.cell.policy.blind,
		})
	}
	return slots
}

// choose returns the best backend server for a class of work, where short work
// may soon need some more slots of the own region.
func (d *daemon) choose(class estimate.Class, needed int) (string, bool) {
	choose := d.balancer.Choose
	if class == estimate.Long && !d.cell.policy.anywhere {
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

// start runs a request on a backend server and takes its answer.
func (d *daemon) start(item fairqueue.Item[*served], slot credit.Slot) {
	c, s := d.cell, item.Value
	class := item.Request.Class
	d.runs[class]++
	d.balancer.Started(slot.Backend)
	backend := c.names[slot.Backend]
	path := oneWay(d.region, regionOfBackend(backend))
	if d.region != regionOfBackend(backend) {
		s.remote = true
		c.result.bodyBytes += requestBytes + answerBytes
	}
	s.started = true
	s.wait = c.now.Sub(epoch) - s.at + path
	c.execute(backend, path, s.runTime, func() {
		if d.dead {
			return
		}
		s.answer(c)
		d.finish(item, slot, class, s.runTime)
	})
	if c.policy.hedge && class == estimate.Short {
		d.hedgeLater(s)
	}
}

// execute runs a request on a backend server and calls done with its answer.
func (c *cell) execute(backend int, path, runTime time.Duration, done func()) {
	c.after(path, func() { c.begin(backend) })
	c.after(path+runTime, func() { c.running[backend]-- })
	c.after(path+runTime+path, done)
}

// answer takes the first answer to a request.
func (s *served) answer(c *cell) {
	if !s.done {
		s.done = true
		s.completion = c.now.Sub(epoch) - s.at
	}
}

// hedgeLater notes that a request is to be sent a second time if it is late.
func (d *daemon) hedgeLater(s *served) {
	d.hedges.RecordAttempt()
	p := d.estimator.Predict(estimate.Key{Service: "service", Kind: s.kind, Caller: s.caller})
	d.cell.after(hedgeFactor*p.P95, func() {
		if s.done || d.dead {
			return
		}
		if !d.cell.policy.hedgeFirst {
			if d.queue.Len() == 0 {
				d.hedge(s)
			}
			return
		}
		d.late = append(d.late, s)
		d.pump()
	})
}

// hedgeLate sends late requests a second time before anything that waits, as
// far as there are slots and budget.
func (d *daemon) hedgeLate() {
	for len(d.late) > 0 {
		s := d.late[0]
		if !s.done && !d.hedge(s) {
			return
		}
		d.late = d.late[1:]
	}
}

// hedge sends a request a second time, if a slot is free and the budget allows.
// It reports whether it did.
func (d *daemon) hedge(s *served) bool {
	c := d.cell
	d.slots()
	name, ok := d.choose(estimate.Short, 0)
	if !ok || !d.hedges.TrySpend() {
		return false
	}
	slot, ok := d.holder.Acquire(name, c.now)
	if !ok {
		return false
	}
	c.result.hedges++
	d.runs[estimate.Short]++
	backend := c.names[name]
	runTime := s.second
	if c.policy.intrinsic {
		runTime = s.runTime
	}
	c.execute(backend, oneWay(d.region, regionOfBackend(backend)), runTime, func() {
		s.answer(c)
		d.runs[estimate.Short]--
		d.holder.Release(slot)
		d.pump()
	})
	return true
}

func (d *daemon) finish(item fairqueue.Item[*served], slot credit.Slot, class estimate.Class, used time.Duration) {
	s, now := item.Value, d.cell.now
	d.runs[class]--
	d.holder.Release(slot)
	d.queue.Done(item.Handle, used)
	d.balancer.Finished(slot.Backend, dispatch.Result{
		Caller:          s.caller,
		RunTime:         used,
		ExpectedRunTime: item.Request.Cost,
	}, now)
	d.estimator.Observe(estimate.Key{Service: "service", Kind: s.kind, Caller: s.caller}, used, now)
	d.pump()
}

// begin counts a request that a backend server starts.
func (c *cell) begin(backend int) {
	c.running[backend]++
	if c.running[backend] > slotsPerBackend {
		c.result.overcommits++
	}
}

// ask sends the asks for credits that are due.
func (d *daemon) ask() {
	if d.dead {
		return
	}
	d.holder.SetDemand(d.demand())
	for _, ask := range d.holder.Requests(d.cell.now) {
		d.cell.ask(d, ask)
	}
}

// demand returns the slots that the daemon can use. A static partition has no
// demand, so that each daemon gets an equal part.
func (d *daemon) demand() credit.Demand {
	if d.cell.policy.static {
		return credit.Demand{}
	}
	reserved := d.reserve.Target()
	if d.cell.policy.noReserve {
		reserved = 0
	}
	return credit.Demand{
		Short: max(d.runs[estimate.Short]+d.queue.Queued(estimate.Short), reserved),
		Long:  d.runs[estimate.Long] + d.queue.Queued(estimate.Long),
	}
}
