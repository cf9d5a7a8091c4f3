package health_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/health"
	"github.com/currantwinch/currantwinch/placement/pipeline"
)

var start = time.Unix(0, 0)

func TestWorker_Quarantined(t *testing.T) {
	cases := []struct {
		name        string
		do          func(w *health.Worker)
		quarantined bool
	}{
		{"one failure", func(w *health.Worker) { w.RecordFailure("a", 0, false, start) }, false},
		{"one job many times", func(w *health.Worker) {
			for range 10 {
				w.RecordFailure("a", 0, false, start)
			}
		}, false},
		{"three jobs", func(w *health.Worker) {
			for _, j := range []string{"a", "b", "c"} {
				w.RecordFailure(j, 0, false, start)
			}
		}, true},
		{"one job that runs elsewhere", func(w *health.Worker) {
			for range 3 {
				w.RecordFailure("a", 0, true, start)
			}
		}, true},
		{"three suspected jobs", func(w *health.Worker) {
			for _, j := range []string{"a", "b", "c"} {
				w.RecordFailure(j, 700, false, start)
			}
		}, false},
		{"a success between", func(w *health.Worker) {
			w.RecordFailure("a", 0, false, start)
			w.RecordFailure("b", 0, false, start)
			w.RecordSuccess()
			w.RecordFailure("c", 0, false, start)
		}, false},
		{"failures of a poison job are forgotten", func(w *health.Worker) {
			for _, j := range []string{"a", "b", "c"} {
				w.RecordFailure(j, 0, false, start)
			}
			w.ForgetJob("a")
		}, false},
		{"old failures are forgotten", func(w *health.Worker) {
			w.RecordFailure("a", 0, false, start.Add(-time.Hour))
			w.RecordFailure("b", 0, false, start.Add(-time.Hour))
			w.RecordFailure("c", 0, false, start)
		}, false},
	}
	for _, c := range cases {
		var w health.Worker
		c.do(&w)
		if got := w.Quarantined(start); got != c.quarantined {
			t.Errorf("%s: quarantined %v", c.name, got)
		}
	}
}

func TestWorker_FirstTaskAfterQuarantineDecides(t *testing.T) {
	for _, succeeds := range []bool{true, false} {
		var w health.Worker
		for _, j := range []string{"a", "b", "c"} {
			w.RecordFailure(j, 0, false, start)
		}
		later := start.Add(time.Minute)
		if w.Quarantined(later) || !w.OnProbation(later) {
			t.Fatal("not on probation after its quarantine")
		}
		if succeeds {
			w.RecordSuccess()
		} else {
			w.RecordFailure("d", 0, false, later)
		}
		if w.OnProbation(later) == succeeds && succeeds || w.Quarantined(later.Add(time.Minute+time.Second)) == succeeds {
			t.Errorf("first task after quarantine succeeded %v: %+v", succeeds, w)
		}
	}
}

func TestJob_PoisonDistinguishedFromBadWorker(t *testing.T) {
	cases := []struct {
		name   string
		do     func(j *health.Job)
		poison bool
	}{
		{"often on one worker", func(j *health.Job) {
			for range 9 {
				j.RecordFailure("w0")
			}
		}, false},
		{"on three workers", func(j *health.Job) { j.RecordFailure("w0"); j.RecordFailure("w1"); j.RecordFailure("w2") }, true},
		{"ran once", func(j *health.Job) {
			j.RecordSuccess()
			j.RecordFailure("w0")
			j.RecordFailure("w1")
			j.RecordFailure("w2")
		}, false},
		{"one of them quarantined", func(j *health.Job) {
			j.RecordFailure("w0")
			j.RecordFailure("w1")
			j.RecordFailure("w2")
			j.ForgetWorker("w1")
		}, false},
	}
	for _, c := range cases {
		var j health.Job
		c.do(&j)
		if j.Poison() != c.poison {
			t.Errorf("%s: poison %v", c.name, j.Poison())
		}
	}
}

// countWastedStarts runs jobs on a cell with one worker on which every task
// fails at once, and counts the starts that were lost to it.
func countWastedStarts(seed uint64, exclude bool) (lost, all int) {
	const workers, jobs, tasksAJob, steps = 100, 40, 20, 600
	x := pipeline.NewIndex(seed)
	p, _ := pipeline.New(x, pipeline.DefaultPolicies(), seed)
	size := cluster.Resources{CPU: 4000, Memory: 8 << 30}
	for i := range workers {
		c := cluster.Resources{CPU: 32000, Memory: 64 << 30}
		x.Put(pipeline.Node{Name: fmt.Sprint("w", i), Capacity: c, Free: c})
	}
	r := rand.New(rand.NewPCG(seed, 3))
	bad := fmt.Sprint("w", r.IntN(workers))
	var badWorker health.Worker
	evidence := make([]health.Job, jobs)
	type running struct {
		job, ends int
		worker    string
	}
	var live []running
	pending := make([]int, jobs)
	for i := range pending {
		pending[i] = tasksAJob
	}
	for step := range steps {
		now := start.Add(time.Duration(step) * time.Second)
		kept := live[:0]
		for _, l := range live {
			switch {
			case l.worker == bad:
				x.Release(l.worker, size)
				lost++
				pending[l.job]++
				if exclude {
					evidence[l.job].RecordFailure(bad)
					badWorker.RecordFailure(fmt.Sprint(l.job), evidence[l.job].Suspicion(), evidence[l.job].HasRun(), now)
				}
			case step >= l.ends:
				x.Release(l.worker, size)
			default:
				if l.ends-step < 50 {
					evidence[l.job].RecordSuccess()
				}
				kept = append(kept, l)
			}
		}
		live = kept
		if n, ok := x.Get(bad); ok && exclude {
			n.Closed, n.Suspicion = badWorker.Quarantined(now), badWorker.Suspicion(now)
			x.Put(n)
		}
		for j := range min(jobs, step+1) {
			for range pending[j] {
				d := &pipeline.Demand{Class: document.ClassBatch, Resources: size}
				if exclude && evidence[j].Avoids(bad) {
					d.Avoid = []string{bad}
				}
				c, ok := p.Decide(d)
				if !ok {
					break
				}
				pending[j]--
				all++
				x.Allocate(c.Worker, size)
				live = append(live, running{j, step + 60, c.Worker})
			}
		}
	}
	return lost, all
}

// BenchmarkBlackHole counts the starts wasted on one worker on which every task
// fails, with and without exclusion of suspected workers.
func BenchmarkBlackHole(b *testing.B) {
	for range b.N {
		var excluding, baseline int
		for seed := range uint64(5) {
			n, _ := countWastedStarts(seed, true)
			excluding += n
			n, _ = countWastedStarts(seed, false)
			baseline += n
		}
		b.ReportMetric(float64(excluding)/5, "wasted-starts")
		b.ReportMetric(float64(baseline)/5, "wasted-without-exclusion")
	}
}
