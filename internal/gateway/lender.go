package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/credit"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/verdict"
)

// The methods between daemons that concern slots of backend servers.
const (
	methodCreditAsk    = "gateway.credit.ask"
	methodCreditPrompt = "gateway.credit.prompt"
)

// poolShare is the part of a backend share that belongs to one pool. Slots
// are lent separately for each.
type poolShare struct {
	Share cluster.Share `json:"share"`
	Pool  string        `json:"pool"`
}

// String returns "share pool" and names the part in package credit.
func (p poolShare) String() string { return p.Share.String() + " " + p.Pool }

// creditAsk carries a holder's ask to the owner of the share.
type creditAsk struct {
	Part poolShare      `json:"part"`
	Ask  credit.Request `json:"ask"`
}

// lender lends the slots of the backend shares that this daemon owns.
type lender struct {
	o     Options
	watch *backendWatch
	// prompt tells a daemon to ask again.
	prompt func(daemon string, part poolShare)

	mu    sync.Mutex
	parts map[poolShare]*lendingPart
}

type lendingPart struct {
	epoch uint64
	owner *credit.Owner
	// seen are the servers that were ever listed in the epoch, and listed
	// those of the newest list.
	seen, listed map[string]bool
}

func newLender(o Options, watch *backendWatch) *lender {
	return &lender{o: o, watch: watch, parts: make(map[poolShare]*lendingPart)}
}

// part returns the credit owner of a part, if this daemon may act for its
// share now. The caller holds the lock.
func (l *lender) part(p poolShare) (*credit.Owner, error) {
	right, ok := l.o.Owners.Right(p.Share)
	if !ok {
		return nil, verdict.New(verdict.NotRun, reasonNotOwner, "no right to act for %s", p.Share)
	}
	now := l.o.Now()
	backends := l.watch.backends(p)
	lp, ok := l.parts[p]
	if !ok || lp.epoch != right.Epoch {
		options := credit.OwnerOptions{Share: p.String(), Region: l.watch.region(p), HasPredecessor: right.Epoch > 1}
		lp = &lendingPart{epoch: right.Epoch, owner: credit.NewOwner(options, backends, now), seen: make(map[string]bool)}
		l.parts[p] = lp
	}
	lp.owner.SetBackends(backends, lp.used(backends), now)
	return lp.owner, nil
}

// used reports whether a server that is new to the owner may have been lent
// before: by a predecessor, or by this owner before the list left it out.
func (lp *lendingPart) used(backends []credit.Backend) bool {
	used := lp.epoch > 1
	listed := make(map[string]bool, len(backends))
	for _, b := range backends {
		used = used || lp.seen[b.Name] && !lp.listed[b.Name]
		listed[b.Name], lp.seen[b.Name] = true, true
	}
	lp.listed = listed
	return used
}

// serve answers a holder's ask.
func (l *lender) serve(a creditAsk) (credit.Response, error) {
	l.mu.Lock()
	owner, err := l.part(a.Part)
	if err != nil {
		l.mu.Unlock()
		return credit.Response{}, err
	}
	answer, prompts, err := owner.Serve(a.Ask, l.o.Now())
	l.mu.Unlock()
	if err != nil {
		return answer, verdict.Wrap(err, verdict.NotRun, reasonStaleAsk)
	}
	for _, daemon := range prompts {
		l.prompt(daemon, a.Part)
	}
	return answer, nil
}

func (l *lender) register(peers roles.Peers) {
	peers.Handle(methodCreditAsk, handle(func(_ context.Context, _ string, a creditAsk) (any, error) {
		return l.serve(a)
	}))
}

// uncertain returns the backend servers whose state would settle what became
// of slots that were lent.
func (l *lender) uncertain() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.o.Now()
	var names []string
	for _, lp := range l.parts {
		names = append(names, lp.owner.UncertainBackends(now)...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// observe takes in how many requests a backend server ran when it was asked.
func (l *lender) observe(vm cluster.VM, running int, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := poolShare{Share: cluster.BackendShare(vm), Pool: vm.Pool}
	if lp, ok := l.parts[p]; ok {
		lp.owner.ObserveRunning(vm.Name, running, asked)
	}
}

// lendings returns what is lent, for the state dump.
func (l *lender) lendings() map[string][]credit.BackendLeases {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string][]credit.BackendLeases, len(l.parts))
	for p, lp := range l.parts {
		all[p.String()] = lp.owner.Leases()
	}
	return all
}
