package workerhttp

import "github.com/currantwinch/currantwinch/internal/placer"

// ReasonUnknownRevision is a worker's answer to a renewal of all tasks of a
// revision that it cannot tell any more. Nothing was renewed.
const ReasonUnknownRevision = "unknown_revision"

// StateVersion names the state of a worker that a reader has. The zero value is none.
type StateVersion struct {
	// FeedID names one run of revisions. A worker begins another whenever it
	// cannot vouch for the revisions that it gave before.
	FeedID string `json:"feed,omitempty"`
	// Revision rises with every change of what the worker holds.
	Revision uint64 `json:"revision,omitempty"`
}

// InventoryBody asks for what has changed since a known revision.
type InventoryBody struct {
	StateVersion
}

// RenewBody extends leases and asks for what has changed since a known
// revision.
type RenewBody struct {
	StateVersion
	BootID     string            `json:"boot"`
	LeaseUntil placer.WorkerTime `json:"leaseUntil"`
	// All renews every task that was live at the known revision, Except some.
	All    bool             `json:"all,omitempty"`
	Except []placer.TaskRef `json:"except,omitempty"`
	// Tasks are renewed as well.
	Tasks []placer.TaskRef `json:"tasks,omitempty"`
	// Acknowledged lists exited tasks that the worker may forget.
	Acknowledged []placer.TaskRef `json:"acknowledged,omitempty"`
}

// InventoryResponse is a worker's inventory as a difference, or in full where the reader
// knows nothing that the worker can build on. Leases that the request itself
// extended, run times that went on with the clock, and usage that moved by
// less than UsageStep of a task's size are no changes.
type InventoryResponse struct {
	StateVersion
	BootID string            `json:"boot"`
	Clock  placer.WorkerTime `json:"clock"`
	// Full is set where Tasks is everything, and not only what changed.
	Full  bool                `json:"full,omitempty"`
	Tasks []placer.TaskReport `json:"tasks,omitempty"`
	// Removed lists the tasks that the worker has forgotten since.
	Removed []placer.TaskRef `json:"gone,omitempty"`
}

// UsageChangeDivisor is the part of a task's declared size by which its usage must move
// to count as a change: one in UsageChangeDivisor.
const UsageChangeDivisor = 16
