package statelog

import (
	"strconv"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/standin/logstandin"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/state"
)

func TestCreationOffsets_KeepFirstOffset(t *testing.T) {
	var f creationOffsets
	a, b := []record.Record{{Key: "a"}}, []record.Record{{Key: "b", CreatedAfter: 3}}
	f.remember(f.withCreationOffsets(a, 5))
	f.remember(f.withCreationOffsets(b, 5))
	if got := f.withCreationOffsets(append(a, b...), 9); got[0].CreatedAfter != 5 || got[1].CreatedAfter != 3 || a[0].CreatedAfter != 0 {
		t.Errorf("got %+v", got)
	}
	f.forget(a)
	if got := f.withCreationOffsets(a, 9); got[0].CreatedAfter != 9 {
		t.Errorf("got %+v", got)
	}
	for i := range 2 * maxCreationOffsets {
		f.remember([]record.Record{{Key: strconv.Itoa(i), CreatedAfter: uint64(i)}})
	}
	if len(f.byKey) != maxCreationOffsets {
		t.Errorf("%d creation offsets are remembered", len(f.byKey))
	}
	if got := f.withCreationOffsets([]record.Record{{Key: "0"}}, 77); got[0].CreatedAfter != 77 {
		t.Errorf("the oldest creation offset is still remembered: %+v", got)
	}
}

func TestReplaceState_RefusesOlderState(t *testing.T) {
	s := New(Options{Base: roles.Base{Now: time.Now}, Log: logstandin.New(time.Now)})
	for _, c := range []struct {
		next uint64
		want bool
	}{{5, true}, {4, false}, {5, false}, {6, true}} {
		if got := s.replaceState(state.NewAt(c.next), "test"); got != c.want {
			t.Errorf("a state at %d replaced the state: %v", c.next, got)
		}
	}
	if got := s.View().Offset(); got != 0 {
		t.Errorf("a state that has not caught up is visible at %d", got)
	}
	s.markRecovered()
	if got := s.View().Offset(); got != 6 {
		t.Errorf("the view is at %d", got)
	}
}

func TestSnapshotDue_Cases(t *testing.T) {
	complete := func(offset, position uint64) SnapshotInfo {
		return SnapshotInfo{Offset: offset, Position: position, Complete: true}
	}
	cases := []struct {
		name   string
		status SnapshotStatus
		want   bool
	}{
		{"empty log", SnapshotStatus{Age: 24 * time.Hour, SinceLastAttempt: 24 * time.Hour}, false},
		{"few records, recent snapshot", SnapshotStatus{Next: 100, Head: 100, Age: time.Hour, SinceLastAttempt: time.Hour}, false},
		{"few records, old snapshot", SnapshotStatus{Next: 100, Head: 100, Age: 2 * time.Hour, SinceLastAttempt: time.Hour}, true},
		{"many records, no snapshot", SnapshotStatus{Next: 5000, Head: 5000, SinceLastAttempt: time.Second}, true},
		{"many records since the snapshot", SnapshotStatus{Newest: complete(1000, 1000), Next: 5200, Head: 5200, SinceLastAttempt: time.Hour}, true},
		{"many records, tried a minute ago", SnapshotStatus{Newest: complete(1000, 1000), Next: 5200, Head: 5200, SinceLastAttempt: time.Minute}, false},
		{"retention without a snapshot", SnapshotStatus{Oldest: 1, Next: 100, Head: 100, SinceLastAttempt: time.Minute}, true},
		{"retention is near", SnapshotStatus{Newest: complete(1000, 1010), Oldest: 900, Next: 1500, Head: 1500, SinceLastAttempt: time.Minute}, true},
		{"retention is far", SnapshotStatus{Newest: complete(1400, 1410), Oldest: 900, Next: 1500, Head: 1500, SinceLastAttempt: time.Hour}, false},
		{"retention is near, just tried", SnapshotStatus{Newest: complete(1000, 1010), Oldest: 1005, Next: 1500, Head: 1500, SinceLastAttempt: time.Second}, false},
	}
	for _, c := range cases {
		if got := (Options{}).withDefaults().snapshotDue(c.status); got != c.want {
			t.Errorf("%s: due %v", c.name, got)
		}
	}
}
