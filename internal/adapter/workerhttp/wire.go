package workerhttp

import "github.com/currantwinch/currantwinch/internal/placer"

// ReasonUnknownRevision is a worker's response to a renewal of all tasks of a
// revision that it no longer knows. No lease was renewed.
const ReasonUnknownRevision = "unknown_revision"

// StateVersion identifies the worker state that a reader holds. The zero value
// means that it holds none.
type StateVersion struct {
	// FeedID identifies one sequence of revisions. A worker starts a new sequence
	// whenever it cannot guarantee that its earlier revisions are still valid.
	FeedID string `json:"feed,omitempty"`
	// Revision increases with every change of the worker's state.
	Revision uint64 `json:"revision,omitempty"`
}

// InventoryBody requests the changes since a revision.
type InventoryBody struct {
	StateVersion
}

// RenewBody extends leases and requests the changes since a revision.
type RenewBody struct {
	StateVersion
	BootID     string            `json:"boot"`
	LeaseUntil placer.WorkerTime `json:"leaseUntil"`
	// All renews every task that was live at the given revision, apart from
	// those in Except.
	All    bool             `json:"all,omitempty"`
	Except []placer.TaskRef `json:"except,omitempty"`
	// Tasks are renewed in addition to those that All selects.
	Tasks []placer.TaskRef `json:"tasks,omitempty"`
	// Acknowledged lists exited tasks that the worker may remove.
	Acknowledged []placer.TaskRef `json:"acknowledged,omitempty"`
}

// InventoryResponse is a worker's inventory, as a delta to the version that the
// request named, or in full if the worker does not know that version. Leases
// that the request itself extended, run times that advanced with the clock, and
// changes of usage by less than 1/UsageChangeDivisor of a task's declared size
// do not count as changes.
type InventoryResponse struct {
	StateVersion
	BootID string            `json:"boot"`
	Clock  placer.WorkerTime `json:"clock"`
	// Full is set if Tasks lists all tasks and not only the changed ones.
	Full  bool                `json:"full,omitempty"`
	Tasks []placer.TaskReport `json:"tasks,omitempty"`
	// Removed lists the tasks that the worker has removed since that version.
	Removed []placer.TaskRef `json:"gone,omitempty"`
}

// UsageChangeDivisor sets the threshold of a usage change: a task's usage must
// differ by at least 1/UsageChangeDivisor of its declared size to be reported.
const UsageChangeDivisor = 16
