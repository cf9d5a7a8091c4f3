package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
)

// gangFormationFraction is the fraction of the gang timeout within which missing
// members may still be placed.
const gangFormationFraction = 0.5

// placeGang places all missing members of a gang at once, or none. A member
// whose start was refused joins the run of the others.
func (p *placementPass) placeGang(st *step) {
	c := p.core
	suspect := st.tasks[0].crashes.Suspect()
	if suspect && !c.mayTry(st) {
		return
	}
	var missing []*task
	run, present := 0, 0
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.needsPlacement() {
			missing = append(missing, t)
			if c.now.Before(t.retryAt) {
				return
			}
			continue
		}
		present++
		if t.attempt != nil {
			if t.attempt.state == stopping {
				return
			}
			run = max(run, t.attempt.run)
		}
	}
	if present > 0 && (run <= st.lastEndedRun || c.now.After(st.formationDeadline)) {
		// The run has ended or failed to form. The next one begins once no
		// member of it is left.
		return
	}
	if c.tenants.allows(st, len(missing)) < len(missing) {
		st.reserved = nil
		return
	}
	chosen := p.gangServers(st, len(missing))
	if chosen == nil {
		return
	}
	st.reserved = nil
	c.dropHold(st)
	if present == 0 {
		run = st.nextGangRun()
		st.formationDeadline = c.formationDeadline()
	}
	if suspect && st.trial == nil {
		c.beginTrial(st, missing, chosen, run)
		return
	}
	for i, t := range missing {
		ticket, _ := c.ticketFor(st, chosen[i])
		c.start(t, chosen[i], run, ticket)
	}
}

// formationDeadline returns when a gang that starts now is stopped if members are
// still missing.
func (c *Core) formationDeadline() time.Time {
	return c.now.Add(time.Duration(gangFormationFraction * float64(c.bounds.GangTimeout)))
}

// gangServers chooses a server for each of need members. If they do not fit, it
// returns nil, holds capacity for the gang and requests the missing tickets.
func (p *placementPass) gangServers(st *step, need int) []*server {
	_, ticketed, slots := p.serversWithCapacity(st)
	if slots >= need {
		return p.packGang(st, ticketed, need)
	}
	p.prepareGang(st, need)
	return nil
}

// packGang assigns need members to servers of similar speed, the fullest server first. A
// rack-sensitive gang goes to a single rack if one has capacity.
func (p *placementPass) packGang(st *step, servers []*server, need int) []*server {
	if st.spec.RackSensitive || st.spec.Rack != "" {
		if one := p.singleRack(st, servers, need); one != nil {
			servers = one
		}
	}
	inOrder := slices.Clone(p.similarServers(st, servers, need))
	slices.SortFunc(inOrder, func(x, y *server) int {
		return cmp.Or(cmp.Compare(x.free.CPU, y.free.CPU), cmp.Compare(x.info.ID, y.info.ID))
	})
	if st.tasks[0].crashes.Suspect() {
		p.sortForTrial(st, inOrder)
	}
	var chosen []*server
	for _, s := range inOrder {
		for n := p.availableSlots(st, s); n > 0 && len(chosen) < need; n-- {
			chosen = append(chosen, s)
		}
	}
	return chosen
}

// singleRack returns the servers of a rack that fits all members; the rack of
// the step's data comes first.
func (p *placementPass) singleRack(st *step, servers []*server, need int) []*server {
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
		capacity := 0
		for _, s := range racks[name] {
			capacity += p.availableSlots(st, s)
		}
		if capacity >= need {
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

// stopIncompleteGangs stops gangs whose members were not all placed by the
// formation deadline.
func (c *Core) stopIncompleteGangs() {
	for _, st := range c.queued {
		if !st.spec.Gang || !c.recovered && st.job().inherited {
			continue
		}
		waiting := st.unplacedTasks()
		if waiting == 0 || waiting == len(st.tasks) || c.now.Before(st.formationDeadline) || !st.hasActiveMember() {
			continue
		}
		c.log.Log(events.GangIncomplete, "step", st.id().StepName(), "missing", waiting, "members", len(st.tasks))
		c.stopGang(st)
	}
}
