package scheduler

import (
	"strconv"
	"strings"

	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	// maxProgressBytes bounds the progress of one submission, in all its records.
	// They are appended together, and the log bounds one append. Beyond it the
	// checkpoints are left out, which only makes work run again.
	maxProgressBytes = 1 << 20
	// defaultRecordBytes bounds a record where the log's own bound is not known.
	defaultRecordBytes = 256 << 10
	// partSeparator stands between a submission's ID and the number of a further
	// progress record in the record's key.
	partSeparator = "#"
)

// recordBytes returns the length of a record as the log counts it.
func recordBytes(r partition.Record) int { return 1 + len(r.Key) + len(r.Value) }

// progressRecords returns the records of a job's progress, each within the log's
// bound, and drops the further records of earlier progress that was longer.
func (c *Core) progressRecords(j *job) []partition.Record {
	limit := c.bounds.MaxRecordBytes
	if limit <= 0 {
		limit = defaultRecordBytes
	}
	p := j.progress()
	first := progressRecord(j, 0, p)
	if recordBytes(first) <= limit && !j.checkpointsRejected {
		return j.withoutOldParts([]partition.Record{first})
	}
	if len(first.Value) > maxProgressBytes || j.checkpointsRejected {
		leaveOutCheckpoints(p.Tasks)
	}
	var records []partition.Record
	for _, part := range splitProgress(j, p, limit) {
		records = append(records, progressRecord(j, len(records), part))
	}
	return j.withoutOldParts(records)
}

// leaveOutCheckpoints makes the tasks begin anew under the next owner.
func leaveOutCheckpoints(tasks []workload.TaskProgress) {
	for i := range tasks {
		tasks[i].Checkpoint = ""
	}
}

// storeProgress stores a job's progress. If the log rejects it, it is stored again without
// checkpoints, which servers may make of any length.
func (c *Core) storeProgress(j *job) {
	partsBefore := j.progressParts
	var stored func()
	if c.rejectedProgress[j] {
		stored = func() { delete(c.rejectedProgress, j) }
	}
	c.writeOr(c.progressRecords(j), stored, func(error) {
		j.progressParts = max(j.progressParts, partsBefore)
		c.progressRejected(j)
	})
}

// progressRejected notes that the log lacks progress of a job. Until it has it, no ends are
// acknowledged: servers forget those, and the next owner would run the tasks again.
func (c *Core) progressRejected(j *job) {
	if j.ending != "" {
		return
	}
	c.rejectedProgress[j] = true
	if !j.checkpointsRejected {
		j.checkpointsRejected = true
		c.markDirty(j)
	}
}

func progressRecord(j *job, part int, p workload.Progress) partition.Record {
	return recordOf(keyProgress, progressKey(j, part), p)
}

func progressKey(j *job, part int) string {
	if part == 0 {
		return j.sub.ID
	}
	return j.sub.ID + partSeparator + strconv.Itoa(part)
}

// progressPart splits what progressKey returns.
func progressPart(key string) (id string, part int, ok bool) {
	id, text, further := strings.Cut(key, partSeparator)
	if !further {
		return id, 0, true
	}
	part, err := strconv.Atoi(text)
	return id, part, err == nil && part > 0 && part < workload.MaxTasks
}

// partKeyBytes covers the longest key of a progress record.
const partKeyBytes = 32

// splitProgress divides progress into parts whose records fit in limit bytes. The checkpoint
// of a task that alone does not fit is left out.
func splitProgress(j *job, p workload.Progress, limit int) []workload.Progress {
	if recordBytes(progressRecord(j, 0, p))+partKeyBytes <= limit {
		return []workload.Progress{p}
	}
	if len(p.Steps)+len(p.Tasks) <= 1 {
		leaveOutCheckpoints(p.Tasks)
		return []workload.Progress{p}
	}
	half, tasks := len(p.Steps)/2, len(p.Tasks)/2
	if len(p.Steps) == 1 {
		half = 1
	}
	before := workload.Progress{Steps: p.Steps[:half], Tasks: p.Tasks[:tasks], Done: p.Done}
	after := workload.Progress{Steps: p.Steps[half:], Tasks: p.Tasks[tasks:]}
	return append(splitProgress(j, before, limit), splitProgress(j, after, limit)...)
}

// withoutOldParts adds tombstones for the further records of earlier progress.
func (j *job) withoutOldParts(records []partition.Record) []partition.Record {
	n := len(records)
	records = append(records, j.progressTombstones(n)...)
	j.progressParts = n
	return records
}

// progressTombstones drops the job's progress records from the given part on.
func (j *job) progressTombstones(from int) []partition.Record {
	var out []partition.Record
	for part := from; part < max(j.progressParts, 1); part++ {
		out = append(out, tombstone(keyProgress, progressKey(j, part)))
	}
	return out
}
