package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/book"
	"github.com/currantwinch/currantwinch/placement/preempt"
)

// Names of the methods between daemons.
const (
	methodSync           = "placer.sync"
	methodPlace          = "placer.place"
	methodTerminate      = "placer.settle"
	methodPreemptionCost = "placer.quote"
	methodEvict          = "placer.leave"

	methodSlots    = "placer.slots"
	methodNominate = "placer.promise"
)

// homeTerm announces the term under which the sender owns a key share. It
// fences off requests of earlier terms.
type homeTerm struct {
	Share cluster.Share `json:"share"`
	Term  term          `json:"term"`
}

// rackVersion is the version up to which the sender knows a rack.
type rackVersion struct {
	Share        cluster.Share `json:"share"`
	Term         term          `json:"term"`
	BookVersion  uint64        `json:"book"`
	TasksVersion uint64        `json:"tasks"`
	// FullHomes lists homes for which all attempts are requested, not only
	// changed ones.
	FullHomes []cluster.Share `json:"fresh,omitempty"`
	// Recheck lists attempts to report whether or not they have changed.
	Recheck []TaskRef `json:"doubts,omitempty"`
}

// syncRequest announces the sender's homes and asks a racks' owner for changes
// since the given versions.
type syncRequest struct {
	Homes []homeTerm    `json:"homes,omitempty"`
	Racks []rackVersion `json:"racks,omitempty"`
	// Digest, if not zero, replaces Racks: it covers all racks of the owner.
	Digest uint64 `json:"digest,omitempty"`
	// Backlogged asks the owner to poll its workers more often, because jobs
	// wait for capacity.
	Backlogged bool `json:"hungry,omitempty"`
	// PoisonJobs lists jobs that fail on every worker.
	PoisonJobs []string `json:"poison,omitempty"`
}

type syncReply struct {
	// Same is set if the request's digest equals the owner's.
	Same  bool        `json:"same,omitempty"`
	Racks []rackDelta `json:"racks,omitempty"`
}

// rackDelta is what has changed in one rack since the requested version.
type rackDelta struct {
	Share        cluster.Share `json:"share"`
	Term         term          `json:"term"`
	BookVersion  uint64        `json:"book"`
	TasksVersion uint64        `json:"tasks"`
	// Complete is set once every worker has been read or all leases granted
	// before this term have ended, so that no earlier attempt is missing.
	Complete bool         `json:"complete,omitempty"`
	Workers  []workerView `json:"workers,omitempty"`
	Teams    []teamUsage  `json:"teams,omitempty"`
	Statuses []taskStatus `json:"statuses,omitempty"`
	// Missing lists the rechecked attempts that a complete rack does not
	// contain.
	Missing []TaskRef `json:"missing,omitempty"`
}

// workerView is a worker's allocation state.
type workerView struct {
	Rack            cluster.Share     `json:"rack"`
	Version         uint64            `json:"version"`
	Name            string            `json:"name"`
	Location        cluster.Location  `json:"location"`
	Capacity        cluster.Resources `json:"capacity"`
	AcceleratorKind string            `json:"acceleratorKind,omitempty"`
	Free            cluster.Resources `json:"free"`
	Used            cluster.Resources `json:"used"`
	Closed          string            `json:"closed,omitempty"`
	Suspicion       int64             `json:"suspicion,omitempty"`
	// Backfillable is the unused capacity of a worker with nominations,
	// nominated capacity included. Other work may use it for BackfillableFor.
	Backfillable    cluster.Resources `json:"spare,omitzero"`
	BackfillableFor time.Duration     `json:"spareForNanoseconds,omitempty"`
	Tasks           int               `json:"tasks"`
}

// teamUsage is a team's usage in one rack, nominated capacity included.
type teamUsage struct {
	Rack    cluster.Share     `json:"rack"`
	Version uint64            `json:"version"`
	Team    string            `json:"team"`
	Used    cluster.Resources `json:"used"`
}

// attemptState is the state of an attempt as recorded by its rack's owner.
type attemptState string

