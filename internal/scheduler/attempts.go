package scheduler

import (
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	// minResendDelay is the delay before an unanswered order is sent again. Each
	// further copy waits twice as long, up to maxResendDelay.
	minResendDelay = 50 * time.Millisecond
	maxResendDelay = 800 * time.Millisecond
	// maxStartWait is how long a start that needs no ticket may wait to be sent.
	// Its lease and what is known of the server are out of date after it.
	maxStartWait = 2 * time.Second
	// rejectionBackoff excludes a server from placement, and delays the task's
	// next placement, after a refused start.
	rejectionBackoff = 300 * time.Millisecond
	// failureBackoff delays a task's next placement after a failed run.
	failureBackoff = 100 * time.Millisecond
)

// start places a task on a server and sends the start order.
func (c *Core) start(t *task, s *server, run int, ticket string) {
	a := &attempt{task: t, run: run, server: s, sentAt: c.now, need: t.step.spec.Reserved(), ticket: ticket}
	t.run = max(t.run, run)
	if t.attempt == nil {
		t.attempt = a
	} else {
		t.copy = a
	}
	t.step.attemptsPerServer[s]++
	s.reserve(a)
	t.step.job().stuckSince = time.Time{}
	c.observeObjective(t.step.job())
	c.endLocalityWait(t.step, s)
	c.noteGroupRack(t.step, s)
	if c.remote(t.step, s) {
		c.metric.remoteStarts.Inc()
	}
	c.sendStart(a)
	c.startRoom--
	c.placement.starts++
	c.metric.startsSent.Inc()
	c.log.Log(events.TaskPlaced, "task", a.task.id().String(), "run", run, "server", s.info.ID,
		"waited", c.now.Sub(t.step.readyAt).Milliseconds(), "free", s.free.CPU, "clockAge", c.now.Sub(s.clockAt).Milliseconds(),
		"inherited", c.mayHaveEarlierRun(t, run))
}

// mayHaveEarlierRun reports whether a start under this run number is the first one of a
// task that this owner took over without having seen a run of it: an earlier owner may
// have started it.
func (c *Core) mayHaveEarlierRun(t *task, run int) bool {
	j := t.step.job()
	return j.inherited && run == j.inheritedRun(c.epoch)+1
}

// extendLease returns a lease deadline for an order, in milliseconds of the
// server's clock. It extends the leases only if they are renewable.
func (c *Core) extendLease(s *server) int64 {
	lease := c.leaseLeft()
	if !c.renewable(s) || lease <= 0 {
		return s.sentDeadlineMS
	}
	until := s.minClockMS(c.now) + lease.Milliseconds()
	s.sentDeadlineMS = max(s.sentDeadlineMS, until)
	s.leaseDeadlineMS = max(s.leaseDeadlineMS, until)
	return until
}

// lease returns the lease that the Core sends. A longer lease outlasts longer
// outages; a shorter one makes the capacity of lost runs available sooner.
func (b Bounds) lease() time.Duration { return min(b.MaxLease, maxLease) }

// maxLease covers the expiry of a lost owner's group membership, the takeover,
// one unanswered poll and the wait of another.
const maxLease = 6 * time.Second

func (c *Core) order(a *attempt) Order {
	return Order{Task: a.task.id(), Run: a.run, Epoch: c.epoch}
}

// resendDelay returns the delay before the next copy of an order, given the
// number of copies sent before.
func resendDelay(copies int) time.Duration {
	if copies == 0 {
		return 0
	}
	return min(minResendDelay<<min(copies-1, 10), maxResendDelay)
}

func (c *Core) sendStart(a *attempt) {
	o := c.order(a)
	o.LeaseDeadlineMS = c.extendLease(a.server)
	o.Spec = a.task.step.job().sub.Spec
	o.Checkpoint = a.task.checkpoint
	o.Ticket = a.ticket
	c.emit(StartTask{
		To: a.server.instance(), Order: o, Attempt: a.startResults, Delay: resendDelay(a.startResults), Expires: c.startExpiry(a),
	})
}

