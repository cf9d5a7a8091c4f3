package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/shard"
)

// A daemon that has just started must wait for the layout, and give up after
// ownerSearchTimeout.
func TestRouter_WaitsForLayout(t *testing.T) {
	for _, c := range []struct {
		known time.Duration
		want  bool
	}{{0, true}, {800 * time.Millisecond, true}, {time.Hour, false}} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			e := &Router{o: Options{Now: time.Now, Layout: func(string) (shard.Layout, bool) {
				return shard.Layout{Shards: 1}, time.Since(began) >= c.known
			}}}
			_, ok := e.awaitLayout(t.Context(), "pool")
			took := time.Since(began)
			if ok != c.want || took > ownerSearchTimeout+2*ownerSearchInterval || c.want && took > c.known+2*ownerSearchInterval {
				t.Errorf("layout known after %s: found %t after %s", c.known, ok, took)
			}
		})
	}
}
