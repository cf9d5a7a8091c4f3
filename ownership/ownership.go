// Package ownership decides when a daemon may act for a share. A share has
// one owner at a time, by claims whose order is that of a log. The package is
// pure: it does no I/O, and time is passed in. The same functions run in a
// daemon and in the exhaustive exploration of this package's tests.
//
// A holder may act as long as it has recent evidence that no later claim
// existed: a read of the log, a read that a peer made after being asked, or
// vouchers from a majority of the witnesses named in its claim. A claimant
// may act once every earlier tenure is certainly over: its holder said so, or
// it can get no new evidence and the evidence it had has run out.
package ownership

import (
	"time"

	"github.com/pkg/errors"
)

// Instant is a reading of one process's monotonic clock. Readings of two
// processes are never compared. The zero Instant must lie longer ago than any
// right lasts.
type Instant time.Duration

// Add returns i + d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns i - o.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// MaxClockDrift is how far the rate of any clock may be off real time.
const MaxClockDrift = 0.02

// Timing holds the protocol's durations.
type Timing struct {
	// LeaseDuration is how long a holder may act after its newest evidence.
	LeaseDuration time.Duration
	// TakeoverWait is how long a claimant waits for the evidence of others to run out.
	TakeoverWait time.Duration
	// HandoverLease is how long a holder that is finished goes on acting after any
	// instant: at most that is left of its right when a successor asks.
	HandoverLease time.Duration
}

// DefaultTiming is what a daemon runs with.
var DefaultTiming = Timing{
	LeaseDuration: 3 * time.Second,
	TakeoverWait:  3200 * time.Millisecond,

	HandoverLease: 200 * time.Millisecond,
}

// Validate fails unless Wait outlasts Right on any two clocks.
func (t Timing) Validate() error {
	longest := time.Duration(float64(t.LeaseDuration) * (1 + MaxClockDrift) / (1 - MaxClockDrift))
	if t.LeaseDuration <= 0 || t.TakeoverWait <= longest {
		return errors.Errorf("a wait of %v does not outlast a right of %v", t.TakeoverWait, t.LeaseDuration)
	}
	if t.HandoverLease <= 0 || t.HandoverLease > t.LeaseDuration {
		return errors.Errorf("an effect of %v does not fit into a right of %v", t.HandoverLease, t.LeaseDuration)
	}
	return nil
}

// Tenure is one granted claim on a share.
type Tenure struct {
	Epoch uint64
	// Holder is the incarnation of the daemon that claimed.
	Holder string
	// Witnesses are the incarnations that may vouch for the holder.
	Witnesses []string
}

// Entry is the newest claim on a share, as read from the log. The zero Entry
// is a share that was never claimed.
type Entry struct {
	Tenure
	// Released is set once the holder gave the share up.
	Released bool
	// Prior lists earlier tenures that the claimant did not know to be over.
	Prior []Tenure
}

// Protocol holds what the transitions depend on.
type Protocol struct {
	Timing Timing
	faults faults
}

// faults turns single steps of the protocol off. Only tests set them, to
// show that the exploration notices.
type faults struct {
	skipWait           bool // act as soon as the claim is read back and consented to
	waitEqualsRight    bool // ignore that clocks run at different rates
	noWaitAfterConsent bool // count the wait from the claim alone
	noConsent          bool // ask no witness
	ignorePromise      bool // vouch in spite of a promise
	smallMajority      bool // take half for a majority
	dateReadAtEnd      bool // date a read at its end
	dateVoucherAtEnd   bool // date a voucher at its arrival
	acceptOldWord      bool // take any read of a peer for evidence as of now
	trustStaleRead     bool // take a read that ends before the own claim, or shows a later one, for evidence
	forgetPending      bool // ask only the new witnesses while a renewal's fate is unknown
	forgetPrior        bool // ask only the newest predecessor's witnesses
	waitingRenews      bool // renew a claim that has not become effective
	endedNeedsNoWait   bool // act at once after a process that ended
	stopBeforeEffects  bool // say that nothing is left while effects are under way
	stopForgotten      bool // take new evidence after having agreed to stop
	ignoreExpiry       bool // act on a right that has run out
	restartedWitness   bool // know a witness by its name
	supersededCounts   bool // count vouchers anew once a renewal was overtaken
	releaseBeforeEnd   bool // release while effects are under way
	finishForgetsLate  bool // finish in spite of effects that may come late
}

// majority returns how many of n witnesses decide.
func (p Protocol) majority(n int) int {
	if p.faults.smallMajority {
		return n / 2
	}
	return n/2 + 1
}

// stretch returns how long by this clock a duration by another may last.
func (p Protocol) stretch(d time.Duration) time.Duration {
	if p.faults.waitEqualsRight {
		return d
	}
	return time.Duration(float64(d) * float64(p.Timing.TakeoverWait) / float64(p.Timing.LeaseDuration))
}

func (p Protocol) wait() time.Duration {
	switch {
	case p.faults.skipWait:
		return 0
	case p.faults.waitEqualsRight:
		return p.Timing.LeaseDuration
	}
	return p.Timing.TakeoverWait
}
