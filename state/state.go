package state

import (
	"fmt"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
	"github.com/google/btree"
)

// Limits of what the state remembers.
const (
	// MaxKeys is the number of record keys that are remembered, besides those
	// of bills. A record that was created before the oldest remembered key is
	// refused.
	MaxKeys = 32_768
	// MaxBills is the number of bills that are remembered, with their keys.
	MaxBills = 16_384
	// MaxEndedJobs is the number of ended jobs that are remembered.
	MaxEndedJobs = 8_192
	// MaxPublicationsPerService is the number of publications of one service
	// that are remembered.
	MaxPublicationsPerService = 32
	// MaxRefusedPublications is the number of refused publications, of all
	// services together, that are remembered.
	MaxRefusedPublications = 512
)

// btreeDegree is the degree of the B-trees. Large nodes need less memory per
// row; small nodes are cheaper to copy when a view shares them.
const btreeDegree = 16

// tables holds the rows of the state. Rows are never changed once they are in
// a tree, so a clone of the trees is an immutable view.
type tables struct {
	next      uint64
	documents *btree.BTreeG[*documentRow]
	refused   *btree.BTreeG[Publication]
	jobs      *btree.BTreeG[*jobRow]
	openJobs  *btree.BTreeG[openJobRow]
	endedJobs *btree.BTreeG[endedJobRow]
	shares    *btree.BTreeG[*ShareEntry]
	daemons   *btree.BTreeG[*cluster.Daemon]
	bills     *btree.BTreeG[*billRow]
	billOrder *btree.BTreeG[*billRow]
	keys      [2]keyTable
}

// State is the state up to an offset of the log. It is not safe for concurrent
// use; its views are.
type State struct{ t tables }

// New returns the state before the first record.
func New() *State { return &State{t: newTables()} }

func newTables() tables {
	t := tables{
		documents: btree.NewG(btreeDegree, func(a, b *documentRow) bool { return a.service < b.service }),
		refused:   btree.NewG(btreeDegree, func(a, b Publication) bool { return a.Offset < b.Offset }),
		jobs:      btree.NewG(btreeDegree, func(a, b *jobRow) bool { return a.id < b.id }),
		openJobs:  btree.NewG(btreeDegree, openJobRow.less),
		endedJobs: btree.NewG(btreeDegree, endedJobRow.less),
		shares:    btree.NewG(btreeDegree, lessShare),
		daemons:   btree.NewG(btreeDegree, func(a, b *cluster.Daemon) bool { return a.Name < b.Name }),
		bills:     btree.NewG(btreeDegree, func(a, b *billRow) bool { return a.RequestKey < b.RequestKey }),
		billOrder: btree.NewG(btreeDegree, func(a, b *billRow) bool { return a.offset < b.offset }),
	}
	for class := range t.keys {
		t.keys[class] = newKeyTable(keyClass(class).limit())
	}
	return t
}

func (t tables) clone() tables {
	t.documents = t.documents.Clone()
	t.refused = t.refused.Clone()
	t.jobs = t.jobs.Clone()
	t.openJobs = t.openJobs.Clone()
	t.endedJobs = t.endedJobs.Clone()
	t.shares = t.shares.Clone()
	t.daemons = t.daemons.Clone()
	t.bills = t.bills.Clone()
	t.billOrder = t.billOrder.Clone()
	for class := range t.keys {
		t.keys[class] = t.keys[class].clone()
	}
	return t
}

// Next returns the first offset that has not been applied.
func (s *State) Next() uint64 { return s.t.next }

// GapError means that records are missing before the one to be applied.
type GapError struct{ Want, Got uint64 }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("state: record %d applied where %d is next", e.Got, e.Want)
}

// Applied is the result of applying one record.
type Applied struct {
	// AlreadyApplied is true for a record that had been applied before.
	AlreadyApplied bool
	// Record is empty if the bytes are not a valid record.
	Record        record.Record
	RefusalReason string
	// Duplicate is true for a record whose key was used by an earlier record.
	Duplicate bool
}

// Apply applies the next record. A record from before Next is ignored. One
// from after Next changes nothing and returns a *GapError. A record that the
// rules refuse has no effect, and every daemon refuses it alike.
func (s *State) Apply(stored logclient.StoredRecord) (Applied, error) {
	switch {
	case stored.Offset < s.t.next:
		return Applied{AlreadyApplied: true}, nil
	case stored.Offset > s.t.next:
		return Applied{}, &GapError{Want: s.t.next, Got: stored.Offset}
	}
	s.t.next++
	r, err := record.Decode(stored.Data)
	if err != nil {
		return Applied{RefusalReason: "not a record: " + err.Error()}, nil
	}
	if r.Kind == record.KindSnapshot {
		return Applied{Record: r, RefusalReason: s.requireDaemonAuthor(newLogEntry(stored, r))}, nil
	}
	refused, duplicate := s.applyOnce(newLogEntry(stored, r))
	return Applied{Record: r, RefusalReason: refused, Duplicate: duplicate}, nil
}

// logEntry is a decoded record with the author, time and offset that the log
// states.
type logEntry struct {
	logclient.StoredRecord
	record.Record
	team string
}

// applyOnce applies a record unless its key is remembered, or the record is so
// old that its key may have been dropped.
func (s *State) applyOnce(e logEntry) (refused string, duplicate bool) {
	keys := &s.t.keys[keyClassOf(e.Kind)]
	if first, ok := keys.first(e.team, e.Key); ok {
		return fmt.Sprintf("duplicate of offset %d", first.Offset), true
	}
	if e.CreatedAfter != 0 && e.CreatedAfter < keys.floor {
		return fmt.Sprintf("first made at offset %d, before the %d from which keys are remembered", e.CreatedAfter, keys.floor), false
	}
	refused = s.applyRecord(e)
	forgotten, ok := keys.add(hashOf(e.team, e.Key), e.Offset, refused)
	if ok && keyClassOf(e.Kind) == classBill {
		s.forgetBill(forgotten)
	}
	return refused, false
}

func (s *State) applyRecord(e logEntry) (refused string) {
	switch e.Kind {
	case record.KindDocument:
		return s.applyDocument(e)
	case record.KindJob:
		return s.applyJob(e)
	case record.KindCancel:
		return s.applyCancel(e)
	}
	if refused := s.requireDaemonAuthor(e); refused != "" {
		return refused
	}
	switch e.Kind {
	case record.KindJoin:
		return s.applyJoin(e)
	case record.KindLeave:
		return s.applyLeave(e)
	case record.KindClaim:
		return s.applyClaim(e)
	case record.KindRelease:
		return s.applyRelease(e)
	case record.KindDone:
		return s.applyDone(e)
	case record.KindBill:
		return s.applyBill(e)
	}
	return fmt.Sprintf("kind %d is not known", e.Kind)
}

// NewAt returns an empty state that begins at offset, for a log whose earlier
// records are lost.
func NewAt(offset uint64) *State {
	s := New()
	s.t.next = offset
	return s
}
