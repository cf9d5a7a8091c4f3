package policybench

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/admission"
	"github.com/currantwinch/currantwinch/credit"
	"github.com/currantwinch/currantwinch/fairqueue"
)

// policy holds the parameters that the benchmarks vary.
type policy struct {
	leaseTerm time.Duration
	refresh   time.Duration
	admission admission.Options
	reserve   fairqueue.ReserveOptions
	// admitAll admits every request with no latest start.
	admitAll bool
	// noShortReserve reserves no slots for short work.
	noShortReserve bool
	// singleClass treats all work as short.
	singleClass bool
	// overuseBurst is fairqueue.Options.OveruseBurst.
	overuseBurst time.Duration
	// longMinimum is the fraction of held slots that long work gets before short
	// work.
	longMinimum float64
	// responseDelay is added to the latency of each response and refresh signal
	// about credits.
	responseDelay time.Duration
	// staticPartition leases each daemon an equal part of its region's slots,
	// independent of demand.
	staticPartition bool
	// ignoreLocality chooses backend servers regardless of their region.
	ignoreLocality bool
	// longTakesLocal lets long work prefer slots of its own region, even if short
	// work may soon need them.
	longTakesLocal bool
	// hedge sends late short requests a second time, within the hedge budget.
	hedge bool
	// hedgeBeforeQueue gives a hedge the next free slot before queued requests.
	// Without it, hedges are sent only while the queue is empty.
	hedgeBeforeQueue bool
	// hedgeSameRunTime gives a hedge the run time of the first attempt instead of
	// one drawn separately.
	hedgeSameRunTime bool
	// retries determines whether refused callers retry.
	retries retryMode
	// crashDaemon crashes one daemon at faultAt; isolateRegion cuts the last
	// region off from the others at faultAt.
	crashDaemon   bool
	isolateRegion bool
	faultAt       time.Duration
}

// retryMode is what a refused caller does: give up, retry after the time that the
// refusal advises, or retry after fixedRetryDelay.
type retryMode uint8

const (
	retryNever retryMode = iota
	retryAfterHint
	retryFixed
)

// fixedRetryDelay is the delay between the attempts of callers that ignore the
// advised time.
const fixedRetryDelay = 100 * time.Millisecond

func defaultPolicy() policy {
	return policy{leaseTerm: credit.DefaultTerm, longMinimum: 0.25}
}

