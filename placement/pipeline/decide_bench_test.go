package pipeline_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/pipeline"
)

// Size of the design cell; the tasks scale with the workers.
const (
	designWorkers = 780
	designTasks   = 15_000
	// One worker in designNodesPerAccelerated has 10 accelerators: 1,700
	// accelerators on 780 workers.
	designNodesPerAccelerated = 4.59
	// maxFailedPlacements stops the filling of a cell that has no capacity left
	// for some demands.
	maxFailedPlacements = 5_000
)

// steadyCell is a full cell in which tasks start and end.
type steadyCell struct {
	index *pipeline.Index
	pipe  *pipeline.Pipeline
	rng   *rand.Rand
	mix   []pipeline.Demand
	live  []placedTask
}

type placedTask struct {
	worker string
	size   cluster.Resources
}

func newSteadyCell(workers int, seed uint64) *steadyCell {
	s := &steadyCell{index: pipeline.NewIndex(seed), rng: rand.New(rand.NewPCG(seed, 1))}
	s.pipe, _ = pipeline.New(s.index, pipeline.DefaultPolicies(), seed)
	for i := range workers {
		s.index.Put(designNode(i))
	}
	s.mix = mixedDemands(s.rng, 500)
	for failed := 0; len(s.live) < workers*designTasks/designWorkers && failed < maxFailedPlacements; {
		if !s.place(s.pipe.Decide) {
			failed++
		}
	}
	return s
}

func designNode(i int) pipeline.Node {
	n := pipeline.Node{
		Name: fmt.Sprintf("w%04d", i), Capacity: amount(32000, 64*gib, 0),
		Location: cluster.Location{Region: fmt.Sprint("r", i/8%2), FailureDomain: fmt.Sprint("fd", i/8%4), Rack: fmt.Sprint("k", i/8)},
	}
	if int(float64(i)/designNodesPerAccelerated) != int(float64(i+1)/designNodesPerAccelerated) {
		n.Capacity.Accelerators = 10
		n.AcceleratorKind = []string{"a", "b"}[i%2]
	}
	n.Free = n.Capacity
	return n
}

// mixedDemands draws a mix of demands: a fifth services, the rest batch tasks
// and gang members with accelerators.
func mixedDemands(r *rand.Rand, n int) []pipeline.Demand {
	out := make([]pipeline.Demand, n)
	for i := range out {
		cpu := int64(220) << r.IntN(5)
		d := pipeline.Demand{Class: document.ClassBatch, Resources: amount(cpu, cpu*gib/1000*int64(1+r.IntN(3)), 0)}
		switch r.IntN(10) {
		case 0, 1:
			d.Class, d.Spread = document.ClassService, document.SpreadRack
		case 2:
			d.Class = document.ClassGang
			d.Resources.Accelerators = 1
			d.AcceleratorKind = []string{"a", "b"}[r.IntN(2)]
		}
		out[i] = d
	}
	return out
}

func (s *steadyCell) place(decide func(*pipeline.Demand) (pipeline.Choice, bool)) bool {
	d := &s.mix[s.rng.IntN(len(s.mix))]
	c, ok := decide(d)
	if !ok {
		return false
	}
	s.index.Allocate(c.Worker, d.Resources)
	s.live = append(s.live, placedTask{c.Worker, d.Resources})
	return true
}

// end releases the resources of a random task.
func (s *steadyCell) end() {
	i := s.rng.IntN(len(s.live))
	t := s.live[i]
	s.live[i] = s.live[len(s.live)-1]
	s.live = s.live[:len(s.live)-1]
	s.index.Release(t.worker, t.size)
}

// BenchmarkDecide replaces random tasks of a full cell. It reports decisions per
// second on one core, their 99th percentile, and the fraction of decisions that
// found no worker, for the index and for a full scan.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{390, 780, 1560, 3120} {
		for _, way := range []string{"index", "scan"} {
			b.Run(fmt.Sprintf("workers=%d/%s", workers, way), func(b *testing.B) {
				s := newSteadyCell(workers, 1)
				decide := s.pipe.Decide
				if way == "scan" {
					decide = s.pipe.DecideByScan
				}
				h := hdrhistogram.New(1, int64(time.Second), 3)
				b.ReportAllocs()
				b.ResetTimer()
				failed := 0
				for range b.N {
					s.end()
					began := time.Now()
					if !s.place(decide) {
						failed++
						s.place(s.pipe.DecideByScan)
					}
					_ = h.RecordValue(int64(time.Since(began)))
				}
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
				b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-us")
				b.ReportMetric(float64(failed)/float64(b.N), "no-room/op")
				b.ReportMetric(float64(len(s.live)), "tasks")
			})
		}
	}
}

// Guards against allocations in Decide, Allocate and Release of the index, which
// run for every task.
func TestDecide_NoAllocationsInSteadyState(t *testing.T) {
	s := newSteadyCell(200, 1)
	if n := testing.AllocsPerRun(2000, func() {
		s.end()
		s.place(s.pipe.Decide)
	}); n != 0 {
		t.Errorf("%v allocations per decision, want 0", n)
	}
}

// BenchmarkDecideWave replaces a group of tasks at a time.
func BenchmarkDecideWave(b *testing.B) {
	for _, workers := range []int{390, 780, 1560, 3120} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			s := newSteadyCell(workers, 1)
			var w pipeline.Packing
			demands := make([]*pipeline.Demand, packedTasks)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				for i := range demands {
					s.end()
					demands[i] = &s.mix[s.rng.IntN(len(s.mix))]
				}
				s.pipe.Pack(&w, demands)
				for i, worker := range w.Workers {
					if worker != "" {
						s.live = append(s.live, placedTask{worker, demands[i].Resources})
					} else {
						s.place(s.pipe.Decide)
					}
				}
			}
			b.ReportMetric(float64(b.N*packedTasks)/b.Elapsed().Seconds(), "decisions/s")
			b.ReportMetric(float64(len(s.live)), "tasks")
		})
	}
}
