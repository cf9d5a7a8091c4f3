package entry

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"
)

func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("d%02d", i))
	}
	return out
}

// The subsets of several schedulers must not overlap and must cover all
// daemons.
func TestSubsetOf_PartitionsDaemons(t *testing.T) {
	tests := []struct{ daemons, of int }{{38, 6}, {9, 1}, {9, 2}, {12, 12}, {13, 12}}
	for _, tt := range tests {
		seen := make(map[string]int)
		for place := range tt.of {
			for _, name := range subsetOf(names(tt.daemons), place, tt.of) {
				seen[name]++
			}
		}
		if len(seen) != tt.daemons {
			t.Errorf("%d daemons in %d subsets: %d are used, want all", tt.daemons, tt.of, len(seen))
		}
		for name, n := range seen {
			if n != 1 {
				t.Errorf("%d daemons in %d subsets: %s is in %d, want 1", tt.daemons, tt.of, name, n)
			}
		}
	}
	if got := subsetOf(names(3), 5, 6); len(got) != 3 {
		t.Errorf("subset has %d of 3 daemons with 6 schedulers, want all", len(got))
	}
}

// A daemon whose queue at the policy service is full must not be asked again at
// once.
func TestPolicyClients_BackOffFromFailedDaemon(t *testing.T) {
	now := time.Unix(0, 0)
	a := &PolicyClients{
		self: "d00", now: func() time.Time { return now },
		openTime: make(map[string]time.Duration), backoffs: make(backoffs),
	}
	asked := func(err error) string {
		client, _, done := a.acquire(names(3), time.Millisecond)
		done(err)
		if r, ok := client.(remotePolicyClient); ok {
			return r.daemon
		}
		return a.self
	}
	failed := asked(errors.New("queue is full"))
	var others []string
	for range 20 {
		others = append(others, asked(nil))
	}
	if slices.Contains(others, failed) {
		t.Errorf("%s got a request during its backoff", failed)
	}
	now = now.Add(minBackoff)
	others = nil
	for range 3 {
		others = append(others, asked(nil))
	}
	if !slices.Contains(others, failed) {
		t.Errorf("%s got no request after its backoff", failed)
	}
	// If all daemons failed, one is asked nevertheless.
	for range 3 {
		asked(errors.New("queue is full"))
	}
	if asked(nil) == "" {
		t.Error("no daemon was chosen while all back off")
	}
}
