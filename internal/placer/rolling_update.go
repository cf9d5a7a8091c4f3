package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
)

// revise applies a new revision of a job's workload. Tasks beyond the new count
// are stopped; replaceOutdatedTasks replaces tasks of earlier revisions.
func (sc *scheduler) revise(j *job, e roles.JobEntry, now time.Time) {
	sc.p.o.Events.Log(events.JobRevised, "job", e.ID, "team", e.Team, "revision", e.Revision)
	sc.queue.Remove(e.ID)
	if sc.nomination.job == j {
		sc.cancelNominations()
	}
	sc.applyEntry(j, e, now)
	for _, t := range j.tasks[j.taskCount():] {
		sc.removeTask(t)
	}
	j.tasks = j.tasks[:j.taskCount()]
	for _, t := range j.tasks {
		t.raisedSize = cluster.Resources{}
	}
	j.preemptAfter = time.Time{}
	sc.checkSchedulable(j, now)
	sc.updateQueue(j, now)
}

// removeTask terminates a task's attempts and drops their placements. An attempt
// whose start is still in flight is terminated once it is reported.
func (sc *scheduler) removeTask(t *task) {
	for _, pm := range sc.placements {
		if pm.task == t && !pm.finished {
			sc.finishPlacement(pm)
		}
	}
	sc.uncountPlaced(t)
	hm := t.job.home
	if t.live() {
		sc.terminateAttempt(t.rack, hm, t.ref(), false)
		sc.terminateAttempt(t.rack, hm, t.ref(), true)
	}
	for _, r := range t.deadAttempts {
		sc.terminateAttempt(r.rack, hm, r.ref, true)
	}
}

// replaceOutdatedTasks replaces the tasks of services that run under an earlier
// revision. A task is stopped only within the job's disruption budget, so the
// next one waits until the replacement of this one runs. If the new revision is
// unschedulable, no task is stopped.
func (sc *scheduler) replaceOutdatedTasks(now time.Time) {
	for _, j := range sc.jobs {
		if !j.isService() || j.unschedulable != "" {
			continue
		}
		for _, t := range j.tasks {
			if t.outdated() && j.allowsDisruption(now) {
				sc.stopTask(t, true)
			}
		}
	}
}

// outdated reports whether a running task is known to run under an earlier
// revision and is not being stopped.
func (t *task) outdated() bool {
	return t.state == taskRunning && !t.stopping && t.revision > 0 && t.revision < t.job.entry.Revision
}

// setRevision sets the revision of the next attempt. A checkpoint of another
// revision is not resumed from.
func (t *task) setRevision(revision uint64) {
	if t.revision != revision {
		t.checkpoint = ""
	}
	t.revision = revision
}
