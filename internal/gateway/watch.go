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

	watchEvery    = 250 * time.Millisecond
	watchQuiet    = 10 * time.Second
	statusEvery   = time.Second
	statusTimeout = 500 * time.Millisecond
	statusAtOnce  = 16
	noticeTimeout = time.Second
)

// backendWatch knows the backend servers there are and which of them are
// about to stop: by the platform's list, by their own word, or by that of
// another daemon. A server that once was leaving stays so until the list
// names it with another address.
type backendWatch struct {
	o Options

	mu      sync.Mutex
	leaving map[string]string
	vms     map[string]cluster.VM
	changed chan struct{}
}

// leavingNotice tells other daemons that a backend server is about to stop.
type leavingNotice struct {
	Backend string `json:"backend"`
	Address string `json:"address"`
}

func newBackendWatch(o Options) *backendWatch {
	return &backendWatch{
		o: o, leaving: make(map[string]string), vms: make(map[string]cluster.VM),
		changed: make(chan struct{}, 1),
	}
}

func (w *backendWatch) register(peers roles.Peers) {
	peers.Handle(methodBackendLeaving, handle(func(_ context.Context, from string, n leavingNotice) (any, error) {
		w.mark(n.Backend, n.Address, "told by "+from)
		return struct{}{}, nil
	}))
}

// refresh reads the platform's list.
func (w *backendWatch) refresh() {
	vms := make(map[string]cluster.VM)
	for _, vm := range w.o.Members.VMs() {
		if vm.Role == cluster.RoleBackend {
			vms[vm.Name] = vm
		}
	}
	w.mu.Lock()
	w.vms = vms
	for name, address := range w.leaving {
		if vms[name].Address != address {
			delete(w.leaving, name)
		}
	}
	w.mu.Unlock()
	for _, vm := range vms {
		if vm.Leaving {
			w.mark(vm.Name, vm.Address, "list")
		}
	}
}

// mark notes that a backend server is about to stop and reports whether that
// is news.
func (w *backendWatch) mark(name, address, sign string) bool {
	w.mu.Lock()
	_, known := w.leaving[name]
	if !known {
		w.leaving[name] = address
	}
	w.mu.Unlock()
	if known {
		return false
	}
	w.o.Events.Log(events.BackendLeaving, "backend", name, "sign", sign)
	select {
	case w.changed <- struct{}{}:
	default:
	}
	return true
}

// isLeaving reports whether a backend server must get no new work.
func (w *backendWatch) isLeaving(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.leaving[name]
	return ok
}

// vm returns a backend server by name.
func (w *backendWatch) vm(name string) (cluster.VM, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	vm, ok := w.vms[name]
	return vm, ok
}

// list returns all backend servers by name.
func (w *backendWatch) list() []cluster.VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	vms := make([]cluster.VM, 0, len(w.vms))
	for _, vm := range w.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b cluster.VM) int { return cmp.Compare(a.Name, b.Name) })
	return vms
}

// backends returns the backend servers of a part of a share.
func (w *backendWatch) backends(p poolShare) []credit.Backend {
	var all []credit.Backend
	for _, vm := range w.list() {
		if vm.Pool == p.Pool && cluster.BackendShare(vm) == p.Share {
			all = append(all, credit.Backend{Name: vm.Name, Slots: vm.Slots, Leaving: w.isLeaving(vm.Name)})
		}
	}
	return all
}

// region returns where the servers of a part stand.
func (w *backendWatch) region(p poolShare) string {
	for _, vm := range w.list() {
		if cluster.BackendShare(vm) == p.Share {
			return vm.Location.Region
		}
	}
	return ""
}

// parts returns the parts of shares that a pool's servers belong to, with the
// slots of those that are not leaving.
func (w *backendWatch) parts(pool string) []credit.Share {
	var shares []credit.Share
	for _, vm := range w.list() {
		if vm.Pool != pool {
			continue
		}
		name := poolShare{Share: cluster.BackendShare(vm), Pool: pool}.String()
		i := slices.IndexFunc(shares, func(s credit.Share) bool { return s.Name == name })
		if i < 0 {
			shares = append(shares, credit.Share{Name: name, Region: vm.Location.Region})
			i = len(shares) - 1
		}
		if !w.isLeaving(vm.Name) {
			shares[i].Slots += vm.Slots
		}
	}
	return shares
}

// told marks a server that said itself that it is about to stop. It reports
// whether that is news, of which the other daemons are to be told.
func (w *backendWatch) told(vm cluster.VM) bool { return w.mark(vm.Name, vm.Address, "its own word") }

// tell tells the other daemons that a server is about to stop.
func (w *backendWatch) tell(ctx context.Context, vm cluster.VM) {
	notice := leavingNotice{Backend: vm.Name, Address: vm.Address}
	var calls errgroup.Group
	for _, m := range w.o.Members.Live() {
		if m.Daemon.Name == w.o.Self.Name {
			continue
		}
		calls.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
			defer cancel()
			return w.o.Peers.Call(ctx, m.Daemon.Name, methodBackendLeaving, notice, nil)
		})
	}
	// A daemon that did not hear it is told by the server itself.
	_ = calls.Wait()
}

// watchBackends reads the list and asks the servers of owned shares how they
// are.
func (g *Gateway) watchBackends(ctx context.Context, turn duty.Turn) error {
	var asked time.Time
	for {
		g.watch.refresh()
		now := g.o.Now()
		if now.Sub(asked) >= statusEvery {
			asked = now
			g.askBackends(ctx, g.ownedBackends())
		} else {
			g.askBackends(ctx, g.uncertainBackends())
		}
		turn()
		if !duty.Sleep(ctx, watchEvery) {
			return nil
		}
	}
}

// ownedBackends returns the servers of the shares that this daemon owns, and
// those that it has doubts about.
func (g *Gateway) ownedBackends() []cluster.VM {
	vms := g.uncertainBackends()
	for _, vm := range g.watch.list() {
		if _, ok := g.o.Owners.Right(cluster.BackendShare(vm)); ok {
			vms = append(vms, vm)
		}
	}
	return unique(vms)
}

// uncertainBackends returns the servers on which requests may run that nobody
// waits for any more.
func (g *Gateway) uncertainBackends() []cluster.VM {
	var vms []cluster.VM
	for _, name := range append(g.lender.uncertain(), g.loop.doubtful()...) {
		if vm, ok := g.watch.vm(name); ok {
			vms = append(vms, vm)
		}
	}
	return unique(vms)
}

func unique(vms []cluster.VM) []cluster.VM {
	slices.SortFunc(vms, func(a, b cluster.VM) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(vms, func(a, b cluster.VM) bool { return a.Name == b.Name })
}

func (g *Gateway) askBackends(ctx context.Context, vms []cluster.VM) {
	var calls errgroup.Group
	calls.SetLimit(statusAtOnce)
	for _, vm := range vms {
		calls.Go(func() error { g.askBackend(ctx, vm); return nil })
	}
	_ = calls.Wait()
}

func (g *Gateway) askBackend(ctx context.Context, vm cluster.VM) {
	asked := g.o.Now()
	callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := g.o.Backends.Status(callCtx, vm)
	if err != nil {
		return
	}
	if status.Leaving && g.watch.told(vm) {
		g.watch.tell(ctx, vm)
	}
	g.lender.observe(vm, status.Running, asked)
	g.loop.observe(vm.Name, status, asked)
}
