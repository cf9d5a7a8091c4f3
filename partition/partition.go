// Package partition keeps state in partitions of a keyed log that the platform
// runs. A partition has one owner at a time, which the platform's group
// membership deals out; what the owner appends carries its epoch, so that the
// appends of an earlier owner are refused by the log itself.
package partition

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
)

// Reasons of the errors that a Log returns.
const (
	// ReasonFenced means that a later epoch has written.
	ReasonFenced verdict.Reason = "log_fenced"
	// ReasonOutOfSequence means that the append does not follow the last one.
	ReasonOutOfSequence verdict.Reason = "log_sequence"
	// ReasonOffsetMismatch means that the partition does not end where it was expected.
	ReasonOffsetMismatch verdict.Reason = "log_moved"
	// ReasonTruncated means that the records asked for are no longer kept.
	ReasonTruncated verdict.Reason = "log_truncated"
	// ReasonUnavailable means that the log did nothing, being busy or down.
	ReasonUnavailable verdict.Reason = "log_refused"
	// ReasonNoAnswer means that nothing is known of the call.
	ReasonNoAnswer verdict.Reason = "log_no_answer"
)

// ID names one partition.
type ID struct {
	Topic string
	Part  int
}

// Record is the value of a key. A nil Value drops the key.
type Record struct {
	Key    string
	Value  []byte
	Offset uint64
}

// Fence guards an append. Without a producer only the offset guards it.
type Fence struct {
	Producer string
	// Epoch rises with each owner.
	Epoch uint64
	// Sequence rises by one with each append of an epoch.
	Sequence uint64
	// At, if set, is the offset at which the partition must end.
	At *uint64
}

// Page is a part of a partition's newest records, in the order of keys.
type Page struct {
	Records []Record
	// More says that records follow after the last key.
	More bool
	// End is the offset that follows the last record of the partition.
	End uint64
}

// Batch is a run of records in the order of offsets.
type Batch struct {
	Records []Record
	// Next is the offset to read from next.
	Next uint64
}

// Log is the platform's keyed log. The verdict of an error says whether an
// append may be in the log.
type Log interface {
	Append(ctx context.Context, id ID, fence Fence, records []Record) error
	ReadLatest(ctx context.Context, id ID, after string) (Page, error)
	// Read waits for a record at from, at most for wait, and returns an empty
	// batch if none came.
	Read(ctx context.Context, id ID, from uint64, wait time.Duration) (Batch, error)
}

// Holder is a partition with its holder.
type Holder struct {
	ID     ID
	Member string
}

// Assignment is a member's answer from the group.
type Assignment struct {
	// Generation rises with each change of the group.
	Generation uint64
	Held       []ID
}

// Group deals partitions to its members.
type Group interface {
	// Join keeps the member in the group for ttl and returns what it holds.
	Join(ctx context.Context, member string, generation uint64, ttl time.Duration) (Assignment, error)
	Leave(ctx context.Context, member string) error
	// Holders lists the holders of all partitions.
	Holders(ctx context.Context) ([]Holder, error)
}

// pageTimeout is the longest wait for one page, several attempts included.
const pageTimeout = 4 * time.Second

// ReadAll reads the newest record of every key. Records may be appended between
// pages; end is where to read on so that none is missed.
func ReadAll(ctx context.Context, log Log, id ID) (records []Record, end uint64, err error) {
	page, err := newestPage(ctx, log, id, "")
	if err != nil {
		return nil, 0, err
	}
	end = page.End
	for {
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return records, end, nil
		}
		page, err = newestPage(ctx, log, id, page.Records[len(page.Records)-1].Key)
		if err != nil {
			return nil, 0, err
		}
	}
}

// newestPage reads one page. A log that falls silent fails it in time.
func newestPage(ctx context.Context, log Log, id ID, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	page, _, err := repeat(ctx, hangTime, func(ctx context.Context) (Page, error) { return log.ReadLatest(ctx, id, after) })
	return page, err
}
