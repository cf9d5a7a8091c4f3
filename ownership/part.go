package ownership

import "slices"

// ShareState is one daemon's part in one share: as holder, claimant and witness. It
// is a value; transitions return a changed copy and share no slice that is
// written to.
type ShareState struct {
	// Tenure is this daemon's newest claim that it has read back.
	Tenure Tenure
	// Prior lists the tenures that are not yet known to be over.
	Prior []Tenure
	// WaitUntil is when the claim becomes effective, once Prior is empty.
	WaitUntil Instant
	// Effective is set once this daemon may act on evidence.
	Effective bool
	// EffectiveSince is when the tenure became effective.
	EffectiveSince Instant
	// FirstEpoch is the epoch that the effective tenure began with. Renewals raise
	// the epoch of Tenure and keep FirstEpoch.
	FirstEpoch uint64
	// Pending is a claim of this daemon whose fate is not known.
	Pending Tenure
	// ReadEvidence is the date of the newest read that showed no later claim.
	ReadEvidence Instant
	// Attestations holds the newest voucher of each witness.
	Attestations []Attestation
	// Consents holds the witnesses that consented to the claim.
	Consents []string
	// Superseded is set once a later claim has been seen.
	Superseded bool
	// StoppedBelow is the epoch below which this daemon has agreed to act no
	// longer than EndBy.
	StoppedBelow uint64
	StopBy       Instant
	// UsedUntil is the latest end of all rights that were given out.
	UsedUntil Instant
	// DeferredUntil is the latest end of those given out for effects that carry their
	// end and may come as late as that.
	DeferredUntil Instant
	// Draining is set once nothing else that was done under a right is under
	// way. From then on rights are short.
	Draining bool
	// PromisedEpoch is the epoch below which this daemon never vouches again.
	PromisedEpoch uint64
}

// Attestation is a witness's word that it had not consented to a later claim.
type Attestation struct {
	Witness string
	// AskedAt is when the holder asked, by its own clock.
	AskedAt Instant
}

// ApplyRead applies the share's entry as of a log read that began at dated and
// has been folded up to its head or beyond.
func (p Protocol) ApplyRead(s ShareState, self string, e Entry, dated, now Instant) ShareState {
	if p.faults.dateReadAtEnd {
		dated = now
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
		s.ReadEvidence = max(s.ReadEvidence, dated)
	}
	return s
}

// supersede fixes the evidence as it is. A renewal whose fate was unknown may
// have been granted before the later claim, so vouchers that count with the
// older witnesses alone must not come to count when it is settled.
func (p Protocol) supersede(s ShareState) ShareState {
	if !p.faults.supersededCounts {
		s.ReadEvidence, s.Attestations = p.evidence(s), nil
	}
	s.Superseded = true
	return s
}

// adopt takes up an own claim that was read back for the first time.
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
	s.WaitUntil = now
	if len(s.Prior) > 0 {
		s.WaitUntil = now.Add(p.wait())
	}
	s.Effective, s.Superseded = false, false
	s.ReadEvidence, s.Attestations, s.Consents = 0, nil, nil
	return s
}

// ApplyPeerRead applies the word of a peer that a log read of its own, begun after
// this daemon asked, showed this daemon's claim of that epoch as the newest.
func (p Protocol) ApplyPeerRead(s ShareState, epoch uint64, asked, now Instant) ShareState {
	if p.faults.acceptOldWord {
		asked = now
	}
	if epoch != 0 && epoch == s.Tenure.Epoch && !s.Superseded {
		s.ReadEvidence = max(s.ReadEvidence, asked)
	}
	return s
}

// ApplyAttestation applies a witness's voucher for an epoch, asked for at a time.
func (p Protocol) ApplyAttestation(s ShareState, witness string, epoch uint64, asked, now Instant) ShareState {
	if p.faults.dateVoucherAtEnd {
		asked = now
	}
	if epoch == 0 || epoch != s.Tenure.Epoch || s.Superseded {
		return s
	}
	vouchers := slices.Clone(s.Attestations)
	i := slices.IndexFunc(vouchers, func(v Attestation) bool { return v.Witness == witness })
	if i < 0 {
		i = len(vouchers)
		vouchers = append(vouchers, Attestation{Witness: witness})
	}
	vouchers[i].AskedAt = max(vouchers[i].AskedAt, asked)
	s.Attestations = vouchers
	return s
}

// quorum returns the newest date at which a majority of the witnesses had
// vouched.
func (p Protocol) quorum(s ShareState, witnesses []string) Instant {
	var room [16]Instant
	dates := room[:0]
	for _, v := range s.Attestations {
		if slices.ContainsFunc(witnesses, func(w string) bool { return p.same(w, v.Witness) }) {
			dates = append(dates, v.AskedAt)
		}
	}
	need := p.majority(len(witnesses))
	if need == 0 || len(dates) < need {
		return 0
	}
	slices.Sort(dates)
	return dates[len(dates)-need]
}

