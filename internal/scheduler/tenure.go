package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/ownership"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

// The rule that tenures keep: when an owner starts an inherited task, every lease that a
// server can have granted on a call of an earlier owner has expired, or that server has
// answered this owner and refuses the earlier ones since.
//
// What was granted may be more than what was sent. A server that restarts under its ID takes
// calls that were meant for the instance before. Their deadline is a time on that one's clock,
// which may be far ahead of its own, so that it grants the longest lease that servers grant,
// from the time at which it carries the call out.
//
// An owner extends leases for their length from its newest evidence that nobody has claimed
// the partition after it: a call to the log, or attestations of a majority of the witnesses
// that its claim names. A later owner asks those witnesses to attest no more, and its wait
// begins once a majority has promised that or the earlier owner's daemon says that it has
// ended. If they are lost, it begins once the attestations of the others can extend nothing
// more: those of a majority soon, those of all witnesses late. Package ownership holds the
// protocol and its proof by exploration.

const (
	// takeoverSlack covers the time from the expiry of a lease to the end of the run,
	// and readings of clocks in whole milliseconds.
	takeoverSlack = leaseExpirySlack
	// maxAttested bounds how long an owner that cannot reach the log extends leases by
	// the attestations of all its witnesses. A later owner waits for as long if it reaches
	// neither the daemon of the earlier one nor any of its witnesses.
	maxAttested = 30 * time.Second
	// claimTime is how long after the loss of an owner the next one has claimed the
	// partition at the latest, and restartMargin what it has left for the first starts.
	claimTime     = 3 * time.Second
	restartMargin = time.Second
	// clockRatio is the largest ratio between the rates of two daemons' clocks.
	clockRatio = (1 + ownership.MaxClockDrift) / (1 - ownership.MaxClockDrift)
	// minStartFraction: tasks are started only if this fraction of a lease is left.
	minStartFraction = 6
	// maxPriorOwners bounds the earlier owners that a claim names. What exceeds it is
	// replaced by one owner with an unknown witness, for which the longest wait applies.
	maxPriorOwners = 32
)

// instantOrigin is the Instant at which a tenure begins, so that the zero Instant is longer
// ago than any lease lasts.
const instantOrigin = ownership.Instant(time.Hour)

// tenure is one owner's right to send leases, and its wait for those of earlier owners.
type tenure struct {
	protocol ownership.Protocol
	state    ownership.ShareState
	prior    []workload.PriorOwner
	// began is the time of instantOrigin.
	began time.Time
	// stopped are the daemons on which no owner before this one runs any more.
	stopped map[string]bool
	// updateStored is set once the log has that the leases of earlier owners are over.
	updateStored bool
	faults       tenureFaults
}

// newTenure returns the tenure of an owner with a claim in the log whose append began at
// the given time and ended now. Granted is the longest lease that a server may have granted
// to an earlier owner.
func newTenure(claim workload.PartitionOwner, granted time.Duration, began, now time.Time) *tenure {
	lease := msDuration(claim.LeaseMS)
	t := &tenure{
		protocol: ownership.Protocol{Timing: ownership.Timing{
			LeaseDuration: lease, TakeoverWait: takeoverWaitFor(granted),
			HandoverLease: lease, AttestedDuration: maxAttested, MaxClockRatio: clockRatio,
		}},
		prior: claim.Prior, began: began, stopped: make(map[string]bool), updateStored: len(claim.Prior) == 0,
	}
	own := ownership.Entry{Tenure: ownership.Tenure{Epoch: claim.Epoch, Holder: holderOf(claim.Epoch, claim.Daemon), Witnesses: claim.Witnesses, MajorityDuration: majorityDuration(claim.MajorityMS)}}
	for _, p := range claim.Prior {
		own.Prior = append(own.Prior, ownership.Tenure{Epoch: p.Epoch, Holder: holderOf(p.Epoch, p.Daemon), Witnesses: p.Witnesses, MajorityDuration: majorityDuration(p.MajorityMS)})
	}
	t.state = t.protocol.ApplyRead(t.state, own.Holder, own, t.instant(began), t.instant(now))
	t.advance(now)
	return t
}

// takeoverWaitFor returns how long a lease that a server granted may last by another clock.
func takeoverWaitFor(granted time.Duration) time.Duration {
	return time.Duration(float64(granted)*clockRatio) + takeoverSlack
}

// majorityDuration returns how long an owner lets a majority of its witnesses extend leases.
func majorityDuration(storedMS *int64) time.Duration {
	if storedMS == nil {
		return maxAttested
	}
	return min(msDuration(*storedMS), maxAttested)
}

// MajorityAttested returns how long the attestations of a majority of the witnesses, if not of
// all, may extend leases: as long as the next owner, which waits for that and then for the
// longest lease, restarts within RestartTime what was lost with the owner and most witnesses.
// It reports false if the longest lease alone takes too long for that.
func (b Bounds) MajorityAttested() (d time.Duration, fits bool) {
	if b.RestartTime == 0 {
		return maxAttested, true
	}
	left := b.RestartTime - claimTime - restartMargin - takeoverWaitFor(b.MaxLease)
	d = time.Duration(float64(left) / clockRatio).Truncate(time.Millisecond)
	return min(max(d, 0), maxAttested), left >= 0
}

// tenureFaults disables single steps of the protocol in a Core. Only tests set them, to show
// that the exploration detects the resulting violation.
type tenureFaults struct {
	noWait          bool // wait for no lease of an earlier owner
	waitFromClaim   bool // count that wait from the claim, not from the promises
	noPromises      bool // take all earlier owners for over without a promise
	anyAnswer       bool // extend leases by the answer of any one daemon
	dateAtAnswer    bool // date evidence at its arrival
	recordFromClaim bool // record what this owner waited since its claim, not since the promises
	forgetOwners    bool // wait only for the last of the earlier owners
	leaseDeclared   bool // send leases to a server that the record declares unheard
	countSentLeases bool // wait for the leases that earlier owners sent, not for those granted
	countAnswered   bool // count no lease under starts that got no answer
}

