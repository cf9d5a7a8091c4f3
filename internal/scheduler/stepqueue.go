package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/internal/waitindex"
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
	order placementOrder
	place waitindex.Place[*step]
	// wantsClient is set if the step had a request to send and no policy client was free.
	wantsClient bool
	// examinedAt is the Core's freedSeq when the step was last examined.
	examinedAt uint64
	// cappedNow is set if the cap of its tenant held back the step when it was examined, and
	// capWaiting while the step is in its tenant's capQueue.
	cappedNow, capWaiting bool
	// gangAfter is when a gang is examined again at the earliest because of one server.
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

// Place implements waitindex.Item.
func (s *step) Place() *waitindex.Place[*step] { return &s.entry.place }

// wake lets the next pass examine a step, whatever it waits for.
func (c *Core) wake(st *step) { c.index.WaitAlso(st, wakeNow) }

// wakeAll lets the next passes examine all steps.
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
