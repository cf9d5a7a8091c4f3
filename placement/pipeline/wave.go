package pipeline

import (
	"math/bits"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
)

const (
	// MaxPackedTasks bounds the tasks that are packed together.
	MaxPackedTasks = 256
	// imbalanceCost is what a worker's unevenness after a task costs, in
	// parts of the task's size.
	imbalanceCost = 4
	// visitsATask bounds the workers that a wave looks at, for each task.
	visitsATask = 4
	million     = int64(1_000_000)
)

// Packing packs tasks that wait together and all have room: in place of a worker
// for each task, it looks for the tasks that fill each worker best, fullest
// workers first. It must be used only where order does not matter, because a
// task may be left over that one by one would have been placed.
type Packing struct {
	// Workers holds the worker of each demand, or an empty string for a demand
	// that was left over.
	Workers []string

	demands []*Demand
	open    []int
	visits  int
}

// PacksTogether reports whether tasks of a class are packed together.
func (p *Pipeline) PacksTogether(class document.Class) bool {
	c, ok := p.policies[class]
	return ok && c.PackTogether
}

// PlacesLocalFirst reports whether a class is placed on the daemon's own workers first.
func (p *Pipeline) PlacesLocalFirst(class document.Class) bool {
	c, ok := p.policies[class]
	return ok && c.LocalFirst
}

// Pack chooses workers for the demands and takes the room from the index.
// The result is valid until the next call with the same Wave.
func (p *Pipeline) Pack(w *Packing, demands []*Demand) {
	w.start(demands)
	if len(demands) == 0 {
		return
	}
	least := smallest(demands)
	w.visits = visitsATask * len(demands)
	for _, plain := range []bool{true, false} {
		for _, pool := range p.index.pools {
			if (pool.kind == "") == plain {
				p.fillPool(w, pool, least)
			}
		}
	}
}

func (w *Packing) start(demands []*Demand) {
	w.demands = demands
	w.Workers = append(w.Workers[:0], make([]string, len(demands))...)
	w.open = w.open[:0]
	for i := range demands {
		w.open = append(w.open, i)
	}
}

func smallest(demands []*Demand) cluster.Resources {
	least := demands[0].Resources
	for _, d := range demands[1:] {
		least.CPU = min(least.CPU, d.Resources.CPU)
		least.Memory = min(least.Memory, d.Resources.Memory)
		least.Accelerators = min(least.Accelerators, d.Resources.Accelerators)
	}
	return least
}

// fillPool visits the pool's workers that could take the least task, fullest
// first.
func (p *Pipeline) fillPool(w *Packing, pool *pool, least cluster.Resources) {
	occupied := pool.occupied >> gridOf(least) << gridOf(least)
	for occupied != 0 {
		g := pool.grids[bits.TrailingZeros32(occupied)]
		occupied &= occupied - 1
		p.found = g.fullestFirst(p.index, p.found[:0], level(least.CPU, cpuUnit), level(least.Memory, memoryUnit), w.visits)
		for _, i := range p.found {
			if len(w.open) == 0 || w.visits <= 0 {
				return
			}
			w.visits--
			p.fill(w, i)
		}
	}
}

// fullestFirst lists the workers of a grid by the sum of their levels.
func (g *grid) fullestFirst(x *Index, found []int32, cpu, mem, limit int) []int32 {
	for sum := cpu + mem; sum <= 2*(levels-1) && len(found) < limit; sum++ {
		for row := max(cpu, sum-(levels-1)); row <= min(sum-mem, levels-1); row++ {
			if g.rows>>row&1 == 0 || g.cells[row]>>(sum-row)&1 == 0 {
				continue
			}
			for i := g.heads[row][sum-row]; i != none; i = x.slots[i].next {
				found = append(found, i)
			}
		}
	}
	return found
}

// fill gives a worker the tasks that suit it best until none fits.
func (p *Pipeline) fill(w *Packing, i int32) {
	for {
		n := &p.index.slots[i].Node
		best, bestScore := -1, int64(0)
		for at, k := range w.open {
			d := w.demands[k]
			if !p.suits(d, n) {
				continue
			}
			if s := fillScore(d.Resources, n); best < 0 || s > bestScore {
				best, bestScore = at, s
			}
		}
		if best < 0 {
			return
		}
		k := w.open[best]
		w.Workers[k] = n.Name
		p.index.setFree(i, n.Free.Sub(w.demands[k].Resources))
		w.open[best] = w.open[len(w.open)-1]
		w.open = w.open[:len(w.open)-1]
	}
}

func (p *Pipeline) suits(d *Demand, n *Node) bool {
	p.current = p.policies[d.Class]
	return d.Resources.Fits(n.Free) && p.passes(d, n)
}

// fillScore prefers large tasks that leave CPU and memory evenly free.
func fillScore(r cluster.Resources, n *Node) int64 {
	after := n.Free.Sub(r)
	gap := parts(after.CPU, n.Capacity.CPU) - parts(after.Memory, n.Capacity.Memory)
	if gap < 0 {
		gap = -gap
	}
	return parts(r.CPU, n.Capacity.CPU) + parts(r.Memory, n.Capacity.Memory) - imbalanceCost*gap
}

// parts returns a of b in millionths. Amounts are at most 2^50, of which only
// the highest bits matter here.
func parts(a, b int64) int64 {
	const scale = 20
	if b > 1<<40 {
		a, b = a>>scale, b>>scale
	}
	if b <= 0 {
		return 0
	}
	return a * million / b
}

// HasCapacity reports whether the workers that suit d have at least factor times
// the given amount free altogether, so that the order of tasks does not
// matter.
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
