package ownership

import (
	"slices"
	"time"
)

// ShareState is one daemon's state for one share, as holder, claimant and
// witness. It is a value: transitions return a changed copy and never write to
// a shared slice.
type ShareState struct {
	// Tenure is this daemon's newest claim that it has read back from the log.
	Tenure Tenure
	// Prior lists the earlier tenures, oldest first, that are not known to be
	// over.
	Prior []Tenure
	// ClaimedAt is when the claim was read back.
	ClaimedAt Instant
	// WaitUntil is when the claim becomes effective if Prior is empty.
	WaitUntil Instant
	// Effective is set once the claim is effective: this daemon may then act
	// while it has recent evidence.
	Effective bool
	// EffectiveSince is when the claim became effective.
	EffectiveSince Instant
	// FirstEpoch is the epoch at which the claim became effective. Renewals
	// raise the epoch of Tenure and keep FirstEpoch.
	FirstEpoch uint64
	// Pending is a claim of this daemon whose outcome is unknown.
	Pending Tenure
	// ReadEvidence is the time of the newest read that showed no later claim.
	ReadEvidence Instant
	// Attestations holds the newest attestation of each witness.
	Attestations []Attestation
	// Consents lists the witnesses that consented to the claim.
	Consents []string
	// Superseded is set once a later claim by another daemon has been seen.
	Superseded bool
	// StoppedBelow is the epoch below which this daemon has agreed to stop
	// acting at StopBy.
	StoppedBelow uint64
	StopBy       Instant
	// UsedUntil is the latest end of all leases that were handed out.
	UsedUntil Instant
	// DeferredUntil is the latest end of the leases that were handed out for
	// deferred effects. The request for such an effect carries the end of the
	// lease and may take effect until then.
	DeferredUntil Instant
	// Draining is set once every use except deferred ones is complete. From
	// then on leases are limited to HandoverLease.
	Draining bool
	// PromisedEpoch is the epoch below which this daemon never attests again.
	PromisedEpoch uint64
}

// Attestation states that a witness had not consented to a later claim.
type Attestation struct {
	Witness string
	// AskedAt is when the holder asked, by its own clock.
	AskedAt Instant
}

// ApplyRead applies the share's entry according to a log read that began at
// readAt and whose records have been applied to the head or beyond.
func (p Protocol) ApplyRead(s ShareState, self string, e Entry, readAt, now Instant) ShareState {
	if p.faults.dateReadAtEnd {
		readAt = now
	}
	switch {
	case e.Holder == self && e.Epoch > s.Tenure.Epoch:
		s = p.adopt(s, e, now)
	case e.Holder != self && e.Epoch > s.Tenure.Epoch:
		s = p.supersede(s)
	}
	if e.Epoch >= s.Pending.Epoch {
		s.Pending = Tenure{}
	}
	current := e.Holder == self && e.Epoch == s.Tenure.Epoch && !e.Released
	if current || p.faults.trustStaleRead && e.Epoch > 0 {
		s.ReadEvidence = max(s.ReadEvidence, readAt)
	}
	return s
}

// supersede records that a later claim exists, and replaces the attestations by
// the time of the newest evidence. A renewal of unknown outcome may have been
// granted before the later claim, so attestations that count with the older
// witnesses alone must not begin to count when that outcome becomes known.
func (p Protocol) supersede(s ShareState) ShareState {
	if !p.faults.attestAfterSuperseded {
		s.ReadEvidence, s.Attestations = p.newestEvidence(s), nil
	}
	s.Superseded = true
	return s
}

// adopt applies a claim of this daemon that was read back for the first time.
func (p Protocol) adopt(s ShareState, e Entry, now Instant) ShareState {
	if s.Effective && e.Epoch == s.Tenure.Epoch+1 && !s.Superseded {
		s.Tenure = e.Tenure
		return s
	}
	s.Tenure = e.Tenure
	s.Prior = e.Prior
	if p.faults.forgetPrior && len(e.Prior) > 1 {
		s.Prior = e.Prior[len(e.Prior)-1:]
	}
	s.ClaimedAt, s.WaitUntil = now, now
	if len(s.Prior) > 0 {
		s.WaitUntil = now.Add(p.takeoverWait())
	}
	s.Effective, s.Superseded = false, false
	s.ReadEvidence, s.Attestations, s.Consents = 0, nil, nil
	return s
}

