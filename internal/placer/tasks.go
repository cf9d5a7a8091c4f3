package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/chart"
	"github.com/currantwinch/currantwinch/charts"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/events"
)

const (
	minFailureBackoff = time.Second
	maxFailureBackoff = time.Minute
)

// fire applies triggers of the task's state chart in order. It returns false at
// the first trigger that the chart does not allow.
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

// applyStatus applies an owner's report of one attempt.
func (sc *scheduler) applyStatus(r *rackSnapshot, s taskStatus, now time.Time) {
	j, ok := sc.jobs[s.Task.JobID]
	if !ok {
		sc.handleUnmatched(r, s, now)
		return
	}
	if s.Task.Index >= len(j.tasks) || s.Task.Index < 0 {
		sc.terminateUnwanted(r, j.home, s)
		return
	}
	t := j.tasks[s.Task.Index]
	switch {
	case s.Task.Attempt < t.attempt:
		sc.terminateUnwanted(r, j.home, s)
	case s.Task.Attempt > t.attempt:
		sc.adoptNewerAttempt(r, t, s, now)
	case s.Worker != t.worker && !(t.rack == r.share && t.live() && !t.accepted):
		sc.terminateUnwanted(r, j.home, s)
	default:
		sc.updateTask(r, t, s, now)
	}
}

func (sc *scheduler) terminateUnwanted(r *rackSnapshot, hm *home, s taskStatus) {
	sc.terminateAttempt(r.share, hm, s.Task, s.State.terminated())
}

// adoptNewerAttempt adopts an attempt that an earlier home started.
func (sc *scheduler) adoptNewerAttempt(r *rackSnapshot, t *task, s taskStatus, now time.Time) {
	if t.final() || t.state == taskReserved {
		sc.terminateUnwanted(r, t.job.home, s)
		return
	}
	if t.attempt > 0 && t.live() {
		sc.terminateAttempt(t.rack, t.job.home, t.ref(), false)
		t.deadAttempts = append(t.deadAttempts, deadAttempt{t.rack, t.ref()})
		sc.uncountPlaced(t)
	}
	t.state = taskWaiting
	t.fire(onAdopt)
	t.attempt = s.Task.Attempt
	t.worker, t.rack = s.Worker, r.share
	t.reason = "adopted"
	t.accepted = false
	sc.countPlaced(t)
	sc.updateTask(r, t, s, now)
}

// updateTask updates a task from a report of its current attempt.
func (sc *scheduler) updateTask(r *rackSnapshot, t *task, s taskStatus, now time.Time) {
	if !t.live() {
		sc.updateIdleTask(r, t, s, now)
		return
	}
	t.rack, t.worker = r.share, s.Worker
	t.revision = s.Revision
	sc.recordAccepted(t, now)
	if s.Checkpoint != "" {
		t.checkpoint = s.Checkpoint
	}
	switch s.State {
	case attemptStarting:
		t.leaveUnknown()
	case attemptRunning:
		sc.handleRunning(t, now)
	case attemptStopping:
		t.fire(onStop)
	case attemptUnknown:
		t.fire(onLose)
	case attemptExited:
		sc.handleExited(t, s, now)
	case attemptLost:
		sc.handleLost(t, s, now)
	case attemptNotStarted:
		sc.handleNotStarted(t, s, now)
	}
}

// updateIdleTask handles a report of an attempt that this home does not count
// as live.
func (sc *scheduler) updateIdleTask(r *rackSnapshot, t *task, s taskStatus, now time.Time) {
	switch {
	case t.final() || t.state == taskReserved:
	case s.State.terminated():
		sc.terminateUnwanted(r, t.job.home, s)
	case t.state == taskWaiting:
		t.fire(onAdopt)
		sc.countPlaced(t)
		sc.updateTask(r, t, s, now)
		sc.updateQueue(t.job, now)
	}
}

// recordAccepted records that a rack's owner has accepted the current attempt.
func (sc *scheduler) recordAccepted(t *task, now time.Time) {
	t.lastConfirmed = now
	if !t.accepted {
		t.accepted, t.acceptedSeq = true, sc.syncSeq
	}
}

// leaveUnknown ends the state unknown of a task whose worker answers again.
func (t *task) leaveUnknown() {
	if t.state == taskUnknown {
		t.fire(onAdopt)
	}
}

func (sc *scheduler) handleRunning(t *task, now time.Time) {
	t.leaveUnknown()
	t.retries = 0
	if t.fire(onRun) || t.runningSince.IsZero() {
		t.runningSince = now
	}
	if t.stopping {
		sc.stopTask(t, true)
	}
	for _, r := range t.deadAttempts {
		sc.terminateAttempt(r.rack, t.job.home, r.ref, true)
	}
	t.deadAttempts = nil
}

