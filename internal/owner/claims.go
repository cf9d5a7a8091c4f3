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
	// maxWitnesses bounds the witnesses of a claim.
	maxWitnesses = 15
	// renewAfter is how long the witnesses of a held claim must differ from
	// the daemons that there are before it is renewed.
	renewAfter = 5 * time.Second
	// stuckAfter is how long beyond its wait a claim may go without the
	// consents that it needs before that is logged.
	stuckAfter = 10 * time.Second
	// retryWait is the first wait before an append is tried again.
	retryWait = 200 * time.Millisecond
)

// claimLocked claims the wanted shares by one record.
func (w *Owner) claimLocked(view roles.View, joined daemons, wanted map[cluster.Share]bool, renewal bool) {
	witnesses := joined.incarnations()
	if len(witnesses) > maxWitnesses {
		witnesses = witnesses[:maxWitnesses]
	}
	claim := &record.Claim{Name: w.o.Self.Name, Incarnation: w.o.Self.Incarnation, Witnesses: witnesses}
	for _, share := range sortedShares(wanted) {
		part, e := w.parts[share], entry(view, share)
		own := e.Holder == w.o.Self.Incarnation && !e.Released
		if own != renewal || !w.protocol.MayClaim(part, w.o.Self.Incarnation, e) {
			continue
		}
		part, tenure, prior := w.protocol.PrepareClaim(part, w.o.Self.Incarnation, e, witnesses, joined.ended)
		w.parts[share] = part
		claim.Shares = append(claim.Shares, record.ShareEpoch{Share: share, Epoch: tenure.Epoch, Prior: records(prior)})
	}
	if len(claim.Shares) == 0 {
		return
	}
	w.sequence++
	w.metrics.claims.Inc()
	key := fmt.Sprintf("claim/%s/%d", w.o.Self.Incarnation, w.sequence)
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

func records(tenures []ownership.Tenure) []record.Tenure {
	var out []record.Tenure
	for _, t := range tenures {
		out = append(out, record.Tenure{Epoch: t.Epoch, Incarnation: t.Holder, Witnesses: t.Witnesses})
	}
	return out
}

// appendClaim appends a claim and tries again under the same key until the
// view shows what became of it. Only a claim that certainly is not in the log
// is given up.
func (w *Owner) appendClaim(ctx context.Context, r record.Record) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = retryWait
	for ctx.Err() == nil && w.undecided(r) {
		err := w.append(ctx, r)
		if err != nil && verdict.Of(err) == verdict.NotRun {
			w.mu.Lock()
			for _, s := range r.Claim.Shares {
				w.parts[s.Share] = w.protocol.DropPending(w.parts[s.Share], s.Epoch)
			}
			w.mu.Unlock()
			return
		}
		if err == nil {
			w.awaitView(ctx, r)
			continue
		}
		duty.Sleep(ctx, wait.NextBackOff())
	}
}

// awaitView waits for the view to reach a record that is in the log.
func (w *Owner) awaitView(ctx context.Context, r record.Record) {
	for ctx.Err() == nil && w.undecided(r) {
		changed := w.o.State.Changed()
		w.observeAll(0)
		if !w.undecided(r) {
			w.poke()
			return
		}
		duty.SleepOr(ctx, appendTimeout, changed)
	}
}

