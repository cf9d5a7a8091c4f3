package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/placement/speed"
)

// speedInterval is the time between two reviews of the servers' speeds. A review detects a
// server that became slow from the ages of its runs.
const speedInterval = 250 * time.Millisecond

// minDifferentDivisor: the servers of a service count as unequal if at least their number
// divided by it, and at least one, are faster or slower than the usual one. Fewer may differ by
// chance.
const minDifferentDivisor = 10

// anySession is passed to speed.Siblings.Work in place of a session's number if runs on all
// servers count. Sessions are numbered from 1 on.
const anySession = 0

// serviceSpeeds is what is known of the speeds of a service's servers. It is learned again
// by each owner, and nothing of it is stored.
type serviceSpeeds struct {
	// servers counts the servers, slow those of a slow class, and different the others that
	// are not of class 0.
	servers, slow, different int
	// unequal is set if the servers are not alike.
	unequal bool
	// objectives finds the most urgent work.
	objectives speed.Objectives
}

// speedsOf returns what is known of the speeds of a service's servers.
func (c *Core) speedsOf(service string) *serviceSpeeds {
	s := c.speeds[service]
	if s == nil {
		s = &serviceSpeeds{}
		c.speeds[service] = s
	}
	return s
}

// observeObjective adds the objective of a job of which a task starts.
func (c *Core) observeObjective(j *job) {
	c.speedsOf(j.sub.Service).objectives.Observe(queueKey(j.sub), j.targetTime().Sub(j.accepted), c.now)
}

// observeSpeed learns from a run that ended done, by the time from its start order to its
// listed end. A run of which no time is expected says nothing about its server, but it counts
// for the expected times of later runs.
func (c *Core) observeSpeed(a *attempt) {
	if !a.measuresSpeed() || a.startResults > 1 {
		return
	}
	st, s, took := a.task.step, a.server, c.now.Sub(a.sentAt)
	if c.remote(st, s) {
		took = time.Duration(float64(took) / c.bounds.RemoteFactor)
	}
	if expected := a.work(); expected > 0 {
		c.numberStep(st)
		s.speed.Observe(st.number, expected, took, c.now)
	}
	v := s.speed.Speed(c.now)
	st.job().runs.usual.Observe(st.spec.Estimate, took, v)
	if st.siblings == nil {
		st.siblings = &speed.Siblings{}
	}
	st.siblings.Observe(s.number, took, v)
}

// numberStep assigns a number to a step that has none yet, under which estimators group its
// runs.
func (c *Core) numberStep(st *step) {
	if st.number == 0 {
		c.lastStepNumber++
		st.number = c.lastStepNumber
	}
}

// measuresSpeed reports whether the time of the run depends on its task and on its server's
// speed alone: that of a gang's member depends on the others, that of a rack-sensitive task on
// where they run, and that of a task that reserves no CPU on the load. That of an adopted run
// is not known, a run from a checkpoint is shorter, and a long-running task has no run time.
func (a *attempt) measuresSpeed() bool {
	spec := a.task.step.spec
	return !a.adopted && !spec.Gang && !spec.LongRunning && !spec.RackSensitive && !spec.BestEffortCPU && a.task.checkpoint == ""
}

// work returns the expected time of the run on the usual server; 0 if none is known or if the
// run does not measure its server's speed.
func (a *attempt) work() time.Duration {
	if !a.measuresSpeed() {
		return 0
	}
	st := a.task.step
	if work, ok := st.siblings.Work(a.server.number); ok {
		return work
	}
	return st.work()
}

// work returns the expected run time of a task of the step on the usual server.
func (s *step) work() time.Duration {
	if work, ok := s.siblings.Work(anySession); ok {
		return work
	}
	if runs := s.job().runs; runs != nil {
		return runs.usual.Work(s.spec.Estimate)
	}
	return s.spec.Estimate
}

// expectedWork returns the expected time on the usual server of a run of the step's tasks, and
// by which factor that may be wrong. The step's runs under the given session do not count, since
// all of them took long if its server is slow. It reports false if only the declared time is
// known.
func (s *step) expectedWork(session uint64) (work time.Duration, uncertainty float64, known bool) {
	if work, ok := s.siblings.Work(session); ok {
		return work, 1, true
	}
	runs := s.job().runs
	if runs == nil || !runs.usual.Known() {
		return 0, 0, false
	}
	return runs.usual.CautiousWork(s.spec.Estimate), runs.usual.Uncertainty(), true
}

// reviewSpeeds updates what is known of the servers' speeds once every speedInterval.
func (c *Core) reviewSpeeds() {
	if c.now.Sub(c.speedsReviewedAt) < speedInterval {
		return
	}
	c.speedsReviewedAt = c.now
	c.observeRunningTimes()
	c.classifyServers()
}

