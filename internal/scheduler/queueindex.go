package scheduler

import (
	"math/bits"
	"slices"
	"sort"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// wakeReason says what a queued step waits for. A pass examines a step only once that has
// happened, so that its cost follows from what has changed and not from the queue's length.
type wakeReason uint8

const (
	// wakeNow: the next pass examines the step.
	wakeNow wakeReason = iota
	// wakeOnClient: the step has a request to send and waits for a free policy client.
	wakeOnClient
	// wakeOnCapacity: the step waits for free capacity on a server that it may use.
	wakeOnCapacity
	// wakeOnHold: a gang waits until capacity may be held for it.
	wakeOnHold
	wakeReasons
)

const (
	// blockFill is the number of steps in a new block; a full block of maxBlock is split.
	blockFill = 32
	maxBlock  = 64
)

// queueIndex holds the queued steps in placement order, as of the last sort, in blocks
// that say which of their steps wait for what. Steps queued since are inserted.
type queueIndex struct{ blocks []*queueBlock }

// queueBlock is a run of steps in placement order.
type queueBlock struct {
	pos   int
	steps []*step
	// waiting has a bit for each step that waits for a reason.
	waiting [wakeReasons]uint64
	// least is, for each resource, the least that a task of any step needs.
	least workload.Resources
}

// queueEntry is a step's place in the index.
type queueEntry struct {
	// order is the sort key as of the last sort.
	order placementOrder
	block *queueBlock
	slot  int
	// waits has a bit for each wakeReason.
	waits uint8
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

func (s *step) compareOrder(o *step) int {
	if n := s.entry.order.compare(o.entry.order); n != 0 {
		return n
	}
	return s.index - o.index
}

// rebuild indexes the sorted steps anew. What they wait for is kept.
func (x *queueIndex) rebuild(queued []*step) {
	n := 0
	for len(queued) > 0 {
		if n == len(x.blocks) {
			x.blocks = append(x.blocks, &queueBlock{})
		}
		b := x.blocks[n]
		part := queued[:min(blockFill, len(queued))]
		queued = queued[len(part):]
		clear(b.steps)
		b.steps = append(b.steps[:0], part...)
		b.pos = n
		b.renew()
		n++
	}
	clear(x.blocks[n:])
	x.blocks = x.blocks[:n]
}

// renew sets what follows from the block's steps.
func (b *queueBlock) renew() {
	clear(b.waiting[:])
	for i, st := range b.steps {
		st.entry.block, st.entry.slot = b, i
		for r := range wakeReasons {
			b.waiting[r] |= uint64(st.entry.waits>>r&1) << i
		}
		need := st.spec.Reserved()
		if i == 0 {
			b.least = need
			continue
		}
		b.least = workload.Resources{CPU: min(b.least.CPU, need.CPU), MemoryMB: min(b.least.MemoryMB, need.MemoryMB), GPU: min(b.least.GPU, need.GPU)}
	}
}

// insert adds a step at its place.
func (x *queueIndex) insert(st *step) {
	if len(x.blocks) == 0 {
		x.blocks = append(x.blocks, &queueBlock{})
	}
	i := max(sort.Search(len(x.blocks), func(i int) bool {
		return len(x.blocks[i].steps) > 0 && x.blocks[i].steps[0].compareOrder(st) > 0
	})-1, 0)
	b := x.blocks[i]
	if len(b.steps) == maxBlock {
		next := &queueBlock{steps: slices.Clone(b.steps[maxBlock/2:])}
		clear(b.steps[maxBlock/2:])
		b.steps = b.steps[:maxBlock/2]
		x.blocks = slices.Insert(x.blocks, i+1, next)
		for k := i; k < len(x.blocks); k++ {
			x.blocks[k].pos = k
		}
		b.renew()
		next.renew()
		if next.steps[0].compareOrder(st) <= 0 {
			b = next
		}
	}
	at := sort.Search(len(b.steps), func(i int) bool { return b.steps[i].compareOrder(st) > 0 })
	b.steps = slices.Insert(b.steps, at, st)
	b.renew()
}

// setWaits sets what a step waits for.
func (x *queueIndex) setWaits(st *step, reasons ...wakeReason) {
	e := &st.entry
	e.waits = 0
	for _, r := range reasons {
		e.waits |= 1 << r
	}
	if e.block == nil {
		return
	}
	for r := range wakeReasons {
		e.block.waiting[r] = e.block.waiting[r]&^(1<<e.slot) | uint64(e.waits>>r&1)<<e.slot
	}
}

// wake lets the next pass examine a step, whatever it waits for.
func (x *queueIndex) wake(st *step) {
	st.entry.waits |= 1 << wakeNow
	if b := st.entry.block; b != nil {
		b.waiting[wakeNow] |= 1 << st.entry.slot
	}
}

// wakeAll lets the next passes examine all steps.
func (x *queueIndex) wakeAll() {
	for _, b := range x.blocks {
		for _, st := range b.steps {
			x.wake(st)
		}
	}
}

// wakeWaiting lets the next pass examine the steps of a block that wait neither for an
// answer nor for a policy client.
func (x *queueIndex) wakeWaiting(b *queueBlock) {
	for _, st := range b.steps {
		if st.authorization.openRequests == 0 && !st.entry.wantsClient && !st.entry.capWaiting {
			x.wake(st)
		}
	}
}

// first returns the first step in order that waits for any of the reasons, or nil.
func (x *queueIndex) first(reasons []wakeReason) *step {
	for _, b := range x.blocks {
		var set uint64
		for _, r := range reasons {
			set |= b.waiting[r]
		}
		if set != 0 {
			return b.steps[bits.TrailingZeros64(set)]
		}
	}
	return nil
}

// firstFor returns the first step in order that waits for capacity and that accepts what
// is free, or nil.
func (x *queueIndex) firstFor(free workload.Resources, accept func(*step) bool) *step {
	for _, b := range x.blocks {
		set := b.waiting[wakeOnCapacity]
		if set == 0 || !b.least.Fits(free) {
			continue
		}
		for ; set != 0; set &= set - 1 {
			st := b.steps[bits.TrailingZeros64(set)]
			if accept(st) {
				return st
			}
		}
	}
	return nil
}
