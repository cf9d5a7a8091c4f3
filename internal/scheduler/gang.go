package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

const (
	// maxHeldFraction limits the fraction of a service's CPU that is held for
	// gangs.
	maxHeldFraction = 0.6
	// overdueFactor: a run that has taken longer than this many times its
	// expected time is not expected to end soon, since declared times deviate
	// by less than that.
	overdueFactor = 2
	// gangCapacityFactor: a gang's first request covers this many times the
	// capacity that it needs, so that one request is enough.
	gangCapacityFactor = 2.5
)

// forecast is a server with its expected free capacity.
type forecast struct {
	server *server
	free   workload.Resources
	// soon is the part of free that runs still use.
	soon workload.Resources
}

// prepareGang handles a gang that cannot start now. It finds out which servers
// the gang may use, holds capacity on the best of them against steps that come
// later, and requests tickets once the capacity is free.
func (p *placementPass) prepareGang(st *step, need int) {
	if st.reserved != nil {
		return
	}
	forecasts := p.gangForecasts(st)
	held, ready := p.planMembers(st, need, forecasts)
	p.holdCapacity(st, held)
	switch {
	case st.job().queue.Policy == nil:
	case ready >= need:
		p.requestGangTickets(st, held)
	default:
		p.discoverGangServers(st, need, forecasts)
	}
}

// requestGangTickets requests the tickets of a gang that lacks nothing else.
// Its capacity is reserved from then on, whether or not it could be held.
func (p *placementPass) requestGangTickets(st *step, held map[*server]int) {
	if !p.core.mayRequest(st) || st.hasOpenRequestFor(held) {
		return
	}
	cost := p.core.sendRequest(st, serverIDs(held))
	p.reserve(st, held, cost)
}

// discoverGangServers asks about more servers: those with held capacity may
// stay full for long while other servers that may be allowed have capacity.
func (p *placementPass) discoverGangServers(st *step, need int, forecasts []forecast) {
	for p.core.mayRequest(st) {
		chosen := p.serversToQuery(st, need, forecasts)
		if len(chosen) == 0 {
			return
		}
		p.core.sendRequest(st, chosen)
	}
}

// hasOpenRequestFor reports whether an open request of the step names one of
// the servers.
func (s *step) hasOpenRequestFor(servers map[*server]int) bool {
	for srv := range servers {
		if s.authorization.pending[srv.info.ID] > 0 {
			return true
		}
	}
	return false
}

// serverIDs returns the servers' IDs in order.
func serverIDs(servers map[*server]int) []string {
	out := make([]string, 0, len(servers))
	for s := range servers {
		out = append(out, s.info.ID)
	}
	slices.Sort(out)
	return out
}

// gangForecasts lists the servers that the step may use or has not asked about,
// the one with the most expected capacity first.
func (p *placementPass) gangForecasts(st *step) []forecast {
	ranked := p.serverForecasts(st.job().sub.Service)
	out := p.core.forecastBuffer[:0]
	p.count.servers += len(ranked)
	avoidsSlow := p.avoidsSlow(st)
	for _, pr := range ranked {
		if !pr.server.hasLabel(st.spec.Label) || avoidsSlow && pr.server.slow() || st.authorization.decisionOn(pr.server) == denied {
			continue
		}
		out = append(out, forecast{server: pr.server, free: pr.server.freeFor(st).Plus(pr.soon)})
	}
	p.core.forecastBuffer = out
	return out
}

// serverForecasts lists a service's servers by expected free capacity. The list is a
// few milliseconds old at most.
func (p *placementPass) serverForecasts(service string) []forecast {
	c := p.core
	pool := c.pools[service]
	if pool == nil {
		return nil
	}
	if age := c.now.Sub(pool.forecastAt); len(pool.forecasts) == len(pool.usable) && age < time.Duration(len(pool.usable))*forecastTimePerServer && age >= 0 && !pool.changed {
		return pool.forecasts
	}
	pool.forecastAt, pool.changed = c.now, false
	p.count.servers += len(pool.usable)
	ranked := pool.forecasts[:0]
	for _, s := range pool.usable {
		free := s.expectedFree(c.now)
		ranked = append(ranked, forecast{s, free, free.Minus(s.free)})
	}
	slices.SortStableFunc(ranked, func(x, y forecast) int { return cmp.Compare(y.free.CPU, x.free.CPU) })
	pool.forecasts = ranked
	return ranked
}

