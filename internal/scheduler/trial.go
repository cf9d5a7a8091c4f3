package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/crashloop"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	// maxTrialShare is the share of the servers on which trials may be under way at
	// once: each of them may crash.
	maxTrialShare = 0.25
	// maxStoreWait is the age of the oldest pending write beyond which no trial
	// begins, since its server would be held until the log stores something.
	maxStoreWait = 300 * time.Millisecond
	// minTrialPoll is the shortest wait that a poll asks for during a trial.
	minTrialPoll = 50 * time.Millisecond
)

// trial is a start of suspect tasks of one step on servers on which nothing else is
// started until it is over. It is stored before the first order is sent.
type trial struct {
	step    *step
	members []trialMember
	// runTime is how long the members have to run.
	runTime time.Duration
	// startedAt is when the orders were sent; zero while the trial is being stored.
	startedAt time.Time
}

type trialMember struct {
	task   *task
	server *server
	run    int
	// to is the instance on which the trial was to begin.
	to Instance
}

// includes reports whether the attempt is a run of the trial. A nil trial has none.
func (tr *trial) includes(a *attempt) bool {
	return tr != nil && slices.ContainsFunc(tr.members, func(m trialMember) bool {
		return m.task == a.task && m.server == a.server && m.run == a.run
	})
}

// mayTry reports whether a trial of the step may begin or go on being filled.
func (c *Core) mayTry(st *step) bool {
	if st.trial != nil {
		return st.spec.Gang && !st.trial.startedAt.IsZero()
	}
	if len(c.onStored) > 0 && c.now.Sub(c.onStored[0].since) > maxStoreWait {
		return false
	}
	return c.trials < max(int(maxTrialShare*float64(len(c.servers))), 1)
}

// tryTasks begins a trial of the step's suspect tasks on one server, if there are any.
// They are tried together, since one of them ends the submission of all.
func (p *placementPass) tryTasks(st *step) {
	c := p.core
	var missing []*task
	for i := range st.tasks {
		if t := &st.tasks[i]; t.needsPlacement() && t.crashes.Suspect() && !c.now.Before(t.retryAt) {
			missing = append(missing, t)
		}
	}
	if len(missing) == 0 || !c.mayTry(st) {
		return
	}
	if missing = missing[:c.tenants.allows(st, len(missing))]; len(missing) == 0 {
		return
	}
	open, ticketed, _ := p.serversWithCapacity(st)
	if len(ticketed) == 0 {
		if st.job().queue.Policy != nil {
			p.requestTickets(st, len(missing), open)
		}
		return
	}
	p.sortForTrial(st, ticketed)
	s := ticketed[0]
	missing = missing[:min(len(missing), p.availableSlots(st, s))]
	servers := make([]*server, len(missing))
	for i := range servers {
		servers[i] = s
	}
	c.beginTrial(st, missing, servers, 0)
}

// sortForTrial sorts servers by how well they suit a trial: no crash of the step
// there before, a reliable host, no run that has just begun, and few runs to lose.
func (p *placementPass) sortForTrial(st *step, servers []*server) {
	now := p.core.now
	key := func(s *server) int {
		k := 0
		if st.crashedOn(s.info.Address) {
			k += 4
		}
		if p.core.hosts.Unreliable(s.info.Address, now) {
			k += 2
		}
		if s.hasUnsettledRun(now) {
			k++
		}
		return k
	}
	slices.SortStableFunc(servers, func(x, y *server) int {
		return cmp.Or(cmp.Compare(key(x), key(y)), cmp.Compare(len(x.attempts), len(y.attempts)))
	})
}

func (s *step) crashedOn(host string) bool {
	return slices.ContainsFunc(s.tasks, func(t task) bool { return t.crashes.CrashedOn(host) })
}

func (s *server) hasUnsettledRun(now time.Time) bool {
	for _, a := range s.attempts {
		if !crashloop.Settled(now.Sub(a.sentAt)) {
			return true
		}
	}
	return false
}

// beginTrial assigns tasks to servers and stores that, before the starts are sent.
// The next owner counts the crash of such a server against them. Run is that of a
// gang's members, or 0.
func (c *Core) beginTrial(st *step, tasks []*task, servers []*server, run int) {
	tr := &trial{step: st}
	for i, t := range tasks {
		m := trialMember{task: t, server: servers[i], run: cmp.Or(run, t.run+1), to: servers[i].instance()}
		tr.members = append(tr.members, m)
		tr.runTime = max(tr.runTime, t.history().TrialTime())
		m.server.trial = tr
		t.exposure = c.exposureOf(&attempt{task: t, run: m.run, server: m.server, sentAt: c.now}, true)
	}
	st.trial = tr
	c.trials++
	c.log.Log(events.TrialBegun, "step", st.id().StepName(), "tasks", len(tasks), "server", servers[0].info.ID, "lasts", tr.runTime.Milliseconds())
	c.writeOr(c.progressRecords(st.job()), func() { c.startTrial(tr) }, func(error) { c.endTrial(tr) })
}

// startTrial sends the starts of a trial that is stored, once its servers have no run
// that has only just begun. Of a gang all members start, or none.
func (c *Core) startTrial(tr *trial) {
	st := tr.step
	if st.trial != tr {
		return
	}
	if tr.hasUnsettledRun(c.now) {
		c.deferredTrials = append(c.deferredTrials, tr)
		return
	}
	startable := c.startable(tr)
	if st.spec.Gang && len(startable) < len(tr.members) {
		startable = nil
	}
	for _, m := range tr.members {
		if !slices.Contains(startable, m) {
			c.startHadNoEffect(m.task, m.run)
		}
	}
	if len(startable) == 0 {
		c.endTrial(tr)
		return
	}
	tr.startedAt = c.now
	if st.spec.Gang {
		st.formationDeadline = c.formationDeadline()
	}
	for _, m := range startable {
		ticket, _ := c.ticketFor(st, m.server)
		c.start(m.task, m.server, m.run, ticket)
	}
}