// undecided reports whether the view does not yet show a claim's fate.
func (w *Owner) undecided(r record.Record) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(r.Claim.Shares, func(s record.ShareEpoch) bool {
		return w.parts[s.Share].Pending.Epoch == s.Epoch
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

// keeperDuty joins, records the end of others, renews claims whose witnesses
// changed, and offers shares that should move.
func (w *Owner) keeperDuty(ctx context.Context, turn duty.Turn) error {
	for {
		turn()
		view := w.o.State.View()
		joined := w.daemonsOf(view)
		if err := w.keepJoined(joined); err != nil {
			return err
		}
		w.recordGone(joined)
		w.renew(view, joined)
		w.offerDue(view, joined)
		w.reportStuck()
		if !duty.Sleep(ctx, keeperInterval) {
			return nil
		}
	}
}

// reportStuck logs, once each, the claims that have waited for long.
func (w *Owner) reportStuck() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for share, part := range w.parts {
		if len(part.Prior) == 0 || part.Superseded || now < part.WaitUntil.Add(stuckAfter) || w.stuck[share] == part.Tenure.Epoch {
			continue
		}
		w.stuck[share] = part.Tenure.Epoch
		w.o.Events.Log(events.ShareClaimPending, "share", share.String(), "epoch", part.Tenure.Epoch, "tenures", len(part.Prior))
	}
}

// errDeclaredGone ends the process: an incarnation that has ended by the log
// may neither hold nor vouch.
var errDeclaredGone = verdict.New(verdict.NotRun, reasonEnded, "the log says that this incarnation has ended")

func (w *Owner) keepJoined(joined daemons) error {
	is := !joined.ended(w.o.Self.Incarnation)
	w.mu.Lock()
	was, leaving := w.joined, w.leaving
	w.joined = w.joined || is
	w.mu.Unlock()
	if was && !is && !leaving {
		w.o.Events.Log(events.SelfRemoved, "incarnation", w.o.Self.Incarnation)
		return errDeclaredGone
	}
	if !is && !was && !leaving {
		self := w.o.Self
		w.appendOnce("join/"+self.Incarnation, record.Record{Kind: record.KindJoin, Join: &record.Join{Daemon: self}})
	}
	return nil
}

// appendOnce appends a record unless an append under its key is under way.
func (w *Owner) appendOnce(key string, r record.Record) {
	r.Key = key
	ask := askKey{"append", key}
	w.mu.Lock()
	busy := w.asking[ask]
	w.asking[ask] = true
	w.mu.Unlock()
	if busy {
		return
	}
	w.spawn(func(ctx context.Context) {
		if err := w.append(ctx, r); err != nil {
			duty.Sleep(ctx, retryWait)
		} else {
			duty.Sleep(ctx, keeperInterval)
		}
		w.mu.Lock()
		delete(w.asking, ask)
		w.mu.Unlock()
	})
}

// recordGone records the end of daemons that are silent and off the list for
// long. The living daemon with the lowest name does it.
func (w *Owner) recordGone(joined daemons) {
	live := w.Live()
	if live[0].Daemon.Name != w.o.Self.Name {
		return
	}
	now := w.o.Now()
	w.mu.Lock()
	var gone []cluster.Daemon
	if w.joined && !w.leaving && len(w.vms) > 0 {
		for _, d := range joined.byName {
			if d.Name != w.o.Self.Name && w.table.MayRemove(d.Name, w.origin, now) {
				gone = append(gone, d)
			}
		}
	}
	w.mu.Unlock()
	for _, d := range gone {
		w.o.Events.Log(events.DaemonRemovalRecorded, "daemon", d.Name, "incarnation", d.Incarnation)
		w.appendOnce("leave/"+d.Incarnation, record.Record{Kind: record.KindLeave, Leave: &record.Leave{
			Name: d.Name, Incarnation: d.Incarnation, By: w.o.Self.Name,
		}})
	}
}

// renew claims held shares anew where their witnesses are not the daemons that
// there are, or where the claim still names earlier tenures.
func (w *Owner) renew(view roles.View, joined daemons) {
	want := joined.incarnations()
	if len(want) > maxWitnesses {
		want = want[:maxWitnesses]
	}
	now := w.o.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	due := make(map[cluster.Share]bool)
	for share, part := range w.parts {
		if !part.Effective || part.Superseded || part.Pending.Epoch != 0 {
			continue
		}
		if !slices.Equal(part.Tenure.Witnesses, want) || len(entry(view, share).Prior) > 0 {
			due[share] = true
		}
	}
	if len(due) == 0 || w.leaving {
		w.witnessesOff = time.Time{}
		return
	}
	if w.witnessesOff.IsZero() {
		w.witnessesOff = now
	}
	if now.Sub(w.witnessesOff) >= renewAfter {
		w.claimLocked(view, joined, due, true)
		w.witnessesOff = time.Time{}
	}
}