// observeRunningTimes takes the ages of runs in progress into account: on a server that became
// slow the first run ends late.
func (c *Core) observeRunningTimes() {
	var inProgress []speed.Running
	for _, s := range c.servers {
		inProgress = inProgress[:0]
		for _, a := range s.attempts {
			age := c.now.Sub(a.sentAt)
			if a.state != running || 2*age < a.task.step.expectedRunTime() {
				// It is not overdue by any measure.
				continue
			}
			c.numberStep(a.task.step)
			inProgress = append(inProgress, speed.Running{Group: a.task.step.number, Expected: a.work(), Age: age})
		}
		slices.SortFunc(inProgress, func(x, y speed.Running) int { return cmp.Or(cmp.Compare(y.Age, x.Age), cmp.Compare(x.Group, y.Group)) })
		s.speed.SetOverdue(inProgress, c.now)
	}
}

// classifyServers determines the speed classes of all servers, each in comparison with the
// others of its service, and whether the servers of a service are unequal.
func (c *Core) classifyServers() {
	estimators := make(map[string][]*speed.Estimator)
	for _, s := range c.servers {
		estimators[s.info.Service] = append(estimators[s.info.Service], &s.speed)
	}
	bases := make(map[string]float64, len(estimators))
	for service, of := range estimators {
		bases[service] = speed.Base(of, c.now)
		known := c.speedsOf(service)
		known.servers, known.slow, known.different, known.unequal = len(of), 0, 0, false
	}
	for _, s := range c.servers {
		class := s.speed.Class(c.now, bases[s.info.Service])
		c.classify(s, class)
		if known := c.speedsOf(s.info.Service); class != 0 && !s.slow() {
			known.different++
			known.unequal = known.different >= max(known.servers/minDifferentDivisor, 1)
		}
	}
}

// classify sets the class of a server. Only a change between slow and not slow is counted and
// logged, since other classes change the order of preference alone.
func (c *Core) classify(s *server, class int) {
	if speed.Slow(class) != s.slow() {
		c.metric.serverSpeedChanges.Inc()
		c.log.Log(events.ServerSpeedChanged, "server", s.info.ID, "slow", speed.Slow(class), "class", class, "attempts", len(s.attempts))
	}
	s.speedClass = class
	if s.slow() {
		c.speedsOf(s.info.Service).slow++
	}
}

// slow reports whether placement avoids the server for its speed.
func (s *server) slow() bool { return speed.Slow(s.speedClass) }

// speedChoice is the order in which a step prefers servers by their speeds.
type speedChoice struct {
	speed.Choice
	// active is set if there is anything to choose.
	active bool
}

// speedChoiceOf returns the choice of a step. Consecutive calls for the same step compute it
// once, since each pair of servers that is compared asks for it.
func (p *placementPass) speedChoiceOf(st *step) speedChoice {
	if p.choiceFor == st && p.choiceAt.Equal(p.core.now) {
		return p.choice
	}
	c, j := p.core, st.job()
	known := c.speedsOf(j.sub.Service)
	p.choiceFor, p.choiceAt, p.choice = st, c.now, speedChoice{active: known.unequal}
	if !known.unequal {
		return p.choice
	}
	p.choice.Choice = speed.NewChoice(known.objectives.Yields(queueKey(j.sub)), st.work(), p.timeLeft(st))
	return p.choice
}

// compareSpeed returns a negative number if the step prefers server a for its speed.
func (p *placementPass) compareSpeed(st *step, a, b *server) int {
	if a.speedClass == b.speedClass {
		return 0
	}
	if choice := p.speedChoiceOf(st); choice.active {
		return choice.Compare(a.speedClass, b.speedClass)
	}
	return compareBool(a.slow(), b.slow())
}

// avoidsSlow reports whether a step waits rather than use a slow server: if most servers are
// not slow, and for at most the time after it became ready that a run on a usual server saves,
// see speed.SlowWait.
func (p *placementPass) avoidsSlow(st *step) bool {
	known := p.core.speedsOf(st.job().sub.Service)
	return known.slow > 0 && 2*known.slow < known.servers && p.core.now.Sub(st.readyAt) < speed.SlowWait(st.work())
}

// similarServers returns those of the servers on which a gang's members should run: of
// similar speed, with room for need members.
func (p *placementPass) similarServers(st *step, servers []*server, need int) []*server {
	choice := p.speedChoiceOf(st)
	if !choice.active {
		return servers
	}
	slots := make(map[int]int)
	for _, s := range servers {
		slots[s.speedClass] += p.availableSlots(st, s)
	}
	available := make([]speed.ClassSlots, 0, len(slots))
	for class, n := range slots {
		available = append(available, speed.ClassSlots{Class: class, Slots: n})
	}
	low, high, ok := choice.Range(available, need)
	if !ok {
		return servers
	}
	var out []*server
	for _, s := range servers {
		if s.speedClass >= low && s.speedClass <= high {
			out = append(out, s)
		}
	}
	return out
}
