package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/credit"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"golang.org/x/sync/errgroup"
)

const (
	methodBackendLeaving = "gateway.backend.leaving"

	monitorInterval     = 250 * time.Millisecond
	monitorStallTimeout = 10 * time.Second
	statusInterval      = time.Second
	statusTimeout       = 500 * time.Millisecond
	maxConcurrentProbes = 16
	noticeTimeout       = time.Second
)

// backendRegistry holds the known backend servers and which of them are leaving,
// that is, about to stop: according to the platform's list, their own status or
// another daemon. A server stays leaving until the list names it with another
// address or no longer names it.
type backendRegistry struct {
	o Options

	mu         sync.Mutex
	leaving    map[string]string
	backendVMs map[string]cluster.VM
	changed    chan struct{}
}

// leavingNotice tells other daemons that a backend server is about to stop.
type leavingNotice struct {
	Backend string `json:"backend"`
	Address string `json:"address"`
}

func newBackendRegistry(o Options) *backendRegistry {
	return &backendRegistry{
		o: o, leaving: make(map[string]string), backendVMs: make(map[string]cluster.VM),
		changed: make(chan struct{}, 1),
	}
}

func (r *backendRegistry) register(peers roles.Peers) {
	peers.Handle(methodBackendLeaving, handle(func(_ context.Context, from string, n leavingNotice) (any, error) {
		r.markLeaving(n.Backend, n.Address, "reported by daemon "+from)
		return struct{}{}, nil
	}))
}

// refresh updates the registry from the platform's list.
func (r *backendRegistry) refresh() {
	vms := make(map[string]cluster.VM)
	for _, vm := range r.o.Members.VMs() {
		if vm.Role == cluster.RoleBackend {
			vms[vm.Name] = vm
		}
	}
	r.mu.Lock()
	r.backendVMs = vms
	for name, address := range r.leaving {
		if vms[name].Address != address {
			delete(r.leaving, name)
		}
	}
	r.mu.Unlock()
	for _, vm := range vms {
		if vm.Leaving {
			r.markLeaving(vm.Name, vm.Address, "list")
		}
	}
}

// markLeaving marks a backend server as leaving and reports whether it was not
// marked before. The source says who reported it.
func (r *backendRegistry) markLeaving(name, address, source string) bool {
	r.mu.Lock()
	_, alreadyLeaving := r.leaving[name]
	if !alreadyLeaving {
		r.leaving[name] = address
	}
	r.mu.Unlock()
	if alreadyLeaving {
		return false
	}
	r.o.Events.Log(events.BackendLeaving, "backend", name, "sign", source)
	select {
	case r.changed <- struct{}{}:
	default:
	}
	return true
}

// isLeaving reports whether a backend server must get no new work.
func (r *backendRegistry) isLeaving(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.leaving[name]
	return ok
}

// vm returns a backend server by name.
func (r *backendRegistry) vm(name string) (cluster.VM, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	vm, ok := r.backendVMs[name]
	return vm, ok
}

// all returns all backend servers, sorted by name.
func (r *backendRegistry) all() []cluster.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	vms := make([]cluster.VM, 0, len(r.backendVMs))
	for _, vm := range r.backendVMs {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b cluster.VM) int { return cmp.Compare(a.Name, b.Name) })
	return vms
}

// backends returns the backend servers of a pool share.
func (r *backendRegistry) backends(p poolShare) []credit.Backend {
	var all []credit.Backend
	for _, vm := range r.all() {
		if vm.Pool == p.Pool && cluster.BackendShare(vm) == p.Share {
			all = append(all, credit.Backend{Name: vm.Name, Slots: vm.Slots, Leaving: r.isLeaving(vm.Name)})
		}
	}
	return all
}

// region returns the region of a pool share's backend servers.
func (r *backendRegistry) region(p poolShare) string {
	for _, vm := range r.all() {
		if cluster.BackendShare(vm) == p.Share {
			return vm.Location.Region
		}
	}
	return ""
}

