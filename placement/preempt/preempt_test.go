package preempt_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/book"
	"github.com/currantwinch/currantwinch/placement/preempt"
	"pgregory.net/rapid"
)

func cpu(n int64) cluster.Resources { return cluster.Resources{CPU: n} }

func candidate(job string, size int64, unsaved time.Duration) preempt.Candidate {
	return preempt.Candidate{ID: book.ID{Job: job}, Resources: cpu(size), Class: document.ClassBatch, SinceCheckpoint: unsaved, Borrows: true}
}

func with(c preempt.Candidate, f func(*preempt.Candidate)) preempt.Candidate {
	f(&c)
	return c
}

func TestChoose_Cases(t *testing.T) {
	urgent := preempt.Preemptor{Priority: document.PriorityUrgent}
	reclaims := preempt.Preemptor{Reclaims: true}
	checkpointed := with(candidate("saved", 1000, time.Hour), func(c *preempt.Candidate) { c.Checkpointable = true })
	service := with(candidate("service", 4000, 0), func(c *preempt.Candidate) { c.Class = document.ClassService })
	guaranteed := with(candidate("guaranteed", 1000, time.Minute), func(c *preempt.Candidate) { c.Borrows = false })
	urgentTask := with(candidate("pressing", 4000, 0), func(c *preempt.Candidate) { c.Priority = document.PriorityUrgent })
	high := with(candidate("high", 1000, 0), func(c *preempt.Candidate) { c.Priority = document.PriorityHigh })
	cases := []struct {
		name       string
		preemptor  preempt.Preemptor
		need, free int64
		candidates []preempt.Candidate
		want       string
	}{
		{"least work lost", urgent, 1000, 0, []preempt.Candidate{candidate("old", 1000, time.Hour), candidate("new", 1000, time.Minute)}, "[new]"},
		{"checkpointable before lost", urgent, 1000, 0, []preempt.Candidate{checkpointed, candidate("new", 1000, time.Minute)}, "[saved]"},
		{"what is free counts", urgent, 2000, 1000, []preempt.Candidate{candidate("a", 1000, 0), candidate("b", 1000, time.Second)}, "[a]"},
		{"one large rather than several small", urgent, 2000, 0, []preempt.Candidate{candidate("s", 500, 0), candidate("l", 2000, 0)}, "[l]"},
		{"services last", urgent, 1000, 0, []preempt.Candidate{service, candidate("old", 1000, 100*time.Hour)}, "[old]"},
		{"borrowers first", urgent, 1000, 0, []preempt.Candidate{guaranteed, candidate("b", 1000, 2*time.Minute)}, "[b]"},
		{"urgent tasks are not preempted", urgent, 1000, 0, []preempt.Candidate{urgentTask}, "[]"},
		{"reclaiming takes from borrowers only", reclaims, 1000, 0, []preempt.Candidate{guaranteed, candidate("b", 1000, time.Hour)}, "[b]"},
		{"reclaiming respects priority", reclaims, 1000, 0, []preempt.Candidate{high}, "[]"},
		{"neither urgent nor reclaiming", preempt.Preemptor{}, 1000, 0, []preempt.Candidate{candidate("a", 1000, 0)}, "[]"},
		{"insufficient candidates", urgent, 3000, 0, []preempt.Candidate{candidate("a", 1000, 0)}, "[]"},
	}
	for _, c := range cases {
		v, ok := preempt.Choose(cpu(c.need), cpu(c.free), c.candidates, c.preemptor)
		names := []string{}
		for _, id := range v.IDs {
			names = append(names, id.Job)
		}
		if got := fmt.Sprint(names); got != c.want || ok != (c.want != "[]") {
			t.Errorf("%s: got %s %v, want %s", c.name, got, ok, c.want)
		}
	}
}

// The victims always suffice, and none of them can be left out.
func TestChoose_SufficientAndMinimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		all := randomTasks(r, 20, 2)
		byID := make(map[book.ID]preempt.Candidate)
		for _, c := range all {
			byID[c.ID] = c
		}
		need := cluster.Resources{CPU: 1 + r.Int64N(16000), Memory: 1 + r.Int64N(16)}
		v, ok := preempt.Choose(need, cluster.Resources{}, all, preempt.Preemptor{Priority: document.PriorityUrgent})
		if !ok {
			return
		}
		var sum cluster.Resources
		for _, id := range v.IDs {
			sum = sum.Add(byID[id].Resources)
		}
		if !need.Fits(sum) {
			t.Fatalf("victims free %+v, which does not suffice for %+v", sum, need)
		}
		for _, id := range v.IDs {
			if need.Fits(sum.Sub(byID[id].Resources)) {
				t.Fatalf("victim %v is not needed", id)
			}
		}
	})
}

