package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/crashloop"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/workload"
	"github.com/pkg/errors"
)

// history returns the evidence against the task, or against its gang as a whole.
func (t *task) history() *crashloop.History {
	if t.step.spec.Gang {
		return &t.step.tasks[0].crashes
	}
	return &t.crashes
}

// ended reports whether evidence against the task is of no use any more.
func (t *task) ended() bool { return t.done || t.step.job().ending != "" }

// crashedRun is a run that was on a server when it crashed.
type crashedRun struct {
	task *task
	run  int
	crashloop.Run
}

// attributeCrash handles the certain end of a server's instance before its runs are
// released. It records what the crash shows about each of them, and returns the tasks
// to give up. The end of a draining server was announced and is no crash.
func (c *Core) attributeCrash(s *server, reason lossReason) []*task {
	if s.info.Draining || s.over {
		return nil
	}
	at := s.lastSeenAlive(c.now)
	if s.polledAt.IsZero() && !s.silentBefore.IsZero() {
		at = s.silentBefore
	}
	c.metric.serversCrashed.Inc()
	c.log.Log(events.ServerCrashed, "server", s.info.ID, "address", s.info.Address, "born", s.startedAtMS, "how", string(reason), "attempts", len(s.attempts),
		"silent", c.now.Sub(at).Milliseconds())
	if s.unresponsiveSince.IsZero() {
		c.hosts.WentDown(crashloop.Down{Host: s.info.Address, At: at, OnTrial: s.trial != nil})
	}
	if s.inherited && s.polledAt.IsZero() && !c.recovered && len(c.exposed[s.info.ID]) == 0 {
		c.unseenCrashes = append(c.unseenCrashes, s.info)
	}
	runs := c.runsAt(s, at)
	attributed := make([]crashloop.Run, len(runs))
	for i := range runs {
		attributed[i] = runs[i].Run
	}
	var givenUp []*task
	for i, kind := range crashloop.Attribute(attributed, c.hosts.Outage(s.info.Address, at)) {
		if kind == 0 {
			continue
		}
		c.recordCrash(s, runs[i], kind)
		if runs[i].task.history().GivenUp() {
			givenUp = append(givenUp, runs[i].task)
		}
	}
	return givenUp
}

// runsAt returns the runs on the server when it crashed, in the order of their tasks:
// its attempts and the runs that an earlier owner recorded or whose lease expired.
func (c *Core) runsAt(s *server, at time.Time) []crashedRun {
	var out []crashedRun
	for _, a := range s.attempts {
		if a.task.ended() {
			continue
		}
		out = append(out, crashedRun{a.task, a.run, crashloop.Run{Age: max(at.Sub(a.sentAt), 0), OnTrial: s.trial.includes(a)}})
	}
	for _, t := range c.exposed[s.info.ID] {
		if t.ended() || t.exposure == nil || t.exposure.Server != s.info.ID {
			continue
		}
		out = append(out, crashedRun{t, t.exposure.Run, crashloop.Run{Age: msDuration(t.exposure.AgeMS), OnTrial: t.exposure.Trial}})
		t.exposure = nil
	}
	delete(c.exposed, s.info.ID)
	slices.SortFunc(out, func(x, y crashedRun) int {
		return cmp.Or(cmp.Compare(x.task.id().String(), y.task.id().String()), cmp.Compare(x.run, y.run))
	})
	return out
}

// exposeInherited counts the crashes of servers that this owner never heard from, and
// of which earlier owners had recorded nothing, against the inherited tasks that run
// nowhere: an earlier owner may have started any of them there and ended before it
// could store that. It is called once all runs of earlier owners are known or over.
func (c *Core) exposeInherited() {
	for _, info := range c.unseenCrashes {
		for _, st := range c.queued {
			if !st.job().inherited || st.job().ending != "" || st.job().sub.Service != info.Service {
				continue
			}
			for i := range st.tasks {
				t := &st.tasks[i]
				crash := crashloop.Crash{Run: maxInheritedRun(c.epoch), Host: info.Address, Kind: crashloop.Weak}
				if t.needsPlacement() && t.history().Add(crash, 0) {
					c.markDirty(st.job())
				}
			}
		}
	}
	c.unseenCrashes = nil
}

func (c *Core) recordCrash(s *server, r crashedRun, kind crashloop.Kind) {
	h := r.task.history()
	if !h.Add(crashloop.Crash{Run: r.run, Host: s.info.Address, Kind: kind}, r.Age) {
		return
	}
	r.task.exposure = nil
	r.task.delayStart(c.now.Add(h.Backoff()))
	c.markDirty(r.task.step.job())
	c.log.Log(events.TaskSuspected, "task", r.task.id().String(), "run", r.run, "server", s.info.ID, "evidence", kind.String(),
		"crashes", len(h.Crashes), "age", r.Age.Milliseconds())
}

