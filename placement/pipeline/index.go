package pipeline

import (
	"math/bits"
	"sort"

	"github.com/currantwinch/currantwinch/cluster"
)

// The index groups workers into cells by the logarithm of their free CPU and
// memory, with four levels per doubling. Amounts below the unit share the lowest
// level.
const (
	levels          = 64
	levelsPerOctave = 4
	cpuUnit         = 16       // millicores
	memoryUnit      = 16 << 20 // bytes
	// maxAccelerators is the number of free accelerators from which workers
	// share one grid.
	maxAccelerators = 16
)

const noSlot = int32(-1)

// level returns the highest level whose lower bound does not exceed amount.
func level(amount, unit int64) int {
	if amount < unit {
		return 0
	}
	q := uint64(amount / unit)
	octave := bits.Len64(q) - 1
	// The two bits after the leading one give the position within the octave.
	var within int
	if octave >= 2 {
		within = int(q>>(octave-2)) & (levelsPerOctave - 1)
	} else {
		within = int(q<<(2-octave)) & (levelsPerOctave - 1)
	}
	return min(1+octave*levelsPerOctave+within, levels-1)
}

// slot is an index entry: a worker and its position in a grid.
type slot struct {
	Node
	pool       *pool
	grid       int
	cpu, mem   int
	next, prev int32
}

// grid holds the workers of one pool with the same number of free accelerators,
// in cells by free CPU (row) and memory. A cell is a linked list. Bits of
// rowMask and cellMasks mark rows and cells that are not empty.
type grid struct {
	rowMask   uint64
	cellMasks [levels]uint64
	heads     [levels][levels]int32
	count     int
}

// pool holds the workers of one failure domain with one kind of accelerator.
// Bits of gridMask mark grids that are not empty.
type pool struct {
	region, domain, kind string
	grids                [maxAccelerators + 1]*grid
	gridMask             uint32
	// free is the sum of the free resources of the pool's workers that are not
	// closed; a negative amount counts as zero.
	free cluster.Resources
}

// Index holds all workers, grouped by their free resources.
type Index struct {
	slots       []slot
	byName      map[string]int32
	freeSlots   []int32
	pools       []*pool
	randomState uint64
}

// NewIndex returns an empty index. The seed determines the order of workers with
// equal levels.
func NewIndex(seed uint64) *Index {
	return &Index{byName: make(map[string]int32), randomState: seed | 1}
}

// Len returns the number of workers.
func (x *Index) Len() int { return len(x.byName) }

// Get returns a worker by its name.
func (x *Index) Get(name string) (Node, bool) {
	i, ok := x.byName[name]
	if !ok {
		return Node{}, false
	}
	return x.slots[i].Node, true
}

// Nodes returns all workers, sorted by name.
func (x *Index) Nodes() []Node {
	out := make([]Node, 0, len(x.byName))
	for _, i := range x.byName {
		out = append(out, x.slots[i].Node)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Put adds a worker or replaces its state.
func (x *Index) Put(n Node) {
	i, ok := x.byName[n.Name]
	if !ok {
		i = x.newSlot()
		x.byName[n.Name] = i
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

// Remove removes a worker.
func (x *Index) Remove(name string) {
	i, ok := x.byName[name]
	if !ok {
		return
	}
	x.unlink(i)
	x.slots[i] = slot{}
	delete(x.byName, name)
	x.freeSlots = append(x.freeSlots, i)
}

// Allocate subtracts r from what a worker has free. The result may be negative.
func (x *Index) Allocate(name string, r cluster.Resources) {
	if i, ok := x.byName[name]; ok {
		x.setFree(i, x.slots[i].Free.Sub(r))
	}
}

// Release adds r to what a worker has free.
func (x *Index) Release(name string, r cluster.Resources) {
	if i, ok := x.byName[name]; ok {
		x.setFree(i, x.slots[i].Free.Add(r))
	}
}

func (x *Index) setFree(i int32, free cluster.Resources) {
	s := &x.slots[i]
	s.pool.addFree(&s.Node, -1)
	s.Free = free
	s.pool.addFree(&s.Node, 1)
	if s.grid == gridOf(free) && s.cpu == level(free.CPU, cpuUnit) && s.mem == level(free.Memory, memoryUnit) {
		return
	}
	x.unlink(i)
	x.link(i)
}

// addFree adds the free resources of a worker to the pool's sum, or subtracts
// them for sign -1.
func (p *pool) addFree(n *Node, sign int64) {
	if n.Closed {
		return
	}
	p.free.CPU += sign * max(n.Free.CPU, 0)
	p.free.Memory += sign * max(n.Free.Memory, 0)
	p.free.Accelerators += sign * max(n.Free.Accelerators, 0)
}

func (x *Index) newSlot() int32 {
	if n := len(x.freeSlots); n > 0 {
		i := x.freeSlots[n-1]
		x.freeSlots = x.freeSlots[:n-1]
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
			g.heads[i][j] = noSlot
		}
	}
	return g
}

func (x *Index) link(i int32) {
	s := &x.slots[i]
	s.grid = gridOf(s.Free)
	s.cpu, s.mem = level(s.Free.CPU, cpuUnit), level(s.Free.Memory, memoryUnit)
	s.next, s.prev = noSlot, noSlot
	g := s.pool.grids[s.grid]
	if g == nil {
		g = newGrid()
		s.pool.grids[s.grid] = g
	}
	g.count++
	s.pool.addFree(&s.Node, 1)
	s.pool.gridMask |= 1 << s.grid
	g.rowMask |= 1 << s.cpu
	g.cellMasks[s.cpu] |= 1 << s.mem
	x.insert(&g.heads[s.cpu][s.mem], i)
}

// insert puts slot i first or second into a cell's list, at random (xorshift),
// so that equal workers are not always tried in the same order.
func (x *Index) insert(head *int32, i int32) {
	s := &x.slots[i]
	first := *head
	x.randomState ^= x.randomState << 13
	x.randomState ^= x.randomState >> 7
	x.randomState ^= x.randomState << 17
	if first == noSlot || x.randomState&1 == 0 {
		s.next = first
		if first != noSlot {
			x.slots[first].prev = i
		}
		*head = i
		return
	}
	s.prev, s.next = first, x.slots[first].next
	if s.next != noSlot {
		x.slots[s.next].prev = i
	}
	x.slots[first].next = i
}

func (x *Index) unlink(i int32) {
	s := &x.slots[i]
	g := s.pool.grids[s.grid]
	if s.prev != noSlot {
		x.slots[s.prev].next = s.next
	} else {
		g.heads[s.cpu][s.mem] = s.next
	}
	if s.next != noSlot {
		x.slots[s.next].prev = s.prev
	}
	g.count--
	s.pool.addFree(&s.Node, -1)
	if g.heads[s.cpu][s.mem] != noSlot {
		return
	}
	g.cellMasks[s.cpu] &^= 1 << s.mem
	if g.cellMasks[s.cpu] == 0 {
		g.rowMask &^= 1 << s.cpu
	}
	if g.count == 0 {
		s.pool.gridMask &^= 1 << s.grid
	}
}