// same reports whether two witnesses are one.
func (p Protocol) same(a, b string) bool {
	if p.faults.restartedWitness {
		return a[0] == b[0]
	}
	return a == b
}

// evidence returns the date of the newest proof that no later claim existed.
// While a renewal's fate is unknown, vouchers count from both sets only.
func (p Protocol) evidence(s ShareState) Instant {
	vouched := p.quorum(s, s.Tenure.Witnesses)
	if s.Pending.Epoch != 0 {
		renewed := p.quorum(s, s.Pending.Witnesses)
		if p.faults.forgetPending {
			vouched = renewed
		}
		vouched = min(vouched, renewed)
	}
	return max(s.ReadEvidence, vouched)
}

// Lease returns until when the daemon may act, if it may act now. It must be
// asked again right before each effect, and the effect must carry the end.
func (p Protocol) Lease(s ShareState, now Instant) (until Instant, ok bool) {
	if !s.Effective {
		return 0, false
	}
	until = p.evidence(s).Add(p.Timing.LeaseDuration)
	if s.Tenure.Epoch < s.StoppedBelow && !p.faults.stopForgotten {
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

// RecordUse notes that a right with that end has been given out.
func (p Protocol) RecordUse(s ShareState, until Instant) ShareState {
	s.UsedUntil = max(s.UsedUntil, until)
	return s
}

// RecordDeferredUse notes that a right with that end has been given out for an effect
// that may come as late as that.
func (p Protocol) RecordDeferredUse(s ShareState, until Instant) ShareState {
	s.DeferredUntil = max(s.DeferredUntil, until)
	return p.RecordUse(s, until)
}

// Advance drops the tenures that are over and makes the claim effective when
// nothing is left to wait for. Ended tells whether an incarnation is known to
// have ended.
func (p Protocol) Advance(s ShareState, ended func(incarnation string) bool, now Instant) ShareState {
	if s.Effective || s.Tenure.Epoch == 0 {
		return s
	}
	left := make([]Tenure, 0, len(s.Prior))
	for _, t := range s.Prior {
		if !p.over(s, t, ended) {
			left = append(left, t)
		}
	}
	if len(left) < len(s.Prior) {
		s = p.shorten(s, left, ended, now)
	}
	if len(s.Prior) == 0 && now >= s.WaitUntil {
		s.Effective = true
		s.EffectiveSince, s.FirstEpoch = now, s.Tenure.Epoch
		s.Consents = nil
	}
	return s
}

// shorten keeps what is left of the prior tenures and starts the wait anew,
// for the evidence that was given just before.
func (p Protocol) shorten(s ShareState, left []Tenure, ended func(string) bool, now Instant) ShareState {
	if p.faults.endedNeedsNoWait && len(left) == 0 && ended(s.Prior[len(s.Prior)-1].Holder) {
		s.WaitUntil = now
	} else if !p.faults.noWaitAfterConsent {
		s.WaitUntil = max(s.WaitUntil, now.Add(p.wait()))
	}
	s.Prior = left
	return s
}

// over reports whether a tenure's holder can get no more evidence by vouchers.
func (p Protocol) over(s ShareState, t Tenure, ended func(string) bool) bool {
	if p.faults.noConsent || ended(t.Holder) {
		return true
	}
	count := 0
	for _, w := range t.Witnesses {
		if ended(w) || slices.ContainsFunc(s.Consents, func(c string) bool { return p.same(c, w) }) {
			count++
		}
	}
	return count >= p.majority(len(t.Witnesses))
}

// ApplyConsent applies a witness's consent to the claim of that epoch.
func (p Protocol) ApplyConsent(s ShareState, witness string, epoch uint64) ShareState {
	if epoch != s.Tenure.Epoch || s.Effective || slices.Contains(s.Consents, witness) {
		return s
	}
	s.Consents = append(slices.Clone(s.Consents), witness)
	return s
}

// MayClaim reports whether a claim for the share at that entry makes sense: no
// own claim is under way and none waits to become effective.
func (p Protocol) MayClaim(s ShareState, self string, e Entry) bool {
	if s.Pending.Epoch != 0 || e.Epoch < s.Tenure.Epoch {
		return false
	}
	own := e.Holder == self && !e.Released
	return !own || s.Effective && e.Epoch == s.Tenure.Epoch || p.faults.waitingRenews
}

// PrepareClaim prepares a claim after the given entry. The returned tenure and prior
// tenures go into the log; the part must be kept before they are sent. Ended
// tells whether an incarnation is known to have ended.
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

// DropPending applies that the pending claim of that epoch certainly never reaches
// the log.
func (p Protocol) DropPending(s ShareState, epoch uint64) ShareState {
	if s.Pending.Epoch == epoch {
		s.Pending = Tenure{}
	}
	return s
}