// delayStart delays the next start of the task, or of its gang.
func (t *task) delayStart(until time.Time) {
	if !t.step.spec.Gang {
		t.retryAt = until
		return
	}
	for i := range t.step.tasks {
		t.step.tasks[i].retryAt = until
	}
}

// giveUp ends the submissions of tasks that crash their servers.
func (c *Core) giveUp(tasks []*task) {
	for _, t := range tasks {
		j := t.step.job()
		if j.ending != "" {
			continue
		}
		c.metric.tasksGivenUp.Inc()
		c.log.Log(events.TaskGivenUp, "id", j.sub.ID, "task", t.id().String(), "queue", j.sub.Queue, "crashes", len(t.history().Crashes))
		c.finishJob(j, workload.StatusFailed)
	}
}

// noteSilence records the runs of a server that has just stopped responding, so that
// the next owner knows of them if it has crashed. It records none if the fault is
// likely to be this daemon's.
func (c *Core) noteSilence(s *server, err error) {
	if s.over || len(s.attempts) == 0 {
		return
	}
	c.hosts.WentDown(crashloop.Down{
		Host: s.info.Address, At: c.now, Broken: !errors.Is(err, context.DeadlineExceeded), OnTrial: s.trial != nil,
	})
	if s.info.Draining || c.mostUnreachable {
		return
	}
	for _, a := range s.attempts {
		if a.task.ended() {
			continue
		}
		a.task.exposure = c.exposureOf(a, s.trial.includes(a))
		a.task.exposure.SilentAtMS = c.wall
		c.markDirty(a.task.step.job())
	}
}

func (c *Core) exposureOf(a *attempt, trial bool) *workload.Exposure {
	return &workload.Exposure{
		Server: a.server.info.ID, Host: a.server.info.Address, StartedAtMS: a.server.info.StartedAtMS, Run: a.run,
		AgeMS: max(c.now.Sub(a.sentAt).Milliseconds(), 0), Trial: trial,
	}
}

// loadExposure finds a run that an earlier owner recorded as exposed, and what that owner
// knew of its server.
func (c *Core) loadExposure(t *task) {
	e := t.exposure
	c.exposed[e.Server] = append(c.exposed[e.Server], t)
	s := c.servers[e.Server]
	if s == nil {
		return
	}
	s.startedAtMS = e.StartedAtMS
	if e.SilentAtMS > 0 && s.silentBefore.IsZero() {
		s.silentBefore = c.now.Add(-msDuration(c.wall - e.SilentAtMS))
		c.hosts.WentDown(crashloop.Down{Host: e.Host, At: s.silentBefore, Broken: true, OnTrial: e.Trial})
	}
}

// keepExposure remembers a run whose lease expired on a silent server. If the server
// turns out to have crashed, that still counts against the task.
func (c *Core) keepExposure(a *attempt) {
	if t := a.task; t.exposure != nil && t.exposure.Server == a.server.info.ID {
		c.exposed[a.server.info.ID] = append(c.exposed[a.server.info.ID], t)
	}
}

// startHadNoEffect drops the exposure of a run that certainly did not start.
func (c *Core) startHadNoEffect(t *task, run int) {
	if t.exposure != nil && t.exposure.Run == run {
		t.exposure = nil
		c.markDirty(t.step.job())
	}
}

// settleExposures drops the exposures on a server that answered: it did not crash. A
// server that began anew under its ID has been handled before. Those of runs that go on
// are only dropped from memory: storing that would double the writes for each server that
// was silent for a moment.
func (c *Core) settleExposures(s *server) {
	for _, t := range c.exposed[s.info.ID] {
		c.clearExposure(t, s)
	}
	delete(c.exposed, s.info.ID)
	for _, a := range s.attempts {
		if a.otherRun() != nil && a.task.exposure != nil && a.task.exposure.Server != s.info.ID {
			continue
		}
		if a.task.exposure != nil && !a.task.exposure.Trial {
			a.task.exposure = nil
		}
	}
}

func (c *Core) clearExposure(t *task, s *server) {
	if t.exposure == nil || t.exposure.Server != s.info.ID || t.step.trial != nil && t.step.trial == s.trial {
		return
	}
	t.exposure = nil
	c.markDirty(t.step.job())
}

// endReplacedInstances ends the silent instances that were at the address of a server that
// has just answered there. A machine runs one server at a time. An entry alone proves
// nothing: it may name the address of another server.
func (c *Core) endReplacedInstances(by *server) {
	if by.synced {
		return
	}
	info := by.info
	for _, s := range c.servers {
		if s != by && s.refusalProvesEnd(Instance{Address: info.Address}) && !s.over && !s.unresponsiveSince.IsZero() && s.info.StartedAtMS > 0 && s.info.StartedAtMS < info.StartedAtMS {
			c.instanceEnded(s)
		}
	}
}
