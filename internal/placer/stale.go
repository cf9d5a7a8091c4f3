package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
)

const (
	// transientStaleAfter is how long a starting or stopping task may go
	// without confirmation before its rack's owner is asked for it;
	// steadyStaleAfter is the same for any other live task.
	transientStaleAfter = 5 * time.Second
	steadyStaleAfter    = 20 * LeaseDuration
	// maxRechecksPerRack bounds the attempts that one sync rechecks on one
	// rack.
	maxRechecksPerRack = 256
)

// findStaleTasks lists the live tasks that have not been confirmed for too
// long, so that the next sync asks their racks' owners for them. Owners report
// only changes; an attempt that its owner has lost track of would otherwise
// never be corrected.
func (sc *scheduler) findStaleTasks(now time.Time) {
	if now.Sub(sc.staleCheckedAt) < housekeepingInterval {
		return
	}
	sc.staleCheckedAt = now
	for _, r := range sc.racks {
		r.recheck = nil
	}
	for _, j := range sc.jobs {
		for _, t := range j.tasks {
			sc.queueRecheck(t, now)
		}
	}
}

func (sc *scheduler) queueRecheck(t *task, now time.Time) {
	if !t.stale(now) {
		return
	}
	if r, ok := sc.racks[t.rack]; ok && len(r.recheck) < maxRechecksPerRack {
		r.recheck = append(r.recheck, t.ref())
	}
}

// stale reports whether an accepted task has gone without confirmation for
// longer than its state allows.
func (t *task) stale(now time.Time) bool {
	if !t.live() || !t.accepted {
		return false
	}
	after := transientStaleAfter
	if t.state == taskRunning || t.state == taskUnknown {
		after = steadyStaleAfter
	}
	return now.Sub(t.lastConfirmed) >= after
}

// handleMissing ends an attempt that is missing from a complete rack. An
// attempt that was accepted after the sync was sent may be missing and is kept.
func (sc *scheduler) handleMissing(r *rackSnapshot, ref TaskRef, sent uint64, now time.Time) {
	j, ok := sc.jobs[ref.JobID]
	if !ok || ref.Index < 0 || ref.Index >= len(j.tasks) {
		return
	}
	t := j.tasks[ref.Index]
	if t.ref() == ref && t.rack == r.share && t.inReportsOf(sent) {
		sc.handleLost(t, taskStatus{Reason: "not_in_inventory"}, now)
	}
}

// inReportsOf reports whether a complete report that answers the sync with the given
// number must contain the task's attempt.
func (t *task) inReportsOf(sent uint64) bool { return t.live() && t.accepted && t.acceptedSeq < sent }

// missingAttempts lists the rechecked attempts that a complete rack does not
// contain.
func (r *rack) missingAttempts(refs []TaskRef, current map[cluster.Share]bool) []TaskRef {
	if !r.complete {
		return nil
	}
	var out []TaskRef
	for _, ref := range refs {
		if _, ok := r.attempts[idOf(ref)]; !ok && current[keyShare(ref)] {
			out = append(out, ref)
		}
	}
	return out
}
