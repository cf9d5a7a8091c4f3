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

// The cell of the design size, which scales by workers.
const (
	designWorkers = 780
	designTasks   = 15_000
	// One worker in designAccelerated has 10 accelerators: 1,700 on 780.
	designAccelerated = 4.59
	// maxMisses ends the filling of a cell that has no room for some shapes.
	maxMisses = 5_000
)

// steady is a full cell in which tasks come and go.
type steady struct {
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

func newSteady(workers int, seed uint64) *steady {
	s := &steady{index: pipeline.NewIndex(seed), rng: rand.New(rand.NewPCG(seed, 1))}
	s.pipe, _ = pipeline.New(s.index, pipeline.DefaultPolicies(), seed)
	for i := range workers {
		s.index.Put(designNode(i))
	}
	s.mix = mixedDemands(s.rng, 500)
	for missed := 0; len(s.live) < workers*designTasks/designWorkers && missed < maxMisses; {
		if !s.place(s.pipe.Decide) {
			missed++
		}
	}
	return s
}

func designNode(i int) pipeline.Node {
	n := pipeline.Node{
		Name: fmt.Sprintf("w%04d", i), Capacity: amount(32000, 64*gib, 0),
		Location: cluster.Location{Region: fmt.Sprint("r", i/8%2), FailureDomain: fmt.Sprint("fd", i/8%4), Rack: fmt.Sprint("k", i/8)},
	}
	if int(float64(i)/designAccelerated) != int(float64(i+1)/designAccelerated) {
		n.Capacity.Accelerators = 10
		n.AcceleratorKind = []string{"a", "b"}[i%2]
	}
	n.Free = n.Capacity
	return n
}

// mixedDemands draws what a mixed day asks for: a fifth services, the rest
// batch work and gang members, some with accelerators.
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

func (s *steady) place(decide func(*pipeline.Demand) (pipeline.Choice, bool)) bool {
	d := &s.mix[s.rng.IntN(len(s.mix))]
	c, ok := decide(d)
	if !ok {
		return false
	}
	s.index.Allocate(c.Worker, d.Resources)
	s.live = append(s.live, placedTask{c.Worker, d.Resources})
	return true
}

// end gives back the room of a random task.
func (s *steady) end() {
	i := s.rng.IntN(len(s.live))
	t := s.live[i]
	s.live[i] = s.live[len(s.live)-1]
	s.live = s.live[:len(s.live)-1]
	s.index.Release(t.worker, t.size)
}

// BenchmarkDecide replaces random tasks of a full cell. It reports decisions
// a second of one core, their 99th percentile, and how often a decision found
// no room, for the index and for a full scan.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{390, 780, 1560, 3120} {
		for _, way := range []string{"index", "scan"} {
			b.Run(fmt.Sprintf("workers=%d/%s", workers, way), func(b *testing.B) {
				s := newSteady(workers, 1)
				decide := s.pipe.Decide
				if way == "scan" {
					decide = s.pipe.DecideByScan
				}
				h := hdrhistogram.New(1, int64(time.Second), 3)
				b.ReportAllocs()
				b.ResetTimer()
				missed := 0
				for range b.N {
					s.end()
					at := time.Now()
					if !s.place(decide) {
						missed++
						s.place(s.pipe.DecideByScan)
					}
					_ = h.RecordValue(int64(time.Since(at)))
				}
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
				b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-us")
				b.ReportMetric(float64(missed)/float64(b.N), "no-room/op")
				b.ReportMetric(float64(len(s.live)), "tasks")
			})
		}
	}
}

// TestDecide_SteadyStateFreeOfAllocations holds the promise that a decision
// and its bookkeeping leave no garbage.
func TestDecide_SteadyStateFreeOfAllocations(t *testing.T) {
	s := newSteady(200, 1)
	if n := testing.AllocsPerRun(2000, func() {
		s.end()
		s.place(s.pipe.Decide)
	}); n != 0 {
		t.Errorf("%v allocations a decision", n)
	}
}

// BenchmarkDecideWave replaces a wave of tasks at a time.
func BenchmarkDecideWave(b *testing.B) {
	for _, workers := range []int{390, 780, 1560, 3120} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			s := newSteady(workers, 1)
			var w pipeline.Packing
			demands := make([]*pipeline.Demand, waveTasks)
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
			b.ReportMetric(float64(b.N*waveTasks)/b.Elapsed().Seconds(), "decisions/s")
			b.ReportMetric(float64(len(s.live)), "tasks")
		})
	}
}
