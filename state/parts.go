package state

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/currantwinch/currantwinch/record"
	"github.com/pkg/errors"
)

// SnapshotPartBytes is the size of a snapshot's parts.
const SnapshotPartBytes = 128 << 10

// maxParts follows from the limits of a snapshot.
const maxParts = MaxSnapshotBytes/SnapshotPartBytes + 1

// SplitSnapshot cuts an encoded snapshot that covers the records below offset into
// parts. The ID must differ between any two snapshots.
func SplitSnapshot(id string, offset uint64, data []byte) []record.SnapshotPart {
	count := (len(data) + SnapshotPartBytes - 1) / SnapshotPartBytes
	sum := xxhash.Sum64(data)
	parts := make([]record.SnapshotPart, count)
	for i := range parts {
		end := min((i+1)*SnapshotPartBytes, len(data))
		parts[i] = record.SnapshotPart{
			ID: id, Offset: offset, Index: i, Count: count, Sum: sum, Data: data[i*SnapshotPartBytes : end],
		}
	}
	return parts
}

// SnapshotAssembly puts the parts of one snapshot together, in any order and however
// often each comes.
type SnapshotAssembly struct {
	first record.SnapshotPart
	parts map[int][]byte
}

// Add takes a part. It fails where the part belongs to another snapshot or
// cannot be of any.
func (a *SnapshotAssembly) Add(p record.SnapshotPart) error {
	if p.Count < 1 || p.Count > maxParts || p.Index < 0 || p.Index >= p.Count || len(p.Data) > SnapshotPartBytes {
		return errors.Errorf("part %d of %d of snapshot %s is malformed", p.Index, p.Count, p.ID)
	}
	if a.parts == nil {
		a.first = p
		a.parts = make(map[int][]byte)
	}
	if p.ID != a.first.ID || p.Offset != a.first.Offset || p.Count != a.first.Count || p.Sum != a.first.Sum {
		return errors.Errorf("part %d of snapshot %s does not match %s", p.Index, p.ID, a.first.ID)
	}
	a.parts[p.Index] = p.Data
	return nil
}

// Complete reports whether every part is there.
func (a *SnapshotAssembly) Complete() bool { return a.parts != nil && len(a.parts) == a.first.Count }

// Offset is the first offset that the snapshot does not cover.
func (a *SnapshotAssembly) Offset() uint64 { return a.first.Offset }

// State returns the state, once complete. It fails where the sum does not
// match the parts, the bytes do not decode, or they cover another offset.
func (a *SnapshotAssembly) State() (*State, error) {
	if !a.Complete() {
		return nil, errors.Errorf("snapshot %s has %d of %d parts", a.first.ID, len(a.parts), a.first.Count)
	}
	var data []byte
	for i := range a.first.Count {
		data = append(data, a.parts[i]...)
	}
	if sum := xxhash.Sum64(data); sum != a.first.Sum {
		return nil, errors.Errorf("snapshot %s has sum %x in place of %x", a.first.ID, sum, a.first.Sum)
	}
	s, err := DecodeSnapshot(data)
	if err != nil {
		return nil, err
	}
	if s.Next() != a.first.Offset {
		return nil, fmt.Errorf("snapshot %s covers %d in place of %d", a.first.ID, s.Next(), a.first.Offset)
	}
	return s, nil
}
