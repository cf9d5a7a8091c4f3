package scheduler

import (
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

// SetClaim sets this owner's claim, whose append began at the given time of both clocks or
// later.
func (c *Core) SetClaim(claim workload.PartitionOwner, began time.Time, wallBegan int64) {
	if c.faults.forgetOwners && len(claim.Prior) > 1 {
		claim.Prior = claim.Prior[len(claim.Prior)-1:]
	}
	c.maxLeaseGranted = c.bounds.MaxLease
	for _, p := range claim.Prior {
		c.maxLeaseGranted = max(c.maxLeaseGranted, msDuration(p.LeaseMS))
	}
	granted := c.maxLeaseGranted
	if c.faults.countSentLeases {
		granted = c.bounds.lease()
	}
	c.tenure = newTenure(claim, granted, began, c.now)
	c.tenure.faults = c.faults
	if missed := suspension(began, wallBegan, c.now, c.wall); missed > 0 {
		c.resumedAt = c.now
		c.tenure.suspended(missed)
	}
}

// SetOwnershipConfirmed sets when the newest call to the log began that a later claim
// would have made fail.
func (c *Core) SetOwnershipConfirmed(at time.Time) {
	if c.faults.dateAtAnswer {
		at = c.now
	}
	if at.After(c.resumedAt) {
		c.tenure.applyConfirmation(at, c.now)
	}
}

// AttestationReceived handles a witness's statement that it knows of no later claim and has
// been up for the given time.
func (c *Core) AttestationReceived(witness string, askedAt, answeredAt time.Time, up time.Duration) {
	if c.faults.dateAtAnswer {
		askedAt = answeredAt
	}
	if c.faults.anyAnswer {
		c.tenure.applyConfirmation(askedAt, c.now)
	}
	if askedAt.After(c.resumedAt) {
		c.tenure.applyAttestation(witness, askedAt, answeredAt, up)
	}
}

// PromiseReceived handles a daemon's promise to attest for no earlier owner. Stopped says
// that none of them runs on it.
func (c *Core) PromiseReceived(daemon string, stopped bool) {
	c.tenure.applyPromise(daemon, stopped, c.now)
}

// PriorLeasesExpired reports whether all leases of earlier owners have expired.
func (c *Core) PriorLeasesExpired() bool {
	since, over := c.tenure.sinceLastPriorRenewal(c.now)
	return over && since >= c.tenure.takeoverWait()
}

// leaseLeft returns the longest lease that may be sent now; 0 or less if none may.
func (c *Core) leaseLeft() time.Duration { return c.tenure.leaseLeft(c.now) }

// mayStartTasks reports whether the leases that may be sent now are long enough for new
// tasks.
func (c *Core) mayStartTasks() bool { return c.leaseLeft() >= c.bounds.lease()/minStartFraction }

// sinceLastRenewal returns how long no earlier owner can have extended a lease on a server that
// has not answered this owner, or false if one still may.
func (c *Core) sinceLastRenewal(s *server) (time.Duration, bool) {
	if s.waitRecorded {
		return s.waitedBefore + c.now.Sub(c.started), true
	}
	return c.tenure.sinceLastPriorRenewal(c.now)
}

// leasesExpired reports whether all leases ever sent to a server have expired. A later
// owner may have heard the server and renewed them, so that a call to the log must have
// shown since that there is none. Attestations do not: a later owner needs no promises to
// renew what it has adopted.
func (c *Core) leasesExpired(s *server) bool {
	if s.over {
		return true
	}
	expiry, known := c.ownLeasesExpiry(s)
	if !known || !c.now.After(expiry) {
		return false
	}
	confirmed := !c.tenure.confirmedAt().Before(expiry)
	c.confirmationDue = c.confirmationDue || !confirmed
	return confirmed
}

// mayBeGranted notes that the next instance of a server may have carried out a start that was
// meant for the one before, and have granted a lease by now. That may be the longest one,
// since the start's deadline may be far ahead of its clock.
func (c *Core) mayBeGranted(a *attempt, lease time.Duration) {
	if c.faults.countAnswered {
		return
	}
	lasts := time.Duration(float64(min(lease, c.maxLeaseGranted))*maxClockDrift) + leaseExpirySlack
	a.grantedUntil = latest(a.grantedUntil, c.now.Add(lasts))
}

// pollLease returns the lease deadline for a poll; 0 extends none. A deadline that was sent
// before extends nothing at the instance that got it, but the server may have restarted, and
// the next instance, whose clock has begun anew, would grant its longest lease for it.
func (c *Core) pollLease(s *server) int64 {
	s.pollDeadlineMS = 0
	if c.renewable(s) && c.leaseLeft() > 0 {
		s.pollDeadlineMS = c.extendLease(s)
	}
	return s.pollDeadlineMS
}

// mayBeGrantedByPoll notes that a poll with a lease deadline got no answer. If the next
// instance of the server has carried it out, every run that it began under a start meant for
// the instance before got the longest lease by now.
func (c *Core) mayBeGrantedByPoll(s *server) {
	for _, a := range s.attempts {
		if !a.grantedUntil.IsZero() {
			c.mayBeGranted(a, c.maxLeaseGranted)
		}
	}
}

// mayRunElsewhere reports whether a run whose instance is over, or whose leases there have
// expired, can last on no later instance either.
func (c *Core) mayRunElsewhere(a *attempt) bool { return !c.now.Before(a.grantedUntil) }

// allMayRunElsewhere reports the same for all runs of a server.
func (c *Core) allMayRunElsewhere(s *server) bool {
	for _, a := range s.attempts {
		if !c.mayRunElsewhere(a) {
			return false
		}
	}
	return true
}

// stopOnNextInstance stops a run on the instance that follows the one on which it was
// confirmed: a copy of its start may still reach the server. Once the stop is confirmed, such
// a copy has no effect.
func (c *Core) stopOnNextInstance(a *attempt) {
	a.state = running
	c.stop(a)
	c.poll(a.server)
	if a.task.step.spec.Gang {
		a.task.step.markRunEnded(a.run)
		c.stopGang(a.task.step)
	}
}

// ownLeasesExpiry returns when the leases that this and earlier owners have sent to a
// server have expired, or false if an earlier owner may still extend one.
func (c *Core) ownLeasesExpiry(s *server) (time.Time, bool) {
	if !s.inherited || !s.polledAt.IsZero() {
		return s.leaseExpiry(), true
	}
	since, over := c.sinceLastRenewal(s)
	return c.now.Add(c.tenure.takeoverWait() - since), over
}

// TakeConfirmationDue reports whether a decision waits for a call to the log that shows no
// later claim, once for each time.
func (c *Core) TakeConfirmationDue() bool {
	due := c.confirmationDue
	c.confirmationDue = false
	return due
}

// noteLeaseRenewal logs when this owner stops renewing leases for want of evidence, and
// when it renews them again.
func (c *Core) noteLeaseRenewal() {
	left := c.leaseLeft()
	if renewed := left > 0; renewed != c.leasesRenewed {
		c.leasesRenewed = renewed
		c.log.Log(events.LeaseRenewalChanged, "epoch", c.epoch, "renewed", renewed, "evidenceAge", (c.bounds.lease() - left).Milliseconds())
	}
}

// storeUpdate stores that the leases of earlier owners are over, so that the next owner
// need not ask about them.
func (c *Core) storeUpdate() {
	if c.tenure.updateStored || !c.PriorLeasesExpired() {
		return
	}
	c.tenure.updateStored = true
	c.writeUpdate(nil)
}

// UpdateWitnesses sets the daemons that can witness claims now. Other witnesses are
// stored if one of the present ones is not among them, or if there are too few.
func (c *Core) UpdateWitnesses(chosen []string, candidates []string) {
	t := c.tenure
	if t.state.Pending.Epoch != 0 {
		return
	}
	gone := slices.ContainsFunc(t.state.Tenure.Witnesses, func(w string) bool { return !slices.Contains(candidates, w) })
	if !gone && len(t.state.Tenure.Witnesses) >= len(chosen) {
		c.witnessesStaleAt = time.Time{}
		return
	}
	if c.witnessesStaleAt.IsZero() {
		c.witnessesStaleAt = c.now
	}
	if c.now.Sub(c.witnessesStaleAt) < witnessSettleTime {
		return
	}
	c.witnessesStaleAt = time.Time{}
	t.state = t.protocol.ReplaceWitnesses(t.state, chosen)
	c.writeUpdate(func() { t.state = t.protocol.WitnessesReplaced(t.state) })
}

// witnessSettleTime is how long other witnesses must be due before they are stored:
// daemons that restart are back within it.
const witnessSettleTime = 3 * time.Second

// writeUpdate stores what has changed since this owner's claim.
func (c *Core) writeUpdate(then func()) {
	witnesses := c.tenure.state.Tenure.Witnesses
	if pending := c.tenure.state.Pending; pending.Epoch != 0 {
		witnesses = pending.Witnesses
	}
	u := workload.OwnerUpdate{Epoch: c.epoch, Witnesses: witnesses, PriorExpired: c.tenure.updateStored}
	c.write([]partition.Record{recordOf(keyUpdate, "", u)}, then)
}
