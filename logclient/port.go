// Package logclient reads and writes the platform's append-only log. A
// daemon's store and the operators' commands call it. It makes appends
// idempotent by record keys, combines them into batches, resolves appends
// whose answer was lost by reading the log, keeps within an append budget, and
// reports the log's health. The error of an append states by its verdict
// whether the records are certainly not in the log or may be.
package logclient

import (
	"context"
	"time"
)

// Credential authenticates the author of an append to the platform. The
// platform states the author of every record.
type Credential string

// StoredRecord is one record as the log returns it.
type StoredRecord struct {
	Offset uint64 `json:"offset"`
	// Author is the author of the record according to the platform, as
	// "team/name".
	Author string `json:"author"`
	// Time is the platform's time of the append.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// Page is the log's answer to one read.
type Page struct {
	Records []StoredRecord `json:"records"`
	// Oldest is the first offset that the log still holds.
	Oldest uint64 `json:"oldest"`
	// Head is the offset of the next record to be appended.
	Head uint64 `json:"head"`
}

// Log is the platform's log. Its errors carry a verdict: NotRun if an append
// certainly had no effect, MayHaveRun otherwise.
type Log interface {
	// Append adds the entries in order and atomically, and returns the offset
	// of the first one.
	Append(ctx context.Context, credential Credential, entries [][]byte) (first uint64, err error)
	// Read returns up to limit records from the given offset on. At the head
	// it waits for a record for up to the given time. For an offset below the
	// oldest one it returns no records, with Oldest and Head set.
	Read(ctx context.Context, from uint64, limit int, wait time.Duration) (Page, error)
}
