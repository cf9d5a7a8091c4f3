package pipeline

import "github.com/currantwinch/currantwinch/cluster"

// Explanation says why a task is not placed on any worker.
type Explanation struct {
	// Workers is the number of workers.
	Workers int `json:"workers"`
	// FilteredOut counts the workers by the first filter that dropped them.
	FilteredOut map[string]int `json:"dropped,omitempty"`
	// Unschedulable names the constraint that no worker meets even when empty.
	// It is empty if some worker could run the task once it has the resources
	// free.
	Unschedulable string `json:"never,omitempty"`
}

// Constraints that no worker in the cell meets.
const (
	UnschedulableRegion          = "no worker in the allowed regions"
	UnschedulableAcceleratorKind = "no worker with accelerators of this kind"
	UnschedulableCPU             = "no worker has this much cpu"
	UnschedulableMemory          = "no worker has this much memory"
	UnschedulableAccelerators    = "no worker has this many accelerators"
	UnschedulableCombination     = "no worker has this much of everything at once"
	UnschedulableTaskCount       = "the workers cannot hold all tasks at once"
)

// Explain checks a task against every worker. It is called for operators'
// requests and once for each new job, but not for decisions.
func (p *Pipeline) Explain(d *Demand) Explanation {
	e := Explanation{Workers: p.index.Len(), FilteredOut: make(map[string]int)}
	c := p.policies[d.Class]
	for i := range p.index.slots {
		s := &p.index.slots[i]
		if s.pool == nil {
			continue
		}
		for _, f := range c.filters {
			if !f.Passes(d, &s.Node) {
				e.FilteredOut[f.Name()]++
				break
			}
		}
	}
	e.Unschedulable = p.Unschedulable(d, 1)
	return e
}

// Unschedulable names the constraint because of which count tasks of d can never
// run at the same time, even in an empty cell. It returns the empty string if
// they can.
func (p *Pipeline) Unschedulable(d *Demand, count int) string {
	if reason := p.unmetConstraint(d); reason != "" || count <= 1 {
		return reason
	}
	tasks := int64(0)
	for i := range p.index.slots {
		s := &p.index.slots[i]
		if s.pool == nil || !d.allowsRegion(s.Location.Region) || !d.allowsKind(s.AcceleratorKind) {
			continue
		}
		tasks += taskCapacity(s.Capacity, d.Resources)
	}
	if tasks < int64(count) {
		return UnschedulableTaskCount
	}
	return ""
}

// taskCapacity returns how many tasks of size r fit into capacity.
func taskCapacity(capacity, r cluster.Resources) int64 {
	n := int64(1 << 20)
	for _, d := range [...][2]int64{{capacity.CPU, r.CPU}, {capacity.Memory, r.Memory}, {capacity.Accelerators, r.Accelerators}} {
		if d[1] > 0 {
			n = min(n, d[0]/d[1])
		}
	}
	return n
}

// unmetConstraint returns the first constraint that no worker meets when empty,
// or the empty string.
func (p *Pipeline) unmetConstraint(d *Demand) string {
	var region, kind, fits bool
	var largest cluster.Resources
	for i := range p.index.slots {
		s := &p.index.slots[i]
		if s.pool == nil || !d.allowsRegion(s.Location.Region) {
			continue
		}
		region = true
		if !d.allowsKind(s.AcceleratorKind) {
			continue
		}
		kind = true
		c := s.Capacity
		largest = cluster.Resources{CPU: max(largest.CPU, c.CPU), Memory: max(largest.Memory, c.Memory), Accelerators: max(largest.Accelerators, c.Accelerators)}
		fits = fits || d.Resources.Fits(c)
	}
	switch {
	case fits:
		return ""
	case !region:
		return UnschedulableRegion
	case !kind:
		return UnschedulableAcceleratorKind
	case d.Resources.CPU > largest.CPU:
		return UnschedulableCPU
	case d.Resources.Memory > largest.Memory:
		return UnschedulableMemory
	case d.Resources.Accelerators > largest.Accelerators:
		return UnschedulableAccelerators
	default:
		return UnschedulableCombination
	}
}
