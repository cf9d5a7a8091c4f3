package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/internal/waitindex"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	// sortTimePerStep: the queue is sorted again at the earliest this long after the last
	// time for each queued step. Sorting takes a small part of that time for each step, so
	// that it does not dominate behind a long queue. Steps queued meanwhile are inserted.
	// After maxSortInterval it is sorted whatever its length, since shares and lateness
	// change.
	sortTimePerStep = 50 * time.Microsecond
	maxSortInterval = 200 * time.Millisecond
	// alwaysSorted is the length up to which the queue is sorted for each pass, since sorting
	// it costs little beside the pass.
	alwaysSorted = 64
	// forecastTimePerServer: forecasts are renewed at the earliest this long after the last
	// time for each server, since computing one looks at every run on its server.
	forecastTimePerServer = 70 * time.Microsecond
	// retryInterval is when a step is examined again that waits for what no event reports.
	retryInterval = 50 * time.Millisecond
	// maxGangInterval is when a gang that waits for capacity is planned anew at the latest,
	// since what is expected to be free soon changes with time alone. With few such gangs
	// it is gangTime for each, since a plan looks at all servers.
	maxGangInterval = 400 * time.Millisecond
	gangTime        = time.Millisecond
	// queuedStepsPerGang is the assumed number of queued steps for each gang that holds
	// nothing. It determines how often such a gang is examined because capacity of a single
	// server was freed: a plan looks at all servers, and that capacity is rarely enough.
	queuedStepsPerGang = 8
	// maxPassWork bounds a pass, so that polls and answers are handled in between, also on a
	// VM with a fraction of a core. Work is counted and not timed, so that no decision
	// depends on the speed of the machine.
	maxPassWork = 2_000_000
	// stepWork, serverWork and startWork are the relative costs of examining a step, of
	// examining a server for it, and of a start with its order.
	stepWork   = 1000
	serverWork = 40
	startWork  = 10_000
	// maxFreedPerStep bounds the servers with freed capacity for which a step is looked
	// up before the next step is examined: one step may use the capacity of several, so that
	// more look-ups would often find the same step.
	maxFreedPerStep = 8
)

// runPlacement examines the queued steps that something has changed for, in placement
// order, and places what fits. If the pass ends before all are examined, the next one
// continues.
func (c *Core) runPlacement() {
	if c.config == nil || !c.mayStartTasks() {
		return
	}
	// The pass is measured by the real clock; no decision depends on it.
	began := time.Now()
	if c.sortDue() {
		c.sortQueue()
	}
	c.noticeFreed()
	c.wakeDelayed()
	c.checkHolds()
	c.dropLocalityWaits()
	c.startsHeld = false
	p := &placementPass{core: c, maxFree: make(map[string]workload.Resources), placedBefore: c.placement.starts}
	end := p.run()
	p.count.placed = p.placed()
	c.placement.passEnded(c, p.count, end, time.Since(began))
}

// sortDue reports whether the queue is sorted before the next pass.
func (c *Core) sortDue() bool {
	interval := min(time.Duration(len(c.queued))*sortTimePerStep, maxSortInterval)
	return len(c.queued) <= alwaysSorted || c.now.Sub(c.sortedAt) >= interval
}

// run examines steps until none is left that something has changed for, no more starts can
// be sent, or the pass has taken long enough.
func (p *placementPass) run() passEnd {
	c := p.core
	for {
		p.wakeForFreed()
		c.wakeForCaps()
		st := p.next()
		switch {
		case st == nil:
			return passDone
		case c.startRoom <= 0:
			c.holdStarts()
			return passStartRoom
		case p.work() > maxPassWork:
			c.placementNeeded = true
			return passBudget
		}
		p.examine(st)
	}
}

// sortQueue drops the steps without tasks to place from the queue and sorts it.
func (c *Core) sortQueue() {
	c.sortedAt = c.now
	c.dropPlacedSteps()
	if c.sortQueued() {
		c.holdersMoved()
	}
	c.index.Rebuild(c.queued)
	c.sortCapQueues()
	c.backlog.queueSorted()
}

// dropPlacedSteps removes steps without tasks to place from the queue.
func (c *Core) dropPlacedSteps() {
	kept := c.queued[:0]
	for _, st := range c.queued {
		if st.job().ending != "" || st.unplacedTasks() == 0 {
			st.queued = false
			c.index.Remove(st)
			continue
		}
		kept = append(kept, st)
	}
	clear(c.queued[len(kept):])
	c.queued = kept
}

// mayStart reports whether tasks of the step may start now.
func (c *Core) mayStart(st *step) bool {
	j := st.job()
	return c.mayStartOrLeave(j) && !j.relocation.underWay
}

// mayStartOrLeave reports whether tasks of the job may start, here or in another shard.
func (c *Core) mayStartOrLeave(j *job) bool {
	return j.stored && (!j.inherited || c.recovered) && c.startsHere(j)
}

