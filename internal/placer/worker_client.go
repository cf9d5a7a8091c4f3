package placer

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
)

// WorkerTime is a reading of a worker's clock, as time since its boot. Readings
// are comparable only for the same worker and boot.
type WorkerTime time.Duration

// Duration converts a reading, or the difference of two, to a duration.
func (t WorkerTime) Duration() time.Duration { return time.Duration(t) }

// TaskRef identifies one attempt of one task.
type TaskRef struct {
	JobID   string `json:"jobId"`
	Index   int    `json:"index"`
	Attempt int    `json:"attempt"`
}

// Less orders attempts as book.ID.Less does.
func (t TaskRef) Less(u TaskRef) bool { return idOf(t).Less(idOf(u)) }

// TaskState is the state of an attempt on its worker.
type TaskState string

// The states of an attempt on a worker.
const (
	TaskStarting TaskState = "starting"
	TaskRunning  TaskState = "running"
	TaskStopping TaskState = "stopping"
	// TaskExited is reported until the exit has been acknowledged.
	TaskExited TaskState = "exited"
)

// StartRequest starts one attempt.
type StartRequest struct {
	Task TaskRef `json:"task"`
	// NotAfter is when the request expires. A worker refuses it afterwards.
	NotAfter WorkerTime `json:"notAfter"`
	// LeaseUntil is when the worker stops the task unless the lease is renewed.
	LeaseUntil WorkerTime `json:"leaseUntil"`
	// BootID identifies the boot that the times refer to. A worker refuses any
	// other.
	BootID    string            `json:"boot"`
	Resources cluster.Resources `json:"resources"`
	Command   []string          `json:"command,omitempty"`
	// Checkpoint, if set, is the checkpoint of an earlier attempt to resume
	// from.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Labels are stored by the worker and returned in its inventory.
	Labels TaskLabels `json:"labels"`
}

// TaskLabels holds what an inventory must contain of a task so that a new owner
// can rebuild its allocation state.
type TaskLabels struct {
	Service  string `json:"service"`
	Workload string `json:"workload"`
	Team     string `json:"team"`
	Priority string `json:"priority"`
	Class    string `json:"class"`
	// Checkpoints is set for a task that can be checkpointed.
	Checkpoints bool `json:"checkpoints"`
	// Epoch is the epoch of the rack's share under which the attempt was
	// started.
	Epoch uint64 `json:"epoch"`
	// Revision is the document revision under which the attempt was started.
	Revision uint64 `json:"revision,omitempty"`
}

// RenewRequest extends the leases of the listed tasks of one worker.
type RenewRequest struct {
	BootID     string     `json:"boot"`
	LeaseUntil WorkerTime `json:"leaseUntil"`
	Tasks      []TaskRef  `json:"tasks"`
	// Acknowledged lists exited tasks that the worker may forget.
	Acknowledged []TaskRef `json:"acknowledged,omitempty"`
}

// Action is a command for a running task.
type Action string

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

// TaskReport describes one task in a worker's inventory.
type TaskReport struct {
	Task      TaskRef           `json:"task"`
	State     TaskState         `json:"state"`
	Resources cluster.Resources `json:"resources"`
	Labels    TaskLabels        `json:"labels"`
	// LeaseUntil is when the lease ends, counting only the renewals made by the
	// reader of the inventory.
	LeaseUntil WorkerTime `json:"leaseUntil"`
	// Usage was measured UsageAge before the report.
	Usage     cluster.Resources `json:"usage"`
	UsageAge  time.Duration     `json:"usageAgeNanoseconds"`
	Throttled bool              `json:"throttled,omitempty"`
	// RunTime is how long the attempt has run.
	RunTime time.Duration `json:"runTimeNanoseconds"`
	// Checkpoint is the newest complete checkpoint.
	Checkpoint string `json:"checkpoint,omitempty"`
	// ExitCode and ExitReason are set in state exited only.
	ExitCode   int    `json:"exitCode,omitempty"`
	ExitReason string `json:"exitReason,omitempty"`
}

// Inventory lists everything a worker holds at one reading of its clock.
type Inventory struct {
	BootID string       `json:"boot"`
	Clock  WorkerTime   `json:"clock"`
	Tasks  []TaskReport `json:"tasks"`
}

// Workers calls the platform's workers. Errors carry a verdict, which is NotRun
// if the worker certainly did nothing.
type Workers interface {
	// Inventory returns everything the worker holds.
	Inventory(ctx context.Context, vm cluster.VM) (Inventory, error)
	// Start starts one attempt. Start is idempotent for the same attempt.
	Start(ctx context.Context, vm cluster.VM, request StartRequest) error
	// Renew extends leases and returns the worker's inventory.
	Renew(ctx context.Context, vm cluster.VM, request RenewRequest) (Inventory, error)
	// Command applies an action to one task.
	Command(ctx context.Context, vm cluster.VM, request CommandRequest) error
}
