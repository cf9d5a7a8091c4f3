package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

// Action is something that the Core wants done. The Engine carries it out and
// reports the outcome as an event.
type Action interface{ action() }

// StartTask sends a start to a server.
type StartTask struct {
	To    Instance
	Order Order
	// DelayMS is a pause before it is sent, in milliseconds.
	DelayMS int
}

// StopTask sends a stop to a server.
type StopTask struct {
	To    Instance
	Order Order
	// DelayMS is a pause before it is sent, in milliseconds.
	DelayMS int
}

// LookAt looks at a server.
type LookAt struct {
	To   Instance
	Look PollRequest
	// DelayMS is a pause before it is sent, in milliseconds.
	DelayMS int
}

// AskAdvice asks which servers may run a step.
type AskAdvice struct {
	Step    workload.TaskID
	Servers []string
	// Cost is how long the answer takes by the queue's terms.
	Cost time.Duration
}

// Store appends records to the partition.
type Store struct {
	Ticket  uint64
	Records []partition.Record
}

// Answer ends a caller's wait.
type Answer struct {
	Reply  func(Reply)
	Answer Reply
}

func (StartTask) action() {}
func (StopTask) action()  {}
func (LookAt) action()    {}
func (AskAdvice) action() {}
func (Store) action()     {}
func (Answer) action()    {}

// Outcome says what became of a caller's call.
type Outcome uint8

// The outcomes.
const (
	// OutcomeDone means that the call took effect, or had before.
	OutcomeDone Outcome = iota
	// OutcomeNotFound means that there is no such submission or queue.
	OutcomeNotFound
	// OutcomeRefused means that the submission was not accepted and never runs.
	OutcomeRefused
	// OutcomeUnavailable means the same, since nothing can be stored now.
	OutcomeUnavailable
)

// Reply is the answer to a caller's call.
type Reply struct {
	Outcome Outcome         `json:"outcome"`
	Status  workload.Status `json:"status,omitempty"`
	Pending int             `json:"pending,omitempty"`
	// RetryAfterMS is when a refused caller should come back, in milliseconds.
	RetryAfterMS int64 `json:"retryAfterMS,omitempty"`
	// Reason says why a call was refused.
	Reason string `json:"reason,omitempty"`
}
