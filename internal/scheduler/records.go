package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

// The first byte of a record's key is its kind. The ID of a submission or a
// server follows.
const (
	keyAccepted = 'a'
	keyFinal    = 'f'
	keyHandover = 'h'
	keyForward  = 'm'
	keyOwner    = 'o'
	keyProgress = 'p'
	keyServer   = 's'
	keyFraction = 'q'
	keyUnheard  = 'u'
	keyUpdate   = 'w'
)

func recordOf(kind byte, id string, v any) partition.Record {
	// The records are plain structs, for which encoding cannot fail.
	value, err := workload.Encode(v)
	if err != nil {
		panic(err)
	}
	return partition.Record{Key: string(kind) + id, Value: value}
}

func tombstone(kind byte, id string) partition.Record {
	return partition.Record{Key: string(kind) + id}
}

// ClaimRecord returns the first record of an owner.
func ClaimRecord(t workload.PartitionOwner) partition.Record { return recordOf(keyOwner, "", t) }

// LastClaim returns the last owner's claim among a partition's records, or the
// zero value.
func LastClaim(records []partition.Record) workload.PartitionOwner {
	var t workload.PartitionOwner
	for _, r := range records {
		if len(r.Key) == 1 && r.Key[0] == keyOwner {
			if err := workload.Decode(r.Value, &t); err != nil {
				return workload.PartitionOwner{}
			}
		}
	}
	return t
}

// lastUpdate returns what the last owner that stored an update has changed since its
// claim, or the zero value. An update that cannot be decoded counts as none, which makes
// the next owner ask and wait for more.
func lastUpdate(records []partition.Record) workload.OwnerUpdate {
	for _, r := range records {
		var u workload.OwnerUpdate
		if len(r.Key) == 1 && r.Key[0] == keyUpdate && workload.Decode(r.Value, &u) == nil {
			return u
		}
	}
	return workload.OwnerUpdate{}
}

// load restores the state from the records of earlier owners.
func (c *Core) load(records []partition.Record) {
	c.waitedBefore = c.loadUnheard(records)
	for _, r := range records {
		if len(r.Key) == 0 || r.Value == nil {
			continue
		}
		var err error
		switch r.Key[0] {
		case keyAccepted:
			err = c.loadJob(r.Value)
		case keyFinal:
			err = c.loadFinal(r.Key[1:], r.Value)
		case keyServer:
			err = c.loadServer(r.Key[1:], r.Value)
		case keyFraction:
			err = c.loadFraction(r.Key[1:], r.Value)
		case keyHandover:
			err = c.loadHandover(r.Value)
		case keyForward:
			err = c.loadForward(r.Key[1:], r.Value)
		}
		if err != nil {
			c.log.Log(events.RecordUnreadable, "key", r.Key, "offset", r.Offset, "error", err.Error())
		}
	}
	for _, r := range records {
		if len(r.Key) == 0 || r.Key[0] != keyProgress || r.Value == nil {
			continue
		}
		var p workload.Progress
		if err := workload.Decode(r.Value, &p); err != nil {
			c.log.Log(events.RecordUnreadable, "key", r.Key, "offset", r.Offset, "error", err.Error())
			continue
		}
		id, part, ok := progressPart(r.Key[1:])
		j := c.jobs[id]
		if d := c.departures[id]; d != nil {
			j = d.job
		}
		if ok && j != nil {
			j.restore(p)
			j.progressParts = max(j.progressParts, part+1)
		}
	}
	for _, j := range c.oldestJobs() {
		j.skipRunsThrough(j.inheritedRun(c.epoch))
		c.admit(j)
	}
}

// oldestJobs returns all jobs, the one that was accepted first at the front.
func (c *Core) oldestJobs() []*job {
	return slices.SortedFunc(maps.Values(c.jobs), func(x, y *job) int {
		return cmp.Or(cmp.Compare(x.sub.Accepted, y.sub.Accepted), cmp.Compare(x.sub.ID, y.sub.ID))
	})
}

// runsPerEpoch exceeds the number of starts of one task under one owner.
const runsPerEpoch = 4096

// maxInheritedRun is a run number above all that earlier owners may have used.
// Starts are not stored, so that nobody knows of one on a server that restarted
// since; a run number used twice would mix the second run with what is left of
// the first.
func maxInheritedRun(epoch uint64) int { return int(epoch-1) * runsPerEpoch }

func (c *Core) loadJob(value []byte) error {
	var sub workload.Submission
	if err := workload.Decode(value, &sub); err != nil {
		return err
	}
	if err := sub.Validate(); err != nil {
		return err
	}
	if _, ended := c.finalStates[sub.ID]; ended {
		return nil
	}
	j := newJob(&sub, c.now)
	j.stored, j.inherited, j.recordBytes = true, true, len(value)
	if age := c.wall - sub.Accepted; age > 0 {
		j.accepted = c.now.Add(-msDuration(age))
	}
	c.jobs[sub.ID] = j
	c.memory.accepted(j)
	return nil
}

func (c *Core) loadFinal(id string, value []byte) error {
	var f workload.FinalState
	if err := workload.Decode(value, &f); err != nil {
		return err
	}
	c.finalStates[id] = f
	c.finalOrder = append(c.finalOrder, id)
	delete(c.jobs, id)
	return nil
}

func (c *Core) loadServer(id string, value []byte) error {
	var kept workload.ServerRecord
	if err := workload.Decode(value, &kept); err != nil {
		return err
	}
	s := newServer(ServerInfo{ID: id, Service: kept.Service, Address: kept.Address}, c.newSession())
	s.recorded, s.stored, s.inherited = true, true, true
	s.usage = c.tenants.ledger
	s.recordedAddress = kept.Address
	s.waitedBefore, s.waitRecorded = c.waitedBefore[id]
	c.servers[id] = s
	c.serversChanged = true
	c.numberInstance(s)
	return nil
}
