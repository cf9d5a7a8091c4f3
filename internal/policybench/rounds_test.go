package policybench

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// variant is one setting of the policy that a round tries.
type variant struct {
	name string
	set  func(*policy)
}

func (v variant) policy() policy {
	p := defaultPolicy()
	v.set(&p)
	return p
}

// compare prints the crest row of each variant.
func compare(title string, workloadOf func(uint64) workload, variants ...variant) {
	rows := [][]string{crestHead}
	for _, v := range variants {
		rows = append(rows, crestRow(v.name, runPolicy(v.policy(), workloadOf, settled)))
	}
	table(title, rows...)
}

func keep(*policy) {}

func BenchmarkPolicyRoundWait(b *testing.B) {
	for range b.N {
		for _, part := range []float64{0.5, 0.25, 0.1} {
			v := variant{fmt.Sprintf("checks may wait %v of the time left", part),
				func(p *policy) { p.admission.MaxShortWaitFraction = part }}
			compare("wait allowed at admission", crestWorkload, v)
			overloadTable(5, 0.02, v.name, v.policy())
		}
	}
}

func BenchmarkPolicyRoundReserve(b *testing.B) {
	for range b.N {
		variants := []variant{{"none", func(p *policy) { p.noReserve = true }}}
		for _, deviations := range []float64{1, 2, 2.5, 3, 4} {
			variants = append(variants, variant{fmt.Sprintf("%v deviations", deviations),
				func(p *policy) { p.reserve.Deviations = deviations }})
		}
		compare("reserve, crest", crestWorkload, variants...)
		compare("reserve, long work always waiting", backlogWorkload, variants...)
	}
}

func BenchmarkPolicyRoundTerm(b *testing.B) {
	for range b.N {
		for _, term := range []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second} {
			set := func(p *policy) { p.term = term }
			compare(fmt.Sprintf("term of grants %v", term), crestWorkload,
				variant{"no fault", set},
				variant{"daemon died before", func(p *policy) { set(p); p.deadDaemon, p.faultAt = true, crestStart-2*time.Second }},
				variant{"daemon dies", func(p *policy) { set(p); p.deadDaemon, p.faultAt = true, crestStart+time.Second }},
				variant{"stale by 1 s", func(p *policy) { set(p); p.stale = time.Second }})
		}
	}
}

func BenchmarkPolicyRoundClasses(b *testing.B) {
	for range b.N {
		compare("classes and reserve", crestWorkload,
			variant{"one class", func(p *policy) { p.noClasses = true }},
			variant{"short first, no reserve", func(p *policy) { p.noReserve = true }},
			variant{"short first, reserve", keep},
			variant{"no minimum for long", func(p *policy) { p.longMinimum = 0 }},
			variant{"half the slots to long first", func(p *policy) { p.longMinimum = 0.5 }})
	}
}

func BenchmarkPolicyRoundHedge(b *testing.B) {
	for range b.N {
		variants := []variant{
			{"none", keep},
			{"2% budget, a second attempt draws anew", func(p *policy) { p.hedge = true }},
			{"2% budget, a second attempt runs as long", func(p *policy) { p.hedge, p.intrinsic = true, true }},
		}
		compare("hedges of late checks", crestWorkload, variants...)
		rows := [][]string{{"hedges of late checks", "check done p50", "p99", "p99.9", "hedges a check"}}
		for _, v := range variants {
			r := runPolicy(v.policy(), crestWorkload, settled)
			checks := r.pick(false, 0, settled)
			rows = append(rows, []string{v.name,
				ms(quantile(checks, 0.5, completionOf)),
				ms(quantile(checks, 0.99, completionOf)),
				ms(quantile(checks, 0.999, completionOf)),
				percent(float64(r.hedges) / float64(len(checks)))})
		}
		table("hedges, all checks", rows...)
	}
}

// BenchmarkPolicyRoundLate tries at five times the load, where something always
// waits, what makes fewer answers late.
func BenchmarkPolicyRoundLate(b *testing.B) {
	for range b.N {
		variants := []variant{
			{"none", keep},
			{"hedges where nothing waits", func(p *policy) { p.hedge = true }},
			{"hedges before what waits, draw anew", func(p *policy) { p.hedge, p.hedgeFirst = true, true }},
			{"hedges before what waits, run as long", func(p *policy) { p.hedge, p.hedgeFirst, p.intrinsic = true, true, true }},
		}
		for _, parts := range [][2]float64{{1, 1}, {0.5, 1}, {0.25, 1}, {0.5, 0.75}, {0.25, 0.75}, {0.25, 0.6}, {0.25, 0.5}, {0.15, 0.4}} {
			variants = append(variants, variant{fmt.Sprintf("start within %v, %v", parts[0], parts[1]), func(p *policy) {
				p.admission.MaxShortStartFraction, p.admission.MaxStartFraction = parts[0], parts[1]
			}})
		}
		rows := [][]string{{"5x overload, 2% stragglers", "answered in time", "useful slot time", "late checks", "late reviews",
			"expired in queue", "checks answered", "check p99", "hedges a request"}}
		for _, v := range variants {
			rows = append(rows, lateRow(v))
		}
		table("late answers at 5x overload", rows...)
	}
}