// holderOf identifies one owner. A daemon may own a partition several times.
func holderOf(epoch uint64, daemon string) string { return fmt.Sprintf("%s/%d", daemon, epoch) }

func (t *tenure) instant(at time.Time) ownership.Instant {
	return instantOrigin.Add(at.Sub(t.began))
}

// suspended makes all evidence older by a time that this machine's clock did not count.
func (t *tenure) suspended(missed time.Duration) {
	t.state = t.protocol.Suspended(t.state, missed)
}

// applyConfirmation records a call to the log, begun at the given time, that a later claim would
// have made fail.
func (t *tenure) applyConfirmation(at, now time.Time) {
	own := ownership.Entry{Tenure: t.state.Tenure}
	t.state = t.protocol.ApplyRead(t.state, own.Holder, own, t.instant(at), t.instant(now))
}

// confirmedAt returns when the newest call to the log began that showed no later claim.
func (t *tenure) confirmedAt() time.Time {
	return t.began.Add(t.state.ReadEvidence.Sub(instantOrigin))
}

// applyAttestation records that a witness, which had been up for the given time when it answered,
// knows of no later claim.
func (t *tenure) applyAttestation(witness string, askedAt, answeredAt time.Time, up time.Duration) {
	now := t.instant(answeredAt)
	if t.protocol.WitnessRemembers(t.state, up, now) {
		t.state = t.protocol.ApplyAttestation(t.state, witness, t.state.Tenure.Epoch, t.instant(askedAt), now)
	}
}

// applyPromise records that a daemon attests for no earlier owner any more, and whether none
// runs on it.
func (t *tenure) applyPromise(daemon string, stopped bool, now time.Time) {
	t.state = t.protocol.ApplyConsent(t.state, daemon, t.state.Tenure.Epoch)
	if stopped {
		t.stopped[daemon] = true
	}
	t.advance(now)
}

// advance notes which earlier owners can extend leases no more.
func (t *tenure) advance(now time.Time) {
	t.state = t.protocol.Advance(t.state, t.hasStopped, t.instant(now))
}

func (t *tenure) hasStopped(holder string) bool {
	for _, p := range t.prior {
		if holderOf(p.Epoch, p.Daemon) == holder {
			return t.stopped[p.Daemon]
		}
	}
	return false
}

// leaseLeft returns the longest lease that may be sent now; 0 or less if none may.
func (t *tenure) leaseLeft(now time.Time) time.Duration {
	return t.protocol.EvidenceUntil(t.state).Sub(t.instant(now))
}

// sinceLastPriorRenewal returns how long no earlier owner can have extended a lease, or false if
// one still may.
func (t *tenure) sinceLastPriorRenewal(now time.Time) (time.Duration, bool) {
	if t.faults.noPromises || t.faults.waitFromClaim && len(t.state.Prior) == 0 {
		return now.Sub(t.began), true
	}
	since, over := t.protocol.PriorCannotRenew(t.state)
	return t.instant(now).Sub(since), over
}

// takeoverWait is how long leases last at most once no owner extends them.
func (t *tenure) takeoverWait() time.Duration {
	if t.faults.noWait {
		return 0
	}
	return t.protocol.Timing.TakeoverWait
}

// witnesses returns the daemons that may attest for this owner.
func (t *tenure) witnesses() []string {
	return union(t.state.Tenure.Witnesses, t.state.Pending.Witnesses)
}

// union returns the strings of both lists, each once.
func union(a, b []string) []string {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}

// nextClaim returns the claim of the owner after those in a partition's records.
func nextClaim(records []partition.Record, daemon string, bounds Bounds, witnesses []string) workload.PartitionOwner {
	before := LastClaim(records)
	majority, _ := bounds.MajorityAttested()
	majorityMS := majority.Milliseconds()
	claim := workload.PartitionOwner{
		Epoch: before.Epoch + 1, Daemon: daemon, LeaseMS: bounds.lease().Milliseconds(), Witnesses: witnesses, MajorityMS: &majorityMS,
	}
	if before.Epoch == 0 {
		return claim
	}
	update := lastUpdate(records)
	if update.Epoch == before.Epoch && len(update.Witnesses) > 0 {
		before.Witnesses = update.Witnesses
	}
	if update.Epoch != before.Epoch || !update.PriorExpired {
		claim.Prior = before.Prior
	}
	last := workload.PriorOwner{Epoch: before.Epoch, Daemon: before.Daemon, LeaseMS: before.LeaseMS, Witnesses: before.Witnesses, MajorityMS: before.MajorityMS}
	if last.LeaseMS <= 0 {
		last.LeaseMS = bounds.MaxLease.Milliseconds()
	}
	claim.Prior = boundPrior(append(slices.Clone(claim.Prior), last))
	return claim
}

// boundPrior replaces the oldest owners by one whose witness nobody can ask, if there are
// too many.
func boundPrior(prior []workload.PriorOwner) []workload.PriorOwner {
	excess := len(prior) - maxPriorOwners
	if excess <= 0 {
		return prior
	}
	oldest := workload.PriorOwner{Epoch: prior[excess].Epoch, Witnesses: []string{""}}
	for _, p := range prior[:excess+1] {
		oldest.LeaseMS = max(oldest.LeaseMS, p.LeaseMS)
	}
	return append([]workload.PriorOwner{oldest}, prior[excess+1:]...)
}
