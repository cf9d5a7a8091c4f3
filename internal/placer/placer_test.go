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

var smallWorker = cluster.Resources{CPU: 8000, Memory: 16 * gib}

func batch(count int, cpu int64) document.Workload {
	return document.Workload{
		Name: "work", Class: document.ClassBatch, Count: count, Checkpointable: true,
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

// runTimes lets services run without end and other tasks for their declared
// minute.
func runTimes(r placer.StartRequest) time.Duration {
	if r.Labels.Class == string(document.ClassService) {
		return 0
	}
	return time.Minute
}

// runInCell runs f in virtual time against a cell that has settled, and checks
// the invariants at the end.
func runInCell(t *testing.T, daemons int, vms []cluster.VM, o workerstandin.Options, f func(c *cell)) {
	t.Helper()
	if o.RunTime == nil {
		o.RunTime = runTimes
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, daemons, vms, o)
		defer c.stop()
		time.Sleep(2 * time.Second)
		f(c)
		c.checkInvariants()
	})
}

func (c *cell) running(job string) int {
	n := 0
	for _, e := range c.workers.RunningAttempts() {
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

func TestPlacer_BatchRunsToCompletion(t *testing.T) {
	runInCell(t, 3, workersInRacks(32, smallWorker), workerstandin.Options{}, func(c *cell) {
		for i := range 20 {
			c.submit(fmt.Sprint("job", i), "a", batch(4, 1000))
		}
		time.Sleep(3 * time.Second)
		if n := len(c.workers.RunningAttempts()); n != 80 {
			t.Errorf("%d tasks run, want 80", n)
		}
		time.Sleep(2 * time.Minute)
		for i := range 20 {
			c.wantDone(fmt.Sprint("job", i), 4, 0)
		}
		if n := len(c.workers.RunningAttempts()); n != 0 {
			t.Errorf("%d tasks run after the end of all jobs", n)
		}
	})
}

// TestPlacer_ExitIsDetectedWhenExpected guards against detecting exits only
// with the next lease renewal: an exit is detected within a second of its
// expected time and reported with the next sync.
func TestPlacer_ExitIsDetectedWhenExpected(t *testing.T) {
	const runs = 55 * time.Second
	o := workerstandin.Options{RunTime: func(placer.StartRequest) time.Duration { return runs }}
	runInCell(t, 3, workersInRacks(16, smallWorker), o, func(c *cell) {
		w := batch(4, 1000)
		w.RunTime = document.Duration(runs)
		c.submit("job", "a", w)
		time.Sleep(runs + 4*time.Second)
		c.wantDone("job", 4, 0)
	})
}

func TestPlacer_ServiceSpreadsOverRacksAndStaysUp(t *testing.T) {
	runInCell(t, 3, workersInRacks(32, smallWorker), workerstandin.Options{}, func(c *cell) {
		c.submit("web", "a", service(4, 2000))
		time.Sleep(5 * time.Minute)
		c.wantRunning("web", 4)
		racks := make(map[byte]bool)
		for _, e := range c.workers.RunningAttempts() {
			var n int
			_, _ = fmt.Sscanf(e.VM, "w%d", &n)
			racks[byte(n/8)] = true
		}
		if len(racks) != 4 {
			t.Errorf("tasks run on %d racks, want 4", len(racks))
		}
		c.cancel("web")
		time.Sleep(5 * time.Second)
		c.wantRunning("web", 0)
	})
}

func TestPlacer_GangStartsAllTasksOrNone(t *testing.T) {
	runInCell(t, 3, workersInRacks(16, smallWorker), workerstandin.Options{}, func(c *cell) {
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

func TestPlacer_FullCellQueuesWithoutOvercommit(t *testing.T) {
	runInCell(t, 3, workersInRacks(8, smallWorker), workerstandin.Options{}, func(c *cell) {
		for i := range 10 {
			c.submit(fmt.Sprint("job", i), fmt.Sprint("team", i%3), batch(8, 2000))
		}
		time.Sleep(10 * time.Second)
		if n := len(c.workers.RunningAttempts()); n != 32 {
			t.Errorf("%d tasks run, want the 32 that fit", n)
		}
		time.Sleep(5 * time.Minute)
		for i := range 10 {
			c.wantDone(fmt.Sprint("job", i), 8, 0)
		}
	})
}

func TestPlacer_UnschedulableJobIsReportedAtOnce(t *testing.T) {
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
			runInCell(t, 1, workersInRacks(8, smallWorker), workerstandin.Options{}, func(c *cell) {
				c.submit("x", "a", tc.workload)
				time.Sleep(200 * time.Millisecond)
				if w := c.daemons["d0"].Why("x"); w.Unschedulable != tc.want {
					t.Errorf("explanation %+v, want the constraint %q", w, tc.want)
				}
				time.Sleep(10 * time.Second)
				c.wantDone("x", 0, len(tc.workload.Command)+max(tc.workload.Count, 1))
			})
		})
	}
}

func TestPlacer_TeamLimitIsEnforcedAndRaised(t *testing.T) {
	runInCell(t, 3, workersInRacks(16, smallWorker), workerstandin.Options{}, func(c *cell) {
		c.setQuota("a", document.Quota{Limit: cluster.Resources{CPU: 10000}})
		time.Sleep(2 * time.Second)
		for i := range 4 {
			c.submit(fmt.Sprint("job", i), "a", batch(5, 1000))
			time.Sleep(3 * time.Second)
		}
		if n := len(c.workers.RunningAttempts()); n != 10 {
			t.Errorf("%d tasks run, want the limit of 10", n)
		}
		c.setQuota("a", document.Quota{Limit: cluster.Resources{CPU: 20000}})
		time.Sleep(5 * time.Second)
		if n := len(c.workers.RunningAttempts()); n != 20 {
			t.Errorf("%d tasks run, want the limit of 20", n)
		}
	})
}

func TestPlacer_LeavingWorkerIsDrained(t *testing.T) {
	runInCell(t, 3, workersInRacks(16, smallWorker), workerstandin.Options{}, func(c *cell) {
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
				t.Errorf("%d tasks of the service run, want at least 3", n)
			}
		}
		for _, e := range c.workers.RunningAttempts() {
			if e.VM < "w08" {
				t.Errorf("%s still runs on the leaving worker %s", e.Task.JobID, e.VM)
			}
		}
		c.wantRunning("web", 4)
		c.wantRunning("crunch", 4)
		time.Sleep(50 * time.Second)
		c.wantDone("crunch", 4, 0)
	})
}

