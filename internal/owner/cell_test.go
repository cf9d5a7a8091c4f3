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

// standinList reads the stand-in's VM list without HTTP.
type standinList struct{ vms *vmstandin.VMs }

func (l standinList) List(context.Context) ([]cluster.VM, error) { return l.vms.Visible(), nil }

// testCell runs a cell of daemons in virtual time.
type testCell struct {
	t       testing.TB
	network *memnet.Network
	log     *logstandin.Log
	vms     *vmstandin.VMs
	// mu guards nodes, stats and doubleOwners.
	mu    sync.Mutex
	nodes map[string]*node
	// stats holds, for each share, the longest time without an owner and the
	// number of moves between daemons.
	stats        map[cluster.Share]*shareStats
	doubleOwners int
	stop         chan struct{}
	done         chan struct{}
}

type shareStats struct {
	owner      string
	lastOwned  time.Time
	longestGap time.Duration
	moves      int
	// process and epoch are those of the owner's tenure. epochChanges counts
	// changes of the epoch while the owner's process stayed the same.
	process      string
	epoch        uint64
	epochChanges int
}

// node runs the roles of one daemon process.
type node struct {
	name, incarnation string
	host              *memnet.Host
	group             *duty.Group
	logClient         *logstandin.Client
	metrics           *metrics.Set
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

// newCell returns a cell of n daemons, with the given number of racks and as
// many backend servers in three regions.
func newCell(t testing.TB, n, racks int) *testCell {
	c := &testCell{
		t: t, network: memnet.New(), log: logstandin.New(time.Now),
		vms: vmstandin.New(time.Now, 5*time.Second), nodes: make(map[string]*node),
		stats: make(map[cluster.Share]*shareStats), stop: make(chan struct{}), done: make(chan struct{}),
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

// run starts all daemons and the sampling of their leases.
func (c *testCell) run(n int) {
	for i := range n {
		c.start(i, 1)
	}
	go c.sampleLeases()
}

func (c *testCell) start(i, incarnation int) *node {
	vm := entryVM(i)
	host := c.network.Host(vm.Name, vm.Location.Region)
	listener, err := host.Listen(vm.Address)
	if err != nil {
		c.t.Fatal(err)
	}
	n := &node{
		name: vm.Name, incarnation: fmt.Sprint(vm.Name, ".", incarnation), host: host,
		group: duty.New(time.Now), logClient: logstandin.NewClient(c.log), metrics: metrics.NewSet(),
	}
	base := roles.Base{
		Self: cluster.Daemon{Name: n.name, Incarnation: n.incarnation, Location: vm.Location, PeerAddress: vm.Address},
		Now:  time.Now, Seed: uint64(i + 100*incarnation), Duties: n.group, Events: events.Discard(), Metrics: n.metrics,
	}
	n.peers = peer.New(peer.Options{
		Base: base, Listener: listener, Dial: host.Dial,
		Resolve: func(daemon string) (string, bool) { return n.owner.Resolve(daemon) },
	})
	n.store = statelog.New(statelog.Options{
		Base: base, Log: n.logClient, SystemCredential: credential, Peers: n.peers,
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
		Base: base, VMList: standinList{c.vms}, State: n.store, Log: n.store, Peers: n.peers, SystemCredential: credential,
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

// crash ends a daemon without a graceful stop.
func (c *testCell) crash(name string) {
	n := c.remove(name)
	c.network.Crash(name)
	n.logClient.SetUnreachable(true)
	c.stopNode(n)
}

func (c *testCell) stopNode(n *node) {
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

// leave ends a daemon by a planned stop.
func (c *testCell) leave(name string, within time.Duration) error {
	n := c.nodes[name]
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	err := n.owner.Stop(ctx)
	c.remove(name)
	c.stopNode(n)
	return err
}

func (c *testCell) remove(name string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[name]
	delete(c.nodes, name)
	return n
}

func (c *testCell) close() {
	close(c.stop)
	<-c.done
	for name := range c.nodes {
		c.crash(name)
	}
	c.network.Close()
	time.Sleep(time.Minute)
}

// sampleLeases samples every 10 ms which daemon holds a lease on each share.
func (c *testCell) sampleLeases() {
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

func (c *testCell) sample(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	holders := make(map[cluster.Share]shareStats)
	for name, n := range c.nodes {
		for _, r := range n.owner.Leases() {
			if other, ok := holders[r.Share]; ok {
				c.doubleOwners++
				c.t.Errorf("%v: %s and %s may act", r.Share, other.owner, name)
			}
			holders[r.Share] = shareStats{owner: name, process: n.incarnation, epoch: r.Epoch, lastOwned: now}
		}
	}
	for share, h := range holders {
		w, ok := c.stats[share]
		if !ok {
			c.stats[share] = &h
			continue
		}
		w.update(h)
	}
}

// update applies the holder of a share as of now.
func (w *shareStats) update(h shareStats) {
	w.longestGap = max(w.longestGap, h.lastOwned.Sub(w.lastOwned))
	if w.owner != h.owner {
		w.moves++
	}
	if w.process == h.process && w.epoch != h.epoch {
		w.epochChanges++
	}
	w.owner, w.process, w.epoch, w.lastOwned = h.owner, h.process, h.epoch, h.lastOwned
}

// reset clears the measurements.
func (c *testCell) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.stats {
		w.longestGap, w.moves, w.epochChanges = 0, 0, 0
	}
}

type outcome struct {
	shares, moves, epochChanges int
	longestGap                  time.Duration
	// unowned counts the shares that no daemon may act for now.
	unowned int
}

func (c *testCell) outcome() outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := outcome{shares: len(c.stats)}
	for _, w := range c.stats {
		o.moves += w.moves
		o.epochChanges += w.epochChanges
		o.longestGap = max(o.longestGap, w.longestGap)
		if time.Since(w.lastOwned) > 50*time.Millisecond {
			o.unowned++
		}
	}
	return o
}

// held counts the shares that a daemon owns.
func (c *testCell) held(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, w := range c.stats {
		if w.owner == name {
			count++
		}
	}
	return count
}
