package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/placement/speculation"
	"github.com/currantwinch/currantwinch/workload"
)

// A task of a speculative step may have a second run, its copy. Both are attempts like any
// other: they reserve capacity, count towards the bounds of the step, have run numbers and
// leases of their own and are over only when that is certain. The first that ends done ends
// the task, and the other is stopped.

const (
	// copyInterval is the time between two searches for stragglers, each of which looks at
	// all runs.
	copyInterval = 100 * time.Millisecond
	// copyStartTime is the assumed time from the order to start a copy until it runs.
	copyStartTime = 20 * time.Millisecond
	// maxWaitingSteps is the number of steps with tasks to place beyond which no copy
	// starts, since the service is full.
	maxWaitingSteps = 64
	// maxSearches bounds the stragglers for which all servers are examined every copyInterval,
	// so that the work does not grow with the number of stragglers.
	maxSearches = 8
	// maxCopyServers bounds the servers that a policy request for a copy names, since each
	// adds to the time until the answer.
	maxCopyServers = 4
)

// straggler is an attempt of which a copy may be started.
type straggler struct {
	attempt *attempt
	run     speculation.Run
	// work is the expected time of a run on the usual server.
	work time.Duration
}

// startCopies starts copies of the runs that take much longer than expected, once placement
// has used what it could.
func (c *Core) startCopies() {
	if c.config == nil || c.now.Sub(c.copiesCheckedAt) < copyInterval || !c.mayStartTasks() {
		return
	}
	c.copiesCheckedAt = c.now
	if c.findWaitingSteps(); len(c.copyWaiting) > maxWaitingSteps {
		return
	}
	candidates, budgets := c.stragglers(), c.copyBudgets()
	speculation.Order(candidates, func(s straggler) speculation.Run { return s.run })
	searches := 0
	for _, s := range candidates {
		if c.startRoom <= 0 || searches == maxSearches {
			return
		}
		budget := budgets[s.attempt.server.info.Service]
		if !budget.Allows(s.run.CPU) || !c.tenants.allowsCopy(s.attempt.task.step) {
			continue
		}
		searches++
		to, undecided := c.chooseCopyServer(s)
		if to == nil {
			c.requestCopyTickets(s, undecided)
			continue
		}
		budget.Take(s.run.CPU)
		c.startCopy(s, to)
	}
}

// findWaitingSteps lists the steps that wait for capacity, up to one more than
// maxWaitingSteps. Those that their tenant's cap holds back do not.
func (c *Core) findWaitingSteps() {
	c.copyWaiting = c.copyWaiting[:0]
	for _, st := range c.queued {
		if len(c.copyWaiting) > maxWaitingSteps {
			return
		}
		if !st.entry.capWaiting && st.job().ending == "" && st.unplacedTasks() > 0 {
			c.copyWaiting = append(c.copyWaiting, st)
		}
	}
}

// copyBudgets returns the budget for copies of each service.
func (c *Core) copyBudgets() map[string]*speculation.Budget {
	budgets := make(map[string]*speculation.Budget)
	for _, s := range c.servers {
		b := budgets[s.info.Service]
		if b == nil {
			b = &speculation.Budget{}
			budgets[s.info.Service] = b
		}
		for _, a := range s.attempts {
			b.InUse += a.need.CPU
			if a.task.copy == a {
				b.Copies += a.need.CPU
			}
		}
	}
	return budgets
}

// stragglers lists the runs that may have a copy and are overdue, by task ID so that the order
// of equally overdue ones does not depend on that of the servers in memory.
func (c *Core) stragglers() []straggler {
	var out []straggler
	for _, s := range c.servers {
		for _, a := range s.attempts {
			if !c.mayCopy(a) {
				continue
			}
			if s := c.stragglerOf(a); s.run.CopyEndsFirst(copyStartTime) {
				out = append(out, s)
			}
		}
	}
	slices.SortFunc(out, func(x, y straggler) int {
		return cmp.Compare(x.attempt.task.id().String(), y.attempt.task.id().String())
	})
	return out
}

// mayCopy reports whether the task of a run may have a copy. A task on its last allowed failure
// gets no copy, since a failed copy would end the submission. A task that may have crashed a
// server gets none, since two runs could crash two servers.
func (c *Core) mayCopy(a *attempt) bool {
	t, st := a.task, a.task.step
	if most := st.job().queue.MaxFailedRuns; most > 0 && len(t.failedRuns)+1 >= most {
		return false
	}
	return st.spec.Speculative && !st.spec.Gang && !st.spec.LongRunning && a.state == running && t.attempt == a && t.copy == nil &&
		!t.done && st.job().ending == "" && t.crashes.Empty() && t.exposure == nil && !c.now.Before(t.retryAt) && c.mayStart(st)
}

// stragglerOf describes a run by what is known of its step, its queue and its server.
func (c *Core) stragglerOf(a *attempt) straggler {
	st := a.task.step
	work, uncertainty, known := st.expectedWork(a.server.number)
	if !known {
		return straggler{}
	}
	expected := float64(work)
	if a.server.slow() {
		expected /= a.server.speed.Speed(c.now)
	}
	if c.remote(st, a.server) {
		expected *= c.bounds.RemoteFactor
	}
	return straggler{attempt: a, work: work, run: speculation.Run{
		Age: c.now.Sub(a.sentAt), Expected: time.Duration(expected), Uncertainty: uncertainty, Slow: a.server.slow(), Priority: st.job().queue.Priority, CPU: a.need.CPU,
	}}
}

