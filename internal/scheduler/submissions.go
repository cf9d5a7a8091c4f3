package scheduler

import (
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

func msDuration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (c *Core) reply(reply func(Reply), r Reply) {
	c.emit(SendReply{Reply: reply, Answer: r})
}

// configVersion returns the version of this owner's configuration; 0 before the first one.
func (c *Core) configVersion() uint64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// Submit accepts a submission and replies once it is stored. Submitting an ID
// again is accepted without effect. A new submission is refused if the oldest
// pending write has waited longer than maxStoreDelay, storeDelay being that wait,
// or if it could not begin early enough to be of use.
func (c *Core) Submit(sub *workload.Submission, storeDelay time.Duration, reply func(Reply)) {
	if c.replyToRepeat(sub, reply) {
		return
	}
	if r, refused := c.checkAcceptable(sub, storeDelay); refused {
		c.refuse(sub, r, reply)
		return
	}
	if c.passOn(sub, reply) {
		return
	}
	if sub.Transfer != nil {
		sub.Transfer.Epoch = c.epoch
	}
	if q, ok := c.queueOf(sub); ok {
		addAddress(sub, q)
	}
	c.tenants.arrived(sub)
	accepted := recordOf(keyAccepted, sub.ID, sub)
	j := newJob(sub, c.now)
	j.recordBytes = recordBytes(accepted)
	j.firstArrival = c.arrivals.First(sub.ID, c.now)
	c.assignQueue(j)
	if r, refused := c.checkSize(j); refused {
		c.refuse(sub, r, reply)
		return
	}
	if r, refused := c.checkBacklog(j); refused {
		c.refuse(sub, r, reply)
		return
	}
	j.waiters = []func(Reply){reply}
	c.accept(j, accepted)
}

// replyToRepeat replies to a submission under an ID that is known here. It reports false if
// the ID is not, or comes back with a later handover.
func (c *Core) replyToRepeat(sub *workload.Submission, reply func(Reply)) bool {
	if c.taken(sub.ID, identityOf(sub)) {
		c.refuse(sub, idTaken(), reply)
		return true
	}
	if _, ended := c.finalStates[sub.ID]; ended {
		c.reply(reply, Reply{})
		return true
	}
	if f, elsewhere := c.forwarded(sub.ID); elsewhere && f.Number > transferNumber(sub) {
		if c.forwards[sub.ID].Pending {
			c.replyForwarded(sub.ID, reply)
		} else {
			c.reply(reply, Reply{})
		}
		return true
	}
	j := c.jobs[sub.ID]
	switch {
	case j == nil:
		return false
	case j.stored:
		c.reply(reply, Reply{})
	default:
		j.waiters = append(j.waiters, reply)
	}
	return true
}

// checkSize decides whether a submission is refused since the log, or this owner's memory, has
// no room for it.
func (c *Core) checkSize(j *job) (Reply, bool) {
	if most := c.bounds.MaxRecordBytes; most > 0 && j.recordBytes > most {
		return tooLarge(fmt.Sprintf("a record of %d bytes, at most %d", j.recordBytes, most)), true
	}
	return c.checkMemory(j)
}

// accept stores a new submission under its record, and queues its steps. They start once it
// is stored.
func (c *Core) accept(j *job, accepted partition.Record) {
	c.memory.accepted(j)
	c.tenants.accepted(j)
	id := j.sub.ID
	c.jobs[id] = j
	records := []partition.Record{accepted}
	if _, back := c.forwards[id]; back {
		// It was passed on from here, and has come back.
		delete(c.forwards, id)
		records = append(records, tombstone(keyForward, id))
	}
	c.writeOr(records, func() {
		if !j.withdrawn {
			c.submissionStored(j)
		}
	}, func(err error) { c.withdraw(j, tooLarge(err.Error())) })
	j.acceptWriteID = c.lastWriteID
	c.admit(j)
}

// UnstoredWrites returns the IDs of the writes that accept submissions and are
// not in the log.
func (c *Core) UnstoredWrites() []uint64 {
	var out []uint64
	for _, j := range c.jobs {
		if !j.stored && j.ending == "" {
			out = append(out, j.acceptWriteID)
		}
	}
	return out
}

// WritesWithdrawn refuses the submissions whose writes were withdrawn, since the
// log has not stored anything for storeDelay. They never run.
func (c *Core) WritesWithdrawn(writeIDs []uint64, storeDelay time.Duration) {
	c.writesWithdrawn(writeIDs, storeUnavailable(storeDelay))
}

// writesWithdrawn refuses the submissions whose writes were withdrawn with the given reply.
func (c *Core) writesWithdrawn(writeIDs []uint64, r Reply) {
	withdrawn := make(map[uint64]bool, len(writeIDs))
	for _, id := range writeIDs {
		withdrawn[id] = true
	}
	c.reattachCallbacks(withdrawn)
	for _, j := range c.jobs {
		if j.stored || !withdrawn[j.acceptWriteID] {
			continue
		}
		c.withdraw(j, r)
	}
}

// tooLarge returns the reply to a submission that the log cannot hold.
func tooLarge(detail string) Reply {
	return Reply{Outcome: OutcomeInvalid, Reason: "submission_too_large", Detail: detail}
}

// withdraw refuses a submission that is certainly not in the log. It never runs.
func (c *Core) withdraw(j *job, r Reply) {
	if j.withdrawn {
		return
	}
	// The final state keeps the steps from being placed.
	j.withdrawn, j.ending = true, workload.StatusCancelled
	c.withdrawPlans(j)
	if c.jobs[j.sub.ID] == j {
		delete(c.jobs, j.sub.ID)
	}
	for _, reply := range j.waiters {
		c.refuse(j.sub, r, reply)
	}
	j.waiters = nil
}

// reattachCallbacks lets callbacks that wait for a withdrawn write run once the
// last write before it is in the log.
func (c *Core) reattachCallbacks(withdrawn map[uint64]bool) {
	for i := range c.onStored {
		for withdrawn[c.onStored[i].writeID] {
			c.onStored[i].writeID--
		}
	}
}

func (c *Core) refuse(sub *workload.Submission, r Reply, reply func(Reply)) {
	if c.config != nil {
		r.ConfigVersion = c.rulingOn(sub).version
	}
	c.metric.submissionRefused(r.Reason)
	c.tenants.refused(sub.Tenant)
	c.log.Log(events.SubmissionRefused, "id", sub.ID, "queue", sub.Queue, "reason", r.Reason, "retryAfterMS", r.RetryAfterMS, "jobs", len(c.jobs),
		"version", c.configVersion(), "calledVersion", sub.ConfigVersion)
	c.reply(reply, r)
}

// submissionStored runs once a submission is in the log.
func (c *Core) submissionStored(j *job) {
	j.stored = true
	c.metric.accepted.Inc()
	c.metric.storeTime.Update(c.now.Sub(j.accepted).Seconds())
	c.log.Log(events.SubmissionAccepted, "id", j.sub.ID, "queue", j.sub.Queue, "steps", len(j.sub.Steps), "took", c.now.Sub(j.accepted).Milliseconds())
	for _, reply := range j.waiters {
		c.reply(reply, Reply{})
	}
	j.waiters = nil
	c.wakeJob(j)
}

// assignQueue sets a job's queue and the statistics of that queue's run times.
func (c *Core) assignQueue(j *job) {
	key := queueKey(j.sub)
	if c.runTimes[key] == nil {
		c.runTimes[key] = &runTimes{}
	}
	j.runs = c.runTimes[key]
	if c.config != nil {
		c.setQueue(j)
		c.tenants.setCriticalPath(j)
		c.noteRoute(j)
	}
}

// admit queues the steps of a job that are ready, and schedules the occurrences
// that are not due. A job that stays after all is admitted again.
func (c *Core) admit(j *job) {
	c.assignQueue(j)
	for _, o := range j.built() {
		if o.due {
			c.activate(o)
		}
	}
	c.schedule(j)
	c.completeIfDone(j)
}

// enqueue queues a step if it is ready and has tasks to place.
func (c *Core) enqueue(s *step) {
	if s.queued {
		if s.waitingSince.IsZero() {
			s.waitingSince = c.now
		}
		c.wake(s)
		c.placementNeeded = true
		return
	}
	if s.done == len(s.tasks) || s.job().ending != "" || !s.ready() {
		return
	}
	if s.readyAt.IsZero() {
		s.readyAt = c.now
	}
	if s.waitingSince.IsZero() {
		s.waitingSince = c.now
	}
	s.queued = true
	s.entry = queueEntry{order: c.placementOrderOf(s), delayed: s.entry.delayed, capWaiting: s.entry.capWaiting}
	s.entry.position.Add(wakeNow)
	c.queued = append(c.queued, s)
	c.index.Insert(s)
	c.backlog.recent = append(c.backlog.recent, s)
	c.placementNeeded = true
}

// Status replies with a submission's state.
func (c *Core) Status(id string, reply func(Reply)) {
	if f, ok := c.finalStates[id]; ok {
		c.reply(reply, Reply{Status: f.Status})
		return
	}
	j := c.jobs[id]
	if j == nil {
		c.reply(reply, c.elsewhere(id))
		return
	}
	c.reply(reply, Reply{Status: j.status()})
}

// elsewhere returns the reply to a call about a submission that this partition does not
// hold.
func (c *Core) elsewhere(id string) Reply {
	if r, ok := c.forwarded(id); ok {
		return r
	}
	return Reply{Outcome: OutcomeNotFound}
}

// status returns the state of a submission that has not ended.
func (j *job) status() workload.Status {
	if j.started {
		return workload.StatusRunning
	}
	return workload.StatusQueued
}

// Cancel cancels a submission and replies once that is stored.
func (c *Core) Cancel(id string, reply func(Reply)) {
	if _, ok := c.finalStates[id]; ok {
		c.reply(reply, Reply{})
		return
	}
	j := c.jobs[id]
	if j == nil {
		c.reply(reply, c.elsewhere(id))
		return
	}
	if j.ending == "" {
		c.log.Log(events.SubmissionCancelled, "id", id, "queue", j.sub.Queue, "age", c.now.Sub(j.accepted).Milliseconds())
		c.finishJob(j, workload.StatusCancelled)
	}
	c.afterStored(func() { c.reply(reply, Reply{}) })
}

// Pending replies with the number of submissions of the queue with a name and an address that
// have not started, not counting those with a scheduled start.
func (c *Core) Pending(queue string, address workload.QueueAddress, reply func(Reply)) {
	n := 0
	for _, j := range c.jobs {
		if inQueue(j.sub, queue, address) && j.stored && !j.started && !j.sub.Timed() && j.ending == "" {
			n++
		}
	}
	for _, d := range c.departures {
		if sub := &d.record.Submission; inQueue(sub, queue, address) && !d.record.Started && !sub.Timed() {
			n++
		}
	}
	c.reply(reply, Reply{Pending: n})
}

// completeIfDone completes a job whose tasks are all done.
func (c *Core) completeIfDone(j *job) {
	if j.open() == 0 && j.ending == "" {
		c.finishJob(j, workload.StatusCompleted)
	}
}

// finishJob stores a job's final state, which callers see once it is stored,
// and stops its running tasks.
func (c *Core) finishJob(j *job, status workload.Status) {
	j.ending = status
	c.withdrawPlans(j)
	f := workload.FinalState{Status: status, Ended: c.wall, Transferred: j.sub.Transfer != nil, Tenant: j.sub.Tenant, Address: j.sub.Address}
	id := j.sub.ID
	records := []partition.Record{recordOf(keyFinal, id, f), tombstone(keyAccepted, id)}
	c.write(append(records, j.progressTombstones(0)...), func() {
		delete(c.jobs, id)
		delete(c.rejectedProgress, j)
		c.finalStates[id] = f
		c.finalOrder = append(c.finalOrder, id)
		c.metric.submissionEnded(status, c.now.Sub(j.accepted))
		c.log.Log(events.SubmissionEnded, "id", id, "queue", j.sub.Queue, "status", string(status), "age", c.now.Sub(j.accepted).Milliseconds())
	})
	c.stopJob(j)
}

// stopJob stops the attempts of all steps of a job.
func (c *Core) stopJob(j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			c.stopStep(s)
		}
	}
}

// stopStep stops all attempts of a step, but not those of gang members that are
// done.
func (c *Core) stopStep(s *step) {
	for i := range s.tasks {
		if t := &s.tasks[i]; !(t.done && s.spec.Gang) {
			c.stopRuns(t)
		}
	}
}

// expireFinalStates drops the final states whose retention is over.
func (c *Core) expireFinalStates() {
	kept := c.bounds.StatusRetention.Milliseconds()
	for len(c.finalOrder) > 0 {
		id := c.finalOrder[0]
		f, ok := c.finalStates[id]
		if ok && c.wall-f.Ended < kept {
			return
		}
		c.finalOrder = c.finalOrder[1:]
		if ok && !c.mayDropFinal(id, f) {
			c.unconfirmedFinals = append(c.unconfirmedFinals, id)
			continue
		}
		c.dropFinal(id)
	}
}

func (c *Core) dropFinal(id string) {
	delete(c.finalStates, id)
	delete(c.handoverConfirmed, id)
	c.write([]partition.Record{tombstone(keyFinal, id)}, nil)
}
