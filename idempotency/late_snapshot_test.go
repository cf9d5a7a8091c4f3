package idempotency_test

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/idempotency"
)

// A snapshot arrives late in a generation of the new owner's table. A key in it may be used
// for a whole window after its own generation, which counts from then. It must not be
// forgotten before: a key that is usable and unknown may run.
func TestImportSnapshot_RemembersLateKeysForAsLongAsTheyAreUsable(t *testing.T) {
	config := idempotency.DefaultConfig()
	for late := time.Duration(0); late < config.GenerationPeriod; late += 5 * time.Second {
		former := idempotency.NewTable[string](config, share, 1, start)
		key := former.Issue(start, random(1))
		former.Begin(start, attempt(key, "a"))
		former.Finish(key, "a", ran("x"))
		snapshot := former.Snapshot(start.Add(time.Second))

		begin := start.Add(time.Second)
		next := idempotency.NewTable[string](config, share, 2, begin)
		if !next.ImportSnapshot(begin.Add(late), snapshot) {
			t.Fatal("the snapshot was not imported")
		}
		for after := late; after < 2*config.ValidityWindow; after += time.Second {
			now := begin.Add(after)
			next.Expire(now)
			if d := next.Lookup(now, key, 1); d.State == idempotency.Fresh {
				t.Errorf("a key that has run may run again %s after a snapshot that came %s after the epoch began", after-late, late)
				break
			}
		}
	}
}

// A key that was not used under the former owner is begun after a late snapshot, in the
// last moment of each of the new table's generations. It must not be forgotten while it can
// be used either.
func TestImportSnapshot_RemembersKeysBegunAfterItForAsLongAsTheyAreUsable(t *testing.T) {
	config := idempotency.DefaultConfig()
	for late := time.Duration(0); late < config.GenerationPeriod; late += 5 * time.Second {
		for generation := range 10 {
			former := idempotency.NewTable[string](config, share, 1, start)
			key := former.Issue(start, random(1))
			next := idempotency.NewTable[string](config, share, 2, start)
			if !next.ImportSnapshot(start.Add(late), former.Snapshot(start)) {
				t.Fatal("the snapshot was not imported")
			}
			begun := start.Add(time.Duration(generation+1)*config.GenerationPeriod - time.Nanosecond)
			a := attempt(key, "a")
			a.OutcomeDeadline = begun.Add(time.Minute)
			if d := next.Begin(begun, a); d.State != idempotency.Fresh {
				t.Fatalf("the unused key: got %+v, want it fresh", d)
			}
			next.Finish(key, "a", ran("x"))
			for now := begun; now.Before(begun.Add(2 * config.ValidityWindow)); now = now.Add(time.Second) {
				next.Expire(now)
				if d := next.Lookup(now, key, 1); d.State == idempotency.Fresh {
					t.Errorf("a key that ran in generation %d may run again %s later; the snapshot came after %s", generation, now.Sub(begun), late)
					break
				}
			}
		}
	}
}
