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

// fault is one thing that goes wrong, and how it ends.
type fault struct {
	name  string
	begin func(w *world)
	end   func(w *world)
}

func none(*world) {}

// victim is the daemon that single faults hit.
const victim = 1

func (w *world) host(i int) string { return w.cell.EntryVM(i).Name }

// faults are the faults of the brief, each alone.
var faults = []fault{
	{"nothing", none, none},
	{"daemon crash", func(w *world) { w.crash(victim) }, func(w *world) { w.startDaemon(victim) }},
	{"daemon restart", func(w *world) { w.stop(victim); w.startDaemon(victim) }, none},
	{"entry VM leaves", func(w *world) { w.stop(victim) }, none},
	{"daemon paused for less than its right", func(w *world) { w.pauseFor(victim, 1500*time.Millisecond) }, none},
	{"daemon paused for longer than its right", func(w *world) { w.net.Pause(w.host(victim)) }, func(w *world) { w.net.Resume(w.host(victim)) }},
	{"entry VM lost", func(w *world) { w.crash(victim); w.cell.VMs.Remove(w.host(victim)) }, none},
	{"rack unreachable", func(w *world) { w.eachRackMate(func(n string) { w.net.Pause(n) }) }, func(w *world) { w.eachRackMate(func(n string) { w.net.Resume(n) }) }},
	{"failure domain cut off", func(w *world) { w.cutRegion("south") }, func(w *world) { w.healRegion("south") }},
	{"region link cut both ways", func(w *world) { w.net.Partition("north", "west") }, func(w *world) { w.net.Heal("north", "west") }},
	{"region link cut one way", func(w *world) { w.net.Block("south", "west") }, func(w *world) { w.net.Heal("south", "west") }},
	{"log down", func(w *world) { w.cell.Log.SetDown(true) }, func(w *world) { w.cell.Log.SetDown(false) }},
	{"log hangs", func(w *world) { w.cell.Log.SetHang(true) }, func(w *world) { w.cell.Log.SetHang(false) }},
	{"log slow", func(w *world) { w.cell.Log.SetDelay(200*time.Millisecond, 200*time.Millisecond) }, func(w *world) { w.cell.Log.SetDelay(0, 0) }},
	{"log very slow", func(w *world) { w.cell.Log.SetDelay(2*time.Second, 2*time.Second) }, func(w *world) { w.cell.Log.SetDelay(0, 0) }},
	{"log answers lost", func(w *world) { w.cell.Log.LoseResponses(25) }, none},
	{"log calls lost", func(w *world) { w.cell.Log.LoseRequests(25) }, none},
	{"log cut from one daemon", func(w *world) { w.net.Partition(w.host(victim), "platform-log") }, func(w *world) { w.net.Heal(w.host(victim), "platform-log") }},
	{"retention passes by", func(w *world) { w.cell.Log.SetRetention(20) }, none},
	{"VM list hides a daemon", func(w *world) { w.cell.VMs.Hide(w.host(victim)) }, func(w *world) { w.cell.VMs.ClearOverrides() }},
	{"VM list hides a worker", func(w *world) { w.cell.VMs.Hide(w.worker(0)) }, func(w *world) { w.cell.VMs.ClearOverrides() }},
	{"VM list lags", func(w *world) { w.cell.VMs.SetLag(30 * time.Second); w.crash(victim) }, func(w *world) { w.startDaemon(victim) }},
	{"clock 1% fast", func(w *world) { w.setClock(victim, 1.01) }, none},
	{"clock 1% slow", func(w *world) { w.setClock(victim, 0.99) }, none},
	{"daemon cut off from daemons and log", func(w *world) { w.isolate(victim) }, func(w *world) { w.rejoin(victim) }},
	{"owner cut off while its workers reboot", func(w *world) { w.isolateRebooting() }, func(w *world) { w.rejoinAll() }},
	{"backend server hangs", func(w *world) { w.setBackend(w.hung, true) }, func(w *world) { w.setBackend(w.hung, false) }},
	{"backend server loses answers", func(w *world) { w.setBackend(w.failing, true) }, func(w *world) { w.setBackend(w.failing, false) }},
	{"answers lost, then their keys' owner", func(w *world) { w.loseKeys() }, func(w *world) { w.startDaemon(victim) }},
	{"backend server crosses answers", func(w *world) { w.setBackend(w.crossed, true) }, func(w *world) { w.setBackend(w.crossed, false) }},
	{"backend server leaves", func(w *world) { w.leave(0) }, none},
	{"worker unreachable", func(w *world) { w.setWorker(workerstandin.Fault{Unreachable: true}) }, func(w *world) { w.setWorker(workerstandin.Fault{}) }},
	{"worker with long tasks unreachable", func(w *world) { w.loseSlow() }, func(w *world) { w.mendWorkers() }},
	{"rack owner lost with a worker that nobody reads", func(w *world) { w.loseSlow(); w.crash(w.rackOwner(w.unreachable)) }, func(w *world) { w.mendWorkers(); w.startAll() }},
	{"worker hangs", func(w *world) { w.setWorker(workerstandin.Fault{Hung: true}) }, func(w *world) { w.setWorker(workerstandin.Fault{}) }},
	{"worker fails all it starts", func(w *world) { w.setWorker(workerstandin.Fault{FailStarts: true}) }, func(w *world) { w.setWorker(workerstandin.Fault{}) }},
	{"worker loses answers", func(w *world) { w.setWorker(workerstandin.Fault{LoseResponses: 20}) }, none},
	{"workers lost with a start under way", func(w *world) { w.loseStarting() }, func(w *world) { w.mendWorkers() }},
	{"worker reboots", func(w *world) { w.cell.Workers.Reboot(w.worker(0)) }, none},
	{"wave of cancellations", func(w *world) { w.cancelAll() }, none},
	{"operators race", func(w *world) { w.race() }, none},
	{"crest", func(w *world) { w.crest() }, none},
	{"crest that moves within a region", func(w *world) { w.movingCrest() }, none},
}

