package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/chart"
	"github.com/currantwinch/currantwinch/charts"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/events"
)

const (
	firstBackoff = time.Second
	longBackoff  = time.Minute
)

// fire applies a trigger of the task's chart and reports whether the chart
// allows it.
func (t *task) fire(triggers ...chart.Trigger) bool {
	for _, trigger := range triggers {
		next, err := charts.Task.Next(t.state, trigger)
		if err != nil {
			return false
		}
		t.state = next
	}
	return true
}

// takeStatus takes in what a rack's owner says of one attempt.
func (h *homes) takeStatus(r *rackInfo, s taskStatus, now time.Time) {
	j, ok := h.jobs[s.Task.JobID]
	if !ok {
		h.takeStranger(r, s, now)
		return
	}
	if s.Task.Index >= len(j.tasks) || s.Task.Index < 0 {
		h.settleUnwanted(r, j.home, s)
		return
	}
	t := j.tasks[s.Task.Index]
	switch {
	case s.Task.Attempt < t.attempt:
		h.settleUnwanted(r, j.home, s)
	case s.Task.Attempt > t.attempt:
		h.takeUnknownAttempt(r, t, s, now)
	case s.Worker != t.worker && !(t.rack == r.share && t.live() && !t.accepted):
		h.settleUnwanted(r, j.home, s)
	default:
		h.follow(r, t, s, now)
	}
}

func (h *homes) settleUnwanted(r *rackInfo, hm *home, s taskStatus) {
	h.orphan(r.share, hm, s.Task, s.State.dead())
}

// takeUnknownAttempt adopts an attempt that an earlier home made.
func (h *homes) takeUnknownAttempt(r *rackInfo, t *task, s taskStatus, now time.Time) {
	if t.final() || t.state == taskReserved {
		h.settleUnwanted(r, t.job.home, s)
		return
	}
	if t.attempt > 0 && t.live() {
		h.orphan(t.rack, t.job.home, t.ref(), false)
		t.remains = append(t.remains, remain{t.rack, t.ref()})
		h.uncount(t)
	}
	t.state = taskWaiting
	t.fire(onAdopt)
	t.attempt = s.Task.Attempt
	t.worker, t.rack = s.Worker, r.share
	t.reason = "adopted"
	t.accepted = false
	h.count(t)
	h.follow(r, t, s, now)
}

// follow moves a task by the status of its current attempt.
func (h *homes) follow(r *rackInfo, t *task, s taskStatus, now time.Time) {
	if !t.live() {
		h.followIdle(r, t, s, now)
		return
	}
	t.rack, t.worker = r.share, s.Worker
	t.revision = s.Revision
	h.accepted(t, now)
	if s.Checkpoint != "" {
		t.checkpoint = s.Checkpoint
	}
	switch s.State {
	case attemptStarting:
		t.backFromUnknown()
	case attemptRunning:
		h.running(t, now)
	case attemptStopping:
		t.fire(onStop)
	case attemptUnknown:
		t.fire(onLose)
	case attemptExited:
		h.exited(t, s, now)
	case attemptLost:
		h.lost(t, s, now)
	case attemptNotStarted:
		h.notStarted(t, s, now)
	}
}

// followIdle handles the status of an attempt that this home does not count
// as live.
func (h *homes) followIdle(r *rackInfo, t *task, s taskStatus, now time.Time) {
	switch {
	case t.final() || t.state == taskReserved:
	case s.State.dead():
		h.settleUnwanted(r, t.job.home, s)
	case t.state == taskWaiting:
		t.fire(onAdopt)
		h.count(t)
		h.follow(r, t, s, now)
		h.enqueue(t.job, now)
	}
}

// accepted notes that a rack's owner has the current attempt.
func (h *homes) accepted(t *task, now time.Time) {
	t.evidence = now
	if !t.accepted {
		t.accepted, t.acceptedTick = true, h.tick
	}
}

// backFromUnknown notes that a task's worker answers again.
func (t *task) backFromUnknown() {
	if t.state == taskUnknown {
		t.fire(onAdopt)
	}
}

