package state

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/currantwinch/currantwinch/record"
	"github.com/pkg/errors"
)

// SnapshotPartBytes is the maximum size of the data in one snapshot part.
const SnapshotPartBytes = 128 << 10

// maxSnapshotParts is the number of parts of a snapshot of MaxSnapshotBytes,
// rounded up.
const maxSnapshotParts = MaxSnapshotBytes/SnapshotPartBytes + 1

// SplitSnapshot divides an encoded snapshot, which covers the records below
// offset, into parts. The ID must be different for any two snapshots.
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

// SnapshotAssembly collects the parts of one snapshot, in any order and with
// any repetition.
type SnapshotAssembly struct {
	first record.SnapshotPart
	parts map[int][]byte
}

// Add adds a part. It returns an error if the part is malformed or belongs to
// another snapshot.
func (a *SnapshotAssembly) Add(p record.SnapshotPart) error {
	if p.Count < 1 || p.Count > maxSnapshotParts || p.Index < 0 || p.Index >= p.Count || len(p.Data) > SnapshotPartBytes {
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

// Complete reports whether all parts were added.
func (a *SnapshotAssembly) Complete() bool { return a.parts != nil && len(a.parts) == a.first.Count }

// Offset returns the first offset that the snapshot does not cover.
func (a *SnapshotAssembly) Offset() uint64 { return a.first.Offset }

// State returns the state of a complete snapshot. It returns an error if parts
// are missing, the checksum does not match, the bytes can't be decoded, or the
// state covers another offset than the parts say.
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
