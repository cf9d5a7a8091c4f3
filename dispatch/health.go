package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minEvidence is the weight of outcomes from which a server is judged.
	minEvidence = 5.0
	// ejectRatio is the part of failures that puts a server aside.
	ejectRatio = 0.5
	// evidenceFade is the weight that older outcomes keep at each new one.
	evidenceFade = 0.9
	// firstProbe is how long a server stays aside before its first probe,
	// doubled after each failed one up to lastProbe.
	firstProbe = time.Second
	lastProbe  = 30 * time.Second
	// probesNeeded is how many probes in a row must succeed.
	probesNeeded = 3
)

// health is the evidence for or against one backend server.
type health struct {
	outcomes float64
	failures float64
	// caller is the hash of a caller that saw a failure, and several is set
	// once another one did. Both are forgotten with the failures.
	caller  uint64
	several bool
	ejected bool
	probeAt time.Time
	backoff time.Duration
	probes  int
	// probing is set while a probe runs. What was sent before the server was
	// put aside has ended by then.
	probing bool
}

func (h *health) ratio() float64 {
	if h.outcomes == 0 {
		return 0
	}
	return h.failures / h.outcomes
}

// judge weighs one outcome and puts the server aside or takes it back.
func (b *Balancer) judge(s *server, r Result, now time.Time) {
	if r.Outcome == Cancelled {
		return
	}
	failed := r.Outcome != Success
	h := &s.health
	if h.ejected {
		if h.probing {
			b.probed(h, failed, now)
		}
		return
	}
	h.add(failed, r.Caller)
	if h.condemned() && b.mayEject() {
		h.eject(now)
		b.ejected++
	}
}

func (h *health) add(failed bool, caller string) {
	h.outcomes = h.outcomes*evidenceFade + 1
	h.failures *= evidenceFade
	if failed {
		h.failures++
		h.seen(xxhash.Sum64String(caller))
		return
	}
	if h.failures < 1 {
		h.caller, h.several = 0, false
	}
}

// seen notes the caller of a failure.
func (h *health) seen(caller uint64) {
	h.several = h.several || (h.caller != 0 && h.caller != caller)
	h.caller = caller
}

// condemned reports whether failures outweigh successes, and not those of one
// caller alone.
func (h *health) condemned() bool {
	return h.several && h.outcomes >= minEvidence && h.ratio() >= ejectRatio
}

// mayEject reports whether one more server may be put aside.
func (b *Balancer) mayEject() bool {
	return float64(b.ejected+1) <= b.options.MaxEjectedFraction*float64(len(b.servers))
}

func (h *health) eject(now time.Time) {
	*h = health{ejected: true, backoff: firstProbe, probeAt: now.Add(firstProbe)}
}

// probed takes in the outcome of a request to a server that is put aside.
func (b *Balancer) probed(h *health, failed bool, now time.Time) {
	h.probing = false
	if failed {
		h.probes = 0
		h.backoff = min(2*h.backoff, lastProbe)
		h.probeAt = now.Add(h.backoff)
		return
	}
	h.probes++
	if h.probes < probesNeeded {
		return
	}
	*h = health{}
	b.ejected--
}
