package workerstandin

import (
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/placer"
)

type task struct {
	request   placer.StartRequest
	state     placer.TaskState
	started   time.Time
	lease     placer.WorkerTime
	throttled bool
	usage     cluster.Resources
	exitCode  int

	// runTime is the task's total work, done the completed part, and doneUntil the
	// time up to which done is computed.
	runTime   time.Duration
	done      time.Duration
	doneUntil time.Time

	stopAt       time.Time
	checkpointAt time.Time
	checkpoint   string

	ended      time.Time
	exitReason string
}

func (t *task) live() bool { return t.state != placer.TaskExited }

func (w *Workers) newTask(v *workerVM, r placer.StartRequest, now time.Time) *task {
	t := &task{
		request: r, state: placer.TaskStarting, started: now, lease: r.LeaseUntil,
		doneUntil: now.Add(DefaultStartTime), runTime: DefaultRunTime, usage: r.Resources,
		done: w.checkpoints[r.Checkpoint], checkpoint: r.Checkpoint,
	}
	if w.options.RunTime != nil {
		t.runTime = w.options.RunTime(r)
	}
	if w.options.Usage != nil {
		t.usage = w.options.Usage(r)
	}
	if w.options.ExitCode != nil {
		t.exitCode = w.options.ExitCode(v.vm.Name, r)
	}
	if v.fault.FailStarts {
		t.exitCode = 1
		t.runTime = t.done + failTime
	}
	return t
}

// advance brings the state of a VM's tasks up to now.
func (w *Workers) advance(v *workerVM, now time.Time) {
	for _, t := range v.tasks {
		if t.live() {
			w.advanceTask(v, t, now)
		}
	}
}

func (w *Workers) advanceTask(v *workerVM, t *task, now time.Time) {
	lease := v.timeAt(t.lease)
	until := now
	if lease.Before(until) {
		until = lease
	}
	w.progress(v, t, until)
	if t.live() && !now.Before(lease) {
		w.end(v, t, lease, 137, "lease_expired")
	}
}

// progress advances the task up to a time that is not after the end of its lease.
func (w *Workers) progress(v *workerVM, t *task, until time.Time) {
	if t.state == placer.TaskStarting && !until.Before(t.started.Add(DefaultStartTime)) {
		t.state = placer.TaskRunning
	}
	if !t.checkpointAt.IsZero() && !until.Before(t.checkpointAt) {
		w.run(t, t.checkpointAt)
		w.saveCheckpoint(t)
	}
	if !t.stopAt.IsZero() && !until.Before(t.stopAt) {
		w.run(t, t.stopAt)
		w.end(v, t, t.stopAt, 143, "stopped")
		return
	}
	w.run(t, until)
	if t.runTime > 0 && t.done >= t.runTime {
		over := (t.done - t.runTime) * t.slowness()
		w.end(v, t, until.Add(-over), t.exitCode, "finished")
	}
}

func (t *task) slowness() time.Duration {
	if t.throttled {
		return throttledDivisor
	}
	return 1
}

func (w *Workers) run(t *task, until time.Time) {
	if !until.After(t.doneUntil) {
		return
	}
	t.done += until.Sub(t.doneUntil) / t.slowness()
	t.doneUntil = until
}

func (w *Workers) saveCheckpoint(t *task) {
	r := t.request.Task
	t.checkpoint = fmt.Sprintf("cp/%s/%d/%d/%d", r.JobID, r.Index, r.Attempt, t.done.Milliseconds())
	w.checkpoints[t.checkpoint] = t.done
	t.checkpointAt = time.Time{}
}

func (w *Workers) end(v *workerVM, t *task, at time.Time, code int, reason string) {
	t.state = placer.TaskExited
	t.ended = at
	t.exitCode = code
	t.exitReason = reason
	w.record(Event{At: at, Kind: EventEnd, VM: v.vm.Name, Task: t.request.Task, Resources: t.request.Resources, Reason: reason, Labels: t.request.Labels})
}

func (w *Workers) inventory(v *workerVM, now time.Time) placer.Inventory {
	out := placer.Inventory{BootID: v.bootID(), Clock: v.clock(now)}
	for _, t := range v.tasks {
		out.Tasks = append(out.Tasks, w.report(t, now))
	}
	sortReports(out.Tasks)
	return out
}

func (w *Workers) report(t *task, now time.Time) placer.TaskReport {
	r := placer.TaskReport{
		Task: t.request.Task, State: t.state, Resources: t.request.Resources, Labels: t.request.Labels,
		LeaseUntil: t.lease, UsageAge: w.options.UsageLag, Throttled: t.throttled,
		RunTime: now.Sub(t.started), Checkpoint: t.checkpoint,
	}
	if !t.live() {
		r.RunTime = t.ended.Sub(t.started)
		r.ExitCode, r.ExitReason = t.exitCode, t.exitReason
		return r
	}
	if r.RunTime > w.options.UsageLag {
		r.Usage = t.used()
	}
	return r
}

// used returns the task's usage. While throttled, its CPU is limited to the
// declared size.
func (t *task) used() cluster.Resources {
	if !t.throttled {
		return t.usage
	}
	u := t.usage
	u.CPU = min(u.CPU, t.request.Resources.CPU)
	return u
}
