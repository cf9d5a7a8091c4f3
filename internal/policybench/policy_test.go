package policybench

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"text/tabwriter"
	"time"
)

// benchSeeds are the seeds over which every benchmark pools its results.
var benchSeeds = []uint64{1, 2, 3, 4, 5}

// printTable prints rows of figures under a title.
func printTable(title string, rows ...[]string) {
	fmt.Println("\n" + title)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for _, cell := range row {
			fmt.Fprint(w, cell, "\t")
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush()
}

// pool runs f for every seed concurrently and combines the results.
func pool(f func(seed uint64) result) result {
	var all result
	results := make([]result, len(benchSeeds))
	var wait sync.WaitGroup
	for i, seed := range benchSeeds {
		wait.Go(func() { results[i] = f(seed) })
	}
	wait.Wait()
	for _, r := range results {
		all.outcomes = append(all.outcomes, r.outcomes...)
		all.crossRegionBodyBytes += r.crossRegionBodyBytes
		all.crossRegionControlBytes += r.crossRegionControlBytes
		all.controlBytes += r.controlBytes
		all.creditRequests += r.creditRequests
		all.hedges += r.hedges
		all.overcommits += r.overcommits
	}
	return all
}

func ms(d time.Duration) string { return fmt.Sprintf("%.2f ms", float64(d)/1e6) }

func percent(f float64) string { return fmt.Sprintf("%.2f%%", 100*f) }

func runPolicy(p policy, workloadOf func(uint64) workload, end time.Duration) result {
	return pool(func(seed uint64) result {
		_, r := simulate(p, workloadOf(seed).generate(), end)
		return r
	})
}

func peakRow(name string, r result) []string {
	checks, reviews := r.outcomesOf(false, peakStart, peakEnd), r.outcomesOf(true, peakStart, peakEnd)
	refused := func(s *outcome) bool { return s.refused || s.expired }
	return []string{
		name,
		ms(quantile(checks, 0.5, waitTimeOf)),
		ms(quantile(checks, 0.99, waitTimeOf)),
		ms(quantile(checks, 0.999, waitTimeOf)),
		ms(quantile(reviews, 0.5, responseTimeOf)),
		ms(quantile(reviews, 0.95, responseTimeOf)),
		ms(quantile(reviews, 0.99, responseTimeOf)),
		percent(fraction(r.outcomes, func(s *outcome) bool { return s.lost })),
		percent(fraction(checks, refused)),
		percent(fraction(reviews, refused)),
		fmt.Sprint(r.crossRegionBodyBytes / int64(len(r.outcomes))),
		fmt.Sprint(r.crossRegionControlBytes / int64(len(r.outcomes))),
		fmt.Sprint(r.overcommits),
	}
}

var peakHeader = []string{"load peak 3x for 5 s", "check wait p50", "p99", "p99.9", "review done p50", "p95", "p99",
	"lost", "checks not served", "reviews not served", "cross B/request", "of control", "over-commits"}

const runUntil = 120 * time.Second

func BenchmarkPolicyCrest(b *testing.B) {
	for range b.N {
		baseline := pool(func(seed uint64) result { return fifo(peakWorkload(seed).generate(), runUntil) })
		underPolicy := runPolicy(defaultPolicy(), peakWorkload, runUntil)
		shortOnly := pool(func(seed uint64) result {
			_, r := simulate(defaultPolicy(), withoutLong(peakWorkload(seed).generate()), runUntil)
			return r
		})
		printTable("load peak", peakHeader, peakRow("one FIFO, round robin", baseline), peakRow("policy", underPolicy), peakRow("policy, no long work", shortOnly))
		p99 := func(r result) float64 {
			return float64(quantile(r.outcomesOf(false, peakStart, peakEnd), 0.99, waitTimeOf))
		}
		long := func(r result) float64 {
			return float64(quantile(r.outcomesOf(true, peakStart, peakEnd), 0.99, responseTimeOf))
		}
		b.ReportMetric(p99(baseline)/p99(underPolicy), "fifo/policy-check-p99")
		b.ReportMetric(p99(underPolicy)/p99(shortOnly), "policy/no-long-check-p99")
		b.ReportMetric(long(underPolicy)/long(baseline), "policy/fifo-review-p99")
	}
}

func BenchmarkPolicyOverload(b *testing.B) {
	for range b.N {
		for _, factor := range []float64{2, 5} {
			overloadTable(factor, 0, "policy", defaultPolicy())
			overloadTable(factor, 0.02, "policy", defaultPolicy())
		}
	}
}

// overloadTable prints a policy beside the baseline without admission, at factor
// times the cell's slots.
func overloadTable(factor, stragglers float64, name string, p policy) {
	from, to := 10*time.Second, 30*time.Second
	workloadOf := func(seed uint64) workload { return overloadWorkload(seed, factor, stragglers) }
	row := func(name string, r result) []string {
		n := float64(len(benchSeeds))
		late := fraction(r.outcomes, func(s *outcome) bool { return s.done && !s.useful() })
		answered := fraction(r.outcomes, (*outcome).useful)
		expired := fraction(r.outcomes, func(s *outcome) bool { return s.expired })
		return []string{
			name,
			percent(r.usefulFraction(from, to, 0) / n),
			percent(r.usefulFraction(from, to, 2*oneWayLocal) / n),
			percent(r.wastedFraction(from, to, 2*oneWayLocal) / n),
			percent(answered),
			percent(late),
			percent(expired),
		}
	}
	baseline := pool(func(seed uint64) result { return fifo(workloadOf(seed).generate(), runUntil) })
	printTable(fmt.Sprintf("%vx overload, stragglers %v", factor, stragglers),
		[]string{"", "useful fraction of slot time", "with its local round trip", "slot time of late runs",
			"requests answered in time", "answered late", "expired in queue"},
		row("no admission, FIFO", baseline), row(name, runPolicy(p, workloadOf, runUntil)))
}

// fairness is what the regular callers and the extra one got in a run.
type fairness struct {
	// jainIndex is Jain's fairness index over the satisfaction of the regular
	// callers: the slot time that each got, divided by its demand or its max-min
	// fair allocation, whichever is less.
	jainIndex float64
	// regular is the mean of that satisfaction, and demandFraction the mean
	// fraction of demand that they got.
	regular        float64
	demandFraction float64
	// slotTime is the mean slot time of the regular callers, in seconds, and extra
	// the ratio of the extra caller's slot time to it.
	slotTime float64
	extra    float64
}

func fairnessOf(r result) fairness {
	got, requested := r.slotTime(10*time.Second, 30*time.Second)
	level := maxMinLevel(got, requested)
	var f fairness
	var values []float64
	for _, s := range equalSources(regularCallers, 1, 0) {
		satisfaction := got[s.caller] / min(requested[s.caller], level)
		values = append(values, satisfaction)
		f.regular += satisfaction / regularCallers
		f.demandFraction += got[s.caller] / requested[s.caller] / regularCallers
		f.slotTime += got[s.caller] / regularCallers
	}
	f.jainIndex = jain(values)
	f.extra = got[extraCallerName] / f.slotTime
	return f
}

func BenchmarkPolicyFairness(b *testing.B) {
	for range b.N {
		for _, load := range []float64{0.8, 1.5} {
			rows := [][]string{{fmt.Sprintf("20 callers, %v of the cell", load), "Jain index", "of the max-min fair share", "of demand", "slot time each", "extra caller's to that"}}
			for _, c := range []struct {
				name  string
				fifo  bool
				extra extraCaller
			}{
				{"FIFO, 21 equal", true, extraEqual},
				{"FIFO, flooder", true, extraFlooder},
				{"FIFO, misdeclaring caller", true, extraMisdeclaring},
				{"policy, 20 equal", false, extraNone},
				{"policy, 21 equal", false, extraEqual},
				{"policy, flooder", false, extraFlooder},
				{"policy, flooder under ten names", false, extraSplit},
				{"policy, misdeclaring caller", false, extraMisdeclaring},
			} {
				f := fairnessOf(pool(func(seed uint64) result {
					trace := fairWorkload(seed, load, c.extra).generate()
					if c.fifo {
						return fifo(trace, runUntil)
					}
					_, r := simulate(defaultPolicy(), trace, runUntil)
					return r
				}))
				rows = append(rows, []string{c.name, fmt.Sprintf("%.4f", f.jainIndex), percent(f.regular), percent(f.demandFraction),
					fmt.Sprintf("%.1f s", f.slotTime/float64(len(benchSeeds))), fmt.Sprintf("%.2f", f.extra)})
			}
			printTable("fairness", rows...)
		}
	}
}

func BenchmarkPolicyLentShare(b *testing.B) {
	for range b.N {
		reclaimTable(
			variant{"static partition", func(p *policy) { p.staticPartition = true }},
			variant{"policy", unchanged},
			variant{"policy, responses delayed by 1 s", func(p *policy) { p.responseDelay = time.Second }})
	}
}

// reclaimTable prints how long daemons take to reclaim slots leased to another.
func reclaimTable(variants ...variant) {
	rows := [][]string{{"", "slots reclaimed after", "region's slots in use before"}}
	for _, v := range variants {
		var worst time.Duration
		used := 0.0
		for _, seed := range benchSeeds {
			back, part := reclaimTime(v.policy(), seed)
			worst = max(worst, back)
			used += part / float64(len(benchSeeds))
		}
		rows = append(rows, []string{v.name, ms(worst), percent(used)})
	}
	printTable("slots of a region leased to one daemon until the others need them, worst seed", rows...)
}

// reclaimTime returns how long after the shift of load the two daemons whose slots
// were leased to the third hold at least nine tenths of an equal part again, and
// the fraction of the region's slots in use right before the shift.
func reclaimTime(p policy, seed uint64) (reclaimed time.Duration, used float64) {
	c := newCell(p)
	for _, a := range shiftingWorkload(seed).generate() {
		s := &outcome{arrival: a}
		c.at(epoch.Add(a.at), func() { c.route(s) })
	}
	slots := 0
	for _, s := range c.shares[:sharesPerRegion] {
		slots += s.share.Slots
	}
	c.run(epoch.Add(peakStart))
	for b := 0; b < backends; b += regions {
		used += float64(c.running[b]) / float64(slots)
	}
	want := int(0.9 * float64(slots) * regions / daemons)
	for ; reclaimed < 10*time.Second; reclaimed += tickInterval {
		c.run(epoch.Add(peakStart + reclaimed))
		first, _ := c.daemons[1].holder.Held(c.now)
		second, _ := c.daemons[2].holder.Held(c.now)
		if first >= want && second >= want {
			break
		}
	}
	return reclaimed, used
}

func BenchmarkPolicyRetries(b *testing.B) {
	workloadOf := func(seed uint64) workload { return overloadWorkload(seed, 2, 0) }
	for range b.N {
		rows := [][]string{{"2x overload", "attempts a request", "useful fraction of slot time", "with its local round trip", "answered"}}
		for _, v := range []variant{
			{"refused callers do not retry", unchanged},
			{"retry after the advised time", func(p *policy) { p.retries = retryAfterHint }},
			{"retry every 100 ms", func(p *policy) { p.retries = retryFixed }},
		} {
			r := runPolicy(v.policy(), workloadOf, runUntil)
			attempts := 0
			for _, s := range r.outcomes {
				attempts += s.attempts
			}
			n := float64(len(benchSeeds))
			rows = append(rows, []string{v.name,
				fmt.Sprintf("%.2f", float64(attempts)/float64(len(r.outcomes))),
				percent(r.usefulFraction(10*time.Second, 30*time.Second, 0) / n),
				percent(r.usefulFraction(10*time.Second, 30*time.Second, 2*oneWayLocal) / n),
				percent(fraction(r.outcomes, (*outcome).useful))})
		}
		printTable("retries", rows...)
	}
}

func BenchmarkPolicyCrossRegion(b *testing.B) {
	for range b.N {
		blind := defaultPolicy()
		blind.ignoreLocality = true
		rows := [][]string{peakHeader}
		for _, c := range []struct {
			name string
			make func(uint64) workload
		}{{"even", peakWorkload}, {"uneven", skewedWorkload}} {
			rows = append(rows, peakRow(c.name+", FIFO region-blind", pool(func(seed uint64) result { return fifo(c.make(seed).generate(), runUntil) })))
			rows = append(rows, peakRow(c.name+", policy", runPolicy(defaultPolicy(), c.make, runUntil)))
		}
		printTable("cross-region", rows...)
	}
}

func BenchmarkPolicyFaults(b *testing.B) {
	for range b.N {
		rows := [][]string{peakHeader}
		rows = append(rows, peakRow("no fault", runPolicy(defaultPolicy(), peakWorkload, runUntil)))
		for _, c := range []struct {
			name string
			set  func(*policy)
		}{
			{"1 of 9 daemons crashes 1 s into it", func(p *policy) { p.crashDaemon, p.faultAt = true, peakStart+time.Second }},
			{"1 of 9 daemons crashed 10 s before", func(p *policy) { p.crashDaemon, p.faultAt = true, peakStart-10*time.Second }},
			{"1 of 3 regions cut off 1 s into it", func(p *policy) { p.isolateRegion, p.faultAt = true, peakStart+time.Second }},
			{"credit responses delayed by 1 s", func(p *policy) { p.responseDelay = time.Second }},
		} {
			p := defaultPolicy()
			c.set(&p)
			rows = append(rows, peakRow(c.name, runPolicy(p, peakWorkload, runUntil)))
		}
		printTable("faults", rows...)
	}
}
