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
		if got := r.selectPeers(names, false); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// A cut owner reads the whole list of servers through another daemon. Its appends
// must not wait behind that on the same connection.
func TestSelectPeers_KeepsBulkCallsOffTheNearest(t *testing.T) {
	now := time.Unix(0, 0)
	r := &Relay{routes: make(map[string]route), now: func() time.Time { return now }}
	r.setRoute("near", route{rank: rankReachesStore, took: time.Millisecond})
	r.setRoute("far", route{rank: rankReachesStore, took: 26 * time.Millisecond})
	if got := r.selectPeers([]string{"far", "near"}, true); !slices.Equal(got, []string{"far", "near"}) {
		t.Errorf("bulk calls go to %v, want the second nearest first", got)
	}
	if got := r.selectPeers([]string{"far", "near"}, false); !slices.Equal(got, []string{"near", "far"}) {
		t.Errorf("other calls go to %v, want the nearest first", got)
	}
	r.setRoute("far", route{rank: rankFailed})
	if got := r.selectPeers([]string{"far", "near", "new"}, true); !slices.Equal(got, []string{"near", "new"}) {
		t.Errorf("with one known route bulk calls go to %v, want that one first", got)
	}
}
