package scheduler

import (
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// A submission belongs to the queue at the address to which its caller sent it. Operators
// may give that queue another name, which changes nothing for the submission. They may also
// remove it: callers reach it no more then, but what was accepted runs on, at the service
// where it is and by the settings that were in force last.

// queueOf returns the queue of a submission in the configuration in force, or false if that
// has none. An earlier version stored submissions with the queue's name alone.
func (c *Core) queueOf(sub *workload.Submission) (*routing.Queue, bool) {
	if sub.Address == "" {
		return c.config.Queue(sub.Queue)
	}
	return c.config.QueueAt(sub.Address)
}

// setQueue sets a job's queue to that of the version that decides. If there is none, the settings
// remain that this owner has seen last, or else those that were stored with the submission.
func (c *Core) setQueue(j *job) {
	q := c.queueFor(j.sub)
	switch {
	case q != nil:
		j.queue, j.queueKnown = *q, true
		c.learnQueue(j, q)
	case !j.queueKnown && j.sub.Settings != nil:
		j.queue, j.queueKnown = routing.Queue{Name: j.sub.Queue, Service: j.sub.Service}, true
		j.queue.Apply(*j.sub.Settings)
	}
}

// learnQueue stores the address and the settings of its queue with a submission that an
// earlier version has stored under the queue's name.
func (c *Core) learnQueue(j *job, q *routing.Queue) {
	if !j.stored || j.ending != "" {
		return
	}
	sub := *j.sub
	if !addAddress(&sub, q) {
		return
	}
	j.sub = &sub
	c.write([]partition.Record{recordOf(keyAccepted, sub.ID, &sub)}, nil)
}

// addAddress adds the address and the settings of its queue to a submission that an earlier
// version knows by the queue's name alone. It reports false if nothing was added.
func addAddress(sub *workload.Submission, q *routing.Queue) bool {
	if sub.Address != "" || q.Address() == "" {
		return false
	}
	settings := q.Settings()
	sub.Address, sub.Settings = q.Address(), &settings
	return true
}

// queueKey identifies the queue of a submission in what an owner learns about queues.
func queueKey(sub *workload.Submission) string {
	if sub.Address == "" {
		return sub.Queue
	}
	return string(sub.Address)
}

// inQueue reports whether a submission belongs to the queue with a name and an address.
// Daemons of an earlier version ask by the name alone.
func inQueue(sub *workload.Submission, name string, address workload.QueueAddress) bool {
	if sub.Address == "" || address == "" {
		return sub.Queue == name
	}
	return sub.Address == address
}

// mayHaveUsedUpRuns reports whether a task of the job may have failed as often as its queue
// allows, since nobody knows the settings of the queue any more.
func (j *job) mayHaveUsedUpRuns() bool {
	if j.queueKnown {
		return false
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for i := range st.tasks {
				if len(st.tasks[i].failedRuns) > 0 {
					return true
				}
			}
		}
	}
	return false
}
