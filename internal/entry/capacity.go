package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/internal/roles"
)

const (
	methodCapacity = "daemon.capacity"
	// capacityTimeout limits one query of a daemon's capacity.
	capacityTimeout = time.Second
	// largerFactor: a VM with this many times this daemon's CPU, or this many times
	// its link's rate, and no less of the other, is a better owner. An owner sends
	// all orders to its backend servers and receives their lists.
	largerFactor = 2
	// minLargerDaemons is the number of such VMs from which a daemon yields.
	// Some may be lost at once without all of them being gone.
	minLargerDaemons = 4
)

// capacity is what a daemon's VM has.
type capacity struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"cpu"`
	// MemoryMB is in mebibytes; 0 if it is not known.
	MemoryMB int64 `json:"memoryMB,omitempty"`
	// LinkMbps is the rate of the VM's link in Mbit/s; 0 if it is not known.
	LinkMbps float64 `json:"linkMbps,omitempty"`
}

// betterOwner reports whether a VM with this capacity should own partitions rather than
// one with capacity o. Where a link's rate is not known, the CPU decides.
func (c capacity) betterOwner(o capacity) bool {
	if c.LinkMbps == 0 || o.LinkMbps == 0 {
		return c.CPU >= largerFactor*o.CPU
	}
	if c.CPU < o.CPU || c.LinkMbps < o.LinkMbps {
		return false
	}
	return c.CPU >= largerFactor*o.CPU || c.LinkMbps >= largerFactor*o.LinkMbps
}

// Capacities tracks the CPU, the memory and the links of the other daemons' VMs. Where VMs
// differ, daemons on small ones yield partitions to those on large ones, and no daemon
// accepts more than the smallest one can hold.
type Capacities struct {
	self  string
	own   capacity
	peers Daemons

	mu       sync.Mutex
	others   map[string]capacity
	querying map[string]bool
	yielding bool
	// changed is called when this daemon starts or stops yielding.
	changed func(yields bool, larger, holders int)
}

// NewCapacities returns the Capacities of a daemon with the given thousandths of a core,
// mebibytes of memory and rate of its link in Mbit/s, and registers its method with the
// peers. A rate of 0 is not known.
func NewCapacities(self string, cpu, memoryMB int64, linkMbps float64, peers Daemons, decided func(yields bool, larger, holders int)) *Capacities {
	own := capacity{cpu, memoryMB, linkMbps}
	c := &Capacities{self: self, own: own, peers: peers, changed: decided, others: make(map[string]capacity), querying: make(map[string]bool)}
	peers.Handle(methodCapacity, roles.TypedHandler(reasonBadCall, func(_ context.Context, from string, asker capacity) (any, error) {
		c.record(from, asker)
		return own, nil
	}))
	return c
}

// ShouldYield reports whether this daemon should leave partitions to others: to
// the holders and the connected daemons. Every daemon connects to each holder,
// so that a holder knows all daemons. It queries unknown daemons in the
// background; they do not count yet. A daemon does not yield while there is no
// other holder, whatever daemon might take over, nor if it was not told its own
// CPU.
func (c *Capacities) ShouldYield(holders []string) bool {
	others := slices.ContainsFunc(holders, func(name string) bool { return name != c.self })
	names := union(holders, c.peers.Connected())
	c.mu.Lock()
	defer c.mu.Unlock()
	larger := 0
	for _, name := range names {
		if name == c.self {
			continue
		}
		other, ok := c.others[name]
		if !ok {
			c.query(name)
		}
		if ok && other.betterOwner(c.own) {
			larger++
		}
	}
	if yields := larger >= minLargerDaemons && others && c.own.CPU > 0; yields != c.yielding {
		c.yielding = yields
		c.changed(yields, larger, len(names))
	}
	return c.yielding
}

// Learn queries the capacities of the holders and returns once they have answered or ctx
// ends. A daemon that has just started calls it before its first ShouldYield.
func (c *Capacities) Learn(ctx context.Context, holders []string) {
	var wg sync.WaitGroup
	for _, name := range holders {
		if name == c.self {
			continue
		}
		wg.Go(func() {
			var got capacity
			if err := c.peers.Call(ctx, name, methodCapacity, c.own, &got); err == nil {
				c.record(name, got)
			}
		})
	}
	wg.Wait()
}

// query queries a daemon's capacity in the background, unless a query is in
// flight.
func (c *Capacities) query(name string) {
	if c.querying[name] {
		return
	}
	c.querying[name] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), capacityTimeout)
		defer cancel()
		var got capacity
		err := c.peers.Call(ctx, name, methodCapacity, c.own, &got)
		// A daemon that did not answer is queried again by the next
		// ShouldYield.
		if err == nil {
			c.record(name, got)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.querying, name)
	}()
}

func (c *Capacities) record(name string, of capacity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.others[name] = of
}

// SmallestMemoryMB returns the least memory of this VM and of those that are known, in
// mebibytes; 0 if this one's is not known.
func (c *Capacities) SmallestMemoryMB() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	least := c.own.MemoryMB
	for _, other := range c.others {
		if other.MemoryMB > 0 {
			least = min(least, other.MemoryMB)
		}
	}
	return least
}
