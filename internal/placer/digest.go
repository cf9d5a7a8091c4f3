package placer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/currantwinch/currantwinch/cluster"
)

// rackDigest hashes the term and versions up to which a rack is known. Digests
// of several racks are added, which makes the sum independent of their order.
func rackDigest(share cluster.Share, t term, book, tasks uint64, complete bool) uint64 {
	done := uint64(0)
	if complete {
		done = 1
	}
	b := make([]byte, 0, 64)
	for _, n := range []uint64{t.Epoch, t.Activation, book, tasks, done} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return xxhash.Sum64(append(b, share.Name...))
}

// refDigest hashes the identity of a live attempt.
func refDigest(ref TaskRef) uint64 {
	b := make([]byte, 0, 96)
	b = binary.BigEndian.AppendUint64(b, uint64(ref.Index))
	b = binary.BigEndian.AppendUint64(b, uint64(ref.Attempt))
	return xxhash.Sum64(append(b, ref.JobID...))
}

// digest sums the digests of this daemon's racks and of the live attempts of
// the given homes. A home that has the same state computes the same digest.
func (al *allocator) digest(homes map[cluster.Share]bool) uint64 {
	var sum uint64
	for share := range al.racks {
		r, _, ok := al.owned(share)
		if !ok {
			continue
		}
		sum += rackDigest(share, r.term, r.book.Version(), r.version, r.complete)
		for home, part := range r.liveDigests(al.p.o.Now()) {
			if homes[home] {
				sum += part
			}
		}
	}
	return sum
}

// digestCacheTTL bounds the age of cached digests while the rack's version is
// unchanged.
const digestCacheTTL = 10 * time.Second

// liveDigestCache holds the digests of a rack's live attempts by home.
type liveDigestCache struct {
	byHome     map[cluster.Share]uint64
	version    uint64
	count      int
	computedAt time.Time
}

// liveDigests returns the sum of the digests of each home's live attempts.
func (r *rack) liveDigests(now time.Time) map[cluster.Share]uint64 {
	s := &r.digests
	if s.byHome != nil && s.version == r.version && s.count == len(r.attempts) && now.Sub(s.computedAt) < digestCacheTTL {
		return s.byHome
	}
	*s = liveDigestCache{byHome: make(map[cluster.Share]uint64), version: r.version, count: len(r.attempts), computedAt: now}
	for _, a := range r.attempts {
		if d := a.digest(); d != 0 {
			s.byHome[a.home] += d
		}
	}
	return s.byHome
}

// digest sums the digests of the racks, as far as they are known, and of the
// live tasks on them. It is zero if the request asks for more than changes, so
// that the full request is sent.
func (sc *scheduler) digest(racks []*rackSnapshot, versions []rackVersion) uint64 {
	var sum uint64
	for i, v := range versions {
		if len(v.FullHomes) > 0 || len(v.Recheck) > 0 {
			return 0
		}
		sum += rackDigest(v.Share, v.Term, v.BookVersion, v.TasksVersion, racks[i].complete)
	}
	asked := shareSet(versions)
	for _, j := range sc.jobs {
		sum += j.digestForRacks(asked)
	}
	return sum
}

// digest returns the digest of a live attempt, and zero for any other.
func (a *attempt) digest() uint64 {
	if a.reserved || a.state.terminated() {
		return 0
	}
	return refDigest(a.ref)
}

// digestForRacks sums the digests of the job's live tasks on the given racks.
func (j *job) digestForRacks(racks map[cluster.Share]bool) uint64 {
	var sum uint64
	for _, t := range j.tasks {
		if t.live() && t.accepted && racks[t.rack] {
			sum += refDigest(t.ref())
		}
	}
	return sum
}

func shareSet(versions []rackVersion) map[cluster.Share]bool {
	shares := make(map[cluster.Share]bool, len(versions))
	for _, v := range versions {
		shares[v.Share] = true
	}
	return shares
}

// confirmRunning takes an equal digest as confirmation that running tasks run.
// Starting and stopping tasks are not confirmed, because they have to change
// state; they are rechecked once they are stale.
func (sc *scheduler) confirmRunning(versions []rackVersion, sent uint64, now time.Time) {
	asked := shareSet(versions)
	for _, j := range sc.jobs {
		for _, t := range j.tasks {
			if t.state == taskRunning && asked[t.rack] && t.inReportsOf(sent) {
				t.lastConfirmed = now
			}
		}
	}
}
