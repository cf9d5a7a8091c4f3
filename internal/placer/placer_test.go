package placer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/standin/workerstandin"
)

var small = cluster.Resources{CPU: 8000, Memory: 16 * gib}

func batch(count int, cpu int64) document.Workload {
	return document.Workload{
		Name: "work", Class: document.ClassBatch, Count: count, Checkpoints: true,
		Resources: cluster.Resources{CPU: cpu, Memory: gib}, RunTime: document.Duration(time.Minute),
	}
}

func service(count int, cpu int64) document.Workload {
	w := batch(count, cpu)
	w.Class, w.Spread, w.RunTime = document.ClassService, document.SpreadRack, 0
	return w
}

func gang(count int, cpu int64) document.Workload {
	w := batch(count, cpu)
	w.Class = document.ClassGang
	return w
}

// runTimes lets services run for ever and everything else for its declared
// time.
func runTimes(r placer.StartRequest) time.Duration {
	if r.Labels.Class == string(document.ClassService) {
		return 0
	}
	return time.Minute
}

// inCell runs f in virtual time against a cell that has settled, and checks
// the promises at the end.
func inCell(t *testing.T, daemons int, vms []cluster.VM, o workerstandin.Options, f func(c *cell)) {
	t.Helper()
	if o.RunTime == nil {
		o.RunTime = runTimes
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, daemons, vms, o)
		defer c.stop()
		time.Sleep(2 * time.Second)
		f(c)
		c.check()
	})
}

func (c *cell) running(job string) int {
	n := 0
	for _, e := range c.workers.Running() {
		if e.Task.JobID == job {
			n++
		}
	}
	return n
}

func (c *cell) wantRunning(job string, want int) {
	c.t.Helper()
	if got := c.running(job); got != want {
		c.t.Errorf("%s: %d tasks run, want %d", job, got, want)
	}
}

func (c *cell) wantDone(job string, succeeded, failed int) {
	c.t.Helper()
	j := c.job(job)
	if j.Phase != roles.JobDone || j.Done.Succeeded != succeeded || j.Done.Failed != failed {
		c.t.Errorf("%s: phase %d, done %+v, want %d and %d", job, j.Phase, j.Done, succeeded, failed)
	}
}

func TestPlacer_BatchRunsAndEnds(t *testing.T) {
	inCell(t, 3, rackOf8(32, small), workerstandin.Options{}, func(c *cell) {
		for i := range 20 {
			c.submit(fmt.Sprint("job", i), "a", batch(4, 1000))
		}
		time.Sleep(3 * time.Second)
		if n := len(c.workers.Running()); n != 80 {
			t.Errorf("%d tasks run", n)
		}
		time.Sleep(2 * time.Minute)
		for i := range 20 {
			c.wantDone(fmt.Sprint("job", i), 4, 0)
		}
		if n := len(c.workers.Running()); n != 0 {
			t.Errorf("%d tasks run after the end", n)
		}
	})
}

// TestPlacer_EndIsSeenWhenDue checks that a job's end is not left to the next
// renewal of leases: it is seen within a second of when it is due and told with
// the next sync.
func TestPlacer_EndIsSeenWhenDue(t *testing.T) {
	const runs = 55 * time.Second
	o := workerstandin.Options{RunTime: func(placer.StartRequest) time.Duration { return runs }}
	inCell(t, 3, rackOf8(16, small), o, func(c *cell) {
		w := batch(4, 1000)
		w.RunTime = document.Duration(runs)
		c.submit("job", "a", w)
		time.Sleep(runs + 4*time.Second)
		c.wantDone("job", 4, 0)
	})
}

func TestPlacer_ServiceSpreadsAndStaysUp(t *testing.T) {
	inCell(t, 3, rackOf8(32, small), workerstandin.Options{}, func(c *cell) {
		c.submit("web", "a", service(4, 2000))
		time.Sleep(5 * time.Minute)
		c.wantRunning("web", 4)
		racks := make(map[byte]bool)
		for _, e := range c.workers.Running() {
			var n int
			_, _ = fmt.Sscanf(e.VM, "w%d", &n)
			racks[byte(n/8)] = true
		}
		if len(racks) != 4 {
			t.Errorf("tasks stand in %d racks", len(racks))
		}
		c.cancel("web")
		time.Sleep(5 * time.Second)
		c.wantRunning("web", 0)
	})
}