// placementPass is one pass of placement over the steps that something has changed for.
type placementPass struct {
	core *Core
	// maxFree caches maxFreeOf by service.
	maxFree map[string]workload.Resources
	// choice is the speedChoice of the step choiceFor at the time choiceAt.
	choice    speedChoice
	choiceFor *step
	choiceAt  time.Time
	// localSlots are the local slots expected for the step localSlotsFor at the time
	// localSlotsAt, and localSlotsTaken counts the tasks of earlier steps that wait for them.
	localSlots      []time.Duration
	localSlotsTaken int
	localSlotsFor   *step
	localSlotsAt    time.Time
	count           passCount
	// placedBefore counts the tasks that were placed before the pass.
	placedBefore int
}

// placed returns how many tasks the pass has placed so far.
func (p *placementPass) placed() int { return p.core.placement.starts - p.placedBefore }

// work returns the work of the pass so far.
func (p *placementPass) work() int {
	return stepWork*p.count.steps + serverWork*p.count.servers + startWork*p.placed()
}

// next returns the next step to examine, or nil.
func (p *placementPass) next() *step {
	c := p.core
	c.offerHoldRoom()
	if c.openRequests < c.maxOpenRequests() {
		st, _ := c.index.First(wakeNow, wakeOnClient)
		return st
	}
	st, _ := c.index.First(wakeNow)
	return st
}

// offerHoldRoom wakes as many gangs that wait to hold capacity as may try in place of what
// was released.
func (c *Core) offerHoldRoom() {
	for ; c.holdRoom > 0; c.holdRoom-- {
		if st, ok := c.index.First(wakeOnHold); ok {
			c.index.Wait(st, wakeNow)
		}
	}
}

// examine places what fits of a step, and then sets what it waits for.
func (p *placementPass) examine(st *step) {
	c := p.core
	p.count.steps++
	c.index.Wait(st)
	if st.job().ending == "" && st.unplacedTasks() > 0 {
		p.tryStep(st)
	}
	if st.job().ending != "" || st.unplacedTasks() == 0 {
		c.dropHold(st)
		return
	}
	p.setWaits(st)
	// What the step itself has released does not help it.
	st.entry.examinedAt = c.freedSeq
}

// tryStep places what fits of a step, or requests tickets for it. A gang that no longer plans
// on what is held for it holds nothing afterwards.
func (p *placementPass) tryStep(st *step) {
	c := p.core
	st.entry.wantsClient, st.entry.cappedNow = false, false
	st.holdRefused, st.localityTasks = false, 0
	if st.held != nil {
		st.held.renewed = false
	}
	switch {
	case !p.worthTrying(st) || c.onlyLacksClient(st):
	case c.mayStart(st):
		p.place(st)
	default:
		p.requestAhead(st)
	}
	if st.held != nil && !st.held.renewed && st.reserved == nil {
		c.dropHold(st)
	}
}

// setWaits sets what an examined step with tasks to place waits for.
func (p *placementPass) setWaits(st *step) {
	c := p.core
	switch {
	case c.startRoom <= 0:
		c.index.Wait(st, wakeNow)
	case st.entry.cappedNow && c.heldByCap(st):
		c.waitForCap(st)
	default:
		c.examineAgainAt(st, c.nextExamination(st))
		if reasons := c.waitReasons(st); len(reasons) > 0 {
			c.index.Wait(st, reasons...)
		}
		st.entry.gangAfter = c.now.Add(gangInterval(len(c.queued) / queuedStepsPerGang))
	}
}

// waitReasons returns what lets a step be examined again, beside the answers to its requests.
func (c *Core) waitReasons(st *step) []waitindex.Reason {
	a := &st.authorization
	unanswered := st.job().queue.Policy != nil && a.openRequests > 0 && len(a.tickets) == 0
	switch {
	case st.entry.wantsClient && (!c.mayStart(st) || len(a.tickets) == 0 || st.spec.Gang):
		return reasonsClient
	case !c.mayStart(st):
		return nil
	case st.entry.wantsClient:
		return reasonsClientOrCapacity
	case unanswered:
		return nil
	case st.holdRefused:
		return reasonsHold
	case st.held == nil:
		return reasonsCapacity
	}
	return nil
}

// The results of waitReasons, which is called for each step that a pass examines.
var (
	reasonsClient           = []waitindex.Reason{wakeOnClient}
	reasonsClientOrCapacity = []waitindex.Reason{wakeOnClient, wakeOnCapacity}
	reasonsHold             = []waitindex.Reason{wakeOnHold}
	reasonsCapacity         = []waitindex.Reason{wakeOnCapacity}
)

// worthTrying is a cheap check of whether a scan of all servers can help the
// step: a gang may hold capacity below the limit; a single task needs a server with
// enough free capacity and either a ticket or a request that may be sent.
func (p *placementPass) worthTrying(st *step) bool {
	c := p.core
	if st.spec.Gang && (st.reserved != nil || c.heldBefore(st) < c.maxHeldCPU(st)) {
		return true
	}
	if st.authorization.openRequests > 0 && len(st.authorization.tickets) == 0 {
		return false
	}
	if st.spec.Reserved().Fits(p.maxFreeOf(st.job().sub.Service)) {
		return true
	}
	st.holdRefused = st.spec.Gang
	return false
}