// ApplyPeerRead applies a peer's statement that its own log read, begun after
// this daemon asked, showed this daemon's claim of that epoch as the newest.
func (p Protocol) ApplyPeerRead(s ShareState, epoch uint64, askedAt, now Instant) ShareState {
	if p.faults.trustStalePeerRead {
		askedAt = now
	}
	if epoch != 0 && epoch == s.Tenure.Epoch && !s.Superseded {
		s.ReadEvidence = max(s.ReadEvidence, askedAt)
	}
	return s
}

// ApplyAttestation applies a witness's attestation for an epoch, requested at
// askedAt.
func (p Protocol) ApplyAttestation(s ShareState, witness string, epoch uint64, askedAt, now Instant) ShareState {
	if p.faults.dateAttestationAtEnd {
		askedAt = now
	}
	if epoch == 0 || epoch != s.Tenure.Epoch || s.Superseded {
		return s
	}
	attestations := slices.Clone(s.Attestations)
	i := slices.IndexFunc(attestations, func(v Attestation) bool { return v.Witness == witness })
	if i < 0 {
		i = len(attestations)
		attestations = append(attestations, Attestation{Witness: witness})
	}
	attestations[i].AskedAt = max(attestations[i].AskedAt, askedAt)
	s.Attestations = attestations
	return s
}

// quorumEvidence returns the newest time as of which at least need of the witnesses
// attested, or zero.
func (p Protocol) quorumEvidence(s ShareState, witnesses []string, need int) Instant {
	var buffer [16]Instant
	times := buffer[:0]
	for _, v := range s.Attestations {
		if slices.ContainsFunc(witnesses, func(w string) bool { return p.sameWitness(w, v.Witness) }) {
			times = append(times, v.AskedAt)
		}
	}
	if need == 0 || len(times) < need {
		return 0
	}
	slices.Sort(times)
	return times[len(times)-need]
}

// sameWitness reports whether two witnesses are the same incarnation.
func (p Protocol) sameWitness(a, b string) bool {
	if p.faults.matchWitnessByName {
		return a[0] == b[0]
	}
	return a == b
}

// newestEvidence returns the time of the newest evidence that no later claim
// existed. While a renewal's outcome is unknown, attestations count only with
// a majority of both sets of witnesses.
func (p Protocol) newestEvidence(s ShareState) Instant {
	attested := p.attestedEvidence(s, p.majority)
	if limit := p.Timing.AttestedDuration; limit > 0 && !p.faults.attestWithoutEnd {
		all := min(p.attestedEvidence(s, everyone), s.ReadEvidence.Add(limit))
		shorter := s.Tenure.MajorityDuration
		if p.faults.majorityAsAll {
			shorter = limit
		}
		attested = max(all, min(attested, s.ReadEvidence.Add(shorter)))
	}
	return max(s.ReadEvidence, attested)
}

// attestedEvidence returns the newest time as of which enough witnesses attested, or zero.
// Enough tells, by the number of witnesses, how many are. While other witnesses are pending,
// enough of both sets must have attested.
func (p Protocol) attestedEvidence(s ShareState, enough func(n int) int) Instant {
	attested := p.quorumEvidence(s, s.Tenure.Witnesses, enough(len(s.Tenure.Witnesses)))
	if s.Pending.Epoch == 0 {
		return attested
	}
	renewed := p.quorumEvidence(s, s.Pending.Witnesses, enough(len(s.Pending.Witnesses)))
	if p.faults.forgetPending {
		return renewed
	}
	return min(attested, renewed)
}

// everyone returns how many of n witnesses are all of them.
func everyone(n int) int { return n }

// EvidenceUntil returns until when the newest evidence lets this daemon's effects last,
// whether its claim is effective or not. A daemon may act for a receiver before that if
// the receiver itself refuses all earlier holders.
func (p Protocol) EvidenceUntil(s ShareState) Instant {
	return p.newestEvidence(s).Add(p.Timing.LeaseDuration)
}