// States of an attempt. The last three are final.
const (
	attemptStarting attemptState = "starting"
	attemptRunning  attemptState = "running"
	attemptStopping attemptState = "stopping"
	attemptUnknown  attemptState = "unknown"
	attemptExited   attemptState = "exited"
	// attemptLost was starting or running and has ended without a reported
	// exit.
	attemptLost attemptState = "lost"
	// attemptNotStarted has never run.
	attemptNotStarted attemptState = "not_started"
)

func (s attemptState) terminated() bool {
	return s == attemptExited || s == attemptLost || s == attemptNotStarted
}

// taskStatus reports one attempt to its home.
type taskStatus struct {
	Task     TaskRef      `json:"task"`
	Worker   string       `json:"worker"`
	State    attemptState `json:"state"`
	ExitCode int          `json:"exitCode,omitempty"`
	Reason   string       `json:"reason,omitempty"`
	// Stopped is set if the owner requested the stop.
	Stopped    bool          `json:"stopped,omitempty"`
	RunTime    time.Duration `json:"runTimeNanoseconds,omitempty"`
	Checkpoint string        `json:"checkpoint,omitempty"`
	// Oversize is set if the attempt was stopped for using more than its size.
	Oversize bool `json:"oversize,omitempty"`
	// Peak is the highest usage seen of each resource.
	Peak cluster.Resources `json:"peak,omitzero"`
	// Revision is the document revision that the attempt was started under.
	Revision uint64 `json:"revision,omitempty"`
}

// placeMode is the operation requested by a placeItem.
type placeMode string

// Modes of a placeItem. A task of any class but gang is reserved and started in
// one step. The tasks of a gang are reserved, then locked, then committed
// together, or released.
const (
	modeStart   placeMode = "start"
	modeReserve placeMode = "hold"
	modeLock    placeMode = "lock"
	modeCommit  placeMode = "commit"
	modeRelease placeMode = "release"
)

// placeItem requests capacity for one attempt from a rack's owner.
type placeItem struct {
	Rack     cluster.Share `json:"rack"`
	RackTerm term          `json:"rackTerm"`
	Home     cluster.Share `json:"home"`
	HomeTerm term          `json:"homeTerm"`
	Mode     placeMode     `json:"mode"`
	Task     TaskRef       `json:"task"`
	Worker   string        `json:"worker"`
	// The following fields are read in modes start and hold only.
	Resources       cluster.Resources `json:"resources,omitzero"`
	AcceleratorKind string            `json:"acceleratorKind,omitempty"`
	Labels          TaskLabels        `json:"labels,omitzero"`
	Command         []string          `json:"command,omitempty"`
	Checkpoint      string            `json:"checkpoint,omitempty"`
	// Rank orders attempts that compete for capacity; lower ranks go first.
	Rank uint64 `json:"rank,omitempty"`
	// ExpectedRunTime is zero if unknown.
	ExpectedRunTime time.Duration `json:"expectedNanoseconds,omitempty"`
	// JobSuspicion is the evidence against the job in thousandths.
	JobSuspicion int64 `json:"doubt,omitempty"`
	// JobProven is set once the job has run somewhere.
	JobProven bool `json:"proven,omitempty"`
	// AnyWorker lets the owner choose another worker of the rack if the named
	// one lacks capacity.
	AnyWorker bool `json:"anywhere,omitempty"`
	// Preempt lets the owner stop other attempts if capacity is lacking.
	Preempt *preemptionTerms `json:"preempt,omitempty"`
}

// preemptionTerms tell which attempts may be preempted for a job.
type preemptionTerms struct {
	Priority document.Priority `json:"priority,omitempty"`
	// Reclaims is set for a team that stays within its guaranteed quota.
	Reclaims bool `json:"reclaims,omitempty"`
	// Borrowers are the teams that use more than their guaranteed quota.
	Borrowers []string `json:"borrowers,omitempty"`
}

// preemptionCostRequest asks on which workers one task would fit after
// preemption, and at what cost.
type preemptionCostRequest struct {
	Need    cluster.Resources `json:"need"`
	Kind    string            `json:"kind,omitempty"`
	Regions []string          `json:"regions,omitempty"`
	Terms   preemptionTerms   `json:"terms"`
}

// preemptionOption is a worker on which a task fits after preemption.
type preemptionOption struct {
	Rack   cluster.Share `json:"rack"`
	Worker string        `json:"worker"`
	Cost   preempt.Cost  `json:"cost"`
}

