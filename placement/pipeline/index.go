package pipeline

import (
	"math/bits"
	"sort"

	"github.com/currantwinch/currantwinch/cluster"
)

// The index sorts workers into cells by how much is free: four levels an
// octave, from a unit below which nothing is told apart.
const (
	levels         = 64
	levelsAnOctave = 4
	cpuUnit        = 16       // millicores
	memoryUnit     = 16 << 20 // bytes
	// maxAccelerators is the count of free accelerators from which workers
	// are not told apart any more.
	maxAccelerators = 16
)

const none = int32(-1)

// level returns the largest level whose lower bound is at most amount.
func level(amount, unit int64) int {
	if amount < unit {
		return 0
	}
	q := uint64(amount / unit)
	octave := bits.Len64(q) - 1
	// The two bits after the leading one say how far into the octave.
	var within int
	if octave >= 2 {
		within = int(q>>(octave-2)) & (levelsAnOctave - 1)
	} else {
		within = int(q<<(2-octave)) & (levelsAnOctave - 1)
	}
	return min(1+octave*levelsAnOctave+within, levels-1)
}

// slot is a node's place in the index.
type slot struct {
	Node
	pool       *pool
	grid       int
	cpu, mem   int
	next, prev int32
}

// grid holds the workers of one pool that have the same number of free
// accelerators, in cells by free CPU and memory. A cell is a linked list.
type grid struct {
	rows  uint64
	cells [levels]uint64
	heads [levels][levels]int32
	count int
}

// pool is the open workers of one failure domain with one kind of
// accelerators.
type pool struct {
	region, domain, kind string
	grids                [maxAccelerators + 1]*grid
	occupied             uint32
	// free is the sum over the pool's open workers, as far as positive.
	free cluster.Resources
}

// Index holds all workers by what they have free.
type Index struct {
	slots []slot
	byID  map[string]int32
	spare []int32
	pools []*pool
	coin  uint64
}

// NewIndex returns an empty index. Seed decides the order of equal workers.
func NewIndex(seed uint64) *Index {
	return &Index{byID: make(map[string]int32), coin: seed | 1}
}

// Len is the number of workers.
func (x *Index) Len() int { return len(x.byID) }

// Get returns one worker.
func (x *Index) Get(name string) (Node, bool) {
	i, ok := x.byID[name]
	if !ok {
		return Node{}, false
	}
	return x.slots[i].Node, true
}

// Nodes returns all workers by name.
func (x *Index) Nodes() []Node {
	out := make([]Node, 0, len(x.byID))
	for _, i := range x.byID {
		out = append(out, x.slots[i].Node)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Put adds a worker or replaces what is known of it.
func (x *Index) Put(n Node) {
	i, ok := x.byID[n.Name]
	if !ok {
		i = x.newSlot()
		x.byID[n.Name] = i
	} else {
		x.unlink(i)
	}
	s := &x.slots[i]
	n.rack = s.rack
	if !ok || s.Location != n.Location || s.AcceleratorKind != n.AcceleratorKind {
		s.pool = x.poolOf(n)
		n.rack = rackOf(n.Location)
	}
	s.Node = n
	x.link(i)
}

// Remove forgets a worker.
func (x *Index) Remove(name string) {
	i, ok := x.byID[name]
	if !ok {
		return
	}
	x.unlink(i)
	x.slots[i] = slot{}
	delete(x.byID, name)
	x.spare = append(x.spare, i)
}

// Allocate lowers what a worker has free, down to less than nothing if need be.
func (x *Index) Allocate(name string, r cluster.Resources) {
	if i, ok := x.byID[name]; ok {
		x.setFree(i, x.slots[i].Free.Sub(r))
	}
}

// Release raises what a worker has free.
func (x *Index) Release(name string, r cluster.Resources) {
	if i, ok := x.byID[name]; ok {
		x.setFree(i, x.slots[i].Free.Add(r))
	}
}

func (x *Index) setFree(i int32, free cluster.Resources) {
	s := &x.slots[i]
	s.pool.add(&s.Node, -1)
	s.Free = free
	s.pool.add(&s.Node, 1)
	if s.grid == gridOf(free) && s.cpu == level(free.CPU, cpuUnit) && s.mem == level(free.Memory, memoryUnit) {
		return
	}
	x.unlink(i)
	x.link(i)
}

// add counts a worker's room in its pool's sum, or takes it out.
func (p *pool) add(n *Node, sign int64) {
	if n.Closed {
		return
	}
	p.free.CPU += sign * max(n.Free.CPU, 0)
	p.free.Memory += sign * max(n.Free.Memory, 0)
	p.free.Accelerators += sign * max(n.Free.Accelerators, 0)
}

func (x *Index) newSlot() int32 {
	if n := len(x.spare); n > 0 {
		i := x.spare[n-1]
		x.spare = x.spare[:n-1]
		return i
	}
	x.slots = append(x.slots, slot{})
	return int32(len(x.slots) - 1)
}

func (x *Index) poolOf(n Node) *pool {
	for _, p := range x.pools {
		if p.region == n.Location.Region && p.domain == n.Location.FailureDomain && p.kind == n.AcceleratorKind {
			return p
		}
	}
	p := &pool{region: n.Location.Region, domain: n.Location.FailureDomain, kind: n.AcceleratorKind}
	x.pools = append(x.pools, p)
	return p
}

func gridOf(free cluster.Resources) int {
	return int(min(max(free.Accelerators, 0), maxAccelerators))
}

func newGrid() *grid {
	g := &grid{}
	for i := range g.heads {
		for j := range g.heads[i] {
			g.heads[i][j] = none
		}
	}
	return g
}

func (x *Index) link(i int32) {
	s := &x.slots[i]
	s.grid = gridOf(s.Free)
	s.cpu, s.mem = level(s.Free.CPU, cpuUnit), level(s.Free.Memory, memoryUnit)
	s.next, s.prev = none, none
	g := s.pool.grids[s.grid]
	if g == nil {
		g = newGrid()
		s.pool.grids[s.grid] = g
	}
	g.count++
	s.pool.add(&s.Node, 1)
	s.pool.occupied |= 1 << s.grid
	g.rows |= 1 << s.cpu
	g.cells[s.cpu] |= 1 << s.mem
	x.insert(&g.heads[s.cpu][s.mem], i)
}

// insert puts i first or second into its cell, by the flip of a coin.
func (x *Index) insert(head *int32, i int32) {
	s := &x.slots[i]
	first := *head
	x.coin ^= x.coin << 13
	x.coin ^= x.coin >> 7
	x.coin ^= x.coin << 17
	if first == none || x.coin&1 == 0 {
		s.next = first
		if first != none {
			x.slots[first].prev = i
		}
		*head = i
		return
	}
	s.prev, s.next = first, x.slots[first].next
	if s.next != none {
		x.slots[s.next].prev = i
	}
	x.slots[first].next = i
}

func (x *Index) unlink(i int32) {
	s := &x.slots[i]
	g := s.pool.grids[s.grid]
	if s.prev != none {
		x.slots[s.prev].next = s.next
	} else {
		g.heads[s.cpu][s.mem] = s.next
	}
	if s.next != none {
		x.slots[s.next].prev = s.prev
	}
	g.count--
	s.pool.add(&s.Node, -1)
	if g.heads[s.cpu][s.mem] != none {
		return
	}
	g.cells[s.cpu] &^= 1 << s.mem
	if g.cells[s.cpu] == 0 {
		g.rows &^= 1 << s.cpu
	}
	if g.count == 0 {
		s.pool.occupied &^= 1 << s.grid
	}
}
