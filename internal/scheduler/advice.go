package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	// ticketMargin is left of a ticket's validity for the order to arrive.
	ticketMargin = 80 * time.Millisecond
	// askMargin is how many times the needed room is asked for, since some of it
	// is taken by the time of the answer.
	askMargin = 1.6
	// minAsked is the least number of servers in one question.
	minAsked = 4
	// maxAsked is the most that the policy service takes.
	maxAsked = 100
	// askRetry is the pause after a question without an answer.
	askRetry = 100 * time.Millisecond
	// questionsPerGang lets a gang that needs more than maxAsked servers ask about
	// two lists at once rather than in turn.
	questionsPerGang = 2
	// callsPerAsker bounds the questions that wait at one daemon.
	callsPerAsker = 2
	// learnWeight is the weight of the newest answer in the learned share.
	learnWeight = 0.1
	// firstAllowance is the share assumed before any answer.
	firstAllowance = 0.5
)

// permission is a ticket with its end.
type permission struct {
	ticket  string
	expires time.Time
}

// advice is what the policy service said about a step. Which servers it allows
// never changes during their lives; tickets expire.
type advice struct {
	tickets map[string]permission
	// refused lists servers that may not run the step, by ID and life.
	refused map[serverLife]bool
	// allowed lists servers that may, whether or not their tickets are valid.
	allowed map[serverLife]bool
	// pending counts the open questions about each server, by ID, and asking
	// all open questions.
	pending map[string]int
	asking  int
	retryAt time.Time
}

type serverLife struct {
	id   string
	born int64
}

func (s *server) lifeKey() serverLife { return serverLife{s.info.ID, s.info.StartedAtMS} }

// allowance is the learned share of servers that a queue's policy allows.
type allowance struct{ share float64 }

func (c *Core) allowanceOf(queue string) *allowance {
	a := c.learned[queue]
	if a == nil {
		a = &allowance{firstAllowance}
		c.learned[queue] = a
	}
	return a
}

// ticket returns a permission to start the step's tasks on s now.
func (c *Core) ticketFor(st *step, s *server) (string, bool) {
	if st.job().queue.Policy == nil {
		return "", true
	}
	p, ok := st.advice.tickets[s.info.ID]
	if !ok || c.now.Add(ticketMargin).After(p.expires) {
		return "", false
	}
	return p.ticket, true
}

// ask puts a question for a step about servers with room for it, those known to
// be allowed first.
func (p *pass) ask(st *step, need int, candidates []*server) {
	if !p.core.mayAsk(st) {
		return
	}
	var sure, open []*server
	for _, s := range candidates {
		switch key := s.lifeKey(); {
		case st.advice.refused[key]:
		case st.advice.allowed[key]:
			sure = append(sure, s)
		default:
			open = append(open, s)
		}
	}
	share := p.core.allowanceOf(st.job().queue.Name).share
	chosen, enough := p.choose(st, need, share, sure, open)
	if !enough {
		chosen = p.addBusy(st, chosen)
	}
	p.core.askAbout(st, chosen)
}

// addBusy adds servers that have no room now and that the step has not asked
// about, those with the most room soon first, until naming the servers takes as
// long as the decision. Each is asked about once, so that a step which waits soon
// knows where it may run.
func (p *pass) addBusy(st *step, chosen []string) []string {
	terms := st.job().queue.Policy
	most := maxAsked
	if terms.TimePerServer > 0 {
		most = min(most, int(terms.DecisionTime/terms.TimePerServer))
	}
	for _, pr := range p.ranked(st.job().sub.Service) {
		if len(chosen) >= most {
			break
		}
		s := pr.server
		if s.hasLabel(st.spec.Label) && !st.advice.knows(s) && !slices.Contains(chosen, s.info.ID) {
			chosen = append(chosen, s.info.ID)
		}
	}
	return chosen
}

