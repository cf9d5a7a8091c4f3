package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	// lookWait is how long a look waits for an end. A lost answer hides the ends
	// on its server for this long and lookSlack. Leases are renewed by looks,
	// so that it is well below a lease.
	lookWait = time.Second
	// lookRetryMS is the pause before a look without an answer is sent again.
	lookRetryMS = 50
	// evacuationTime is left of a leaving server's time for a stop, its grace and
	// the look that lists the checkpoint, each repeated once.
	evacuationTime = 1500 * time.Millisecond
	// renewAfter is the longest time without a look at a server that holds work
	// while its ends cannot be stored.
	renewAfter = 200 * time.Millisecond
	// faultLimit is how many submissions in a row may fail on a server before it
	// rests: where one in twenty fails by itself, that many hardly do by chance.
	faultLimit = 3
	// minRest is the first rest of a server on which everything fails, and maxRest
	// the longest.
	minRest = 2 * time.Second
	maxRest = 16 * time.Second
	// maxDoublings of minRest are beyond maxRest.
	maxDoublings = 3
)

// holdsNothing reports whether it is certain that nothing runs on the server and
// that no order under way can begin anything: each was answered, and those in
// doubt were stopped. The server has been told of all its ends.
func (s *server) holdsNothing() bool {
	return s.known && len(s.attempts) == 0 && s.unknown == 0 && s.told >= s.seen
}

// look sends a look at a server unless one is under way or none is needed.
func (c *Core) look(s *server) { c.lookAfter(s, 0) }

func (c *Core) lookAfter(s *server, delayMS int) {
	if s.looking || s.holdsNothing() || !s.stored {
		return
	}
	s.looking = true
	l := PollRequest{Epoch: c.epoch}
	if s.known && c.sameLife(s) {
		l.AckedEnd = s.noted
	}
	s.telling = max(l.AckedEnd, s.told)
	if s.known {
		l.LeaseDeadlineMS = c.lease(s)
		if s.noted == s.seen && (len(s.attempts) > 0 || s.unknown > 0) {
			l.Wait = lookWait
		}
	}
	c.act(LookAt{To: s.life(), Look: l, DelayMS: delayMS})
}

// sameLife reports whether the server can only be in the life that answered
// last. The numbers of its ends mean others in its next life, which would drop
// them unread.
func (c *Core) sameLife(s *server) bool {
	return c.now.Sub(s.lookedAt) <= c.bounds.ReuseAfter/2
}

// Looked reports the outcome of a look that was sent at the given time.
func (c *Core) Looked(to Instance, sent time.Time, list PollResponse, err error) {
	s := c.servers[to.ID]
	if s == nil {
		return
	}
	s.looking = false
	if err != nil {
		c.lookFailed(s, err)
		return
	}
	if !s.silentSince.IsZero() {
		c.log.Log(events.ServerResponsive, "server", s.info.ID, "silent", c.now.Sub(s.silentSince).Milliseconds())
		s.silentSince = time.Time{}
		c.place = true
	}
	if s.info.Address != to.Address {
		// The entry has moved meanwhile; the new address is asked.
		c.look(s)
		return
	}
	s.told = s.telling
	c.enterLife(s, list)
	s.observe(list.ClockMS, c.now)
	c.takeEnds(s, list.Ended)
	c.takeRunning(s, sent, list.Running)
	if !s.known {
		s.known = true
		// An earlier owner may have sent the longest lease just before.
		s.until = max(s.until, list.ClockMS+c.longest.Milliseconds())
		c.place = true
	}
	s.lookedAt = c.now
	if s.noted == s.seen {
		c.look(s)
	}
}

func (c *Core) lookFailed(s *server, err error) {
	if verdict.ReasonOf(err) == ReasonFenced {
		c.fence(s)
		return
	}
	if s.silentSince.IsZero() {
		s.silentSince = c.now
		c.log.Log(events.ServerUnresponsive, "server", s.info.ID, "attempts", len(s.attempts), "reason", string(verdict.ReasonOf(err)), "error", err.Error())
	}
	if verdict.ReasonOf(err) == ReasonWrongInstance {
		c.endLife(s)
	}
	if !s.listed && c.now.After(s.lapsed()) {
		c.forget(s)
		return
	}
	c.lookAfter(s, lookRetryMS)
}

