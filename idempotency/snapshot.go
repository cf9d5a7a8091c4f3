package idempotency

import (
	"slices"
	"strings"
	"time"
)

// Snapshot is the content of a Table, which its owner sends to the owner of the next
// epoch. Its times are relative, so that clocks need not agree.
type Snapshot[N any] struct {
	// Epoch is the newest epoch of the claim of the table's owner.
	Epoch  uint64           `json:"epoch"`
	Epochs []SnapshotEpoch  `json:"epochs"`
	Keys   []SnapshotKey[N] `json:"keys"`
}

// SnapshotEpoch is an epoch whose keys are all known to the table: a key that is not
// in the snapshot is unused or has expired.
type SnapshotEpoch struct {
	Epoch uint64        `json:"epoch"`
	Age   time.Duration `json:"ageNanoseconds"`
}

// SnapshotKey is one key of a Snapshot.
type SnapshotKey[N any] struct {
	Key         string `json:"key"`
	Fingerprint uint64 `json:"fingerprint"`
	Phase       uint8  `json:"phase"`
	// Holder, Remaining and Metadata describe an attempt in progress.
	Holder    string        `json:"holder,omitempty"`
	Remaining time.Duration `json:"leftNanoseconds,omitempty"`
	Metadata  N             `json:"note,omitzero"`
	// Outcome is that of a request that ran, unless OutcomeForgotten is set.
	Outcome          Outcome `json:"outcome,omitzero"`
	OutcomeForgotten bool    `json:"forgotten,omitempty"`
}

// Snapshot returns the table's content. After that, the caller must let no attempt
// begin in the table.
func (t *Table[N]) Snapshot(now time.Time) Snapshot[N] {
	s := Snapshot[N]{Epoch: t.claim}
	for epoch, start := range t.epochStarts {
		s.Epochs = append(s.Epochs, SnapshotEpoch{epoch, now.Sub(start)})
	}
	for _, e := range t.entries {
		s.Keys = append(s.Keys, SnapshotKey[N]{
			Key: e.key, Fingerprint: e.fingerprint, Phase: uint8(e.phase), Holder: e.holder,
			Remaining: e.outcomeDeadline.Sub(now), Metadata: e.metadata, Outcome: e.outcome, OutcomeForgotten: e.outcomeForgotten,
		})
	}
	slices.SortFunc(s.Keys, func(a, b SnapshotKey[N]) int { return strings.Compare(a.Key, b.Key) })
	return s
}

// ImportSnapshot adds the keys of the previous owner's snapshot. It returns false, and
// does nothing, unless the snapshot's epoch is the one before the table's. From then
// on the table decides on keys of the snapshot's epochs as on its own. Keys that the
// table knows already are not replaced.
func (t *Table[N]) ImportSnapshot(now time.Time, s Snapshot[N]) bool {
	if s.Epoch+1 != t.epoch {
		return false
	}
	for _, epoch := range s.Epochs {
		t.epochStarts[epoch.Epoch] = now.Add(-epoch.Age)
	}
	for _, k := range s.Keys {
		if _, ok := t.entries[k.Key]; !ok {
			t.importKey(now, k)
		}
	}
	return true
}

func (t *Table[N]) importKey(now time.Time, k SnapshotKey[N]) {
	e := t.addEntry(now, k.Key, k.Fingerprint)
	e.holder, e.phase, e.outcome, e.outcomeForgotten = k.Holder, phase(k.Phase), k.Outcome, k.OutcomeForgotten
	switch e.phase {
	case phaseRunning:
		t.startAttempt(e, k.Holder, now.Add(k.Remaining), k.Metadata)
	case phaseDone:
		if !e.outcomeForgotten {
			t.retain(e)
		}
	}
}
