package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/roles"
)

// unmatchedGrace is how long an attempt of a job missing from the view is left
// running. The view may lag behind the one under which the attempt was placed.
const unmatchedGrace = 10 * time.Second

// unmatchedAttempt is a reported attempt of a job that is not known to be open.
type unmatchedAttempt struct {
	rack      cluster.Share
	status    taskStatus
	firstSeen time.Time
}

func keyShare(ref TaskRef) cluster.Share { return cluster.KeyShare(ref.JobID) }

// handleUnmatched handles an attempt of a job that is not open. It is stopped
// if the job is known to have ended, and remembered otherwise.
func (sc *scheduler) handleUnmatched(r *rackSnapshot, s taskStatus, now time.Time) {
	hm, ok := sc.homes[keyShare(s.Task)]
	if !ok {
		return
	}
	if e, known := sc.p.o.State.View().Job(s.Task.JobID); known && e.Phase != roles.JobAccepted {
		delete(sc.unmatched, s.Task)
		sc.terminateUnwanted(r, hm, s)
		return
	}
	firstSeen := now
	if old, ok := sc.unmatched[s.Task]; ok {
		firstSeen = old.firstSeen
	}
	sc.unmatched[s.Task] = unmatchedAttempt{rack: r.share, status: s, firstSeen: firstSeen}
}

// recheckUnmatched hands unmatched attempts to their jobs once these are known,
// and terminates them after unmatchedGrace.
func (sc *scheduler) recheckUnmatched(now time.Time) {
	if len(sc.unmatched) == 0 || now.Sub(sc.unmatchedCheckedAt) < housekeepingInterval {
		return
	}
	sc.unmatchedCheckedAt = now
	for ref, s := range sc.unmatched {
		r, ok := sc.racks[s.rack]
		hm, owned := sc.homes[keyShare(ref)]
		switch {
		case !ok || !owned:
			delete(sc.unmatched, ref)
		case sc.jobs[ref.JobID] != nil:
			delete(sc.unmatched, ref)
			sc.applyStatus(r, s.status, now)
		case now.Sub(s.firstSeen) >= unmatchedGrace:
			delete(sc.unmatched, ref)
			sc.terminateUnwanted(r, hm, s.status)
		default:
			sc.handleUnmatched(r, s.status, now)
		}
	}
}
