package placer

import (
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
)

const (
	closedQuarantined = "put_aside"
	closedProbation   = "on_trial"
	// provenRunTime is the run time after which an attempt counts as a success
	// of its worker and its job.
	provenRunTime = 10 * time.Second
	// maxQuickReboots is the number of workers that may reboot under a task, one soon
	// after the other, before it waits. A job counts as at fault by the number of
	// different workers, of which a full cell has few left to offer.
	maxQuickReboots = 3
)

// recordExit counts an attempt's exit for or against its worker. Requested
// stops, expired leases and reboots do not count.
func (r *rack) recordExit(w *worker, a *attempt, now time.Time) {
	switch {
	case a.stopRequested || a.reason == exitLeaseExpired || a.reason == exitReboot:
		return
	case a.report.ExitCode == 0:
		w.health.RecordSuccess()
	default:
		w.health.RecordFailure(a.ref.JobID, a.item.JobSuspicion, a.item.JobProven, now)
	}
	r.updateHealth(w, now)
}

// recordLongRun counts an attempt that has run for provenRunTime as a success
// of its worker.
func (r *rack) recordLongRun(w *worker, a *attempt, now time.Time) {
	if a.longRunRecorded || a.report.RunTime < provenRunTime {
		return
	}
	a.longRunRecorded = true
	w.health.RecordSuccess()
	r.updateHealth(w, now)
}

// updateHealth updates a worker's availability and reported suspicion from its
// health record, and logs when the worker is quarantined.
func (r *rack) updateHealth(w *worker, now time.Time) {
	before, _ := r.book.Worker(w.vm.Name)
	r.updateClosed(w, now)
	after, _ := r.book.Worker(w.vm.Name)
	if before.Closed != closedQuarantined && after.Closed == closedQuarantined {
		r.alloc.p.o.Events.Log(events.WorkerQuarantined, "worker", w.vm.Name, "share", r.share.String())
	}
	if s := w.health.Suspicion(now); s != w.reportedSuspicion {
		w.reportedSuspicion = s
		r.book.MarkChanged(w.vm.Name)
	}
}

// discountJobs removes the failures of poison jobs, which fail on every worker,
// from the health records of workers.
func (al *allocator) discountJobs(jobs []string, now time.Time) {
	for _, r := range al.racks {
		for _, w := range r.workers {
			if w.reportedSuspicion == 0 {
				continue
			}
			for _, id := range jobs {
				w.health.ForgetJob(id)
			}
			r.updateHealth(w, now)
		}
	}
}

// handleFailed handles an attempt that exited with an error. A failure on a
// quarantined worker does not count against the task.
func (sc *scheduler) handleFailed(t *task, s taskStatus, now time.Time) {
	sc.p.o.Events.Log(events.TaskFailed, "job", t.job.entry.ID, "index", t.index, "attempt", t.attempt, "worker", t.worker, "code", s.ExitCode, "reason", s.Reason)
	j := t.job
	if sc.closedReason(t.worker) == closedQuarantined {
		sc.retryTask(t, 0, now)
		return
	}
	sc.recordJobFailure(j, t.worker)
	t.failedWorkers = append(t.failedWorkers, t.worker)
	if !j.isService() && len(t.failedWorkers) >= j.maxAttempts() {
		t.fire(onGiveUp)
		sc.checkJobDone(j, now)
		return
	}
	delay := failureBackoff(len(t.failedWorkers))
	if j.health.Poison() {
		delay = maxFailureBackoff
	}
	sc.retryTask(t, delay, now)
}

// recordJobFailure counts a failure on a worker as evidence against the job, and logs
// when the job is deferred for it.
func (sc *scheduler) recordJobFailure(j *job, worker string) {
	poison := j.health.Poison()
	j.health.RecordFailure(worker)
	if !poison && j.health.Poison() {
		sc.p.o.Events.Log(events.JobDeferred, "job", j.entry.ID, "team", j.entry.Team)
	}
}

// retryAfterReboot retries a task whose worker rebooted under it. The task, or another
// one there, may have caused it, so that no task fails for it; but a job whose workers
// reboot wherever it runs is deferred.
func (sc *scheduler) retryAfterReboot(t *task, now time.Time) {
	sc.recordJobFailure(t.job, t.worker)
	if !t.runningSince.IsZero() && now.Sub(t.runningSince) >= provenRunTime {
		t.reboots = 0
	}
	t.reboots++
	var delay time.Duration
	if t.job.health.Poison() || t.reboots >= maxQuickReboots {
		delay = maxFailureBackoff
	}
	sc.retryTask(t, delay, now)
}

func (sc *scheduler) closedReason(worker string) string {
	for _, r := range sc.racks {
		if w, ok := r.workers[worker]; ok {
			return w.view.Closed
		}
	}
	return ""
}

// discountWorker removes the failures on a quarantined worker from the records
// of jobs and tasks.
func (sc *scheduler) discountWorker(name string, now time.Time) {
	for _, j := range sc.jobs {
		if j.health.HasNoFailures() {
			continue
		}
		j.health.ForgetWorker(name)
		for _, t := range j.tasks {
			n := len(t.failedWorkers)
			t.failedWorkers = slices.DeleteFunc(t.failedWorkers, func(w string) bool { return w == name })
			if len(t.failedWorkers) < n && t.state == taskWaiting {
				t.notBefore = now.Add(retryDelay(t.retries))
			}
		}
		sc.updateQueue(j, now)
	}
}

// recordLongRuns counts jobs with a task that has run for provenRunTime as able
// to run.
func (sc *scheduler) recordLongRuns(now time.Time) {
	for _, j := range sc.jobs {
		if j.health.HasRun() {
			continue
		}
		for _, t := range j.tasks {
			if t.state == taskRunning && now.Sub(t.runningSince) >= provenRunTime {
				j.health.RecordSuccess()
				sc.updateQueue(j, now)
				break
			}
		}
	}
}

// poisonJobs lists the jobs that fail on every worker.
func (sc *scheduler) poisonJobs() []string {
	var out []string
	for id, j := range sc.jobs {
		if j.health.Poison() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// avoidedWorkers lists the workers that a task must not be placed on.
func (t *task) avoidedWorkers() []string {
	if t.job.health.HasNoFailures() {
		return nil
	}
	return append(t.job.health.AvoidedWorkers(), t.failedWorkers...)
}
