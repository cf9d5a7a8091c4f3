package pipeline

import (
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
)

const maxScore = int64(1000)

// Scorer rates a worker that passed the filters.
type Scorer interface {
	// Name is the scorer's name in policies.
	Name() string
	// Score returns a rating from 0 to 1000; higher is better.
	Score(d *Demand, n *Node) int64
}

var scorers = byName[Scorer](tightness{}, balance{}, spread{}, accelerators{}, trust{})

// thousandths returns a/b in thousandths, clamped to 0 to 1000.
func thousandths(a, b int64) int64 {
	if b <= 0 || a <= 0 {
		return 0
	}
	return min(a*maxScore/b, maxScore)
}

func remaining(d *Demand, n *Node) cluster.Resources { return n.Free.Sub(d.Resources) }

// tightness prefers the worker with the least CPU and memory left.
type tightness struct{}

func (tightness) Name() string { return "tightness" }
func (tightness) Score(d *Demand, n *Node) int64 {
	l := remaining(d, n)
	return maxScore - (thousandths(l.CPU, n.Capacity.CPU)+thousandths(l.Memory, n.Capacity.Memory))/2
}

// balance prefers the worker whose remaining fractions of CPU and memory are
// closest, so that neither is left unusable without the other.
type balance struct{}

func (balance) Name() string { return "balance" }
func (balance) Score(d *Demand, n *Node) int64 {
	l := remaining(d, n)
	gap := thousandths(l.CPU, n.Capacity.CPU) - thousandths(l.Memory, n.Capacity.Memory)
	if gap < 0 {
		gap = -gap
	}
	return maxScore - gap
}

// spread prefers the failure domain, rack and worker with the fewest tasks of
// the same workload.
type spread struct{}

// Score deductions per task of the same workload on the same worker, rack and
// failure domain.
const (
	sameWorkerCost = 50
	sameRackCost   = 100
	sameDomainCost = 20
)

func (spread) Name() string { return "spread" }
func (spread) Score(d *Demand, n *Node) int64 {
	if d.Placed == nil || d.Spread == document.SpreadNone {
		return maxScore
	}
	cost := int64(d.Placed.Workers[n.Name]) * sameWorkerCost
	cost += int64(d.Placed.Racks[n.rack]) * sameRackCost
	cost += int64(d.Placed.Domains[n.Location.FailureDomain]) * sameDomainCost
	return max(maxScore-cost, 0)
}

// accelerators avoids leaving free accelerators unusable: tasks that need none
// prefer workers with none free, and tasks that need some prefer the worker with
// the fewest left.
type accelerators struct{}

func (accelerators) Name() string { return "accelerators" }
func (accelerators) Score(d *Demand, n *Node) int64 {
	if n.Capacity.Accelerators == 0 {
		return maxScore
	}
	return maxScore - thousandths(remaining(d, n).Accelerators, n.Capacity.Accelerators)
}

// trust prefers workers without evidence of failures.
type trust struct{}

func (trust) Name() string                   { return "trust" }
func (trust) Score(_ *Demand, n *Node) int64 { return max(maxScore-n.Suspicion, 0) }
