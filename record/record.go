// Package record defines what the scheduler writes to the platform's log. All
// daemons read the same records in the same order and fold them into the same
// state.
package record

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/verdict"
)

// Kind says which body a record carries.
type Kind uint8

// The kinds of records. Numbers are never reused.
const (
	KindDocument Kind = 1
	KindJoin     Kind = 2
	KindLeave    Kind = 3
	KindClaim    Kind = 4
	KindRelease  Kind = 5
	KindJob      Kind = 6
	KindCancel   Kind = 7
	KindDone     Kind = 8
	KindBill     Kind = 9
	KindSnapshot Kind = 10
)

// Record is one entry of the log. Exactly the body named by Kind is set.
type Record struct {
	// Key makes appends idempotent: of records with equal keys, only the
	// first counts.
	Key  string `cbor:"1,keyasint"`
	Kind Kind   `cbor:"2,keyasint"`
	// CreatedAfter is an offset that the writer had folded when the record was first
	// made, and stays the same when it is appended again. A reader that has
	// forgotten keys from that time on refuses the record, since it may be a
	// duplicate. Zero makes no such statement.
	CreatedAfter uint64 `cbor:"3,keyasint,omitempty"`

	Document *Document     `cbor:"10,keyasint,omitempty"`
	Join     *Join         `cbor:"11,keyasint,omitempty"`
	Leave    *Leave        `cbor:"12,keyasint,omitempty"`
	Claim    *Claim        `cbor:"13,keyasint,omitempty"`
	Release  *Release      `cbor:"14,keyasint,omitempty"`
	Job      *Job          `cbor:"15,keyasint,omitempty"`
	Cancel   *Cancel       `cbor:"16,keyasint,omitempty"`
	Done     *Done         `cbor:"17,keyasint,omitempty"`
	Bill     *Bill         `cbor:"18,keyasint,omitempty"`
	Snapshot *SnapshotPart `cbor:"19,keyasint,omitempty"`
}

// Document publishes or withdraws one service's document. It takes effect
// only if Base is the service's revision when the record is reached.
type Document struct {
	Service string `cbor:"1,keyasint"`
	// Base is the revision that the operator saw; zero for a new service.
	Base uint64 `cbor:"2,keyasint"`
	// Text is the document as published. Empty withdraws it.
	Text []byte `cbor:"3,keyasint"`
}

// Join announces a new incarnation of a daemon. It ends any earlier one of
// the same name.
type Join struct {
	Daemon cluster.Daemon `cbor:"1,keyasint"`
}

// Leave ends an incarnation.
type Leave struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// By is the daemon that wrote the record; it differs from Name when a
	// peer reports a daemon that the platform lists no more.
	By string `cbor:"3,keyasint"`
}

// ShareEpoch names a share at one epoch.
type ShareEpoch struct {
	Share cluster.Share `cbor:"1,keyasint"`
	Epoch uint64        `cbor:"2,keyasint"`
	// Prior is set in claims only: the earlier tenures, oldest first, that
	// were not known to be over when the claim was made. The fold keeps the
	// list of the claim that it grants and drops it on a release.
	Prior []Tenure `cbor:"3,keyasint,omitempty"`
}

// Tenure is one granted claim on a share.
type Tenure struct {
	Epoch       uint64 `cbor:"1,keyasint" json:"epoch"`
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	// Witnesses are the incarnations that may vouch for the holder.
	Witnesses []string `cbor:"3,keyasint" json:"witnesses"`
}

// Claim asks for shares. Each one is granted only if its epoch is the one
// after the share's current epoch when the record is reached.
type Claim struct {
	Name        string       `cbor:"1,keyasint"`
	Incarnation string       `cbor:"2,keyasint"`
	Shares      []ShareEpoch `cbor:"3,keyasint"`
	// Witnesses are the incarnations that may vouch for the holder while the
	// log is down.
	Witnesses []string `cbor:"4,keyasint"`
}

// Release gives shares up. The holder has stopped acting for them before it
// wrote the record, so that a successor need not wait.
type Release struct {
	Name        string       `cbor:"1,keyasint"`
	Incarnation string       `cbor:"2,keyasint"`
	Shares      []ShareEpoch `cbor:"3,keyasint"`
	// Successor is the daemon to take the shares, or empty.
	Successor string `cbor:"4,keyasint"`
}

// Job accepts a run of one workload of a document.
type Job struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Workload string `cbor:"3,keyasint"`
	// Revision is the document revision that the job runs under.
	Revision uint64 `cbor:"4,keyasint"`
}

// Cancel ends a job.
type Cancel struct {
	JobID string `cbor:"1,keyasint"`
}

// Done reports a job's end.
type Done struct {
	JobID string `cbor:"1,keyasint"`
	// Succeeded and Failed count the job's tasks.
	Succeeded int `cbor:"2,keyasint"`
	Failed    int `cbor:"3,keyasint"`
	// Reason says why a job failed or can never run.
	Reason string `cbor:"4,keyasint"`
}

// Bill is one billed run of a request.
type Bill struct {
	// RequestKey is the key of the request that ran.
	RequestKey string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"`
	Team       string `cbor:"3,keyasint"`
	Revision   uint64 `cbor:"4,keyasint"`
	Caller     string `cbor:"5,keyasint"`
	Kind       string `cbor:"6,keyasint"`
	// Verdict is Ran, or MayHaveRun where the outcome was lost.
	Verdict verdict.Verdict `cbor:"7,keyasint"`
	// RunTime is the measured run time.
	RunTime time.Duration `cbor:"8,keyasint"`
}

// SnapshotPart is one chunk of a snapshot of the folded state.
type SnapshotPart struct {
	// ID is shared by all parts of one snapshot.
	ID string `cbor:"1,keyasint"`
	// Offset is the first offset that the snapshot does not cover.
	Offset uint64 `cbor:"2,keyasint"`
	Index  int    `cbor:"3,keyasint"`
	Count  int    `cbor:"4,keyasint"`
	// Sum is the xxhash of the whole compressed snapshot.
	Sum  uint64 `cbor:"5,keyasint"`
	Data []byte `cbor:"6,keyasint"`
}