// randomTasks draws tasks of which one in the given number can be checkpointed;
// zero means none.
func randomTasks(r *rand.Rand, n, checkpointableIn int) []preempt.Candidate {
	out := make([]preempt.Candidate, n)
	for i := range out {
		out[i] = preempt.Candidate{
			ID: book.ID{Job: fmt.Sprint(i)}, Resources: cluster.Resources{CPU: 200 + r.Int64N(3000), Memory: 1 + r.Int64N(6)},
			Class: document.ClassBatch, SinceCheckpoint: time.Duration(r.Int64N(int64(2 * time.Hour))),
			Checkpointable: checkpointableIn > 0 && r.IntN(max(checkpointableIn, 1)) == 0, Borrows: r.IntN(2) == 0,
		}
		if r.IntN(5) == 0 {
			out[i].Class = document.ClassService
		}
	}
	return out
}

// newestFirst is the baseline: it preempts the tasks that started last.
func newestFirst(need cluster.Resources, tasks []preempt.Candidate) []preempt.Candidate {
	sorted := append([]preempt.Candidate(nil), tasks...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].SinceCheckpoint < sorted[j].SinceCheckpoint })
	var free cluster.Resources
	for i, c := range sorted {
		if free = free.Add(c.Resources); need.Fits(free) {
			return sorted[:i+1]
		}
	}
	return nil
}

// lostWork is the work to be repeated, in core-seconds: the run time since the
// last checkpoint, or none for a task that is checkpointed first.
func lostWork(c preempt.Candidate) float64 {
	if c.Checkpointable {
		return 0
	}
	return c.SinceCheckpoint.Seconds() * float64(c.Resources.CPU) / 1000
}

// BenchmarkUrgent preempts for one urgent task on the best of 87 full workers,
// as the owner of one rack does, and reports the work lost per preemption next
// to that with victims chosen newest first.
func BenchmarkUrgent(b *testing.B) {
	for _, savable := range []int{2, 10, 0} {
		b.Run(fmt.Sprint("one-savable-in=", savable), func(b *testing.B) { benchmarkUrgent(b, savable) })
	}
}

func benchmarkUrgent(b *testing.B, savable int) {
	const workers = 87
	urgent := preempt.Preemptor{Priority: document.PriorityUrgent}
	var ours, newest, victims, newestVictims float64
	var spent time.Duration
	for n := range b.N {
		r := rand.New(rand.NewPCG(uint64(n%50), 7))
		need := cluster.Resources{CPU: 500 + r.Int64N(8000), Memory: 1 + r.Int64N(12)}
		best := preempt.Victims{Cost: 1 << 62}
		byID := make(map[book.ID]preempt.Candidate)
		leastNewest := []preempt.Candidate(nil)
		for w := range workers {
			tasks := randomTasks(r, 20, savable)
			for i := range tasks {
				tasks[i].ID.Index = w
				byID[tasks[i].ID] = tasks[i]
			}
			if v := newestFirst(need, tasks); leastNewest == nil || len(v) < len(leastNewest) {
				leastNewest = v
			}
			at := time.Now()
			if v, ok := preempt.Choose(need, cluster.Resources{}, tasks, urgent); ok && v.Cost < best.Cost {
				best = v
			}
			spent += time.Since(at)
		}
		for _, id := range best.IDs {
			ours += lostWork(byID[id])
		}
		for _, c := range leastNewest {
			newest += lostWork(c)
		}
		victims += float64(len(best.IDs))
		newestVictims += float64(len(leastNewest))
	}
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "us/choice")
	b.ReportMetric(ours/float64(b.N), "lost-core-s")
	b.ReportMetric(newest/float64(b.N), "newest-first-lost-core-s")
	b.ReportMetric(victims/float64(b.N), "victims")
	b.ReportMetric(newestVictims/float64(b.N), "newest-first-victims")
}