// TestHealth_DistinguishesBadWorkerFromPoisonJob runs good jobs beside a job
// that always fails, on a cell with a worker that fails everything. Only that
// worker may be quarantined, and only that job may fail.
func TestHealth_DistinguishesBadWorkerFromPoisonJob(t *testing.T) {
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
	runInCell(t, 3, workersInRacks(16, smallWorker), o, func(c *cell) {
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
			if quarantined := w.State == "put_aside"; quarantined != (w.Name == "w03") {
				t.Errorf("worker %s is in state %q", w.Name, w.State)
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
			if e.Kind == workerstandin.EventEnd && e.VM == "w03" && e.Task.JobID != "poison" {
				failures++
			}
		}
		if failures > 12 {
			t.Errorf("%d attempts of good jobs failed on the bad worker, want at most 12", failures)
		}
	})
}

// TestHealth_JobThatRebootsItsWorkersIsDeferred runs a task that reboots each worker that
// starts it. A reboot counted nowhere, so that it was started on one worker after another
// without a pause. It may reboot three workers, and then one a minute.
func TestHealth_JobThatRebootsItsWorkersIsDeferred(t *testing.T) {
	runInCell(t, 3, workersInRacks(16, smallWorker), workerstandin.Options{}, func(c *cell) {
		c.submit("crasher", "p", batch(1, 500))
		for i := range 4 {
			c.submit(fmt.Sprint("good", i), fmt.Sprint("team", i), batch(7, 2000))
		}
		reboots := 0
		const watched = 10 * time.Minute
		for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, e := range c.workers.RunningAttempts() {
				if e.Task.JobID == "crasher" {
					c.workers.Reboot(e.VM)
					reboots++
				}
			}
		}
		if limit := 3 + int(watched/time.Minute); reboots < 3 || reboots > limit {
			t.Errorf("%d workers rebooted in %v, want 3 to %d", reboots, watched, limit)
		}
		for i := range 4 {
			c.wantDone(fmt.Sprint("good", i), 7, 0)
		}
	})
}

// TestUsage_OversizeTasksAreThrottledThenStopped runs tasks that use twice the
// CPU and memory that they request beside a service that does not. No task of
// the service may be stopped and no worker may run out of memory.
func TestUsage_OversizeTasksAreThrottledThenStopped(t *testing.T) {
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
	runInCell(t, 3, workersInRacks(8, smallWorker), o, func(c *cell) {
		oversize := batch(16, 1000)
		oversize.Resources.Memory = 3 * gib
		c.submit("liar", "a", oversize)
		web := service(8, 4000)
		web.Resources.Memory = 6 * gib
		web.Spread = document.SpreadNone
		c.submit("web", "b", web)
		time.Sleep(3 * time.Minute)
		if calls := c.workers.CallCounts(); calls["throttle"] == 0 || calls["stop"] == 0 {
			t.Errorf("calls %v, want throttle and stop", calls)
		}
		for _, e := range c.workers.Events() {
			if e.Kind == workerstandin.EventEnd && e.Task.JobID != "liar" {
				t.Errorf("%s was stopped for another job's excess usage", e.Task.JobID)
			}
		}
		c.wantRunning("web", 8)
		for vm, used := range c.realMemory(o.Usage) {
			if used > smallWorker.Memory {
				t.Errorf("%s uses %d GiB of memory, want at most %d GiB", vm, used/gib, smallWorker.Memory/gib)
			}
		}
	})
}

// realMemory returns the memory that the tasks on each VM really use.
func (c *cell) realMemory(usage func(placer.StartRequest) cluster.Resources) map[string]int64 {
	out := make(map[string]int64)
	for _, e := range c.workers.RunningAttempts() {
		out[e.VM] += usage(placer.StartRequest{Task: e.Task, Resources: e.Resources}).Memory
	}
	return out
}
