package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/admission"
	"github.com/currantwinch/currantwinch/estimate"
	"github.com/currantwinch/currantwinch/fairqueue"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/workload"
)

// sharesInterval is the least time between two scans of the servers and the queue for the
// total capacity and the tenants with queued steps. Both change slowly, and the cost of a
// scan grows with their number.
const sharesInterval = 100 * time.Millisecond

// arrived marks a new submission that its tenant sends beyond its rate.
func (t *tenants) arrived(sub *workload.Submission) {
	sub.Excess = t.ledger.InExcess(sub.Tenant, t.core.now)
	if sub.Excess {
		t.core.metric.countExcess(sub.Tenant)
	}
	if sub.Excess && extend(t.excess, sub.Tenant, t.core.now) {
		t.core.log.Log(events.TenantInExcess, "tenant", sub.Tenant, "queue", sub.Queue)
	}
}

// accepted counts a submission that was accepted. One that its tenant sent within its rate
// uses up a part of that.
func (t *tenants) accepted(j *job) {
	if !j.sub.Excess {
		t.ledger.Accepted(j.sub.Tenant, t.core.now)
	}
}

// orderOf returns the parts of a job's placement order that depend on its tenant. Tasks
// that run until they are cancelled must run again soon after they were lost, and are not
// put back.
func (t *tenants) orderOf(j *job) (excess, overShare int) {
	if !t.ledger.Active() || j.sub.Tenant == "" || !t.inExcess(j) && !t.ledger.OverShare(j.sub.Tenant) || j.longRunning() {
		return 0, 0
	}
	if t.inExcess(j) {
		excess = 1
	}
	if t.ledger.OverShare(j.sub.Tenant) {
		overShare = 1
	}
	return excess, overShare
}

// inExcess reports whether a job's tenant sent it beyond its rate.
func (t *tenants) inExcess(j *job) bool { return j.sub.Excess && t.ledger.Active() }

// minExcessCores is the least number of cores that are assumed to work off excess.
const minExcessCores = 1

// excessCores returns how many cores work off excess: those that it uses now and those
// that are free. The others go to the work that is placed before it, also to what arrives
// later.
func (t *tenants) excessCores(free float64) float64 {
	return max(cores(t.ledger.ExcessUse().CPU)+free, minExcessCores)
}

// excessMemory is the part of the memory for submissions that may be in use when excess is
// accepted. The rest is for submissions within their tenants' rates.
const excessMemory = 0.75

// memoryLimit returns how much of a budget may be in use with a job.
func (t *tenants) memoryLimit(j *job, budget int64) int64 {
	if t.inExcess(j) {
		return int64(excessMemory * float64(budget))
	}
	return budget
}

// excessPriority is the priority of excess in the count of open tasks. It is numerically
// above that of all queues, so that excess comes last.
const excessPriority = 1 << 20

// openPriority returns the priority by which the tasks of a job count as open.
func (c *Core) openPriority(j *job) int {
	if c.tenants.inExcess(j) {
		return excessPriority
	}
	return j.queue.Priority
}

// scanDemand renews the capacity in service and the tenants with queued steps, at intervals
// of sharesInterval.
func (t *tenants) scanDemand() {
	if t.core.now.Sub(t.sharesAt) < sharesInterval {
		return
	}
	t.sharesAt = t.core.now
	t.total = workload.Resources{}
	for _, s := range t.core.servers {
		if s.listed {
			t.total = t.total.Plus(s.info.Capacity)
		}
	}
	clear(t.waiting)
	for _, st := range t.core.queued {
		if st.job().ending == "" && st.unplacedTasks() > 0 {
			t.waiting[st.job().sub.Tenant] = true
		}
	}
}

// refreshShares renews which tenants use more than their share.
func (t *tenants) refreshShares() {
	if !t.ledger.Active() {
		return
	}
	t.scanDemand()
	t.ledger.RefreshShares(t.total, func(name string) bool { return t.waiting[name] })
}

// atCap reports whether the cap of a job's tenant holds back starts.
func (t *tenants) atCap(j *job) bool { return t.held[j.sub.Tenant] != nil }

// backlogKey names the queue in which a job waits: that of its service, or that of its
// tenant while the tenant's cap holds back starts. Such work delays nobody else.
func (t *tenants) backlogKey(j *job) backlogKey {
	if t.atCap(j) {
		return backlogKey{j.sub.Service, j.sub.Tenant}
	}
	return backlogKey{service: j.sub.Service}
}

// decideByCap decides whether a submission can begin early enough to be of use behind the
// work of its tenant, under the tenant's cap.
func (c *Core) decideByCap(j *job) admission.Decision {
	limit := c.tenants.ledger.Cap(j.sub.Tenant)
	if !c.tenants.atCap(j) || limit.CPU == 0 {
		return admission.Decision{Admit: true}
	}
	b := c.backlogIn(c.tenants.backlogKey(j), j)
	if b.tasks == 0 {
		return admission.Decision{Admit: true}
	}
	request := admission.Request{
		Prediction: estimate.Prediction{P50: j.expectedCriticalPath(), Class: estimate.Long},
		Deadline:   j.accepted.Add(uselessFactor * j.targetTime().Sub(j.accepted)),
	}
	state := admission.State{Load: fairqueue.Load{Queued: b.tasks, Backlog: b.cpuTime, Share: 1}, Slots: cores(limit.CPU)}
	return admission.Decide(request, state, admissionOptions, c.now)
}

// setCriticalPath sets the expected time of a job, whose steps run in waves if they are
// wider than their tenant's cap. It counts as late by that, not by what the cluster could do
// without the cap.
func (t *tenants) setCriticalPath(j *job) {
	if j.sub.Tenant == "" {
		return
	}
	j.criticalPath, j.criticalPathSteps = criticalPathOf(j.sub.Steps, func(s *workload.Step) int {
		most := max(t.ledger.MostAtOnce(j.sub.Tenant, s.Reserved(), s.Count), 1)
		return (s.Count + most - 1) / most
	})
}
