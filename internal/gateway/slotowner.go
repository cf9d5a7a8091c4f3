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
	signalRefresh func(daemon string, share poolShare)

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

func newSlotOwner(o Options, registry *backendRegistry) *slotOwner {
	return &slotOwner{o: o, registry: registry, owned: make(map[poolShare]*ownedPoolShare)}
}

// creditOwner returns the credit owner of a pool share, if this daemon may act for
// its share now. The caller holds the lock.
func (s *slotOwner) creditOwner(p poolShare) (*credit.Owner, error) {
	right, ok := s.o.Owners.Lease(p.Share)
	if !ok {
		return nil, verdict.New(verdict.NotRun, reasonNotOwner, "no right to act for %s", p.Share)
	}
	now := s.o.Now()
	backends := s.registry.backends(p)
	share, ok := s.owned[p]
	if !ok || share.epoch != right.Epoch {
		options := credit.OwnerOptions{Share: p.String(), Region: s.registry.region(p), HasPredecessor: right.Epoch > 1}
		share = &ownedPoolShare{epoch: right.Epoch, owner: credit.NewOwner(options, backends, now), seen: make(map[string]bool)}
		s.owned[p] = share
	}
	share.owner.SetBackends(backends, share.mayHaveBeenLeased(backends), now)
	return share.owner, nil
}

// mayHaveBeenLeased reports whether slots of a backend server that is new to the
// owner may be leased already: by a predecessor, or by this owner before a list
// left the server out.
func (p *ownedPoolShare) mayHaveBeenLeased(backends []credit.Backend) bool {
	maybeLeased := p.epoch > 1
	listed := make(map[string]bool, len(backends))
	for _, b := range backends {
		maybeLeased = maybeLeased || p.seen[b.Name] && !p.listed[b.Name]
		listed[b.Name], p.seen[b.Name] = true, true
	}
	p.listed = listed
	return maybeLeased
}

// serve handles a holder's request and signals the holders that should request
// slots again.
func (s *slotOwner) serve(r creditRequest) (credit.Response, error) {
	s.mu.Lock()
	owner, err := s.creditOwner(r.Part)
	if err != nil {
		s.mu.Unlock()
		return credit.Response{}, err
	}
	response, signals, err := owner.Serve(r.Request, s.o.Now())
	s.mu.Unlock()
	if err != nil {
		return response, verdict.Wrap(err, verdict.NotRun, reasonStaleRequest)
	}
	for _, daemon := range signals {
		s.signalRefresh(daemon, r.Part)
	}
	return response, nil
}

func (s *slotOwner) register(peers roles.Peers) {
	peers.Handle(methodCreditRequest, handle(func(_ context.Context, _ string, r creditRequest) (any, error) {
		return s.serve(r)
	}))
}

// uncertainBackends returns the backend servers whose status would show whether
// leased slots of unreachable holders are still in use.
func (s *slotOwner) uncertainBackends() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Now()
	var names []string
	for _, share := range s.owned {
		names = append(names, share.owner.UncertainBackends(now)...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// observeStatus records how many requests a backend server ran when it was asked.
func (s *slotOwner) observeStatus(vm cluster.VM, running int, probedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := poolShare{Share: cluster.BackendShare(vm), Pool: vm.Pool}
	if share, ok := s.owned[p]; ok {
		share.owner.ObserveRunning(vm.Name, running, probedAt)
	}
}

// leases returns the leased slots by pool share, for the state dump.
func (s *slotOwner) leases() map[string][]credit.BackendLeases {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string][]credit.BackendLeases, len(s.owned))
	for p, share := range s.owned {
		all[p.String()] = share.owner.Leases()
	}
	return all
}
