package state

import (
	"crypto/sha256"

	"github.com/currantwinch/currantwinch/record"
	"github.com/google/btree"
)

// keyClass separates the keys of bills from all others. There are many bills,
// and their keys must not displace the others.
type keyClass int

const (
	classOther keyClass = iota
	classBill
)

func keyClassOf(k record.Kind) keyClass {
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

// Lengths of the parts of a keyHash, in bytes.
const (
	keyBytes  = 10
	teamBytes = 6
)

// keyHash identifies a record's key and its author's team. The keys of
// different teams are separate, so that no team can use up a key that another
// team is about to use. Both parts are prefixes of SHA-256 sums, long enough
// that a key with the same hash as a given other key can't be found.
type keyHash [keyBytes + teamBytes]byte

func hashOf(team, key string) (h keyHash) {
	keySum, teamSum := sha256.Sum256([]byte(key)), sha256.Sum256([]byte(team))
	copy(h[:keyBytes], keySum[:])
	copy(h[keyBytes:], teamSum[:])
	return h
}

// sameKey reports whether h and o belong to the same key, whatever the team.
func (h keyHash) sameKey(o keyHash) bool { return [keyBytes]byte(h[:]) == [keyBytes]byte(o[:]) }

func (h keyHash) less(o keyHash) bool { return string(h[:]) < string(o[:]) }

// keyRow is the first record of a key.
type keyRow struct {
	hash   keyHash
	offset uint64
	// refused is the reason for a refusal; nil if the record took effect.
	refused *string
}

// keyOrderRow indexes the keys by the offset of their first record.
type keyOrderRow struct {
	offset uint64
	hash   keyHash
}

// keyTable remembers the newest keys, up to a limit.
type keyTable struct {
	byHash   *btree.BTreeG[keyRow]
	byOffset *btree.BTreeG[keyOrderRow]
	limit    int
	// floor is the offset from which on every key is remembered.
	floor uint64
}

func newKeyTable(limit int) keyTable {
	return keyTable{
		limit:    limit,
		byHash:   btree.NewG(btreeDegree, func(a, b keyRow) bool { return a.hash.less(b.hash) }),
		byOffset: btree.NewG(btreeDegree, func(a, b keyOrderRow) bool { return a.offset < b.offset }),
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

// first returns the first record of a key by a team.
func (t *keyTable) first(team, key string) (Outcome, bool) {
	row, ok := t.byHash.Get(keyRow{hash: hashOf(team, key)})
	return row.outcome(), ok
}

// firstOfAnyTeam returns the first record of a key by any team.
func (t *keyTable) firstOfAnyTeam(key string) (out Outcome, found bool) {
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

// add remembers a key. If the table was full, it drops the oldest key and
// returns the offset of that key's record.
func (t *keyTable) add(hash keyHash, offset uint64, refused string) (forgotten uint64, ok bool) {
	row := keyRow{hash: hash, offset: offset}
	if refused != "" {
		row.refused = &refused
	}
	t.byHash.ReplaceOrInsert(row)
	t.byOffset.ReplaceOrInsert(keyOrderRow{offset, hash})
	if t.byHash.Len() <= t.limit {
		return 0, false
	}
	oldest, _ := t.byOffset.DeleteMin()
	t.byHash.Delete(keyRow{hash: oldest.hash})
	t.floor = oldest.offset + 1
	return oldest.offset, true
}
