package policybench

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/admission"
	"github.com/currantwinch/currantwinch/credit"
	"github.com/currantwinch/currantwinch/fairqueue"
)

// policy is what the rounds vary.
type policy struct {
	term      time.Duration
	refresh   time.Duration
	admission admission.Options
	reserve   fairqueue.ReserveOptions
	// admitAll leaves out admission and deadlines.
	admitAll bool
	// noReserve is set to leave no slots to short work.
	noReserve bool
	// noClasses treats all work as short.
	noClasses bool
	// overuse is fairqueue.Options.OveruseBurst.
	overuse time.Duration
	// longMinimum is the part of slots that long work gets first.
	longMinimum float64
	// stale delays each answer about credits.
	stale time.Duration
	// static lends nothing: each daemon keeps an equal part of its region.
	static bool
	// blind uses backend servers with no regard to their region.
	blind bool
	// anywhere lets long work take any slot of the own region first.
	anywhere bool
	// hedge sends late short requests a second time within a budget.
	hedge bool
	// hedgeFirst lets a hedge take the next free slot before the queue, in
	// place of only where nothing waits.
	hedgeFirst bool
	// intrinsic gives a second attempt the run time of the first.
	intrinsic bool
	// retries says whether refused callers come back: at the time advised, or
	// every naiveRetry.
	retries retryMode
	// deadDaemon dies at deadAt, cutRegion is cut off at cutAt.
	deadDaemon bool
	cutRegion  bool
	faultAt    time.Duration
}

// retryMode says what a refused caller does.
type retryMode uint8

const (
	retryNever retryMode = iota
	retryAdvised
	retryNaive
)

// naiveRetry is how soon a caller comes back that heeds no advice.
const naiveRetry = 100 * time.Millisecond

func defaultPolicy() policy {
	return policy{term: credit.DefaultTerm, longMinimum: 0.25}
}

const (
	sharesPerRegion = 4
	tickEvery       = 10 * time.Millisecond
	pollEvery       = 100 * time.Millisecond
	// takeOver is how long a dead daemon's shares are without an owner.
	takeOver = 5 * time.Second
	// rerouted is how long the balancer sends requests to a dead daemon.
	rerouted = 500 * time.Millisecond
)

// cell is the simulated cell.
type cell struct {
	*engine
	policy  policy
	daemons []*daemon
	shares  []*shareState
	running [backends]int
	names   map[string]int
	result  result
}

// shareState is one share of backend servers and its owner.
type shareState struct {
	info     credit.Share
	region   int
	backends []credit.Backend
	owner    *credit.Owner
	// at is the daemon that runs the owner.
	at *daemon
}

// simulate serves a trace by the policy.
func simulate(p policy, trace []arrival, end time.Duration) (*cell, result) {
	c := newCell(p)
	for _, a := range trace {
		s := &served{arrival: a}
		c.result.served = append(c.result.served, s)
		c.at(epoch.Add(a.at), func() { c.enter(s) })
	}
	c.run(epoch.Add(end))
	for _, s := range c.result.served {
		s.lost = s.lost || (s.entered != nil && s.entered.dead && !s.done)
	}
	return c, c.result
}

func newCell(p policy) *cell {
	c := &cell{engine: newEngine(), policy: p, names: make(map[string]int)}
	c.makeShares()
	for i := range daemons {
		c.daemons = append(c.daemons, newDaemon(c, i))
	}
	for i, s := range c.shares {
		s.at = c.daemons[s.region*daemons/regions+i%(daemons/regions)]
		c.own(s, false)
	}
	for _, d := range c.daemons {
		c.after(time.Duration(d.index)*time.Millisecond, d.tick)
	}
	c.after(pollEvery, c.poll)
	if p.deadDaemon {
		c.after(p.faultAt, c.kill)
	}
	if p.cutRegion {
		c.after(p.faultAt, c.cut)
	}
	return c
}

