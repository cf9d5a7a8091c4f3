package scheduler

import (
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/placement/delay"
)

// Tasks run faster in the rack of their data, or of their step's other tasks. A task that
// could start away from there waits for a slot in that rack while that pays. It reserves
// nothing meanwhile: the far slot goes to others, and so does a near one if they come first.

// maxNearServers bounds the near servers without free capacity that a policy request names
// in addition.
const maxNearServers = 8

// placeOf returns the label of the rack in which the step's tasks run faster; empty if there
// is none.
func (st *step) placeOf() string {
	if st.spec.Rack != "" {
		return st.spec.Rack
	}
	return st.groupRack
}

// noteGroupRack notes the rack of the first run of a step whose tasks should run in one rack.
func (c *Core) noteGroupRack(st *step, s *server) {
	if c.bounds.RemoteFactor > 1 && st.spec.RackSensitive && !st.spec.Gang && st.spec.Rack == "" && st.groupRack == "" {
		st.groupRack = s.info.Rack()
	}
}

// far reports whether tasks of the step run slower on the server than near their place.
func (c *Core) far(st *step, s *server) bool {
	if c.bounds.RemoteFactor <= 1 {
		return false
	}
	place := st.placeOf()
	return place != "" && !s.hasLabel(place)
}

// groupServers returns the servers of one rack with room for all tasks of a step that should
// run in one rack and has no run yet, or all given servers.
func (p *placementPass) groupServers(st *step, servers []*server, need int) []*server {
	if p.core.bounds.RemoteFactor <= 1 || !st.spec.RackSensitive || st.placeOf() != "" {
		return servers
	}
	if one := p.singleRack(st, servers, need); one != nil {
		return one
	}
	return servers
}

// waitsForNear reports whether a task waits rather than start on a server away from its
// place, since a slot there is expected soon enough.
func (p *placementPass) waitsForNear(t *task, s *server) bool {
	c, st := p.core, t.step
	if !c.far(st, s) || st.job().inherited && st.job().live == 0 || st.spec.LongRunning {
		return false
	}
	if st.nearWaitSince.IsZero() {
		st.nearWaitSince = c.now
	}
	slots := p.nearSlotsOf(st)
	n := p.nearBefore + st.nearTasks
	if n >= len(slots) {
		return false
	}
	task := delay.Task{
		Near: st.work(), Factor: c.bounds.RemoteFactor, Waited: c.now.Sub(st.nearWaitSince), Left: p.timeLeft(st),
	}
	if !task.Waits(slots[n]) {
		return false
	}
	c.noteNearTask(st)
	return true
}

// noteNearTask counts a task of the step that waits for a slot near its place.
func (c *Core) noteNearTask(st *step) {
	if st.nearTasks++; !st.inNearSteps {
		st.inNearSteps = true
		c.nearSteps = append(c.nearSteps, st)
	}
}

// nearTasksBefore counts the tasks that wait for slots near the place of a step, of steps
// that come before it.
func (c *Core) nearTasksBefore(st *step) int {
	n, place := 0, st.placeOf()
	for _, o := range c.nearSteps {
		if o != st && o.queued && o.placeOf() == place && o.Compare(st) < 0 {
			n += o.nearTasks
		}
	}
	return n
}

// dropNearSteps removes the steps of which no task waits for a near slot any more.
func (c *Core) dropNearSteps() {
	c.nearSteps = slices.DeleteFunc(c.nearSteps, func(st *step) bool {
		st.inNearSteps = st.queued && st.nearTasks > 0
		return !st.inNearSteps
	})
}

// timeLeft returns the part of the time to the job's target that the step may take.
func (p *placementPass) timeLeft(st *step) time.Duration {
	j, work := st.job(), st.work()
	left := j.targetTime().Sub(p.core.now)
	if path := j.expectedCriticalPath(); path > work {
		left = time.Duration(float64(left) * float64(work) / float64(path))
	}
	return left
}

// nearSlotsOf returns when slots for the step's tasks are expected near its place, the first
// one at the front. Consecutive calls for the same step compute it once.
func (p *placementPass) nearSlotsOf(st *step) []time.Duration {
	if p.nearFor == st && p.nearAt.Equal(p.core.now) {
		return p.nearSlots
	}
	p.nearFor, p.nearAt, p.nearSlots = st, p.core.now, p.nearSlots[:0]
	p.nearBefore = p.core.nearTasksBefore(st)
	need := st.spec.Reserved()
	for _, s := range p.core.usableServers(st.job().sub.Service) {
		if !s.hasLabel(st.placeOf()) || !s.hasLabel(st.spec.Label) || s.slow() || s.trial != nil || !need.Fits(s.info.Capacity) ||
			st.spec.MaxPerServer > 0 && st.attemptsPerServer[s] >= st.spec.MaxPerServer {
			continue
		}
		if _, ticketed := p.core.ticketFor(st, s); !ticketed {
			continue
		}
		if at, ok := p.untilFree(st, s); ok {
			p.nearSlots = append(p.nearSlots, at)
		}
	}
	slices.Sort(p.nearSlots)
	return p.nearSlots
}

// untilFree returns when a server is expected to have room for one more task of the step,
// beside what is held for gangs.
func (p *placementPass) untilFree(st *step, s *server) (time.Duration, bool) {
	c, need := p.core, st.spec.Reserved()
	free := s.freeFor(st)
	runs := make([]delay.Run, 0, len(s.attempts))
	memory := make([]delay.Run, 0, len(s.attempts))
	for _, a := range s.attempts {
		if a.task.step.spec.LongRunning {
			continue
		}
		expected := a.task.step.work()
		if c.far(a.task.step, s) {
			expected = time.Duration(float64(expected) * c.bounds.RemoteFactor)
		}
		r := delay.Run{Age: c.now.Sub(a.sentAt), Expected: time.Duration(float64(expected) / s.speed.Speed(c.now)), Frees: a.need.CPU}
		runs = append(runs, r)
		r.Frees = a.need.MemoryMB
		memory = append(memory, r)
	}
	byCPU, ok := delay.UntilFree(need.CPU, free.CPU, runs)
	byMemory, alsoOK := delay.UntilFree(need.MemoryMB, free.MemoryMB, memory)
	return max(byCPU, byMemory), ok && alsoOK && need.GPU <= free.GPU
}

// noteNearWait notes the end of a step's wait: a task of it starts on the server.
func (c *Core) noteNearWait(st *step, s *server) {
	if st.nearWaitSince.IsZero() {
		return
	}
	waited := c.now.Sub(st.nearWaitSince)
	st.nearWaitSince = time.Time{}
	if waited <= 0 {
		return
	}
	result := "near"
	if c.far(st, s) {
		result = "far"
	}
	c.metric.nearWaitEnded(result)
	c.log.Log(events.NearWaitEnded, "step", st.id().StepName(), "waited", waited.Milliseconds(), "server", s.info.ID, "near", result == "near")
}

// withNear adds servers near the step's place without free capacity to those that a policy
// request names: the step waits only for servers that it may use.
func (p *placementPass) withNear(st *step, open []*server) []*server {
	place := st.placeOf()
	if p.core.bounds.RemoteFactor <= 1 || place == "" {
		return open
	}
	out, added := slices.Clone(open), 0
	for _, s := range p.core.usableServers(st.job().sub.Service) {
		if added < maxNearServers && s.hasLabel(place) && s.hasLabel(st.spec.Label) && !st.authorization.decided(s) && !slices.Contains(open, s) {
			out = append(out, s)
			added++
		}
	}
	return out
}
