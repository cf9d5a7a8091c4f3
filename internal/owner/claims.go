package owner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/ownership"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	// maxWitnesses bounds the witnesses named in a claim.
	maxWitnesses = 15
	// witnessChangeDelay is how long the witnesses of a held claim must differ
	// from the joined daemons before the claim is renewed with the current
	// ones.
	witnessChangeDelay = 5 * time.Second
	// stuckClaimAfter is how long after its takeover wait a claim that still
	// lacks consents is logged as stuck.
	stuckClaimAfter = 10 * time.Second
	// appendRetryWait is the initial backoff between attempts to append a
	// claim, and the pause after a failed append of another record.
	appendRetryWait = 200 * time.Millisecond
)

// claimLocked appends one record that claims the wanted shares. With renewal
// set it claims only shares that this incarnation holds, and otherwise only
// shares that it doesn't hold. The caller holds w.mu.
func (w *Owner) claimLocked(view roles.View, joined daemonIndex, wanted map[cluster.Share]bool, renewal bool) {
	witnesses := joined.incarnations()
	if len(witnesses) > maxWitnesses {
		witnesses = witnesses[:maxWitnesses]
	}
	claim := &record.Claim{Name: w.o.Self.Name, Incarnation: w.o.Self.Incarnation, Witnesses: witnesses}
	for _, share := range sortedShares(wanted) {
		state, e := w.shares[share], entry(view, share)
		own := e.Holder == w.o.Self.Incarnation && !e.Released
		if own != renewal || !w.protocol.MayClaim(state, w.o.Self.Incarnation, e) {
			continue
		}
		state, tenure, prior := w.protocol.PrepareClaim(state, w.o.Self.Incarnation, e, witnesses, joined.ended)
		w.shares[share] = state
		claim.Shares = append(claim.Shares, record.ShareEpoch{Share: share, Epoch: tenure.Epoch, Prior: tenureRecords(prior)})
	}
	if len(claim.Shares) == 0 {
		return
	}
	w.claimSequence++
	w.metrics.claims.Inc()
	key := fmt.Sprintf("claim/%s/%d", w.o.Self.Incarnation, w.claimSequence)
	w.o.Events.Log(events.SharesClaimed, "shares", len(claim.Shares), "first", claim.Shares[0].Share.String(), "renewal", renewal)
	r := record.Record{Key: key, Kind: record.KindClaim, Claim: claim}
	go w.spawn(func(ctx context.Context) { w.appendClaim(ctx, r) })
}

func sortedShares(set map[cluster.Share]bool) []cluster.Share {
	shares := make([]cluster.Share, 0, len(set))
	for s := range set {
		shares = append(shares, s)
	}
	slices.SortFunc(shares, compareShares)
	return shares
}

func tenureRecords(tenures []ownership.Tenure) []record.Tenure {
	var out []record.Tenure
	for _, t := range tenures {
		out = append(out, record.Tenure{Epoch: t.Epoch, Incarnation: t.Holder, Witnesses: t.Witnesses})
	}
	return out
}

// appendClaim appends a claim and retries under the same key until the view
// shows the outcome. It gives up only if the claim is certainly not in the
// log.
func (w *Owner) appendClaim(ctx context.Context, r record.Record) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = appendRetryWait
	for ctx.Err() == nil && w.outcomeUnknown(r) {
		err := w.append(ctx, r)
		if err != nil && verdict.Of(err) == verdict.NotRun {
			w.mu.Lock()
			for _, s := range r.Claim.Shares {
				w.shares[s.Share] = w.protocol.DropPending(w.shares[s.Share], s.Epoch)
			}
			w.mu.Unlock()
			return
		}
		if err == nil {
			w.waitForView(ctx, r)
			continue
		}
		duty.Sleep(ctx, wait.NextBackOff())
	}
}

// waitForView waits until the view shows the outcome of a claim that is in the
// log.
func (w *Owner) waitForView(ctx context.Context, r record.Record) {
	for ctx.Err() == nil && w.outcomeUnknown(r) {
		changed := w.o.State.Changed()
		w.applyView(0)
		if !w.outcomeUnknown(r) {
			w.wakeShares()
			return
		}
		duty.SleepOrWake(ctx, appendTimeout, changed)
	}
}

// outcomeUnknown reports whether the view doesn't show yet whether a claim was
// granted.
func (w *Owner) outcomeUnknown(r record.Record) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(r.Claim.Shares, func(s record.ShareEpoch) bool {
		return w.shares[s.Share].Pending.Epoch == s.Epoch
	})
}

func (w *Owner) append(ctx context.Context, r record.Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := w.o.Log.Append(ctx, w.o.SystemCredential, r)
	if err != nil && ctx.Err() == nil {
		w.o.Events.Log(events.OwnershipAppendFailed, "key", r.Key, "error", err)
	}
	return err
}

