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
	methodCreditRequest = "gateway.credit.ask"
	methodCreditRefresh = "gateway.credit.prompt"
)

// poolShare is the part of a backend share that belongs to one pool. Slots are
// leased per pool share.
type poolShare struct {
	Share cluster.Share `json:"share"`
	Pool  string        `json:"pool"`
}

// String returns "share pool", the name of the pool share in package credit.
func (p poolShare) String() string { return p.Share.String() + " " + p.Pool }

// creditRequest carries a holder's request for slots to the owner of the share.
type creditRequest struct {
	Part    poolShare      `json:"part"`
	Request credit.Request `json:"ask"`
}

// slotOwner leases the slots of the backend shares that this daemon owns.
type slotOwner struct {
	o        Options
	registry *backendRegistry
	// signalRefresh tells a daemon to request slots again.
	signalRefresh func(daemon string, creditOwner poolShare)

	mu    sync.Mutex
	owned map[poolShare]*ownedPoolShare
}

type ownedPoolShare struct {
	epoch uint64
	owner *credit.Owner
	// seen holds the backend servers that were ever listed in the epoch, and
	// listed those of the newest list.
	seen, listed map[string]bool
}

func newSlotOwner(o Options, watch *backendRegistry) *slotOwner {
	return &slotOwner{o: o, registry: watch, owned: make(map[poolShare]*ownedPoolShare)}
}

// creditOwner returns the credit owner of a pool share, if this daemon may act for
// its share now. The caller holds the lock.
func (l *slotOwner) creditOwner(p poolShare) (*credit.Owner, error) {
	right, ok := l.o.Owners.Right(p.Share)
	if !ok {
		return nil, verdict.New(verdict.NotRun, reasonNotOwner, "no right to act for %s", p.Share)
	}
	now := l.o.Now()
	backends := l.registry.backends(p)
	share, ok := l.owned[p]
	if !ok || share.epoch != right.Epoch {
		options := credit.OwnerOptions{Share: p.String(), Region: l.registry.region(p), HasPredecessor: right.Epoch > 1}
		share = &ownedPoolShare{epoch: right.Epoch, owner: credit.NewOwner(options, backends, now), seen: make(map[string]bool)}
		l.owned[p] = share
	}
	share.owner.SetBackends(backends, share.mayHaveBeenLeased(backends), now)
	return share.owner, nil
}

// mayHaveBeenLeased reports whether slots of a backend server that is new to the
// owner may be leased already: by a predecessor, or by this owner before a list
// left the server out.
func (lp *ownedPoolShare) mayHaveBeenLeased(backends []credit.Backend) bool {
	used := lp.epoch > 1
	listed := make(map[string]bool, len(backends))
	for _, b := range backends {
		used = used || lp.seen[b.Name] && !lp.listed[b.Name]
		listed[b.Name], lp.seen[b.Name] = true, true
	}
	lp.listed = listed
	return used
}

// serve handles a holder's request and signals the holders that should request
// slots again.
func (l *slotOwner) serve(r creditRequest) (credit.Response, error) {
	l.mu.Lock()
	owner, err := l.creditOwner(r.Part)
	if err != nil {
		l.mu.Unlock()
		return credit.Response{}, err
	}
	response, signals, err := owner.Serve(r.Request, l.o.Now())
	l.mu.Unlock()
	if err != nil {
		return response, verdict.Wrap(err, verdict.NotRun, reasonStaleRequest)
	}
	for _, daemon := range signals {
		l.signalRefresh(daemon, r.Part)
	}
	return response, nil
}

func (l *slotOwner) register(peers roles.Peers) {
	peers.Handle(methodCreditRequest, handle(func(_ context.Context, _ string, a creditRequest) (any, error) {
		return l.serve(a)
	}))
}

// uncertainBackends returns the backend servers whose status would show whether
// leased slots of unreachable holders are still in use.
func (l *slotOwner) uncertainBackends() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.o.Now()
	var names []string
	for _, lp := range l.owned {
		names = append(names, lp.owner.UncertainBackends(now)...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// observeStatus records how many requests a backend server ran when it was asked.
func (l *slotOwner) observeStatus(vm cluster.VM, running int, probedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := poolShare{Share: cluster.BackendShare(vm), Pool: vm.Pool}
	if lp, ok := l.owned[p]; ok {
		lp.owner.ObserveRunning(vm.Name, running, probedAt)
	}
}

// leases returns the leased slots by pool share, for the state dump.
func (l *slotOwner) leases() map[string][]credit.BackendLeases {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string][]credit.BackendLeases, len(l.owned))
	for p, lp := range l.owned {
		all[p.String()] = lp.owner.Leases()
	}
	return all
}
