package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	// gatherFraction is the part of the gang timeout in which missing members
	// may still be placed.
	gatherFraction = 0.5
)

// placeAll goes through the steps that wait, the most pressing first, and
// places what fits.
func (c *Core) placeAll() {
	if c.config == nil {
		return
	}
	c.dropSettled()
	c.sortQueued()
	p := &pass{
		core: c, held: make(map[*server]workload.Resources), before: c.held, usable: make(map[string][]*server),
		holdable: make(map[string]int64), most: make(map[string]workload.Resources), soon: make(map[string][]prospect),
	}
	p.applyReservations(c.queued)
	for _, st := range c.queued {
		switch {
		case !c.routed(st) || !p.promising(st):
		case c.mayPlace(st):
			p.place(st)
		default:
			p.askAhead(st)
		}
	}
	c.held = p.held
	c.dropSettled()
}

// dropSettled takes steps with nothing to place off the queue.
func (c *Core) dropSettled() {
	kept := c.queued[:0]
	for _, st := range c.queued {
		if st.job().ending != "" || st.waiting() == 0 {
			st.queued = false
			continue
		}
		kept = append(kept, st)
	}
	clear(c.queued[len(kept):])
	c.queued = kept
}

// routed reports whether the step's queue still leads to the servers that the
// submission was accepted for.
func (c *Core) routed(st *step) bool {
	sub := st.job().sub
	q, ok := c.config.Queue(sub.Queue)
	return ok && q.Service == sub.Service
}

// mayPlace reports whether anything of the step may start now.
func (c *Core) mayPlace(st *step) bool {
	j := st.job()
	return j.stored && (!j.inherited || c.recovered) && c.routed(st)
}

// urgency orders steps: by the queue's priority, then those that can still be in
// time before late ones, then those that must be done first.
type urgency struct {
	priority int
	late     int
	target   time.Time
	id       string
}

func (c *Core) urgencyOf(st *step) urgency {
	j := st.job()
	u := urgency{priority: j.queue.Priority, target: j.target(), id: j.sub.ID}
	if c.now.After(u.target) && !j.sub.Timed() {
		u.late = 1
	}
	return u
}

func (c *Core) sortQueued() {
	keys := make(map[*step]urgency, len(c.queued))
	for _, st := range c.queued {
		keys[st] = c.urgencyOf(st)
	}
	slices.SortFunc(c.queued, func(x, y *step) int {
		a, b := keys[x], keys[y]
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.late, b.late),
			a.target.Compare(b.target), cmp.Compare(a.id, b.id), cmp.Compare(x.index, y.index))
	})
}

// pass is one round of placements.
type pass struct {
	core *Core
	// held is the room kept for gangs that gather, and before that of the last
	// pass.
	held, before map[*server]workload.Resources
	heldCPU      int64
	// reservedCPU is the CPU of all reservations, in thousandths of a core.
	reservedCPU int64
	// holdable is the most CPU that may be held of each service.
	holdable map[string]int64
	// most is the roomiest of each service's servers.
	most map[string]workload.Resources
	// soon ranks each service's servers by the room that they will have.
	soon map[string][]prospect
	// usable lists the servers of each service that may get tasks.
	usable map[string][]*server
}