func (w *world) crash(i int) {
	w.log.add("crash of daemon %d", i)
	w.net.Crash(w.host(i))
	if w.cell.Daemon(i) != nil {
		w.cell.KillDaemon(i)
	}
}

func (w *world) stop(i int) {
	if w.cell.Daemon(i) == nil {
		return
	}
	w.log.add("stop of daemon %d", i)
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	began := time.Now()
	if err := w.cell.StopDaemon(ctx, i); err != nil {
		w.t.Errorf("%s: daemon %d: %v", stopCutsNobody, i, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops = append(w.stops, stopWindow{i, began, time.Now()})
}

func (w *world) pauseFor(i int, d time.Duration) {
	w.net.Pause(w.host(i))
	time.Sleep(d)
	w.net.Resume(w.host(i))
}

func (w *world) worker(i int) string { return w.cell.VMsByRole(cluster.RoleWorker)[i].Name }

func (w *world) eachRackMate(f func(name string)) {
	all := w.cell.VMsByRole(cluster.RoleWorker)
	for _, vm := range all {
		if vm.Location == all[0].Location {
			f(vm.Name)
		}
	}
}

func (w *world) cutRegion(name string) {
	for _, other := range regions {
		if other != name {
			w.net.Partition(name, other)
		}
	}
}

func (w *world) healRegion(name string) {
	for _, other := range regions {
		if other != name {
			w.net.Heal(name, other)
		}
	}
}

// isolate leaves a daemon reachable for callers, workers and backend servers,
// so that it goes on acting for as long as it thinks it may.
func (w *world) isolate(i int) {
	w.eachOther(i, func(name string) { w.net.Partition(w.host(i), name) })
}

func (w *world) rejoin(i int) {
	w.eachOther(i, func(name string) { w.net.Heal(w.host(i), name) })
}

// rejoinAll heals what isolate cut, for every daemon.
func (w *world) rejoinAll() {
	for i := range daemons {
		w.rejoin(i)
	}
}

func (w *world) eachOther(i int, f func(name string)) {
	for other := range daemons {
		if other != i {
			f(w.host(other))
		}
	}
	f("platform-log")
	f("platform-vms")
}

func (w *world) setClock(i int, rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clockRate[w.host(i)] = rate
}

func (w *world) setBackend(set map[string]bool, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	set[w.cell.VMsByRole(cluster.RoleBackend)[0].Name] = on
}

// loseKeys leaves many keys in doubt and then ends a daemon that owns some.
func (w *world) loseKeys() {
	w.setBackends(w.failing, true)
	time.Sleep(doubtFor)
	w.crash(victim)
	w.setBackends(w.failing, false)
}

func (w *world) setBackends(set map[string]bool, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, vm := range w.cell.VMsByRole(cluster.RoleBackend) {
		set[vm.Name] = on
	}
}

func (w *world) leave(i int) {
	name := w.cell.VMsByRole(cluster.RoleBackend)[i].Name
	w.cell.VMs.MarkLeaving(name)
	w.cell.Backends[name].MarkLeaving(time.Now())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaves[name] = time.Now()
}

// loseSlow makes a worker unreachable that runs tasks which outlast the fault.
func (w *world) loseSlow() {
	// The fault may come twice in a run.
	job := fmt.Sprintf("desk/slow/%d", time.Now().UnixNano())
	w.makeRoom()
	w.submitSlow(job)
	for range placeTurns {
		for _, e := range w.cell.Workers.RunningAttempts() {
			if e.Task.JobID == job {
				w.cell.Workers.SetFault(e.VM, workerstandin.Fault{Unreachable: true})
				w.unreachable = w.workerIndex(e.VM)
				return
			}
		}
		time.Sleep(callGap)
	}
	w.t.Errorf("%s: no task of %s runs", flowsAgain, job)
}

// makeRoom cancels all jobs and waits for their tasks to end.
func (w *world) makeRoom() {
	w.cancelAll()
	time.Sleep(slowFor)
}

// loseStarting makes one worker a region unreachable as soon as it has started
// a task, and submits tasks that outlast the fault to a cell with room.
func (w *world) loseStarting() {
	w.makeRoom()
	for i := range regions {
		w.cell.Workers.SetFault(w.worker(i), workerstandin.Fault{UnreachableAfterStart: true})
	}
	w.submitSlow(fmt.Sprintf("desk/slow/%d", time.Now().UnixNano()))
}

func (w *world) workerIndex(name string) int {
	return slices.IndexFunc(w.cell.VMsByRole(cluster.RoleWorker), func(vm cluster.VM) bool { return vm.Name == name })
}

func (w *world) mendWorkers() { w.eachWorker(workerstandin.Fault{}) }

func (w *world) eachWorker(f workerstandin.Fault) {
	for _, vm := range w.cell.VMsByRole(cluster.RoleWorker) {
		w.cell.Workers.SetFault(vm.Name, f)
	}
}

// startAll starts the daemons that do not run.
func (w *world) startAll() {
	for i := range daemons {
		if w.cell.Daemon(i) == nil {
			w.startDaemon(i)
		}
	}
}

func (w *world) setWorker(f workerstandin.Fault) { w.cell.Workers.SetFault(w.worker(0), f) }

// cancelAll cancels every job there is and forgets it.
func (w *world) cancelAll() {
	w.mu.Lock()
	jobs := w.jobs
	w.jobs = nil
	w.mu.Unlock()
	for _, id := range jobs {
		_, _ = w.operator(0).Cancel(context.Background(), id)
	}
}

// race publishes four changes of one revision at once: one may win.
func (w *world) race() {
	current, err := w.operator(0).Document(context.Background(), "desk")
	if err != nil {
		return
	}
	won := make(chan int, 4)
	for i := range 4 {
		go func() {
			at := time.Now()
			accepted, err := w.operator(i).Publish(context.Background(), "desk", current.Revision, uuid.NewString(), []byte(documentText(100+i)))
			w.noteChange(change{base: current.Revision, at: at, accepted: accepted, err: err})
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
		w.t.Errorf("%s: %d changes of revision %d won", neverOlder, total, current.Revision)
	}
}

const (
	// slowFor is how long long tasks have to be placed.
	slowFor = 1500 * time.Millisecond
	// placeTurns is how often one of them is looked for, a callGap apart.
	placeTurns = 200
	// slowSettle is how much longer they take to end.
	slowSettle = 20 * time.Second
	// unreachableFor is how long workers are unreachable before their owner is
	// cut off, so that it calls them often.
	unreachableFor = 3 * time.Second
	// suspectedIn is when a daemon that was cut off has been replaced, if
	// nobody waits for its right to end.
	suspectedIn = 1800 * time.Millisecond
	// doubtFor is how long answers are lost before the keys' owner ends.
	doubtFor = 3 * time.Second
	// crestGap is the time between the requests of a moving crest, which are
	// more than all slots can run.
	crestGap = 3 * time.Millisecond
	// crestStay is how many of them in a row go to one daemon.
	crestStay = 150
	// crestTurns is how often the crest moves.
	crestTurns = 6
)

// rackOwner is the daemon that owns the rack of the i-th worker.
func (w *world) rackOwner(i int) int {
	owner, _ := w.anyView().Share(cluster.RackShare(w.cell.VMsByRole(cluster.RoleWorker)[i]))
	for d := range daemons {
		if w.host(d) == owner.Name {
			return d
		}
	}
	return victim
}

// isolateRebooting cuts off the owner of a rack that is also the home of a
// job. Its workers reboot meanwhile, so that it and whoever takes over have
// tasks to start again at the same time.
func (w *world) isolateRebooting() {
	owner := w.rackOwner(0)
	w.submitSlow(w.jobOf(owner, "slow"))
	w.eachRackMate(func(n string) { w.cell.Workers.SetFault(n, workerstandin.Fault{Unreachable: true}) })
	time.Sleep(unreachableFor)
	w.isolate(owner)
	w.eachRackMate(w.cell.Workers.Reboot)
	time.Sleep(suspectedIn)
	w.eachRackMate(func(n string) { w.cell.Workers.SetFault(n, workerstandin.Fault{}) })
}

// jobOf returns an unused ID of a job that has a daemon as its home.
func (w *world) jobOf(daemon int, workload string) string {
	for i := 0; ; i++ {
		id := fmt.Sprintf("desk/%s/%d/%d", workload, time.Since(w.began).Milliseconds(), i)
		if owner, _ := w.anyView().Share(cluster.KeyShare(id)); owner.Name == w.host(daemon) {
			return id
		}
	}
}

// submitSlow submits tasks that run for longer than a fault lasts.
func (w *world) submitSlow(id string) {
	w.submit(context.Background(), id, "slow")
	time.Sleep(slowFor)
	w.settle += slowSettle
}

// crest more than doubles the load for five seconds, with more long requests
// than there are slots.
func (w *world) crest() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for i := 0; ctx.Err() == nil; i++ {
		c := &call{caller: fmt.Sprintf("crest-%d-%d", time.Now().UnixNano(), i), kind: "lookup"}
		if i%3 == 0 {
			c.kind = "review"
		}
		w.mu.Lock()
		w.calls = append(w.calls, c)
		w.mu.Unlock()
		w.callers.Go(func() { w.makeCall(c, i%daemons) })
		sleep(ctx, callGap/3)
	}
}

// movingCrest sends more short requests than all slots can run to one daemon
// of a region and then to the other, so that slots which are all in use change
// hands.
func (w *world) movingCrest() {
	for i := range crestTurns * crestStay {
		c := &call{caller: fmt.Sprintf("moving-%d-%d", time.Now().UnixNano(), i), kind: "scan"}
		w.mu.Lock()
		w.calls = append(w.calls, c)
		w.mu.Unlock()
		w.callers.Go(func() { w.makeCall(c, i/crestStay*len(regions)%daemons) })
		time.Sleep(crestGap)
	}
}
