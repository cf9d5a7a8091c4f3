package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// gangHold is the capacity that is withheld from other steps for a gang that waits: from
// those that come later in placement order, or from all of them if it is reserved.
type gangHold struct {
	members  map[*server]int
	cpu      int64
	service  string
	reserved bool
	// plannedAt is when the members were assigned to the servers.
	plannedAt time.Time
	// renewed is set if the last examination of the gang has planned it again.
	renewed bool
}

// serverHold is the part of a gangHold on one server.
type serverHold struct {
	step     *step
	amount   workload.Resources
	reserved bool
}

// freeFor returns the server's free capacity minus what is held for steps that come before
// st, or reserved for other steps.
func (s *server) freeFor(st *step) workload.Resources {
	free := s.free
	for _, h := range s.holds {
		if h.step != st && (h.reserved || h.step.Compare(st) < 0) {
			free = free.Minus(h.amount)
		}
	}
	return free
}

// hold withholds the capacity of a gang's members from other steps, in place of what was
// held for it before.
func (c *Core) hold(st *step, members map[*server]int, reserved bool) {
	if old := st.held; old != nil {
		if old.reserved == reserved && maps.Equal(old.members, members) {
			old.plannedAt, old.renewed = c.now, true
			return
		}
		room := c.holdRoom
		c.dropHold(st)
		// What this gang held is held by it again.
		c.holdRoom = room
	}
	if len(members) == 0 {
		return
	}
	h := &gangHold{members: members, cpu: st.memberCPU(members), service: st.job().sub.Service, reserved: reserved, plannedAt: c.now, renewed: true}
	st.held = h
	c.holders = append(c.holders, st)
	for s, n := range members {
		amount := st.spec.Reserved().Scaled(n)
		s.holds = append(s.holds, serverHold{st, amount, reserved})
		c.heldForGangs[s] = c.heldForGangs[s].Plus(amount)
	}
}

// dropHold releases the capacity held for a gang. Only placement passes call it, since they
// then examine the steps that may use that capacity.
func (c *Core) dropHold(st *step) {
	h := st.held
	if h == nil {
		return
	}
	st.held = nil
	c.holders = slices.DeleteFunc(c.holders, func(o *step) bool { return o == st })
	for s, n := range h.members {
		s.holds = slices.DeleteFunc(s.holds, func(o serverHold) bool { return o.step == st })
		if len(s.holds) == 0 {
			delete(c.heldForGangs, s)
		} else {
			c.heldForGangs[s] = c.heldForGangs[s].Minus(st.spec.Reserved().Scaled(n))
		}
		c.capacityFreed(s)
	}
	c.holdRoom = holdsPerRelease
}

// holdsPerRelease is how many waiting gangs may try to hold capacity after a hold was
// released.
const holdsPerRelease = 2

// holdersMoved lets the steps be examined again that may come before a gang now, on the
// servers on which capacity is held for it.
func (c *Core) holdersMoved() {
	for _, st := range c.holders {
		for s := range st.held.members {
			c.capacityFreed(s)
		}
	}
}

// checkHolds ends the holds of gangs that no longer wait and the reservations that are
// over, and lets the gangs be examined whose plan is old.
func (c *Core) checkHolds() {
	replan := gangInterval(len(c.holders))
	for i := len(c.holders) - 1; i >= 0; i-- {
		st := c.holders[i]
		if st.reserved != nil && c.now.After(st.reserved.until) {
			st.reserved = nil
		}
		switch {
		case !st.queued || st.job().ending != "":
			c.dropHold(st)
		case st.held.reserved && st.reserved == nil:
			c.dropHold(st)
			c.wake(st)
		case !st.held.reserved && c.now.Sub(st.held.plannedAt) >= replan:
			c.wake(st)
		}
	}
}

// heldBefore returns the CPU that is held on the servers of the step's service for gangs
// that come before it.
func (c *Core) heldBefore(st *step) int64 {
	var sum int64
	for _, o := range c.holders {
		if o != st && !o.held.reserved && o.held.service == st.job().sub.Service && o.Compare(st) < 0 {
			sum += o.held.cpu
		}
	}
	return sum
}

// reservedCPU returns the CPU that is reserved on the servers of a service.
func (c *Core) reservedCPU(service string) int64 {
	var sum int64
	for _, o := range c.holders {
		if o.held.reserved && o.held.service == service {
			sum += o.held.cpu
		}
	}
	return sum
}

// dropLastHolds ends the holds of the last gangs in placement order while more than the
// limit is held on the servers of the step's service.
func (c *Core) dropLastHolds(st *step) {
	service, limit := st.job().sub.Service, c.maxHeldCPU(st)
	for {
		var sum int64
		var last *step
		for _, o := range c.holders {
			if o.held.reserved || o.held.service != service {
				continue
			}
			sum += o.held.cpu
			if o != st && (last == nil || o.Compare(last) > 0) {
				last = o
			}
		}
		if sum <= limit || last == nil || last.Compare(st) < 0 {
			return
		}
		room := c.holdRoom
		c.dropHold(last)
		// The room is taken by this step already.
		c.holdRoom = room
		c.index.Wait(last, wakeOnHold)
	}
}
