package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// BenchmarkPlace measures placement passes over a queue that waits for 48 full
// servers.
func BenchmarkPlace(b *testing.B) {
	for _, waiting := range []int{50, 200, 800} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			h := newHarness(&testing.T{}, 48)
			h.answerAllPolls()
			h.config.Queues[0].Policy = &workload.PolicyTiming{DecisionTime: 100 * time.Millisecond, PermissionValidity: 2 * time.Second}
			fill := oneTask(31000)
			fill.Count = 48
			h.submit(fmt.Sprintf("%016x", 1<<20), fill)
			for _, ask := range h.requests {
				tickets := make([]Ticket, 0, len(ask.Servers))
				for _, s := range ask.Servers {
					tickets = append(tickets, Ticket{s, "t"})
				}
				h.do(func(c *Core) { c.AuthorizationCompleted(ask.Step, ask.Servers, tickets, time.Minute, nil) })
			}
			for i := range waiting {
				step := oneTask(9000)
				step.Count, step.Gang = 5, i%4 == 0
				h.submit(fmt.Sprintf("%016x", i+1), step)
			}
			b.ReportAllocs()
			for b.Loop() {
				h.core.placementNeeded = true
				h.core.Finish(true)
			}
		})
	}
}
