package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minOutcomeWeight is the total weight of outcomes below which a server is
	// not ejected.
	minOutcomeWeight = 5.0
	// ejectFailureRatio is the failure ratio from which a server is ejected.
	ejectFailureRatio = 0.5
	// outcomeDecay multiplies the weight of earlier outcomes at each new one.
	outcomeDecay = 0.9
	// firstProbeDelay is the time from ejection to the first probe. The delay
	// doubles after each failed probe, up to maxProbeDelay.
	firstProbeDelay = time.Second
	maxProbeDelay   = 30 * time.Second
	// requiredProbes is the number of consecutive probes that must succeed before
	// a server is readmitted.
	requiredProbes = 3
)

// health is the record of one backend server's outcomes.
type health struct {
	outcomes float64
	failures float64
	// failureCaller is the hash of the last caller whose request failed, and
	// multipleCallers is set once requests of different callers failed. Both are
	// reset when the weight of the failures has fallen below 1.
	failureCaller    uint64
	multipleCallers  bool
	ejected          bool
	probeAt          time.Time
	probeDelay       time.Duration
	successfulProbes int
	// probing is set while a probe runs. Requests sent before the ejection have
	// ended by then, so an outcome is that of the probe.
	probing bool
}

func (h *health) failureRatio() float64 {
	if h.outcomes == 0 {
		return 0
	}
	return h.failures / h.outcomes
}

// recordOutcome records one outcome and ejects or readmits the server.
func (b *Balancer) recordOutcome(s *server, r Result, now time.Time) {
	if r.Outcome == Cancelled {
		return
	}
	failed := r.Outcome != Success
	h := &s.health
	if h.ejected {
		if h.probing {
			b.recordProbe(h, failed, now)
		}
		return
	}
	h.addOutcome(failed, r.Caller)
	if h.shouldEject() && b.mayEject() {
		h.eject(now)
		b.ejected++
	}
}

func (h *health) addOutcome(failed bool, caller string) {
	h.outcomes = h.outcomes*outcomeDecay + 1
	h.failures *= outcomeDecay
	if failed {
		h.failures++
		h.addFailureCaller(xxhash.Sum64String(caller))
		return
	}
	if h.failures < 1 {
		h.failureCaller, h.multipleCallers = 0, false
	}
}

// addFailureCaller records the caller of a failed request.
func (h *health) addFailureCaller(caller uint64) {
	h.multipleCallers = h.multipleCallers || (h.failureCaller != 0 && h.failureCaller != caller)
	h.failureCaller = caller
}

// shouldEject reports whether the failure ratio is high enough for an ejection, with
// failures of more than one caller.
func (h *health) shouldEject() bool {
	return h.multipleCallers && h.outcomes >= minOutcomeWeight && h.failureRatio() >= ejectFailureRatio
}

// mayEject reports whether MaxEjectedFraction allows one more ejection.
func (b *Balancer) mayEject() bool {
	return float64(b.ejected+1) <= b.options.MaxEjectedFraction*float64(len(b.servers))
}

func (h *health) eject(now time.Time) {
	*h = health{ejected: true, probeDelay: firstProbeDelay, probeAt: now.Add(firstProbeDelay)}
}

// recordProbe records the outcome of a probe of an ejected server.
func (b *Balancer) recordProbe(h *health, failed bool, now time.Time) {
	h.probing = false
	if failed {
		h.successfulProbes = 0
		h.probeDelay = min(2*h.probeDelay, maxProbeDelay)
		h.probeAt = now.Add(h.probeDelay)
		return
	}
	h.successfulProbes++
	if h.successfulProbes < requiredProbes {
		return
	}
	*h = health{}
	b.ejected--
}
