package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// serverPool holds the servers of one service by ID.
type serverPool struct {
	servers []*server
	// usable are those that accept tasks, as of the last placement pass.
	usable []*server
	// capacity is the CPU of the usable ones, in thousandths of a core.
	capacity int64
	// forecasts were computed at forecastAt.
	forecasts  []forecast
	forecastAt time.Time
	// changed is set if the usable servers changed since.
	changed bool
}

// usableServers returns the servers of a service that accepted tasks when the last pass
// began, by ID.
func (c *Core) usableServers(service string) []*server {
	if p := c.pools[service]; p != nil {
		return p.usable
	}
	return nil
}

// sortServers renews the pools after a change of the list of servers. They are in the order of
// the servers' IDs, so that placement does not depend on the order of a map.
func (c *Core) sortServers() {
	c.serversChanged = false
	c.pools = make(map[string]*serverPool)
	for _, s := range c.servers {
		p := c.pools[s.info.Service]
		if p == nil {
			p = &serverPool{}
			c.pools[s.info.Service] = p
		}
		p.servers = append(p.servers, s)
	}
	for _, p := range c.pools {
		slices.SortFunc(p.servers, func(x, y *server) int { return cmp.Compare(x.info.ID, y.info.ID) })
	}
}

// noticeFreed finds the servers with more free capacity than when the waiting steps were last
// examined for them, whatever the cause: the end of a run, of a trial or of a backoff, or a
// new server.
func (c *Core) noticeFreed() {
	if c.serversChanged {
		c.sortServers()
	}
	for _, p := range c.pools {
		before := p.usable
		p.usable, p.capacity = p.usable[:0], 0
		for _, s := range p.servers {
			var free workload.Resources
			if s.stored && s.usable(c.now) {
				if n := len(p.usable); n >= len(before) || before[n] != s {
					p.changed = true
				}
				p.usable = append(p.usable, s)
				p.capacity += s.info.Capacity.CPU
				if s.trial == nil {
					free = s.free
				}
			}
			if !free.Fits(s.seenFree) {
				c.capacityFreed(s)
			}
			s.seenFree = free
		}
		p.changed = p.changed || len(p.usable) != len(before)
	}
}

// capacityFreed records that a server has more free capacity. Steps that were examined before
// have not seen it, so that they are examined for it again.
func (c *Core) capacityFreed(s *server) {
	c.freedSeq++
	s.freedAt = c.freedSeq
	if !s.inFreed {
		s.inFreed = true
		c.freed = append(c.freed, s)
	}
}

// wakeForFreed wakes the first step in order that may use freed capacity, for each of the first
// maxFreedPerStep servers with some. A server is kept until no step may use what it has, since
// the first step may leave some of it.
func (p *placementPass) wakeForFreed() {
	c := p.core
	kept, seen := c.freed[:0], 0
	for _, s := range c.freed {
		if seen == maxFreedPerStep {
			kept = append(kept, s)
			continue
		}
		gang, st := p.gangFor(s), p.stepFor(s)
		if gang == nil && st == nil {
			s.inFreed = false
			continue
		}
		if gang != nil {
			c.wake(gang)
		}
		if st != nil {
			c.wake(st)
		}
		kept = append(kept, s)
		seen++
	}
	clear(c.freed[len(kept):])
	c.freed = kept
}

// stepFor returns the first step in order that waits for capacity and may use that of s,
// or nil.
func (p *placementPass) stepFor(s *server) *step {
	c := p.core
	if c.servers[s.info.ID] != s || s.trial != nil || !s.usable(c.now) {
		return nil
	}
	st, _ := c.index.FirstFitting(wakeOnCapacity, s.free, func(st *step) bool {
		need := st.spec.Reserved()
		if st.entry.examinedAt >= s.freedAt || !need.Fits(s.free) {
			return false
		}
		if st.localityTasks > 0 && c.remote(st, s) {
			// Such a step is examined again after a delay (see nextExamination).
			return false
		}
		if st.spec.Gang && c.now.Before(st.entry.gangAfter) {
			return false
		}
		if st.job().sub.Service != s.info.Service || !s.hasLabel(st.spec.Label) || !need.Fits(s.freeFor(st)) {
			return false
		}
		if st.job().queue.Policy == nil {
			return true
		}
		if st.authorization.decisionOn(s) == denied {
			return false
		}
		if !st.entry.wantsClient && st.authorization.openRequests == 0 {
			return true
		}
		_, ok := c.ticketFor(st, s)
		return ok
	})
	return st
}

// gangFor returns the first gang that holds capacity on s and whose members all fit now,
// or nil.
func (p *placementPass) gangFor(s *server) *step {
	var first *step
	for _, h := range s.holds {
		st := h.step
		if st.entry.examinedAt >= s.freedAt || first != nil && first.Compare(st) < 0 || !p.membersFit(st) {
			continue
		}
		first = st
	}
	return first
}

// membersFit reports whether all members of a gang fit where capacity is held for them.
func (p *placementPass) membersFit(st *step) bool {
	for s, n := range st.held.members {
		if p.availableSlots(st, s) < n {
			return false
		}
	}
	return true
}
