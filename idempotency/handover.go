package idempotency

import (
	"slices"
	"strings"
	"time"
)

// Snapshot is a Table as its owner hands it to the owner of the next epoch.
// Times are relative, so that clocks need not agree.
type Snapshot[N any] struct {
	// Epoch is the newest epoch of the claim of the owner that ended.
	Epoch  uint64           `json:"epoch"`
	Epochs []SnapshotEpoch  `json:"epochs"`
	Keys   []SnapshotKey[N] `json:"keys"`
}

// SnapshotEpoch is an epoch whose keys are all in the snapshot.
type SnapshotEpoch struct {
	Epoch uint64        `json:"epoch"`
	Age   time.Duration `json:"ageNanoseconds"`
}

// SnapshotKey is one key of a Snapshot.
type SnapshotKey[N any] struct {
	Key         string `json:"key"`
	Fingerprint uint64 `json:"fingerprint"`
	Phase       uint8  `json:"phase"`
	// Holder, Left and Note describe an attempt in progress.
	Holder    string        `json:"holder,omitempty"`
	Remaining time.Duration `json:"leftNanoseconds,omitempty"`
	Metadata  N             `json:"note,omitzero"`
	// Outcome is kept of a request that ran, unless it is Forgotten.
	Outcome          Outcome `json:"outcome,omitzero"`
	OutcomeForgotten bool    `json:"forgotten,omitempty"`
}

// Snapshot returns all that the table knows. The caller lets no request begin
// in the table after that.
func (t *Table[N]) Snapshot(now time.Time) Snapshot[N] {
	s := Snapshot[N]{Epoch: t.claim}
	for epoch, start := range t.starts {
		s.Epochs = append(s.Epochs, SnapshotEpoch{epoch, now.Sub(start)})
	}
	for _, e := range t.entries {
		s.Keys = append(s.Keys, SnapshotKey[N]{
			Key: e.key, Fingerprint: e.fingerprint, Phase: uint8(e.phase), Holder: e.holder,
			Remaining: e.until.Sub(now), Metadata: e.note, Outcome: e.outcome, OutcomeForgotten: e.forgotten,
		})
	}
	slices.SortFunc(s.Keys, func(a, b SnapshotKey[N]) int { return strings.Compare(a.Key, b.Key) })
	return s
}

// ImportSnapshot takes in what the owner of the epoch before knew when it ended, and
// reports whether the snapshot was of that epoch. From then on, keys of its
// epochs are answered as the table's own. What the table already knows of a
// key stays.
func (t *Table[N]) ImportSnapshot(now time.Time, s Snapshot[N]) bool {
	if s.Epoch+1 != t.epoch {
		return false
	}
	for _, epoch := range s.Epochs {
		t.starts[epoch.Epoch] = now.Add(-epoch.Age)
	}
	for _, k := range s.Keys {
		if _, ok := t.entries[k.Key]; !ok {
			t.inherit(now, k)
		}
	}
	return true
}

func (t *Table[N]) inherit(now time.Time, k SnapshotKey[N]) {
	e := t.add(now, k.Key, k.Fingerprint)
	e.holder, e.phase, e.outcome, e.forgotten = k.Holder, phase(k.Phase), k.Outcome, k.OutcomeForgotten
	switch e.phase {
	case phaseRunning:
		t.begin(e, k.Holder, now.Add(k.Remaining), k.Metadata)
	case phaseDone:
		if !e.forgotten {
			t.keep(e)
		}
	}
}
