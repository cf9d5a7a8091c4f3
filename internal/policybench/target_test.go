package policybench

import (
	"sync"
	"testing"
	"time"
)

// targetSeed is the seed of the tests, which check one run against the targets.
// The benchmarks pool several seeds.
const targetSeed = 1

func TestPolicy_LoadPeakTargets(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("simulating a load peak takes seconds")
	}
	trace := peakWorkload(targetSeed).generate()
	baseline := fifo(trace, runUntil)
	_, underPolicy := simulate(defaultPolicy(), trace, runUntil)
	_, shortOnly := simulate(defaultPolicy(), withoutLong(trace), runUntil)
	checks := func(r result) float64 {
		return float64(quantile(r.outcomesOf(false, peakStart, peakEnd), 0.99, waitTimeOf))
	}
	reviews := func(r result) float64 {
		return float64(quantile(r.outcomesOf(true, peakStart, peakEnd), 0.99, responseTimeOf))
	}
	if ratio := checks(baseline) / checks(underPolicy); ratio < 20 {
		t.Errorf("checks' p99 wait is %.1f times lower than with one FIFO, want at least 20", ratio)
	}
	if ratio := checks(underPolicy) / checks(shortOnly); ratio > 1.5 {
		t.Errorf("checks' p99 wait is %.2f times that without long work, want at most 1.5", ratio)
	}
	if ratio := reviews(underPolicy) / reviews(baseline); ratio > 1.3 {
		t.Errorf("reviews' p99 completion is %.2f times that of one FIFO, want at most 1.3", ratio)
	}
	if bytes := underPolicy.crossRegionBodyBytes + underPolicy.crossRegionControlBytes; 5*bytes > baseline.crossRegionBodyBytes {
		t.Errorf("%d bytes crossed regions, want at most a fifth of %d", bytes, baseline.crossRegionBodyBytes)
	}
	if underPolicy.overcommits != 0 {
		t.Errorf("%d overcommits, want 0", underPolicy.overcommits)
	}
}

func TestPolicy_OverloadTargets(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("simulating an overload takes seconds")
	}
	w := overloadWorkload(targetSeed, 5, 0)
	w.duration = 15 * time.Second
	_, r := simulate(defaultPolicy(), w.generate(), runUntil)
	useful := r.usefulFraction(5*time.Second, w.duration, 2*oneWayLocal)
	if useful < 0.97 {
		t.Errorf("useful fraction of capacity %.3f, want at least 0.97", useful)
	}
	if late := fraction(r.outcomes, func(s *outcome) bool { return s.done && !s.useful() }); late > 0 {
		t.Errorf("%.4f of the requests got a response after their deadline, want 0", late)
	}
}

func TestPolicy_LeasedSlotsAreReclaimed(t *testing.T) {
	t.Parallel()
	if reclaimed, _ := reclaimTime(defaultPolicy(), targetSeed); reclaimed >= time.Second {
		t.Errorf("leased slots reclaimed after %v, want less than 1 s", reclaimed)
	}
}

func TestPolicy_FairnessTargets(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("simulating four overloads takes seconds")
	}
	extras := []extraCaller{extraEqual, extraFlooder, extraSplit, extraMisdeclaring}
	got := make([]fairness, len(extras))
	var wait sync.WaitGroup
	for i, g := range extras {
		wait.Go(func() {
			_, r := simulate(defaultPolicy(), fairWorkload(targetSeed, 1.5, g).generate(), runUntil)
			got[i] = fairnessOf(r)
		})
	}
	wait.Wait()
	for i, f := range got {
		if f.jainIndex < 0.99 {
			t.Errorf("extra caller %d: Jain index %.4f, want at least 0.99", extras[i], f.jainIndex)
		}
		if f.slotTime < 0.97*got[0].slotTime {
			t.Errorf("extra caller %d: regular callers get %.1f s of slots, with an equal caller %.1f s, want at most 3%% less", extras[i], f.slotTime, got[0].slotTime)
		}
	}
}

// TestPolicy_FaultsNeverOvercommit guards against backend servers that get more
// requests than slots at the load peak when a daemon crashes, a region is cut off
// or responses about credits are delayed.
func TestPolicy_FaultsNeverOvercommit(t *testing.T) {
	t.Parallel()
	cases := map[string]func(*policy){
		"daemon crashes":           func(p *policy) { p.crashDaemon, p.faultAt = true, peakStart+time.Second },
		"region isolated":          func(p *policy) { p.isolateRegion, p.faultAt = true, peakStart+time.Second },
		"delayed credit responses": func(p *policy) { p.responseDelay = time.Second },
	}
	for name, set := range cases {
		p := defaultPolicy()
		set(&p)
		w := peakWorkload(targetSeed)
		w.duration = peakEnd
		_, r := simulate(p, w.generate(), peakEnd+5*time.Second)
		if r.overcommits != 0 {
			t.Errorf("%s: %d overcommits, want 0", name, r.overcommits)
		}
	}
}
