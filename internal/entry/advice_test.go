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

// Several schedulers with long queues of questions share no daemon, and leave
// none out.
func TestLaneOf_PartsOverlapNowhere(t *testing.T) {
	tests := []struct{ daemons, of int }{{38, 6}, {9, 1}, {9, 2}, {12, 12}, {13, 12}}
	for _, tt := range tests {
		seen := make(map[string]int)
		for place := range tt.of {
			for _, name := range laneOf(names(tt.daemons), place, tt.of) {
				seen[name]++
			}
		}
		if len(seen) != tt.daemons {
			t.Errorf("%d daemons for %d: %d are asked", tt.daemons, tt.of, len(seen))
		}
		for name, n := range seen {
			if n != 1 {
				t.Errorf("%d daemons for %d: %s is in %d parts", tt.daemons, tt.of, name, n)
			}
		}
	}
	if got := laneOf(names(3), 5, 6); len(got) != 3 {
		t.Errorf("%d of 3 daemons for 6 schedulers, want all", len(got))
	}
}

// A daemon whose queue at the policy service is full is not asked again at once.
func TestAdvisors_LeaveADaemonThatFailed(t *testing.T) {
	now := time.Unix(0, 0)
	a := &PolicyClients{
		self: "d00", now: func() time.Time { return now },
		open: make(map[string]time.Duration), resting: make(map[string]rest),
	}
	asked := func(err error) string {
		advisor, _, done := a.take(names(3), time.Millisecond)
		done(err)
		if r, ok := advisor.(remoteAdvisor); ok {
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
		t.Errorf("%s is asked again at once", failed)
	}
	now = now.Add(minRest)
	others = nil
	for range 3 {
		others = append(others, asked(nil))
	}
	if !slices.Contains(others, failed) {
		t.Errorf("%s is never asked again", failed)
	}
	// Where all failed, one is asked all the same.
	for range 3 {
		asked(errors.New("queue is full"))
	}
	if asked(nil) == "" {
		t.Error("nobody is asked")
	}
}
