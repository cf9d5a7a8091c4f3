package pipeline_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/pipeline"
)

var packCapacity = amount(32000, 64*gib, 0)

// packedTasks is the number of starts that wait together at peak load.
const packedTasks = 230

// mixedDay draws the tasks of a day in order of arrival: services and batch
// tasks, small and large, with various ratios of memory to CPU.
func mixedDay(r *rand.Rand, n int) []pipeline.Demand {
	out := make([]pipeline.Demand, n)
	for i := range out {
		cpu := 100 + r.Int64N(1500)
		switch r.IntN(20) {
		case 0:
			cpu = 6000 + r.Int64N(4000)
		case 1, 2, 3:
			cpu = 2000 + r.Int64N(2000)
		}
		memory := cpu * gib / 1000 * (50 + r.Int64N(300)) / 100
		out[i] = pipeline.Demand{Class: document.ClassBatch, Resources: amount(cpu, min(memory, 60*gib), 0)}
		if r.IntN(5) == 0 {
			out[i].Class = document.ClassService
		}
	}
	return out
}

// volumeBound is the lower bound on the VMs, from the sums of CPU and memory of
// all tasks.
func volumeBound(day []pipeline.Demand) int {
	var sum cluster.Resources
	for _, d := range day {
		sum = sum.Add(d.Resources)
	}
	up := func(a, b int64) int { return int((a + b - 1) / b) }
	return max(up(sum.CPU, packCapacity.CPU), up(sum.Memory, packCapacity.Memory))
}

// firstFitDecreasing knows all tasks in advance and places the largest first.
func firstFitDecreasing(day []pipeline.Demand) int {
	sorted := append([]pipeline.Demand(nil), day...)
	sort.SliceStable(sorted, func(i, j int) bool { return largest(sorted[i].Resources) > largest(sorted[j].Resources) })
	var free []cluster.Resources
	for _, d := range sorted {
		free = firstFit(free, d.Resources)
	}
	return len(free)
}

func largest(r cluster.Resources) int64 {
	return max(r.CPU*1000/packCapacity.CPU, r.Memory/(packCapacity.Memory/1000))
}

func firstFit(free []cluster.Resources, r cluster.Resources) []cluster.Resources {
	for i := range free {
		if r.Fits(free[i]) {
			free[i] = free[i].Sub(r)
			return free
		}
	}
	return append(free, packCapacity.Sub(r))
}

func randomFit(rng *rand.Rand, day []pipeline.Demand) int {
	var free []cluster.Resources
	for _, d := range day {
		start, placed := rng.IntN(len(free)+1), false
		for k := range free {
			if i := (start + k) % len(free); d.Resources.Fits(free[i]) {
				free[i] = free[i].Sub(d.Resources)
				placed = true
				break
			}
		}
		if !placed {
			free = append(free, packCapacity.Sub(d.Resources))
		}
	}
	return len(free)
}

// packInGroups places a day's tasks with the pipeline, in groups that wait
// together, and adds a VM whenever no VM has the resources.
func packInGroups(seed uint64, day []pipeline.Demand, group int) int {
	x := pipeline.NewIndex(seed)
	p, err := pipeline.New(x, pipeline.DefaultPolicies(), seed)
	if err != nil {
		panic(err)
	}
	var w pipeline.Packing
	for at := 0; at < len(day); at += group {
		waiting := make([]*pipeline.Demand, 0, group)
		for i := at; i < min(at+group, len(day)); i++ {
			waiting = append(waiting, &day[i])
		}
		for len(waiting) > 0 {
			p.Pack(&w, waiting)
			var left []*pipeline.Demand
			for i, worker := range w.Workers {
				if worker == "" {
					left = append(left, waiting[i])
				}
			}
			if waiting = left; len(left) > 0 {
				x.Put(pipeline.Node{Name: fmt.Sprint("w", x.Len()), Capacity: packCapacity, Free: packCapacity})
			}
		}
	}
	return x.Len()
}

// packOneByOne places each task when it arrives.
func packOneByOne(seed uint64, day []pipeline.Demand) int {
	x := pipeline.NewIndex(seed)
	p, _ := pipeline.New(x, pipeline.DefaultPolicies(), seed)
	for i := range day {
		c, ok := p.Decide(&day[i])
		if !ok {
			c, ok = p.DecideByScan(&day[i])
		}
		if !ok {
			c.Worker = fmt.Sprint("w", x.Len())
			x.Put(pipeline.Node{Name: c.Worker, Capacity: packCapacity, Free: packCapacity})
		}
		x.Allocate(c.Worker, day[i].Resources)
	}
	return x.Len()
}

// heavyDay draws tasks of which the large ones make up half the volume.
func heavyDay(r *rand.Rand, n int) []pipeline.Demand {
	out := mixedDay(r, n)
	for i := range out {
		if r.IntN(10) == 0 {
			cpu := 8000 + r.Int64N(8000)
			out[i].Resources = amount(cpu, min(cpu*gib/1000*(50+r.Int64N(300))/100, 60*gib), 0)
		}
	}
	return out
}

// BenchmarkPack counts the VMs that a day's tasks need, over fixed seeds.
func BenchmarkPack(b *testing.B) {
	days := map[string]func(*rand.Rand, int) []pipeline.Demand{"mixed": mixedDay, "heavy": heavyDay}
	for _, name := range []string{"mixed", "heavy"} {
		b.Run(name, func(b *testing.B) { benchmarkPack(b, days[name]) })
	}
}

func benchmarkPack(b *testing.B, draw func(*rand.Rand, int) []pipeline.Demand) {
	for range b.N {
		var bound, random, ffd, grouped, oneByOne int
		for seed := range uint64(5) {
			r := rand.New(rand.NewPCG(seed, 42))
			day := draw(r, 15_000)
			bound += volumeBound(day)
			random += randomFit(r, day)
			ffd += firstFitDecreasing(day)
			grouped += packInGroups(seed, day, packedTasks)
			oneByOne += packOneByOne(seed, day)
		}
		over := func(n int) float64 { return 100 * (float64(n)/float64(bound) - 1) }
		b.ReportMetric(over(random), "random-%over")
		b.ReportMetric(over(ffd), "ffd-%over")
		b.ReportMetric(over(grouped), "ours-%over")
		b.ReportMetric(over(oneByOne), "one-by-one-%over")
		b.ReportMetric(float64(bound), "bound-VMs")
	}
}

// Checks that packing needs at most 3% more VMs than the volume bound, and no
// more than first fit decreasing with full knowledge of the day.
func TestPack_WithinTarget(t *testing.T) {
	for seed := range uint64(5) {
		r := rand.New(rand.NewPCG(seed, 42))
		day := mixedDay(r, 4_000)
		bound, ffd, ours := volumeBound(day), firstFitDecreasing(day), packInGroups(seed, day, packedTasks)
		if ours*100 > bound*103 {
			t.Errorf("seed %d: %d VMs, want at most 1.03 times the bound %d", seed, ours, bound)
		}
		if ours > ffd {
			t.Errorf("seed %d: %d VMs, first fit decreasing %d", seed, ours, ffd)
		}
	}
}
