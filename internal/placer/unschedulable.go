package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/events"
)

// unschedulableGrace is how long a job must stay unschedulable before it is
// ended. The reason is logged and shown at once.
const unschedulableGrace = 5 * time.Second

// checkSchedulable determines whether a job can run at all. Unschedulable
// services wait until a worker meets their constraints; other jobs are ended
// after unschedulableGrace.
func (sc *scheduler) checkSchedulable(j *job, now time.Time) {
	reason := sc.unschedulableReason(j)
	if reason == j.unschedulable {
		return
	}
	j.unschedulable, j.unschedulableSince = reason, now
	if reason != "" {
		sc.p.o.Events.Log(events.JobUnschedulable, "job", j.entry.ID, "team", j.entry.Team, "constraint", reason)
	}
	sc.updateQueue(j, now)
}

// recheckUnschedulable checks unschedulable and never-placed jobs again and
// ends jobs that have been unschedulable for unschedulableGrace.
func (sc *scheduler) recheckUnschedulable(now time.Time) {
	if now.Sub(sc.unschedulableCheckedAt) < housekeepingInterval {
		return
	}
	sc.unschedulableCheckedAt = now
	for _, j := range sc.jobs {
		if j.unschedulable != "" || j.startable && !j.everPlaced {
			sc.checkSchedulable(j, now)
		}
		if j.unschedulable == "" || j.finishing || j.entry.Workload.Class == document.ClassService {
			continue
		}
		if now.Sub(j.unschedulableSince) >= unschedulableGrace {
			sc.finishJob(j, 0, len(j.tasks), "can never run: "+j.unschedulable)
		}
	}
}

// unschedulableOverLimit is the reason of a job whose smallest unit, one task
// or a whole gang, exceeds its team's limit.
const unschedulableOverLimit = "one task is over the team's limit"

func (sc *scheduler) unschedulableReason(j *job) string {
	need := j.entry.Workload.Resources
	count := 1
	if j.entry.Workload.Class == document.ClassGang {
		count = len(j.tasks)
	}
	if !sc.ledger.FitsLimit(j.entry.Team, multiply(need, count)) {
		return unschedulableOverLimit
	}
	if sc.index.Len() == 0 || !sc.allRacksKnown() {
		return ""
	}
	return sc.pipe.Unschedulable(&j.demand, count)
}

// allRacksKnown reports whether every rack has been synced. Until then workers
// may be missing from the index.
func (sc *scheduler) allRacksKnown() bool {
	for _, r := range sc.racks {
		if !r.term.known() {
			return false
		}
	}
	return true
}

func multiply(r cluster.Resources, n int) cluster.Resources {
	k := int64(n)
	return cluster.Resources{CPU: r.CPU * k, Memory: r.Memory * k, Accelerators: r.Accelerators * k}
}
