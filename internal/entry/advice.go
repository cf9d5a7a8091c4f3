package entry

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

const methodAdvise = "submission.advise"

const (
	// longQuestion is the time from which a question may delay short ones.
	longQuestion = 100 * time.Millisecond
	// shortPart says that one daemon in so many takes short questions only.
	shortPart = 4
	// questionOverhead is the time of a question beside what its terms say.
	questionOverhead = 2 * time.Millisecond
)

// question is a question to the policy service, put through another daemon.
type question struct {
	Step    string   `json:"step"`
	Servers []string `json:"servers"`
}

type permission struct {
	Tickets    []scheduler.Ticket `json:"tickets"`
	ValidityMS int64              `json:"validityMS"`
}

// Advisors spread questions to the policy service over the daemons, since it
// answers each of them one at a time.
type Advisors struct {
	self   string
	direct scheduler.Advisor
	member *partition.Member
	peers  roles.Peers

	mu sync.Mutex
	// open is the time that each daemon's open questions take.
	open map[string]time.Duration
	next int
}

// NewAdvisors returns Advisors and registers their method with the peers.
func NewAdvisors(self string, direct scheduler.Advisor, member *partition.Member, peers roles.Peers) *Advisors {
	a := &Advisors{self: self, direct: direct, member: member, peers: peers, open: make(map[string]time.Duration)}
	peers.Handle(methodAdvise, a.handle)
	return a
}

func (a *Advisors) daemons() []string { return append(a.Others(), a.self) }

// Others lists the other daemons that hold partitions.
func (a *Advisors) Others() []string {
	var names []string
	for _, member := range a.member.Members() {
		if daemon := DaemonOf(member); daemon != a.self {
			names = append(names, daemon)
		}
	}
	return names
}

// Count returns how many daemons can ask.
func (a *Advisors) Count() int { return len(a.daemons()) }

// Take returns the daemon whose open questions take the least time. Questions
// that take long stay off a part of the daemons, so that short ones need not
// wait behind them.
func (a *Advisors) Take(cost time.Duration) (scheduler.Advisor, func()) {
	names := a.daemons()
	slices.Sort(names)
	if cost > longQuestion && len(names) >= shortPart {
		names = names[len(names)/shortPart:]
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
	best := ""
	for i := range names {
		name := names[(a.next+i)%len(names)]
		if best == "" || a.open[name] < a.open[best] {
			best = name
		}
	}
	a.open[best] += cost + questionOverhead
	done := func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.open[best] -= cost + questionOverhead; a.open[best] <= 0 {
			delete(a.open, best)
		}
	}
	if best == a.self {
		return a.direct, done
	}
	return remoteAdvisor{a.peers, best}, done
}

func (a *Advisors) handle(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var q question
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, verdict.Wrap(errors.Wrap(err, "read question"), verdict.NotRun, "bad_call")
	}
	tickets, validity, err := a.direct.Advise(ctx, q.Step, q.Servers)
	return permission{tickets, validity.Milliseconds()}, err
}

// remoteAdvisor asks through another daemon.
type remoteAdvisor struct {
	peers  roles.Peers
	daemon string
}

// Advise implements scheduler.Advisor.
func (r remoteAdvisor) Advise(ctx context.Context, step string, servers []string) ([]scheduler.Ticket, time.Duration, error) {
	var p permission
	err := r.peers.Call(ctx, r.daemon, methodAdvise, question{step, servers}, &p)
	return p.Tickets, time.Duration(p.ValidityMS) * time.Millisecond, err
}
