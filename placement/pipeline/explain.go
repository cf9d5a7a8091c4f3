package pipeline

import "github.com/currantwinch/currantwinch/cluster"

// Explanation says why no worker takes a task.
type Explanation struct {
	// Workers is how many there are.
	Workers int `json:"workers"`
	// FilteredOut counts workers by the first filter that dropped them.
	FilteredOut map[string]int `json:"dropped,omitempty"`
	// Unschedulable names the constraint that no worker meets even when empty, or is
	// empty where some worker could take the task one day.
	Unschedulable string `json:"never,omitempty"`
}

// Constraints that a task may fail on every worker.
const (
	UnschedulableRegion          = "no worker in the allowed regions"
	UnschedulableAcceleratorKind = "no worker with accelerators of this kind"
	UnschedulableCPU             = "no worker has this much cpu"
	UnschedulableMemory          = "no worker has this much memory"
	UnschedulableAccelerators    = "no worker has this many accelerators"
	UnschedulableCombination     = "no worker has this much of everything at once"
	UnschedulableTaskCount       = "the workers cannot hold all tasks at once"
)

// Explain looks at every worker. It is called for questions from operators
// and once for a job that is new, not for decisions.
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

// Unschedulable names the constraint that keeps count tasks of d from ever running at
// once, even in an empty cell, or returns the empty string.
func (p *Pipeline) Unschedulable(d *Demand, count int) string {
	if reason := p.unmetConstraint(d); reason != "" || count <= 1 {
		return reason
	}
	room := int64(0)
	for i := range p.index.slots {
		s := &p.index.slots[i]
		if s.pool == nil || !d.allowsRegion(s.Location.Region) || !d.allowsKind(s.AcceleratorKind) {
			continue
		}
		room += tasksIn(s.Capacity, d.Resources)
	}
	if room < int64(count) {
		return UnschedulableTaskCount
	}
	return ""
}

// tasksIn is how many tasks of size r a worker holds.
func tasksIn(capacity, r cluster.Resources) int64 {
	n := int64(1 << 20)
	for _, d := range [...][2]int64{{capacity.CPU, r.CPU}, {capacity.Memory, r.Memory}, {capacity.Accelerators, r.Accelerators}} {
		if d[1] > 0 {
			n = min(n, d[0]/d[1])
		}
	}
	return n
}

// unmetConstraint finds the first constraint that no worker meets when empty.
func (p *Pipeline) unmetConstraint(d *Demand) string {
	var region, kind, whole bool
	var most cluster.Resources
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
		most = cluster.Resources{CPU: max(most.CPU, c.CPU), Memory: max(most.Memory, c.Memory), Accelerators: max(most.Accelerators, c.Accelerators)}
		whole = whole || d.Resources.Fits(c)
	}
	switch {
	case whole:
		return ""
	case !region:
		return UnschedulableRegion
	case !kind:
		return UnschedulableAcceleratorKind
	case d.Resources.CPU > most.CPU:
		return UnschedulableCPU
	case d.Resources.Memory > most.Memory:
		return UnschedulableMemory
	case d.Resources.Accelerators > most.Accelerators:
		return UnschedulableAccelerators
	default:
		return UnschedulableCombination
	}
}
