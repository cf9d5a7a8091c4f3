// Package operatorapi defines the HTTP API between operators and daemons: the
// types of its messages, and the client that the command line uses.
package operatorapi

import (
	"encoding/json"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/verdict"
)

// HTTP header names.
const (
	// HeaderIdempotencyKey carries the idempotency key of a change.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAuthorization carries "Bearer " followed by the operator's credential.
	HeaderAuthorization = "Authorization"
)

// Failure is the body of every response that does not report success.
type Failure struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	Message string          `json:"message"`
	// RetryAfterMilliseconds is the recommended delay before a retry, 0 if there
	// is no recommendation.
	RetryAfterMilliseconds int64 `json:"retryAfterMilliseconds,omitempty"`
	// Key is the idempotency key by which the outcome of the change can be looked up.
	Key string `json:"key,omitempty"`
	// CurrentPublication is the publication in force when a change conflicts with it.
	CurrentPublication *roles.Publication `json:"winner,omitempty"`
	// Fields lists the errors of an invalid document.
	Fields []FieldError `json:"fields,omitempty"`
}

// FieldError is one error in a document.
type FieldError struct {
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

// Accepted is the response to a change that took effect.
type Accepted struct {
	Key      string `json:"key"`
	Offset   uint64 `json:"offset"`
	Service  string `json:"service,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	JobID    string `json:"jobId,omitempty"`
}

// Document is a document in force.
type Document struct {
	Service  string    `json:"service"`
	Team     string    `json:"team"`
	Author   string    `json:"author"`
	Revision uint64    `json:"revision"`
	Offset   uint64    `json:"offset"`
	Time     time.Time `json:"time"`
	// Text is omitted in lists of documents.
	Text string `json:"text,omitempty"`
}

// InForce is the response to a query on which daemons a log offset is in force.
type InForce struct {
	Offset  uint64          `json:"offset"`
	Daemons []DaemonInForce `json:"daemons"`
	// All is true if the offset is in force on every live daemon.
	All bool `json:"all"`
}

// DaemonInForce is the progress of one daemon. Offset is the first offset that is
// not in force on it, and SinceHeard the time since its last sign of life.
type DaemonInForce struct {
	Name       string        `json:"name"`
	Offset     uint64        `json:"offset"`
	InForce    bool          `json:"inForce"`
	SinceHeard time.Duration `json:"heardNanoseconds"`
}

// Submission requests a run of a workload.
type Submission struct {
	Service  string `json:"service"`
	Workload string `json:"workload"`
	// JobID is chosen by the operator and makes the submission idempotent.
	JobID string `json:"jobId"`
}

// Status is the status of the cell as observed by one daemon, merged with the
// placement status of the other daemons.
type Status struct {
	Daemon    cluster.Daemon   `json:"daemon"`
	Log       logclient.Health `json:"log"`
	Offset    uint64           `json:"offset"`
	Documents int              `json:"documents"`
	Daemons   []DaemonStatus   `json:"daemons"`
	Shares    []ShareStatus    `json:"shares"`
	Backends  []BackendStatus  `json:"backends"`
	Placement placer.Status    `json:"placement"`
	// Unresponsive lists the daemons that did not respond.
	Unresponsive []string `json:"missing,omitempty"`
}

// DaemonStatus is the status of one daemon.
type DaemonStatus struct {
	Name          string        `json:"name"`
	Region        string        `json:"region"`
	FailureDomain string        `json:"failureDomain"`
	Offset        uint64        `json:"offset"`
	Leaving       bool          `json:"leaving"`
	Shares        int           `json:"shares"`
	SinceHeard    time.Duration `json:"heardNanoseconds"`
}

// ShareStatus is the ownership of one share according to the log.
type ShareStatus struct {
	Share string `json:"share"`
	Owner string `json:"owner"`
	Epoch uint64 `json:"epoch"`
}

// BackendStatus is the status of one backend server in the platform's list.
type BackendStatus struct {
	Name    string `json:"name"`
	Pool    string `json:"pool"`
	Region  string `json:"region"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving"`
	Owner   string `json:"owner"`
}

// Outcome is the outcome of a change.
type Outcome struct {
	Key string `json:"key"`
	// Known is false if the part of the log that was read has no record of the change.
	Known         bool   `json:"known"`
	Offset        uint64 `json:"offset,omitempty"`
	RefusalReason string `json:"refused,omitempty"`
	// NextOffset is the first offset not yet read.
	NextOffset uint64 `json:"upTo"`
	// Log is the health of the log. It tells how reliable Known == false is.
	Log logclient.Health `json:"log"`
}

// Dump is the state of a daemon, for debugging.
type Dump struct {
	Daemon cluster.Daemon             `json:"daemon"`
	Time   time.Time                  `json:"time"`
	State  string                     `json:"state"`
	Duties json.RawMessage            `json:"duties"`
	Roles  map[string]json.RawMessage `json:"roles"`
	// Omitted lists the roles whose state was omitted because it was too large.
	Omitted []string `json:"cut,omitempty"`
}
