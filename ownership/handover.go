package ownership

import "time"

// StopResponse is a holder's answer to a claimant that has read back its
// claim: the holder stops acting once Left has passed.
type StopResponse struct {
	// Epoch is the epoch of the claim.
	Epoch uint64
	// Agreed is false if the holder has a later claim itself.
	Agreed bool
	// Effective is set if the holder had an effective claim right before this
	// one. Then all tenures before that one are over, too.
	Effective bool
	// Left is how long the holder may still act, by its own clock.
	Left time.Duration
}

// HandleStop makes this daemon stop acting for claims below the given epoch.
// The claimant must have read back its claim from the log. The holder may act
// until its current lease ends but accepts no new evidence, so that the time
// without an owner is no longer than the answer's travel time.
func (p Protocol) HandleStop(s ShareState, epoch uint64, now Instant) (ShareState, StopResponse) {
	if s.Tenure.Epoch >= epoch {
		return s, StopResponse{Epoch: epoch}
	}
	until, _ := p.Lease(s, now)
	if s.Tenure.Epoch >= s.StoppedBelow {
		s.StopBy = max(until, s.UsedUntil, now)
	}
	s.StoppedBelow = max(s.StoppedBelow, epoch)
	s.Superseded = !p.faults.forgetStop
	answer := StopResponse{Epoch: epoch, Agreed: true, Left: max(0, s.StopBy.Sub(now))}
	// An own renewal that has not been read back yet continues the tenure.
	answer.Effective = s.Effective && (s.Tenure.Epoch+1 == epoch || s.Pending.Epoch+1 == epoch)
	if p.faults.stopIgnoresUses {
		answer.Left = 0
	}
	return s, answer
}

// ApplyStop applies the answer of the holder whose claim precedes this
// daemon's.
func (p Protocol) ApplyStop(s ShareState, answer StopResponse, now Instant) ShareState {
	if !answer.Agreed || answer.Epoch != s.Tenure.Epoch || s.Effective {
		return s
	}
	until := now.Add(p.maxLocalDuration(answer.Left))
	if answer.Effective {
		if len(s.Prior) == 0 {
			until = min(until, s.WaitUntil)
		}
		s.Prior, s.WaitUntil = nil, until
		return s
	}
	last := len(s.Prior) - 1
	if last >= 0 && s.Prior[last].Epoch+1 == answer.Epoch {
		s.Prior = s.Prior[:last:last]
		s.WaitUntil = max(s.WaitUntil, until)
	}
	return s
}

// PrepareRelease ends this daemon's tenure. The share may be released in the
// log once ready is true: then no use of the lease can still take effect and
// no renewal can still reach the log.
func (p Protocol) PrepareRelease(s ShareState, now Instant) (released ShareState, ready bool) {
	if !s.Effective || s.Superseded {
		return s, false
	}
	if s.Pending.Epoch != 0 {
		return s, false
	}
	if s.Tenure.Epoch >= s.StoppedBelow {
		s.StoppedBelow, s.StopBy = s.Tenure.Epoch+1, s.UsedUntil
	}
	return s, now >= s.StopBy || p.faults.releaseIgnoresUses
}

// Drain records before a planned stop that every use of a lease is complete,
// except deferred ones. The daemon keeps its leases, limited to HandoverLease
// at a time, so that a successor waits for no longer than that.
func (p Protocol) Drain(s ShareState) ShareState {
	s.Draining = true
	s.UsedUntil = s.DeferredUntil
	if p.faults.drainIgnoresDeferred {
		s.UsedUntil = 0
	}
	return s
}

// MayAttest reports whether this daemon, as a witness, may attest for the
// holder of an epoch.
func (p Protocol) MayAttest(s ShareState, epoch uint64) bool {
	return epoch >= s.PromisedEpoch || p.faults.ignorePromise
}

// HandleConsent promises, as a witness, never again to attest for an epoch
// before that of a claim. The claimant must have read back its claim from the
// log.
func (p Protocol) HandleConsent(s ShareState, epoch uint64) ShareState {
	s.PromisedEpoch = max(s.PromisedEpoch, epoch)
	return s
}
