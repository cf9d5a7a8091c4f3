package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	// pollWait is how long a server may hold a poll open until a run ends. When
	// an answer is lost, the ends on that server stay unseen for pollWait plus
	// pollSlack. Polls renew leases, so that pollWait must be well below the
	// lease.
	pollWait = time.Second
	// maxPollRetryDelay bounds the delay before an unanswered poll is sent again.
	// It must be short compared to the lease of the runs on the server.
	maxPollRetryDelay = 400 * time.Millisecond
	// maxQuickPolls is the number of unanswered polls in a row after which a server
	// without runs is polled every maxIdlePollDelay.
	maxQuickPolls    = 20
	maxIdlePollDelay = 2 * time.Second
	// evacuationLead is the time before a draining server's departure at which
	// its checkpointing tasks are stopped. It covers the stop, its grace period
	// and the poll that lists the checkpoint, each repeated once.
	evacuationLead = 1500 * time.Millisecond
	// instanceRetryDelay is the delay before an instance is polled again that may not be
	// used yet.
	instanceRetryDelay = 50 * time.Millisecond
	// leaseRenewalInterval is the longest time between polls of a server with
	// runs while its ends cannot be stored.
	leaseRenewalInterval = 200 * time.Millisecond
	// openCountTimePerJob: open tasks are counted again at the earliest this long after the
	// last time for each submission. A count takes about a hundredth of that.
	openCountTimePerJob = 25 * time.Microsecond
	// quarantineThreshold is the number of consecutive failed submissions after
	// which a server is quarantined. Where one run in twenty fails by itself,
	// so many in a row are unlikely to be chance.
	quarantineThreshold = 3
	// minQuarantine is the first quarantine of a failing server, and
	// maxQuarantine the longest.
	minQuarantine = 2 * time.Second
	maxQuarantine = 16 * time.Second
	// maxQuarantineDoublings takes minQuarantine to maxQuarantine.
	maxQuarantineDoublings = 3
)

// isEmpty reports whether nothing runs on the server and no order in flight can
// start anything: each was answered, and unanswered ones were stopped. The
// server has received the acknowledgement of all its ends.
func (s *server) isEmpty() bool {
	return s.synced && s.endsComplete && len(s.attempts) == 0 && s.unknownRuns == 0 && s.ackedEnd >= s.processedEnd
}

// poll polls a server unless a poll is in flight or none is needed.
func (c *Core) poll(s *server) { c.pollAfter(s, 0) }

func (c *Core) pollAfter(s *server, delay time.Duration) {
	if s.polling || s.isEmpty() || !s.stored {
		return
	}
	s.polling = true
	request := PollRequest{Epoch: c.epoch}
	if until := c.ackValidUntil(s); s.synced && !c.now.After(until) {
		request.AckedEnd, request.AckValidUntil = s.storedEnd, until
	}
	s.ackInFlight = max(request.AckedEnd, s.ackedEnd)
	if s.synced {
		request.LeaseDeadlineMS = c.pollLease(s)
		if s.endsComplete && s.storedEnd == s.processedEnd && (len(s.attempts) > 0 || s.unknownRuns > 0) {
			request.Wait = min(pollWait, c.trialTimeLeft(s))
		}
	}
	c.emit(PollServer{To: s.instance(), Request: request, Delay: delay})
}

// PollCompleted handles the outcome of a poll that was sent at the given time.
func (c *Core) PollCompleted(to Instance, sent time.Time, list PollResponse, err error) {
	if verdict.ReasonOf(err) == ReasonFenced {
		c.fence(to.ID)
		return
	}
	s := c.serverOf(to)
	if s == nil {
		return
	}
	s.polling = false
	if err != nil {
		c.pollFailed(s, to, err)
		return
	}
	if !s.unresponsiveSince.IsZero() {
		c.log.Log(events.ServerResponsive, "server", s.info.ID, "silent", c.now.Sub(s.unresponsiveSince).Milliseconds())
		s.unresponsiveSince = time.Time{}
		c.placementNeeded = true
	}
	if s.info.Address != to.Address {
		// The server's address has changed since; poll the new one.
		c.poll(s)
		return
	}
	if !list.AckWithheld {
		s.ackedEnd = s.ackInFlight
	}
	s.failedPolls = 0
	c.noteHeard(s)
	if !c.mayLease(s) {
		return
	}
	if !c.mayUseInstance(s, list) {
		c.pollAfter(s, instanceRetryDelay)
		return
	}
	c.endReplacedInstances(s)
	c.detectRestart(s, sent, list)
	s.over, s.answeredAddress = false, to.Address
	c.applyAnswer(s, sent, list)
	if s.storedEnd == s.processedEnd {
		c.poll(s)
	}
}

