package scheduler

import (
	"fmt"
	"time"
	"unsafe"

	"github.com/currantwinch/currantwinch/workload"
)

// What an owner holds of its submissions is bounded by a budget in bytes. A submission is
// accepted only if the budget has room for it with one of its occurrences, so that the next
// owner, whose budget is the same, can hold it as well. An occurrence is built only if there
// is room for it; otherwise it waits, which is how an owner loads a partition that was filled
// under a larger budget.

const (
	// mapEntryBytes is the size of an entry of a map, with its key.
	mapEntryBytes = 64
	// stepBytes and taskBytes are the sizes of one step and one task of an occurrence that
	// is built. A task's covers a checkpoint and the record of a failed run.
	stepBytes = int64(unsafe.Sizeof(step{})) + mapEntryBytes
	taskBytes = int64(unsafe.Sizeof(task{})) + 64
	// memoryMeasureInterval is the shortest time between two measurements.
	memoryMeasureInterval = 100 * time.Millisecond
)

// memoryUse tracks how many bytes the submissions of a partition take.
type memoryUse struct {
	// limit is the budget; 0 means none.
	limit int64
	// held is what the submissions take, and reserved the same with at least one
	// occurrence each. Both were measured at measuredAt and include what came since, but
	// not what became free.
	held, reserved int64
	measuredAt     time.Time
	// short is set while occurrences that are due wait for memory.
	short bool
}

// accepted adds a job of which no occurrence is built.
func (m *memoryUse) accepted(j *job) {
	m.held += j.restingBytes()
	m.reserved += j.reservedBytes()
}

// built adds an occurrence of a job, which is already among its occurrences.
func (m *memoryUse) built(j *job) {
	m.held += j.occurrenceBytes()
	if len(j.occurrences) > 1 {
		m.reserved += j.occurrenceBytes()
	}
}

// SetMemoryLimit sets the budget for submissions in bytes; 0 means none.
func (c *Core) SetMemoryLimit(bytes int64) { c.memory.limit = bytes }

// restingBytes is what a job takes of which no occurrence is built. The texts of a
// submission take as much as its record.
func (j *job) restingBytes() int64 {
	fixed := int64(unsafe.Sizeof(job{})+unsafe.Sizeof(workload.Submission{})) + 2*mapEntryBytes
	steps := int64(len(j.sub.Steps)) * int64(unsafe.Sizeof(workload.Step{}))
	return fixed + steps + int64(j.recordBytes) + int64(len(j.done)+len(j.saved))*mapEntryBytes
}

// occurrenceBytes is what one occurrence takes that is built.
func (j *job) occurrenceBytes() int64 {
	return int64(unsafe.Sizeof(occurrence{})) + mapEntryBytes + int64(len(j.sub.Steps))*stepBytes + int64(j.taskCount())*taskBytes
}

// heldBytes is what a job takes now, and reservedBytes the same with at least one
// occurrence.
func (j *job) heldBytes() int64 {
	return j.restingBytes() + int64(len(j.occurrences))*j.occurrenceBytes()
}

func (j *job) reservedBytes() int64 {
	return j.restingBytes() + int64(max(len(j.occurrences), 1))*j.occurrenceBytes()
}

// measureMemory measures what the submissions take, unless that was done just before.
func (c *Core) measureMemory() {
	m := &c.memory
	if !m.measuredAt.IsZero() && c.now.Sub(m.measuredAt) < memoryMeasureInterval {
		return
	}
	m.held, m.reserved, m.measuredAt = 0, 0, c.now
	for _, j := range c.jobs {
		m.held += j.heldBytes()
		m.reserved += j.reservedBytes()
	}
	for _, d := range c.departures {
		m.held += d.job.heldBytes()
		m.reserved += d.job.reservedBytes()
	}
}

// mayBuild reports whether an occurrence may be built now. The first one of a job has a
// reservation, which holds unless more was accepted under a larger budget.
func (c *Core) mayBuild(j *job, index int) bool {
	m := &c.memory
	if m.limit <= 0 || j.occurrences[index] != nil {
		return true
	}
	fits := func() bool {
		if len(j.occurrences) > 0 {
			return m.reserved+j.occurrenceBytes() <= m.limit
		}
		return m.held+j.occurrenceBytes() <= m.limit
	}
	if fits() {
		return true
	}
	c.measureMemory()
	return fits()
}

// hasMemoryFor reports whether the budget has room for the waiting steps of a submission.
func (c *Core) hasMemoryFor(needs []Need) bool {
	m := &c.memory
	if m.limit <= 0 {
		return true
	}
	var bytes int64
	for _, n := range needs {
		bytes += stepBytes + int64(n.Count)*taskBytes
	}
	if m.reserved+bytes > m.limit {
		c.measureMemory()
	}
	return m.reserved+bytes <= m.limit
}

// checkMemory decides whether a submission is refused because the owner may not hold it.
func (c *Core) checkMemory(j *job) (Reply, bool) {
	m, need := &c.memory, j.reservedBytes()
	limit := c.tenants.memoryLimit(j, m.limit)
	if m.limit <= 0 || m.reserved+need <= limit {
		return Reply{}, false
	}
	if need > m.limit {
		return tooLarge(fmt.Sprintf("%d bytes in memory, at most %d", need, m.limit)), true
	}
	if c.measureMemory(); m.reserved+need <= limit {
		return Reply{}, false
	}
	after := spread(maxQueueRetryAfter, j.sub.ID)
	detail := fmt.Sprintf("%d bytes beside the %d of what was accepted, at most %d", need, m.reserved, limit)
	return Reply{Outcome: OutcomeRefused, Reason: "memory_budget", Detail: detail, RetryAfterMS: after.Milliseconds()}, true
}
