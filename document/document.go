// Package document defines the configuration document that a team publishes
// for one service: the requests it answers, the workloads it runs on workers,
// and its quota. The command line and the daemons use it to parse, validate and
// compare documents. Parsing is deterministic: the same text gives the same
// result on every daemon.
package document

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
)

// FormatVersion is the only document format version that Parse accepts.
const FormatVersion = 1

// Document is the published configuration of one service.
type Document struct {
	// Format must be FormatVersion.
	Format  int    `json:"format"`
	Service string `json:"service"`
	Team    string `json:"team"`
	// Requests is nil for a service that answers no requests.
	Requests *Requests `json:"requests,omitempty"`
	// Workloads run on workers.
	Workloads []Workload `json:"workloads,omitempty"`
	Quota     Quota      `json:"quota,omitzero"`
}

// Requests configures how a service's requests are admitted and dispatched.
type Requests struct {
	// Pool is the name of the backend server pool that runs the requests.
	Pool string `json:"pool"`
	// Kinds are the request kinds. A kind's name is the last element of the
	// request path.
	Kinds []RequestKind `json:"kinds"`
	// CallerRate is the maximum number of requests per second from one caller;
	// zero means unlimited.
	CallerRate float64 `json:"callerRate,omitempty"`
	// CallerBurst is the number of requests that one caller may send at once.
	CallerBurst int `json:"callerBurst,omitempty"`
	// MaxQueued is the maximum number of requests queued in one daemon.
	MaxQueued int `json:"maxQueued,omitempty"`
	// MaxBodyBytes limits a request's body and MaxResponseBytes its response.
	MaxBodyBytes     int64 `json:"maxBodyBytes,omitempty"`
	MaxResponseBytes int64 `json:"maxAnswerBytes,omitempty"`
}

// RequestKind configures one kind of request.
type RequestKind struct {
	Name string `json:"name"`
	// Repeatable is true for requests that may safely run more than once, and
	// false for those that must run at most once.
	Repeatable bool `json:"repeatable"`
	// Billed requests one billing record per run.
	Billed bool `json:"billed,omitempty"`
	// Deadline is the maximum time from a request's arrival to its response.
	Deadline Duration `json:"deadline"`
	// DeclaredRunTime is the team's estimate of the time of one run.
	DeclaredRunTime Duration `json:"declaredRunTime,omitempty"`
}

// Class determines how a workload is placed.
type Class string

// Workload classes.
const (
	ClassService Class = "service"
	ClassBatch   Class = "batch"
	ClassGang    Class = "gang"
)

// Priority orders workloads that compete for capacity.
type Priority string

// Priorities, lowest first.
const (
	PriorityLow    Priority = "low"
	PriorityNormal Priority = "normal"
	PriorityHigh   Priority = "high"
	PriorityUrgent Priority = "urgent"
)

// Spread is the topology level over which a workload's tasks are spread.
type Spread string

// Spread levels.
const (
	SpreadNone          Spread = ""
	SpreadRack          Spread = "rack"
	SpreadFailureDomain Spread = "failureDomain"
)

// Start determines which event starts a workload.
type Start string

// Start events. A workload of class service always starts when published.
const (
	StartPublished Start = "published"
	StartSubmitted Start = "submitted"
)

// Workload is a set of identical tasks.
type Workload struct {
	Name     string   `json:"name"`
	Class    Class    `json:"class"`
	Priority Priority `json:"priority,omitempty"`
	Start    Start    `json:"start,omitempty"`
	// Count is the number of tasks. The tasks of a gang run all at once or not
	// at all.
	Count int `json:"count"`
	// Resources is the request of one task.
	Resources cluster.Resources `json:"resources"`
	// AcceleratorKind is the required kind of accelerator; empty is any.
	AcceleratorKind string `json:"acceleratorKind,omitempty"`
	// Regions restricts tasks to these regions; empty allows all.
	Regions []string `json:"regions,omitempty"`
	Spread  Spread   `json:"spread,omitempty"`
	// RunTime is the declared run time of one task; zero for services.
	RunTime Duration `json:"runTime,omitempty"`
	// Checkpointable is true for tasks that can be stopped and resumed from a
	// checkpoint.
	Checkpointable bool `json:"checkpoints,omitempty"`
	// MaxUnavailable is the maximum number of tasks of a service that may be
	// moved at once.
	MaxUnavailable int `json:"maxUnavailable,omitempty"`
	// MaxAttempts limits the attempts of one task; zero selects the default.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Command is passed to the worker without being interpreted.
	Command []string `json:"command,omitempty"`
}

// Quota configures a team's share of the cell's capacity.
type Quota struct {
	// Weight is the team's relative weight when capacity is contended.
	Weight int `json:"weight,omitempty"`
	// Guaranteed is the capacity that the team reclaims at once when it needs
	// it.
	Guaranteed cluster.Resources `json:"guaranteed,omitzero"`
	// Limit is the maximum that the team may use, borrowed capacity included;
	// zero means unlimited.
	Limit cluster.Resources `json:"limit,omitzero"`
}

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// MarshalText formats d as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses the text form. A number without a unit is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
