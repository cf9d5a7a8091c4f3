package scheduler

import (
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

// A queue's submissions lie in the partitions of the service that ran the queue when they
// were accepted. Where a later configuration leads the queue to another service, a
// submission moves there as a whole, once nothing of it runs; until then it goes on where
// it is. New submissions still come to the partition of the queue's first service, which
// alone decides whether an ID is new. It accepts them for its own servers, and passes the
// others on to the partition of their service under a forward that is stored first.

// Location says whether the submissions of a service lie in a partition.
type Location uint8

const (
	// LocationUnknown: the service's shards are not known yet.
	LocationUnknown Location = iota
	// LocationHere: the partition holds a shard of the service.
	LocationHere
	// LocationElsewhere: other partitions hold them.
	LocationElsewhere
)

// SetLocate sets the function that returns where a submission of a service lies, and in
// which partition if that is elsewhere.
func (c *Core) SetLocate(locate func(service, id string) (Location, int)) { c.locate = locate }

// SetMayHandOver sets whether all daemons know the records of a handover.
func (c *Core) SetMayHandOver(may bool) { c.mayHandOver = may }

// Misrouted reports whether submissions wait here that belong to another service.
func (c *Core) Misrouted() bool { return len(c.misrouted) > 0 }

// noteRoute notes whether the queue of a job leads to another service than the job's. A
// configuration that is older than the one that led it here says nothing.
func (c *Core) noteRoute(j *job) {
	delete(c.misrouted, j)
	q, ok := c.queueOf(j.sub)
	if ok && q.Service != j.sub.Service && c.config.Version > j.sub.ConfigVersion {
		c.misrouted[j] = true
	}
}

// startsHere reports whether tasks of a job may start on this partition's servers, as far as
// its queue is concerned: the queue leads to the job's service, or to another one while the
// job cannot move there, or the configuration has it no more.
func (c *Core) startsHere(j *job) bool {
	if c.config == nil || j.mayHaveUsedUpRuns() {
		return false
	}
	if !c.misrouted[j] {
		return true
	}
	_, moves := c.destination(j)
	return !moves
}

// destination is where a misrouted job moves.
type destination struct {
	service string
	at      Location
	part    int
}

// destination returns where a misrouted job moves as soon as it is stored and the owner has
// recovered. It reports false for a job that stays for now.
func (c *Core) destination(j *job) (destination, bool) {
	q, ok := c.queueOf(j.sub)
	if !ok || j.live > 0 || j.handoverRejected || j.onTrial() {
		return destination{}, false
	}
	if c.locate == nil {
		return destination{service: q.Service}, true
	}
	d := destination{service: q.Service}
	d.at, d.part = c.locate(q.Service, j.sub.ID)
	return d, d.at == LocationHere || d.at == LocationElsewhere && c.mayHandOver
}

// onTrial reports whether a trial of the job's tasks is under way or waits.
func (j *job) onTrial() bool {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if st.trial != nil {
				return true
			}
		}
	}
	return false
}

// reroute moves the submissions of which nothing runs to the services to which their queues
// lead now.
func (c *Core) reroute() {
	for j := range c.misrouted {
		if j.ending != "" {
			delete(c.misrouted, j)
			continue
		}
		if len(c.departures) >= maxDepartures {
			return
		}
		d, moves := c.destination(j)
		if !moves || !j.stored || j.inherited && !c.recovered {
			continue
		}
		switch d.at {
		case LocationElsewhere:
			c.handOver(j, d.part, d.service, handoverRerouted)
		case LocationHere:
			delete(c.misrouted, j)
			c.assignService(j, d.service)
		}
	}
}

// assignService makes a submission one of another service, whose servers are this
// partition's as well.
func (c *Core) assignService(j *job, service string) {
	sub := *j.sub
	sub.Service, sub.ConfigVersion = service, c.config.Version
	j.sub = &sub
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			st.authorization = authorization{}
			st.reserved = nil
		}
	}
	c.write([]partition.Record{recordOf(keyAccepted, sub.ID, &sub)}, nil)
	c.wakeJob(j)
	c.log.Log(events.SubmissionRerouted, "id", sub.ID, "queue", sub.Queue, "service", service)
}

// passOn replies that a new submission belongs to another partition, once a forward is
// stored. It reports false if the submission belongs here.
func (c *Core) passOn(sub *workload.Submission, reply func(Reply)) bool {
	if c.locate == nil {
		return false
	}
	at, part := c.locate(sub.Service, sub.ID)
	if at != LocationElsewhere {
		return false
	}
	f := workload.Forward{To: part, Number: transferNumber(sub) + 1, At: c.wall, Pending: true, Address: sub.Address}
	c.forwards[sub.ID] = f
	c.unstoredForwards[sub.ID] = true
	c.writeOr([]partition.Record{recordOf(keyForward, sub.ID, f)}, func() {
		delete(c.unstoredForwards, sub.ID)
	}, func(error) {
		delete(c.unstoredForwards, sub.ID)
		delete(c.forwards, sub.ID)
	})
	c.replyForwarded(sub.ID, reply)
	return true
}

// replyForwarded replies with where a submission was passed on to, once the forward is
// stored: another partition may accept it only then.
func (c *Core) replyForwarded(id string, reply func(Reply)) {
	answer := func() {
		r, ok := c.forwarded(id)
		if !ok {
			r = storeUnavailable(0)
		}
		c.reply(reply, r)
	}
	if c.unstoredForwards[id] {
		c.afterStored(answer)
		return
	}
	answer()
}

// transferNumber returns how often a submission was passed on or handed over before.
func transferNumber(sub *workload.Submission) int {
	if sub.Transfer == nil {
		return 0
	}
	return sub.Transfer.Number
}
