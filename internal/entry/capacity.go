package entry

import (
	"context"
	"encoding/json"
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
	// enoughOwners is how many such owners let a daemon yield: some may be lost at
	// once and leave one.
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
	peers roles.Peers

	mu     sync.Mutex
	known  map[string]int64
	asking map[string]bool
}

// NewCapacities returns Capacities of a daemon with own thousandths of a core,
// and registers their method with the peers.
func NewCapacities(self string, own int64, peers roles.Peers) *Capacities {
	c := &Capacities{self: self, own: own, peers: peers, known: make(map[string]int64), asking: make(map[string]bool)}
	peers.Handle(methodCapacity, func(context.Context, string, json.RawMessage) (any, error) { return capacity{own}, nil })
	return c
}

// Yields reports whether this daemon should leave partitions to the holders. It
// asks in the background those it does not know, which do not count yet.
func (c *Capacities) Yields(holders []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	larger := 0
	for _, name := range holders {
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
	return larger >= enoughOwners
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
		err := c.peers.Call(ctx, name, methodCapacity, nil, &got)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.asking, name)
		// A daemon without an answer is asked again by the next look.
		if err == nil {
			c.known[name] = got.CPU
		}
	}()
}
