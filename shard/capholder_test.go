package shard

import (
	"testing"

	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

// Two owners that both need the caps must not both become the first holder, and a daemon of
// an earlier version must not take the record for a layout.
func TestManager_FirstCapHolderCountsAndIsNoLayout(t *testing.T) {
	var rejected []string
	k := NewManager(Options{Applied: func(string, Layout) {}, Rejected: func(service string, _ error) { rejected = append(rejected, service) }})
	if _, known, loaded := k.CapHolder(); known || loaded {
		t.Fatal("a holder is known before the records have been read")
	}
	k.apply(nil)
	if _, known, loaded := k.CapHolder(); known || !loaded {
		t.Fatal("no holder is stored, and the records have been read")
	}
	record := func(part int) partition.Record {
		value, err := workload.Encode(capHolderRecord{&part})
		if err != nil {
			t.Fatal(err)
		}
		return partition.Record{Key: capHolderKey, Value: value}
	}
	for _, part := range []int{0, 3} {
		var l Layout
		if err := workload.Decode(record(part).Value, &l); err == nil && l.valid() {
			t.Errorf("the record of holder %d is a valid layout of %d shards", part, l.Shards)
		}
	}
	k.apply([]partition.Record{record(0)})
	k.apply([]partition.Record{record(3)})
	if part, known, _ := k.CapHolder(); part != 0 || !known || len(rejected) != 1 {
		t.Errorf("holder %d, known %t, %d records rejected, want 0, known and 1", part, known, len(rejected))
	}
	if got := k.Services(); len(got) != 0 {
		t.Errorf("services %v, want none", got)
	}
}
