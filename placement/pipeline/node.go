// Package pipeline decides on which worker a task is placed. Homes call it for
// each task that waits; a decision runs in phases: filters drop workers that
// cannot take the task, scorers rank a bounded number of candidates, the caller
// reserves the choice with the worker's owner, a permit may delay it, and the
// caller commits it. The policy of each workload class says which filters and
// scorers run and with which weights.
//
// Candidates come from an index of workers by free resources that is updated
// with each change, so that a decision does not look at every worker. Ties are
// broken by a seeded random sequence, so that several daemons do not pick the
// same worker.
//
// The package does no I/O. An Index and its Pipelines must be used by one
// goroutine at a time.
package pipeline

import (
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
)

// Node is the state of a worker that a decision sees.
type Node struct {
	Name            string
	Location        cluster.Location
	AcceleratorKind string
	Capacity        cluster.Resources
	// Free is what the owner of the worker's share last reported as free, less
	// what this daemon has allocated since.
	Free cluster.Resources
	// Closed workers accept no new tasks.
	Closed bool
	// Suspicion is the evidence that the worker fails its tasks, in thousandths.
	Suspicion int64
	// rack is the rack's name, unique in the cell; the index sets it.
	rack string
}

// Demand is what one task asks for.
type Demand struct {
	Class     document.Class
	Resources cluster.Resources
	// AcceleratorKind is the required kind of accelerator; empty accepts any.
	AcceleratorKind string
	// Regions are the allowed regions; empty allows any.
	Regions []string
	Spread  document.Spread
	// Placed counts the tasks of the same workload by location.
	Placed *TopologyCounts
	// Avoid names workers that the task must not be placed on.
	Avoid []string
}

// TopologyCounts counts tasks by rack, failure domain and worker. The zero value
// is empty.
type TopologyCounts struct {
	Racks   map[string]int
	Domains map[string]int
	Workers map[string]int
}

// Add changes the counts for a worker at a location by the given number, which
// is 1 for a new task and -1 for one that has ended.
func (p *TopologyCounts) Add(worker string, at cluster.Location, by int) {
	if p.Racks == nil {
		p.Racks = make(map[string]int)
		p.Domains = make(map[string]int)
		p.Workers = make(map[string]int)
	}
	count(p.Racks, rackOf(at), by)
	count(p.Domains, at.FailureDomain, by)
	count(p.Workers, worker, by)
}

func count(m map[string]int, key string, by int) {
	m[key] += by
	if m[key] == 0 {
		delete(m, key)
	}
}

func rackOf(at cluster.Location) string { return at.FailureDomain + "." + at.Rack }

// Matches reports whether the task may run in a region on a worker with this
// kind of accelerator.
func (d *Demand) Matches(region, kind string) bool {
	return d.allowsRegion(region) && d.allowsKind(kind)
}

func (d *Demand) allowsRegion(region string) bool {
	if len(d.Regions) == 0 {
		return true
	}
	for _, r := range d.Regions {
		if r == region {
			return true
		}
	}
	return false
}

func (d *Demand) allowsKind(kind string) bool {
	return d.Resources.Accelerators == 0 || d.AcceleratorKind == "" || d.AcceleratorKind == kind
}
