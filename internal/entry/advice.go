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
	// longQuestion is the time from which a question may delay short ones.
	longQuestion = 100 * time.Millisecond
	// shortPart says that one daemon in so many takes short questions only.
	shortPart = 4
	// minRest is how long a daemon gets no question after it failed to answer one,
	// if there are others: its queue at the policy service is full or it is gone.
	// It doubles with each further failure up to maxRest.
	minRest = time.Second
	maxRest = 8 * time.Second
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

// Daemons is how other daemons are known and called.
type Daemons interface {
	roles.Peers
	// Connected lists the daemons with an open connection.
	Connected() []string
}

// PolicyClients spread questions to the policy service over the daemons, since it
// answers each of them one at a time.
type PolicyClients struct {
	self   string
	direct scheduler.PolicyClient
	member *partition.Member
	peers  Daemons
	now    func() time.Time

	mu sync.Mutex
	// open is the time that each daemon's open questions take.
	open map[string]time.Duration
	// resting holds the daemons that failed to answer.
	resting map[string]rest
	next    int
}

// rest is a daemon's time without questions.
type rest struct {
	until time.Time
	last  time.Duration
}

// NewPolicyClients returns Advisors and registers their method with the peers.
func NewPolicyClients(self string, direct scheduler.PolicyClient, member *partition.Member, peers Daemons, now func() time.Time) *PolicyClients {
	a := &PolicyClients{
		self: self, direct: direct, member: member, peers: peers, now: now,
		open: make(map[string]time.Duration), resting: make(map[string]rest),
	}
	peers.Handle(methodAdvise, roles.TypedHandler(reasonBadCall, a.handle))
	return a
}

// OtherDaemons lists the other daemons that are known: those that hold partitions
// and those with a connection to this one.
func (a *PolicyClients) OtherDaemons() []string {
	// Members of the group are named as daemons are.
	names := union(a.member.Holders(), a.peers.Connected())
	return slices.DeleteFunc(names, func(name string) bool { return name == a.self })
}

// union returns the names of all lists, each once and in order.
func union(lists ...[]string) []string {
	names := slices.Concat(lists...)
	slices.Sort(names)
	return slices.Compact(names)
}

// Subset returns the part of the daemons that one of several schedulers asks
// through. Place gives the scheduler's place among them and their number.
// Schedulers on different daemons know nothing of each other's questions, so
// that each keeps to its own part.
func (a *PolicyClients) Subset(place func() (place, of int)) *Subset { return &Subset{a, place} }

// Subset is a scheduler's part of the daemons. It implements
// scheduler.Advisors.
type Subset struct {
	all   *PolicyClients
	place func() (place, of int)
}

func (l *Subset) daemons() []string {
	a := l.all
	place, of := l.place()
	return laneOf(union(a.member.Holders(), a.peers.Connected(), []string{a.self}), place, of)
}

// laneOf returns each of-th name from place on, and all names if there are too
// few for everyone.
func laneOf(names []string, place, of int) []string {
	if of <= 1 || len(names) < of {
		return names
	}
	var out []string
	for i := place % of; i < len(names); i += of {
		out = append(out, names[i])
	}
	return out
}

// Count returns how many daemons can ask.
func (l *Subset) Count() int { return len(l.daemons()) }

// Acquire returns the daemon whose open questions take the least time, and when its
// answer is expected. Questions that take long stay off a part of the daemons,
// so that short ones need not wait behind them.
func (l *Subset) Acquire(cost time.Duration) (scheduler.PolicyClient, time.Duration, func(error)) {
	return l.all.take(l.daemons(), cost)
}

func (a *PolicyClients) take(names []string, cost time.Duration) (scheduler.PolicyClient, time.Duration, func(error)) {
	if cost > longQuestion && len(names) >= shortPart {
		names = names[len(names)/shortPart:]
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
	now := a.now()
	best, bestRests := "", false
	for i := range names {
		name := names[(a.next+i)%len(names)]
		rests := now.Before(a.resting[name].until)
		if best == "" || bestRests && !rests || rests == bestRests && a.open[name] < a.open[best] {
			best, bestRests = name, rests
		}
	}
	a.open[best] += cost + questionOverhead
	wait := a.open[best]
	done := func(err error) { a.done(best, cost, err) }
	if best == a.self {
		return a.direct, wait, done
	}
	return remoteAdvisor{a.peers, best}, wait, done
}

// done takes a question off a daemon, which rests if it brought no answer.
func (a *PolicyClients) done(name string, cost time.Duration, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open[name] -= cost + questionOverhead; a.open[name] <= 0 {
		delete(a.open, name)
	}
	if err == nil {
		delete(a.resting, name)
		return
	}
	now, r := a.now(), a.resting[name]
	if now.Before(r.until) {
		// Questions that were under way together failed for one reason.
		return
	}
	last := min(max(2*r.last, minRest), maxRest)
	a.resting[name] = rest{now.Add(last), last}
}

func (a *PolicyClients) handle(ctx context.Context, _ string, q question) (any, error) {
	tickets, validity, err := a.direct.Authorize(ctx, q.Step, q.Servers)
	return permission{tickets, validity.Milliseconds()}, err
}

// remoteAdvisor asks through another daemon.
type remoteAdvisor struct {
	peers  roles.Peers
	daemon string
}

// Authorize implements scheduler.Advisor.
func (r remoteAdvisor) Authorize(ctx context.Context, step string, servers []string) ([]scheduler.Ticket, time.Duration, error) {
	var p permission
	err := r.peers.Call(ctx, r.daemon, methodAdvise, question{step, servers}, &p)
	return p.Tickets, time.Duration(p.ValidityMS) * time.Millisecond, err
}