// preemptionCostReply lists the cheapest options of each rack, cheapest first.
type preemptionCostReply struct {
	Options []preemptionOption `json:"offers,omitempty"`
}

// evictionRequest asks a service's home whether one of its tasks may be
// stopped.
type evictionRequest struct {
	Task TaskRef `json:"task"`
}

type evictionReply struct {
	Granted bool `json:"granted"`
}

// placeRequest carries items to one rack owner. The owner refuses a request
// whose sequence number is not higher than the last one of the same sender
// incarnation, so that a request that was given up cannot take effect late.
type placeRequest struct {
	Incarnation string      `json:"incarnation"`
	Sequence    uint64      `json:"sequence"`
	Items       []placeItem `json:"items"`
}

// Reasons for refused items, in addition to those of package book.
const (
	refusedFenced     book.Reason = "home_fenced"
	refusedNotOwner   book.Reason = "not_owner"
	refusedUnread     book.Reason = "worker_unread"
	refusedSuperseded book.Reason = "overtaken"
	refusedAmount     book.Reason = "amount_out_of_range"
	refusedTerminated book.Reason = "attempt_dead"
)

// placeResult is the result of one item.
type placeResult struct {
	Accepted bool        `json:"accepted,omitempty"`
	Refused  book.Reason `json:"refused,omitempty"`
	Detail   string      `json:"detail,omitempty"`
	// Worker is the worker that the attempt was placed on.
	Worker string `json:"worker,omitempty"`
	// Indeterminate is set if the owner cannot tell whether the attempt runs.
	Indeterminate bool `json:"unsure,omitempty"`
}

// placeReply holds the results in the order of the items, and the changed
// workers and teams.
type placeReply struct {
	Results []placeResult `json:"results"`
	Workers []workerView  `json:"workers,omitempty"`
	Teams   []teamUsage   `json:"teams,omitempty"`
}

// terminationItem asks a rack's owner to stop an attempt or, with Forget, to
// delete its record.
type terminationItem struct {
	Rack     cluster.Share `json:"rack"`
	Home     cluster.Share `json:"home"`
	HomeTerm term          `json:"homeTerm"`
	Task     TaskRef       `json:"task"`
	// Forget deletes a terminated attempt, which is not reported afterwards.
	Forget bool `json:"forget,omitempty"`
	// Checkpoint requests a checkpoint before the stop.
	Checkpoint bool `json:"checkpoint,omitempty"`
}

type terminationRequest struct {
	Items []terminationItem `json:"items"`
}

// terminationReply lists the indexes of items that were not accepted and have
// to be sent again.
type terminationReply struct {
	Retry []int `json:"again,omitempty"`
}

// slotsRequest asks when up to Count tasks will fit.
type slotsRequest struct {
	Need    cluster.Resources `json:"need"`
	Kind    string            `json:"kind,omitempty"`
	Regions []string          `json:"regions,omitempty"`
	Count   int               `json:"count"`
}

// slot is capacity for one task that is expected to be free after AvailableIn.
type slot struct {
	Rack        cluster.Share `json:"rack"`
	Worker      string        `json:"worker"`
	AvailableIn time.Duration `json:"inNanoseconds"`
}

type slotsReply struct {
	Slots []slot `json:"slots,omitempty"`
}

// nominationItem nominates a worker's capacity for a task, or cancels the
// nomination.
type nominationItem struct {
	Rack      cluster.Share     `json:"rack"`
	Home      cluster.Share     `json:"home"`
	HomeTerm  term              `json:"homeTerm"`
	Worker    string            `json:"worker"`
	Task      TaskRef           `json:"task"`
	Team      string            `json:"team"`
	Resources cluster.Resources `json:"resources"`
	// NeededIn is when the task is expected to start.
	NeededIn time.Duration `json:"inNanoseconds"`
	Cancel   bool          `json:"drop,omitempty"`
}

type nominationRequest struct {
	Items []nominationItem `json:"items"`
}

// nominationReply tells for each item whether it was accepted.
type nominationReply struct {
	Accepted []bool `json:"kept"`
}