// enterLife notices a server that began anew under its ID.
func (c *Core) enterLife(s *server, list PollResponse) {
	if list.StartedAtMS == 0 || list.StartedAtMS == s.born {
		return
	}
	if s.born != 0 {
		c.log.Log(events.ServerRestarted, "server", s.info.ID, "born", list.StartedAtMS, "before", s.born, "attempts", len(s.attempts))
		s.seen, s.noted, s.told = 0, 0, 0
		s.until = list.ClockMS + c.longest.Milliseconds()
		here := make(map[runKey]bool)
		for _, r := range list.Running {
			here[runKey{r.Task, r.Run}] = true
		}
		for key, a := range s.attempts {
			if !here[key] && a.state != ordered {
				c.lose(a, "server began anew")
			}
		}
	}
	s.born = list.StartedAtMS
}

// endLife releases what ran on a life that is over for certain.
func (c *Core) endLife(s *server) {
	for _, a := range s.attempts {
		c.lose(a, "the server's life is over")
	}
	s.known = false
	s.seen, s.noted, s.told, s.born = 0, 0, 0, 0
	s.until = s.clock
	c.look(s)
}

// takeEnds deals with the ends that were not seen before.
func (c *Core) takeEnds(s *server, ends []RunEnd) {
	for _, e := range ends {
		if e.Number <= s.seen {
			continue
		}
		s.seen = e.Number
		c.ended(s, e)
	}
	if s.seen > s.noted {
		c.noting[s] = s.seen
	}
	if s.faults >= faultLimit {
		faults := s.faults
		c.log.Log(events.ServerQuarantined, "server", s.info.ID, "faults", faults, "rest", s.rest(c.now).Milliseconds())
	}
}

// takeRunning compares the server's list with the book.
func (c *Core) takeRunning(s *server, sent time.Time, list []ActiveRun) {
	here := make(map[runKey]bool, len(list))
	s.unknown = 0
	for _, r := range list {
		key := runKey{r.Task, r.Run}
		here[key] = true
		if a := s.attempts[key]; a != nil {
			c.confirm(a, r)
			continue
		}
		c.adopt(s, r)
	}
	for key, a := range s.attempts {
		if !here[key] && !a.answered.IsZero() && a.answered.Before(sent) {
			c.lose(a, "not in the server's list")
		}
	}
}

func (c *Core) confirm(a *attempt, r ActiveRun) {
	if a.state == ordered {
		c.startTaken(a, 0)
	}
	if r.Checkpoint != "" {
		c.saved(a.task, r.Checkpoint)
	}
}

// adopt takes a run that an earlier owner started into the book, or stops it.
func (c *Core) adopt(s *server, r ActiveRun) {
	var t *task
	if j := c.jobs[r.Task.Submission]; j != nil {
		t = j.task(r.Task)
	}
	if t == nil {
		s.unknown++
		c.act(StopTask{To: s.life(), Order: Order{Task: r.Task, Run: r.Run, Epoch: c.epoch}})
		c.log.Log(events.RunOrphaned, "task", r.Task.String(), "run", r.Run, "server", s.info.ID)
		return
	}
	a := &attempt{task: t, run: r.Run, server: s, state: running, sent: c.now, answered: c.now, need: t.step.spec.Reserved()}
	s.reserve(a)
	t.step.onServer[s]++
	t.run = max(t.run, r.Run)
	c.log.Log(events.RunAdopted, "task", r.Task.String(), "run", r.Run, "server", s.info.ID)
	if t.done || t.cur != nil || t.step.job().ending != "" {
		c.stop(a)
		return
	}
	t.cur = a
	t.step.job().started = true
	c.confirm(a, r)
}

// SetServers takes in the platform's list.
func (c *Core) SetServers(list []ServerInfo) {
	c.listRead = true
	listed := make(map[string]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		c.setServer(info)
	}
	for id, s := range c.servers {
		if !listed[id] && s.listed {
			s.listed = false
			c.log.Log(events.ServerUnlisted, "server", id, "attempts", len(s.attempts))
			c.lookAfter(s, 0)
		}
	}
	c.place = true
}