func TestPlacer_GangRunsWholeOrNotAtAll(t *testing.T) {
	inCell(t, 3, rackOf8(16, small), workerstandin.Options{}, func(c *cell) {
		c.submit("first", "a", gang(12, 8000))
		time.Sleep(3 * time.Second)
		c.submit("second", "b", gang(8, 8000))
		time.Sleep(10 * time.Second)
		c.wantRunning("first", 12)
		c.wantRunning("second", 0)
		time.Sleep(80 * time.Second)
		c.wantDone("first", 12, 0)
		c.wantRunning("second", 8)
	})
}

func TestPlacer_FullCellQueuesAndNeverOverfills(t *testing.T) {
	inCell(t, 3, rackOf8(8, small), workerstandin.Options{}, func(c *cell) {
		for i := range 10 {
			c.submit(fmt.Sprint("job", i), fmt.Sprint("team", i%3), batch(8, 2000))
		}
		time.Sleep(10 * time.Second)
		if n := len(c.workers.Running()); n != 32 {
			t.Errorf("%d tasks run in room for 32", n)
		}
		time.Sleep(5 * time.Minute)
		for i := range 10 {
			c.wantDone(fmt.Sprint("job", i), 8, 0)
		}
	})
}

func TestPlacer_NeverRunIsSaidAtOnce(t *testing.T) {
	cases := []struct {
		name, want string
		workload   document.Workload
	}{
		{"cpu", "no worker has this much cpu", batch(1, 9000)},
		{"gang", "the workers cannot hold all tasks at once", gang(9, 8000)},
		{"region", "no worker in the allowed regions", func() document.Workload {
			w := batch(1, 1)
			w.Regions = []string{"elsewhere"}
			return w
		}()},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inCell(t, 1, rackOf8(8, small), workerstandin.Options{}, func(c *cell) {
				c.submit("x", "a", tc.workload)
				time.Sleep(200 * time.Millisecond)
				if w := c.daemons["d0"].Why("x"); w.Unschedulable != tc.want {
					t.Errorf("why %+v", w)
				}
				time.Sleep(10 * time.Second)
				c.wantDone("x", 0, len(tc.workload.Command)+max(tc.workload.Count, 1))
			})
		})
	}
}

func TestPlacer_LimitHoldsAndIsLifted(t *testing.T) {
	inCell(t, 3, rackOf8(16, small), workerstandin.Options{}, func(c *cell) {
		c.setQuota("a", document.Quota{Limit: cluster.Resources{CPU: 10000}})
		time.Sleep(2 * time.Second)
		for i := range 4 {
			c.submit(fmt.Sprint("job", i), "a", batch(5, 1000))
			time.Sleep(3 * time.Second)
		}
		if n := len(c.workers.Running()); n != 10 {
			t.Errorf("%d tasks run within a limit of 10", n)
		}
		c.setQuota("a", document.Quota{Limit: cluster.Resources{CPU: 20000}})
		time.Sleep(5 * time.Second)
		if n := len(c.workers.Running()); n != 20 {
			t.Errorf("%d tasks run within a limit of 20", n)
		}
	})
}

func TestPlacer_LeavingWorkerIsDrained(t *testing.T) {
	inCell(t, 3, rackOf8(16, small), workerstandin.Options{}, func(c *cell) {
		w := service(4, 2000)
		w.MaxUnavailable = 1
		c.submit("web", "a", w)
		c.submit("crunch", "a", batch(4, 2000))
		time.Sleep(20 * time.Second)
		vms := append([]cluster.VM(nil), c.vms...)
		for i := range vms {
			vms[i].Leaving = i < 8
		}
		c.setVMs(vms)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if n := c.running("web"); n < 3 {
				t.Errorf("%d tasks of the service run", n)
			}
		}
		for _, e := range c.workers.Running() {
			if e.VM < "w08" {
				t.Errorf("%s still runs on %s", e.Task.JobID, e.VM)
			}
		}
		c.wantRunning("web", 4)
		c.wantRunning("crunch", 4)
		time.Sleep(50 * time.Second)
		c.wantDone("crunch", 4, 0)
	})
}

