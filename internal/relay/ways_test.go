package relay

import (
	"slices"
	"testing"
	"time"
)

func TestChoose_NearestThatReachesTheStore(t *testing.T) {
	now := time.Unix(0, 0)
	r := &Relay{ways: make(map[string]way), now: func() time.Time { return now }}
	r.learnWay("far", way{rank: rankReaches, took: 26 * time.Millisecond})
	r.learnWay("near", way{rank: rankReaches, took: time.Millisecond})
	r.learnWay("alike", way{rank: rankNoStore, took: time.Millisecond})
	r.learnWay("dead", way{rank: rankFailed})
	names := []string{"alike", "dead", "far", "near", "new"}
	for _, c := range []struct {
		name string
		do   func()
		want []string
	}{
		{"the nearer first", func() {}, []string{"near", "far"}},
		{"one that failed is left", func() { r.learnWay("near", way{rank: rankFailed}) }, []string{"far", "new"}},
		{"none that the store does not answer", func() { r.learnWay("far", way{rank: rankNoStore}) }, []string{"new"}},
		{"what is old counts as unknown", func() { now = now.Add(wayKept + time.Second) }, []string{"alike", "dead"}},
	} {
		c.do()
		if got := r.choose(names); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