const (
	sharesPerRegion = 4
	tickInterval    = 10 * time.Millisecond
	pollInterval    = 100 * time.Millisecond
	// takeoverDelay is how long the shares of a crashed daemon have no owner.
	takeoverDelay = 5 * time.Second
	// reroutingDelay is how long the load balancer goes on sending requests to a
	// crashed daemon.
	reroutingDelay = 500 * time.Millisecond
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

// shareState is one share of the backend servers and its owner.
type shareState struct {
	share    credit.Share
	region   int
	backends []credit.Backend
	owner    *credit.Owner
	// daemon is the daemon that runs the owner.
	daemon *daemon
}

// simulate serves a trace under the policy until end.
func simulate(p policy, trace []arrival, end time.Duration) (*cell, result) {
	c := newCell(p)
	for _, a := range trace {
		s := &outcome{arrival: a}
		c.result.outcomes = append(c.result.outcomes, s)
		c.at(epoch.Add(a.at), func() { c.route(s) })
	}
	c.run(epoch.Add(end))
	for _, s := range c.result.outcomes {
		s.lost = s.lost || (s.entryDaemon != nil && s.entryDaemon.crashed && !s.done)
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
		s.daemon = c.daemons[s.region*daemons/regions+i%(daemons/regions)]
		c.newOwner(s, false)
	}
	for _, d := range c.daemons {
		c.after(time.Duration(d.index)*time.Millisecond, d.tick)
	}
	c.after(pollInterval, c.poll)
	if p.crashDaemon {
		c.after(p.faultAt, c.crashDaemon)
	}
	if p.isolateRegion {
		c.after(p.faultAt, c.isolateRegion)
	}
	return c
}

func (c *cell) makeShares() {
	for r := range regions {
		for i := range sharesPerRegion {
			name := fmt.Sprintf("backend/%d.%d", r, i)
			c.shares = append(c.shares, &shareState{region: r, share: credit.Share{Name: name, Region: regionName(r)}})
		}
	}
	for b := range backends {
		r := regionOfBackend(b)
		s := c.shares[r*sharesPerRegion+(b/regions)%sharesPerRegion]
		name := fmt.Sprintf("b%02d", b)
		c.names[name] = b
		s.backends = append(s.backends, credit.Backend{Name: name, Slots: slotsPerBackend})
		s.share.Slots += slotsPerBackend
	}
}

func (c *cell) newOwner(s *shareState, predecessor bool) {
	s.owner = credit.NewOwner(credit.OwnerOptions{
		Share:          s.share.Name,
		Region:         s.share.Region,
		Term:           c.policy.leaseTerm,
		HasPredecessor: predecessor,
	}, s.backends, c.now)
}

func regionName(r int) string { return fmt.Sprintf("region-%d", r) }

// route sends an arrival to a daemon of its region as the platform's load balancer
// would. Requests sent to a crashed daemon within reroutingDelay are lost.
func (c *cell) route(s *outcome) {
	region := s.region
	if c.isIsolated(region) {
		region = s.daemon % (regions - 1)
	}
	s.attempts++
	for i := range daemons / regions {
		d := c.daemons[region*daemons/regions+(s.daemon+i)%(daemons/regions)]
		if d.crashed && c.now.Sub(d.crashedAt) >= reroutingDelay {
			continue
		}
		if d.crashed {
			s.lost = true
			return
		}
		s.entryDaemon = d
		d.receive(s)
		return
	}
}

func (c *cell) isIsolated(region int) bool {
	return c.policy.isolateRegion && region == regions-1 && c.now.Sub(epoch) >= c.policy.faultAt
}

// send delivers a message between daemons, unless the receiver has crashed or
// either region is isolated.
func (c *cell) send(from, to *daemon, message any, extra time.Duration, deliver func()) {
	delay := extra
	if from != to {
		delay += oneWay(from.region, to.region)
	}
	text, _ := json.Marshal(message)
	if from != to {
		c.result.controlBytes += int64(len(text))
	}
	if from.region != to.region {
		c.result.crossRegionControlBytes += int64(len(text))
	}
	c.after(delay, func() {
		if !to.crashed && !c.isIsolated(from.region) && !c.isIsolated(to.region) {
			deliver()
		}
	})
}

// requestCredits sends a credit request to the share's owner and delivers the
// response, and the refresh signals that the owner sends to other holders.
func (c *cell) requestCredits(d *daemon, request credit.Request) {
	c.result.creditRequests++
	s := c.share(request.Share)
	c.send(d, s.daemon, request, 0, func() {
		response, signals, err := s.owner.Serve(request, c.now)
		if err != nil {
			return
		}
		owner := s.daemon
		c.send(owner, d, response, c.policy.responseDelay, func() {
			d.holder.Accept(response, c.now)
			d.dispatchQueued()
		})
		for _, name := range signals {
			to := c.daemons[c.names[name]]
			c.send(owner, to, credit.RefreshSignal{Share: request.Share}, c.policy.responseDelay, func() {
				to.holder.Refresh(request.Share)
				to.requestCredits()
			})
		}
	})
}

func (c *cell) share(name string) *shareState {
	for _, s := range c.shares {
		if s.share.Name == name {
			return s
		}
	}
	return nil
}

// poll reads the number of running requests of the backend servers whose state
// an owner is uncertain about.
func (c *cell) poll() {
	for _, s := range c.shares {
		if s.daemon.crashed {
			continue
		}
		for _, name := range s.owner.UncertainBackends(c.now) {
			readAt := c.now
			running := c.running[c.names[name]]
			c.after(2*oneWayLocal, func() { s.owner.ObserveRunning(name, running, readAt) })
		}
	}
	c.after(pollInterval, c.poll)
}

// crashDaemon crashes one daemon. Its shares get a new owner after takeoverDelay.
func (c *cell) crashDaemon() {
	d := c.daemons[1]
	d.crashed, d.crashedAt = true, c.now
	for _, s := range c.shares {
		if s.daemon != d {
			continue
		}
		c.after(takeoverDelay, func() {
			s.daemon = c.daemons[2]
			c.newOwner(s, true)
		})
	}
}

// isolateRegion stops the daemons of the last region. Its callers use the other
// regions from then on.
func (c *cell) isolateRegion() {
	for _, d := range c.daemons {
		if c.isIsolated(d.region) {
			d.crashed, d.crashedAt = true, c.now
		}
	}
}