// startExpiry returns when a start of the attempt becomes useless: when its
// ticket is no longer valid, or when the members of a gang that have started
// stop waiting for the others.
func (c *Core) startExpiry(a *attempt) time.Time {
	expires := c.now.Add(maxStartWait)
	st := a.task.step
	if grant, ok := st.authorization.tickets[a.server.info.ID]; ok && a.ticket != "" && grant.expires.Before(expires) {
		expires = grant.expires.Add(-ticketMargin)
	}
	if st.spec.Gang && st.formationDeadline.Before(expires) {
		expires = st.formationDeadline
	}
	return expires
}

// stop sends a stop order for an attempt. Its capacity stays reserved until the
// server lists the end.
func (c *Core) stop(a *attempt) {
	if a.state == stopping {
		return
	}
	a.state = stopping
	a.answeredAt = time.Time{}
	c.tenants.stopping(a)
	c.emit(StopTask{To: a.server.instance(), Order: c.order(a)})
}

// findAttempt returns the attempt that an order refers to, or nil.
func (c *Core) findAttempt(to Instance, o Order) *attempt {
	s := c.servers[to.ID]
	if s == nil {
		return nil
	}
	return s.attempts[runKey{o.Task, o.Run}]
}

// StartCompleted handles the outcome of a start order.
func (c *Core) StartCompleted(to Instance, o Order, clock int64, err error) {
	a := c.findAttempt(to, o)
	if a == nil {
		return
	}
	a.startResults++
	current := c.serverOf(to) != nil
	if err == nil {
		if clock < a.server.clockMS {
			// The next instance may have answered, by a clock that is behind, which is not
			// taken over. By one that is ahead, updateClock counts the lease as granted.
			c.mayBeGranted(a, msDuration(o.LeaseDeadlineMS-clock))
		}
		if current {
			a.server.updateClock(clock, c.now)
		}
		c.startConfirmed(a)
		return
	}
	if verdict.Of(err) != verdict.NotRun {
		c.mayBeGranted(a, c.maxLeaseGranted)
	}
	c.metric.orderFailed(err)
	c.log.Log(events.CommandFailed, "task", o.Task.String(), "run", o.Run, "server", to.ID, "order", "start",
		"reason", string(verdict.ReasonOf(err)), "verdict", verdict.Of(err).String(), "error", err.Error())
	if a.state == stopping {
		return
	}
	if verdict.Of(err) != verdict.NotRun {
		c.startUnanswered(a)
		return
	}
	if current && verdict.ReasonOf(err) == ReasonWrongInstance && a.server.refusalProvesEnd(to) {
		c.instanceEnded(a.server)
		return
	}
	c.startRejected(a, verdict.ReasonOf(err))
}

func (c *Core) startConfirmed(a *attempt) {
	if a.state == startSent {
		a.state = running
		a.answeredAt = c.now
		c.starts.Completed()
		if a.task.step.unplacedTasks() == 0 {
			a.task.step.waitingSince = time.Time{}
		}
	}
	if j := a.task.step.job(); !j.started {
		j.started = true
		c.metric.firstStartTime.Update(c.now.Sub(j.accepted).Seconds())
	}
	c.poll(a.server)
}

// startUnanswered resends a start order, or sends a stop where the task may not
// start any more. Once the stop is confirmed, a delayed copy of the start has
// no effect. To a server that does not answer polls either, nothing is sent: it may have
// restarted, and would grant each copy its longest lease anew.
func (c *Core) startUnanswered(a *attempt) {
	s := a.server
	switch {
	case s.info.Draining || !s.listed || !s.entryCurrent() || s.overcommitted() || !c.mayStart(a.task.step):
		c.stop(a)
	case s.unresponsiveSince.IsZero():
		c.sendStart(a)
	default:
		a.resendDue = true
	}
	c.poll(s)
}

// resendStarts resends the starts that were held back while their server did not answer,
// but for those that it lists.
func (c *Core) resendStarts(s *server) {
	for _, a := range s.attempts {
		if a.resendDue && a.state == startSent {
			a.resendDue = false
			c.startUnanswered(a)
		}
	}
}

// StartNotSent handles a start order that was not sent, because it expired
// first or because the attempt was stopped.
func (c *Core) StartNotSent(to Instance, o Order) {
	a := c.findAttempt(to, o)
	if a == nil {
		return
	}
	c.log.Log(events.StartNotSent, "task", o.Task.String(), "run", o.Run, "server", to.ID, "copies", a.startResults)
	if a.startResults > 0 {
		// An earlier copy may still start the run until a stop is confirmed.
		c.stop(a)
		c.poll(a.server)
		return
	}
	c.startHadNoEffect(a.task, a.run)
	c.release(a)
}

