package pipeline_test

import (
	"fmt"
	"testing"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/pipeline"
	"pgregory.net/rapid"
)

const gib = int64(1) << 30

func amount(cpu, memory, acc int64) cluster.Resources {
	return cluster.Resources{CPU: cpu, Memory: memory, Accelerators: acc}
}

func node(name, region, domain, rack, kind string, free cluster.Resources) pipeline.Node {
	return pipeline.Node{
		Name: name, Location: cluster.Location{Region: region, FailureDomain: domain, Rack: rack},
		AcceleratorKind: kind, Capacity: amount(32000, 64*gib, free.Accelerators), Free: free,
	}
}

func build(t interface{ Fatal(...any) }, nodes ...pipeline.Node) (*pipeline.Index, *pipeline.Pipeline) {
	x := pipeline.NewIndex(1)
	for _, n := range nodes {
		x.Put(n)
	}
	p, err := pipeline.New(x, pipeline.DefaultPolicies(), 1)
	if err != nil {
		t.Fatal(err)
	}
	return x, p
}

func TestDecide_Cases(t *testing.T) {
	roomy := node("roomy", "n", "a", "1", "", amount(30000, 60*gib, 0))
	tight := node("tight", "n", "a", "2", "", amount(4000, 8*gib, 0))
	south := node("south", "s", "b", "3", "", amount(30000, 60*gib, 0))
	gpu8 := node("gpu8", "n", "a", "4", "x", amount(30000, 60*gib, 8))
	gpu2 := node("gpu2", "n", "a", "4", "x", amount(30000, 60*gib, 2))
	other := node("other", "n", "a", "4", "y", amount(30000, 60*gib, 8))
	closed := node("closed", "n", "a", "1", "", amount(4000, 8*gib, 0))
	closed.Closed = true
	all := []pipeline.Node{roomy, tight, south, gpu8, gpu2, other, closed}
	small := amount(2000, 4*gib, 0)
	accelerated := amount(2000, 4*gib, 2)
	cases := []struct {
		name   string
		demand pipeline.Demand
		want   string
	}{
		{"batch takes the best fit", pipeline.Demand{Class: document.ClassBatch, Resources: small, Regions: []string{"n"}}, "tight"},
		{"avoided", pipeline.Demand{Class: document.ClassBatch, Resources: small, Regions: []string{"n"}, Avoid: []string{"tight"}}, "roomy"},
		{"region", pipeline.Demand{Class: document.ClassBatch, Resources: small, Regions: []string{"s"}}, "south"},
		{"large sets of accelerators stay free", pipeline.Demand{Class: document.ClassBatch, Resources: accelerated, AcceleratorKind: "x"}, "gpu2"},
		{"kind", pipeline.Demand{Class: document.ClassGang, Resources: accelerated, AcceleratorKind: "y"}, "other"},
		{"no accelerators wasted", pipeline.Demand{Class: document.ClassBatch, Resources: amount(20000, 40*gib, 0), Regions: []string{"n"}}, "roomy"},
		{"nothing fits", pipeline.Demand{Class: document.ClassBatch, Resources: amount(31000, gib, 0)}, ""},
	}
	for _, c := range cases {
		_, p := build(t, all...)
		got, ok := p.Decide(&c.demand)
		if ok != (c.want != "") || got.Worker != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got.Worker, c.want)
		}
	}
}

func TestDecide_ServiceSpreads(t *testing.T) {
	var nodes []pipeline.Node
	for d := range 4 {
		for r := range 3 {
			nodes = append(nodes, node(fmt.Sprintf("w%d%d", d, r), "n", fmt.Sprint("d", d), fmt.Sprint("r", r), "", amount(32000, 64*gib, 0)))
		}
	}
	x, p := build(t, nodes...)
	var placed pipeline.TopologyCounts
	d := pipeline.Demand{Class: document.ClassService, Resources: amount(1000, gib, 0), Spread: document.SpreadRack, Placed: &placed}
	for range 12 {
		c, ok := p.Decide(&d)
		if !ok {
			t.Fatal("no worker")
		}
		n, _ := x.Get(c.Worker)
		x.Allocate(c.Worker, d.Resources)
		placed.Add(c.Worker, n.Location, 1)
	}
	for rack, n := range placed.Racks {
		if n != 1 {
			t.Errorf("rack %s has %d tasks", rack, n)
		}
	}
}

