package placer_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/standin/workerstandin"
)

// fault disturbs a running cell.
type fault struct {
	name string
	do   func(c *cell, r *rand.Rand)
}

func (c *cell) randomWorker(r *rand.Rand) string { return c.vms[r.IntN(len(c.vms))].Name }

func (c *cell) otherDaemon(r *rand.Rand, name string) string {
	for {
		if d := fmt.Sprint("d", r.IntN(len(c.daemons))); d != name && !c.daemons[d].stopped {
			return d
		}
	}
}

func (c *cell) tempFault(r *rand.Rand, f workerstandin.Fault) {
	w := c.randomWorker(r)
	c.workers.SetFault(w, f)
	lasts := time.Duration(r.Int64N(int64(50 * time.Second)))
	go func() {
		time.Sleep(lasts)
		c.workers.SetFault(w, workerstandin.Fault{})
	}()
	time.Sleep(time.Duration(r.Int64N(int64(20 * time.Second))))
}

var faults = []fault{
	{"worker unreachable", func(c *cell, r *rand.Rand) { c.tempFault(r, workerstandin.Fault{Unreachable: true}) }},
	{"worker hung", func(c *cell, r *rand.Rand) { c.tempFault(r, workerstandin.Fault{Hung: true}) }},
	{"worker loses replies", func(c *cell, r *rand.Rand) { c.tempFault(r, workerstandin.Fault{LoseResponses: 1 + r.IntN(5)}) }},
	{"worker reboots", func(c *cell, r *rand.Rand) { c.workers.Reboot(c.randomWorker(r)) }},
	{"daemon dies", func(c *cell, r *rand.Rand) {
		name := c.otherDaemon(r, "d0")
		c.daemons[name].kill()
		time.Sleep(time.Duration(r.Int64N(int64(6 * time.Second))))
		c.takeOver(name, "d0")
		time.Sleep(time.Second)
		c.start(name)
	}},
	{"shares change owners", func(c *cell, r *rand.Rand) {
		for _, share := range c.shares() {
			if r.IntN(3) == 0 {
				c.assign(share, c.otherDaemon(r, ""))
			}
		}
	}},
	{"list leaves out a worker while shares change owners", func(c *cell, r *rand.Rand) {
		all, at := c.vms, r.IntN(len(c.vms))
		c.setVMs(slices.Delete(slices.Clone(all), at, at+1))
		time.Sleep(time.Duration(r.Int64N(int64(5 * time.Second))))
		for _, share := range c.shares() {
			if r.IntN(3) == 0 {
				c.assign(share, c.otherDaemon(r, ""))
			}
		}
		time.Sleep(time.Duration(r.Int64N(int64(15 * time.Second))))
		c.setVMs(all)
		time.Sleep(2 * time.Second)
	}},
	{"ownership expires and returns", func(c *cell, r *rand.Rand) {
		c.expireLeases(c.otherDaemon(r, ""), time.Duration(r.Int64N(int64(time.Second))))
	}},
	{"network partition between daemons", func(c *cell, r *rand.Rand) {
		pair := [2]string{"d0", c.otherDaemon(r, "d0")}
		c.setPartitioned(pair, true)
		time.Sleep(time.Duration(r.Int64N(int64(10 * time.Second))))
		c.setPartitioned(pair, false)
	}},
	{"replies between daemons lost", func(c *cell, r *rand.Rand) {
		c.mu.Lock()
		c.repliesToLose = 1 + r.IntN(6)
		c.mu.Unlock()
	}},
	{"jobs cancelled together", func(c *cell, r *rand.Rand) {
		for i := range 3 {
			c.cancel(fmt.Sprint("batch", i))
		}
	}},
}

func (c *cell) setPartitioned(pair [2]string, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitions[pair] = partitioned
}

// seeds is the number of seeds that each fault and each pair of faults is run
// with.
var seeds = flag.Int("placer.seeds", 1, "number of seeds for each fault and pair of faults")

// TestFaults_KeepInvariants disturbs mixed jobs with each fault alone and with
// every pair. No VM may be overcommitted, no task may run twice at a time, and
// every job that was not cancelled must succeed.
func TestFaults_KeepInvariants(t *testing.T) {
	for i, a := range faults {
		for _, b := range append([]fault{{name: "alone", do: func(*cell, *rand.Rand) {}}}, faults[i:]...) {
			for seed := range *seeds {
				t.Run(fmt.Sprintf("%s/%s/%d", a.name, b.name, seed), func(t *testing.T) {
					t.Parallel()
					runFaultPair(t, uint64(seed), a, b)
				})
			}
		}
	}
}

