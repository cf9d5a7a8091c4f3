package scheduler

import "github.com/currantwinch/currantwinch/internal/events"

// checkRecovery detects when no server can hold an unlisted run of an earlier
// owner any more.
func (c *Core) checkRecovery() {
	if c.recovered {
		return
	}
	for _, s := range c.servers {
		if c.mayHoldInheritedRuns(s) {
			return
		}
	}
	c.recovered = true
	c.noteGivenUpServers()
	c.exposeInherited()
	c.wakeAll()
	c.placementNeeded = true
	c.log.Log(events.OwnerRecovered, "epoch", c.epoch, "took", c.now.Sub(c.started).Milliseconds(), "servers", len(c.servers), "jobs", len(c.jobs))
}

// mayHoldInheritedRuns reports whether a server may hold a run of an earlier owner that
// it has not listed to this one. One that no owner has sent a lease holds none, nor does
// one whose instance has ended.
func (c *Core) mayHoldInheritedRuns(s *server) bool {
	unused := !s.inherited && s.leaseDeadlineMS == 0
	listedAll := s.synced && s.endsComplete
	return s.stored && !unused && !listedAll && !s.over && !c.leasesExpired(s)
}

// noteGivenUpServers logs the servers of earlier owners that this owner has never heard
// from, and whose tasks may start elsewhere from now on.
func (c *Core) noteGivenUpServers() {
	for id, s := range c.servers {
		if !s.inherited || s.heard {
			continue
		}
		c.metric.serversGivenUp.Inc()
		c.log.Log(events.ServerGivenUp, "server", id, "epoch", c.epoch, "waited", c.now.Sub(c.started).Milliseconds(), "waitedBefore", s.waitedBefore.Milliseconds())
	}
}
