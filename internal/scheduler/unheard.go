package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/ownership"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

// unheardInterval is the time between two records of the servers that an owner has not
// heard from, and before the first one. Most servers have answered by then, and one that
// was never named needs no record before it may get leases.
const unheardInterval = 500 * time.Millisecond

// An owner waits for one lease for each inherited server that does not answer, before it
// starts the tasks that may run there. It sends such a server no lease. So that owners that
// follow each other wait only once in all, each records the servers that it has not heard
// from, with the time since an earlier owner can last have extended a lease there. It
// records none before it knows that no earlier owner can any more. A server on that record
// gets leases again only once the record no longer names it.

// recordUnheard stores which inherited servers have not answered this owner, while it
// waits for any.
func (c *Core) recordUnheard() {
	if c.recovered && !c.unheardStored || c.now.Sub(c.unheardAt) < unheardInterval {
		return
	}
	c.writeUnheard()
}

// writeUnheard stores the servers that are unheard now. Those that the record named before
// and no longer does may get leases once it is stored: they have answered since, or this
// owner waits for none any more.
func (c *Core) writeUnheard() {
	c.unheardAt = c.now
	list := workload.UnheardServers{Epoch: c.epoch, WaitedMS: c.unheardServers(), Proven: true}
	if len(list.WaitedMS) == 0 && !c.unheardStored {
		return
	}
	var released []string
	for id := range c.declaredUnheard {
		if _, unheard := list.WaitedMS[id]; !unheard {
			released = append(released, id)
		}
	}
	for id := range list.WaitedMS {
		c.declaredUnheard[id] = true
	}
	c.unheardStored = len(list.WaitedMS) > 0
	record := tombstone(keyUnheard, "")
	if c.unheardStored {
		record = recordOf(keyUnheard, "", list)
	}
	c.write([]partition.Record{record}, func() { c.releaseUnheard(released) })
}

// unheardServers returns, by the ID of each server that has not answered this owner, how
// long no earlier owner can have extended a lease there, in milliseconds.
func (c *Core) unheardServers() map[string]int64 {
	waited := make(map[string]int64)
	for id, s := range c.servers {
		if since, known := c.sinceLastRenewal(s); (known || c.faults.recordFromClaim) && s.inherited && !s.heard && !c.recovered {
			if c.faults.recordFromClaim {
				since = s.waitedBefore + c.now.Sub(c.started)
			}
			waited[id] = since.Milliseconds()
		}
	}
	return waited
}

// releaseUnheard lets servers get leases that the stored record does not name any more.
func (c *Core) releaseUnheard(ids []string) {
	for _, id := range ids {
		delete(c.declaredUnheard, id)
		if s := c.servers[id]; s != nil {
			c.poll(s)
		}
	}
}

// noteHeard notes that a server has answered this owner. A record that names it as unheard
// is replaced.
func (c *Core) noteHeard(s *server) {
	first := !s.heard
	s.heard = true
	if first && c.declaredUnheard[s.info.ID] {
		c.writeUnheard()
	}
}

// mayLease reports whether a server may get leases: no stored record may say that it has
// not answered this owner.
func (c *Core) mayLease(s *server) bool {
	return !c.declaredUnheard[s.info.ID] || c.faults.leaseDeclared
}

// loadUnheard returns, by server, how long no earlier owner can have extended a lease
// there.
func (c *Core) loadUnheard(records []partition.Record) map[string]time.Duration {
	waited := make(map[string]time.Duration)
	for _, r := range records {
		if len(r.Key) != 1 || r.Key[0] != keyUnheard || r.Value == nil {
			continue
		}
		c.unheardStored = true
		var list workload.UnheardServers
		if err := workload.Decode(r.Value, &list); err != nil {
			c.log.Log(events.RecordUnreadable, "key", r.Key, "offset", r.Offset, "error", err.Error())
			continue
		}
		if list.Epoch != LastClaim(records).Epoch || !list.Proven {
			// The last owner may have sent leases to all of them.
			continue
		}
		for id, ms := range list.WaitedMS {
			// The clock of the last owner may have run fast, and this one's slowly.
			waited[id] = time.Duration(float64(max(msDuration(ms), 0)) * (1 - ownership.MaxClockDrift) / (1 + ownership.MaxClockDrift))
		}
	}
	return waited
}
