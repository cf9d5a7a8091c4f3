package scheduler

import (
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

// The kinds of records, by the first byte of their key. What follows is the ID
// of a submission or a server.
const (
	keyAccepted = 'a'
	keyFinal    = 'f'
	keyOwner    = 'o'
	keyProgress = 'p'
	keyServer   = 's'
)

func recordOf(kind byte, id string, v any) partition.Record {
	// The records are plain structs, which always encode.
	value, err := workload.Encode(v)
	if err != nil {
		panic(err)
	}
	return partition.Record{Key: string(kind) + id, Value: value}
}

func dropped(kind byte, id string) partition.Record {
	return partition.Record{Key: string(kind) + id}
}

func progressRecord(j *job) partition.Record {
	return recordOf(keyProgress, j.sub.ID, j.progress())
}

// ClaimRecord is the first record of an owner.
func ClaimRecord(t workload.PartitionOwner) partition.Record { return recordOf(keyOwner, "", t) }

// LastTenure returns the tenure among a partition's records, or the zero one.
func LastTenure(records []partition.Record) workload.PartitionOwner {
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

// load takes in the records that an earlier owner left.
func (c *Core) load(records []partition.Record) {
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
		if j := c.jobs[r.Key[1:]]; j != nil {
			j.restore(p)
		}
	}
	for _, j := range c.jobs {
		j.skipRuns(inheritedRuns(c.epoch))
		c.admit(j)
	}
}

// runsPerEpoch is more starts of one task than an owner makes.
const runsPerEpoch = 4096

// inheritedRuns is a number of runs above all that earlier owners can have given a
// task. Starts are not stored, so that one on a server that began anew is known to
// nobody; a run number that is used twice would join what is left of the first.
func inheritedRuns(epoch uint64) int { return int(epoch-1) * runsPerEpoch }

func (c *Core) loadJob(value []byte) error {
	var sub workload.Submission
	if err := workload.Decode(value, &sub); err != nil {
		return err
	}
	if err := sub.Validate(); err != nil {
		return err
	}
	if _, ended := c.finals[sub.ID]; ended {
		return nil
	}
	j := newJob(&sub, c.now)
	j.stored, j.inherited = true, true
	if age := c.wall - sub.Accepted; age > 0 {
		j.accepted = c.now.Add(-msDuration(age))
	}
	c.jobs[sub.ID] = j
	return nil
}

func (c *Core) loadFinal(id string, value []byte) error {
	var f workload.FinalState
	if err := workload.Decode(value, &f); err != nil {
		return err
	}
	c.finals[id] = f
	c.expiring = append(c.expiring, id)
	delete(c.jobs, id)
	return nil
}

func (c *Core) loadServer(id string, value []byte) error {
	var kept workload.ServerRecord
	if err := workload.Decode(value, &kept); err != nil {
		return err
	}
	s := newServer(ServerInfo{ID: id, Service: kept.Service, Address: kept.Address})
	s.stored = true
	// An earlier owner may have sent a full lease just before this moment.
	s.until = c.longest.Milliseconds()
	s.clockAt = c.now
	c.servers[id] = s
	return nil
}
