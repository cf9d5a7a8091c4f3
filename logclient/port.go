// Package logclient reads and writes the platform's append-only log. It makes
// appends idempotent, finds out what became of an append whose answer was
// lost, keeps within a budget, and judges the log's health.
package logclient

import (
	"context"
	"time"
)

// Credential proves to the platform on whose behalf an append is made. The
// platform states the matching author with every record.
type Credential string

// StoredRecord is one record as the log returns it.
type StoredRecord struct {
	Offset uint64 `json:"offset"`
	// Author is who the platform says appended the record, as "team/name".
	Author string `json:"author"`
	// Time is the platform's time of the append.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// Page is the answer to one read.
type Page struct {
	Records []StoredRecord `json:"records"`
	// Oldest is the first offset that the log still keeps.
	Oldest uint64 `json:"oldest"`
	// Head is the offset that the next append will take.
	Head uint64 `json:"head"`
}

// Log is the platform's log as this package needs it. Errors carry a verdict:
// NotRun where an append certainly had no effect, MayHaveRun otherwise.
type Log interface {
	// Append adds the entries in order and as one unit, and returns the
	// offset of the first.
	Append(ctx context.Context, credential Credential, entries [][]byte) (first uint64, err error)
	// Read returns up to limit records from offset on. At the head it waits
	// up to wait for a record to come. A from below the oldest kept offset
	// returns no records, with Oldest and Head set.
	Read(ctx context.Context, from uint64, limit int, wait time.Duration) (Page, error)
}
