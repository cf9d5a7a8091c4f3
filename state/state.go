package state

import (
	"fmt"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
	"github.com/google/btree"
)

// Bounds of what the fold remembers.
const (
	// MaxKeys is how many record keys are remembered, bills apart. Records
	// that were first made longer ago are refused.
	MaxKeys = 32_768
	// MaxBills is how many bills are remembered, with their keys.
	MaxBills = 16_384
	// MaxEndedJobs is how many ended jobs are remembered.
	MaxEndedJobs = 8_192
	// MaxPublicationsPerService is how many publications of one service are remembered.
	MaxPublicationsPerService = 32
	// MaxRefusedPublications is how many refused publications of all services are
	// remembered.
	MaxRefusedPublications = 512
)

// degree of the trees: large nodes cost little memory a row, small ones are
// cheap to copy when a view is kept.
const degree = 16

// tables are the rows of the state. Rows are never changed once they are in a
// tree, so that a clone of the trees is an immutable view.
type tables struct {
	next      uint64
	documents *btree.BTreeG[*documentRow]
	refused   *btree.BTreeG[Publication]
	jobs      *btree.BTreeG[*jobRow]
	open      *btree.BTreeG[openRow]
	ended     *btree.BTreeG[endedRow]
	shares    *btree.BTreeG[*ShareEntry]
	daemons   *btree.BTreeG[*cluster.Daemon]
	bills     *btree.BTreeG[*billRow]
	billOrder *btree.BTreeG[*billRow]
	keys      [2]keyTable
}

// State is the fold. It is not safe for concurrent use; its views are.
type State struct{ t tables }

// New returns the state before the first record.
func New() *State { return &State{t: newTables()} }

func newTables() tables {
	t := tables{
		documents: btree.NewG(degree, func(a, b *documentRow) bool { return a.service < b.service }),
		refused:   btree.NewG(degree, func(a, b Publication) bool { return a.Offset < b.Offset }),
		jobs:      btree.NewG(degree, func(a, b *jobRow) bool { return a.id < b.id }),
		open:      btree.NewG(degree, openRow.less),
		ended:     btree.NewG(degree, endedRow.less),
		shares:    btree.NewG(degree, lessShare),
		daemons:   btree.NewG(degree, func(a, b *cluster.Daemon) bool { return a.Name < b.Name }),
		bills:     btree.NewG(degree, func(a, b *billRow) bool { return a.RequestKey < b.RequestKey }),
		billOrder: btree.NewG(degree, func(a, b *billRow) bool { return a.offset < b.offset }),
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
	t.open = t.open.Clone()
	t.ended = t.ended.Clone()
	t.shares = t.shares.Clone()
	t.daemons = t.daemons.Clone()
	t.bills = t.bills.Clone()
	t.billOrder = t.billOrder.Clone()
	for class := range t.keys {
		t.keys[class] = t.keys[class].clone()
	}
	return t
}

// Next is the first offset that has not been applied.
func (s *State) Next() uint64 { return s.t.next }

// GapError says that records are missing before the one to be applied.
type GapError struct{ Want, Got uint64 }

// Error names the offsets.
func (e *GapError) Error() string {
	return fmt.Sprintf("state: record %d applied where %d is next", e.Got, e.Want)
}

// Applied is what became of one record.
type Applied struct {
	// AlreadyApplied is true for a record that had been applied before.
	AlreadyApplied bool
	// Record is empty where the bytes were not a record.
	Record        record.Record
	RefusalReason string
	// Duplicate is true for a record whose key had come before.
	Duplicate bool
}

// Apply folds the next record. A record from before Next changes nothing; one
// from after it fails with GapError and changes nothing either. A record that
// the rules refuse is passed over by every daemon alike.
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
		return Applied{Record: r, RefusalReason: s.checkSystem(newEntry(stored, r))}, nil
	}
	refused, duplicate := s.applyOnce(newEntry(stored, r))
	return Applied{Record: r, RefusalReason: refused, Duplicate: duplicate}, nil
}

// entry is one record with what the log states of it.
type entry struct {
	logclient.StoredRecord
	record.Record
	team string
}

// applyOnce refuses a record whose key is known, or so old that it may be.
func (s *State) applyOnce(e entry) (refused string, duplicate bool) {
	keys := &s.t.keys[classOf(e.Kind)]
	if first, ok := keys.get(e.team, e.Key); ok {
		return fmt.Sprintf("duplicate of offset %d", first.Offset), true
	}
	if e.CreatedAfter != 0 && e.CreatedAfter < keys.floor {
		return fmt.Sprintf("first made at offset %d, before the %d from which keys are remembered", e.CreatedAfter, keys.floor), false
	}
	refused = s.fold(e)
	forgotten, ok := keys.add(hashOf(e.team, e.Key), e.Offset, refused)
	if ok && classOf(e.Kind) == classBill {
		s.forgetBill(forgotten)
	}
	return refused, false
}

func (s *State) fold(e entry) (refused string) {
	switch e.Kind {
	case record.KindDocument:
		return s.foldDocument(e)
	case record.KindJob:
		return s.foldJob(e)
	case record.KindCancel:
		return s.foldCancel(e)
	}
	if refused := s.checkSystem(e); refused != "" {
		return refused
	}
	switch e.Kind {
	case record.KindJoin:
		return s.foldJoin(e)
	case record.KindLeave:
		return s.foldLeave(e)
	case record.KindClaim:
		return s.foldClaim(e)
	case record.KindRelease:
		return s.foldRelease(e)
	case record.KindDone:
		return s.foldDone(e)
	case record.KindBill:
		return s.foldBill(e)
	}
	return fmt.Sprintf("kind %d is not known", e.Kind)
}

// NewAt returns an empty state that begins at offset, for a log whose earlier
// records are lost for good.
func NewAt(offset uint64) *State {
	s := New()
	s.t.next = offset
	return s
}
