package tenure

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/partition"
)

// A witness that has promised one owner must not attest for an earlier one, whose leases
// would outlast the wait of the later one. Other partitions are not concerned.
func TestWitness_AttestsForNoEpochBelowItsPromise(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	w := NewWitness(func() time.Time { return now })
	id, other := partition.ID{Topic: Topic, Part: 1}, partition.ID{Topic: Topic, Part: 2}
	w.Promise(id, 5)
	w.Promise(id, 3)
	now = now.Add(time.Minute)
	for _, tc := range []struct {
		id    partition.ID
		epoch uint64
		later uint64
	}{
		{id, 3, 5}, {id, 4, 5}, {id, 5, 0}, {id, 6, 0}, {other, 1, 0},
	} {
		a := w.Attest(tc.id, tc.epoch)
		if a.Later != tc.later || a.Uptime != time.Minute {
			t.Errorf("partition %d, epoch %d: %+v, want a later claim %d and 1 min", tc.id.Part, tc.epoch, a, tc.later)
		}
	}
}