// startRejected handles a start order that had no effect. An earlier,
// unanswered copy of it may have started the run or may still do so.
func (c *Core) startRejected(a *attempt, reason verdict.Reason) {
	s, t := a.server, a.task
	switch reason {
	case ReasonFenced:
		c.fence(s.info.ID)
		return
	case ReasonInvalidTicket:
		delete(t.step.authorization.tickets, s.info.ID)
	case ReasonUnhealthy:
		s.avoidUntil = c.now.Add(time.Second)
	default:
		s.avoidUntil = c.now.Add(rejectionBackoff)
	}
	if reason == ReasonStaleRun {
		a.state = running
		a.answeredAt = c.now
		c.poll(s)
		return
	}
	if a.startResults > 1 {
		// An earlier copy may still start the run until a stop is confirmed.
		c.stop(a)
		c.poll(s)
		return
	}
	t.retryAt = c.now.Add(failureBackoff)
	c.startHadNoEffect(t, a.run)
	c.release(a)
}

// fence ends the Core, since a later owner has sent orders to the server.
func (c *Core) fence(server string) {
	c.fenced = true
	c.log.Log(events.OwnerFenced, "server", server, "epoch", c.epoch)
}

// StopCompleted handles the outcome of a stop order.
func (c *Core) StopCompleted(to Instance, o Order, err error) {
	a := c.findAttempt(to, o)
	if a == nil {
		return
	}
	current := c.serverOf(to) != nil
	if err == nil && current {
		a.answeredAt = c.now
		c.poll(a.server)
		return
	}
	if err != nil {
		c.metric.orderFailed(err)
		c.log.Log(events.CommandFailed, "task", o.Task.String(), "run", o.Run, "server", to.ID, "order", "stop",
			"reason", string(verdict.ReasonOf(err)), "verdict", verdict.Of(err).String(), "error", err.Error())
	}
	switch reason := verdict.ReasonOf(err); {
	case reason == ReasonFenced:
		c.fence(to.ID)
	case reason == ReasonWrongInstance && current && a.server.refusalProvesEnd(to):
		c.instanceEnded(a.server)
	default:
		// A stop that an earlier instance confirmed forbids nothing to this one.
		a.stopResults++
		c.emit(StopTask{To: a.server.instance(), Order: o, Attempt: a.stopResults, Delay: resendDelay(a.stopResults)})
		c.poll(a.server)
	}
}

// release removes an attempt and queues its task again if it is not done.
func (c *Core) release(a *attempt) {
	t := a.task
	if a.server.attempts[a.key()] == a {
		a.server.release(a)
		if n := t.step.attemptsPerServer[a.server]; n > 1 {
			t.step.attemptsPerServer[a.server] = n - 1
		} else {
			delete(t.step.attemptsPerServer, a.server)
		}
		c.trialRunReleased(a)
	}
	if t.attempt == a && t.copy == nil {
		t.attempt = nil
		c.enqueue(t.step)
	}
	t.leave(a)
	c.placementNeeded = true
}

// lossReason says how it was learned that a run is over without a listed end.
type lossReason string

const (
	// lossRestarted: the server restarted under the same ID.
	lossRestarted lossReason = "server began anew"
	// lossInstanceOver: another instance answers at the server's address.
	lossInstanceOver lossReason = "the server's life is over"
	// lossNotListed: the server answered the order and does not list the run.
	lossNotListed lossReason = "not in the server's list"
	// lossLeaseExpired: the server is unresponsive and the run's lease expired.
	lossLeaseExpired lossReason = "lease lapsed"
	// lossServerLeft: the same for a server that is no longer listed.
	lossServerLeft lossReason = "lease lapsed on a server that left"
)

// markLost releases an attempt whose run is over without a listed end.
func (c *Core) markLost(a *attempt, reason lossReason) {
	c.metric.runsLost.Inc()
	c.log.Log(events.RunLost, "task", a.task.id().String(), "run", a.run, "server", a.server.info.ID, "born", a.server.startedAtMS, "why", string(reason),
		"age", a.server.lastSeenAlive(c.now).Sub(a.sentAt).Milliseconds())
	c.release(a)
	if a.task.step.spec.Gang {
		a.task.step.markRunEnded(a.run)
		c.stopGang(a.task.step)
	}
}