func runFaultPair(t *testing.T, seed uint64, a, b fault) {
	r := rand.New(rand.NewPCG(seed, 99))
	rate := func(string) float64 { return 0.985 + 0.03*r.Float64() }
	runInCell(t, 3, workersInRacks(24, smallWorker), workerstandin.Options{ClockRate: rate}, func(c *cell) {
		c.submit("web", "a", service(6, 2000))
		for i := range 6 {
			w := batch(6, 1500)
			w.MaxAttempts = 10
			c.submit(fmt.Sprint("batch", i), fmt.Sprint("team", i%2), w)
		}
		c.submit("gang", "g", gang(10, 3000))
		time.Sleep(time.Duration(r.Int64N(int64(5 * time.Second))))
		a.do(c, r)
		time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
		b.do(c, r)
		time.Sleep(4 * time.Minute)
		c.wantRunning("web", 6)
		for i := 3; i < 6; i++ {
			c.wantDone(fmt.Sprint("batch", i), 6, 0)
		}
		c.wantDone("gang", 10, 0)
		c.checkInvariants()
		if t.Failed() {
			for _, e := range c.workers.Events() {
				if e.Task.JobID == "web" {
					t.Logf("%v %s %s %+v %s", e.At.Sub(time.Unix(946684800, 0)), e.Kind, e.VM, e.Task, e.Reason)
				}
			}
			for _, d := range c.daemons {
				for _, id := range []string{"web", "batch3", "batch4", "batch5", "gang"} {
					if w := d.Why(id); w.Known {
						t.Logf("%s: %+v", d.name, w)
					}
				}
			}
		}
	})
}

// delayedStarts delays start requests even after their caller's context has
// ended.
type delayedStarts struct{ c *cell }

func (l delayedStarts) Inventory(ctx context.Context, vm cluster.VM) (placer.Inventory, error) {
	return l.c.workers.Inventory(ctx, vm)
}

func (l delayedStarts) Renew(ctx context.Context, vm cluster.VM, r placer.RenewRequest) (placer.Inventory, error) {
	return l.c.workers.Renew(ctx, vm, r)
}

func (l delayedStarts) Command(ctx context.Context, vm cluster.VM, r placer.CommandRequest) error {
	return l.c.workers.Command(ctx, vm, r)
}

func (l delayedStarts) Start(ctx context.Context, vm cluster.VM, r placer.StartRequest) error {
	l.c.mu.Lock()
	delay := l.c.startDelay
	l.c.mu.Unlock()
	if delay == 0 {
		return l.c.workers.Start(ctx, vm, r)
	}
	answer := make(chan error, 1)
	go func() {
		time.Sleep(delay)
		answer <- l.c.workers.Start(context.WithoutCancel(ctx), vm, r)
	}()
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *cell) setStartDelay(d time.Duration) { c.mu.Lock(); defer c.mu.Unlock(); c.startDelay = d }

// TestStart_ExpiresBeforeOwnershipMoves guards against a start of an earlier
// owner that takes effect after the next owner has read the worker. It delays
// starts in flight while the rack changes owners.
func TestStart_ExpiresBeforeOwnershipMoves(t *testing.T) {
	for _, delay := range []time.Duration{500 * time.Millisecond, 1900 * time.Millisecond, 2100 * time.Millisecond, 10 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			runInCell(t, 2, workersInRacks(8, smallWorker), workerstandin.Options{}, func(c *cell) {
				c.setStartDelay(delay)
				c.submit("x", "a", batch(8, 8000))
				time.Sleep(300 * time.Millisecond)
				c.setStartDelay(0)
				// The ownership lease has ended; the start is still in flight.
				for _, share := range c.shares() {
					c.assign(share, "none")
				}
				time.Sleep(3 * time.Second)
				for _, share := range c.shares() {
					c.assign(share, "d1")
				}
				time.Sleep(3 * time.Minute)
				c.wantDone("x", 8, 0)
			})
		})
	}
}

// TestUnreachable_TasksRunElsewhereAfterTheirLeasesExpire guards against
// replacing the tasks of an unreachable worker while they may still run, and
// against never replacing them.
func TestUnreachable_TasksRunElsewhereAfterTheirLeasesExpire(t *testing.T) {
	runInCell(t, 2, workersInRacks(16, smallWorker), workerstandin.Options{}, func(c *cell) {
		c.submit("web", "a", func() document.Workload {
			w := service(2, 2000)
			w.Resources.CPU = 8000
			return w
		}())
		time.Sleep(5 * time.Second)
		vm := c.workers.RunningAttempts()[0].VM
		c.workers.SetFault(vm, workerstandin.Fault{Unreachable: true})
		time.Sleep(15 * time.Second)
		c.wantRunning("web", 2)
		time.Sleep(time.Minute)
		c.wantRunning("web", 2)
		for _, e := range c.workers.RunningAttempts() {
			if e.VM == vm {
				t.Errorf("a task runs on the unreachable %s", vm)
			}
		}
	})
}
