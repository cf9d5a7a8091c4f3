package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/partition"
)

const methodAdvise = "submission.advise"

const (
	// longRequest is the duration from which a request may delay short ones
	// noticeably.
	longRequest = 100 * time.Millisecond
	// reservedForShort: one in this many daemons takes only short requests.
	reservedForShort = 4
	// minBackoff is how long a daemon gets no policy requests, if there are
	// others, after it failed to answer one: its queue at the policy service is
	// full or the daemon is gone. Each further failure doubles it, up to
	// maxBackoff.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// requestOverhead is the time of a request beyond what the queue's settings
	// say.
	requestOverhead = 2 * time.Millisecond
)

// authorizeCall is a policy request that another daemon sends to the policy
// service.
type authorizeCall struct {
	Step    string   `json:"step"`
	Servers []string `json:"servers"`
}

type authorizeReply struct {
	Tickets    []scheduler.Ticket `json:"tickets"`
	ValidityMS int64              `json:"validityMS"`
}

// Daemons lists and calls the other daemons.
type Daemons interface {
	roles.Peers
	// Connected lists the daemons with an open connection.
	Connected() []string
}

// PolicyClients distributes policy requests over the daemons, since the policy
// service answers the requests of one daemon one at a time.
type PolicyClients struct {
	self   string
	direct scheduler.PolicyClient
	member *partition.Member
	peers  Daemons
	now    func() time.Time

	mu sync.Mutex
	// openTime is the expected time of each daemon's open requests.
	openTime map[string]time.Duration
	// backoffs holds the daemons that failed to answer.
	backoffs  backoffs
	nextIndex int
}

// NewPolicyClients returns PolicyClients and registers its method with the
// peers.
func NewPolicyClients(self string, direct scheduler.PolicyClient, member *partition.Member, peers Daemons, now func() time.Time) *PolicyClients {
	a := &PolicyClients{
		self: self, direct: direct, member: member, peers: peers, now: now,
		openTime: make(map[string]time.Duration), backoffs: make(backoffs),
	}
	peers.Handle(methodAdvise, roles.TypedHandler(reasonBadCall, a.handle))
	return a
}

// OtherDaemons lists the other known daemons: those that hold partitions and
// those connected to this one.
func (a *PolicyClients) OtherDaemons() []string {
	// Group members have the same names as daemons.
	names := union(a.member.Holders(), a.peers.Connected())
	return slices.DeleteFunc(names, func(name string) bool { return name == a.self })
}

// union returns the sorted names of all lists without duplicates.
func union(lists ...[]string) []string {
	names := slices.Concat(lists...)
	slices.Sort(names)
	return slices.Compact(names)
}

// Subset returns the subset of the daemons that one of several schedulers uses.
// Place returns the scheduler's index among them and their number. Schedulers
// on different daemons do not know each other's requests, so that each uses a
// subset of its own.
func (a *PolicyClients) Subset(place func() (place, of int)) *Subset { return &Subset{a, place} }

// Subset is a scheduler's subset of the daemons. It implements
// scheduler.PolicyClients.
type Subset struct {
	all   *PolicyClients
	place func() (place, of int)
}

func (l *Subset) daemons() []string {
	a := l.all
	place, of := l.place()
	return subsetOf(union(a.member.Holders(), a.peers.Connected(), []string{a.self}), place, of)
}

// subsetOf returns every of-th name from index place on, or all names if there
// are fewer than subsets.
func subsetOf(names []string, place, of int) []string {
	if of <= 1 || len(names) < of {
		return names
	}
	var out []string
	for i := place % of; i < len(names); i += of {
		out = append(out, names[i])
	}
	return out
}

// Count returns the number of daemons in the subset.
func (l *Subset) Count() int { return len(l.daemons()) }

// Acquire returns the daemon whose open requests take the least time, and the
// expected time to its answer. Long requests are kept off some of the daemons,
// so that short ones do not queue behind them.
func (l *Subset) Acquire(cost time.Duration) (scheduler.PolicyClient, time.Duration, func(error)) {
	return l.all.acquire(l.daemons(), cost)
}

func (a *PolicyClients) acquire(names []string, cost time.Duration) (scheduler.PolicyClient, time.Duration, func(error)) {
	if cost > longRequest && len(names) >= reservedForShort {
		names = names[len(names)/reservedForShort:]
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nextIndex++
	now := a.now()
	best, bestRests := "", false
	for i := range names {
		name := names[(a.nextIndex+i)%len(names)]
		rests := a.backoffs.active(name, now)
		if best == "" || bestRests && !rests || rests == bestRests && a.openTime[name] < a.openTime[best] {
			best, bestRests = name, rests
		}
	}
	a.openTime[best] += cost + requestOverhead
	wait := a.openTime[best]
	done := func(err error) { a.done(best, cost, err) }
	if best == a.self {
		return a.direct, wait, done
	}
	return remotePolicyClient{a.peers, best}, wait, done
}

// done removes a request from a daemon's queue. A daemon that failed to answer
// backs off.
func (a *PolicyClients) done(name string, cost time.Duration, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.openTime[name] -= cost + requestOverhead; a.openTime[name] <= 0 {
		delete(a.openTime, name)
	}
	a.backoffs.record(name, a.now(), err)
}

func (a *PolicyClients) handle(ctx context.Context, _ string, q authorizeCall) (any, error) {
	tickets, validity, err := a.direct.Authorize(ctx, q.Step, q.Servers)
	return authorizeReply{tickets, validity.Milliseconds()}, err
}

// remotePolicyClient sends policy requests through another daemon.
type remotePolicyClient struct {
	peers  roles.Peers
	daemon string
}

// Authorize implements scheduler.PolicyClient.
func (r remotePolicyClient) Authorize(ctx context.Context, step string, servers []string) ([]scheduler.Ticket, time.Duration, error) {
	var p authorizeReply
	err := r.peers.Call(ctx, r.daemon, methodAdvise, authorizeCall{step, servers}, &p)
	return p.Tickets, time.Duration(p.ValidityMS) * time.Millisecond, err
}