// TestEvidence_BlackHoleAndPoisonAreToldApart runs good jobs beside a job that
// always fails, on a cell with a worker that fails everything.
func TestEvidence_BlackHoleAndPoisonAreToldApart(t *testing.T) {
	o := workerstandin.Options{
		RunTime: func(r placer.StartRequest) time.Duration {
			if r.Task.JobID == "poison" {
				return 100 * time.Millisecond
			}
			return time.Minute
		},
		ExitCode: func(_ string, r placer.StartRequest) int {
			if r.Task.JobID == "poison" {
				return 1
			}
			return 0
		},
	}
	inCell(t, 3, rackOf8(16, small), o, func(c *cell) {
		c.workers.SetFault("w03", workerstandin.Fault{FailStarts: true})
		poison := batch(6, 500)
		poison.MaxAttempts = 4
		c.submit("poison", "p", poison)
		for i := range 12 {
			c.submit(fmt.Sprint("good", i), fmt.Sprint("team", i), batch(7, 2000))
			time.Sleep(time.Second)
		}
		time.Sleep(20 * time.Second)
		time.Sleep(20 * time.Second)
		for _, w := range c.daemons["d0"].Status().Workers {
			if aside := w.State == "put_aside"; aside != (w.Name == "w03") {
				t.Errorf("%s is %s", w.Name, w.State)
			}
		}
		time.Sleep(6 * time.Minute)
		for i := range 12 {
			c.wantDone(fmt.Sprint("good", i), 7, 0)
		}
		time.Sleep(30 * time.Minute)
		c.wantDone("poison", 0, 6)
		failures := 0
		for _, e := range c.workers.Events() {
			if e.Kind == workerstandin.End && e.VM == "w03" && e.Task.JobID != "poison" {
				failures++
			}
		}
		if failures > 12 {
			t.Errorf("%d attempts of good jobs were wasted on the bad worker", failures)
		}
	})
}

// TestSizes_LiarsAreThrottledThenMoved has a team whose tasks use twice the
// CPU and memory that they ask for, beside a service that does not.
func TestSizes_LiarsAreThrottledThenMoved(t *testing.T) {
	o := workerstandin.Options{
		RunTime:  func(placer.StartRequest) time.Duration { return time.Hour },
		UsageLag: 5 * time.Second,
		Usage: func(r placer.StartRequest) cluster.Resources {
			if r.Task.JobID == "liar" {
				return cluster.Resources{CPU: 2000, Memory: 6 * gib}
			}
			return r.Resources
		},
	}
	inCell(t, 3, rackOf8(8, small), o, func(c *cell) {
		w := batch(16, 1000)
		w.Resources.Memory = 3 * gib
		c.submit("liar", "a", w)
		s := service(8, 4000)
		s.Resources.Memory = 6 * gib
		s.Spread = document.SpreadNone
		c.submit("web", "b", s)
		time.Sleep(3 * time.Minute)
		if calls := c.workers.Calls(); calls["throttle"] == 0 || calls["stop"] == 0 {
			t.Errorf("calls %v", calls)
		}
		for _, e := range c.workers.Events() {
			if e.Kind == workerstandin.End && e.Task.JobID != "liar" {
				t.Errorf("%s was stopped for another's lie", e.Task.JobID)
			}
		}
		c.wantRunning("web", 8)
		for vm, used := range c.realMemory(o.Usage) {
			if used > small.Memory {
				t.Errorf("%s uses %d GiB of memory", vm, used/gib)
			}
		}
	})
}

// realMemory is what the tasks on each VM really use.
func (c *cell) realMemory(usage func(placer.StartRequest) cluster.Resources) map[string]int64 {
	out := make(map[string]int64)
	for _, e := range c.workers.Running() {
		out[e.VM] += usage(placer.StartRequest{Task: e.Task, Resources: e.Resources}).Memory
	}
	return out
}
