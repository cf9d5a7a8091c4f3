// Package record defines the records that the scheduler writes to the
// platform's log, and their encoding. Daemons and operators' commands append
// records; every daemon reads them in the same order and applies them to the
// same state. Encoding is deterministic: equal records have equal bytes.
package record

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/verdict"
)

// Kind says which body a record has.
type Kind uint8

// Kinds of records. Numbers are never reused.
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

// Record is one entry of the log. Exactly one body is set, the one named by
// Kind.
type Record struct {
	// Key makes appends idempotent: of the records with equal keys by authors
	// of one team, only the first takes effect.
	Key  string `cbor:"1,keyasint"`
	Kind Kind   `cbor:"2,keyasint"`
	// CreatedAfter is an offset up to which the writer had applied the log
	// when it created the record. It stays the same when the record is
	// appended again. A reader that no longer remembers all keys from that
	// offset on refuses the record, since it may be a duplicate. Zero disables
	// this check.
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

// Document publishes or withdraws one service's document. It takes effect only
// if Base is the service's revision at this point of the log.
type Document struct {
	Service string `cbor:"1,keyasint"`
	// Base is the revision that the document replaces; zero for a new service.
	Base uint64 `cbor:"2,keyasint"`
	// Text is the document as published. An empty text withdraws it.
	Text []byte `cbor:"3,keyasint"`
}

// Join announces a new incarnation of a daemon. It ends any earlier
// incarnation of the same name.
type Join struct {
	Daemon cluster.Daemon `cbor:"1,keyasint"`
}

// Leave ends an incarnation of a daemon.
type Leave struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// By is the daemon that wrote the record. It differs from Name when
	// another daemon records the end of one that the platform no longer lists.
	By string `cbor:"3,keyasint"`
}

// ShareEpoch identifies a share at one epoch.
type ShareEpoch struct {
	Share cluster.Share `cbor:"1,keyasint"`
	Epoch uint64        `cbor:"2,keyasint"`
	// Prior is set in claims only: the earlier tenures, oldest first, that
	// were not known to be over when the claim was made. The state keeps the
	// list of the claim that it grants and drops it on a release.
	Prior []Tenure `cbor:"3,keyasint,omitempty"`
}

// Tenure is one granted claim on a share.
type Tenure struct {
	Epoch       uint64 `cbor:"1,keyasint" json:"epoch"`
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	// Witnesses are the incarnations that may attest for the holder.
	Witnesses []string `cbor:"3,keyasint" json:"witnesses"`
}

// Claim asks for shares. Each one is granted only if its epoch follows the
// share's current epoch at this point of the log.
type Claim struct {
	Name        string       `cbor:"1,keyasint"`
	Incarnation string       `cbor:"2,keyasint"`
	Shares      []ShareEpoch `cbor:"3,keyasint"`
	// Witnesses are the incarnations that may attest for the holder while the
	// log is down.
	Witnesses []string `cbor:"4,keyasint"`
}

// Release gives up shares. The holder stopped acting for them before it wrote
// the record, so a successor need not wait.
type Release struct {
	Name        string       `cbor:"1,keyasint"`
	Incarnation string       `cbor:"2,keyasint"`
	Shares      []ShareEpoch `cbor:"3,keyasint"`
	// Successor is the daemon that should claim the shares next, or empty.
	Successor string `cbor:"4,keyasint"`
}

// Job submits a run of one workload of a document.
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

// Done records the end of a job.
type Done struct {
	JobID string `cbor:"1,keyasint"`
	// Succeeded and Failed count the job's tasks.
	Succeeded int `cbor:"2,keyasint"`
	Failed    int `cbor:"3,keyasint"`
	// Reason says why the job failed or can never run.
	Reason string `cbor:"4,keyasint"`
}

// Bill records one billed run of a request.
type Bill struct {
	// RequestKey is the idempotency key of the request.
	RequestKey string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"`
	Team       string `cbor:"3,keyasint"`
	Revision   uint64 `cbor:"4,keyasint"`
	Caller     string `cbor:"5,keyasint"`
	Kind       string `cbor:"6,keyasint"`
	// Verdict is Ran, or MayHaveRun if the outcome is unknown.
	Verdict verdict.Verdict `cbor:"7,keyasint"`
	// RunTime is the measured run time.
	RunTime time.Duration `cbor:"8,keyasint"`
}

// SnapshotPart is one part of a snapshot of the state.
type SnapshotPart struct {
	// ID is the same in all parts of one snapshot.
	ID string `cbor:"1,keyasint"`
	// Offset is the first offset that the snapshot does not cover.
	Offset uint64 `cbor:"2,keyasint"`
	Index  int    `cbor:"3,keyasint"`
	Count  int    `cbor:"4,keyasint"`
	// Sum is the xxhash of the complete compressed snapshot.
	Sum  uint64 `cbor:"5,keyasint"`
	Data []byte `cbor:"6,keyasint"`
}