func (h *homes) running(t *task, now time.Time) {
	t.backFromUnknown()
	t.tries = 0
	if t.fire(onRun) || t.runsSince.IsZero() {
		t.runsSince = now
	}
	if t.stopping {
		h.stopTask(t, true)
	}
	for _, r := range t.remains {
		h.orphan(r.rack, t.job.home, r.ref, true)
	}
	t.remains = nil
}

// exited handles an attempt whose worker reported its end.
func (h *homes) exited(t *task, s taskStatus, now time.Time) {
	t.fire(onExit)
	h.uncount(t)
	h.learn(t, s)
	if s.Oversize {
		h.outgrow(t, s.Peak)
	}
	switch {
	case s.ExitCode == 0 && !t.job.isService():
		t.fire(onSucceed)
		t.job.health.RecordSuccess()
		// A member that succeeded after its gang broke runs again with the rest.
		h.restartBrokenGang(t.job, now)
		h.taskDone(t.job, now)
	case t.stopping || s.Stopped || s.Reason == exitStopped:
		h.again(t, 0, now)
	case s.Reason == exitLease || s.Reason == exitReboot:
		h.p.o.Events.Log(events.TaskLost, "job", t.job.entry.ID, "index", t.index, "attempt", t.attempt, "worker", t.worker, "reason", s.Reason)
		h.again(t, 0, now)
	default:
		h.failed(t, s, now)
	}
}

// The reasons of exits that are not a task's own doing.
const (
	exitStopped = "stopped"
	exitLease   = "lease_expired"
	exitReboot  = "reboot"
)

func (j *job) isService() bool { return j.entry.Workload.Class == document.ClassService }

func (j *job) maxAttempts() int {
	if n := j.entry.Workload.MaxAttempts; n > 0 {
		return n
	}
	return defaultMaxAttempts
}

func backoff(failures int) time.Duration {
	d := firstBackoff << min(failures-1, 10)
	return min(d, longBackoff)
}

// lost handles an attempt that is known dead without an exit.
func (h *homes) lost(t *task, s taskStatus, now time.Time) {
	if t.state != taskUnknown {
		t.fire(onLose)
	}
	t.fire(onLapse)
	h.uncount(t)
	h.p.o.Events.Log(events.TaskLost, "job", t.job.entry.ID, "index", t.index, "attempt", t.attempt, "worker", t.worker, "reason", s.Reason)
	h.again(t, 0, now)
}

func (h *homes) notStarted(t *task, s taskStatus, now time.Time) {
	t.reason = s.Reason
	h.uncount(t)
	t.remains = append(t.remains, remain{t.rack, t.ref()})
	if !t.fire(onRefuse) {
		// The owner had counted it as unknown or stopping.
		t.fire(onLose)
		t.fire(onLapse)
		t.fire(onRetry)
	}
	t.waitsSince = now
	h.memberEnded(t, now)
	h.putBack(t, 0, now)
}

// again has a task whose attempt has ended wait for its next attempt.
func (h *homes) again(t *task, delay time.Duration, now time.Time) {
	t.remains = append(t.remains, remain{t.rack, t.ref()})
	t.fire(onRetry)
	t.stopping, t.accepted = false, false
	t.runsSince = time.Time{}
	t.waitsSince = now
	h.memberEnded(t, now)
	h.putBack(t, delay, now)
}

// count and uncount keep the job's spread.
func (h *homes) count(t *task) {
	n, ok := h.index.Get(t.worker)
	if !ok || t.counted {
		return
	}
	t.counted, t.location = true, n.Location
	t.job.placed.Add(t.worker, t.location, 1)
}

func (h *homes) uncount(t *task) {
	if t.counted {
		t.counted = false
		t.job.placed.Add(t.worker, t.location, -1)
	}
}

// taskDone ends a job whose tasks are all final.
func (h *homes) taskDone(j *job, now time.Time) {
	h.enqueue(j, now)
	succeeded, failed := 0, 0
	for _, t := range j.tasks {
		switch t.state {
		case taskSucceeded:
			succeeded++
		case taskFailed:
			failed++
		}
	}
	if succeeded+failed == len(j.tasks) {
		h.finish(j, succeeded, failed, "")
	}
}