func (c *cell) makeShares() {
	for r := range regions {
		for i := range sharesPerRegion {
			name := fmt.Sprintf("backend/%d.%d", r, i)
			c.shares = append(c.shares, &shareState{region: r, info: credit.Share{Name: name, Region: regionName(r)}})
		}
	}
	for b := range backends {
		r := regionOfBackend(b)
		s := c.shares[r*sharesPerRegion+(b/regions)%sharesPerRegion]
		name := fmt.Sprintf("b%02d", b)
		c.names[name] = b
		s.backends = append(s.backends, credit.Backend{Name: name, Slots: slotsPerBackend})
		s.info.Slots += slotsPerBackend
	}
}

func (c *cell) own(s *shareState, predecessor bool) {
	s.owner = credit.NewOwner(credit.OwnerOptions{
		Share:          s.info.Name,
		Region:         s.info.Region,
		Term:           c.policy.term,
		HasPredecessor: predecessor,
	}, s.backends, c.now)
}

func regionName(r int) string { return fmt.Sprintf("region-%d", r) }

// enter routes an arrival to a daemon as the platform's balancer would.
func (c *cell) enter(s *served) {
	region := s.region
	if c.isCut(region) {
		region = s.daemon % (regions - 1)
	}
	s.attempts++
	for i := range daemons / regions {
		d := c.daemons[region*daemons/regions+(s.daemon+i)%(daemons/regions)]
		if d.dead && c.now.Sub(d.died) >= rerouted {
			continue
		}
		if d.dead {
			s.lost = true
			return
		}
		s.entered = d
		d.receive(s)
		return
	}
}

func (c *cell) isCut(region int) bool {
	return c.policy.cutRegion && region == regions-1 && c.now.Sub(epoch) >= c.policy.faultAt
}

// send delivers a message between daemons unless one of them is gone.
func (c *cell) send(from, to *daemon, message any, extra time.Duration, deliver func()) {
	delay := extra
	if from != to {
		delay += oneWay(from.region, to.region)
	}
	text, _ := json.Marshal(message)
	if from != to {
		c.result.messageBytes += int64(len(text))
	}
	if from.region != to.region {
		c.result.controlBytes += int64(len(text))
	}
	c.after(delay, func() {
		if !to.dead && !c.isCut(from.region) && !c.isCut(to.region) {
			deliver()
		}
	})
}

// ask carries one ask to its owner and the answer back.
func (c *cell) ask(d *daemon, ask credit.Request) {
	c.result.asks++
	s := c.share(ask.Share)
	c.send(d, s.at, ask, 0, func() {
		answer, prompts, err := s.owner.Serve(ask, c.now)
		if err != nil {
			return
		}
		owner := s.at
		c.send(owner, d, answer, c.policy.stale, func() {
			d.holder.Accept(answer, c.now)
			d.pump()
		})
		for _, name := range prompts {
			to := c.daemons[c.names[name]]
			c.send(owner, to, credit.RefreshSignal{Share: ask.Share}, c.policy.stale, func() {
				to.holder.Refresh(ask.Share)
				to.ask()
			})
		}
	})
}

func (c *cell) share(name string) *shareState {
	for _, s := range c.shares {
		if s.info.Name == name {
			return s
		}
	}
	return nil
}

// poll asks backend servers for their state where an owner needs it.
func (c *cell) poll() {
	for _, s := range c.shares {
		if s.at.dead {
			continue
		}
		for _, name := range s.owner.UncertainBackends(c.now) {
			asked := c.now
			running := c.running[c.names[name]]
			c.after(2*oneWayLocal, func() { s.owner.ObserveRunning(name, running, asked) })
		}
	}
	c.after(pollEvery, c.poll)
}

// kill ends one daemon. Its shares get a new owner once that is safe.
func (c *cell) kill() {
	d := c.daemons[1]
	d.dead, d.died = true, c.now
	for _, s := range c.shares {
		if s.at != d {
			continue
		}
		c.after(takeOver, func() {
			s.at = c.daemons[2]
			c.own(s, true)
		})
	}
}

// cut takes the last region from the others; its callers come to them.
func (c *cell) cut() {
	for _, d := range c.daemons {
		if c.isCut(d.region) {
			d.dead, d.died = true, c.now
		}
	}
}
