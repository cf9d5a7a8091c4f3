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
	// DelayMS is the delay before it is sent, in milliseconds.
	DelayMS int
}

// StopTask sends a stop order to a server.
type StopTask struct {
	To    Instance
	Order Order
	// DelayMS is the delay before it is sent, in milliseconds.
	DelayMS int
}

// PollServer polls a server.
type PollServer struct {
	To      Instance
	Request PollRequest
	// DelayMS is the delay before it is sent, in milliseconds.
	DelayMS int
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

// SendReply answers a caller.
type SendReply struct {
	Reply  func(Reply)
	Answer Reply
}

func (StartTask) action()            {}
func (StopTask) action()             {}
func (PollServer) action()           {}
func (RequestAuthorization) action() {}
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
)

// Reply is the answer to a call by a caller.
type Reply struct {
	Outcome Outcome         `json:"outcome"`
	Status  workload.Status `json:"status,omitempty"`
	Pending int             `json:"pending,omitempty"`
	// RetryAfterMS is the delay before a refused caller should retry, in
	// milliseconds.
	RetryAfterMS int64 `json:"retryAfterMS,omitempty"`
	// Reason says why a call was refused.
	Reason string `json:"reason,omitempty"`
}
