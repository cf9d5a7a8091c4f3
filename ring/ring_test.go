package ring_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/currantwinch/currantwinch/ring"
)

func TestRing_PoliciesWhenFull(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	cases := []struct {
		policy           ring.Policy
		took             bool
		first            int
		refused, dropped uint64
	}{
		{ring.Block, false, 1, 1, 0},
		{ring.Reject, false, 1, 1, 0},
		{ring.DropOldest, true, 2, 0, 1},
	}
	for _, c := range cases {
		r := ring.New[int]("r", 2, c.policy)
		r.Push(ended, 1)
		r.Push(ended, 2)
		if took := r.Push(ended, 3); took != c.took {
			t.Errorf("%v: took %v, want %v", c.policy, took, c.took)
		}
		s := r.Stats()
		if s.Rejected != c.refused || s.Dropped != c.dropped || s.Depth != 2 {
			t.Errorf("%v: stats %+v", c.policy, s)
		}
		if first := <-r.C(); first != c.first {
			t.Errorf("%v: first %d, want %d", c.policy, first, c.first)
		}
	}
}

func Example() {
	r := ring.New[string]("samples", 1, ring.DropOldest)
	r.Push(context.Background(), "old")
	r.Push(context.Background(), "new")
	fmt.Println(<-r.C(), r.Stats().Dropped)
	// Output: new 1
}
