package placer_test

import (
	"bytes"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/standin/workerstandin"
)

var measure = flag.Bool("placer.measure", false, "run the measurements in virtual time")

// TestMeasure_GangWait measures, in virtual time, how long gangs of growing
// size wait until all their tasks run, on a cell that is one third full: one
// gang alone, and the later of two submitted to two homes at once.
func TestMeasure_GangWait(t *testing.T) {
	if !*measure {
		t.Skip("run with -placer.measure")
	}
	for _, size := range []int{2, 8, 32, 128, 256} {
		for _, gangs := range []int{1, 2} {
			runInCell(t, 3, workersInRacks(128, smallWorker), hourLongTasks(), func(c *cell) {
				for i := range 40 {
					c.submit(fmt.Sprint("batch", i), "b", batch(8, 1000))
				}
				time.Sleep(5 * time.Second)
				began := time.Now()
				for g := range gangs {
					c.submit(fmt.Sprint("gang", g), "g", gang(size, 1300))
				}
				for g := range gangs {
					c.waitRunning(fmt.Sprint("gang", g), size, time.Minute)
				}
				t.Logf("%d gangs of %d: %v", gangs, size, time.Since(began).Round(time.Millisecond))
			})
		}
	}
}

func (c *cell) waitRunning(id string, want int, limit time.Duration) {
	for end := time.Now().Add(limit); c.running(id) < want; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("%s: %d of %d tasks run after %v", id, c.running(id), want, limit)
		}
	}
}

// TestMeasure_Conflicts measures the fraction of placements that owners refuse
// as the number of homes and the load grow.
func TestMeasure_Conflicts(t *testing.T) {
	if !*measure {
		t.Skip("run with -placer.measure")
	}
	const workers, use = 780, 0.6
	for _, load := range []struct {
		rate int
		// cpu is the mean CPU request of the tasks.
		cpu int64
	}{{230, 1000}, {2000, 250}} {
		rate := load.rate
		runs := time.Duration(use * float64(workers*smallWorker.CPU) / float64(int64(rate)*load.cpu) * float64(time.Second))
		o := workerstandin.Options{RunTime: func(placer.StartRequest) time.Duration { return runs }}
		for _, homes := range []int{1, 3, 9} {
			t.Run(fmt.Sprintf("%d/%d", rate, homes), func(t *testing.T) {
				runInCell(t, homes, workersInRacks(workers, smallWorker), o, func(c *cell) {
					c.submitStream(rate, load.cpu, runs+2*time.Second)
					accepted, refused, waits := c.sumCounters("accepted_total"), c.sumCounters("refused_total"), c.sumCounters("no_room_total")
					c.submitStream(rate, load.cpu, 4*time.Second)
					accepted, refused, waits = c.sumCounters("accepted_total")-accepted, c.sumCounters("refused_total")-refused, c.sumCounters("no_room_total")-waits
					t.Logf("%d homes, %d starts a second of %v: %.0f accepted, %.0f refused, %.2f%%, %.0f found no capacity",
						homes, rate, runs.Round(time.Millisecond), accepted, refused, 100*refused/(accepted+refused), waits)
				})
			})
		}
	}
}

// submitStream submits jobs of one task, in four sizes, at an even rate.
func (c *cell) submitStream(rate int, cpu int64, d time.Duration) {
	const tick = 50 * time.Millisecond
	due := 0.0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tick) {
		due += float64(rate) * tick.Seconds()
		c.change(func(v *view) {
			for id, j := range v.jobs {
				if j.Phase != roles.JobAccepted {
					delete(v.jobs, id)
				}
			}
			for ; due >= 1; due-- {
				c.submitted++
				id := fmt.Sprint("one", c.submitted)
				w := batch(1, cpu*int64(2+2*(c.submitted%4))/5)
				w.Resources.Memory = gib / 4
				w.RunTime = document.Duration(time.Second)
				v.jobs[id] = roles.JobEntry{ID: id, Service: "s", Team: "t", Workload: w, Offset: v.offset, Time: time.Now()}
			}
		})
	}
}

// sumCounters adds up a counter over all daemons.
func (c *cell) sumCounters(name string) float64 {
	total := 0.0
	for _, d := range c.daemons {
		var out bytes.Buffer
		d.metrics.WritePrometheus(&out)
		for line := range strings.Lines(out.String()) {
			var n float64
			if rest, ok := strings.CutPrefix(line, "currantwinch_placement_"+name); ok {
				_, _ = fmt.Sscan(rest, &n)
				total += n
			}
		}
	}
	return total
}
