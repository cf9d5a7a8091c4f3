package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/document"
)

// runPeriodicChecks records long runs, replaces outdated tasks of services, and
// stops this daemon's tasks on workers that are about to leave, after a
// checkpoint. Those tasks are placed again once they are known to have ended.
// Tasks of a service are stopped only within its disruption budget
// (MaxUnavailable).
func (sc *scheduler) runPeriodicChecks(now time.Time) {
	if now.Sub(sc.periodicChecksAt) < housekeepingInterval {
		return
	}
	sc.periodicChecksAt = now
	sc.recordLongRuns(now)
	sc.replaceOutdatedTasks(now)
	leaving := make(map[string]bool)
	for _, r := range sc.racks {
		for name, w := range r.workers {
			if w.view.Closed == closedLeaving {
				leaving[name] = true
			}
		}
	}
	if len(leaving) == 0 {
		return
	}
	for _, j := range sc.jobs {
		for _, t := range j.tasks {
			if leaving[t.worker] && t.state == taskRunning && !t.stopping && j.allowsDisruption(now) {
				sc.stopTask(t, true)
			}
		}
	}
}

// allowsDisruption reports whether one more running task of a job may be
// stopped now. Only services have a disruption budget.
func (j *job) allowsDisruption(now time.Time) bool {
	if j.entry.Workload.Class != document.ClassService {
		return true
	}
	down := 0
	for _, t := range j.tasks {
		if t.state != taskRunning || t.stopping || now.Before(t.evictionUntil) {
			down++
		}
	}
	return down < max(j.entry.Workload.MaxUnavailable, 1)
}
