// Package placer runs jobs: it keeps the book of the workers whose share this
// daemon owns, places tasks on them under leases, and sees each job of its
// key shares through to the end.
package placer

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
)

// WorkerTime is a reading of one worker's own clock since its boot. It is
// compared only with readings of the same worker and boot.
type WorkerTime time.Duration

// Duration returns the reading, or a difference of two, as a duration.
func (t WorkerTime) Duration() time.Duration { return time.Duration(t) }

// TaskRef names one attempt of one task.
type TaskRef struct {
	JobID   string `json:"jobId"`
	Index   int    `json:"index"`
	Attempt int    `json:"attempt"`
}

// TaskState is how far an attempt has come on its worker.
type TaskState string

// The states of an attempt on a worker.
const (
	TaskStarting TaskState = "starting"
	TaskRunning  TaskState = "running"
	TaskStopping TaskState = "stopping"
	// TaskExited holds until the exit has been acknowledged.
	TaskExited TaskState = "exited"
)

// StartRequest starts one attempt.
type StartRequest struct {
	Task TaskRef `json:"task"`
	// NotAfter is when the request itself expires; a worker refuses it later.
	NotAfter WorkerTime `json:"notAfter"`
	// LeaseUntil is when the worker stops the task unless it is renewed.
	LeaseUntil WorkerTime `json:"leaseUntil"`
	// BootID is the boot that the times belong to; a worker refuses any other.
	BootID    string            `json:"boot"`
	Resources cluster.Resources `json:"resources"`
	Command   []string          `json:"command,omitempty"`
	// Checkpoint resumes from an earlier attempt's checkpoint.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Labels are kept by the worker and returned in its inventory.
	Labels TaskLabels `json:"labels"`
}

// TaskLabels is what an inventory must say of a task for a new owner to
// rebuild its book.
type TaskLabels struct {
	Service  string `json:"service"`
	Workload string `json:"workload"`
	Team     string `json:"team"`
	Priority string `json:"priority"`
	Class    string `json:"class"`
	// Checkpoints is true for a task that can be checkpointed.
	Checkpoints bool `json:"checkpoints"`
	// Epoch is the share epoch that the attempt was started under.
	Epoch uint64 `json:"epoch"`
	// Revision is the document revision that the attempt was started under.
	Revision uint64 `json:"revision,omitempty"`
}

// RenewRequest extends the leases of all listed tasks of one worker.
type RenewRequest struct {
	BootID     string     `json:"boot"`
	LeaseUntil WorkerTime `json:"leaseUntil"`
	Tasks      []TaskRef  `json:"tasks"`
	// Acknowledged lists exited tasks that the worker may forget.
	Acknowledged []TaskRef `json:"acknowledged,omitempty"`
}

// Action is what a worker is told to do with a task.
type Action string

// The actions on a running task.
const (
	ActionCheckpoint Action = "checkpoint"
	ActionThrottle   Action = "throttle"
	ActionUnthrottle Action = "unthrottle"
	ActionStop       Action = "stop"
)

// CommandRequest applies an action to a task.
type CommandRequest struct {
	Task   TaskRef `json:"task"`
	Action Action  `json:"action"`
}

// TaskReport is one task in a worker's inventory.
type TaskReport struct {
	Task      TaskRef           `json:"task"`
	State     TaskState         `json:"state"`
	Resources cluster.Resources `json:"resources"`
	Labels    TaskLabels        `json:"labels"`
	// LeaseUntil is when the lease ends, as far as the reader's own renewals go.
	LeaseUntil WorkerTime `json:"leaseUntil"`
	// Usage lags by UsageAge.
	Usage     cluster.Resources `json:"usage"`
	UsageAge  time.Duration     `json:"usageAgeNanoseconds"`
	Throttled bool              `json:"throttled,omitempty"`
	// RunTime is how long the attempt has run.
	RunTime time.Duration `json:"runTimeNanoseconds"`
	// Checkpoint is the newest complete checkpoint.
	Checkpoint string `json:"checkpoint,omitempty"`
	// ExitCode and ExitReason are set once the state is exited.
	ExitCode   int    `json:"exitCode,omitempty"`
	ExitReason string `json:"exitReason,omitempty"`
}

// Inventory is all that a worker holds at one reading of its clock.
type Inventory struct {
	BootID string       `json:"boot"`
	Clock  WorkerTime   `json:"clock"`
	Tasks  []TaskReport `json:"tasks"`
}

// Workers drives the platform's workers. Errors carry a verdict: NotRun where
// the worker certainly did nothing.
type Workers interface {
	// Inventory reads everything a worker holds.
	Inventory(ctx context.Context, vm cluster.VM) (Inventory, error)
	// Start starts one attempt. A second start of the same attempt has no
	// further effect.
	Start(ctx context.Context, vm cluster.VM, request StartRequest) error
	// Renew extends leases and returns the worker's inventory.
	Renew(ctx context.Context, vm cluster.VM, request RenewRequest) (Inventory, error)
	// Command applies an action to one task.
	Command(ctx context.Context, vm cluster.VM, request CommandRequest) error
}
