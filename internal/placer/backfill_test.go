package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/standin/workerstandin"
)

const (
	longTime  = 10 * time.Minute
	shortTime = 2 * time.Minute
)

// runTimeByName gives each task the run time that its job's name stands for,
// plus overrun for short tasks.
func runTimeByName(overrun time.Duration) workerstandin.Options {
	return workerstandin.Options{RunTime: func(r placer.StartRequest) time.Duration {
		if r.Task.JobID[:4] == "long" {
			return longTime
		}
		return shortTime + overrun
	}}
}

// TestBackfill_DoesNotDelayTheHeadOfTheQueue guards against starvation of a job
// that needs whole workers: a stream of short tasks would take all capacity as
// it becomes free. The short tasks may be backfilled, but the job must start as
// soon as the long tasks have ended, also if the short tasks run longer than
// declared.
func TestBackfill_DoesNotDelayTheHeadOfTheQueue(t *testing.T) {
	cases := []struct {
		name    string
		overrun time.Duration
		head    document.Workload
	}{
		{"task, accurate run times", 0, batch(1, 8000)},
		{"task, run times longer than declared", 20 * time.Minute, batch(1, 8000)},
		{"gang, accurate run times", 0, gang(3, 8000)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runInCell(t, 3, workersInRacks(8, smallWorker), runTimeByName(tc.overrun), func(c *cell) {
				long := batch(8, 5000)
				long.RunTime = document.Duration(longTime)
				c.submit("long", "a", long)
				time.Sleep(5 * time.Second)
				c.submit("head", "b", tc.head)
				before := len(c.workers.Events())
				for i := range 60 {
					short := batch(2, 3000)
					short.RunTime = document.Duration(shortTime)
					c.submit(fmt.Sprint("short", i), "c", short)
					time.Sleep(11 * time.Second)
					if i == 30 && len(c.workers.Events()) == before {
						t.Error("no task was backfilled into the nominated capacity")
					}
				}
				// The long tasks end longTime after their start.
				if n := c.running("head"); n != tc.head.Count && c.job("head").Done == nil {
					t.Errorf("%d tasks of job head run a minute after their capacity became free, want %d", n, tc.head.Count)
					t.Logf("%+v", c.daemons["d0"].Why("head"))
					t.Logf("%+v", c.daemons["d1"].Why("head"))
					t.Logf("%+v", c.daemons["d2"].Why("head"))
				}
			})
		})
	}
}
