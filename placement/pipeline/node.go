// Package pipeline decides where one task goes. A decision runs in phases:
// filters drop workers that cannot take the task, scorers rank a handful of
// candidates, the choice is reserved, a permit may hold it back, and it is
// committed. Which filters and scorers run with which weights is data, by
// class of workload.
//
// Candidates come from an index of free room that is kept up with each change,
// so that a decision does not look at every worker. Ties are broken by a
// seeded sequence, so that several daemons do not pick the same worker.
//
// Nothing here does I/O. An Index and a Pipeline belong to one goroutine.
package pipeline

import (
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
)

// Node is a worker as a decision sees it.
type Node struct {
	Name            string
	Location        cluster.Location
	AcceleratorKind string
	Capacity        cluster.Resources
	// Free is what the owner of the worker's share last said is free, less
	// what was assumed since.
	Free cluster.Resources
	// Closed workers take nothing new.
	Closed bool
	// Suspicion is the evidence against the worker in thousandths.
	Suspicion int64
	// rack is the rack's name, unique in the cell; the index sets it.
	rack string
}

// Demand is one task that is looking for a worker.
type Demand struct {
	Class     document.Class
	Resources cluster.Resources
	// AcceleratorKind is what accelerators must be; empty takes any.
	AcceleratorKind string
	// Regions limits the choice; empty is anywhere.
	Regions []string
	Spread  document.Spread
	// Placed counts the tasks of the same workload by where they are.
	Placed *TopologyCounts
	// Avoid names workers that this task must not go to.
	Avoid []string
}

// TopologyCounts counts tasks by rack and by failure domain. The zero value is empty.
type TopologyCounts struct {
	Racks   map[string]int
	Domains map[string]int
	Workers map[string]int
}

// Add counts one task more, or with by -1 one less, on a worker.
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

// Matches reports whether a region and a kind of accelerators are allowed.
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
