package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
)

const (
	// movingDoubt is how long a task that starts or stops goes without
	// evidence before its rack's owner is asked for it, restingDoubt any
	// other live task.
	movingDoubt  = 5 * time.Second
	restingDoubt = 20 * LeaseDuration
	// maxDoubts bounds the tasks that one sync asks one rack for.
	maxDoubts = 256
)

// noteDoubts lists the live tasks that nobody has reported for too long, so
// that the next sync with their rack's owner asks for them. Reports of changes
// alone would leave a task as it is for ever if its owner had lost sight of it.
func (h *homes) noteDoubts(now time.Time) {
	if now.Sub(h.doubtedAt) < listEvery {
		return
	}
	h.doubtedAt = now
	for _, r := range h.racks {
		r.doubts = nil
	}
	for _, j := range h.jobs {
		for _, t := range j.tasks {
			h.doubt(t, now)
		}
	}
}

func (h *homes) doubt(t *task, now time.Time) {
	if !t.inDoubt(now) {
		return
	}
	if r, ok := h.racks[t.rack]; ok && len(r.doubts) < maxDoubts {
		r.doubts = append(r.doubts, t.ref())
	}
}

// inDoubt reports whether a task was accepted and has not been heard of for
// longer than its state allows.
func (t *task) inDoubt(now time.Time) bool {
	if !t.live() || !t.accepted {
		return false
	}
	after := movingDoubt
	if t.state == taskRunning || t.state == taskUnknown {
		after = restingDoubt
	}
	return now.Sub(t.evidence) >= after
}

// takeMissing ends an attempt that its rack's owner, who has read every
// worker, does not know. One that was accepted after the sync was sent may be
// missing from it.
func (h *homes) takeMissing(r *rackInfo, ref TaskRef, sent uint64, now time.Time) {
	j, ok := h.jobs[ref.JobID]
	if !ok || ref.Index < 0 || ref.Index >= len(j.tasks) {
		return
	}
	t := j.tasks[ref.Index]
	if t.ref() == ref && t.rack == r.share && t.missedBy(sent) {
		h.lost(t, taskStatus{Reason: "not_in_inventory"}, now)
	}
}

// missedBy reports whether a complete view that was asked for by the sync sent
// should have shown a task's attempt.
func (t *task) missedBy(sent uint64) bool { return t.live() && t.accepted && t.acceptedTick < sent }

// lacking lists those of the attempts asked for that a complete book lacks.
func (r *rack) lacking(doubts []TaskRef, current map[cluster.Share]bool) []TaskRef {
	if !r.complete {
		return nil
	}
	var out []TaskRef
	for _, ref := range doubts {
		if _, ok := r.attempts[idOf(ref)]; !ok && current[keyShare(ref)] {
			out = append(out, ref)
		}
	}
	return out
}