// knows reports whether the policy service has said whether the step may run on s.
func (a *advice) knows(s *server) bool { return a.allowed[s.lifeKey()] || a.refused[s.lifeKey()] }

// mayAsk reports whether a question for the step can be put now.
func (c *Core) mayAsk(st *step) bool {
	a := &st.advice
	most := 1
	if st.spec.Gang {
		most = questionsPerGang
	}
	return a.asking < most && !c.now.Before(a.retryAt) && c.asking < c.askers*callsPerAsker
}

// askAbout asks about the chosen servers, if any, and returns how long the policy
// service takes for the answer.
func (c *Core) askAbout(st *step, chosen []string) time.Duration {
	if len(chosen) == 0 {
		return 0
	}
	a := &st.advice
	if a.pending == nil {
		a.pending = make(map[string]int)
	}
	for _, id := range chosen {
		a.pending[id]++
	}
	a.asking++
	c.asking++
	terms := st.job().queue.Policy
	cost := terms.DecisionTime + time.Duration(len(chosen))*terms.TimePerServer
	c.act(AskAdvice{Step: st.id(), Servers: chosen, Cost: cost})
	return cost
}

// choose picks servers until their expected room covers the need, those that are
// not held for gangs first. It reports whether they do.
func (p *pass) choose(st *step, need int, share float64, sure, open []*server) (ids []string, enough bool) {
	want := askMargin * float64(need)
	pick := func(servers []*server, chance float64) {
		byRoom := slices.Clone(servers)
		slices.SortFunc(byRoom, func(x, y *server) int {
			return cmp.Or(compareBool(p.wasHeld(x), p.wasHeld(y)), cmp.Compare(y.free.CPU, x.free.CPU))
		})
		for _, s := range byRoom {
			if len(ids) >= maxAsked || want <= 0 && len(ids) >= minAsked {
				return
			}
			ids = append(ids, s.info.ID)
			want -= chance * float64(p.slots(st, s))
		}
	}
	pick(sure, 1)
	if want > 0 {
		pick(open, share)
	}
	return ids, want <= 0
}

// Advised reports the answer to a question about the named servers.
func (c *Core) Advised(id workload.TaskID, asked []string, tickets []Ticket, validity time.Duration, err error) {
	c.asking--
	j := c.jobs[id.Submission]
	if j == nil {
		return
	}
	st := j.step(id.Occurrence, id.Step)
	if st == nil {
		return
	}
	a := &st.advice
	a.asking--
	for _, server := range asked {
		a.pending[server]--
	}
	c.place = true
	if err != nil {
		c.log.Log(events.PolicyRequestFailed, "step", id.StepName(), "servers", len(asked), "error", err.Error())
		a.retryAt = c.now.Add(askRetry)
		return
	}
	c.log.Log(events.PolicyApplied, "step", id.StepName(), "asked", len(asked), "allowed", len(tickets), "validMS", validity.Milliseconds())
	st.take(c, asked, tickets, validity)
}

func (s *step) take(c *Core, asked []string, tickets []Ticket, validity time.Duration) {
	a := &s.advice
	if a.tickets == nil {
		a.tickets = make(map[string]permission)
		a.refused = make(map[serverLife]bool)
		a.allowed = make(map[serverLife]bool)
	}
	learned := c.allowanceOf(s.job().queue.Name)
	yes := make(map[string]bool, len(tickets))
	for _, t := range tickets {
		yes[t.Server] = true
		a.tickets[t.Server] = permission{t.Value, c.now.Add(validity)}
	}
	for _, id := range asked {
		srv := c.servers[id]
		if srv == nil {
			continue
		}
		key := srv.lifeKey()
		if !a.allowed[key] {
			hit := 0.0
			if yes[id] {
				hit = 1
			}
			learned.share += learnWeight * (hit - learned.share)
		}
		if yes[id] {
			a.allowed[key] = true
		} else {
			a.refused[key] = true
		}
	}
}
