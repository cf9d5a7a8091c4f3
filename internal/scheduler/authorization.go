package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	// ticketMargin is the validity that a ticket must have left when an order
	// is sent, to cover its delivery.
	ticketMargin = 80 * time.Millisecond
	// capacityFactor: a request covers this many times the needed capacity,
	// since some of it is taken before the answer.
	capacityFactor = 1.6
	// minRequestServers is the least number of servers in a request.
	minRequestServers = 4
	// maxRequestServers is the most that the policy service accepts in a
	// request.
	maxRequestServers = 100
	// policyRetryDelay is the delay after a request without an answer.
	policyRetryDelay = 100 * time.Millisecond
	// maxRequestsPerGang lets a gang that needs more than maxRequestServers
	// servers ask about two lists at once rather than in turn.
	maxRequestsPerGang = 2
	// maxRequestsPerClient limits the requests queued at one daemon.
	maxRequestsPerClient = 2
	// allowRateWeight is the weight of the newest decision in the moving
	// average.
	allowRateWeight = 0.1
	// initialAllowRate is the rate assumed before the first answer.
	initialAllowRate = 0.5
)

// ticketGrant is a ticket with its expiry time.
type ticketGrant struct {
	ticket  string
	expires time.Time
}

// authorization is what the policy service has decided about a step. Its
// decision about a server holds for the life of that instance; tickets expire.
type authorization struct {
	tickets map[string]ticketGrant
	// decisions holds the decision about an instance under its number. An instance stays
	// allowed when its ticket expires.
	decisions []decision
	// pending counts the open requests that name a server, by ID, and
	// openRequests counts all of them.
	pending      map[string]int
	openRequests int
	retryAt      time.Time
	// validUntil is when the last ticket expires.
	validUntil time.Time
}

// decision is the policy service's decision about a step and an instance of a server.
type decision uint8

const (
	undecided decision = iota
	allowed
	denied
)

// decisionOn returns what the policy service has decided about s.
func (a *authorization) decisionOn(s *server) decision {
	if s.instanceNumber < len(a.decisions) {
		return a.decisions[s.instanceNumber]
	}
	return undecided
}

// decide records a decision about s.
func (a *authorization) decide(s *server, d decision) {
	if n := s.instanceNumber + 1 - len(a.decisions); n > 0 {
		a.decisions = append(a.decisions, make([]decision, n)...)
	}
	a.decisions[s.instanceNumber] = d
}

// allowRate is the moving average of the fraction of servers that a queue's
// policy allows.
type allowRate struct{ rate float64 }

func (c *Core) allowRateOf(queue string) *allowRate {
	a := c.allowRates[queue]
	if a == nil {
		a = &allowRate{initialAllowRate}
		c.allowRates[queue] = a
	}
	return a
}

// ticketFor returns a valid ticket to start the step's tasks on s. It returns
// an empty one if the queue needs none.
func (c *Core) ticketFor(st *step, s *server) (string, bool) {
	if st.job().queue.Policy == nil {
		return "", true
	}
	if st.authorization.decisionOn(s) != allowed {
		return "", false
	}
	p, ok := st.authorization.tickets[s.info.ID]
	if !ok || c.now.Add(ticketMargin).After(p.expires) {
		return "", false
	}
	return p.ticket, true
}

// requestTickets sends a request about servers with capacity for the step,
// those known to be allowed first.
func (p *placementPass) requestTickets(st *step, need int, candidates []*server) {
	if !p.core.mayRequest(st) {
		return
	}
	var known, unknown []*server
	for _, s := range candidates {
		switch st.authorization.decisionOn(s) {
		case allowed:
			known = append(known, s)
		case undecided:
			unknown = append(unknown, s)
		}
	}
	rate := p.core.allowRateOf(queueKey(st.job().sub)).rate
	chosen, enough := p.chooseServers(st, need, rate, known, unknown)
	if !enough {
		chosen = p.addFullServers(st, chosen)
	}
	p.core.sendRequest(st, chosen)
}

// addFullServers adds servers without free capacity that the step has not asked
// about, those with the most expected capacity first, until listing servers
// takes the service as long as its decision. Each is asked about once, so that
// a waiting step soon knows all servers that it may use.
func (p *placementPass) addFullServers(st *step, chosen []string) []string {
	terms := st.job().queue.Policy
	most := maxRequestServers
	if terms.TimePerServer > 0 {
		most = min(most, int(terms.DecisionTime/terms.TimePerServer))
	}
	for _, pr := range p.serverForecasts(st.job().sub.Service) {
		if len(chosen) >= most {
			break
		}
		s := pr.server
		if s.hasLabel(st.spec.Label) && !st.authorization.decided(s) && !slices.Contains(chosen, s.info.ID) {
			chosen = append(chosen, s.info.ID)
		}
	}
	return chosen
}

// decided reports whether the policy service has decided about s.
func (a *authorization) decided(s *server) bool {
	return a.decisionOn(s) != undecided
}

