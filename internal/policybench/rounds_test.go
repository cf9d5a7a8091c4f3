package policybench

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// variant is a policy with changed parameters.
type variant struct {
	name  string
	apply func(*policy)
}

func (v variant) policy() policy {
	p := defaultPolicy()
	v.apply(&p)
	return p
}

// printVariants prints the peakRow of each variant.
func printVariants(title string, workloadOf func(uint64) workload, variants ...variant) {
	rows := [][]string{peakHeader}
	for _, v := range variants {
		rows = append(rows, peakRow(v.name, runPolicy(v.policy(), workloadOf, runUntil)))
	}
	printTable(title, rows...)
}

func unchanged(*policy) {}

func BenchmarkPolicyRoundWait(b *testing.B) {
	for range b.N {
		for _, part := range []float64{0.5, 0.25, 0.1} {
			v := variant{fmt.Sprintf("checks may wait %v of the time to their deadline", part),
				func(p *policy) { p.admission.MaxShortWaitFraction = part }}
			printVariants("wait allowed at admission", peakWorkload, v)
			overloadTable(5, 0.02, v.name, v.policy())
		}
	}
}

func BenchmarkPolicyRoundReserve(b *testing.B) {
	for range b.N {
		variants := []variant{{"none", func(p *policy) { p.noShortReserve = true }}}
		for _, deviations := range []float64{1, 2, 2.5, 3, 4} {
			variants = append(variants, variant{fmt.Sprintf("%v deviations", deviations),
				func(p *policy) { p.reserve.Deviations = deviations }})
		}
		printVariants("reserve, load peak", peakWorkload, variants...)
		printVariants("reserve, long work always waiting", longBacklogWorkload, variants...)
	}
}

func BenchmarkPolicyRoundTerm(b *testing.B) {
	for range b.N {
		for _, term := range []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second} {
			set := func(p *policy) { p.leaseTerm = term }
			printVariants(fmt.Sprintf("lease term %v", term), peakWorkload,
				variant{"no fault", set},
				variant{"daemon crashed before", func(p *policy) { set(p); p.crashDaemon, p.faultAt = true, peakStart-2*time.Second }},
				variant{"daemon crashes", func(p *policy) { set(p); p.crashDaemon, p.faultAt = true, peakStart+time.Second }},
				variant{"responses delayed by 1 s", func(p *policy) { set(p); p.responseDelay = time.Second }})
		}
	}
}

func BenchmarkPolicyRoundClasses(b *testing.B) {
	for range b.N {
		printVariants("classes and reserve", peakWorkload,
			variant{"one class", func(p *policy) { p.singleClass = true }},
			variant{"short first, no reserve", func(p *policy) { p.noShortReserve = true }},
			variant{"short first, reserve", unchanged},
			variant{"no minimum for long", func(p *policy) { p.longMinimum = 0 }},
			variant{"half the slots to long first", func(p *policy) { p.longMinimum = 0.5 }})
	}
}

func BenchmarkPolicyRoundHedge(b *testing.B) {
	for range b.N {
		variants := []variant{
			{"none", unchanged},
			{"2% budget, a second attempt has a run time drawn separately", func(p *policy) { p.hedge = true }},
			{"2% budget, a second attempt runs as long", func(p *policy) { p.hedge, p.hedgeSameRunTime = true, true }},
		}
		printVariants("hedges of late checks", peakWorkload, variants...)
		rows := [][]string{{"hedges of late checks", "check done p50", "p99", "p99.9", "hedges a check"}}
		for _, v := range variants {
			r := runPolicy(v.policy(), peakWorkload, runUntil)
			checks := r.outcomesOf(false, 0, runUntil)
			rows = append(rows, []string{v.name,
				ms(quantile(checks, 0.5, responseTimeOf)),
				ms(quantile(checks, 0.99, responseTimeOf)),
				ms(quantile(checks, 0.999, responseTimeOf)),
				percent(float64(r.hedges) / float64(len(checks)))})
		}
		printTable("hedges, all checks", rows...)
	}
}

// BenchmarkPolicyRoundLate compares hedges and latest start times by the number of
// late responses at five times the cell's slots, where requests are always queued.
func BenchmarkPolicyRoundLate(b *testing.B) {
	for range b.N {
		variants := []variant{
			{"none", unchanged},
			{"hedges only while the queue is empty", func(p *policy) { p.hedge = true }},
			{"hedges before the queue, run time drawn separately", func(p *policy) { p.hedge, p.hedgeBeforeQueue = true, true }},
			{"hedges before the queue, run as long", func(p *policy) { p.hedge, p.hedgeBeforeQueue, p.hedgeSameRunTime = true, true, true }},
		}
		for _, parts := range [][2]float64{{1, 1}, {0.5, 1}, {0.25, 1}, {0.5, 0.75}, {0.25, 0.75}, {0.25, 0.6}, {0.25, 0.5}, {0.15, 0.4}} {
			variants = append(variants, variant{fmt.Sprintf("start within %v, %v", parts[0], parts[1]), func(p *policy) {
				p.admission.MaxShortStartFraction, p.admission.MaxStartFraction = parts[0], parts[1]
			}})
		}
		rows := [][]string{{"5x overload, 2% stragglers", "answered in time", "useful slot time", "late checks", "late reviews",
			"expired in queue", "checks answered", "check p99", "hedges a request"}}
		for _, v := range variants {
			rows = append(rows, lateResponsesRow(v))
		}
		printTable("late responses at 5x overload", rows...)
	}
}

