package owner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/owner"
	"github.com/currantwinch/currantwinch/internal/peer"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/standin/logstandin"
	"github.com/currantwinch/currantwinch/internal/standin/memnet"
	"github.com/currantwinch/currantwinch/internal/standin/vmstandin"
	"github.com/currantwinch/currantwinch/internal/statelog"
)

const credential = "system/currantwinch:secret"

// listOf reads the stand-in's list without HTTP.
type listOf struct{ vms *vmstandin.VMs }

func (l listOf) List(context.Context) ([]cluster.VM, error) { return l.vms.Visible(), nil }

// cell is a cell of daemons in virtual time.
type cell struct {
	t       testing.TB
	network *memnet.Network
	log     *logstandin.Log
	vms     *vmstandin.VMs
	// mu guards what the watch reads.
	mu    sync.Mutex
	nodes map[string]*node
	// gap measures, for each share, the longest time without an owner and
	// the moves between daemons.
	watch   map[cluster.Share]*watched
	doubles int
	stop    chan struct{}
	done    chan struct{}
}

type watched struct {
	owner   string
	last    time.Time
	longest time.Duration
	moves   int
	// process and epoch are of the owner's tenure, resets the changes of epoch
	// that its process went through while it stayed the owner.
	process string
	epoch   uint64
	resets  int
}

// node is one daemon process.
type node struct {
	name, incarnation string
	host              *memnet.Host
	group             *duty.Group
	path              *logstandin.Client
	set               *metrics.Set
	peers             *peer.Peers
	store             *statelog.Store
	owner             *owner.Owner
}

func entryVM(i int) cluster.VM {
	region := fmt.Sprint("r", i%3)
	return cluster.VM{
		Name: fmt.Sprint("d", i), Role: cluster.RoleEntry, Address: fmt.Sprint("d", i, ":1"),
		Location: cluster.Location{Region: region, FailureDomain: fmt.Sprint(region, "-", i%2)},
	}
}

// newCell has n daemons, and workers and backend servers in three regions.
func newCell(t testing.TB, n, racks int) *cell {
	c := &cell{
		t: t, network: memnet.New(), log: logstandin.New(time.Now),
		vms: vmstandin.New(time.Now, 5*time.Second), nodes: make(map[string]*node),
		watch: make(map[cluster.Share]*watched), stop: make(chan struct{}), done: make(chan struct{}),
	}
	for a := range 3 {
		for b := range 3 {
			latency := 1500 * time.Microsecond
			if a != b {
				latency = 12 * time.Millisecond
			}
			c.network.SetLatency(fmt.Sprint("r", a), fmt.Sprint("r", b), latency)
		}
	}
	for i := range n {
		c.vms.Put(entryVM(i))
	}
	for i := range racks {
		region := fmt.Sprint("r", i%3)
		c.vms.Put(cluster.VM{Name: fmt.Sprint("w", i), Role: cluster.RoleWorker, Location: cluster.Location{Region: region, FailureDomain: region, Rack: fmt.Sprint(i)}})
		c.vms.Put(cluster.VM{Name: fmt.Sprint("b", i), Role: cluster.RoleBackend, Location: cluster.Location{Region: region, FailureDomain: region}})
	}
	c.vms.SetLag(0)
	return c
}

// run starts all daemons and the watch over rights.
func (c *cell) run(n int) {
	for i := range n {
		c.start(i, 1)
	}
	go c.watchRights()
}