// chooseCopyServer returns the allowed server on which a copy of a straggler ends first, if it
// ends before the straggler does; or nil. It also returns servers on which a copy could end
// before the straggler but for which no decision of the policy service is valid.
func (c *Core) chooseCopyServer(s straggler) (best *server, undecided []string) {
	st := s.attempt.task.step
	var bestTime time.Duration
	for _, to := range c.servers {
		if !c.canRunCopy(s.attempt, to) {
			continue
		}
		copyTime := c.copyTime(s, to)
		if !s.run.CopyEndsFirst(copyTime) {
			continue
		}
		if _, ticketed := c.ticketFor(st, to); !ticketed {
			if len(undecided) < maxCopyServers && st.authorization.decisionOn(to) != denied {
				undecided = append(undecided, to.info.ID)
			}
			continue
		}
		better := best == nil || cmp.Or(cmp.Compare(copyTime, bestTime), cmp.Compare(to.free.CPU, best.free.CPU), cmp.Compare(to.info.ID, best.info.ID)) < 0
		if better && !c.neededByWaitingStep(to, s.attempt.need) {
			best, bestTime = to, copyTime
		}
	}
	return best, undecided
}

// startCopy starts a copy of a straggler on a server.
func (c *Core) startCopy(s straggler, to *server) {
	t := s.attempt.task
	ticket, _ := c.ticketFor(t.step, to)
	c.start(t, to, t.run+1, ticket)
	c.metric.copiesStarted.Inc()
	c.log.Log(events.CopyStarted, "task", t.id().String(), "run", t.copy.run, "server", to.info.ID, "slowRun", s.attempt.run, "slowServer", s.attempt.server.info.ID,
		"age", s.run.Age.Milliseconds(), "expected", s.run.Expected.Milliseconds())
}

// requestCopyTickets asks whether a copy may run on the named servers, if a copy that starts
// after the answer is still expected to end before the straggler does.
func (c *Core) requestCopyTickets(s straggler, servers []string) {
	st := s.attempt.task.step
	terms := st.job().queue.Policy
	if len(servers) == 0 || terms == nil || c.openRequests >= c.policyClients || !c.mayRequest(st) {
		return
	}
	cost := terms.DecisionTime + time.Duration(len(servers))*terms.TimePerServer
	if s.run.CopyEndsFirst(cost + s.work) {
		c.sendRequest(st, servers)
	}
}

// copyTime returns how long a copy is expected to take on a server.
func (c *Core) copyTime(s straggler, to *server) time.Duration {
	took := float64(s.work) / to.speed.Speed(c.now)
	if c.remote(s.attempt.task.step, to) {
		took *= c.bounds.RemoteFactor
	}
	return copyStartTime + time.Duration(took)
}

// canRunCopy reports whether a copy of a run can start on a server beside what is held for
// gangs. That of the run itself is none, since its slowness may be the cause, nor is one on
// which the task has failed.
func (c *Core) canRunCopy(a *attempt, s *server) bool {
	st := a.task.step
	if s == a.server || s.info.Service != st.job().sub.Service || !s.stored || !s.usable(c.now) || s.slow() || !s.hasLabel(st.spec.Label) || a.task.failedOn[s.info.ID] {
		return false
	}
	return fitCount(st, s, c.freeBesideHolds(nil, s)) > 0
}

// neededByWaitingStep reports whether a step that waits for capacity could start fewer tasks on
// a server after a copy that needs that much has started there. Placement, which runs before,
// leaves capacity free for a step that waits for a policy answer, for a retry, or for room for
// the rest of its gang.
func (c *Core) neededByWaitingStep(s *server, need workload.Resources) bool {
	free := c.freeBesideHolds(nil, s)
	for _, st := range c.copyWaiting {
		if st.job().sub.Service != s.info.Service || !s.hasLabel(st.spec.Label) || st.authorization.decisionOn(s) == denied {
			continue
		}
		waiting := st.unplacedTasks()
		if before := min(fitCount(st, s, free), waiting); before > 0 && min(fitCount(st, s, free.Minus(need)), waiting) < before {
			return true
		}
	}
	return false
}

// otherRun returns the other run of an attempt's task, or nil.
func (a *attempt) otherRun() *attempt {
	switch a.task.copy {
	case nil:
		return nil
	case a:
		return a.task.attempt
	}
	return a.task.copy
}

// leave takes an attempt that is over from its task. The other run of the task, if there is
// one, becomes its only one.
func (t *task) leave(a *attempt) {
	switch a {
	case t.copy:
		t.copy = nil
	case t.attempt:
		t.attempt, t.copy = t.copy, nil
	}
}

// stopRuns stops all runs of the task.
func (c *Core) stopRuns(t *task) {
	if t.attempt != nil {
		c.stop(t.attempt)
	}
	if t.copy != nil {
		c.stop(t.copy)
	}
}

// adoptCopy records a second run of a task that an earlier owner started as a copy. It reports
// false if the task may not have a second run; the caller then stops this one.
func (c *Core) adoptCopy(a *attempt) bool {
	t := a.task
	if t.attempt == nil || t.copy != nil || t.done || !t.step.spec.Speculative || t.step.spec.Gang || t.step.spec.LongRunning || t.crashes.Suspect() ||
		!t.step.job().inherited || t.step.job().ending != "" || t.attempt.server == a.server || t.attempt.state == stopping {
		return false
	}
	t.copy = a
	return true
}

// noteCopyDecided notes which of two runs has ended the task.
func (c *Core) noteCopyDecided(ended *attempt) {
	t := ended.task
	if ended.otherRun() == nil || t.done {
		return
	}
	result := "wasted"
	if t.copy == ended {
		result = "won"
	}
	c.metric.copyDecided(result)
	c.log.Log(events.CopyDecided, "task", t.id().String(), "run", ended.run, "server", ended.server.info.ID, "copy", t.copy == ended)
}
