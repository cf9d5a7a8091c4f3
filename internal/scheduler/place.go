package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// runPlacement goes through the queued steps in placement order and places what
// fits.
func (c *Core) runPlacement() {
	if c.config == nil || !c.mayStartTasks() {
		return
	}
	// The pass is measured by the real clock; no decision depends on it.
	began := time.Now()
	c.dropPlacedSteps()
	c.sortQueued()
	p := &placementPass{
		core: c, held: make(map[*server]workload.Resources), heldBefore: c.heldForGangs, usable: make(map[string][]*server),
		holdable: make(map[string]int64), maxFree: make(map[string]workload.Resources), forecasts: make(map[string][]forecast),
	}
	p.applyReservations(c.queued)
	c.startsHeld = false
	placed := c.placement.starts
	end := passDone
	for _, st := range c.queued {
		if c.startRoom <= 0 {
			c.holdStarts()
			end = passStartRoom
			break
		}
		p.count.steps++
		switch {
		case !p.worthTrying(st):
		case c.mayStart(st):
			p.place(st)
		default:
			p.requestAhead(st)
		}
	}
	c.heldForGangs = p.held
	c.dropPlacedSteps()
	c.backlog.queueSorted()
	p.count.placed = c.placement.starts - placed
	c.placement.passEnded(c, p.count, end, time.Since(began))
}

// dropPlacedSteps removes steps without tasks to place from the queue.
func (c *Core) dropPlacedSteps() {
	kept := c.queued[:0]
	for _, st := range c.queued {
		if st.job().ending != "" || st.unplacedTasks() == 0 {
			st.queued = false
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
	return j.stored && (!j.inherited || c.recovered) && c.startsHere(j)
}

// placementPass is one pass of placement over the queue.
type placementPass struct {
	core *Core
	// held is the capacity held for gangs that are not placed yet, and
	// heldBefore that of the previous pass.
	held, heldBefore map[*server]workload.Resources
	heldCPU          int64
	// reservedCPU is the CPU of all reservations, in thousandths of a core.
	reservedCPU int64
	// holdable is the most CPU that may be held, by service.
	holdable map[string]int64
	// maxFree caches maxFreeOf by service.
	maxFree map[string]workload.Resources
	// forecasts caches serverForecasts by service.
	forecasts map[string][]forecast
	// choice is the speedChoice of the step choiceFor at the time choiceAt.
	choice    speedChoice
	choiceFor *step
	choiceAt  time.Time
	// nearSlots are the slots expected near the place of the step nearFor at the time nearAt,
	// and nearWaiters counts the tasks that wait for such slots, by place.
	nearSlots   []time.Duration
	nearFor     *step
	nearAt      time.Time
	nearWaiters map[string]int
	// usable caches the servers that accept tasks, by service.
	usable map[string][]*server
	count  passCount
}

func (p *placementPass) servers(service string) []*server {
	list, ok := p.usable[service]
	if ok {
		return list
	}
	for _, s := range p.core.servers {
		if s.info.Service == service && s.stored && s.usable(p.core.now) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(x, y *server) int { return cmp.Compare(x.info.ID, y.info.ID) })
	p.usable[service] = list
	return list
}

// worthTrying is a cheap check of whether a scan of all servers can help the
// step: a gang may hold capacity below the limit; a single task needs a server with
// enough free capacity and either a ticket or a request that may be sent.
func (p *placementPass) worthTrying(st *step) bool {
	if st.spec.Gang && (st.reserved != nil || p.heldCPU < p.maxHeldCPU(st)) {
		return true
	}
	if st.authorization.openRequests > 0 && len(st.authorization.tickets) == 0 {
		return false
	}
	return st.spec.Reserved().Fits(p.maxFreeOf(st.job().sub.Service))
}

// maxFreeOf returns, for each resource, the most that any server of the service
// has free. It is computed once a pass and is never too low, since a pass only
// uses up capacity.
func (p *placementPass) maxFreeOf(service string) workload.Resources {
	if most, ok := p.maxFree[service]; ok {
		return most
	}
	var most workload.Resources
	for _, s := range p.servers(service) {
		most.CPU = max(most.CPU, s.free.CPU)
		most.MemoryMB = max(most.MemoryMB, s.free.MemoryMB)
		most.GPU = max(most.GPU, s.free.GPU)
	}
	p.maxFree[service] = most
	return most
}

// candidates returns the servers that match the step's label, whatever their
// free capacity, without slow ones that the step does not use yet.
func (p *placementPass) candidates(st *step) []*server {
	var out []*server
	avoidsSlow := p.avoidsSlow(st)
	for _, s := range p.servers(st.job().sub.Service) {
		if s.hasLabel(st.spec.Label) && !(avoidsSlow && s.slow()) {
			out = append(out, s)
		}
	}
	return out
}

// fitCount returns how many more tasks of the step fit on s, given its free
// capacity.
func fitCount(st *step, s *server, free workload.Resources) int {
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
	return st.spec.Reserved().FitCount(free, limit)
}

// availableSlots returns how many more tasks of the step fit on s beside the
// capacity held for steps that come first.
func (p *placementPass) availableSlots(st *step, s *server) int {
	return fitCount(st, s, s.free.Minus(p.held[s]))
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

// serversWithCapacity lists the servers with capacity for the step, those among
// them with a valid ticket, and how many of its tasks fit on the latter.
func (p *placementPass) serversWithCapacity(st *step) (open, ticketed []*server, slots int) {
	for _, s := range p.candidates(st) {
		p.count.servers++
		n := p.availableSlots(st, s)
		if n == 0 {
			continue
		}
		open = append(open, s)
		if _, ok := p.core.ticketFor(st, s); ok {
			ticketed = append(ticketed, s)
			slots += n
		}
	}
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
		if p.waitsForNear(t, s) {
			need--
			continue
		}
		ticket, _ := c.ticketFor(st, s)
		c.start(t, s, t.run+1, ticket)
		need--
	}
	if need > 0 && st.job().queue.Policy != nil {
		p.requestTickets(st, need, p.withNear(st, open))
	}
}