// handleExited handles an attempt whose worker reported its exit.
func (sc *scheduler) handleExited(t *task, s taskStatus, now time.Time) {
	t.fire(onExit)
	sc.uncountPlaced(t)
	sc.recordUsage(t, s)
	if s.Oversize {
		sc.raiseSize(t, s.Peak)
	}
	switch {
	case s.ExitCode == 0 && !t.job.isService():
		t.fire(onSucceed)
		t.job.health.RecordSuccess()
		// A task that succeeded after its gang was broken runs again with the
		// others.
		sc.restartPartialGang(t.job, now)
		sc.checkJobDone(t.job, now)
	case t.stopping || s.Stopped || s.Reason == exitStopped:
		sc.retryTask(t, 0, now)
	case s.Reason == exitLeaseExpired || s.Reason == exitReboot:
		sc.p.o.Events.Log(events.TaskLost, "job", t.job.entry.ID, "index", t.index, "attempt", t.attempt, "worker", t.worker, "reason", s.Reason)
		sc.retryLost(t, s.Reason, now)
	default:
		sc.handleFailed(t, s, now)
	}
}

// Exit reasons that are not caused by the task itself.
const (
	exitStopped      = "stopped"
	exitLeaseExpired = "lease_expired"
	exitReboot       = "reboot"
	// lostReboot is given for attempts that a rebooted worker no longer lists.
	lostReboot = "rebooted"
)

func (j *job) isService() bool { return j.entry.Workload.Class == document.ClassService }

func (j *job) maxAttempts() int {
	if n := j.entry.Workload.MaxAttempts; n > 0 {
		return n
	}
	return defaultMaxAttempts
}

func failureBackoff(failures int) time.Duration {
	d := minFailureBackoff << min(failures-1, 10)
	return min(d, maxFailureBackoff)
}

// handleLost handles an attempt that has ended without a reported exit.
func (sc *scheduler) handleLost(t *task, s taskStatus, now time.Time) {
	if t.state != taskUnknown {
		t.fire(onLose)
	}
	t.fire(onLapse)
	sc.uncountPlaced(t)
	sc.p.o.Events.Log(events.TaskLost, "job", t.job.entry.ID, "index", t.index, "attempt", t.attempt, "worker", t.worker, "reason", s.Reason)
	sc.retryLost(t, s.Reason, now)
}

// retryLost retries a task that ended with its lease or its worker.
func (sc *scheduler) retryLost(t *task, reason string, now time.Time) {
	if reason == exitReboot || reason == lostReboot {
		sc.retryAfterReboot(t, now)
		return
	}
	sc.retryTask(t, 0, now)
}

func (sc *scheduler) handleNotStarted(t *task, s taskStatus, now time.Time) {
	t.reason = s.Reason
	sc.uncountPlaced(t)
	t.deadAttempts = append(t.deadAttempts, deadAttempt{t.rack, t.ref()})
	if !t.fire(onRefuse) {
		// The rack's owner had reported the attempt as unknown or stopping.
		t.fire(onLose)
		t.fire(onLapse)
		t.fire(onRetry)
	}
	t.waitingSince = now
	sc.handleGangMemberEnd(t, now)
	sc.requeueTask(t, 0, now)
}

// retryTask lets a task whose attempt has ended wait for its next attempt.
func (sc *scheduler) retryTask(t *task, delay time.Duration, now time.Time) {
	t.deadAttempts = append(t.deadAttempts, deadAttempt{t.rack, t.ref()})
	t.fire(onRetry)
	t.stopping, t.accepted = false, false
	t.runningSince = time.Time{}
	t.waitingSince = now
	sc.handleGangMemberEnd(t, now)
	sc.requeueTask(t, delay, now)
}

// countPlaced and uncountPlaced maintain the job's placement counts, which the
// spread constraint uses.
func (sc *scheduler) countPlaced(t *task) {
	n, ok := sc.index.Get(t.worker)
	if !ok || t.counted {
		return
	}
	t.counted, t.location = true, n.Location
	t.job.placed.Add(t.worker, t.location, 1)
}

func (sc *scheduler) uncountPlaced(t *task) {
	if t.counted {
		t.counted = false
		t.job.placed.Add(t.worker, t.location, -1)
	}
}

// checkJobDone ends a job whose tasks are all final.
func (sc *scheduler) checkJobDone(j *job, now time.Time) {
	sc.updateQueue(j, now)
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
		sc.finishJob(j, succeeded, failed, "")
	}
}
