// Package scheduler implements the owner of one partition of submissions: it
// tracks the backend servers that run them, decides which task starts on which
// server, and stores the state that the next owner needs. Core makes all
// decisions and does no I/O; Engine feeds it events and carries out the actions
// that it returns.
package scheduler

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// Reasons for which a backend server refuses an order.
const (
	// ReasonFenced: the server has received orders of a later epoch.
	ReasonFenced verdict.Reason = "server_fenced"
	// ReasonStaleRun: the server has had this or a later run of the task.
	ReasonStaleRun verdict.Reason = "server_old_run"
	// ReasonDeadlinePassed: the order's lease deadline had passed.
	ReasonDeadlinePassed verdict.Reason = "server_late"
	// ReasonNoCapacity: the server checks its capacity and is full.
	ReasonNoCapacity verdict.Reason = "server_no_room"
	// ReasonInvalidTicket: the ticket is missing or has expired.
	ReasonInvalidTicket verdict.Reason = "server_ticket"
	// ReasonWrongInstance: the order was addressed to another instance.
	ReasonWrongInstance verdict.Reason = "server_other_life"
	// ReasonUnhealthy: the server did nothing; a retry may succeed.
	ReasonUnhealthy verdict.Reason = "server_unhealthy"
	// ReasonBadOrder: the server could not parse the order.
	ReasonBadOrder verdict.Reason = "server_bad_order"
	// ReasonBadAnswer: an answer contradicts the question.
	ReasonBadAnswer verdict.Reason = "bad_answer"
	// ReasonNoAnswer: it is unknown whether the order was received.
	ReasonNoAnswer verdict.Reason = "server_silent"
)

// ServerInfo is a backend server's entry in the platform's list.
type ServerInfo struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Draining bool
	// Remaining is the least time for which a draining server keeps running.
	Remaining time.Duration
	Capacity  workload.Resources
	// Labels are the server's kind and, last, its rack.
	Labels []string
	// StartedAtMS is when the current instance started, in Unix milliseconds.
	StartedAtMS int64
}

// Rack returns the server's rack, which by convention is the last label.
func (i ServerInfo) Rack() string {
	if len(i.Labels) == 0 {
		return ""
	}
	return i.Labels[len(i.Labels)-1]
}

// Instance identifies one instance of a backend server: another process under
// the same ID and address is another instance.
type Instance struct {
	ID      string
	Address string
	// Session is the Core's number of the instance, by which it recognizes
	// outcomes that belong to an earlier one. It is not sent to the server.
	Session uint64
}

// Order starts or stops one run of a task.
type Order struct {
	Task workload.TaskID
	Run  int
	// Epoch is the fencing token.
	Epoch uint64
	// LeaseDeadlineMS is when the lease of all runs on the server expires, in
	// milliseconds of the server's clock. Stop orders ignore it.
	LeaseDeadlineMS int64
	Spec            string
	Checkpoint      string
	// Ticket is the policy service's permission; empty if the queue needs none.
	Ticket string
}

// PollRequest asks a server for its runs and renews their leases.
type PollRequest struct {
	Epoch uint64
	// LeaseDeadlineMS is as in Order; 0 renews nothing.
	LeaseDeadlineMS int64
	// AckedEnd is the number of the last stored end, which the server may drop
	// with all before it.
	AckedEnd uint64
	// AckValidUntil is when AckedEnd becomes too old to be sent, since another
	// instance may have followed by then.
	AckValidUntil time.Time
	// Wait is how long the server may hold the answer back until a run ends.
	Wait time.Duration
}

// ActiveRun is a run in progress as listed by a server.
type ActiveRun struct {
	Task       workload.TaskID
	Run        int
	Checkpoint string
	Percent    int
	// Usage is the tail latency in milliseconds of a task with a tail latency
	// target, and the CPU in use, in thousandths of a core, of any other task.
	Usage float64
}

// RunEnd is an ended run as listed by a server. Numbers rise within one
// instance.
type RunEnd struct {
	Number     uint64
	Task       workload.TaskID
	Run        int
	Kind       workload.EndKind
	Checkpoint string
}

// PollResponse is a server's answer to a PollRequest.
type PollResponse struct {
	// ClockMS is the server's clock in milliseconds.
	ClockMS int64
	// StartedAtMS is when the answering instance started, in Unix milliseconds;
	// 0 if the answer does not say.
	StartedAtMS int64
	Running     []ActiveRun
	// Ended is ordered by number.
	Ended []RunEnd
	// MoreEnds is set if the server may hold ends beyond those in Ended. Running
	// lists all runs in progress nevertheless.
	MoreEnds bool
	// AckWithheld is set if the request was sent without its acknowledgement,
	// which had become too old.
	AckWithheld bool
}

// ServerClient sends orders to backend servers. The verdict of an error says
// whether the order may still take effect; its reason is one of this package's.
type ServerClient interface {
	// Start returns the server's clock in milliseconds.
	Start(ctx context.Context, to Instance, order Order) (clock int64, err error)
	Stop(ctx context.Context, to Instance, order Order) error
	Poll(ctx context.Context, to Instance, request PollRequest) (PollResponse, error)
	// Throttle limits a task to a percentage of its full speed.
	Throttle(ctx context.Context, to Instance, order Order, percent int) error
}

// StartForwarder sends starts through another daemon, so that what they share
// takes this daemon's link once.
type StartForwarder interface {
	// Choose returns the daemon that forwards a submission's starts. It returns
	// false if there is no other daemon.
	Choose(submission string) (daemon string, ok bool)
	// Forward sends starts of one submission, which is at least one, and returns
	// a result for each. The context's deadline bounds the wait.
	Forward(ctx context.Context, daemon string, starts []StartTask) []StartResult
}

// Shards reaches the owners of the other shards of a service. The verdict of an error
// says whether the call may have had an effect.
type Shards interface {
	// Several reports whether a service has several shards. It does no I/O.
	Several(service string) bool
	// Locate returns whether the partition holds a shard of a service, and else which
	// partition a submission of it lies in. It does no I/O.
	Locate(service, id string) (Location, int)
	// MayHandOver reports whether all daemons are known to understand the records of a
	// handover. It does not wait for those that were not asked yet.
	MayHandOver() bool
	// Ask returns the answers of the owners that answered. It returns none while
	// submissions cannot be handed over.
	Ask(ctx context.Context, question RoomQuestion) []RoomAnswer
	// HandOver returns nil once the owner of the partition holds the submission.
	HandOver(ctx context.Context, partition int, h Handover) error
	// Held returns, for each submission, whether the owner of the partition knows it.
	Held(ctx context.Context, partition int, ids []string) ([]bool, error)
}

// StartResult is the outcome of a forwarded start.
type StartResult struct {
	// ClockMS is the server's clock.
	ClockMS int64
	// Took is the time to the server's answer.
	Took time.Duration
	// Err is as returned by ServerClient.Start.
	Err error
}

// Ticket permits the tasks of a step to start on a server.
type Ticket struct {
	Server string
	Value  string
}

// PolicyClient asks the policy service which of the servers may run a step. The
// service answers the requests of one daemon one at a time.
type PolicyClient interface {
	Authorize(ctx context.Context, step string, servers []string) (tickets []Ticket, validity time.Duration, err error)
}
