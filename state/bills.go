package state

import (
	"fmt"
	"unique"

	"github.com/currantwinch/currantwinch/record"
)

// billRow is a billed run and the offset of its record.
type billRow struct {
	record.Bill
	offset uint64
}

func newBillRow(b record.Bill, offset uint64) *billRow {
	b.Service, b.Team = intern(b.Service), intern(b.Team)
	b.Caller, b.Kind = intern(b.Caller), intern(b.Kind)
	return &billRow{b, offset}
}

func (s *State) applyBill(e logEntry) (refused string) {
	if s.t.bills.Has(&billRow{Bill: *e.Bill}) {
		return fmt.Sprintf("request %s is billed", e.Bill.RequestKey)
	}
	s.addBill(newBillRow(*e.Bill, e.Offset))
	return ""
}

func (s *State) addBill(row *billRow) {
	s.t.bills.ReplaceOrInsert(row)
	s.t.billOrder.ReplaceOrInsert(row)
}

// forgetBill drops the bill that was recorded at offset, if there is one.
func (s *State) forgetBill(offset uint64) {
	if row, ok := s.t.billOrder.Delete(&billRow{offset: offset}); ok {
		s.t.bills.Delete(row)
	}
}

// intern returns one shared copy of equal strings. It saves memory for strings
// that many rows hold.
func intern(s string) string { return unique.Make(s).Value() }
