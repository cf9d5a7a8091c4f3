// Package scheduler is the owner of one partition of submissions: it keeps the
// book of the backend servers that run them, decides which task starts where,
// and stores what must last. Core holds all decisions and does no I/O; Engine
// gives it events and carries out the actions it returns.
package scheduler

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// Reasons for which a backend server refuses an order.
const (
	// ReasonFenced means that a later epoch has given orders there.
	ReasonFenced verdict.Reason = "server_fenced"
	// ReasonStaleRun means that this or a later run of the task was there.
	ReasonStaleRun verdict.Reason = "server_old_run"
	// ReasonDeadlinePassed means that the order's deadline had passed.
	ReasonDeadlinePassed verdict.Reason = "server_late"
	// ReasonNoCapacity means that the server guards its capacity and is full.
	ReasonNoCapacity verdict.Reason = "server_no_room"
	// ReasonInvalidTicket means that the permission is missing or has expired.
	ReasonInvalidTicket verdict.Reason = "server_ticket"
	// ReasonWrongInstance means that the order was meant for an earlier life.
	ReasonWrongInstance verdict.Reason = "server_other_life"
	// ReasonUnhealthy means that the server did nothing and may later.
	ReasonUnhealthy verdict.Reason = "server_unhealthy"
	// ReasonBadOrder means that the server cannot read the order.
	ReasonBadOrder verdict.Reason = "server_bad_order"
	// ReasonNoAnswer means that nothing is known of the order.
	ReasonNoAnswer verdict.Reason = "server_silent"
)

// ServerInfo is what a backend server says of itself in the platform's list.
type ServerInfo struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Draining bool
	// Remaining is the least time that a draining server still runs.
	Remaining time.Duration
	Capacity  workload.Resources
	// Labels are its kind and its rack.
	Labels []string
	// StartedAtMS is the start of its present life, as Unix milliseconds.
	StartedAtMS int64
}

// Rack returns the server's rack, by the convention that it is the last label.
func (i ServerInfo) Rack() string {
	if len(i.Labels) == 0 {
		return ""
	}
	return i.Labels[len(i.Labels)-1]
}

// Instance names one life of a backend server.
type Instance struct {
	ID      string
	Address string
}

// Order is a start or a stop of one run of a task.
type Order struct {
	Task workload.TaskID
	Run  int
	// Epoch is the fencing token.
	Epoch uint64
	// LeaseDeadlineMS is when the lease of everything on the server ends, on its clock
	// in milliseconds. It counts for starts only.
	LeaseDeadlineMS int64
	Spec            string
	Checkpoint      string
	// Ticket is the policy's permission; empty where none is needed.
	Ticket string
}

// PollRequest asks a server for its runs and extends their leases.
type PollRequest struct {
	Epoch uint64
	// LeaseDeadlineMS is as in Order; 0 extends nothing.
	LeaseDeadlineMS int64
	// AckedEnd is the number of the last end that is stored and may be forgotten.
	AckedEnd uint64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// ActiveRun is a run in a server's list.
type ActiveRun struct {
	Task       workload.TaskID
	Run        int
	Checkpoint string
	Percent    int
	// Usage is the tail in milliseconds of a task with a tail target, and the
	// CPU in use, in thousandths of a core, of any other.
	Usage float64
}

// RunEnd is an ended run in a server's list. Numbers rise within one life.
type RunEnd struct {
	Number     uint64
	Task       workload.TaskID
	Run        int
	Kind       workload.EndKind
	Checkpoint string
}

// PollResponse is a server's answer to a Look.
type PollResponse struct {
	// ClockMS is the server's clock in milliseconds.
	ClockMS int64
	// StartedAtMS is the start of the life that answered, as Unix milliseconds; 0 if
	// it did not say.
	StartedAtMS int64
	Running     []ActiveRun
	Ended       []RunEnd
}

// ServerClient gives orders to backend servers. The verdict of an error says whether
// the order may still be carried out; its reason is one of this package's.
type ServerClient interface {
	// Start returns the server's clock in milliseconds.
	Start(ctx context.Context, to Instance, order Order) (clock int64, err error)
	Stop(ctx context.Context, to Instance, order Order) error
	Poll(ctx context.Context, to Instance, look PollRequest) (PollResponse, error)
	// Throttle lets a task work at a share of its speed, in percent.
	Throttle(ctx context.Context, to Instance, order Order, percent int) error
}

// Ticket permits a step's tasks to start on a server.
type Ticket struct {
	Server string
	Value  string
}

// PolicyClient asks the policy service which of the servers may run a step. Calls of
// one daemon are answered in turn.
type PolicyClient interface {
	Authorize(ctx context.Context, step string, servers []string) (tickets []Ticket, validity time.Duration, err error)
}
