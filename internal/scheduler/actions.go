package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

// Action is something that the Core wants done. The Engine carries it out and
// reports the outcome as an event.
type Action interface{ action() }

// StartTask sends a start order to a server.
type StartTask struct {
	To    Instance
	Order Order
	// Attempt is the number of copies of the order sent before.
	Attempt int
	// Delay is the least time before it is sent.
	Delay time.Duration
	// Expires is when the order becomes useless. StartNotSent is called for one
	// that was not sent by then.
	Expires time.Time
}

// StopTask sends a stop order to a server.
type StopTask struct {
	To    Instance
	Order Order
	// Attempt is the number of copies of the order sent before.
	Attempt int
	// Delay is the least time before it is sent.
	Delay time.Duration
}

// PollServer polls a server.
type PollServer struct {
	To      Instance
	Request PollRequest
	// Delay is the least time before it is sent.
	Delay time.Duration
}

// RequestAuthorization asks the policy service which servers may run a step.
type RequestAuthorization struct {
	Step    workload.TaskID
	Servers []string
	// Cost is the expected time to the answer, by the queue's settings.
	Cost time.Duration
}

// Store appends records to the partition.
type Store struct {
	WriteID uint64
	Records []partition.Record
}

// AskRoom asks the owners of the service's other shards whether they have room.
type AskRoom struct{ Question RoomQuestion }

// SendHandover hands a submission over to the owner of another partition.
type SendHandover struct {
	To       int
	Handover Handover
	// Delay is the time before it is sent.
	Delay time.Duration
}

// QueryHeld asks the owner of another partition which submissions it knows.
type QueryHeld struct {
	Partition int
	IDs       []string
}

// SendReply answers a caller.
type SendReply struct {
	Reply  func(Reply)
	Answer Reply
}

func (StartTask) action()            {}
func (StopTask) action()             {}
func (PollServer) action()           {}
func (RequestAuthorization) action() {}
func (AskRoom) action()              {}
func (SendHandover) action()         {}
func (QueryHeld) action()            {}
func (Store) action()                {}
func (SendReply) action()            {}

// Outcome is the result of a call by a caller.
type Outcome uint8

const (
	// OutcomeDone means that the call took effect, now or earlier.
	OutcomeDone Outcome = iota
	// OutcomeNotFound means that there is no such submission or queue.
	OutcomeNotFound
	// OutcomeRefused means that the submission was not accepted and never runs.
	OutcomeRefused
	// OutcomeUnavailable means the same, because nothing can be stored now.
	OutcomeUnavailable
	// OutcomeInvalid means that the submission was not accepted, never runs and
	// would not be accepted again.
	OutcomeInvalid
	// OutcomeForwarded means that another partition holds the submission, or is about
	// to. It does not reach callers.
	OutcomeForwarded
	// OutcomeConflict means that a submission of another tenant or another queue has the ID.
	OutcomeConflict
)

// Reply is the answer to a call by a caller.
type Reply struct {
	Outcome Outcome         `json:"outcome"`
	Status  workload.Status `json:"status,omitempty"`
	Pending int             `json:"pending,omitempty"`
	// Partition is the one that holds a forwarded submission, by the handover with that
	// Number. Delivered is set once it has confirmed that; until then Status is the last
	// state here.
	Partition int  `json:"partition,omitempty"`
	Number    int  `json:"number,omitempty"`
	Delivered bool `json:"delivered,omitempty"`
	// RetryAfterMS is the delay before a refused caller should retry, in
	// milliseconds.
	RetryAfterMS int64 `json:"retryAfterMS,omitempty"`
	// ConfigVersion is the version of the configuration by which the owner replied; 0 if it is
	// not known.
	ConfigVersion uint64 `json:"configVersion,omitempty"`
	// Reason says why a call was refused, and Detail which bound it exceeds.
	Reason string `json:"reason,omitempty"`
	Detail string `json:"detail,omitempty"`
}
