package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlacementBacklog measures the processor time per placed task of a full service, behind
// queues of three lengths: events, passes and their actions. Passes are 5 ms apart.
func BenchmarkPlacementBacklog(b *testing.B) {
	for _, queued := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(queued), func(b *testing.B) {
			w := newPeakWorld(&testing.T{}, peakCosts{pass: 5 * time.Millisecond})
			w.closed = true
			w.fill(queued)
			w.run(4 * time.Second)
			b.ReportAllocs()
			b.ResetTimer()
			placed, before, steps := w.placed, w.h.core.placement.total, w.elapsed()
			for range b.N {
				w.next()
				w.round()
			}
			b.StopTimer()
			n := float64(w.placed - placed)
			spent := w.h.core.placement.total
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/n, "ns/placed")
			b.ReportMetric(float64(spent.steps-before.steps)/n, "steps/placed")
			b.ReportMetric(float64(spent.servers-before.servers)/n, "servers/placed")
			b.ReportMetric(n/(w.elapsed()-steps).Seconds(), "placed/s")
			b.ReportMetric(w.use(), "use")
			b.ReportMetric(float64(len(w.h.core.queued)), "queued")
		})
	}
}
