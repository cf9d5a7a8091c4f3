package placer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/standin/workerstandin"
)

// The platform's list leaves a running worker out for 10 s, as it may for up to 20 s. Its
// rack goes to another daemon meanwhile, which therefore never reads that worker. The tasks
// there go on under leases of the owner before, and must not be started again within them.
func TestOwnership_WorkerMissingFromTheListKeepsItsTasks(t *testing.T) {
	for _, homes := range []bool{false, true} {
		name := "the rack alone goes to another daemon"
		if homes {
			name = "the homes go to it as well"
		}
		t.Run(name, func(t *testing.T) {
			runInCell(t, 2, workersInRacks(8, smallWorker), workerstandin.Options{}, func(c *cell) {
				c.submit("web", "a", func() document.Workload {
					w := service(2, 2000)
					w.Resources.CPU = 8000
					return w
				}())
				time.Sleep(5 * time.Second)
				all := c.vms
				lost := c.workers.RunningAttempts()[0].VM
				c.setVMs(slices.DeleteFunc(slices.Clone(all), func(vm cluster.VM) bool { return vm.Name == lost }))
				time.Sleep(2 * time.Second)
				for _, share := range c.shares() {
					if share.Kind == cluster.ShareRack || homes {
						to := "d0"
						if c.owners[share].daemon == to {
							to = "d1"
						}
						c.assign(share, to)
					}
				}
				time.Sleep(8 * time.Second)
				c.setVMs(all)
				time.Sleep(time.Minute)
				c.wantRunning("web", 2)
			})
		})
	}
}

// The list leaves out one worker or all workers of a rack for 18 s, or one worker for good,
// and shares go to another daemon, which has run for long or starts only then. The worker
// answers, or nobody reaches it meanwhile. In no case may its task run twice, and in each
// case both tasks run in the end.
func TestOwnership_UnlistedWorkersKeepTheirTasks(t *testing.T) {
	for _, tc := range []struct {
		name                                     string
		wholeRack, started, unreachable, removed bool
		moves                                    func(cluster.Share) bool
	}{
		{name: "worker unreachable, everything moves", unreachable: true, moves: everyShare},
		{name: "worker unreachable, rack moves", unreachable: true, moves: isRack},
		{name: "worker unreachable for good, everything moves", unreachable: true, removed: true, moves: everyShare},
		{name: "all of a rack, everything moves", wholeRack: true, moves: everyShare},
		{name: "all of a rack, homes move", wholeRack: true, moves: isHome},
		{name: "new daemon, everything moves", started: true, moves: everyShare},
		{name: "new daemon, rack moves", started: true, moves: isRack},
		{name: "new daemon, all of a rack, homes move", started: true, wholeRack: true, moves: isHome},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runInCell(t, 2, workersInRacks(16, smallWorker), workerstandin.Options{}, func(c *cell) {
				w := service(2, 2000)
				w.Resources.CPU = 8000
				c.submit("web", "a", w)
				time.Sleep(40 * time.Second)
				all, lost := c.vms, c.workers.RunningAttempts()[0].VM
				at := slices.IndexFunc(all, func(vm cluster.VM) bool { return vm.Name == lost })
				hidden := func(vm cluster.VM) bool {
					return vm.Name == lost || tc.wholeRack && vm.Location.Rack == all[at].Location.Rack
				}
				c.setVMs(slices.DeleteFunc(slices.Clone(all), hidden))
				if tc.unreachable {
					c.workers.SetFault(lost, workerstandin.Fault{Unreachable: true})
				}
				time.Sleep(2 * time.Second)
				if tc.started {
					c.start("d2")
				}
				time.Sleep(time.Second)
				for _, share := range sharesOf(all) {
					if !tc.moves(share) {
						continue
					}
					to := "d2"
					if !tc.started {
						to = map[string]string{"d0": "d1", "d1": "d0"}[c.owners[share].daemon]
					}
					c.assign(share, to)
				}
				time.Sleep(15 * time.Second)
				if !tc.removed {
					c.setVMs(all)
					c.workers.SetFault(lost, workerstandin.Fault{})
				}
				time.Sleep(2 * time.Minute)
				c.wantRunning("web", 2)
				c.checkInvariants()
			})
		})
	}
}

func everyShare(cluster.Share) bool { return true }
func isRack(s cluster.Share) bool   { return s.Kind == cluster.ShareRack }
func isHome(s cluster.Share) bool   { return s.Kind == cluster.ShareKey }
