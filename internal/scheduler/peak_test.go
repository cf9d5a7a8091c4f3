package scheduler

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// peakFactor is the load of the replayed day: from second 8 to 14 short work comes at 2.1
// times and middle work at 2.2 times its rate, and one tenant of twenty at 6 times its own.
func peakFactor(kind string, elapsed time.Duration) float64 {
	if elapsed < 8*time.Second || elapsed >= 14*time.Second {
		return 1
	}
	oneTenant := 1 + (6.0-1)/20
	return oneTenant * map[string]float64{"long": 1, "middle": 2.2, "short": 2.1}[kind]
}

// On a queue that a load peak had filled, the owner placed 105 to 130 tasks a second in bursts
// 0.7 to 1 s apart although servers were idle: each pass looked at each server for each queued
// step, and the next one waited four times as long.
func TestPlacement_RateDoesNotFallInAPeak(t *testing.T) {
	w := newPeakWorld(t, smallOwnerCosts)
	for _, k := range peakKinds {
		w.arrive(k, func(elapsed time.Duration) float64 { return peakFactor(k.name, elapsed) })
	}
	w.run(5 * time.Second)
	w.gapsFrom = w.h.now
	placedBefore := w.placed
	w.run(3 * time.Second)
	rest := float64(w.placed-placedBefore) / 3
	w.logWaits()
	for range 8 {
		placedBefore = w.placed
		w.run(time.Second)
		rate := float64(w.placed - placedBefore)
		t.Logf("second %d: %.0f placed, use %.2f, %d queued, longest pass %s", int(w.elapsed()/time.Second), rate, w.use(), len(w.h.core.queued), w.longestPass)
		if w.use() < 0.75 && rate < 0.9*rest {
			t.Errorf("%.0f tasks placed in second %d with %.2f of the CPU in use, %.0f a second before the peak", rate, int(w.elapsed()/time.Second), w.use(), rest)
		}
	}
	w.logWaits()
	if w.longestGap > 100*time.Millisecond {
		t.Errorf("no task placed for %s while servers were idle, want at most 100 ms", w.longestGap)
	}
	if w.longestPass > 20*time.Millisecond {
		t.Errorf("a pass held up polls and answers for %s, want at most 20 ms", w.longestPass)
	}
}

// processTime returns the processor time of this process, which other processes do not
// lengthen as they do the time that passes.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPlacementBacklog measures the processor time per placed task of a full service, behind
// queues of three lengths: events, passes and their actions. Passes are 5 ms apart.
func BenchmarkPlacementBacklog(b *testing.B) {
	benchmarkBacklog(b, false)
}

// BenchmarkPlacementTenants is the same with twenty tenants, of which some are at their caps.
func BenchmarkPlacementTenants(b *testing.B) { benchmarkBacklog(b, true) }

func benchmarkBacklog(b *testing.B, tenants bool) {
	for _, queued := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(queued), func(b *testing.B) {
			w := newPeakWorld(&testing.T{}, peakCosts{pass: 5 * time.Millisecond})
			if tenants {
				w.addTenants()
			}
			w.closed = true
			w.fill(queued)
			w.run(4 * time.Second)
			b.ReportAllocs()
			b.ResetTimer()
			placed, before, elapsed, cpu := w.placed, w.h.core.placement.total, w.elapsed(), processTime()
			for range b.N {
				w.next()
				w.round()
			}
			b.StopTimer()
			n := float64(w.placed - placed)
			spent := w.h.core.placement.total
			b.ReportMetric(float64((processTime()-cpu).Nanoseconds())/n, "cpu-ns/placed")
			b.ReportMetric(float64(spent.steps-before.steps)/n, "steps/placed")
			b.ReportMetric(float64(spent.servers-before.servers)/n, "servers/placed")
			b.ReportMetric(n/(w.elapsed()-elapsed).Seconds(), "placed/s")
			b.ReportMetric(w.use(), "use")
			b.ReportMetric(float64(len(w.h.core.queued)), "queued")
		})
	}
}