// hasUnsettledRun reports whether a run on one of the trial's servers has only just
// begun.
func (tr *trial) hasUnsettledRun(now time.Time) bool {
	return slices.ContainsFunc(tr.members, func(m trialMember) bool { return m.server.hasUnsettledRun(now) })
}

// startDeferredTrials starts the stored trials whose servers had runs that had only
// just begun.
func (c *Core) startDeferredTrials() {
	deferred := c.deferredTrials
	c.deferredTrials = nil
	for _, tr := range deferred {
		c.startTrial(tr)
	}
}

// startable returns the members that may still be started on their servers and fit
// there together.
func (c *Core) startable(tr *trial) []trialMember {
	var out []trialMember
	need := tr.step.spec.Reserved()
	used := make(map[*server]workload.Resources)
	for _, m := range tr.members {
		if c.canStart(m) && need.Fits(m.server.free.Minus(used[m.server])) {
			used[m.server] = used[m.server].Plus(need)
			out = append(out, m)
		}
	}
	return out[:c.tenants.allows(tr.step, len(out))]
}

// canStart reports whether a member of a trial may still be started on its server.
func (c *Core) canStart(m trialMember) bool {
	st := m.task.step
	_, ticketed := c.ticketFor(st, m.server)
	return ticketed && m.task.needsPlacement() && st.job().ending == "" && c.mayStart(st) &&
		c.serverOf(m.to) == m.server && m.server.usable(c.now)
}

// endTrial ends a trial, whatever its outcome.
func (c *Core) endTrial(tr *trial) {
	if tr.step.trial != tr {
		return
	}
	tr.step.trial = nil
	c.trials--
	for _, m := range tr.members {
		if m.server.trial == tr {
			m.server.trial = nil
		}
	}
	c.enqueue(tr.step)
	c.placementNeeded = true
}

// trialRunReleased ends a trial on a server once no run of it is left there.
func (c *Core) trialRunReleased(a *attempt) {
	tr := a.server.trial
	if tr == nil || tr != a.task.step.trial || tr.startedAt.IsZero() {
		return
	}
	if a.task.step.attemptsPerServer[a.server] > 0 {
		return
	}
	c.leaveTrial(a.server)
}

// leaveTrial opens a server to other tasks again, and ends the trial with the last
// server.
func (c *Core) leaveTrial(s *server) {
	tr := s.trial
	s.trial = nil
	for _, m := range tr.members {
		if m.server.trial == tr {
			return
		}
	}
	c.endTrial(tr)
}

// trialTimeLeft returns how long a poll of the server may wait, so that its answer
// does not come long after the end of a trial.
func (c *Core) trialTimeLeft(s *server) time.Duration {
	if s.trial == nil || s.trial.startedAt.IsZero() {
		return pollWait
	}
	return max(s.trial.startedAt.Add(s.trial.runTime).Sub(c.now), minTrialPoll).Truncate(time.Millisecond)
}

// reviewTrial clears the tasks of a trial that the server has outlived.
func (c *Core) reviewTrial(s *server) {
	tr := s.trial
	if tr == nil || tr.startedAt.IsZero() {
		return
	}
	for _, m := range tr.members {
		a := m.task.attempt
		if m.server != s || a == nil || a.server != s {
			continue
		}
		if a.state != running || c.now.Sub(a.answeredAt) < tr.runTime {
			return
		}
	}
	for _, m := range tr.members {
		if m.server == s && m.task.attempt != nil && m.task.attempt.server == s {
			c.clearTask(m.task)
		}
	}
	c.leaveTrial(s)
}

// clearTask drops the evidence against a task that its server has outlived. A gang is
// cleared once all servers of its trial have been.
func (c *Core) clearTask(t *task) {
	if t.exposure == nil && len(t.history().Crashes) == 0 {
		return
	}
	t.exposure = nil
	c.markDirty(t.step.job())
	if tr := t.step.trial; t.step.spec.Gang && tr != nil && tr.serversLeft() > 1 {
		return
	}
	t.history().Clear()
	c.log.Log(events.TaskCleared, "task", t.id().String())
}

// serversLeft counts the servers on which the trial is under way.
func (tr *trial) serversLeft() int {
	left := make(map[*server]bool)
	for _, m := range tr.members {
		if m.server.trial == tr {
			left[m.server] = true
		}
	}
	return len(left)
}

// runOutlived handles the listed end of a run: its server did not crash under it.
func (c *Core) runOutlived(t *task, e RunEnd) {
	if e.Kind == workload.EndDone {
		c.clearTask(t)
		return
	}
	if t.exposure != nil && t.exposure.Run == e.Run {
		t.exposure = nil
		c.markDirty(t.step.job())
	}
}

// adoptTrial goes on with the trial of a run that an earlier owner started.
func (c *Core) adoptTrial(a *attempt) {
	t, st := a.task, a.task.step
	if t.exposure == nil || !t.exposure.Trial || t.exposure.Run != a.run || t.exposure.Server != a.server.info.ID {
		return
	}
	if a.server.trial != nil && a.server.trial != st.trial {
		return
	}
	if st.trial == nil {
		st.trial = &trial{step: st, startedAt: c.now, runTime: t.history().TrialTime()}
		c.trials++
	}
	st.trial.members = append(st.trial.members, trialMember{t, a.server, a.run, a.server.instance()})
	a.server.trial = st.trial
}
