package relay

import (
	"slices"
	"testing"
	"time"
)

func TestSelectPeers_PrefersNearestThatReachesStore(t *testing.T) {
	now := time.Unix(0, 0)
	r := &Relay{routes: make(map[string]route), now: func() time.Time { return now }}
	r.setRoute("far", route{rank: rankReachesStore, took: 26 * time.Millisecond})
	r.setRoute("near", route{rank: rankReachesStore, took: time.Millisecond})
	r.setRoute("alike", route{rank: rankNoStore, took: time.Millisecond})
	r.setRoute("dead", route{rank: rankFailed})
	names := []string{"alike", "dead", "far", "near", "new"}
	for _, c := range []struct {
		name string
		do   func()
		want []string
	}{
		{"nearest first", func() {}, []string{"near", "far"}},
		{"failed one excluded", func() { r.setRoute("near", route{rank: rankFailed}) }, []string{"far", "new"}},
		{"one without the store excluded", func() { r.setRoute("far", route{rank: rankNoStore}) }, []string{"new"}},
		{"expired routes count as unknown", func() { now = now.Add(routeTTL + time.Second) }, []string{"alike", "dead"}},
	} {
		c.do()
		if got := r.selectPeers(names); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