func (p *pass) servers(service string) []*server {
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

// promising reports, at little cost, whether a look at every server can be of
// use: a gang may hold room in any case, a single task needs a server with room
// and either a ticket or a question to put.
func (p *pass) promising(st *step) bool {
	if st.spec.Gang && (st.reserved != nil || p.heldCPU < p.maxHeld(st)) {
		return true
	}
	if st.advice.asking > 0 && len(st.advice.tickets) == 0 {
		return false
	}
	return st.spec.Reserved().Fits(p.roomiest(st.job().sub.Service))
}

// roomiest returns, for each resource, the most that any server has free. It is
// found once a pass, so that it is never too small.
func (p *pass) roomiest(service string) workload.Resources {
	if most, ok := p.most[service]; ok {
		return most
	}
	var most workload.Resources
	for _, s := range p.servers(service) {
		most.CPU = max(most.CPU, s.free.CPU)
		most.MemoryMB = max(most.MemoryMB, s.free.MemoryMB)
		most.GPU = max(most.GPU, s.free.GPU)
	}
	p.most[service] = most
	return most
}

// candidates returns the servers that may run the step, room aside.
func (p *pass) candidates(st *step) []*server {
	var out []*server
	for _, s := range p.servers(st.job().sub.Service) {
		if s.hasLabel(st.spec.Label) {
			out = append(out, s)
		}
	}
	return out
}

// slotsIn returns how many more tasks of the step s would hold with room free.
func slotsIn(st *step, s *server, free workload.Resources) int {
	limit := len(st.tasks)
	if st.spec.MaxPerServer > 0 {
		limit = st.spec.MaxPerServer - st.onServer[s]
	}
	if limit <= 0 {
		return 0
	}
	return st.spec.Reserved().FitCount(free, limit)
}

// slots returns how many more tasks of the step s has room for, beside what is
// held for more pressing gangs.
func (p *pass) slots(st *step, s *server) int { return slotsIn(st, s, s.free.Minus(p.held[s])) }

func (p *pass) place(st *step) {
	if st.spec.Gang {
		p.release(st)
		p.placeGang(st)
		return
	}
	p.placeTasks(st)
}

// askAhead puts the question of a step that may not start yet, so that the answer
// is there when it may.
func (p *pass) askAhead(st *step) {
	if st.job().queue.Policy == nil || st.job().stored {
		return
	}
	if st.spec.Gang {
		p.gather(st, len(st.tasks))
		return
	}
	open, _, _ := p.room(st)
	p.ask(st, len(st.tasks), open)
}

// room lists servers with room for the step, and how many of its tasks those
// with a valid ticket take.
func (p *pass) room(st *step) (open, ticketed []*server, slots int) {
	for _, s := range p.candidates(st) {
		n := p.slots(st, s)
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

// placeTasks places the tasks of a step one by one.
func (p *pass) placeTasks(st *step) {
	c := p.core
	need := 0
	for i := range st.tasks {
		if st.tasks[i].waits() {
			need++
		}
	}
	open, ticketed, _ := p.room(st)
	for i := range st.tasks {
		t := &st.tasks[i]
		if !t.waits() || c.now.Before(t.retryAt) {
			continue
		}
		s := p.best(t, ticketed)
		if s == nil {
			break
		}
		ticket, _ := c.ticketFor(st, s)
		c.start(t, s, t.run+1, ticket)
		need--
	}
	if need > 0 && st.job().queue.Policy != nil {
		p.ask(st, need, open)
	}
}

// best returns the fullest server that has room, one where the task has not
// failed and near the step's data if it can.
func (p *pass) best(t *task, servers []*server) *server {
	var best *server
	for _, s := range servers {
		if p.slots(t.step, s) == 0 {
			continue
		}
		if best == nil || p.better(t, s, best) {
			best = s
		}
	}
	return best
}

func (p *pass) better(t *task, a, b *server) bool {
	if an, bn := t.failedOn[a.info.ID], t.failedOn[b.info.ID]; an != bn {
		return bn
	}
	st := t.step
	if st.spec.Rack != "" {
		an, bn := a.hasLabel(st.spec.Rack), b.hasLabel(st.spec.Rack)
		if an != bn {
			return an
		}
	}
	if an, bn := p.wasHeld(a), p.wasHeld(b); an != bn {
		return bn
	}
	return a.free.CPU < b.free.CPU
}

// wasHeld reports whether the last pass held room on s for a gang.
func (p *pass) wasHeld(s *server) bool { return p.before[s].CPU > 0 }

// placeGang places all waiting members of a gang at once, or none. A member
// whose start was refused is placed again under the run of the others.
func (p *pass) placeGang(st *step) {
	c := p.core
	var missing []*task
	run, present := 0, 0
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.waits() {
			missing = append(missing, t)
			if c.now.Before(t.retryAt) {
				return
			}
			continue
		}
		present++
		if t.cur != nil {
			if t.cur.state == stopping {
				return
			}
			run = max(run, t.cur.run)
		}
	}
	if present > 0 && (run <= st.endedRun || c.now.After(st.gatherUntil)) {
		// The run is over, and the next begins once nothing is left of it.
		return
	}
	chosen := p.gangServers(st, len(missing))
	if chosen == nil {
		return
	}
	st.reserved = nil
	if present == 0 {
		run = st.gangRun()
		st.gatherUntil = c.now.Add(time.Duration(gatherFraction * float64(c.bounds.GangTimeout)))
	}
	for i, t := range missing {
		ticket, _ := c.ticketFor(st, chosen[i])
		c.start(t, chosen[i], run, ticket)
	}
}

// gangServers chooses a server for each of need members, or none. Then it asks
// for the tickets that are missing, and holds room for the gang.
func (p *pass) gangServers(st *step, need int) []*server {
	_, ticketed, slots := p.room(st)
	if slots >= need {
		return p.fill(st, ticketed, need)
	}
	p.gather(st, need)
	return nil
}

// fill spreads need members over servers, the fullest first; a rack-sensitive
// gang goes to one rack if one has room.
func (p *pass) fill(st *step, servers []*server, need int) []*server {
	if st.spec.RackSensitive || st.spec.Rack != "" {
		if one := p.oneRack(st, servers, need); one != nil {
			servers = one
		}
	}
	byRoom := slices.Clone(servers)
	slices.SortFunc(byRoom, func(x, y *server) int {
		return cmp.Or(cmp.Compare(x.free.CPU, y.free.CPU), cmp.Compare(x.info.ID, y.info.ID))
	})
	var chosen []*server
	for _, s := range byRoom {
		for n := p.slots(st, s); n > 0 && len(chosen) < need; n-- {
			chosen = append(chosen, s)
		}
	}
	return chosen
}

// oneRack returns the servers of a rack with room for all, that of the step's
// data first.
func (p *pass) oneRack(st *step, servers []*server, need int) []*server {
	racks := make(map[string][]*server)
	for _, s := range servers {
		racks[s.info.Rack()] = append(racks[s.info.Rack()], s)
	}
	names := make([]string, 0, len(racks))
	for name := range racks {
		names = append(names, name)
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(-compareBool(x == st.spec.Rack, y == st.spec.Rack), cmp.Compare(x, y))
	})
	for _, name := range names {
		room := 0
		for _, s := range racks[name] {
			room += p.slots(st, s)
		}
		if room >= need {
			return racks[name]
		}
	}
	return nil
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	default:
		return -1
	}
}

// checkGangs gives up runs of gangs whose members did not all get a place.
func (c *Core) checkGangs() {
	for _, st := range c.queued {
		if !st.spec.Gang || !c.recovered && st.job().inherited {
			continue
		}
		waiting := st.waiting()
		if waiting == 0 || waiting == len(st.tasks) || c.now.Before(st.gatherUntil) || !st.stands() {
			continue
		}
		c.log.Log(events.GangIncomplete, "step", st.id().StepName(), "missing", waiting, "members", len(st.tasks))
		c.breakGang(st)
	}
}
