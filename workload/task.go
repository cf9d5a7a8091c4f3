package workload

import (
	"strconv"
	"strings"
)

// TaskID identifies one task of one occurrence.
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

// ParseTaskID parses the result of TaskID.String. It returns false for any other
// text.
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

// EndKind is how a run of a task ended.
type EndKind uint8

// Kinds of ends.
const (
	// EndUnknown is any kind that this release does not know.
	EndUnknown EndKind = iota
	EndDone
	// EndFailed is a failure of the task or of its backend server.
	EndFailed
	EndStopped
	// EndLeaseExpired means that the lease of the run expired.
	EndLeaseExpired
	// EndGangMemberEnded means that another member of the gang ended.
	EndGangMemberEnded
	// EndGangIncomplete means that the other members of the gang did not arrive
	// in time.
	EndGangIncomplete
)

var endNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of the kind, which ParseEndKind reads.
func (k EndKind) String() string { return endNames[k] }

// ParseEndKind returns the kind with a name, or EndUnknown.
func ParseEndKind(name string) EndKind {
	for i, n := range endNames {
		if n == name {
			return EndKind(i)
		}
	}
	return EndUnknown
}

// Status is the state of a submission that callers see.
type Status string

// States of a submission.
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
