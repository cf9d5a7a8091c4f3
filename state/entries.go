package state

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/record"
)

// DocumentEntry is a document in force, with the record that published it.
type DocumentEntry struct {
	Document *document.Document
	// Text is the document as published.
	Text     []byte
	Revision uint64
	Team     string
	Author   string
	Offset   uint64
	Time     time.Time
}

// JobPhase is the phase of a job according to the log.
type JobPhase uint8

// Phases of a job.
const (
	JobAccepted JobPhase = iota
	JobCancelled
	JobDone
)

// JobEntry is an accepted job.
type JobEntry struct {
	ID       string
	Service  string
	Team     string
	Author   string
	Workload document.Workload
	Revision uint64
	Offset   uint64
	Time     time.Time
	Phase    JobPhase
	// Done is set once the job's end has been recorded.
	Done *record.Done
}

// ShareEntry is the newest claim on a share, in log order.
type ShareEntry struct {
	Share       cluster.Share
	Epoch       uint64
	Name        string
	Incarnation string
	// Offset is the offset of the claim, or of the release if there is one.
	Offset    uint64
	Released  bool
	Successor string
	Witnesses []string
	// Prior lists the earlier tenures, oldest first, that the claimant did not
	// know to be over.
	Prior []record.Tenure
}

// Publication is one attempt to publish a document.
type Publication struct {
	Service  string    `json:"service"`
	Revision uint64    `json:"revision"`
	Base     uint64    `json:"base"`
	Team     string    `json:"team"`
	Author   string    `json:"author"`
	Offset   uint64    `json:"offset"`
	Time     time.Time `json:"time"`
	// RefusalReason says why the record was refused; empty if it took effect.
	RefusalReason string `json:"refused,omitempty"`
}

// Outcome is the outcome of one record.
type Outcome struct {
	Offset uint64
	// RefusalReason says why the record was refused; empty if it took effect.
	RefusalReason string
}
