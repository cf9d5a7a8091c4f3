package state

import (
	"crypto/sha256"

	"github.com/currantwinch/currantwinch/record"
	"github.com/google/btree"
)

// keyClass separates the keys of bills, of which there are many, from all
// others, so that bills do not make the others forgotten.
type keyClass int

const (
	classOther keyClass = iota
	classBill
)

func classOf(k record.Kind) keyClass {
	if k == record.KindBill {
		return classBill
	}
	return classOther
}

func (c keyClass) limit() int {
	if c == classBill {
		return MaxBills
	}
	return MaxKeys
}

// The parts of a keyHash.
const (
	keyBytes  = 10
	teamBytes = 6
)

// keyHash stands for a record's key and its author's team: keys of different
// teams never meet, so nobody can use up a key that another is about to use.
// Both parts are cut from a cryptographic hash, at a length at which nobody can
// find a key that is taken for a given other one.
type keyHash [keyBytes + teamBytes]byte

func hashOf(team, key string) (h keyHash) {
	keySum, teamSum := sha256.Sum256([]byte(key)), sha256.Sum256([]byte(team))
	copy(h[:keyBytes], keySum[:])
	copy(h[keyBytes:], teamSum[:])
	return h
}

// sameKey reports whether h and o are of one key, by whatever team.
func (h keyHash) sameKey(o keyHash) bool { return [keyBytes]byte(h[:]) == [keyBytes]byte(o[:]) }

func (h keyHash) less(o keyHash) bool { return string(h[:]) < string(o[:]) }

// keyRow remembers the first record of a key.
type keyRow struct {
	hash   keyHash
	offset uint64
	// refused is nil where the record took effect.
	refused *string
}

// orderRow finds the key that was remembered first.
type orderRow struct {
	offset uint64
	hash   keyHash
}

// keyTable remembers the newest keys.
type keyTable struct {
	byHash   *btree.BTreeG[keyRow]
	byOffset *btree.BTreeG[orderRow]
	limit    int
	// floor is the offset from which every key is remembered.
	floor uint64
}

func newKeyTable(limit int) keyTable {
	return keyTable{
		limit:    limit,
		byHash:   btree.NewG(degree, func(a, b keyRow) bool { return a.hash.less(b.hash) }),
		byOffset: btree.NewG(degree, func(a, b orderRow) bool { return a.offset < b.offset }),
	}
}

func (t keyTable) clone() keyTable {
	t.byHash = t.byHash.Clone()
	t.byOffset = t.byOffset.Clone()
	return t
}

func (r keyRow) outcome() Outcome {
	out := Outcome{Offset: r.offset}
	if r.refused != nil {
		out.RefusalReason = *r.refused
	}
	return out
}

// get returns the first record of a key by a team.
func (t *keyTable) get(team, key string) (Outcome, bool) {
	row, ok := t.byHash.Get(keyRow{hash: hashOf(team, key)})
	return row.outcome(), ok
}

// any returns the first record of a key by any team.
func (t *keyTable) any(key string) (out Outcome, found bool) {
	var from keyHash
	whole := hashOf("", key)
	copy(from[:keyBytes], whole[:keyBytes])
	t.byHash.AscendGreaterOrEqual(keyRow{hash: from}, func(row keyRow) bool {
		if !row.hash.sameKey(from) {
			return false
		}
		if !found || row.offset < out.Offset {
			out, found = row.outcome(), true
		}
		return true
	})
	return out, found
}

// add remembers a key. Where another is forgotten for it, that one's offset is
// returned.
func (t *keyTable) add(hash keyHash, offset uint64, refused string) (forgotten uint64, ok bool) {
	row := keyRow{hash: hash, offset: offset}
	if refused != "" {
		row.refused = &refused
	}
	t.byHash.ReplaceOrInsert(row)
	t.byOffset.ReplaceOrInsert(orderRow{offset, hash})
	if t.byHash.Len() <= t.limit {
		return 0, false
	}
	oldest, _ := t.byOffset.DeleteMin()
	t.byHash.Delete(keyRow{hash: oldest.hash})
	t.floor = oldest.offset + 1
	return oldest.offset, true
}