func lateRow(v variant) []string {
	r := runPolicy(v.policy(), func(seed uint64) workload { return overloadWorkload(seed, 5, 0.02) }, settled)
	late := func(kind string) string {
		return fmt.Sprintf("%.4f%%", 100*part(r.served, func(s *served) bool { return s.done && !s.useful() && s.kind == kind }))
	}
	checks := slices.DeleteFunc(r.pick(false, 10*time.Second, 30*time.Second), func(s *served) bool { return !s.done })
	return []string{v.name,
		percent(part(r.served, (*served).useful)),
		percent(r.usefulPart(10*time.Second, 30*time.Second, 2*oneWayLocal) / float64(len(benchSeeds))),
		late("check"), late("review"),
		percent(part(r.served, func(s *served) bool { return s.expired })),
		fmt.Sprint(len(checks)),
		ms(quantile(checks, 0.99, completionOf)),
		percent(float64(r.hedges) / float64(len(r.served)))}
}

func BenchmarkPolicyRoundRefresh(b *testing.B) {
	rest := func(seed uint64) workload {
		w := overloadWorkload(seed, 0.01, 0)
		w.length = 60 * time.Second
		return w
	}
	for range b.N {
		rows := [][]string{{"refresh", "asks/s a daemon at rest", "control B/s a daemon at rest"}}
		for _, refresh := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
			p := defaultPolicy()
			p.refresh = refresh
			r := runPolicy(p, rest, time.Minute)
			n := 60 * daemons * float64(len(benchSeeds))
			rows = append(rows, []string{refresh.String(), fmt.Sprintf("%.1f", float64(r.asks)/n), fmt.Sprintf("%.0f", 2*float64(r.messageBytes)/n)})
			set := func(p *policy) { p.refresh = refresh }
			compare(fmt.Sprintf("refresh %v", refresh), crestWorkload, variant{"no fault", set},
				variant{"daemon dies", func(p *policy) { set(p); p.deadDaemon, p.faultAt = true, crestStart+time.Second }},
				variant{"stale by 1 s", func(p *policy) { set(p); p.stale = time.Second }})
		}
		table("control at rest, sent and received", rows...)
	}
}

func BenchmarkPolicyRoundPressed(b *testing.B) {
	for range b.N {
		variants := []variant{
			{"reserve never yields", func(p *policy) { p.reserve.ContendedDeviations = 2.5 }},
			{"yields to 1 deviation after 5 s", func(p *policy) { p.reserve.ContendedDeviations = 1 }},
			{"yields to none after 5 s", keep},
			{"yields to none after 10 s", func(p *policy) { p.reserve.LongWaitThreshold = 10 * time.Second }},
		}
		compare("reserve under pressure, crest", crestWorkload, variants...)
		compare("reserve under pressure, long work always waiting", backlogWorkload, variants...)
		table("FIFO, long work always waiting", crestHead, crestRow("FIFO", pool(func(seed uint64) result { return fifo(backlogWorkload(seed).generate(), settled) })))
		for _, v := range variants[:3] {
			overloadTable(2, 0, v.name, v.policy())
		}
	}
}

func BenchmarkPolicyRoundOveruse(b *testing.B) {
	for range b.N {
		variants := []variant{{"short work always first", func(p *policy) { p.overuse = time.Hour }}}
		for _, burst := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
			variants = append(variants, variant{fmt.Sprintf("burst of %v", burst), func(p *policy) { p.overuse = burst }})
		}
		compare("short work of one caller, crest", crestWorkload, variants...)
		rows := [][]string{{"20 callers, 1.5 of the cell, and a flooder", "Jain index", "slot time each", "flooder's to that"}}
		for _, v := range variants {
			f := fairnessOf(runPolicy(v.policy(), func(seed uint64) workload { return fairWorkload(seed, 1.5, guestFlooder) }, settled))
			rows = append(rows, []string{v.name, fmt.Sprintf("%.4f", f.index), fmt.Sprintf("%.1f s", f.slots/float64(len(benchSeeds))), fmt.Sprintf("%.2f", f.guest)})
		}
		table("short work of one caller, fairness", rows...)
	}
}

func BenchmarkPolicyRoundLocality(b *testing.B) {
	for range b.N {
		variants := []variant{
			{"long work takes the own region's slots first", func(p *policy) { p.anywhere = true }},
			{"long work leaves them to short work", keep},
		}
		compare("locality by class, crest", crestWorkload, variants...)
		compare("locality by class, one region has three times the others' load", unevenWorkload, variants...)
		for _, v := range variants {
			lentTable(v)
		}
	}
}
