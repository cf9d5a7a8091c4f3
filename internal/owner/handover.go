package owner

import (
	"context"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/ownership"
	"github.com/currantwinch/currantwinch/record"
)

const (
	// leaveReserve is the part of Stop's time that is reserved for the release
	// and leave records.
	leaveReserve = 2 * time.Second
	// stopPollInterval is the interval at which Stop checks whether shares
	// were handed over or may be released.
	stopPollInterval = 50 * time.Millisecond
)

// offerDueMoves offers shares of this daemon to the daemons that should own
// them, once each move has been due for moveDelay. It does nothing unless the
// log is fresh.
func (w *Owner) offerDueMoves(view roles.View, joined daemonIndex) {
	if w.o.State.Health() != logclient.HealthFresh {
		return
	}
	w.sendOffers(joined, w.dueMoves(w.plan(view, joined).moves))
}

// dueMoves returns the moves away from this daemon that have been due for at
// least moveDelay, or all of them while it is leaving.
func (w *Owner) dueMoves(moves []ownership.Move) []ownership.Move {
	now := w.o.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	due := make(map[ownership.Move]time.Time)
	var settled []ownership.Move
	for _, m := range moves {
		if m.From != w.o.Self.Name || !w.claimInForceLocked(m.Share) {
			continue
		}
		since, ok := w.movesDueSince[m]
		if !ok {
			since = now
		}
		due[m] = since
		if w.leaving || now.Sub(since) >= moveDelay {
			settled = append(settled, m)
		}
	}
	w.movesDueSince = due
	return settled
}

// claimInForceLocked reports whether this daemon's claim on a share is
// effective, not superseded and not given up to a later claim. The caller
// holds w.mu.
func (w *Owner) claimInForceLocked(share cluster.Share) bool {
	state := w.shares[share]
	return state.Effective && !state.Superseded && state.Tenure.Epoch >= state.StoppedBelow
}

// sendOffers offers each share to the daemon that should claim it.
func (w *Owner) sendOffers(joined daemonIndex, moves []ownership.Move) {
	offers := make(map[string][]shareEpoch)
	w.mu.Lock()
	for _, m := range moves {
		offers[m.To] = append(offers[m.To], shareEpoch{m.Share, w.shares[m.Share].Tenure.Epoch})
	}
	w.mu.Unlock()
	for name, shares := range offers {
		w.request(joined, methodOffer, joined.byName[name].Incarnation, shares, w.requestTakeover)
	}
}

func (w *Owner) requestTakeover(ctx context.Context, daemon string, r sharesRequest) error {
	var answer sharesResponse
	if err := w.o.Peers.Call(ctx, daemon, methodOffer, r, &answer); err != nil {
		return err
	}
	w.metrics.handedOverShares.Add(len(r.Shares))
	return nil
}

// Stop hands over all shares, holding each until its successor has claimed it,
// and then records that this incarnation ends. Shares that no daemon took in
// time are released, so that the next owner needs no takeover wait. The roles
// that act under leases must have stopped: only effects for which LeaseUntil
// was called may still be pending. Stop returns an error if the leave record
// can't be appended while the log is up.
func (w *Owner) Stop(ctx context.Context) error {
	w.mu.Lock()
	w.leaving = true
	for share, state := range w.shares {
		w.shares[share] = w.protocol.Drain(state)
	}
	w.mu.Unlock()
	deadline := leaveReserve
	if at, ok := ctx.Deadline(); ok {
		deadline = max(0, min(time.Until(at)-leaveReserve, time.Until(at)/2+leaveReserve))
	} else {
		deadline = time.Minute
	}
	handoverCtx, cancel := context.WithTimeout(ctx, deadline)
	w.handOver(handoverCtx)
	cancel()
	err := w.leave(ctx)
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.stop()
	w.background.Wait()
	return err
}

// handOver offers all shares until this daemon holds none, there is no
// candidate, or ctx ends.
func (w *Owner) handOver(ctx context.Context) {
	for w.holdsAnyShare() {
		view := w.o.State.View()
		joined := w.joinedDaemons(view)
		live := w.Live()
		placements := w.assignments(view, live)
		candidates := w.candidates(live, joined, placements)
		if len(candidates) == 0 {
			return
		}
		moves := ownership.Plan(placements, candidates)
		w.sendOffers(joined, w.movesOfHeldShares(moves))
		if !duty.Sleep(ctx, stopPollInterval) {
			return
		}
	}
}

// movesOfHeldShares drops the moves of shares that this daemon doesn't hold.
func (w *Owner) movesOfHeldShares(moves []ownership.Move) []ownership.Move {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(moves, func(m ownership.Move) bool { return !w.claimInForceLocked(m.Share) })
}

// holdsAnyShare reports whether this daemon has a lease on any share or a
// claim whose outcome is unknown.
func (w *Owner) holdsAnyShare() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for _, state := range w.shares {
		if _, ok := w.protocol.Lease(state, now); ok || state.Pending.Epoch != 0 {
			return true
		}
	}
	return false
}

// leave releases the remaining shares and records that this incarnation ends.
// While the log is down the end can't be recorded: other daemons learn of it
// from the platform's list and claim the shares when the log is back.
func (w *Owner) leave(ctx context.Context) error {
	self := w.o.Self
	w.mu.Lock()
	joined := w.joined
	w.mu.Unlock()
	if !joined {
		return nil
	}
	var records []record.Record
	if r := w.release(ctx); len(r.Shares) > 0 {
		records = append(records, record.Record{Key: "release/" + self.Incarnation, Kind: record.KindRelease, Release: &r})
	}
	w.mu.Lock()
	w.ending = true
	w.mu.Unlock()
	records = append(records, record.Record{Key: "leave/" + self.Incarnation, Kind: record.KindLeave, Leave: &record.Leave{
		Name: self.Name, Incarnation: self.Incarnation, By: self.Name,
	}})
	_, err := w.o.Log.Append(ctx, w.o.SystemCredential, records...)
	if err != nil && w.o.State.Health() == logclient.HealthDown {
		w.o.Events.Log(events.OwnershipAppendFailed, "key", records[0].Key, "error", err)
		return nil
	}
	return err
}

// release stops using every held share and lists those whose uses can have no
// further effect. It waits for the others until half of leaveReserve is left
// of ctx.
func (w *Owner) release(ctx context.Context) record.Release {
	r := record.Release{Name: w.o.Self.Name, Incarnation: w.o.Self.Incarnation}
	for {
		ready, waiting := w.releasable()
		if waiting == 0 || !duty.Sleep(ctx, stopPollInterval) {
			r.Shares = ready
			return r
		}
		if at, ok := ctx.Deadline(); ok && time.Until(at) < leaveReserve/2 {
			r.Shares = ready
			return r
		}
	}
}

func (w *Owner) releasable() (ready []record.ShareEpoch, waiting int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for share, state := range w.shares {
		if !state.Effective || state.Superseded {
			continue
		}
		state, ok := w.protocol.PrepareRelease(state, now)
		w.shares[share] = state
		if ok {
			ready = append(ready, record.ShareEpoch{Share: share, Epoch: state.Tenure.Epoch})
		} else {
			waiting++
		}
	}
	slices.SortFunc(ready, func(a, b record.ShareEpoch) int { return compareShares(a.Share, b.Share) })
	return ready, waiting
}
