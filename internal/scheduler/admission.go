package scheduler

import (
	"hash/fnv"
	"time"

	"github.com/currantwinch/currantwinch/admission"
	"github.com/currantwinch/currantwinch/estimate"
	"github.com/currantwinch/currantwinch/fairqueue"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	// uselessFactor: a submission that is completed later than this many times
	// its target counts for nothing, so that accepting it would only delay
	// others.
	uselessFactor = 3
	// minDrainFraction is the least share of the service's CPU that is assumed
	// to be in use when the drain of the queue is estimated. Right after a
	// takeover nothing runs yet.
	minDrainFraction = 0.5
	// maxSendWait is how long accepted work may wait for orders to be sent while
	// there is capacity for it. Callers see such a wait as work that was
	// accepted and forgotten.
	maxSendWait = 5 * time.Second
	// heldUpInterval is how long starts count as held up after they had to wait for the sender.
	heldUpInterval = time.Second
	// maxHeldGap is the longest time between two moments at which starts wait, if they
	// waited in between. It is four ticks, at which a placement pass runs at the latest.
	maxHeldGap = 4 * tickInterval
	// lowerPriorityWeight is the weight, in that wait, of the tasks of queues with a lower
	// priority than the new submission's. They start after it, but a steady stream of new
	// submissions must not starve them.
	lowerPriorityWeight = 0.5
	// minQueueRetryAfter and maxQueueRetryAfter bound the retry delay that
	// callers get while the queue is too long.
	minQueueRetryAfter = time.Second
	maxQueueRetryAfter = 10 * time.Second
	// retrySpread is the largest part by which a retry delay is lengthened, so
	// that callers that were refused together do not return together.
	retrySpread = 0.5
)

// cores converts thousandths of a core.
func cores(cpu int64) float64 { return float64(cpu) / 1000 }

// admissionOptions bound waits by nothing but the limits that are given.
var admissionOptions = admission.Options{
	MaxWaitFraction: 1, MaxStartFraction: 1, MaxWait: time.Hour, MinRetryAfter: minQueueRetryAfter, MaxRetryAfter: maxQueueRetryAfter,
}

// decideByCores decides whether a submission can begin early enough to be of use
// behind the work that is placed before it.
func (c *Core) decideByCores(j *job) admission.Decision {
	b := c.backlogBefore(j)
	k := c.drainingCores(j.sub.Service)
	if b.tasks == 0 || k.usable == 0 {
		return admission.Decision{Admit: true}
	}
	draining := k.draining
	if c.tenants.inExcess(j) {
		draining = c.tenants.excessCores(k.free)
	}
	request := admission.Request{
		Prediction: estimate.Prediction{P50: j.expectedCriticalPath(), Class: estimate.Long},
		Deadline:   j.accepted.Add(uselessFactor * j.targetTime().Sub(j.accepted)),
	}
	state := admission.State{Load: fairqueue.Load{Queued: b.tasks, Backlog: b.cpuTime, Share: 1}, Slots: draining}
	return admission.Decide(request, state, admissionOptions, c.now)
}

// decideByOrders decides whether a submission's tasks can be ordered soon behind
// what was accepted before. Nothing is refused for a rate that was not measured: a new owner
// has ordered little because few servers have answered it.
func (c *Core) decideByOrders(j *job) admission.Decision {
	perSecond, measured := c.starts.PerSecond(c.now)
	if !c.sendingHeldUp() || !measured {
		return admission.Decision{Admit: true}
	}
	open := 0.0
	for priority, tasks := range c.openTasks {
		weight := 1.0
		if priority >= excessPriority && !c.tenants.inExcess(j) {
			continue
		}
		if priority > c.openPriority(j) {
			weight = lowerPriorityWeight
		}
		open += weight * float64(tasks)
	}
	options := admissionOptions
	options.MaxWait = maxSendWait
	backlog := time.Duration(open / perSecond * float64(time.Second))
	state := admission.State{Load: fairqueue.Load{Queued: int(open), Backlog: backlog, Share: 1}, Slots: 1}
	return admission.Decide(admission.Request{}, state, options, c.now)
}

// sendingHeldUp reports whether starts had to wait for the sender within heldUpInterval.
func (c *Core) sendingHeldUp() bool { return c.now.Sub(c.startsHeldAt) <= heldUpInterval }

// holdStarts records that starts wait for the sender.
func (c *Core) holdStarts() {
	if !c.sendingHeldUp() {
		c.countOpenTasks()
	}
	c.startsHeld, c.startsHeldAt = true, c.now
	c.starts.Waiting(c.now)
}

// countOpenTasks counts, by priority, the tasks of accepted submissions that are
// due and not ordered, those of later steps included.
func (c *Core) countOpenTasks() {
	clear(c.openTasks)
	for _, j := range c.jobs {
		if j.ending != "" || j.longRunning() || c.tenants.atCap(j) {
			continue
		}
		for _, o := range j.occurrences {
			if !o.due {
				continue
			}
			for _, st := range o.steps {
				c.openTasks[c.openPriority(j)] += st.unplacedTasks()
			}
		}
	}
}

// checkAcceptable decides whether a submission is refused whatever else this owner holds. A
// refused submission never runs, and its caller is told when to retry, if that can help.
func (c *Core) checkAcceptable(sub *workload.Submission, storeDelay time.Duration) (Reply, bool) {
	if c.config == nil {
		return Reply{Outcome: OutcomeRefused, Reason: "no_configuration", RetryAfterMS: 1000}, true
	}
	r := c.rulingOn(sub)
	c.noteOutdated(r)
	if r.queue == nil {
		return Reply{Outcome: OutcomeNotFound, Reason: "no_queue"}, true
	}
	if storeDelay > maxStoreDelay {
		return storeUnavailable(storeDelay), true
	}
	return r.refuseGang(sub)
}

// storeUnavailable returns the reply to a submission while nothing can be stored.
func storeUnavailable(storeDelay time.Duration) Reply {
	after := min(max(storeDelay, minStoreRetryAfter), maxStoreRetryAfter)
	return Reply{Outcome: OutcomeUnavailable, Reason: "store_down", RetryAfterMS: after.Milliseconds()}
}

// checkBacklog decides whether a submission is refused because it could not begin
// early enough to be of use.
func (c *Core) checkBacklog(j *job) (Reply, bool) {
	if j.sub.Timed() || j.longRunning() {
		return Reply{}, false
	}
	d := c.decideByOrders(j)
	if d.Admit {
		if d = c.decideByCores(j); !d.Admit {
			d.Admit = c.serversFree(j)
		}
	}
	if d.Admit {
		d = c.decideByCap(j)
	}
	if d.Admit {
		c.openTasks[c.openPriority(j)] += j.taskCount()
		return Reply{}, false
	}
	c.arrivals.Refused(j.sub.ID, c.now)
	after := spread(d.RetryAfter, j.sub.ID)
	return Reply{Outcome: OutcomeRefused, Reason: string(d.Reason), RetryAfterMS: after.Milliseconds()}, true
}

// spread lengthens a delay by a part that depends on the ID.
func spread(d time.Duration, id string) time.Duration {
	h := fnv.New32a()
	// Writing to a hash cannot fail.
	_, _ = h.Write([]byte(id))
	const parts = 1000
	return d + time.Duration(retrySpread*float64(h.Sum32()%parts)/parts*float64(d))
}