// stopGang stops the remaining members of an incomplete gang.
func (c *Core) stopGang(s *step) {
	if s.done < len(s.tasks) {
		c.stopStep(s)
	}
}

// markRunEnded records that a gang's run is over for all members.
func (s *step) markRunEnded(run int) { s.lastEndedRun = max(s.lastEndedRun, run) }

// hasActiveMember reports whether a member has an attempt that is not being
// stopped.
func (s *step) hasActiveMember() bool {
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil && a.state != stopping {
			return true
		}
	}
	return false
}

// handleEnd handles one end that a server listed.
func (c *Core) handleEnd(s *server, e RunEnd) {
	a := s.attempts[runKey{e.Task, e.Run}]
	if a != nil {
		if e.Kind == workload.EndDone {
			c.noteCopyDecided(a)
		}
		c.release(a)
	}
	j := c.jobs[e.Task.Submission]
	if j == nil || j.ending != "" {
		return
	}
	t := c.task(j, e.Task)
	if t == nil {
		return
	}
	j.started = true
	t.run = max(t.run, e.Run)
	t.step.markRunEnded(e.Run)
	c.runOutlived(t, e)
	if e.Checkpoint != "" && !t.done {
		c.saveCheckpoint(t, e.Checkpoint)
	}
	c.metric.runEnded(e.Kind)
	c.log.Log(events.RunEnded, "task", e.Task.String(), "run", e.Run, "server", s.info.ID, "end", e.Kind.String(), "number", e.Number)
	switch e.Kind {
	case workload.EndDone:
		if a != nil && !t.done {
			j.runs.observe(c.now.Sub(a.sentAt))
			c.observeSpeed(a)
		}
		c.taskDone(s, t)
	case workload.EndFailed:
		c.taskFailed(s, t, e.Run)
	case workload.EndLeaseExpired, workload.EndGangIncomplete, workload.EndStopped:
		if t.step.spec.Gang {
			c.stopGang(t.step)
		}
	}
}

// saveCheckpoint records a checkpoint. All members of a gang resume from the
// same one.
func (c *Core) saveCheckpoint(t *task, checkpoint string) {
	if !t.step.spec.Checkpoints {
		return
	}
	if !t.step.spec.Gang {
		t.checkpoint = checkpoint
		return
	}
	for i := range t.step.tasks {
		t.step.tasks[i].checkpoint = checkpoint
	}
}

func (c *Core) taskDone(s *server, t *task) {
	step := t.step
	s.recordSuccess()
	if step.spec.LongRunning {
		c.markDirty(step.job())
		c.enqueue(step)
		return
	}
	if step.spec.Gang {
		// The end of one member stands for all members.
		for i := range step.tasks {
			step.markDone(&step.tasks[i])
		}
	} else {
		step.markDone(t)
		c.stopRuns(t)
	}
	j := step.job()
	c.markDirty(j)
	for _, next := range step.occurrence.steps {
		c.enqueue(next)
	}
	c.completeIfDone(j)
}

func (c *Core) taskFailed(s *server, t *task, run int) {
	s.recordFailure(t.step.job().sub.ID)
	if t.failedOn == nil {
		t.failedOn = make(map[string]bool)
	}
	t.failedOn[s.info.ID] = true
	step := t.step
	if t.done && !step.spec.Gang {
		// The other run of the task ended it.
		return
	}
	counted := t
	if step.spec.Gang {
		// A failed run of a gang counts once, whichever members report it.
		counted = &step.tasks[0]
	}
	// An end that was stored and not acknowledged is listed again to the next
	// owner.
	if slices.Contains(counted.failedRuns, run) {
		return
	}
	counted.failedRuns = append(counted.failedRuns, run)
	t.retryAt = c.now.Add(failureBackoff)
	j := step.job()
	c.markDirty(j)
	if !step.spec.LongRunning && j.queue.MaxFailedRuns > 0 && len(counted.failedRuns) >= j.queue.MaxFailedRuns {
		c.finishJob(j, workload.StatusFailed)
	}
}