// poolShares returns the pool shares of a pool, with the slots of their servers
// that are not leaving.
func (r *backendRegistry) poolShares(pool string) []credit.Share {
	var shares []credit.Share
	for _, vm := range r.all() {
		if vm.Pool != pool {
			continue
		}
		name := poolShare{Share: cluster.BackendShare(vm), Pool: pool}.String()
		i := slices.IndexFunc(shares, func(s credit.Share) bool { return s.Name == name })
		if i < 0 {
			shares = append(shares, credit.Share{Name: name, Region: vm.Location.Region})
			i = len(shares) - 1
		}
		if !r.isLeaving(vm.Name) {
			shares[i].Slots += vm.Slots
		}
	}
	return shares
}

// markReported marks a backend server that reported itself as leaving. It reports
// whether it was not marked before; the other daemons must then be notified.
func (r *backendRegistry) markReported(vm cluster.VM) bool {
	return r.markLeaving(vm.Name, vm.Address, "its own status")
}

// notifyDaemons tells the other daemons that a backend server is about to stop.
func (r *backendRegistry) notifyDaemons(ctx context.Context, vm cluster.VM) {
	notice := leavingNotice{Backend: vm.Name, Address: vm.Address}
	var calls errgroup.Group
	for _, m := range r.o.Members.Live() {
		if m.Daemon.Name == r.o.Self.Name {
			continue
		}
		calls.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
			defer cancel()
			return r.o.Peers.Call(ctx, m.Daemon.Name, methodBackendLeaving, notice, nil)
		})
	}
	// A daemon that was not reached learns it from the server's next response.
	_ = calls.Wait()
}

// monitorBackends updates the registry from the platform's list and probes the
// status of backend servers: every statusInterval those of owned shares, and in
// between those with unconfirmed or uncertain slots.
func (g *Gateway) monitorBackends(ctx context.Context, turn duty.Heartbeat) error {
	var lastProbe time.Time
	for {
		g.registry.refresh()
		now := g.o.Now()
		if now.Sub(lastProbe) >= statusInterval {
			lastProbe = now
			g.probeBackends(ctx, g.backendsToProbe())
		} else {
			g.probeBackends(ctx, g.uncertainBackends())
		}
		turn()
		if !duty.Sleep(ctx, monitorInterval) {
			return nil
		}
	}
}

// backendsToProbe returns the backend servers of the shares that this daemon owns,
// and the uncertain ones.
func (g *Gateway) backendsToProbe() []cluster.VM {
	vms := g.uncertainBackends()
	for _, vm := range g.registry.all() {
		if _, ok := g.o.Owners.Lease(cluster.BackendShare(vm)); ok {
			vms = append(vms, vm)
		}
	}
	return unique(vms)
}

// uncertainBackends returns the backend servers that may run requests that no
// caller waits for, and those that are unreachable.
func (g *Gateway) uncertainBackends() []cluster.VM {
	var vms []cluster.VM
	for _, name := range append(g.slotOwner.uncertainBackends(), g.dispatcher.unconfirmedBackends()...) {
		if vm, ok := g.registry.vm(name); ok {
			vms = append(vms, vm)
		}
	}
	return unique(vms)
}

func unique(vms []cluster.VM) []cluster.VM {
	slices.SortFunc(vms, func(a, b cluster.VM) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(vms, func(a, b cluster.VM) bool { return a.Name == b.Name })
}

func (g *Gateway) probeBackends(ctx context.Context, vms []cluster.VM) {
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentProbes)
	for _, vm := range vms {
		calls.Go(func() error { g.probeBackend(ctx, vm); return nil })
	}
	_ = calls.Wait()
}

func (g *Gateway) probeBackend(ctx context.Context, vm cluster.VM) {
	probedAt := g.o.Now()
	callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := g.o.Backends.Status(callCtx, vm)
	if err != nil {
		return
	}
	if status.Leaving && g.registry.markReported(vm) {
		g.registry.notifyDaemons(ctx, vm)
	}
	g.slotOwner.observeStatus(vm, status.Running, probedAt)
	g.dispatcher.observeStatus(vm.Name, status, probedAt)
}
