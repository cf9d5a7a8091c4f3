package ownership_test

import (
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/ownership"
)

func nobodyEnded(string) bool { return false }

func Example() {
	p := ownership.Protocol{Timing: ownership.DefaultTiming}
	now := ownership.Instant(time.Hour)
	var state ownership.ShareState
	state, tenure, prior := p.PrepareClaim(state, "a1", ownership.Entry{}, []string{"a1", "b1", "c1"}, nobodyEnded)
	// The claim is appended to the log and read back by a read that began now.
	state = p.ApplyRead(state, "a1", ownership.Entry{Tenure: tenure, Prior: prior}, now, now)
	state = p.Advance(state, nobodyEnded, now)
	for _, later := range []time.Duration{time.Second, 4 * time.Second} {
		_, ok := p.Lease(state, now.Add(later))
		fmt.Println(later, ok)
	}
	// Output:
	// 1s true
	// 4s false
}
