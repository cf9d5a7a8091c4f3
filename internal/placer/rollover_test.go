package placer_test

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/standin/workerstandin"
)

// revise applies a change to a job's workload as a new revision.
func (c *cell) revise(id string, f func(w *document.Workload)) {
	c.change(func(v *view) {
		j := v.jobs[id]
		j.Revision++
		f(&j.Workload)
		v.jobs[id] = j
	})
}

// runningByRevision counts the running tasks of a job by revision.
func (c *cell) runningByRevision(id string) map[uint64]int {
	out := make(map[uint64]int)
	for _, e := range c.workers.RunningAttempts() {
		if e.Task.JobID == id {
			out[e.Labels.Revision]++
		}
	}
	return out
}

// TestRollOver_StaysWithinDisruptionBudget changes a service's workload in
// several ways. The number of running tasks may never fall below the smaller
// count of both revisions less the disruption budget.
func TestRollOver_StaysWithinDisruptionBudget(t *testing.T) {
	const count = 8
	for _, tc := range []struct {
		name   string
		budget int
		change func(w *document.Workload)
		during func(c *cell)
		floor  int
		end    map[uint64]int
	}{
		{"different command", 1, func(w *document.Workload) { w.Command = []string{"new"} }, nil, count - 1, map[uint64]int{2: count}},
		{"disruption budget of three", 3, func(w *document.Workload) { w.Command = []string{"new"} }, nil, count - 3, map[uint64]int{2: count}},
		{"larger tasks", 2, func(w *document.Workload) { w.Resources.CPU *= 2 }, nil, count - 2, map[uint64]int{2: count}},
		{"more tasks", 1, func(w *document.Workload) { w.Count = 12 }, nil, count - 1, map[uint64]int{2: 12}},
		{"fewer tasks", 1, func(w *document.Workload) { w.Count = 5 }, nil, 4, map[uint64]int{2: 5}},
		{"size larger than any worker", 2, func(w *document.Workload) { w.Resources.CPU = 1 << 30 }, nil, count, map[uint64]int{1: count}},
		{"home moves to another daemon", 1, func(w *document.Workload) { w.Command = []string{"new"} }, func(c *cell) {
			time.Sleep(4 * time.Second)
			home := c.owners[cluster.KeyShare("web")].daemon
			c.assign(cluster.KeyShare("web"), c.otherDaemon(rand.New(rand.NewPCG(1, 1)), home))
		}, count - 1, map[uint64]int{2: count}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runInCell(t, 3, workersInRacks(24, smallWorker), workerstandin.Options{}, func(c *cell) {
				w := service(count, 1000)
				w.MaxUnavailable = tc.budget
				c.submitRevision("web", "a", w, 1)
				time.Sleep(10 * time.Second)
				c.wantRunning("web", count)
				c.revise("web", tc.change)
				if tc.during != nil {
					go tc.during(c)
				}
				for range 1200 {
					time.Sleep(100 * time.Millisecond)
					now := c.runningByRevision("web")
					if total := now[1] + now[2]; total < tc.floor {
						t.Fatalf("%d tasks run, want at least %d; by revision %v", total, tc.floor, now)
					}
				}
				if got := c.runningByRevision("web"); !maps.Equal(got, tc.end) {
					t.Errorf("tasks by revision at the end %v, want %v", got, tc.end)
				}
				c.checkInvariants()
			})
		})
	}
}
