package scheduler

import (
	"math"
	"slices"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// heldNumber returns the number of the last handover by which this partition holds or
// held a submission, or of the one by which it gave it away. It returns -1 if the
// submission is unknown.
func (c *Core) heldNumber(id string) int {
	if _, ended := c.finalStates[id]; ended {
		return math.MaxInt
	}
	if j := c.jobs[id]; j != nil {
		return j.handoverNumber()
	}
	if d := c.departures[id]; d != nil {
		return d.record.Number
	}
	if f, ok := c.forwards[id]; ok {
		return f.Number
	}
	return -1
}

// TakeOver accepts a submission from another partition and replies once it is stored. It
// is idempotent: a handover that was taken before is confirmed again without effect,
// whatever has become of the submission since. It is refused while the partition has the ID
// for a submission of another queue, and is sent again then.
func (c *Core) TakeOver(h Handover, reply func(Reply)) {
	id := h.Submission.ID
	if c.taken(id, identity{address: h.Submission.Address}) {
		c.reply(reply, idTaken())
		return
	}
	if c.heldNumber(id) >= h.Number {
		if j := c.jobs[id]; j != nil && !j.stored {
			j.waiters = append(j.waiters, reply)
			return
		}
		c.reply(reply, Reply{})
		return
	}
	sub := h.Submission
	sub.Transfer = &workload.Transfer{Number: h.Number, From: h.From, Epoch: c.epoch, MaxRun: h.MaxRun, Started: h.Started}
	j := newJob(&sub, c.now)
	if age := c.wall - sub.Accepted; age > 0 {
		j.accepted = c.now.Add(-msDuration(age))
	}
	j.restore(h.Progress)
	j.skipRunsThrough(h.MaxRun)
	j.waiters = []func(Reply){reply}
	records := []partition.Record{recordOf(keyAccepted, id, &sub)}
	j.recordBytes = recordBytes(records[0])
	if !h.Progress.Empty() {
		records = append(records, c.progressRecords(j)...)
	}
	if d := c.departures[id]; d != nil {
		// The submission comes back before its earlier handover is confirmed.
		delete(c.departures, id)
		records = append(d.job.progressTombstones(0), records...)
		records = append(records, tombstone(keyHandover, id))
	}
	if _, before := c.forwards[id]; before {
		delete(c.forwards, id)
		records = append(records, tombstone(keyForward, id))
	}
	c.jobs[id] = j
	c.memory.accepted(j)
	c.writeOr(records, func() { c.takenOver(j) }, func(err error) { c.takeOverRejected(j, err) })
	c.admit(j)
}

// takenOver runs once a submission from another partition is in the log.
func (c *Core) takenOver(j *job) {
	j.stored = true
	c.metric.takenOver.Inc()
	c.log.Log(events.SubmissionTakenOver, "id", j.sub.ID, "queue", j.sub.Queue, "from", j.sub.Transfer.From, "number", j.sub.Transfer.Number)
	for _, reply := range j.waiters {
		c.reply(reply, Reply{})
	}
	j.waiters = nil
	c.wakeJob(j)
}

// takeOverRejected drops a submission that the log does not accept. The partition that
// hands it over keeps it and tries again.
func (c *Core) takeOverRejected(j *job, err error) {
	j.withdrawn, j.ending = true, statusDeparting
	c.withdrawPlans(j)
	delete(c.jobs, j.sub.ID)
	for _, reply := range j.waiters {
		c.reply(reply, Reply{Outcome: OutcomeInvalid, Reason: "submission_too_large", Detail: err.Error()})
	}
	j.waiters = nil
}

// Held reports, for each submission, whether this partition knows it: it holds the
// submission, or its final state, or has handed it over.
func (c *Core) Held(ids []string) []bool {
	c.confirmHandovers(ids)
	held := make([]bool, len(ids))
	for i, id := range ids {
		held[i] = c.heldNumber(id) >= 0
	}
	return held
}

// confirmHandovers notes that the partition which asks about submissions has its forwards
// to them. It sends no handover again, so that their final states may be dropped in time.
func (c *Core) confirmHandovers(ids []string) {
	for _, id := range ids {
		if _, ended := c.finalStates[id]; ended {
			c.handoverConfirmed[id] = true
		}
	}
}

const (
	// forwardCheckInterval is the time between two checks of old forwards, in
	// milliseconds.
	forwardCheckIntervalMS = 10_000
	// maxForwardsPerCheck bounds the submissions that one question names.
	maxForwardsPerCheck = 500
	// unconfirmedRetentionFactor: the final state of a submission from another
	// partition is kept this many times as long if that partition never asks for it.
	unconfirmedRetentionFactor = 10
)

// checkForwards asks the partitions that took submissions over long ago whether they
// still know them. A forward to a submission that nobody knows any more is dropped.
func (c *Core) checkForwards() {
	if c.wall-c.forwardsCheckedAt < forwardCheckIntervalMS {
		return
	}
	c.forwardsCheckedAt = c.wall
	c.unconfirmedFinals = slices.DeleteFunc(c.unconfirmedFinals, func(id string) bool {
		drop := c.mayDropFinal(id, c.finalStates[id])
		if drop {
			c.dropFinal(id)
		}
		return drop
	})
	kept := c.bounds.StatusRetention.Milliseconds()
	byPartition := make(map[int][]string)
	for id, f := range c.forwards {
		if !c.unstoredForwards[id] && c.wall-f.At >= kept && len(byPartition[f.To]) < maxForwardsPerCheck {
			byPartition[f.To] = append(byPartition[f.To], id)
		}
	}
	for to, ids := range byPartition {
		c.emit(QueryHeld{Partition: to, IDs: ids})
	}
}

// HeldCompleted handles the answer to QueryHeld. One that did not come is asked for
// again at the next check.
func (c *Core) HeldCompleted(to int, ids []string, held []bool, err error) {
	if err == nil && len(held) != len(ids) {
		err = verdict.New(verdict.MayHaveRun, ReasonBadAnswer, "%d answers about %d submissions", len(held), len(ids))
	}
	if err != nil {
		c.log.Log(events.ForwardCheckFailed, "to", to, "submissions", len(ids), "error", err.Error())
		return
	}
	for i, id := range ids {
		if f, ok := c.forwards[id]; ok && !held[i] && f.To == to {
			delete(c.forwards, id)
			c.write([]partition.Record{tombstone(keyForward, id)}, nil)
		}
	}
}

// mayDropFinal reports whether a final state whose retention is over may be dropped. A
// late copy of the handover would be taken for a new one without it.
func (c *Core) mayDropFinal(id string, f workload.FinalState) bool {
	age := c.wall - f.Ended
	kept := c.bounds.StatusRetention.Milliseconds()
	return !f.Transferred || c.handoverConfirmed[id] || age >= unconfirmedRetentionFactor*kept
}
