package failure_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/standin/workerstandin"
	"github.com/google/uuid"
)

// fault is a fault that inject causes and clear ends.
type fault struct {
	name   string
	inject func(sim *simulation)
	clear  func(sim *simulation)
}

func noop(*simulation) {}

// faultyDaemon is the index of the daemon that faults of one daemon affect.
const faultyDaemon = 1

func (sim *simulation) daemonName(i int) string { return sim.cell.EntryVM(i).Name }

// faults lists all faults. The first is the run without a fault.
var faults = []fault{
	{"nothing", noop, noop},
	{"daemon crash", func(sim *simulation) { sim.crash(faultyDaemon) }, func(sim *simulation) { sim.startDaemon(faultyDaemon) }},
	{"daemon restart", func(sim *simulation) { sim.stop(faultyDaemon); sim.startDaemon(faultyDaemon) }, noop},
	{"entry VM leaves", func(sim *simulation) { sim.stop(faultyDaemon) }, noop},
	{"daemon paused for less than its lease", func(sim *simulation) { sim.pauseFor(faultyDaemon, 1500*time.Millisecond) }, noop},
	{"daemon paused for longer than its lease", func(sim *simulation) { sim.net.Pause(sim.daemonName(faultyDaemon)) }, func(sim *simulation) { sim.net.Resume(sim.daemonName(faultyDaemon)) }},
	{"entry VM lost", func(sim *simulation) { sim.crash(faultyDaemon); sim.cell.VMs.Remove(sim.daemonName(faultyDaemon)) }, noop},
	{"rack unreachable", func(sim *simulation) { sim.forEachRackWorker(func(n string) { sim.net.Pause(n) }) }, func(sim *simulation) { sim.forEachRackWorker(func(n string) { sim.net.Resume(n) }) }},
	{"failure domain cut off", func(sim *simulation) { sim.isolateRegion("south") }, func(sim *simulation) { sim.healRegion("south") }},
	{"region link cut both ways", func(sim *simulation) { sim.net.Partition("north", "west") }, func(sim *simulation) { sim.net.Heal("north", "west") }},
	{"region link cut one way", func(sim *simulation) { sim.net.Block("south", "west") }, func(sim *simulation) { sim.net.Heal("south", "west") }},
	{"log down", func(sim *simulation) { sim.cell.Log.SetDown(true) }, func(sim *simulation) { sim.cell.Log.SetDown(false) }},
	{"log hangs", func(sim *simulation) { sim.cell.Log.SetHang(true) }, func(sim *simulation) { sim.cell.Log.SetHang(false) }},
	{"log slow", func(sim *simulation) { sim.cell.Log.SetDelay(200*time.Millisecond, 200*time.Millisecond) }, func(sim *simulation) { sim.cell.Log.SetDelay(0, 0) }},
	{"log very slow", func(sim *simulation) { sim.cell.Log.SetDelay(2*time.Second, 2*time.Second) }, func(sim *simulation) { sim.cell.Log.SetDelay(0, 0) }},
	{"log responses lost", func(sim *simulation) { sim.cell.Log.LoseResponses(25) }, noop},
	{"log calls lost", func(sim *simulation) { sim.cell.Log.LoseRequests(25) }, noop},
	{"log cut from one daemon", func(sim *simulation) { sim.net.Partition(sim.daemonName(faultyDaemon), "platform-log") }, func(sim *simulation) { sim.net.Heal(sim.daemonName(faultyDaemon), "platform-log") }},
	{"records deleted by retention", func(sim *simulation) { sim.cell.Log.SetRetention(20) }, noop},
	{"VM list hides a daemon", func(sim *simulation) { sim.cell.VMs.Hide(sim.daemonName(faultyDaemon)) }, func(sim *simulation) { sim.cell.VMs.ClearOverrides() }},
	{"VM list hides a worker", func(sim *simulation) { sim.cell.VMs.Hide(sim.workerName(0)) }, func(sim *simulation) { sim.cell.VMs.ClearOverrides() }},
	{"VM list lags", func(sim *simulation) { sim.cell.VMs.SetLag(30 * time.Second); sim.crash(faultyDaemon) }, func(sim *simulation) { sim.startDaemon(faultyDaemon) }},
	{"clock 1% fast", func(sim *simulation) { sim.setClock(faultyDaemon, 1.01) }, noop},
	{"clock 1% slow", func(sim *simulation) { sim.setClock(faultyDaemon, 0.99) }, noop},
	{"daemon cut off from daemons and log", func(sim *simulation) { sim.isolate(faultyDaemon) }, func(sim *simulation) { sim.reconnect(faultyDaemon) }},
	{"owner cut off while its workers reboot", func(sim *simulation) { sim.isolateRackOwner() }, func(sim *simulation) { sim.reconnectAll() }},
	{"backend server hangs", func(sim *simulation) { sim.setBackend(sim.hung, true) }, func(sim *simulation) { sim.setBackend(sim.hung, false) }},
	{"backend server loses responses", func(sim *simulation) { sim.setBackend(sim.failing, true) }, func(sim *simulation) { sim.setBackend(sim.failing, false) }},
	{"responses lost, then the owner of their keys", func(sim *simulation) { sim.crashKeyOwner() }, func(sim *simulation) { sim.startDaemon(faultyDaemon) }},
	{"backend server mismatches responses", func(sim *simulation) { sim.setBackend(sim.mismatching, true) }, func(sim *simulation) { sim.setBackend(sim.mismatching, false) }},
	{"backend server leaves", func(sim *simulation) { sim.removeBackend(0) }, noop},
	{"worker unreachable", func(sim *simulation) { sim.setWorker(workerstandin.Fault{Unreachable: true}) }, func(sim *simulation) { sim.setWorker(workerstandin.Fault{}) }},
	{"worker with long tasks unreachable", func(sim *simulation) { sim.isolateLongTaskWorker() }, func(sim *simulation) { sim.restoreWorkers() }},
	{"rack owner lost with an unreachable worker", func(sim *simulation) { sim.isolateLongTaskWorker(); sim.crash(sim.rackOwner(sim.unreachableWorker)) }, func(sim *simulation) { sim.restoreWorkers(); sim.startStoppedDaemons() }},
	{"worker hangs", func(sim *simulation) { sim.setWorker(workerstandin.Fault{Hung: true}) }, func(sim *simulation) { sim.setWorker(workerstandin.Fault{}) }},
	{"worker fails all it starts", func(sim *simulation) { sim.setWorker(workerstandin.Fault{FailStarts: true}) }, func(sim *simulation) { sim.setWorker(workerstandin.Fault{}) }},
	{"worker loses responses", func(sim *simulation) { sim.setWorker(workerstandin.Fault{LoseResponses: 20}) }, noop},
	{"workers lost with a start in progress", func(sim *simulation) { sim.isolateStartingWorkers() }, func(sim *simulation) { sim.restoreWorkers() }},
	{"worker reboots", func(sim *simulation) { sim.cell.Workers.Reboot(sim.workerName(0)) }, noop},
	{"all jobs cancelled", func(sim *simulation) { sim.cancelAll() }, noop},
	{"operators race", func(sim *simulation) { sim.raceOperators() }, noop},
	{"load peak", func(sim *simulation) { sim.loadPeak() }, noop},
	{"load peak that moves within a region", func(sim *simulation) { sim.movingLoadPeak() }, noop},
}