// mayRequest reports whether a request for the step may be sent now.
func (c *Core) mayRequest(st *step) bool {
	a := &st.authorization
	most := 1
	if st.spec.Gang {
		most = maxRequestsPerGang
	}
	if a.openRequests >= most || c.now.Before(a.retryAt) {
		return false
	}
	if c.openRequests >= c.maxOpenRequests() {
		st.entry.wantsClient = true
		return false
	}
	return true
}

// maxOpenRequests returns how many policy requests may be in flight.
func (c *Core) maxOpenRequests() int { return c.policyClients * maxRequestsPerClient }

// sendRequest sends a request about the chosen servers, if any, and returns how
// long the policy service is expected to take.
func (c *Core) sendRequest(st *step, chosen []string) time.Duration {
	if len(chosen) == 0 {
		return 0
	}
	a := &st.authorization
	if a.pending == nil {
		a.pending = make(map[string]int)
	}
	for _, id := range chosen {
		a.pending[id]++
	}
	a.openRequests++
	c.openRequests++
	terms := st.job().queue.Policy
	cost := terms.DecisionTime + time.Duration(len(chosen))*terms.TimePerServer
	c.emit(RequestAuthorization{Step: st.id(), Servers: chosen, Cost: cost})
	return cost
}

// requestCandidate is a server that a request may name, with its free CPU, whether it is
// remote for the step and whether capacity of it is held for a gang.
type requestCandidate struct {
	server       *server
	remote, held bool
	cpu          int64
}

// chooseServers picks servers until their expected capacity covers the need,
// the local ones first, then those without capacity held for gangs, then those of
// a suitable speed. It reports whether the need is covered.
func (p *placementPass) chooseServers(st *step, need int, rate float64, known, unknown []*server) (ids []string, enough bool) {
	want := capacityFactor * float64(need)
	pick := func(servers []*server, chance float64) {
		byFreeCPU := make([]requestCandidate, len(servers))
		for i, s := range servers {
			byFreeCPU[i] = requestCandidate{s, p.core.remote(st, s), p.hasHeldCapacity(s), s.free.CPU}
		}
		slices.SortFunc(byFreeCPU, func(x, y requestCandidate) int {
			if x.remote != y.remote {
				return compareBool(x.remote, y.remote)
			}
			if x.held != y.held {
				return compareBool(x.held, y.held)
			}
			if order := p.compareSpeed(st, x.server, y.server); order != 0 {
				return order
			}
			return cmp.Compare(y.cpu, x.cpu)
		})
		for _, candidate := range byFreeCPU {
			s := candidate.server
			if len(ids) >= maxRequestServers || want <= 0 && len(ids) >= minRequestServers {
				return
			}
			ids = append(ids, s.info.ID)
			want -= chance * float64(p.availableSlots(st, s))
		}
	}
	pick(known, 1)
	if want > 0 {
		pick(unknown, rate)
	}
	return ids, want <= 0
}

// AuthorizationCompleted handles the answer to a request about the named
// servers.
func (c *Core) AuthorizationCompleted(id workload.TaskID, asked []string, tickets []Ticket, validity time.Duration, err error) {
	c.openRequests--
	// The client is free for another step.
	c.placementNeeded = true
	j := c.jobs[id.Submission]
	if j == nil {
		return
	}
	st := j.step(id.Occurrence, id.Step)
	if st == nil {
		return
	}
	a := &st.authorization
	if a.openRequests == 0 {
		// The request was made for a withdrawn submission of the same ID.
		return
	}
	a.openRequests--
	for _, server := range asked {
		a.pending[server] = max(a.pending[server]-1, 0)
	}
	c.wake(st)
	if err != nil {
		c.log.Log(events.PolicyRequestFailed, "step", id.StepName(), "servers", len(asked), "error", err.Error())
		a.retryAt = c.now.Add(policyRetryDelay)
		return
	}
	c.log.Log(events.PolicyApplied, "step", id.StepName(), "asked", len(asked), "allowed", len(tickets), "validMS", validity.Milliseconds())
	st.applyDecision(c, asked, tickets, validity)
}

func (s *step) applyDecision(c *Core, asked []string, tickets []Ticket, validity time.Duration) {
	a := &s.authorization
	if a.tickets == nil {
		a.tickets = make(map[string]ticketGrant)
	}
	if len(tickets) > 0 {
		a.validUntil = latest(a.validUntil, c.now.Add(validity))
	}
	learned := c.allowRateOf(queueKey(s.job().sub))
	allowedNow := make(map[string]bool, len(tickets))
	for _, t := range tickets {
		allowedNow[t.Server] = true
		a.tickets[t.Server] = ticketGrant{t.Value, c.now.Add(validity)}
	}
	for _, id := range asked {
		srv := c.servers[id]
		if srv == nil {
			continue
		}
		if a.decisionOn(srv) != allowed {
			hit := 0.0
			if allowedNow[id] {
				hit = 1
			}
			learned.rate += allowRateWeight * (hit - learned.rate)
		}
		if allowedNow[id] {
			a.decide(srv, allowed)
		} else {
			a.decide(srv, denied)
		}
	}
}