// maintenanceDuty appends this daemon's join, records the end of other
// daemons, renews claims whose witnesses changed, and offers shares that
// should move to another daemon.
func (w *Owner) maintenanceDuty(ctx context.Context, turn duty.Heartbeat) error {
	for {
		turn()
		view := w.o.State.View()
		joined := w.joinedDaemons(view)
		if err := w.ensureJoined(joined); err != nil {
			return err
		}
		w.recordEndedDaemons(joined)
		w.renewClaims(view, joined)
		w.offerDueMoves(view, joined)
		w.logStuckClaims()
		if !duty.Sleep(ctx, maintenanceInterval) {
			return nil
		}
	}
}

// logStuckClaims logs each claim once that has waited for consents for longer
// than stuckClaimAfter.
func (w *Owner) logStuckClaims() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for share, state := range w.shares {
		if len(state.Prior) == 0 || state.Superseded || now < state.WaitUntil.Add(stuckClaimAfter) || w.stuckLogged[share] == state.Tenure.Epoch {
			continue
		}
		w.stuckLogged[share] = state.Tenure.Epoch
		w.o.Events.Log(events.ShareClaimPending, "share", share.String(), "epoch", state.Tenure.Epoch, "tenures", len(state.Prior))
	}
}

// errIncarnationEnded ends the process: an incarnation whose end is recorded
// in the log may neither hold shares nor attest for other holders.
var errIncarnationEnded = verdict.New(verdict.NotRun, reasonIncarnationEnded, "the log says that this incarnation has ended")

// ensureJoined appends this daemon's join record until the view shows it. It
// returns errIncarnationEnded if the log records the end of this incarnation.
func (w *Owner) ensureJoined(joined daemonIndex) error {
	joinedNow := !joined.ended(w.o.Self.Incarnation)
	w.mu.Lock()
	joinedBefore, leaving := w.joined, w.leaving
	w.joined = w.joined || joinedNow
	w.mu.Unlock()
	if joinedBefore && !joinedNow && !leaving {
		w.o.Events.Log(events.SelfRemoved, "incarnation", w.o.Self.Incarnation)
		return errIncarnationEnded
	}
	if !joinedNow && !joinedBefore && !leaving {
		self := w.o.Self
		w.appendOnce("join/"+self.Incarnation, record.Record{Kind: record.KindJoin, Join: &record.Join{Daemon: self}})
	}
	return nil
}

// appendOnce appends a record unless an append under the same key is in
// progress.
func (w *Owner) appendOnce(key string, r record.Record) {
	r.Key = key
	ask := requestKey{"append", key}
	w.mu.Lock()
	busy := w.inFlight[ask]
	w.inFlight[ask] = true
	w.mu.Unlock()
	if busy {
		return
	}
	w.spawn(func(ctx context.Context) {
		if err := w.append(ctx, r); err != nil {
			duty.Sleep(ctx, appendRetryWait)
		} else {
			duty.Sleep(ctx, maintenanceInterval)
		}
		w.mu.Lock()
		delete(w.inFlight, ask)
		w.mu.Unlock()
	})
}

// recordEndedDaemons appends a leave record for each daemon that sent no
// heartbeat and wasn't on the platform's list for the removal timeout. Only
// the live daemon with the lowest name does so.
func (w *Owner) recordEndedDaemons(joined daemonIndex) {
	live := w.Live()
	if live[0].Daemon.Name != w.o.Self.Name {
		return
	}
	now := w.o.Now()
	w.mu.Lock()
	var ended []cluster.Daemon
	if w.joined && !w.leaving && len(w.vms) > 0 {
		for _, d := range joined.byName {
			if d.Name != w.o.Self.Name && w.detector.MayRemove(d.Name, w.startedAt, now) {
				ended = append(ended, d)
			}
		}
	}
	w.mu.Unlock()
	for _, d := range ended {
		w.o.Events.Log(events.DaemonRemovalRecorded, "daemon", d.Name, "incarnation", d.Incarnation)
		w.appendOnce("leave/"+d.Incarnation, record.Record{Kind: record.KindLeave, Leave: &record.Leave{
			Name: d.Name, Incarnation: d.Incarnation, By: w.o.Self.Name,
		}})
	}
}

// renewClaims claims held shares again if their witnesses differ from the
// joined daemons, or if the claim still names earlier tenures.
func (w *Owner) renewClaims(view roles.View, joined daemonIndex) {
	want := joined.incarnations()
	if len(want) > maxWitnesses {
		want = want[:maxWitnesses]
	}
	now := w.o.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	due := make(map[cluster.Share]bool)
	for share, state := range w.shares {
		if !state.Effective || state.Superseded || state.Pending.Epoch != 0 {
			continue
		}
		if !slices.Equal(state.Tenure.Witnesses, want) || len(entry(view, share).Prior) > 0 {
			due[share] = true
		}
	}
	if len(due) == 0 || w.leaving {
		w.witnessesChangedAt = time.Time{}
		return
	}
	if w.witnessesChangedAt.IsZero() {
		w.witnessesChangedAt = now
	}
	if now.Sub(w.witnessesChangedAt) >= witnessChangeDelay {
		w.claimLocked(view, joined, due, true)
		w.witnessesChangedAt = time.Time{}
	}
}
