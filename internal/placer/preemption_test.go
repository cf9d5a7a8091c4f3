package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/standin/workerstandin"
)

// maxUrgentWait is the longest time that an urgent task may wait on a full
// cell.
const maxUrgentWait = 1500 * time.Millisecond

// fill fills every worker with tasks of two teams.
func (c *cell) fill(r *rand.Rand, checkpoints bool) {
	for i := range 8 {
		w := batch(len(c.vms)/2, 2000)
		w.Checkpointable = checkpoints
		w.RunTime = document.Duration(time.Hour)
		if r.IntN(3) == 0 {
			w.Priority = document.PriorityHigh
		}
		c.submit(fmt.Sprint("fill", i), fmt.Sprint("team", i%2), w)
	}
	time.Sleep(20 * time.Second)
}

func hourLongTasks() workerstandin.Options {
	return workerstandin.Options{RunTime: func(placer.StartRequest) time.Duration { return time.Hour }}
}

// TestPreemption_UrgentTaskStartsInTimeOnAFullCell measures the wait of each
// urgent task in virtual time, including network delays and checkpoints.
func TestPreemption_UrgentTaskStartsInTimeOnAFullCell(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(8) {
		r := rand.New(rand.NewPCG(seed, 5))
		runInCell(t, 3, workersInRacks(24, smallWorker), hourLongTasks(), func(c *cell) {
			c.fill(r, seed%2 == 0)
			for i := range 3 {
				w := batch(1+r.IntN(4), 1000+int64(r.IntN(6000)))
				w.Priority = document.PriorityUrgent
				id := fmt.Sprint("urgent", i)
				at := time.Now()
				c.submit(id, "u", w)
				time.Sleep(4 * time.Second)
				c.wantRunning(id, w.Count)
				for _, e := range c.workers.RunningAttempts() {
					if e.Task.JobID == id {
						worst = max(worst, e.At.Sub(at))
					}
				}
			}
		})
	}
	t.Logf("longest wait until the start of an urgent task: %v", worst)
	if worst > maxUrgentWait {
		t.Errorf("an urgent task started after %v, want at most %v", worst, maxUrgentWait)
	}
}

// TestPreemption_VictimsResumeFromTheirCheckpoint checks that no more tasks are
// preempted than necessary and that the victims finish afterwards.
func TestPreemption_VictimsResumeFromTheirCheckpoint(t *testing.T) {
	runInCell(t, 3, workersInRacks(8, smallWorker), workerstandin.Options{RunTime: func(placer.StartRequest) time.Duration { return 5 * time.Minute }}, func(c *cell) {
		c.submit("long", "a", batch(8, 8000))
		time.Sleep(2 * time.Minute)
		w := batch(2, 8000)
		w.Priority = document.PriorityUrgent
		c.submit("urgent", "b", w)
		time.Sleep(3 * time.Second)
		c.wantRunning("urgent", 2)
		c.wantRunning("long", 6)
		ends := 0
		for _, e := range c.workers.Events() {
			if e.Kind == workerstandin.EventEnd {
				ends++
			}
		}
		if ends != 2 {
			t.Errorf("%d tasks were preempted for 2 urgent tasks", ends)
		}
		time.Sleep(9 * time.Minute)
		c.wantDone("urgent", 2, 0)
		c.wantDone("long", 8, 0)
	})
}

// TestPreemption_RespectsDisruptionBudget checks that urgent tasks preempt a
// service only within its disruption budget, on a cell with nothing else to
// preempt.
func TestPreemption_RespectsDisruptionBudget(t *testing.T) {
	runInCell(t, 3, workersInRacks(8, smallWorker), hourLongTasks(), func(c *cell) {
		c.submit("web", "a", service(8, 8000))
		time.Sleep(5 * time.Second)
		w := batch(4, 8000)
		w.Priority = document.PriorityUrgent
		c.submit("urgent", "b", w)
		time.Sleep(30 * time.Second)
		c.wantRunning("web", 7)
		c.wantRunning("urgent", 1)
	})
}

// TestQuota_GuaranteeIsReclaimedFromBorrower lets a team reclaim its guaranteed
// quota from a team that has borrowed the whole cell.
func TestQuota_GuaranteeIsReclaimedFromBorrower(t *testing.T) {
	runInCell(t, 3, workersInRacks(16, smallWorker), hourLongTasks(), func(c *cell) {
		c.setQuota("owner", document.Quota{Guaranteed: cluster.Resources{CPU: 64000, Memory: 64 * gib}})
		time.Sleep(2 * time.Second)
		c.submit("borrowed", "borrower", batch(64, 2000))
		time.Sleep(5 * time.Second)
		c.wantRunning("borrowed", 64)
		c.submit("due", "owner", batch(40, 2000))
		time.Sleep(20 * time.Second)
		// The guarantee covers 32 tasks; the others wait.
		c.wantRunning("due", 32)
		c.wantRunning("borrowed", 32)
	})
}
