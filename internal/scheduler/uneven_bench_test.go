package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// BenchmarkReviewSpeeds measures the review of 350 servers with 10 runs each.
func BenchmarkReviewSpeeds(b *testing.B) {
	w := newUnevenWorld(&testing.T{}, 1, 350, 20, workload.Resources{CPU: 32000, MemoryMB: 64000}, mixedSpeedKinds(), 0)
	for k := range w.kinds {
		w.kinds[k].perSecond *= 8
		w.kinds[k].speculative = true
	}
	w.run(8*time.Second, 0)
	n := 0
	for _, s := range w.core.servers {
		n += len(s.attempts)
	}
	b.ReportMetric(float64(n), "runs")
	b.Run("review", func(b *testing.B) {
		for b.Loop() {
			w.core.speedsReviewedAt = time.Time{}
			w.core.reviewSpeeds()
		}
	})
	b.Run("stragglers", func(b *testing.B) {
		for b.Loop() {
			w.core.stragglers()
		}
	})
}