// applyAnswer applies a server's answer to a poll that was sent at the given time.
func (c *Core) applyAnswer(s *server, sent time.Time, list PollResponse) {
	s.updateClock(list.ClockMS, c.now)
	if !sent.Before(c.resumedAt) {
		s.updateAlive(list.ClockMS, sent, c.now)
	}
	s.endsComplete = !list.MoreEnds
	c.processEnds(s, list.Ended)
	c.reconcileRuns(s, sent, list.Running)
	c.settleExposures(s)
	c.reviewTrial(s)
	if !s.synced {
		s.synced = true
		// The longest lease may have been granted to an earlier owner just before.
		s.leaseDeadlineMS = max(s.leaseDeadlineMS, list.ClockMS+c.maxLeaseGranted.Milliseconds())
		c.placementNeeded = true
	}
	s.polledAt = c.now
	c.resendStarts(s)
}

func (c *Core) pollFailed(s *server, to Instance, err error) {
	if s.unresponsiveSince.IsZero() {
		s.unresponsiveSince = c.now
		c.noteSilence(s, err)
		c.log.Log(events.ServerUnresponsive, "server", s.info.ID, "attempts", len(s.attempts), "reason", string(verdict.ReasonOf(err)), "error", err.Error())
	}
	if verdict.ReasonOf(err) == ReasonWrongInstance && !s.over && s.refusalProvesEnd(to) {
		c.instanceEnded(s)
	}
	if !s.listed && c.leasesExpired(s) && c.allMayRunElsewhere(s) {
		c.removeServer(s)
		return
	}
	if s.pollDeadlineMS > 0 {
		c.mayBeGrantedByPoll(s)
	}
	s.failedPolls++
	c.pollAfter(s, c.pollRetryDelay(s))
}

// pollRetryDelay returns the delay before a server that did not answer is polled
// again. One on which nothing can depend is polled rarely: its entry may be wrong.
func (c *Core) pollRetryDelay(s *server) time.Duration {
	if s.failedPolls > maxQuickPolls && c.recovered && len(s.attempts) == 0 && s.unknownRuns == 0 {
		return maxIdlePollDelay
	}
	return min(resendDelay(s.failedPolls), maxPollRetryDelay)
}

// detectRestart begins another session if the instance that answered a poll, sent at the
// given time, is not the one that this owner knew under the ID.
func (c *Core) detectRestart(s *server, sent time.Time, list PollResponse) {
	if list.StartedAtMS == 0 || list.StartedAtMS == s.startedAtMS {
		return
	}
	if s.startedAtMS != 0 {
		c.serverRestarted(s, sent, list)
	}
	s.startedAtMS = list.StartedAtMS
}

// serverRestarted handles a server that restarted under the same ID and has answered a poll
// that was sent at the given time. Attempts on the previous instance that were confirmed
// before that and are not listed are lost. Starts in flight may still reach the new instance,
// which may also be the one that confirmed a start after the poll was sent, and after it
// listed its runs: the list of the next poll decides about such a run.
func (c *Core) serverRestarted(s *server, sent time.Time, list PollResponse) {
	c.log.Log(events.ServerRestarted, "server", s.info.ID, "born", list.StartedAtMS, "before", s.startedAtMS, "attempts", len(s.attempts),
		"processedEnd", s.processedEnd, "storedEnd", s.storedEnd)
	givenUp := c.attributeCrash(s, lossRestarted)
	listed := make(map[runKey]bool)
	for _, r := range list.Running {
		listed[runKey{r.Task, r.Run}] = true
	}
	var stops []*attempt
	for key, a := range s.attempts {
		switch {
		case a.state == startSent || listed[key]:
		case !c.mayRunElsewhere(a):
			stops = append(stops, a)
		case a.state == running && !a.answeredAt.Before(sent):
		default:
			c.markLost(a, lossRestarted)
		}
	}
	s.session = c.newSession()
	for _, a := range stops {
		c.stopOnNextInstance(a)
	}
	// A poll with a deadline on the former instance's clock may have reached this one, and
	// got the longest lease that servers grant.
	s.leaseDeadlineMS = list.ClockMS + c.maxLeaseGranted.Milliseconds()
	for key, a := range s.attempts {
		if a.state == startSent && !listed[key] && a.task.history().Suspect() {
			// The order must not reach the new instance outside a trial.
			c.stop(a)
		}
	}
	c.giveUp(givenUp)
}

// instanceEnded releases the attempts on an instance that is gone. Which one
// follows is not known yet.
func (c *Core) instanceEnded(s *server) {
	givenUp := c.attributeCrash(s, lossInstanceOver)
	for _, a := range s.attempts {
		c.markLost(a, lossInstanceOver)
	}
	c.giveUp(givenUp)
	s.session = c.newSession()
	s.over = true
	c.poll(s)
}

// processEnds handles the ends that have not been processed before.
func (c *Core) processEnds(s *server, ends []RunEnd) {
	for _, e := range ends {
		if e.Number <= s.processedEnd {
			continue
		}
		s.processedEnd = e.Number
		c.handleEnd(s, e)
	}
	if s.processedEnd > s.storedEnd {
		c.pendingAcks[s] = true
	}
	if s.failures >= quarantineThreshold {
		failures := s.failures
		c.log.Log(events.ServerQuarantined, "server", s.info.ID, "faults", failures, "rest", s.quarantine(c.now).Milliseconds())
	}
}

