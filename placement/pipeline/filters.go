package pipeline

import "slices"

// Filter reports whether a worker may run a task at all.
type Filter interface {
	// Name is the filter's name in policies and explanations.
	Name() string
	Passes(d *Demand, n *Node) bool
}

var filters = byName[Filter](openFilter{}, kindFilter{}, fitsFilter{}, avoidFilter{})

func byName[T interface{ Name() string }](plugins ...T) map[string]T {
	m := make(map[string]T, len(plugins))
	for _, p := range plugins {
		m[p.Name()] = p
	}
	return m
}

// openFilter drops workers that accept no new tasks.
type openFilter struct{}

func (openFilter) Name() string                   { return "open" }
func (openFilter) Passes(_ *Demand, n *Node) bool { return !n.Closed }

// kindFilter drops workers in other regions or with another kind of accelerator.
type kindFilter struct{}

func (kindFilter) Name() string { return "kind" }
func (kindFilter) Passes(d *Demand, n *Node) bool {
	return d.allowsRegion(n.Location.Region) && d.allowsKind(n.AcceleratorKind)
}

// fitsFilter drops workers without sufficient free resources.
type fitsFilter struct{}

func (fitsFilter) Name() string                   { return "fits" }
func (fitsFilter) Passes(d *Demand, n *Node) bool { return d.Resources.Fits(n.Free) }

// avoidFilter drops workers that the task must not be placed on.
type avoidFilter struct{}

func (avoidFilter) Name() string                   { return "avoid" }
func (avoidFilter) Passes(d *Demand, n *Node) bool { return !slices.Contains(d.Avoid, n.Name) }