// onlyLacksClient reports whether nothing of the step can start or be held, since it needs
// an answer of the policy service first and no client is free.
func (c *Core) onlyLacksClient(st *step) bool {
	a := &st.authorization
	if st.job().queue.Policy == nil || a.openRequests > 0 || st.spec.Gang && len(a.decisions) > 0 || c.now.Add(ticketMargin).Before(a.validUntil) {
		return false
	}
	return !c.mayRequest(st) && st.entry.wantsClient
}

// maxFreeOf returns, for each resource, the most that any server of the service
// has free. It is computed once a pass and is never too low, since a pass only
// uses up capacity.
func (p *placementPass) maxFreeOf(service string) workload.Resources {
	if most, ok := p.maxFree[service]; ok {
		return most
	}
	var most workload.Resources
	for _, s := range p.core.usableServers(service) {
		most.CPU = max(most.CPU, s.free.CPU)
		most.MemoryMB = max(most.MemoryMB, s.free.MemoryMB)
		most.GPU = max(most.GPU, s.free.GPU)
	}
	p.maxFree[service] = most
	return most
}

// fitCount returns how many more tasks of the step fit on s, given its free
// capacity.
func fitCount(st *step, s *server, free workload.Resources) int {
	need := st.spec.Reserved()
	if !need.Fits(free) {
		return 0
	}
	if s.trial != nil && !(st.spec.Gang && s.trial.step == st) {
		return 0
	}
	limit := len(st.tasks)
	if st.spec.MaxPerServer > 0 {
		limit = st.spec.MaxPerServer - st.attemptsPerServer[s]
	}
	if limit <= 0 {
		return 0
	}
	return need.FitCount(free, limit)
}

// availableSlots returns how many more tasks of the step fit on s beside the
// capacity held for steps that come first.
func (p *placementPass) availableSlots(st *step, s *server) int {
	return fitCount(st, s, s.freeFor(st))
}

func (p *placementPass) place(st *step) {
	if st.spec.Gang {
		p.takeReservation(st)
		p.placeGang(st)
		return
	}
	p.tryTasks(st)
	p.placeTasks(st)
}

// requestAhead sends the policy request of a step that may not start yet, so
// that the answer is there when it may.
func (p *placementPass) requestAhead(st *step) {
	if st.job().queue.Policy == nil || st.job().stored {
		return
	}
	if st.spec.Gang {
		p.prepareGang(st, len(st.tasks))
		return
	}
	open, _, _ := p.serversWithCapacity(st)
	p.requestTickets(st, len(st.tasks), open)
}

// serversWithCapacity lists the servers with capacity for the step, without slow ones
// that it does not use yet, those among them with a valid ticket, and how many of its
// tasks fit on the latter. The lists are valid until the next call.
func (p *placementPass) serversWithCapacity(st *step) (open, ticketed []*server, slots int) {
	c := p.core
	open, ticketed = c.openBuffer[:0], c.ticketedBuffer[:0]
	need := st.spec.Reserved()
	servers := c.usableServers(st.job().sub.Service)
	p.count.servers += len(servers)
	avoidsSlow := p.avoidsSlow(st)
	for _, s := range servers {
		if !need.Fits(s.free) || avoidsSlow && s.slow() || !s.hasLabel(st.spec.Label) {
			continue
		}
		n := p.availableSlots(st, s)
		if n == 0 {
			continue
		}
		open = append(open, s)
		if _, ok := c.ticketFor(st, s); ok {
			ticketed = append(ticketed, s)
			slots += n
		}
	}
	c.openBuffer, c.ticketedBuffer = open, ticketed
	return open, ticketed, slots
}

// placeTasks places the tasks of a step one by one, but for those that need a trial.
func (p *placementPass) placeTasks(st *step) {
	c := p.core
	need := 0
	for i := range st.tasks {
		if t := &st.tasks[i]; t.needsPlacement() && !t.crashes.Suspect() {
			need++
		}
	}
	if need = c.tenants.allows(st, need); need == 0 {
		return
	}
	open, ticketed, _ := p.serversWithCapacity(st)
	ticketed = p.groupServers(st, ticketed, need)
	for i := range st.tasks {
		t := &st.tasks[i]
		if !t.needsPlacement() || t.crashes.Suspect() || c.now.Before(t.retryAt) {
			continue
		}
		if c.startRoom <= 0 {
			return
		}
		if need == 0 {
			break
		}
		s := p.best(t, ticketed)
		if s == nil {
			break
		}
		if p.shouldWaitForLocalSlot(t, s) {
			c.waitForLocalSlot(st)
			need--
			continue
		}
		ticket, _ := c.ticketFor(st, s)
		c.start(t, s, t.run+1, ticket)
		need--
	}
	if need > 0 && st.job().queue.Policy != nil {
		p.requestTickets(st, need, p.addLocalServers(st, open))
	}
}
