// Package partition gives access to the partitions of the platform's keyed log,
// in which daemons keep their state. Schedulers, layouts and the readers of
// platform records call it; package platform implements Log and Group. The
// platform's group membership assigns each partition to one member at a time.
// Appends carry the owner's epoch, and the log refuses those of an earlier
// epoch, so that a former owner cannot overwrite the state of its successor.
package partition

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
)

// Reasons of the errors that a Log returns.
const (
	// ReasonFenced: a later epoch has written to the partition.
	ReasonFenced verdict.Reason = "log_fenced"
	// ReasonOutOfSequence: the sequence number does not follow that of the last
	// append.
	ReasonOutOfSequence verdict.Reason = "log_sequence"
	// ReasonOffsetMismatch: the partition does not end at the expected offset.
	ReasonOffsetMismatch verdict.Reason = "log_moved"
	// ReasonTruncated: the requested records are no longer retained.
	ReasonTruncated verdict.Reason = "log_truncated"
	// ReasonUnavailable: the log is busy or down and did nothing.
	ReasonUnavailable verdict.Reason = "log_refused"
	// ReasonRejected: the log does not accept the call, nor would it accept it
	// again: a record or a key is too long.
	ReasonRejected verdict.Reason = "log_rejected"
	// ReasonNoAnswer: it is unknown whether the call took effect.
	ReasonNoAnswer verdict.Reason = "log_no_answer"
)

// ID identifies a partition.
type ID struct {
	Topic string
	Part  int
}

// Record is the value of a key. A nil Value deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset uint64
}

// Fence holds the conditions of an append. With an empty Producer, Epoch and
// Sequence are ignored and only At is checked.
type Fence struct {
	Producer string
	// Epoch is the fencing token, which rises with each owner.
	Epoch uint64
	// Sequence rises by one with each append of an epoch.
	Sequence uint64
	// At, if set, is the offset at which the partition must end.
	At *uint64
}

// Page is a page of a partition's latest records, ordered by key.
type Page struct {
	Records []Record
	// More is set if records follow after the last key.
	More bool
	// End is the offset after the last record of the partition.
	End uint64
}

// Batch holds consecutive records, ordered by offset.
type Batch struct {
	Records []Record
	// Next is the offset to continue from.
	Next uint64
	// End is the offset after the last record of the partition; 0 if it is not known.
	End uint64
}

// Log is the platform's keyed log. The verdict of an error says whether an
// append may be in the log; its reason is one of this package's.
type Log interface {
	Append(ctx context.Context, id ID, fence Fence, records []Record) error
	ReadLatest(ctx context.Context, id ID, after string) (Page, error)
	// Read waits up to wait for a record at offset from, and returns an empty
	// batch if none came.
	Read(ctx context.Context, id ID, from uint64, wait time.Duration) (Batch, error)
}

// Holder is a partition with the member that holds it.
type Holder struct {
	ID     ID
	Member string
}

// Assignment is what the group has assigned to a member.
type Assignment struct {
	// Generation rises with each change of the group.
	Generation uint64
	Held       []ID
}

// Group assigns partitions to its members.
type Group interface {
	// Join keeps the member in the group for ttl and returns its partitions.
	Join(ctx context.Context, member string, generation uint64, ttl time.Duration) (Assignment, error)
	Leave(ctx context.Context, member string) error
	// Holders lists all partitions with their holders.
	Holders(ctx context.Context) ([]Holder, error)
}

// pageTimeout limits the read of one page, including retries.
const pageTimeout = 4 * time.Second

// ReadAll reads the latest record of every key. Records may be appended between
// pages; reading on from end misses none of them.
func ReadAll(ctx context.Context, log Log, id ID) (records []Record, end uint64, err error) {
	page, err := latestPage(ctx, log, id, "")
	if err != nil {
		return nil, 0, err
	}
	end = page.End
	for {
		records = append(records, page.Records...)
		if !page.More {
			return records, end, nil
		}
		if len(page.Records) == 0 {
			return nil, 0, verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "an empty page of partition %v says that more follow", id)
		}
		page, err = latestPage(ctx, log, id, page.Records[len(page.Records)-1].Key)
		if err != nil {
			return nil, 0, err
		}
	}
}

// latestPage reads one page. It fails after pageTimeout if the log does not
// answer.
func latestPage(ctx context.Context, log Log, id ID, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	page, _, err := retryHedged(ctx, minHang, func(ctx context.Context) (Page, error) { return log.ReadLatest(ctx, id, after) })
	return page, err
}