// WitnessRemembers reports whether a witness that has been up for the given time, by its
// own clock, knows of every later claim that it consented to. Such a claim follows this
// holder's newest read, so that a witness that has been up since then has not forgotten
// it. Where witnesses are named by daemon and not by incarnation, an attestation counts
// only then.
func (p Protocol) WitnessRemembers(s ShareState, up time.Duration, now Instant) bool {
	atLeast := time.Duration(float64(up) * (1 - MaxClockDrift) / (1 + MaxClockDrift))
	return now.Add(-atLeast) <= s.ReadEvidence || p.faults.trustForgetful
}

// Suspended moves all evidence back by a time that this daemon's clock did not count.
func (p Protocol) Suspended(s ShareState, missed time.Duration) ShareState {
	s.ReadEvidence = s.ReadEvidence.Add(-missed)
	s.Attestations = slices.Clone(s.Attestations)
	for i := range s.Attestations {
		s.Attestations[i].AskedAt = s.Attestations[i].AskedAt.Add(-missed)
	}
	return s
}

// ReplaceWitnesses prepares other witnesses for the claim. Until it is known whether the
// log has them, attestations count only with a majority of the former and of the new
// ones, since a claimant asks those that it reads there. The epoch of the pending tenure
// only marks it as unknown; no such claim is made.
func (p Protocol) ReplaceWitnesses(s ShareState, witnesses []string) ShareState {
	s.Pending = Tenure{Epoch: s.Tenure.Epoch + 1, Holder: s.Tenure.Holder, Witnesses: witnesses}
	if p.faults.switchWitnessesEarly {
		return p.WitnessesReplaced(s)
	}
	return s
}

// WitnessesReplaced records that the log has the witnesses that were prepared last.
func (p Protocol) WitnessesReplaced(s ShareState) ShareState {
	s.Tenure.Witnesses, s.Pending = s.Pending.Witnesses, Tenure{}
	return s
}

// PriorCannotRenew reports since when no earlier holder can get new evidence, or false if one
// still may. Their leases end within Timing.TakeoverWait of that. WaitUntil is that much
// later than the moment at which the last of them was known to get none.
func (p Protocol) PriorCannotRenew(s ShareState) (since Instant, over bool) {
	return s.WaitUntil.Add(-p.takeoverWait()), s.Tenure.Epoch > 0 && len(s.Prior) == 0
}

// Lease returns until when the daemon may act, if it may act now. The caller
// must ask again right before each effect, and the effect must not happen
// after the returned end.
func (p Protocol) Lease(s ShareState, now Instant) (until Instant, ok bool) {
	if !s.Effective {
		return 0, false
	}
	until = p.newestEvidence(s).Add(p.Timing.LeaseDuration)
	if s.Tenure.Epoch < s.StoppedBelow && !p.faults.forgetStop {
		until = min(until, s.StopBy)
	}
	if s.Draining {
		until = min(until, now.Add(p.Timing.HandoverLease))
	}
	if p.faults.ignoreExpiry {
		return max(until, now+1), true
	}
	return until, now < until
}

// RecordUse records that a lease with that end was handed out.
func (p Protocol) RecordUse(s ShareState, until Instant) ShareState {
	s.UsedUntil = max(s.UsedUntil, until)
	return s
}

// RecordDeferredUse records that a lease with that end was handed out for a
// deferred effect, which may happen until then.
func (p Protocol) RecordDeferredUse(s ShareState, until Instant) ShareState {
	s.DeferredUntil = max(s.DeferredUntil, until)
	return p.RecordUse(s, until)
}

// Advance drops the tenures that are over and makes the claim effective when
// nothing is left to wait for. ended reports whether an incarnation is known
// to have ended.
func (p Protocol) Advance(s ShareState, ended func(incarnation string) bool, now Instant) ShareState {
	if s.Effective || s.Tenure.Epoch == 0 {
		return s
	}
	remaining := make([]Tenure, 0, len(s.Prior))
	for _, t := range s.Prior {
		if !p.cannotRenew(s, t, ended, now) {
			remaining = append(remaining, t)
		}
	}
	if len(remaining) < len(s.Prior) {
		s = p.dropPrior(s, remaining, ended, now)
	}
	if len(s.Prior) == 0 && now >= s.WaitUntil {
		s.Effective = true
		s.EffectiveSince, s.FirstEpoch = now, s.Tenure.Epoch
		s.Consents = nil
	}
	return s
}

