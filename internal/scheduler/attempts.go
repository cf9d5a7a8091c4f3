package scheduler

import (
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	// resendDelayMS is the pause before an order without an answer is sent again.
	resendDelayMS = 50
	// rejectPause keeps a task from being placed again at once after a refusal,
	// and its server from being chosen.
	rejectPause = 300 * time.Millisecond
	// failurePause is the same after a failed run.
	failurePause = 100 * time.Millisecond
)

// start places a task on a server and sends the order.
func (c *Core) start(t *task, s *server, run int, ticket string) {
	a := &attempt{task: t, run: run, server: s, sent: c.now, need: t.step.spec.Reserved(), ticket: ticket}
	t.run, t.cur = max(t.run, run), a
	t.step.onServer[s]++
	s.reserve(a)
	c.sendStart(a, 0)
	c.metric.starts.Inc()
	c.log.Log(events.TaskPlaced, "task", a.task.id().String(), "run", run, "server", s.info.ID,
		"waited", c.now.Sub(t.step.readyAt).Milliseconds(), "free", s.free.CPU, "clockAge", c.now.Sub(s.clockAt).Milliseconds())
}

// lease returns a deadline for orders to a server, on its clock. That of a
// silent server is not extended, since its work is to lapse.
func (c *Core) lease(s *server) int64 {
	if !s.silentSince.IsZero() {
		return s.until
	}
	until := s.clockNow(c.now) + c.bounds.lease().Milliseconds()
	s.until = max(s.until, until)
	return until
}

// lease is how long the Core holds work without hearing of its server. Longer
// ones outlast longer outages, shorter ones free lost work sooner.
func (b Bounds) lease() time.Duration { return min(b.MaxLease, maxLease) }

// maxLease covers the expiry of a lost owner's membership, a take-over, one
// unanswered look and the wait of another.
const maxLease = 6 * time.Second

func (c *Core) order(a *attempt) Order {
	return Order{Task: a.task.id(), Run: a.run, Epoch: c.epoch}
}

func (c *Core) sendStart(a *attempt, delayMS int) {
	o := c.order(a)
	o.LeaseDeadlineMS = c.lease(a.server)
	o.Spec = a.task.step.job().sub.Spec
	o.Checkpoint = a.task.checkpoint
	o.Ticket = a.ticket
	c.act(StartTask{To: a.server.life(), Order: o, DelayMS: delayMS})
}

// stop tells a server to end an attempt. Its room stays reserved until the
// server lists the end.
func (c *Core) stop(a *attempt) {
	if a.state == stopping {
		return
	}
	a.state = stopping
	a.answered = time.Time{}
	c.act(StopTask{To: a.server.life(), Order: c.order(a)})
}

// attemptOf returns the attempt that an order was about, or nil.
func (c *Core) attemptOf(to Instance, o Order) *attempt {
	s := c.servers[to.ID]
	if s == nil {
		return nil
	}
	return s.attempts[runKey{o.Task, o.Run}]
}

