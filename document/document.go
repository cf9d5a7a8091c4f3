// Package document defines what a team publishes for one service: the
// requests it answers, the work it runs on workers, and its limits.
package document

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
)

// FormatVersion is the document format that this package reads.
const FormatVersion = 1

// Document is one service's needs and how its work is treated.
type Document struct {
	// Format is the document format's version.
	Format  int    `json:"format"`
	Service string `json:"service"`
	Team    string `json:"team"`
	// Requests is nil for a service that answers no requests.
	Requests *Requests `json:"requests,omitempty"`
	// Workloads run on workers.
	Workloads []Workload `json:"workloads,omitempty"`
	Quota     Quota      `json:"quota,omitzero"`
}

// Requests says how a service's requests are treated.
type Requests struct {
	// Pool names the backend servers that answer.
	Pool string `json:"pool"`
	// Kinds are the request kinds by the last element of their path.
	Kinds []RequestKind `json:"kinds"`
	// CallerRate is the requests a second that one caller may send; zero is
	// unlimited.
	CallerRate float64 `json:"callerRate,omitempty"`
	// CallerBurst is the requests that one caller may send at once.
	CallerBurst int `json:"callerBurst,omitempty"`
	// MaxQueued bounds the requests waiting in one daemon.
	MaxQueued int `json:"maxQueued,omitempty"`
	// MaxBodyBytes bounds a request's body and MaxAnswerBytes its answer.
	MaxBodyBytes     int64 `json:"maxBodyBytes,omitempty"`
	MaxResponseBytes int64 `json:"maxAnswerBytes,omitempty"`
}

// RequestKind is one kind of request.
type RequestKind struct {
	Name string `json:"name"`
	// Repeatable is false for a request that must run at most once.
	Repeatable bool `json:"repeatable"`
	// Billed asks for one billing record a run.
	Billed bool `json:"billed,omitempty"`
	// Deadline is the longest time from arrival to answer.
	Deadline Duration `json:"deadline"`
	// DeclaredRunTime is the team's estimate of one run.
	DeclaredRunTime Duration `json:"declaredRunTime,omitempty"`
}

// Class says how a workload is placed.
type Class string

// The classes of workloads.
const (
	ClassService Class = "service"
	ClassBatch   Class = "batch"
	ClassGang    Class = "gang"
)

// Priority orders work that competes for room.
type Priority string

// The priorities, lowest first.
const (
	PriorityLow    Priority = "low"
	PriorityNormal Priority = "normal"
	PriorityHigh   Priority = "high"
	PriorityUrgent Priority = "urgent"
)

// Spread says over what a workload's tasks are spread.
type Spread string

// The ways to spread tasks.
const (
	SpreadNone          Spread = ""
	SpreadRack          Spread = "rack"
	SpreadFailureDomain Spread = "failureDomain"
)

// Start says what starts a workload.
type Start string

// The ways to start a workload. A service always starts when published.
const (
	StartPublished Start = "published"
	StartSubmitted Start = "submitted"
)

// Workload is a set of equal tasks.
type Workload struct {
	Name     string   `json:"name"`
	Class    Class    `json:"class"`
	Priority Priority `json:"priority,omitempty"`
	Start    Start    `json:"start,omitempty"`
	// Count is the number of tasks; all of a gang run at once or none does.
	Count int `json:"count"`
	// Resources is what one task needs.
	Resources cluster.Resources `json:"resources"`
	// AcceleratorKind names the accelerators needed, if any.
	AcceleratorKind string `json:"acceleratorKind,omitempty"`
	// Regions limits where tasks run; empty is anywhere.
	Regions []string `json:"regions,omitempty"`
	Spread  Spread   `json:"spread,omitempty"`
	// RunTime is the declared run time of one task; zero for services.
	RunTime Duration `json:"runTime,omitempty"`
	// Checkpointable is true for tasks that can be stopped and resumed.
	Checkpointable bool `json:"checkpoints,omitempty"`
	// MaxUnavailable is how many tasks of a service may be moved at once.
	MaxUnavailable int `json:"maxUnavailable,omitempty"`
	// MaxAttempts bounds the attempts of one task; zero is the default.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Command is passed to the worker unread.
	Command []string `json:"command,omitempty"`
}

// Quota is a team's part of the cell.
type Quota struct {
	// Weight is the team's part of what is contended.
	Weight int `json:"weight,omitempty"`
	// Guaranteed is what the team gets back at once when it needs it.
	Guaranteed cluster.Resources `json:"guaranteed,omitzero"`
	// Limit bounds what the team uses, borrowed room included; zero is
	// unlimited.
	Limit cluster.Resources `json:"limit,omitzero"`
}

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// MarshalText returns the text form.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads the text form. A number without a unit is an error.
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
