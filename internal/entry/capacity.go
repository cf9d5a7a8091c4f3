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
	// capacityTimeout bounds one question for a daemon's capacity.
	capacityTimeout = time.Second
	// muchLarger is how many times its own processor time makes another VM the
	// better owner.
	muchLarger = 2
	// enoughOwners is how many such VMs let a daemon yield: some may be lost at once
	// and leave one.
	enoughOwners = 4
)

type capacity struct {
	CPU int64 `json:"cpu"`
}

// Capacities knows how much processor time the VMs of other daemons have. Where
// VMs are unlike, small ones yield partitions to large ones.
type Capacities struct {
	self  string
	own   int64
	peers Daemons

	mu     sync.Mutex
	known  map[string]int64
	asking map[string]bool
	yields bool
	// decided is called when this daemon begins or ceases to yield.
	decided func(yields bool, larger, holders int)
}

// NewCapacities returns Capacities of a daemon with own thousandths of a core,
// and registers their method with the peers.
func NewCapacities(self string, own int64, peers Daemons, decided func(yields bool, larger, holders int)) *Capacities {
	c := &Capacities{self: self, own: own, peers: peers, decided: decided, known: make(map[string]int64), asking: make(map[string]bool)}
	peers.Handle(methodCapacity, roles.TypedHandler(reasonBadCall, func(_ context.Context, from string, asker capacity) (any, error) {
		c.learn(from, asker.CPU)
		return capacity{own}, nil
	}))
	return c
}

// ShouldYield reports whether this daemon should leave partitions to others: to the
// holders and to those with a connection, which every daemon has to each holder.
// It asks in the background those it does not know, which do not count yet. A
// daemon without another holder does not yield, whoever might take its place, nor
// does one that was not told its own processor time.
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
		cpu, ok := c.known[name]
		if !ok {
			c.ask(name)
		}
		if ok && cpu >= muchLarger*c.own {
			larger++
		}
	}
	if yields := larger >= enoughOwners && others && c.own > 0; yields != c.yields {
		c.yields = yields
		c.decided(yields, larger, len(names))
	}
	return c.yields
}

// ask asks a daemon in the background, unless that is under way.
func (c *Capacities) ask(name string) {
	if c.asking[name] {
		return
	}
	c.asking[name] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), capacityTimeout)
		defer cancel()
		var got capacity
		err := c.peers.Call(ctx, name, methodCapacity, capacity{c.own}, &got)
		// A daemon without an answer is asked again by the next look.
		if err == nil {
			c.learn(name, got.CPU)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.asking, name)
	}()
}

func (c *Capacities) learn(name string, cpu int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known[name] = cpu
}
