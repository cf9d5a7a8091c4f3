package scheduler

import (
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

// SetServers applies the platform's server list, which must be complete.
func (c *Core) SetServers(list []ServerInfo) {
	c.listRead, c.serversChanged = true, true
	listed := make(map[string]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		c.setServer(info)
	}
	for id, s := range c.servers {
		if !listed[id] && s.listed {
			s.listed = false
			c.log.Log(events.ServerUnlisted, "server", id, "attempts", len(s.attempts))
			c.pollAfter(s, 0)
		}
	}
	c.placementNeeded = true
}

func (c *Core) setServer(info ServerInfo) {
	s := c.servers[info.ID]
	if s == nil && info.Draining {
		// No earlier owner has runs there, and none may be started.
		return
	}
	if s == nil {
		s = newServer(info, c.newSession())
		s.usage = c.tenants.ledger
		c.servers[info.ID] = s
		c.log.Log(events.ServerListed, "server", info.ID, "service", info.Service, "zone", info.Zone, "cpu", info.Capacity.CPU)
	}
	shrunk := !s.info.Capacity.Fits(info.Capacity)
	s.resize(info.Capacity)
	moved := s.info.Address != info.Address
	reborn := info.StartedAtMS != s.info.StartedAtMS && info.StartedAtMS != 0 && s.startedAtMS != 0 && info.StartedAtMS != s.startedAtMS
	if info.Draining && !s.info.Draining {
		c.log.Log(events.ServerDraining, "server", info.ID, "attempts", len(s.attempts), "remainingMS", info.Remaining.Milliseconds())
	}
	if s.entrySeenAt.IsZero() || info.StartedAtMS != s.info.StartedAtMS {
		s.entrySeenAt = c.now
	}
	remainingChanged := info.Remaining != s.info.Remaining || !s.info.Draining
	if info.Draining && info.Remaining > 0 && remainingChanged {
		s.departsAt = c.now.Add(info.Remaining)
	}
	s.info, s.listed = info, true
	c.numberInstance(s)
	if shrunk {
		c.withdrawUnconfirmed(s)
	}
	if !s.recorded {
		c.recordServer(s)
	}
	if moved || reborn {
		s.synced = false
		s.failedPolls = 0
	}
	c.poll(s)
}

// recordServer stores that the server may have runs of this partition. It is used
// only once that is stored, and never if the log does not accept the record.
func (c *Core) recordServer(s *server) {
	s.recorded = true
	kept := workload.ServerRecord{Service: s.info.Service, Address: s.info.Address}
	c.writeOr([]partition.Record{recordOf(keyServer, s.info.ID, kept)}, func() {
		s.stored = true
		if c.servers[s.info.ID] == s {
			c.poll(s)
		}
	}, func(error) { s.rejected = true })
}

// removeServer drops a server that the platform no longer uses and that holds
// nothing.
func (c *Core) removeServer(s *server) {
	for _, a := range s.attempts {
		c.markLost(a, lossServerLeft)
	}
	delete(c.servers, s.info.ID)
	c.releaseNumber(s)
	c.serversChanged = true
	delete(c.exposed, s.info.ID)
	if s.stored {
		c.write([]partition.Record{tombstone(keyServer, s.info.ID)}, nil)
	}
	c.log.Log(events.ServerRemoved, "server", s.info.ID)
	c.placementNeeded = true
}

// isRemovable reports whether a server that gets no more tasks holds nothing.
// Its record must go, since the next owner would wait for the server.
func (c *Core) isRemovable(s *server) bool {
	if s.rejected && !s.listed {
		return true
	}
	if !c.listRead || !s.stored || s.listed && !s.info.Draining {
		return false
	}
	return s.isEmpty() || !s.listed && len(s.attempts) == 0 && c.leasesExpired(s)
}