func (c *cell) start(i, incarnation int) *node {
	vm := entryVM(i)
	host := c.network.Host(vm.Name, vm.Location.Region)
	listener, err := host.Listen(vm.Address)
	if err != nil {
		c.t.Fatal(err)
	}
	n := &node{
		name: vm.Name, incarnation: fmt.Sprint(vm.Name, ".", incarnation), host: host,
		group: duty.New(time.Now), path: logstandin.NewClient(c.log), set: metrics.NewSet(),
	}
	base := roles.Base{
		Self: cluster.Daemon{Name: n.name, Incarnation: n.incarnation, Location: vm.Location, PeerAddress: vm.Address},
		Now:  time.Now, Seed: uint64(i + 100*incarnation), Duties: n.group, Events: events.Discard(), Metrics: n.set,
	}
	n.peers = peer.New(peer.Options{
		Base: base, Listener: listener, Dial: host.Dial,
		Resolve: func(daemon string) (string, bool) { return n.owner.Resolve(daemon) },
	})
	n.store = statelog.New(statelog.Options{
		Base: base, Log: n.path, SystemCredential: credential, Peers: n.peers,
		PeerNames: func() []string {
			var names []string
			for _, m := range n.owner.Live() {
				if m.Daemon.Name != n.name {
					names = append(names, m.Daemon.Name)
				}
			}
			return names
		},
		AllowDataLoss: true, StartRecoveryTimeout: time.Millisecond,
	})
	n.owner = owner.New(owner.Options{
		Base: base, VMList: listOf{c.vms}, State: n.store, Log: n.store, Peers: n.peers, SystemCredential: credential,
	})
	for _, role := range []roles.Role{n.peers, n.store, n.owner} {
		if err := role.Start(context.Background()); err != nil {
			c.t.Fatal(err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[n.name] = n
	return n
}

// crash ends a daemon without a word.
func (c *cell) crash(name string) {
	n := c.remove(name)
	c.network.Crash(name)
	n.path.SetUnreachable(true)
	c.end(n)
}

func (c *cell) end(n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.peers.Stop(ctx)
	_ = n.owner.Stop(ctx)
	stopCtx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := n.group.Stop(stopCtx); err != nil {
		c.t.Error(err)
	}
	if err := n.peers.Stop(stopCtx); err != nil {
		c.t.Error(err)
	}
}

// leave ends a daemon as a planned stop does.
func (c *cell) leave(name string, within time.Duration) error {
	n := c.nodes[name]
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	err := n.owner.Stop(ctx)
	c.remove(name)
	c.end(n)
	return err
}

func (c *cell) remove(name string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[name]
	delete(c.nodes, name)
	return n
}

func (c *cell) close() {
	close(c.stop)
	<-c.done
	for name := range c.nodes {
		c.crash(name)
	}
	c.network.Close()
	time.Sleep(time.Minute)
}

// watchRights samples who may act, every 10 ms.
func (c *cell) watchRights() {
	defer close(c.done)
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
			c.sample(time.Now())
		}
	}
}

func (c *cell) sample(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	holders := make(map[cluster.Share]watched)
	for name, n := range c.nodes {
		for _, r := range n.owner.Leases() {
			if other, ok := holders[r.Share]; ok {
				c.doubles++
				c.t.Errorf("%v: %s and %s may act", r.Share, other.owner, name)
			}
			holders[r.Share] = watched{owner: name, process: n.incarnation, epoch: r.Epoch, last: now}
		}
	}
	for share, h := range holders {
		w, ok := c.watch[share]
		if !ok {
			c.watch[share] = &h
			continue
		}
		w.take(h)
	}
}

// take brings what is known of a share up to its holder as of now.
func (w *watched) take(h watched) {
	w.longest = max(w.longest, h.last.Sub(w.last))
	if w.owner != h.owner {
		w.moves++
	}
	if w.process == h.process && w.epoch != h.epoch {
		w.resets++
	}
	w.owner, w.process, w.epoch, w.last = h.owner, h.process, h.epoch, h.last
}

// reset forgets what was measured so far.
func (c *cell) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.watch {
		w.longest, w.moves, w.resets = 0, 0, 0
	}
}

type outcome struct {
	shares, moves, resets int
	longest               time.Duration
	// unowned counts the shares that nobody may act for now.
	unowned int
}

func (c *cell) outcome() outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := outcome{shares: len(c.watch)}
	for _, w := range c.watch {
		o.moves += w.moves
		o.resets += w.resets
		o.longest = max(o.longest, w.longest)
		if time.Since(w.last) > 50*time.Millisecond {
			o.unowned++
		}
	}
	return o
}

// held counts the shares of a daemon.
func (c *cell) held(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, w := range c.watch {
		if w.owner == name {
			count++
		}
	}
	return count
}