func lateResponsesRow(v variant) []string {
	r := runPolicy(v.policy(), func(seed uint64) workload { return overloadWorkload(seed, 5, 0.02) }, runUntil)
	late := func(kind string) string {
		return fmt.Sprintf("%.4f%%", 100*fraction(r.outcomes, func(s *outcome) bool { return s.done && !s.useful() && s.kind == kind }))
	}
	checks := slices.DeleteFunc(r.outcomesOf(false, 10*time.Second, 30*time.Second), func(s *outcome) bool { return !s.done })
	return []string{v.name,
		percent(fraction(r.outcomes, (*outcome).useful)),
		percent(r.usefulFraction(10*time.Second, 30*time.Second, 2*oneWayLocal) / float64(len(benchSeeds))),
		late("check"), late("review"),
		percent(fraction(r.outcomes, func(s *outcome) bool { return s.expired })),
		fmt.Sprint(len(checks)),
		ms(quantile(checks, 0.99, responseTimeOf)),
		percent(float64(r.hedges) / float64(len(r.outcomes)))}
}

func BenchmarkPolicyRoundRefresh(b *testing.B) {
	rest := func(seed uint64) workload {
		w := overloadWorkload(seed, 0.01, 0)
		w.duration = 60 * time.Second
		return w
	}
	for range b.N {
		rows := [][]string{{"refresh", "credit requests/s per idle daemon", "control B/s per idle daemon"}}
		for _, refresh := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
			p := defaultPolicy()
			p.refresh = refresh
			r := runPolicy(p, rest, time.Minute)
			n := 60 * daemons * float64(len(benchSeeds))
			rows = append(rows, []string{refresh.String(), fmt.Sprintf("%.1f", float64(r.creditRequests)/n), fmt.Sprintf("%.0f", 2*float64(r.controlBytes)/n)})
			set := func(p *policy) { p.refresh = refresh }
			printVariants(fmt.Sprintf("refresh %v", refresh), peakWorkload, variant{"no fault", set},
				variant{"daemon crashes", func(p *policy) { set(p); p.crashDaemon, p.faultAt = true, peakStart+time.Second }},
				variant{"responses delayed by 1 s", func(p *policy) { set(p); p.responseDelay = time.Second }})
		}
		printTable("control traffic of idle daemons, sent and received", rows...)
	}
}

func BenchmarkPolicyRoundPressed(b *testing.B) {
	for range b.N {
		variants := []variant{
			{"reserve never yields", func(p *policy) { p.reserve.ContendedDeviations = 2.5 }},
			{"yields to 1 deviation after 5 s", func(p *policy) { p.reserve.ContendedDeviations = 1 }},
			{"yields to none after 5 s", unchanged},
			{"yields to none after 10 s", func(p *policy) { p.reserve.LongWaitThreshold = 10 * time.Second }},
		}
		printVariants("reserve with long work waiting, load peak", peakWorkload, variants...)
		printVariants("reserve with long work waiting, long work always queued", longBacklogWorkload, variants...)
		printTable("FIFO, long work always waiting", peakHeader, peakRow("FIFO", pool(func(seed uint64) result { return fifo(longBacklogWorkload(seed).generate(), runUntil) })))
		for _, v := range variants[:3] {
			overloadTable(2, 0, v.name, v.policy())
		}
	}
}

func BenchmarkPolicyRoundOveruse(b *testing.B) {
	for range b.N {
		variants := []variant{{"short work always first", func(p *policy) { p.overuseBurst = time.Hour }}}
		for _, burst := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
			variants = append(variants, variant{fmt.Sprintf("burst of %v", burst), func(p *policy) { p.overuseBurst = burst }})
		}
		printVariants("short work of one caller, load peak", peakWorkload, variants...)
		rows := [][]string{{"20 callers, 1.5 of the cell, and a flooder", "Jain index", "slot time each", "flooder's to that"}}
		for _, v := range variants {
			f := fairnessOf(runPolicy(v.policy(), func(seed uint64) workload { return fairWorkload(seed, 1.5, extraFlooder) }, runUntil))
			rows = append(rows, []string{v.name, fmt.Sprintf("%.4f", f.jainIndex), fmt.Sprintf("%.1f s", f.slotTime/float64(len(benchSeeds))), fmt.Sprintf("%.2f", f.extra)})
		}
		printTable("short work of one caller, fairness", rows...)
	}
}

func BenchmarkPolicyRoundLocality(b *testing.B) {
	for range b.N {
		variants := []variant{
			{"long work takes the own region's slots first", func(p *policy) { p.longTakesLocal = true }},
			{"long work leaves them for short work", unchanged},
		}
		printVariants("locality by class, load peak", peakWorkload, variants...)
		printVariants("locality by class, one region has three times the others' load", skewedWorkload, variants...)
		for _, v := range variants {
			reclaimTable(v)
		}
	}
}