func (c *Core) setServer(info ServerInfo) {
	s := c.servers[info.ID]
	if s == nil && info.Draining {
		// No owner has left anything there, and nothing may start.
		return
	}
	if s == nil {
		s = newServer(info)
		c.servers[info.ID] = s
		c.log.Log(events.ServerListed, "server", info.ID, "service", info.Service, "zone", info.Zone, "cpu", info.Capacity.CPU)
	}
	s.resize(info.Capacity)
	moved := s.info.Address != info.Address || info.StartedAtMS != 0 && s.born != 0 && info.StartedAtMS != s.born
	if info.Draining && !s.info.Draining {
		c.log.Log(events.ServerDraining, "server", info.ID, "attempts", len(s.attempts), "remainingMS", info.Remaining.Milliseconds())
	}
	said := info.Remaining != s.info.Remaining || !s.info.Draining
	if info.Draining && info.Remaining > 0 && said {
		s.leavesAt = c.now.Add(info.Remaining)
	}
	s.info, s.listed = info, true
	if !s.stored {
		kept := workload.ServerRecord{Service: info.Service, Address: info.Address}
		c.write([]partition.Record{recordOf(keyServer, info.ID, kept)}, func() {
			s.stored = true
			c.look(s)
		})
	}
	if moved {
		s.known = false
	}
	c.look(s)
}

// forget drops a server that the platform does not list and that holds nothing.
func (c *Core) forget(s *server) {
	for _, a := range s.attempts {
		c.lose(a, "lease lapsed on a server that left")
	}
	delete(c.servers, s.info.ID)
	c.write([]partition.Record{dropped(keyServer, s.info.ID)}, nil)
	c.log.Log(events.ServerRemoved, "server", s.info.ID)
	c.place = true
}

// Tick deals with what only time brings.
func (c *Core) Tick() {
	for _, s := range c.servers {
		c.checkServer(s)
	}
	c.beginDue()
	c.checkGangs()
	c.expire()
	if len(c.queued) > 0 {
		c.place = true
	}
}

func (c *Core) checkServer(s *server) {
	silent := !s.silentSince.IsZero()
	if silent && len(s.attempts) > 0 && c.now.After(s.lapsed()) {
		for _, a := range s.attempts {
			c.lose(a, "lease lapsed")
		}
		s.known = false
	}
	if c.leftEmpty(s) {
		c.forget(s)
		return
	}
	c.evacuate(s)
	if !s.looking && c.now.Sub(s.lookedAt) > renewAfter {
		c.look(s)
	}
}

// leftEmpty reports whether a server that gets nothing more holds nothing. Its
// record would keep the next owner waiting for it.
func (c *Core) leftEmpty(s *server) bool {
	if !c.listRead || !s.stored || s.listed && !s.info.Draining {
		return false
	}
	return s.holdsNothing() || !s.listed && len(s.attempts) == 0 && c.now.After(s.lapsed())
}

// evacuate stops the tasks of a leaving server that would lose their work with
// it, in time for their checkpoints to be listed. Others may still end by
// themselves.
func (c *Core) evacuate(s *server) {
	if !s.info.Draining || s.leavesAt.IsZero() || c.now.Before(s.leavesAt.Add(-evacuationTime)) {
		return
	}
	for _, a := range s.attempts {
		if a.state == running && a.task.step.spec.Checkpoints {
			c.log.Log(events.TaskEvacuated, "task", a.task.id().String(), "run", a.run, "server", s.info.ID, "leavesMS", s.leavesAt.Sub(c.now).Milliseconds())
			c.stop(a)
		}
	}
}

// beginDue begins the occurrences whose time has come.
func (c *Core) beginDue() {
	rest := c.timed[:0]
	for _, o := range c.timed {
		switch {
		case o.job.ending != "":
		case o.job.sub.Due(o.index) <= c.wall:
			c.begin(o)
		default:
			rest = append(rest, o)
		}
	}
	c.timed = rest
}

// recover notices when no earlier owner's run can be hidden any more.
func (c *Core) recover() {
	if c.recovered {
		return
	}
	for _, s := range c.servers {
		if s.stored && !s.known && s.until > 0 && c.now.Before(s.lapsed()) {
			return
		}
	}
	c.recovered = true
	c.place = true
	c.log.Log(events.OwnerRecovered, "epoch", c.epoch, "took", c.now.Sub(c.started).Milliseconds(), "servers", len(c.servers), "jobs", len(c.jobs))
}

// LookAtAll looks at every server, once an owner has begun.
func (c *Core) LookAtAll() {
	for _, s := range c.servers {
		c.look(s)
	}
}
