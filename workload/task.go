package workload

import (
	"strconv"
	"strings"
)

// TaskID names one task of one occurrence.
type TaskID struct {
	Submission string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name, "ID.OCCURRENCE.STEP.INDEX".
func (t TaskID) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step, "ID.OCCURRENCE.STEP".
func (t TaskID) StepName() string {
	return t.Submission + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID reads a name that String made.
func ParseTaskID(name string) (TaskID, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, false
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, false
		}
		n[i] = v
	}
	return TaskID{parts[0], n[0], n[1], n[2]}, true
}

// EndKind says how a run ended.
type EndKind uint8

// The kinds of ends.
const (
	// EndUnknown is an end of a kind that this release does not know.
	EndUnknown EndKind = iota
	EndDone
	// EndFailed is the task's own fault or its backend server's.
	EndFailed
	EndStopped
	// EndLeaseExpired is the end of the lease.
	EndLeaseExpired
	// EndGangMemberEnded means that another member of the gang ended.
	EndGangMemberEnded
	// EndGangIncomplete means that the other members of the gang did not come in time.
	EndGangIncomplete
)

var endNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the kind's name.
func (k EndKind) String() string { return endNames[k] }

// ParseEndKind reads a kind's name.
func ParseEndKind(name string) EndKind {
	for i, n := range endNames {
		if n == name {
			return EndKind(i)
		}
	}
	return EndUnknown
}

// Status is what a caller is told of a submission.
type Status string

// The states of a submission.
const (
	StatusQueued    Status = "queued"
	StatusRunning   Status = "running"
	StatusCompleted Status = "completed"
	StatusFailed    Status = "failed"
	StatusCancelled Status = "cancelled"
)

// Terminal reports whether the submission has ended.
func (s Status) Terminal() bool {
	return s == StatusCompleted || s == StatusFailed || s == StatusCancelled
}