// Started reports the outcome of a start.
func (c *Core) Started(to Instance, o Order, clock int64, err error) {
	a := c.attemptOf(to, o)
	if a == nil {
		return
	}
	a.sends++
	if err == nil {
		c.startTaken(a, clock)
		return
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
	c.startRefused(a, verdict.ReasonOf(err))
}

func (c *Core) startTaken(a *attempt, clock int64) {
	a.server.observe(clock, c.now)
	if a.state == ordered {
		a.state = running
		a.answered = c.now
	}
	if j := a.task.step.job(); !j.started {
		j.started = true
		c.metric.started.Update(c.now.Sub(j.accepted).Seconds())
	}
	c.look(a.server)
}

// startUnanswered sends a start again, or stops it where it may not begin any
// more: once the stop is answered, a late copy of the start does nothing.
func (c *Core) startUnanswered(a *attempt) {
	if a.server.info.Draining || !a.server.listed || !c.mayPlace(a.task.step) {
		c.stop(a)
	} else {
		c.sendStart(a, resendDelayMS)
	}
	c.look(a.server)
}

// startRefused deals with a start that certainly had no effect. If it was sent
// before without an answer, that copy may have had or may have yet.
func (c *Core) startRefused(a *attempt, reason verdict.Reason) {
	s, t := a.server, a.task
	switch reason {
	case ReasonFenced:
		c.fence(s)
		return
	case ReasonWrongInstance:
		c.endLife(s)
		return
	case ReasonInvalidTicket:
		delete(t.step.advice.tickets, s.info.ID)
	case ReasonUnhealthy:
		s.avoidUntil = c.now.Add(time.Second)
	default:
		s.avoidUntil = c.now.Add(rejectPause)
	}
	if reason == ReasonStaleRun {
		a.state = running
		a.answered = c.now
		c.look(s)
		return
	}
	if a.sends > 1 {
		// An earlier copy may still begin until a stop forbids the run.
		c.stop(a)
		c.look(s)
		return
	}
	t.retryAt = c.now.Add(failurePause)
	c.release(a)
}

// fence ends the Core: a later owner has given orders.
func (c *Core) fence(s *server) {
	c.fenced = true
	c.log.Log(events.OwnerFenced, "server", s.info.ID, "epoch", c.epoch)
}

// Stopped reports the outcome of a stop.
func (c *Core) Stopped(to Instance, o Order, err error) {
	a := c.attemptOf(to, o)
	if a == nil {
		return
	}
	if err == nil {
		a.answered = c.now
		c.look(a.server)
		return
	}
	c.metric.orderFailed(err)
	c.log.Log(events.CommandFailed, "task", o.Task.String(), "run", o.Run, "server", to.ID, "order", "stop",
		"reason", string(verdict.ReasonOf(err)), "verdict", verdict.Of(err).String(), "error", err.Error())
	switch verdict.ReasonOf(err) {
	case ReasonFenced:
		c.fence(a.server)
	case ReasonWrongInstance:
		c.endLife(a.server)
	default:
		c.act(StopTask{To: to, Order: o, DelayMS: resendDelayMS})
		c.look(a.server)
	}
}

// release takes an attempt off the books. Its task waits again if it is not
// done.
func (c *Core) release(a *attempt) {
	t := a.task
	if a.server.attempts[a.key()] == a {
		a.server.release(a)
		if n := t.step.onServer[a.server]; n > 1 {
			t.step.onServer[a.server] = n - 1
		} else {
			delete(t.step.onServer, a.server)
		}
	}
	if t.cur == a {
		t.cur = nil
		c.enqueue(t.step)
	}
	c.place = true
}

// lose releases an attempt whose run is certainly over without a known end.
func (c *Core) lose(a *attempt, why string) {
	c.metric.lost.Inc()
	c.log.Log(events.RunLost, "task", a.task.id().String(), "run", a.run, "server", a.server.info.ID, "why", why)
	c.release(a)
	if a.task.step.spec.Gang {
		a.task.step.endRun(a.run)
		c.breakGang(a.task.step)
	}
}

// breakGang stops the members that are left of a gang's run.
func (c *Core) breakGang(s *step) {
	if s.done < len(s.tasks) {
		c.stopStep(s)
	}
}

// endRun notes that a run of a gang is over for all its members.
func (s *step) endRun(run int) { s.endedRun = max(s.endedRun, run) }

// stands reports whether a member's attempt is not being stopped.
func (s *step) stands() bool {
	for i := range s.tasks {
		if a := s.tasks[i].cur; a != nil && a.state != stopping {
			return true
		}
	}
	return false
}

// ended deals with one end that a server listed.
func (c *Core) ended(s *server, e RunEnd) {
	a := s.attempts[runKey{e.Task, e.Run}]
	if a != nil {
		c.release(a)
	}
	j := c.jobs[e.Task.Submission]
	if j == nil || j.ending != "" {
		return
	}
	t := j.task(e.Task)
	if t == nil {
		return
	}
	j.started = true
	t.run = max(t.run, e.Run)
	t.step.endRun(e.Run)
	if e.Checkpoint != "" && !t.done {
		c.saved(t, e.Checkpoint)
	}
	c.metric.runEnded(e.Kind)
	c.log.Log(events.RunEnded, "task", e.Task.String(), "run", e.Run, "server", s.info.ID, "end", e.Kind.String(), "number", e.Number)
	switch e.Kind {
	case workload.EndDone:
		if a != nil && !t.done {
			j.runs.learn(c.now.Sub(a.sent))
		}
		c.taskDone(s, t)
	case workload.EndFailed:
		c.taskFailed(s, t, e.Run)
	case workload.EndLeaseExpired, workload.EndGangIncomplete, workload.EndStopped:
		if t.step.spec.Gang {
			c.breakGang(t.step)
		}
	}
}

// saved takes in a checkpoint. A gang's members all resume from the same one.
func (c *Core) saved(t *task, checkpoint string) {
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
	s.succeeded()
	if step.spec.LongRunning {
		c.touch(step.job())
		c.enqueue(step)
		return
	}
	if step.spec.Gang {
		// One member's end tells of all of them.
		for i := range step.tasks {
			step.markDone(&step.tasks[i])
		}
	} else {
		step.markDone(t)
		if t.cur != nil {
			c.stop(t.cur)
		}
	}
	j := step.job()
	c.touch(j)
	for _, next := range step.occurrence.steps {
		c.enqueue(next)
	}
	c.settle(j)
}

func (c *Core) taskFailed(s *server, t *task, run int) {
	s.failed(t.step.job().sub.ID)
	if t.failedOn == nil {
		t.failedOn = make(map[string]bool)
	}
	t.failedOn[s.info.ID] = true
	step := t.step
	counted := t
	if step.spec.Gang {
		// A gang's run fails once, whichever members say so.
		counted = &step.tasks[0]
	}
	// An end that was stored and not noted is listed to the next owner again.
	if slices.Contains(counted.failedRuns, run) {
		return
	}
	counted.failedRuns = append(counted.failedRuns, run)
	t.retryAt = c.now.Add(failurePause)
	j := step.job()
	c.touch(j)
	if !step.spec.LongRunning && j.queue.MaxFailedRuns > 0 && len(counted.failedRuns) >= j.queue.MaxFailedRuns {
		c.end(j, workload.StatusFailed)
	}
}