// expectedFree returns the free capacity plus a part of each attempt's, in
// proportion to the elapsed part of its expected run time. A run that is long
// overdue counts as none, since it is one of the few that take several times as
// long as the others.
func (s *server) expectedFree(now time.Time) workload.Resources {
	free := s.free
	for _, a := range s.attempts {
		estimate := a.task.step.expectedRunTime()
		if a.task.step.spec.LongRunning || estimate <= 0 {
			continue
		}
		age := now.Sub(a.sentAt)
		if age > overdueFactor*estimate {
			continue
		}
		part := min(float64(age)/float64(estimate), 1)
		free.CPU += int64(part * float64(a.need.CPU))
		free.MemoryMB += int64(part * float64(a.need.MemoryMB))
		free.GPU += int64(part * float64(a.need.GPU))
	}
	return free
}

// planMembers distributes the gang's members over allowed servers: free
// capacity first, then capacity that is expected to be free soon. It returns
// the members per server and how many of them fit now, or nil if too few
// servers are known to be allowed.
func (p *placementPass) planMembers(st *step, need int, forecasts []forecast) (counts map[*server]int, ready int) {
	counts = make(map[*server]int)
	take := func(s *server, n int) {
		if n > 0 {
			counts[s] += n
			need -= n
		}
	}
	total := need
	p.count.servers += 2 * len(forecasts)
	for _, pr := range forecasts {
		if p.isAllowed(st, pr.server) {
			take(pr.server, min(p.availableSlots(st, pr.server), need))
		}
	}
	ready = total - need
	for _, pr := range forecasts {
		if p.isAllowed(st, pr.server) {
			take(pr.server, min(fitCount(st, pr.server, pr.free)-counts[pr.server], need))
		}
	}
	if need > 0 {
		return nil, 0
	}
	return counts, ready
}

func (p *placementPass) isAllowed(st *step, s *server) bool {
	return st.job().queue.Policy == nil || st.authorization.decisionOn(s) == allowed
}

// holdCapacity withholds a gang's capacity from the steps that come later. It holds
// nothing if that would exceed maxHeldCPU with what is held for gangs before it.
func (p *placementPass) holdCapacity(st *step, members map[*server]int) {
	c := p.core
	if c.heldBefore(st)+st.memberCPU(members) > c.maxHeldCPU(st) {
		st.holdRefused = true
		c.dropHold(st)
		return
	}
	c.hold(st, members, false)
	c.dropLastHolds(st)
}

// maxHeldCPU returns the most CPU that may be held on the servers of the step's
// service.
func (c *Core) maxHeldCPU(st *step) int64 {
	pool := c.pools[st.job().sub.Service]
	if pool == nil {
		return 0
	}
	return int64(maxHeldFraction * float64(pool.capacity))
}

// serversToQuery returns servers to ask about, enough that those allowed are
// expected to fit the gang with a margin. Servers in an open request count
// towards that and are not asked about again. It returns none once every server
// has been asked about.
func (p *placementPass) serversToQuery(st *step, need int, forecasts []forecast) []string {
	rate := p.core.allowRateOf(queueKey(st.job().sub)).rate
	want := gangCapacityFactor * float64(need)
	least := minRequestServers
	if st.authorization.openRequests > 0 {
		least = 0
	}
	capacity := 0
	var out, known []string
	for _, pr := range forecasts {
		p.count.servers++
		if len(out)+len(known) >= maxRequestServers || want <= 0 && len(out) >= least {
			break
		}
		if st.authorization.decisionOn(pr.server) == allowed {
			if n := p.availableSlots(st, pr.server); n > 0 {
				want -= float64(n)
				capacity += n
				if st.authorization.pending[pr.server.info.ID] == 0 {
					known = append(known, pr.server.info.ID)
				}
			}
			continue
		}
		n := fitCount(st, pr.server, pr.free)
		want -= rate * float64(n)
		capacity += n
		if st.authorization.pending[pr.server.info.ID] == 0 {
			out = append(out, pr.server.info.ID)
		}
	}
	if len(out) == 0 || capacity < need {
		return nil
	}
	return append(out, known...)
}
