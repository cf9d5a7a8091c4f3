package scheduler

import (
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/placement/delay"
)

// Tasks run faster in the rack of their data, or of their step's other tasks: their preferred
// rack, in which servers are local and slots are local slots. A task that could start on a
// remote server waits for a local slot while it expects to end earlier that way. It reserves
// nothing meanwhile: the remote slot goes to others, and so does a local slot for which a
// step that comes first in placement order has a task.

// maxLocalServers bounds the local servers without free capacity that a policy request names
// in addition, since each server adds to the time until the answer.
const maxLocalServers = 8

// preferredRack returns the label of the rack in which the step's tasks run faster; empty if
// there is none.
func (st *step) preferredRack() string {
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

// remote reports whether the server is outside the rack in which the step's tasks run faster.
func (c *Core) remote(st *step, s *server) bool {
	if c.bounds.RemoteFactor <= 1 {
		return false
	}
	rack := st.preferredRack()
	return rack != "" && !s.hasLabel(rack)
}

// groupServers returns the servers of one rack with room for all tasks of a step that should
// run in one rack and has no run yet, or all given servers.
func (p *placementPass) groupServers(st *step, servers []*server, need int) []*server {
	if p.core.bounds.RemoteFactor <= 1 || !st.spec.RackSensitive || st.preferredRack() != "" {
		return servers
	}
	if one := p.singleRack(st, servers, need); one != nil {
		return one
	}
	return servers
}

// shouldWaitForLocalSlot reports whether a task should wait rather than start on a remote
// server now, since a local slot is expected soon enough.
func (p *placementPass) shouldWaitForLocalSlot(t *task, s *server) bool {
	c, st := p.core, t.step
	if !c.remote(st, s) || st.job().inherited && st.job().live == 0 || st.spec.LongRunning {
		return false
	}
	slots := p.localSlotsOf(st)
	taken := p.localSlotsTaken + st.localityTasks
	if taken >= len(slots) {
		return false
	}
	var waited time.Duration
	if !st.localityWaitSince.IsZero() {
		waited = c.now.Sub(st.localityWaitSince)
	}
	wait := delay.Task{LocalTime: st.work(), RemoteFactor: c.bounds.RemoteFactor, Waited: waited, Left: p.timeLeft(st)}
	return wait.Waits(slots[taken])
}

// waitForLocalSlot lets one more task of the step wait for a local slot.
func (c *Core) waitForLocalSlot(st *step) {
	if st.localityWaitSince.IsZero() {
		st.localityWaitSince = c.now
	}
	st.localityTasks++
	if !st.inLocalityWaits {
		st.inLocalityWaits = true
		c.localityWaits = append(c.localityWaits, st)
	}
}

// waitingTasksBefore counts the tasks of earlier steps that wait for the same local slots as
// those of a step: slots of the same service in the same rack.
func (c *Core) waitingTasksBefore(st *step) int {
	n, service, rack := 0, st.job().sub.Service, st.preferredRack()
	for _, o := range c.localityWaits {
		if o != st && o.queued && o.job().sub.Service == service && o.preferredRack() == rack && o.Compare(st) < 0 {
			n += o.localityTasks
		}
	}
	return n
}

// dropLocalityWaits removes the steps of which no task waits for a local slot any more.
func (c *Core) dropLocalityWaits() {
	c.localityWaits = slices.DeleteFunc(c.localityWaits, func(st *step) bool {
		st.inLocalityWaits = st.queued && st.localityTasks > 0
		return !st.inLocalityWaits
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

// localSlotsOf returns when local slots for the step's tasks are expected, the earliest first.
// At most one slot of each server is counted. Consecutive calls for the same step compute the
// slots once.
func (p *placementPass) localSlotsOf(st *step) []time.Duration {
	if p.localSlotsFor == st && p.localSlotsAt.Equal(p.core.now) {
		return p.localSlots
	}
	p.localSlotsFor, p.localSlotsAt, p.localSlots = st, p.core.now, p.localSlots[:0]
	p.localSlotsTaken = p.core.waitingTasksBefore(st)
	need := st.spec.Reserved()
	for _, s := range p.core.usableServers(st.job().sub.Service) {
		if !s.hasLabel(st.preferredRack()) || !s.hasLabel(st.spec.Label) || s.slow() || s.trial != nil || !need.Fits(s.info.Capacity) ||
			st.spec.MaxPerServer > 0 && st.attemptsPerServer[s] >= st.spec.MaxPerServer {
			continue
		}
		if _, ticketed := p.core.ticketFor(st, s); !ticketed {
			continue
		}
		if at, ok := p.untilFree(st, s); ok {
			p.localSlots = append(p.localSlots, at)
		}
	}
	slices.Sort(p.localSlots)
	return p.localSlots
}

// untilFree returns when a server is expected to have room for one more task of the step,
// beside what is held for gangs. CPU and memory may be freed by the ends of its runs; GPUs must
// be free now.
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
		if c.remote(a.task.step, s) {
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

// endLocalityWait ends the step's wait, since a task of it starts on the server.
func (c *Core) endLocalityWait(st *step, s *server) {
	if st.localityWaitSince.IsZero() {
		return
	}
	waited := c.now.Sub(st.localityWaitSince)
	st.localityWaitSince = time.Time{}
	if waited <= 0 {
		return
	}
	result := "local"
	if c.remote(st, s) {
		result = "remote"
	}
	c.metric.localityWaitEnded(result)
	c.log.Log(events.LocalityWaitEnded, "step", st.id().StepName(), "waited", waited.Milliseconds(), "server", s.info.ID, "local", result == "local")
}

// addLocalServers adds local servers without free capacity to those that a policy request
// names: the step waits only for servers on which it may run.
func (p *placementPass) addLocalServers(st *step, open []*server) []*server {
	rack := st.preferredRack()
	if p.core.bounds.RemoteFactor <= 1 || rack == "" {
		return open
	}
	out, added := slices.Clone(open), 0
	for _, s := range p.core.usableServers(st.job().sub.Service) {
		if added < maxLocalServers && s.hasLabel(rack) && s.hasLabel(st.spec.Label) && !st.authorization.decided(s) && !slices.Contains(open, s) {
			out = append(out, s)
			added++
		}
	}
	return out
}
