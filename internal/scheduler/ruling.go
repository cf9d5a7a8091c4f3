package scheduler

import (
	"fmt"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/tenant"
	"github.com/currantwinch/currantwinch/workload"
)

// A submission is decided by the newer of two versions of the configuration: that of the daemon
// that was called, as of the call's arrival, and that of this owner. The submission brings what
// the former says about it, so that an owner that is behind needs no other part of that version.

// reasonGangOverCap: a gang can never run whole under its tenant's cap.
const reasonGangOverCap = "gang_over_cap"

// ruling is what the version that decides a submission says about it.
type ruling struct {
	version uint64
	// queue is the queue at the submission's address; nil if the version has none.
	queue *routing.Queue
	// cap bounds what the submission's tenant may have running; nil if the version sets no
	// bound, or if it is not known.
	cap *workload.Resources
}

// rulingOn returns the ruling on a submission. The owner must have a configuration.
func (c *Core) rulingOn(sub *workload.Submission) ruling {
	r := ruling{version: c.config.Version, queue: c.queueFor(sub)}
	if c.isOutdatedFor(sub) {
		r.version, r.cap = sub.ConfigVersion, sub.TenantCap
		return r
	}
	if limit, ok := c.tenants.ledger.Limit(sub.Tenant); ok {
		r.cap = &limit
	}
	return r
}

// queueFor returns the queue of a submission in the version that decides; nil if that has none.
func (c *Core) queueFor(sub *workload.Submission) *routing.Queue {
	if c.isOutdatedFor(sub) {
		q := &routing.Queue{Name: sub.Queue, Service: sub.Service}
		q.Apply(*sub.Settings)
		return q
	}
	q, _ := c.queueOf(sub)
	return q
}

// isOutdatedFor reports whether the daemon at which a submission arrived had a later version of
// the configuration than this owner has.
func (c *Core) isOutdatedFor(sub *workload.Submission) bool {
	return sub.ConfigVersion > c.config.Version && sub.Settings != nil
}

// mostAtOnce returns how many of the tasks of a step can ever run at the same time.
func (r ruling) mostAtOnce(st *workload.Step) int {
	if r.cap == nil {
		return st.Count
	}
	return tenant.MostUnder(*r.cap, st.Reserved(), st.Count)
}

// refuseGang refuses a submission with a gang that can never run whole under its tenant's cap.
func (r ruling) refuseGang(sub *workload.Submission) (Reply, bool) {
	for i := range sub.Steps {
		st := &sub.Steps[i]
		if most := r.mostAtOnce(st); st.Gang && most < st.Count {
			return Reply{
				Outcome: OutcomeInvalid, Reason: reasonGangOverCap,
				Detail: fmt.Sprintf("steps[%d] has %d members that run at once, at most %d do under the tenant's cap of %d millicores, %d MB and %d GPUs (0: no bound)",
					i, st.Count, most, r.cap.CPU, r.cap.MemoryMB, r.cap.GPU),
			}, true
		}
	}
	return Reply{}, false
}

// noteOutdated logs that this owner decides by the version of the daemon that was called, once for
// each such version.
func (c *Core) noteOutdated(r ruling) {
	if r.version <= c.config.Version || r.version == c.outdatedLogged {
		return
	}
	c.outdatedLogged = r.version
	c.log.Log(events.OwnerOutdated, "epoch", c.epoch, "version", c.config.Version, "calledVersion", r.version)
}

// Outdated reports whether a submission was refused by a version of the configuration that is older
// than that of the daemon that was called, or may be. An owner of an earlier release does that.
func (r Reply) Outdated(calledVersion uint64) bool {
	if r.Outcome != OutcomeNotFound && r.Reason != reasonGangOverCap {
		return false
	}
	return r.ConfigVersion < calledVersion
}
