// Package ownership decides when a daemon may act for a share. At any time at
// most one daemon holds a lease on a share. Claims on a share are ordered by
// the log. The package does no I/O and takes the time as an argument: the same
// functions run in a daemon and in the model checker of this package's tests.
// The daemon's owner role calls it, under one lock per daemon.
//
// A holder's lease lasts for Timing.LeaseDuration after its newest evidence
// that no later claim existed: a read of the log, a read that a peer made on
// request, or attestations from a majority of the witnesses named in its
// claim. Attestations of a majority may count for a shorter time than those of
// all witnesses: a claimant that has the promise of a single one then knows that
// the holder has only the shorter time. A claim becomes effective once every
// earlier tenure is certainly over: its holder agreed to stop, or it can get no
// new evidence and the lease from its last evidence has expired.
package ownership

import (
	"time"

	"github.com/pkg/errors"
)

// Instant is a reading of one process's monotonic clock. Readings of different
// processes are never compared. The zero Instant must be longer ago than any
// lease lasts.
type Instant time.Duration

// Add returns i + d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns i - o.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// MaxClockDrift is the largest deviation of a clock's rate from real time, as
// a fraction.
const MaxClockDrift = 0.02

// Timing holds the protocol's durations.
type Timing struct {
	// LeaseDuration is how long a holder may act after its newest evidence.
	LeaseDuration time.Duration
	// TakeoverWait is how long a claimant waits for the leases of earlier
	// holders to expire.
	TakeoverWait time.Duration
	// HandoverLease bounds the lease of a draining holder, counted from now: a
	// successor that asks it to stop has to wait for no longer than that.
	HandoverLease time.Duration
	// AttestedDuration bounds how long the attestations of all witnesses may extend a
	// lease after the holder's newest read, by its own clock. A claimant that reaches
	// neither the holder nor any of its witnesses waits for that long. 0 is no bound, also
	// for a majority. Tenure.MajorityDuration is the bound for attestations of fewer.
	AttestedDuration time.Duration
	// MaxClockRatio is the largest ratio between the rates of two daemons' clocks; 0 means
	// that of TakeoverWait to LeaseDuration.
	MaxClockRatio float64
}

// DefaultTiming is the timing that daemons use.
var DefaultTiming = Timing{
	LeaseDuration: 3 * time.Second,
	TakeoverWait:  3200 * time.Millisecond,

	HandoverLease: 200 * time.Millisecond,
}

// Validate returns an error unless TakeoverWait is longer than LeaseDuration
// on any two clocks within MaxClockDrift, and HandoverLease is positive and at
// most LeaseDuration.
func (t Timing) Validate() error {
	longest := time.Duration(float64(t.LeaseDuration) * (1 + MaxClockDrift) / (1 - MaxClockDrift))
	if t.LeaseDuration <= 0 || t.TakeoverWait <= longest {
		return errors.Errorf("ownership: takeover wait %v does not outlast lease duration %v with clock drift", t.TakeoverWait, t.LeaseDuration)
	}
	if t.HandoverLease <= 0 || t.HandoverLease > t.LeaseDuration {
		return errors.Errorf("ownership: handover lease %v is not above zero and at most the lease duration %v", t.HandoverLease, t.LeaseDuration)
	}
	return nil
}

// Tenure is one granted claim on a share.
type Tenure struct {
	Epoch uint64
	// Holder is the incarnation of the daemon that claimed.
	Holder string
	// Witnesses are the incarnations that may attest for the holder.
	Witnesses []string
	// MajorityDuration bounds how long the attestations of a majority of the witnesses, if
	// not of all, may extend a lease after the holder's newest read, by its own clock. It
	// is part of the claim, since later claimants rely on it, and is used only with
	// Timing.AttestedDuration.
	MajorityDuration time.Duration
}

// Entry is the newest claim on a share according to the log. The zero Entry is
// a share that was never claimed.
type Entry struct {
	Tenure
	// Released is set once the holder released the share.
	Released bool
	// Prior lists the earlier tenures, oldest first, that the claimant did not
	// know to be over.
	Prior []Tenure
}

// Protocol holds the parameters of the transitions. Its methods take a
// ShareState and return the changed copy.
type Protocol struct {
	Timing Timing
	faults faults
}

// faults disables single steps of the protocol. Only tests set them, to show
// that the model checker detects the resulting violation.
type faults struct {
	skipWait              bool // make a claim effective as soon as it is read back and consented to
	waitEqualsLease       bool // ignore clock drift
	noWaitAfterConsent    bool // start the takeover wait at the claim, not at the last consent
	noConsent             bool // request no consent
	ignorePromise         bool // attest in spite of a promise
	smallMajority         bool // count half as a majority
	dateReadAtEnd         bool // date a read at its end, not its start
	dateAttestationAtEnd  bool // date an attestation at its arrival, not its request
	trustStalePeerRead    bool // date a peer's read at its arrival
	trustStaleRead        bool // accept a read that ends before the own claim, or shows a later one, as evidence
	forgetPending         bool // count only the new witnesses while a renewal's outcome is unknown
	forgetPrior           bool // wait only for the newest earlier tenure
	renewBeforeEffective  bool // renew a claim that has not become effective
	noWaitAfterEnd        bool // skip the wait if the earlier holder's process ended
	stopIgnoresUses       bool // answer a stop request as if no lease were in use
	forgetStop            bool // accept new evidence after having agreed to stop
	ignoreExpiry          bool // use an expired lease
	matchWitnessByName    bool // match witnesses by daemon name, not incarnation
	attestAfterSuperseded bool // accept attestations after a later claim was seen
	releaseIgnoresUses    bool // release a share while its lease is in use
	drainIgnoresDeferred  bool // drain without waiting for deferred uses
	attestWithoutEnd      bool // extend a lease by attestations however old the newest read is
	majorityAsAll         bool // let a majority attest for as long as all witnesses
	doubtWithoutPromise   bool // rely on the bound for a majority without any promise
	trustForgetful        bool // accept attestations of a witness that restarted since the newest read
	switchWitnessesEarly  bool // use other witnesses before the log is known to have them
}

// majority returns how many of n witnesses form a majority.
func (p Protocol) majority(n int) int {
	if p.faults.smallMajority {
		return n / 2
	}
	return n/2 + 1
}

// blocking returns how many of n witnesses are enough to keep the others from being a
// majority.
func (p Protocol) blocking(n int) int {
	if p.faults.smallMajority {
		return n / 2
	}
	return n - n/2
}

// maxLocalDuration returns how long a duration on another daemon's clock may
// last on this one.
func (p Protocol) maxLocalDuration(d time.Duration) time.Duration {
	if p.faults.waitEqualsLease {
		return d
	}
	ratio := p.Timing.MaxClockRatio
	if ratio == 0 {
		ratio = float64(p.Timing.TakeoverWait) / float64(p.Timing.LeaseDuration)
	}
	return time.Duration(float64(d) * ratio)
}

// takeoverWait returns the wait of a claimant for earlier leases to expire.
func (p Protocol) takeoverWait() time.Duration {
	switch {
	case p.faults.skipWait:
		return 0
	case p.faults.waitEqualsLease:
		return p.Timing.LeaseDuration
	}
	return p.Timing.TakeoverWait
}
