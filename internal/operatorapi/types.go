// Package operatorapi is the protocol between operators and daemons: the
// typed messages, and the client that the command line uses.
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

// Header names of the protocol.
const (
	// HeaderIdempotencyKey carries the idempotency key of a change.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAuthorization carries "Bearer " and the operator's credential.
	HeaderAuthorization = "Authorization"
)

// Failure is the body of every answer that is not a success.
type Failure struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	Message string          `json:"message"`
	// RetryAfterMilliseconds is zero where there is no advice.
	RetryAfterMilliseconds int64 `json:"retryAfterMilliseconds,omitempty"`
	// Key is the idempotency key under which the change may be resolved.
	Key string `json:"key,omitempty"`
	// CurrentPublication is the publication that a conflicting one lost to.
	CurrentPublication *roles.Publication `json:"winner,omitempty"`
	// Fields lists the faults of a refused document.
	Fields []FieldError `json:"fields,omitempty"`
}

// FieldError is one fault of a document.
type FieldError struct {
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

// Accepted is the answer to a change that took effect.
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
	// Text is left out of lists.
	Text string `json:"text,omitempty"`
}

// InForce says where a log offset is in force.
type InForce struct {
	Offset  uint64          `json:"offset"`
	Daemons []DaemonInForce `json:"daemons"`
	// All is true when every live daemon has the offset in force.
	All bool `json:"all"`
}

// DaemonInForce is one daemon's progress.
type DaemonInForce struct {
	Name       string        `json:"name"`
	Offset     uint64        `json:"offset"`
	InForce    bool          `json:"inForce"`
	SinceHeard time.Duration `json:"heardNanoseconds"`
}

// Submission asks for a run of a workload.
type Submission struct {
	Service  string `json:"service"`
	Workload string `json:"workload"`
	// JobID is chosen by the operator and makes the submission idempotent.
	JobID string `json:"jobId"`
}

// Status is the cell as one daemon sees it, with what its peers say of the
// shares they own.
type Status struct {
	Daemon    cluster.Daemon   `json:"daemon"`
	Log       logclient.Health `json:"log"`
	Offset    uint64           `json:"offset"`
	Documents int              `json:"documents"`
	Daemons   []DaemonStatus   `json:"daemons"`
	Shares    []ShareStatus    `json:"shares"`
	Backends  []BackendStatus  `json:"backends"`
	Placement placer.Status    `json:"placement"`
	// Unresponsive names the daemons that did not answer.
	Unresponsive []string `json:"missing,omitempty"`
}

// DaemonStatus is one daemon.
type DaemonStatus struct {
	Name          string        `json:"name"`
	Region        string        `json:"region"`
	FailureDomain string        `json:"failureDomain"`
	Offset        uint64        `json:"offset"`
	Leaving       bool          `json:"leaving"`
	Shares        int           `json:"shares"`
	SinceHeard    time.Duration `json:"heardNanoseconds"`
}

// ShareStatus is one share by the log.
type ShareStatus struct {
	Share string `json:"share"`
	Owner string `json:"owner"`
	Epoch uint64 `json:"epoch"`
}

// BackendStatus is one backend server by the platform's list.
type BackendStatus struct {
	Name    string `json:"name"`
	Pool    string `json:"pool"`
	Region  string `json:"region"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving"`
	Owner   string `json:"owner"`
}

// Outcome says what became of a change.
type Outcome struct {
	Key string `json:"key"`
	// Known is false where the log, as far as read, has no such record.
	Known         bool   `json:"known"`
	Offset        uint64 `json:"offset,omitempty"`
	RefusalReason string `json:"refused,omitempty"`
	// NextOffset is the first offset not yet read.
	NextOffset uint64 `json:"upTo"`
	// Log is the log's health, which says how far "unknown" can be trusted.
	Log logclient.Health `json:"log"`
}

// Dump is a daemon's state for a person to read.
type Dump struct {
	Daemon cluster.Daemon             `json:"daemon"`
	Time   time.Time                  `json:"time"`
	State  string                     `json:"state"`
	Duties json.RawMessage            `json:"duties"`
	Roles  map[string]json.RawMessage `json:"roles"`
	// Omitted names the parts left out because they were too large.
	Omitted []string `json:"cut,omitempty"`
}
