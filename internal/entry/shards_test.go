package entry

import (
	"context"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/peer"
	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/verdict"
)

// During a rolling restart an earlier version may become an owner. It would not find a
// submission that was handed over, so that nothing is handed over while one is known.
func TestVersions_NothingIsHandedOverBesideAnEarlierVersion(t *testing.T) {
	earlier := verdict.New(verdict.NotRun, peer.ReasonUnknownMethod, "method")
	silent := verdict.New(verdict.MayHaveRun, peer.ReasonResponseLost, "no answer")
	for _, tc := range []struct {
		name    string
		answers map[string]error
		want    bool
	}{
		{"none", nil, true},
		{"all know it", map[string]error{"a": nil, "b": nil}, true},
		{"one is earlier", map[string]error{"a": nil, "b": earlier}, false},
		{"one is gone", map[string]error{"a": nil, "b": silent}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			v := &versions{known: make(map[string]version), now: func() time.Time { return now }}
			v.call = func(_ context.Context, daemon string) error { return tc.answers[daemon] }
			var daemons []string
			for name := range tc.answers {
				daemons = append(daemons, name)
			}
			if got := v.allHandOver(t.Context(), daemons); got != tc.want {
				t.Errorf("hands over %t, want %t", got, tc.want)
			}
			// The daemons are replaced by the current version.
			tc.answers = nil
			now = now.Add(handsOverTTL)
			if !v.allHandOver(t.Context(), daemons) {
				t.Error("nothing is handed over after all daemons were replaced")
			}
		})
	}
}

// Guards against a submission that stays where it cannot run: its owner had looked the holders
// up before the other shard's partition was assigned, and never looked again (seen in the third
// review).
func TestShards_HolderThatIsNotKnownIsLookedUp(t *testing.T) {
	peers := &scriptedPeers{answers: []func() (scheduler.Reply, error){replied(scheduler.OutcomeDone)}}
	group := &oneOwner{owners: []string{"b"}}
	router := routerWith(t, peers, group)
	group.unassigned = 1
	now := time.Now()
	router.o.Member = partition.NewMember(group, "a", time.Second, func() time.Time { return now }, func(error) {}, func() {}, func([]string) bool { return false })
	router.o.Member.Refresh(t.Context())
	if _, ok := router.o.Member.Holder(partitionID(0)); ok {
		t.Fatal("a holder is known before one is assigned")
	}
	now = now.Add(time.Second)
	if err := router.ShardsOf(partitionID(1)).HandOver(t.Context(), 0, scheduler.Handover{}); err != nil {
		t.Errorf("%v, want the handover to reach the holder", err)
	}
	if len(peers.called) != 1 || peers.called[0] != "b" {
		t.Errorf("called %v, want b", peers.called)
	}
}