func TestExplain_Unschedulable(t *testing.T) {
	_, p := build(t,
		node("a", "n", "a", "1", "", amount(0, 0, 0)),
		node("g", "s", "b", "1", "x", amount(0, 0, 4)))
	cases := []struct {
		name   string
		demand pipeline.Demand
		want   string
	}{
		{"fits an empty worker", pipeline.Demand{Resources: amount(32000, 64*gib, 0)}, ""},
		{"region", pipeline.Demand{Regions: []string{"w"}}, pipeline.UnschedulableRegion},
		{"kind", pipeline.Demand{Resources: amount(1, 1, 1), AcceleratorKind: "z"}, pipeline.UnschedulableAcceleratorKind},
		{"kind in region", pipeline.Demand{Resources: amount(1, 1, 1), AcceleratorKind: "x", Regions: []string{"n"}}, pipeline.UnschedulableAcceleratorKind},
		{"cpu", pipeline.Demand{Resources: amount(32001, 1, 0)}, pipeline.UnschedulableCPU},
		{"memory", pipeline.Demand{Resources: amount(1, 65*gib, 0)}, pipeline.UnschedulableMemory},
		{"accelerators", pipeline.Demand{Resources: amount(1, 1, 5)}, pipeline.UnschedulableAccelerators},
	}
	for _, c := range cases {
		c.demand.Class = document.ClassBatch
		if got := p.Explain(&c.demand).Unschedulable; got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

func TestParsePolicies_Errors(t *testing.T) {
	for _, text := range []string{
		`{`, `{}`,
		`{"service":{"order":"up","candidates":1},"batch":{},"gang":{}}`,
		`{"service":{"order":"tightest","candidates":1,"filters":["no"]}}`,
		`{"service":{"order":"tightest","candidates":1,"weights":{"no":1}}}`,
	} {
		if _, err := pipeline.ParsePolicies([]byte(text)); err == nil {
			t.Errorf("%s: no error", text)
		}
	}
}

// The index finds a worker whenever a full scan does, as long as no cell is
// crowded, and only workers that pass the filters.
func TestDecide_AgreesWithScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := pipeline.NewIndex(7)
		p, _ := pipeline.New(x, pipeline.DefaultPolicies(), 7)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprint("w", rapid.IntRange(0, 19).Draw(t, "worker"))
			r := amount(rapid.Int64Range(0, 32000).Draw(t, "cpu"), rapid.Int64Range(0, 64*gib).Draw(t, "mem"), rapid.Int64Range(0, 4).Draw(t, "acc"))
			switch step % 4 {
			case 0, 1:
				x.Put(node(name, "n", fmt.Sprint(r.CPU%3), "1", []string{"", "x"}[min(r.Accelerators, 1)], r))
			case 2:
				x.Allocate(name, r)
			case 3:
				x.Remove(name)
			}
			d := pipeline.Demand{Class: []document.Class{document.ClassBatch, document.ClassService, document.ClassGang}[step%3],
				Resources: amount(r.CPU/4, r.Memory/4, r.Accelerators/2)}
			got, ok := p.Decide(&d)
			_, exists := p.DecideByScan(&d)
			if ok != exists {
				t.Fatalf("index found %v, scan %v", ok, exists)
			}
			if n, _ := x.Get(got.Worker); ok && !d.Resources.Fits(n.Free) {
				t.Fatalf("%+v does not fit %+v", d.Resources, n.Free)
			}
		}
	})
}

func Example() {
	x := pipeline.NewIndex(1)
	x.Put(pipeline.Node{Name: "w0", Capacity: amount(8000, 16*gib, 0), Free: amount(8000, 16*gib, 0)})
	x.Put(pipeline.Node{Name: "w1", Capacity: amount(8000, 16*gib, 0), Free: amount(3000, 6*gib, 0)})
	p, _ := pipeline.New(x, pipeline.DefaultPolicies(), 1)
	d := &pipeline.Demand{Class: document.ClassBatch, Resources: amount(2000, 4*gib, 0)}
	c, _ := p.Decide(d)
	x.Allocate(c.Worker, d.Resources)
	fmt.Println(c.Worker)
	// Output: w1
}