func (sim *simulation) crash(i int) {
	sim.log.printf("crash of daemon %d", i)
	sim.net.Crash(sim.daemonName(i))
	if sim.cell.Daemon(i) != nil {
		sim.cell.KillDaemon(i)
	}
}

func (sim *simulation) stop(i int) {
	if sim.cell.Daemon(i) == nil {
		return
	}
	sim.log.printf("stop of daemon %d", i)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	start := time.Now()
	if err := sim.cell.StopDaemon(ctx, i); err != nil {
		sim.t.Errorf("%s: daemon %d: %v", gracefulStop, i, err)
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.stops = append(sim.stops, stopWindow{i, start, time.Now()})
}

func (sim *simulation) pauseFor(i int, d time.Duration) {
	sim.net.Pause(sim.daemonName(i))
	time.Sleep(d)
	sim.net.Resume(sim.daemonName(i))
}

func (sim *simulation) workerName(i int) string {
	return sim.cell.VMsByRole(cluster.RoleWorker)[i].Name
}

func (sim *simulation) forEachRackWorker(f func(name string)) {
	all := sim.cell.VMsByRole(cluster.RoleWorker)
	for _, vm := range all {
		if vm.Location == all[0].Location {
			f(vm.Name)
		}
	}
}

func (sim *simulation) isolateRegion(name string) {
	for _, other := range regions {
		if other != name {
			sim.net.Partition(name, other)
		}
	}
}

func (sim *simulation) healRegion(name string) {
	for _, other := range regions {
		if other != name {
			sim.net.Heal(name, other)
		}
	}
}

// isolate cuts a daemon off from the other daemons, the log and the VM list. It
// stays reachable for callers, workers and backend servers, so that it goes on
// acting for as long as it believes its leases valid.
func (sim *simulation) isolate(i int) {
	sim.forEachPeer(i, func(name string) { sim.net.Partition(sim.daemonName(i), name) })
}

func (sim *simulation) reconnect(i int) {
	sim.forEachPeer(i, func(name string) { sim.net.Heal(sim.daemonName(i), name) })
}

// reconnectAll reverts isolate for every daemon.
func (sim *simulation) reconnectAll() {
	for i := range daemons {
		sim.reconnect(i)
	}
}

func (sim *simulation) forEachPeer(i int, f func(name string)) {
	for other := range daemons {
		if other != i {
			f(sim.daemonName(other))
		}
	}
	f("platform-log")
	f("platform-vms")
}

func (sim *simulation) setClock(i int, rate float64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.clockRate[sim.daemonName(i)] = rate
}

func (sim *simulation) setBackend(set map[string]bool, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	set[sim.cell.VMsByRole(cluster.RoleBackend)[0].Name] = on
}

// crashKeyOwner makes all backend servers lose responses for responseLossTime, so
// that the outcomes of many keys are unknown, and then crashes a daemon that owns
// some of those keys.
func (sim *simulation) crashKeyOwner() {
	sim.setBackends(sim.failing, true)
	time.Sleep(responseLossTime)
	sim.crash(faultyDaemon)
	sim.setBackends(sim.failing, false)
}

func (sim *simulation) setBackends(set map[string]bool, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, vm := range sim.cell.VMsByRole(cluster.RoleBackend) {
		set[vm.Name] = on
	}
}

func (sim *simulation) removeBackend(i int) {
	name := sim.cell.VMsByRole(cluster.RoleBackend)[i].Name
	sim.cell.VMs.MarkLeaving(name)
	sim.cell.Backends[name].MarkLeaving(time.Now())
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.leavingSince[name] = time.Now()
}

// isolateLongTaskWorker makes a worker unreachable that runs tasks longer than
// the fault lasts.
func (sim *simulation) isolateLongTaskWorker() {
	// The fault may be injected twice in a run, so that the ID must be unique.
	job := fmt.Sprintf("desk/slow/%d", time.Now().UnixNano())
	sim.freeCapacity()
	sim.submitLong(job)
	for range placementPolls {
		for _, e := range sim.cell.Workers.RunningAttempts() {
			if e.Task.JobID == job {
				sim.cell.Workers.SetFault(e.VM, workerstandin.Fault{Unreachable: true})
				sim.unreachableWorker = sim.workerIndex(e.VM)
				return
			}
		}
		time.Sleep(requestInterval)
	}
	sim.t.Errorf("%s: no task of job %s was started", recovery, job)
}

// freeCapacity cancels all jobs and gives their tasks placementTime to end.
func (sim *simulation) freeCapacity() {
	sim.cancelAll()
	time.Sleep(placementTime)
}

// isolateStartingWorkers makes one worker in each region unreachable as soon as
// it has started a task, and submits tasks that run longer than the fault lasts to
// a cell with free capacity.
func (sim *simulation) isolateStartingWorkers() {
	sim.freeCapacity()
	for i := range regions {
		sim.cell.Workers.SetFault(sim.workerName(i), workerstandin.Fault{UnreachableAfterStart: true})
	}
	sim.submitLong(fmt.Sprintf("desk/slow/%d", time.Now().UnixNano()))
}

func (sim *simulation) workerIndex(name string) int {
	return slices.IndexFunc(sim.cell.VMsByRole(cluster.RoleWorker), func(vm cluster.VM) bool { return vm.Name == name })
}

func (sim *simulation) restoreWorkers() { sim.setAllWorkers(workerstandin.Fault{}) }

func (sim *simulation) setAllWorkers(f workerstandin.Fault) {
	for _, vm := range sim.cell.VMsByRole(cluster.RoleWorker) {
		sim.cell.Workers.SetFault(vm.Name, f)
	}
}

// startStoppedDaemons starts the daemons that are not running.
func (sim *simulation) startStoppedDaemons() {
	for i := range daemons {
		if sim.cell.Daemon(i) == nil {
			sim.startDaemon(i)
		}
	}
}

func (sim *simulation) setWorker(f workerstandin.Fault) {
	sim.cell.Workers.SetFault(sim.workerName(0), f)
}

// cancelAll cancels every submitted job and no longer checks it.
func (sim *simulation) cancelAll() {
	sim.mu.Lock()
	jobs := sim.jobs
	sim.jobs = nil
	sim.mu.Unlock()
	for _, id := range jobs {
		_, _ = sim.operator(0).Cancel(context.Background(), id)
	}
}

// raceOperators publishes four changes to the same revision concurrently and
// checks that at most one is accepted.
func (sim *simulation) raceOperators() {
	current, err := sim.operator(0).Document(context.Background(), "desk")
	if err != nil {
		return
	}
	won := make(chan int, 4)
	for i := range 4 {
		go func() {
			at := time.Now()
			accepted, err := sim.operator(i).Publish(context.Background(), "desk", current.Revision, uuid.NewString(), []byte(documentText(100+i)))
			sim.recordDocumentOp(documentOp{baseRevision: current.Revision, start: at, accepted: accepted, err: err})
			if err == nil {
				won <- 1
				return
			}
			won <- 0
		}()
	}
	total := 0
	for range 4 {
		total += <-won
	}
	if total > 1 {
		sim.t.Errorf("%s: %d changes to revision %d were accepted, want at most 1", documentOrder, total, current.Revision)
	}
}

const (
	// placementTime is the time that long tasks get to be placed.
	placementTime = 1500 * time.Millisecond
	// placementPolls is the number of checks for a running long task, one every
	// requestInterval.
	placementPolls = 200
	// longTaskSettleTime is the additional settle time for long tasks.
	longTaskSettleTime = 20 * time.Second
	// unreachableTime is how long workers are unreachable before the owner of
	// their rack is isolated, so that the owner polls them often.
	unreachableTime = 3 * time.Second
	// replacementTime is the time after which an isolated daemon would be
	// replaced if no daemon waited for its lease to end.
	replacementTime = 1800 * time.Millisecond
	// responseLossTime is how long responses are lost before the owner of the
	// keys crashes.
	responseLossTime = 3 * time.Second
	// peakInterval is the time between the requests of a moving load peak, which
	// exceed the capacity of all slots.
	peakInterval = 3 * time.Millisecond
	// peakBurst is the number of consecutive requests to one daemon.
	peakBurst = 150
	// peakMoves is the number of bursts, alternately to one daemon and the other.
	peakMoves = 6
)

// rackOwner returns the daemon that owns the rack of the i-th worker, or
// faultyDaemon if none does.
func (sim *simulation) rackOwner(i int) int {
	owner, _ := sim.anyView().Share(cluster.RackShare(sim.cell.VMsByRole(cluster.RoleWorker)[i]))
	for d := range daemons {
		if sim.daemonName(d) == owner.Name {
			return d
		}
	}
	return faultyDaemon
}

// isolateRackOwner isolates the owner of a rack that is also the home of a job.
// The workers of the rack reboot while it is isolated, so that the old owner and
// the daemon that takes over have tasks to restart at the same time.
func (sim *simulation) isolateRackOwner() {
	owner := sim.rackOwner(0)
	sim.submitLong(sim.newJobWithHome(owner, "slow"))
	sim.forEachRackWorker(func(n string) { sim.cell.Workers.SetFault(n, workerstandin.Fault{Unreachable: true}) })
	time.Sleep(unreachableTime)
	sim.isolate(owner)
	sim.forEachRackWorker(sim.cell.Workers.Reboot)
	time.Sleep(replacementTime)
	sim.forEachRackWorker(func(n string) { sim.cell.Workers.SetFault(n, workerstandin.Fault{}) })
}

// newJobWithHome returns an unused job ID whose key share the daemon owns, which
// makes it the job's home.
func (sim *simulation) newJobWithHome(daemon int, workload string) string {
	for i := 0; ; i++ {
		id := fmt.Sprintf("desk/%s/%d/%d", workload, time.Since(sim.startTime).Milliseconds(), i)
		if owner, _ := sim.anyView().Share(cluster.KeyShare(id)); owner.Name == sim.daemonName(daemon) {
			return id
		}
	}
}

// submitLong submits tasks that run longer than a fault lasts.
func (sim *simulation) submitLong(id string) {
	sim.submit(context.Background(), id, "slow")
	time.Sleep(placementTime)
	sim.settleTime += longTaskSettleTime
}

// loadPeak more than doubles the load for five seconds, and sends more long
// requests than there are slots.
func (sim *simulation) loadPeak() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for i := 0; ctx.Err() == nil; i++ {
		c := &clientRequest{caller: fmt.Sprintf("peak-%d-%d", time.Now().UnixNano(), i), kind: "lookup"}
		if i%3 == 0 {
			c.kind = "review"
		}
		sim.mu.Lock()
		sim.requests = append(sim.requests, c)
		sim.mu.Unlock()
		sim.inFlight.Go(func() { sim.sendWithRetries(c, i%daemons) })
		sleep(ctx, requestInterval/3)
	}
}

// movingLoadPeak sends more short requests than all slots can run to one daemon
// of a region and then to the other, so that leases of slots in use move between
// the daemons.
func (sim *simulation) movingLoadPeak() {
	for i := range peakMoves * peakBurst {
		c := &clientRequest{caller: fmt.Sprintf("moving-%d-%d", time.Now().UnixNano(), i), kind: "scan"}
		sim.mu.Lock()
		sim.requests = append(sim.requests, c)
		sim.mu.Unlock()
		sim.inFlight.Go(func() { sim.sendWithRetries(c, i/peakBurst*len(regions)%daemons) })
		time.Sleep(peakInterval)
	}
}
