package ownership

import "time"

// StopResponse is a holder's answer to a claimant that has read its claim back: the
// holder acts no more once Left has passed.
type StopResponse struct {
	// Epoch is the claim's epoch.
	Epoch uint64
	// Agreed is false where the holder has a later claim of its own.
	Agreed bool
	// Effective is set if the holder was acting under the tenure right before
	// the claim, so that all tenures before that one are over, too.
	Effective bool
	// Left is how long the holder may still act, by its clock.
	Left time.Duration
}

// HandleStop agrees to a claim of that epoch, which the claimant must have read back
// from the log. The holder goes on acting on the evidence that it has, so that
// the share is without an owner for no longer than the answer travels.
func (p Protocol) HandleStop(s ShareState, epoch uint64, now Instant) (ShareState, StopResponse) {
	if s.Tenure.Epoch >= epoch {
		return s, StopResponse{Epoch: epoch}
	}
	until, _ := p.Lease(s, now)
	if s.Tenure.Epoch >= s.StoppedBelow {
		s.StopBy = max(until, s.UsedUntil, now)
	}
	s.StoppedBelow = max(s.StoppedBelow, epoch)
	s.Superseded = !p.faults.stopForgotten
	answer := StopResponse{Epoch: epoch, Agreed: true, Left: max(0, s.StopBy.Sub(now))}
	// A renewal that has not been read back continues the tenure.
	answer.Effective = s.Effective && (s.Tenure.Epoch+1 == epoch || s.Pending.Epoch+1 == epoch)
	if p.faults.stopBeforeEffects {
		answer.Left = 0
	}
	return s, answer
}

// ApplyStop applies the answer of the holder right before this claim.
func (p Protocol) ApplyStop(s ShareState, answer StopResponse, now Instant) ShareState {
	if !answer.Agreed || answer.Epoch != s.Tenure.Epoch || s.Effective {
		return s
	}
	until := now.Add(p.stretch(answer.Left))
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

// PrepareRelease ends this daemon's tenure for good. The share may be released in the
// log once ready is set: nothing that was done can still take effect and no
// renewal can still reach the log.
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
	return s, now >= s.StopBy || p.faults.releaseBeforeEnd
}

// Drain notes, before a planned stop, that all that was done under rights is
// done, but for effects that may come late. The daemon goes on holding its
// rights, each for a short time, so that a successor waits for no more.
func (p Protocol) Drain(s ShareState) ShareState {
	s.Draining = true
	s.UsedUntil = s.DeferredUntil
	if p.faults.finishForgetsLate {
		s.UsedUntil = 0
	}
	return s
}

// MayAttest reports whether a witness may vouch for the holder of an epoch.
func (p Protocol) MayAttest(s ShareState, epoch uint64) bool {
	return epoch >= s.PromisedEpoch || p.faults.ignorePromise
}

// HandleConsent promises never again to vouch for epochs before that of a claim,
// which the claimant must have read back from the log.
func (p Protocol) HandleConsent(s ShareState, epoch uint64) ShareState {
	s.PromisedEpoch = max(s.PromisedEpoch, epoch)
	return s
}
