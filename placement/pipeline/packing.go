package pipeline

import (
	"math/bits"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
)

const (
	// MaxPackedTasks bounds the tasks that are packed as one group.
	MaxPackedTasks = 256
	// imbalanceWeight is the cost of the difference between a worker's free
	// fractions of CPU and memory, relative to the value of the task's size.
	imbalanceWeight = 4
	// visitsPerTask bounds the workers that one call of Pack visits, per task.
	visitsPerTask = 4
	million       = int64(1_000_000)
)

// Packing assigns a group of waiting tasks to workers. Instead of a worker for
// each task, it looks for the tasks that fill each worker best, starting with
// the fullest workers. Use it only if the order of the tasks does not matter: a
// task may be left out that one-by-one placement would have placed.
type Packing struct {
	// Workers holds the worker of each demand, or the empty string for a demand
	// that was left out.
	Workers []string

	demands    []*Demand
	pending    []int
	visitsLeft int
}

// PacksTogether reports whether waiting tasks of a class are packed as one
// group.
func (p *Pipeline) PacksTogether(class document.Class) bool {
	c, ok := p.policies[class]
	return ok && c.PackTogether
}

// PlacesLocalFirst reports whether tasks of a class are placed on the daemon's
// own workers first.
func (p *Pipeline) PlacesLocalFirst(class document.Class) bool {
	c, ok := p.policies[class]
	return ok && c.LocalFirst
}

// Pack chooses workers for the demands and allocates the resources in the index.
// The result in w is valid until the next call with the same Packing.
func (p *Pipeline) Pack(w *Packing, demands []*Demand) {
	w.reset(demands)
	if len(demands) == 0 {
		return
	}
	least := minResources(demands)
	w.visitsLeft = visitsPerTask * len(demands)
	for _, withoutAccelerators := range []bool{true, false} {
		for _, pool := range p.index.pools {
			if (pool.kind == "") == withoutAccelerators {
				p.fillPool(w, pool, least)
			}
		}
	}
}

func (w *Packing) reset(demands []*Demand) {
	w.demands = demands
	w.Workers = append(w.Workers[:0], make([]string, len(demands))...)
	w.pending = w.pending[:0]
	for i := range demands {
		w.pending = append(w.pending, i)
	}
}

func minResources(demands []*Demand) cluster.Resources {
	least := demands[0].Resources
	for _, d := range demands[1:] {
		least.CPU = min(least.CPU, d.Resources.CPU)
		least.Memory = min(least.Memory, d.Resources.Memory)
		least.Accelerators = min(least.Accelerators, d.Resources.Accelerators)
	}
	return least
}

// fillPool visits the pool's workers that have the resources least free, the
// fullest first.
func (p *Pipeline) fillPool(w *Packing, pool *pool, least cluster.Resources) {
	occupied := pool.gridMask >> gridOf(least) << gridOf(least)
	for occupied != 0 {
		g := pool.grids[bits.TrailingZeros32(occupied)]
		occupied &= occupied - 1
		p.found = g.fullestFirst(p.index, p.found[:0], level(least.CPU, cpuUnit), level(least.Memory, memoryUnit), w.visitsLeft)
		for _, i := range p.found {
			if len(w.pending) == 0 || w.visitsLeft <= 0 {
				return
			}
			w.visitsLeft--
			p.fillNode(w, i)
		}
	}
}

// fullestFirst appends the workers of a grid in ascending order of the sum of
// their CPU and memory levels, at least up to limit.
func (g *grid) fullestFirst(x *Index, found []int32, cpu, mem, limit int) []int32 {
	for sum := cpu + mem; sum <= 2*(levels-1) && len(found) < limit; sum++ {
		for row := max(cpu, sum-(levels-1)); row <= min(sum-mem, levels-1); row++ {
			if g.rowMask>>row&1 == 0 || g.cellMasks[row]>>(sum-row)&1 == 0 {
				continue
			}
			for i := g.heads[row][sum-row]; i != noSlot; i = x.slots[i].next {
				found = append(found, i)
			}
		}
	}
	return found
}

// fillNode assigns the best matching tasks to a worker until none fits.
func (p *Pipeline) fillNode(w *Packing, i int32) {
	for {
		n := &p.index.slots[i].Node
		best, bestScore := -1, int64(0)
		for at, k := range w.pending {
			d := w.demands[k]
			if !p.accepts(d, n) {
				continue
			}
			if s := fillScore(d.Resources, n); best < 0 || s > bestScore {
				best, bestScore = at, s
			}
		}
		if best < 0 {
			return
		}
		k := w.pending[best]
		w.Workers[k] = n.Name
		p.index.setFree(i, n.Free.Sub(w.demands[k].Resources))
		w.pending[best] = w.pending[len(w.pending)-1]
		w.pending = w.pending[:len(w.pending)-1]
	}
}

func (p *Pipeline) accepts(d *Demand, n *Node) bool {
	p.current = p.policies[d.Class]
	return d.Resources.Fits(n.Free) && p.passes(d, n)
}

// fillScore prefers large tasks that leave equal fractions of CPU and memory
// free.
func fillScore(r cluster.Resources, n *Node) int64 {
	after := n.Free.Sub(r)
	gap := millionths(after.CPU, n.Capacity.CPU) - millionths(after.Memory, n.Capacity.Memory)
	if gap < 0 {
		gap = -gap
	}
	return millionths(r.CPU, n.Capacity.CPU) + millionths(r.Memory, n.Capacity.Memory) - imbalanceWeight*gap
}

// millionths returns a/b in millionths. Amounts go up to 2^50; the low bits of
// large ones are dropped so that the product does not overflow.
func millionths(a, b int64) int64 {
	const scale = 20
	if b > 1<<40 {
		a, b = a>>scale, b>>scale
	}
	if b <= 0 {
		return 0
	}
	return a * million / b
}

// HasCapacity reports whether the workers that match d together have at least
// factor times amount free. With enough capacity for all tasks, their order does
// not matter.
func (x *Index) HasCapacity(d *Demand, amount cluster.Resources, factor int64) bool {
	var free cluster.Resources
	for _, p := range x.pools {
		if d.allowsRegion(p.region) && d.allowsKind(p.kind) {
			free = free.Add(p.free)
		}
	}
	need := cluster.Resources{CPU: amount.CPU * factor, Memory: amount.Memory * factor, Accelerators: amount.Accelerators * factor}
	return need.Fits(free)
}
