package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/internal/waitindex"
	"github.com/currantwinch/currantwinch/placement/speed"
	"github.com/currantwinch/currantwinch/workload"
)

// What a queued step waits for. A pass examines a step only once that has happened, so that
// its cost follows from what has changed and not from the queue's length.
const (
	// wakeNow: the next pass examines the step.
	wakeNow waitindex.Reason = iota
	// wakeOnClient: the step has a request to send and waits for a free policy client.
	wakeOnClient
	// wakeOnCapacity: the step waits for free capacity on a server that it may use.
	wakeOnCapacity
	// wakeOnHold: a gang waits until capacity may be held for it.
	wakeOnHold
)

// queueEntry is the state of a queued step.
type queueEntry struct {
	// order is the sort key as of the last sort.
	order    placementOrder
	position waitindex.Position[*step]
	// wantsClient is set if the step had a request to send and no policy client was free.
	wantsClient bool
	// examinedAt is the Core's freedSeq when the step was last examined.
	examinedAt uint64
	// cappedNow is set if the cap of its tenant held back the step when it was examined, and
	// capWaiting while the step is in its tenant's capQueue.
	cappedNow, capWaiting bool
	// gangAfter is when a gang is examined again at the earliest because of one server, since
	// each plan looks at all servers.
	gangAfter time.Time
	// delayed is set while the step is in the Core's list of delayed steps.
	delayed bool
}

// Compare implements waitindex.Item by placement order, as of the last sort.
func (s *step) Compare(o *step) int {
	if n := s.entry.order.compare(o.entry.order); n != 0 {
		return n
	}
	return s.index - o.index
}

// Need implements waitindex.Item.
func (s *step) Need() workload.Resources { return s.spec.Reserved() }

// Position implements waitindex.Item.
func (s *step) Position() *waitindex.Position[*step] { return &s.entry.position }

// wake lets the next pass examine a step, whatever it waits for.
func (c *Core) wake(st *step) { c.index.WaitAlso(st, wakeNow) }

// wakeAll lets the next passes examine all steps, after a change that may concern any of them.
func (c *Core) wakeAll() {
	for i := range c.index.Blocks() {
		for _, st := range c.index.BlockItems(i) {
			c.wake(st)
		}
	}
}

// wakeNextBlock lets the next pass examine some steps, others each time, unless they wait for
// an answer, a policy client or a cap: a step that has missed what it waits for does not wait
// for ever.
func (c *Core) wakeNextBlock() {
	blocks := c.index.Blocks()
	if blocks == 0 {
		return
	}
	c.wakeCursor = (c.wakeCursor + 1) % blocks
	for _, st := range c.index.BlockItems(c.wakeCursor) {
		if st.authorization.openRequests == 0 && !st.entry.wantsClient && !st.entry.capWaiting {
			c.wake(st)
		}
	}
}

// nextExamination returns when a step is examined again although no event reports that it
// should be; zero if that is not needed.
func (c *Core) nextExamination(st *step) time.Time {
	var next time.Time
	by := func(t time.Time) {
		if t.After(c.now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	by(st.authorization.retryAt)
	for i := range st.tasks {
		t := &st.tasks[i]
		if !t.needsPlacement() {
			continue
		}
		by(t.retryAt)
		if t.crashes.Suspect() {
			by(c.now.Add(retryInterval))
		}
	}
	if st.localityTasks > 0 || st.job().stored && !c.mayStart(st) {
		by(c.now.Add(retryInterval))
	}
	if c.speedsOf(st.job().sub.Service).slow > 0 {
		by(st.readyAt.Add(speed.SlowWait(st.work())))
	}
	if st.spec.Gang && st.held == nil && !st.holdRefused && !st.entry.wantsClient {
		by(c.now.Add(gangInterval(len(c.delayed) + 1)))
	}
	return next
}

// examineAgainAt lets a step be examined at the given time at the latest. A zero time has no
// effect.
func (c *Core) examineAgainAt(st *step, at time.Time) {
	if at.IsZero() {
		return
	}
	st.wakeAt = at
	if !st.entry.delayed {
		st.entry.delayed = true
		c.delayed = append(c.delayed, st)
	}
}

// gangInterval returns the time between two plans of each of n gangs. It grows with their
// number, so that planning does not dominate where many wait.
func gangInterval(n int) time.Duration { return min(time.Duration(n)*gangTime, maxGangInterval) }

// wakeDelayed wakes the delayed steps whose time has come.
func (c *Core) wakeDelayed() {
	kept := c.delayed[:0]
	for _, st := range c.delayed {
		if st.queued && c.now.Before(st.wakeAt) {
			kept = append(kept, st)
			continue
		}
		st.entry.delayed = false
		c.wake(st)
	}
	clear(c.delayed[len(kept):])
	c.delayed = kept
}

// wakeJob lets the next pass examine all steps of a job.
func (c *Core) wakeJob(j *job) {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			c.wake(st)
		}
	}
	c.placementNeeded = true
}
