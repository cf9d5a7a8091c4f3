package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/shard"
)

// A daemon that has just started waits for the layout, and gives up in time.
func TestEntry_WaitsForALayout(t *testing.T) {
	for _, c := range []struct {
		known time.Duration
		want  bool
	}{{0, true}, {800 * time.Millisecond, true}, {time.Hour, false}} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			e := &Router{Options{Now: time.Now, Layout: func(string) (shard.Layout, bool) {
				return shard.Layout{Shards: 1}, time.Since(began) >= c.known
			}}}
			_, ok := e.awaitLayout(t.Context(), "pool")
			took := time.Since(began)
			if ok != c.want || took > searchTime+2*searchPause || c.want && took > c.known+2*searchPause {
				t.Errorf("known after %s: %t after %s", c.known, ok, took)
			}
		})
	}
}
