package placer

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/placement/book"
)

// TestRackDigest_DependsOnEveryInput guards against changes that homes do not
// see because the digest stays the same.
func TestRackDigest_DependsOnEveryInput(t *testing.T) {
	share := cluster.Share{Kind: cluster.ShareRack, Name: "north-a/r1"}
	other := cluster.Share{Kind: cluster.ShareRack, Name: "north-a/r2"}
	base := rackDigest(share, term{1, 1}, 2, 3, true)
	for name, got := range map[string]uint64{
		"rack":     rackDigest(other, term{1, 1}, 2, 3, true),
		"epoch":    rackDigest(share, term{2, 1}, 2, 3, true),
		"sitting":  rackDigest(share, term{1, 2}, 2, 3, true),
		"book":     rackDigest(share, term{1, 1}, 3, 3, true),
		"tasks":    rackDigest(share, term{1, 1}, 2, 4, true),
		"complete": rackDigest(share, term{1, 1}, 2, 3, false),
		"attempt":  base + refDigest(TaskRef{JobID: "j", Index: 1, Attempt: 1}),
	} {
		if got == base {
			t.Errorf("a different %s has the same digest", name)
		}
	}
}

// TestDigest_EqualForTheSameLiveAttempts checks that a home and an owner
// compute equal digests only if the home knows exactly its live attempts at the
// owner.
func TestDigest_EqualForTheSameLiveAttempts(t *testing.T) {
	home := cluster.KeyShare("j")
	rackShare := cluster.Share{Kind: cluster.ShareRack, Name: "r"}
	ref := TaskRef{JobID: "j", Index: 1, Attempt: 1}
	cases := []struct {
		name     string
		attempts []attempt
		same     bool
	}{
		{"the same attempt", []attempt{{home: home, ref: ref}}, true},
		{"unknown to the owner", nil, false},
		{"ended", []attempt{{home: home, ref: ref, state: attemptExited}}, false},
		{"another attempt", []attempt{{home: home, ref: TaskRef{JobID: "j", Index: 1, Attempt: 2}}}, false},
		{"one more", []attempt{{home: home, ref: ref}, {home: home, ref: TaskRef{JobID: "j", Index: 2, Attempt: 1}}}, false},
		{"and one of another home", []attempt{{home: home, ref: ref}, {ref: TaskRef{JobID: "k"}}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &rack{attempts: make(map[book.ID]*attempt)}
			for _, a := range c.attempts {
				r.attempts[idOf(a.ref)] = &a
			}
			theirs := r.liveDigests(time.Unix(0, 0))[home]
			job := &job{entry: roles.JobEntry{ID: "j"}}
			job.tasks = []*task{{job: job, index: 1, attempt: 1, state: taskRunning, accepted: true, rack: rackShare}}
			ours := job.digestForRacks(map[cluster.Share]bool{rackShare: true})
			if (theirs == ours) != c.same {
				t.Errorf("owner's digest %x, home's digest %x, want equal: %v", theirs, ours, c.same)
			}
		})
	}
}