// dropPrior reduces the prior tenures to the remaining ones and restarts the
// takeover wait, since a dropped holder may have received evidence just
// before.
func (p Protocol) dropPrior(s ShareState, remaining []Tenure, ended func(string) bool, now Instant) ShareState {
	if p.faults.noWaitAfterEnd && len(remaining) == 0 && ended(s.Prior[len(s.Prior)-1].Holder) {
		s.WaitUntil = now
	} else if !p.faults.noWaitAfterConsent {
		s.WaitUntil = max(s.WaitUntil, now.Add(p.takeoverWait()))
	}
	s.Prior = remaining
	return s
}

// cannotRenew reports whether a tenure's holder can get no new evidence from
// attestations. All its reads precede this daemon's claim.
func (p Protocol) cannotRenew(s ShareState, t Tenure, ended func(string) bool, now Instant) bool {
	if p.faults.noConsent || ended(t.Holder) || len(t.Witnesses) == 0 {
		return true
	}
	count := 0
	for _, w := range t.Witnesses {
		if ended(w) || slices.ContainsFunc(s.Consents, func(c string) bool { return p.sameWitness(c, w) }) {
			count++
		}
	}
	return count >= p.blocking(len(t.Witnesses)) || p.attestationsOver(s, t, count, now)
}

// attestationsOver reports whether attestations can extend the leases of a tenure's holder no
// longer, since it can have read nothing after this daemon's claim. Consented is how many of
// its witnesses attest for it no more: with one of them, it can no longer have all.
func (p Protocol) attestationsOver(s ShareState, t Tenure, consented int, now Instant) bool {
	limit := p.Timing.AttestedDuration
	if limit == 0 {
		return false
	}
	if consented > 0 || p.faults.doubtWithoutPromise {
		limit = min(limit, t.MajorityDuration)
	}
	return now >= s.ClaimedAt.Add(p.maxLocalDuration(limit))
}

// ApplyConsent applies a witness's consent to the claim of that epoch.
func (p Protocol) ApplyConsent(s ShareState, witness string, epoch uint64) ShareState {
	if epoch != s.Tenure.Epoch || s.Effective || slices.Contains(s.Consents, witness) {
		return s
	}
	s.Consents = append(slices.Clone(s.Consents), witness)
	return s
}

// MayClaim reports whether the daemon may claim the share, given its newest
// entry: the daemon has no claim of unknown outcome and none that waits to
// become effective.
func (p Protocol) MayClaim(s ShareState, self string, e Entry) bool {
	if s.Pending.Epoch != 0 || e.Epoch < s.Tenure.Epoch {
		return false
	}
	own := e.Holder == self && !e.Released
	return !own || s.Effective && e.Epoch == s.Tenure.Epoch || p.faults.renewBeforeEffective
}

// PrepareClaim prepares a claim that follows the given entry. The returned
// tenure and prior tenures go into the log; the returned state must be stored
// before they are sent. ended reports whether an incarnation is known to have
// ended.
func (p Protocol) PrepareClaim(s ShareState, self string, e Entry, witnesses []string, ended func(string) bool) (ShareState, Tenure, []Tenure) {
	s.Pending = Tenure{Epoch: e.Epoch + 1, Holder: self, Witnesses: witnesses}
	if e.Epoch == 0 || e.Released || e.Holder == self {
		return s, s.Pending, nil
	}
	prior := make([]Tenure, 0, len(e.Prior)+1)
	for _, t := range e.Prior {
		if !ended(t.Holder) {
			prior = append(prior, t)
		}
	}
	return s, s.Pending, append(prior, e.Tenure)
}

// DropPending records that the pending claim of that epoch will certainly
// never reach the log.
func (p Protocol) DropPending(s ShareState, epoch uint64) ShareState {
	if s.Pending.Epoch == epoch {
		s.Pending = Tenure{}
	}
	return s
}