// reconcileRuns compares the runs that the server lists with its attempts. One that
// is listed neither as running nor as ended is lost, but only if all ends are listed.
func (c *Core) reconcileRuns(s *server, sent time.Time, list []ActiveRun) {
	listed := make(map[runKey]bool, len(list))
	s.unknownRuns = 0
	for _, r := range list {
		key := runKey{r.Task, r.Run}
		listed[key] = true
		if a := s.attempts[key]; a != nil {
			c.confirmRun(a, r)
			continue
		}
		c.adoptRun(s, r)
	}
	if !s.endsComplete {
		return
	}
	for key, a := range s.attempts {
		if !listed[key] && !a.answeredAt.IsZero() && a.answeredAt.Before(sent) {
			c.startHadNoEffect(a.task, a.run)
			c.markLost(a, lossNotListed)
		}
	}
}

func (c *Core) confirmRun(a *attempt, r ActiveRun) {
	if a.state == startSent {
		c.startConfirmed(a)
	}
	if r.Checkpoint != "" {
		c.saveCheckpoint(a.task, r.Checkpoint)
	}
}

// adoptRun records a run that an earlier owner started, or stops it.
func (c *Core) adoptRun(s *server, r ActiveRun) {
	var t *task
	if j := c.jobs[r.Task.Submission]; j != nil {
		t = c.task(j, r.Task)
	}
	if t == nil {
		s.unknownRuns++
		c.tenants.uncertain = true
		c.emit(StopTask{To: s.instance(), Order: Order{Task: r.Task, Run: r.Run, Epoch: c.epoch}})
		c.log.Log(events.RunOrphaned, "task", r.Task.String(), "run", r.Run, "server", s.info.ID, "born", s.startedAtMS)
		return
	}
	a := &attempt{task: t, run: r.Run, server: s, state: running, sentAt: c.now, answeredAt: c.now, need: t.step.spec.Reserved(), adopted: true}
	s.reserve(a)
	t.step.attemptsPerServer[s]++
	c.noteGroupRack(t.step, s)
	t.run = max(t.run, r.Run)
	c.log.Log(events.RunAdopted, "task", r.Task.String(), "run", r.Run, "server", s.info.ID, "born", s.startedAtMS)
	if c.adoptCopy(a) {
		c.confirmRun(a, r)
		return
	}
	if t.done || t.attempt != nil || t.step.job().ending != "" {
		c.stop(a)
		return
	}
	t.attempt = a
	t.step.job().started = true
	c.confirmRun(a, r)
	c.adoptTrial(a)
}

// Tick handles what depends on time alone: expired leases, due occurrences,
// incomplete gangs and expired final states.
func (c *Core) Tick() {
	c.checkReachability()
	c.noteLeaseRenewal()
	c.starts.Measure(c.now)
	c.reviewSpeeds()
	if c.sendingHeldUp() && c.now.Sub(c.openCountedAt) >= time.Duration(len(c.jobs))*openCountTimePerJob {
		c.openCountedAt = c.now
		c.countOpenTasks()
	}
	for _, s := range c.servers {
		c.checkServer(s)
	}
	c.tenure.advance(c.now)
	c.recordUnheard()
	c.storeUpdate()
	c.tenants.tick()
	c.shareCaps()
	c.startDeferredTrials()
	c.startDueOccurrences()
	c.stopIncompleteGangs()
	c.reroute()
	c.endRelocations()
	c.seekRoom()
	c.checkForwards()
	c.expireFinalStates()
	if len(c.queued) > 0 {
		c.wakeNextBlock()
		c.placementNeeded = true
	}
}

func (c *Core) checkServer(s *server) {
	unresponsive := !s.unresponsiveSince.IsZero()
	if unresponsive && len(s.attempts) > 0 && c.leasesExpired(s) {
		for _, a := range s.attempts {
			if c.mayRunElsewhere(a) {
				c.keepExposure(a)
				c.markLost(a, lossLeaseExpired)
			}
		}
		s.synced = false
	}
	if c.isRemovable(s) {
		c.removeServer(s)
		return
	}
	c.evacuate(s)
	if !s.polling && c.now.Sub(s.polledAt) > leaseRenewalInterval {
		c.poll(s)
	}
}

// evacuate stops the checkpointing tasks of a draining server, early enough for
// their checkpoints to be listed. Other tasks may still end by themselves.
func (c *Core) evacuate(s *server) {
	if !s.info.Draining || s.departsAt.IsZero() || c.now.Before(s.departsAt.Add(-evacuationLead)) {
		return
	}
	for _, a := range s.attempts {
		if a.state == running && a.task.step.spec.Checkpoints {
			c.log.Log(events.TaskEvacuated, "task", a.task.id().String(), "run", a.run, "server", s.info.ID, "leavesMS", s.departsAt.Sub(c.now).Milliseconds())
			c.stop(a)
		}
	}
}

// PollAll polls every server. The Engine calls it once, after the claim.
func (c *Core) PollAll() {
	for _, s := range c.servers {
		c.poll(s)
	}
}
