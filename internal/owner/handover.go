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
	// leaveTimeout is kept of Stop's time for releases and the leave record.
	leaveTimeout = 2 * time.Second
	// stopTurn is the time between two looks while Stop waits.
	stopTurn = 50 * time.Millisecond
)

// offerDue offers shares of this daemon to the daemons that should own them,
// once that has been so for a while.
func (w *Owner) offerDue(view roles.View, joined daemons) {
	if w.o.State.Health() != logclient.HealthFresh {
		return
	}
	w.offerTo(joined, w.settled(w.plan(view, joined).moves))
}

// settled returns the moves away from this daemon that have been due for long.
func (w *Owner) settled(moves []ownership.Move) []ownership.Move {
	now := w.o.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	due := make(map[ownership.Move]time.Time)
	var settled []ownership.Move
	for _, m := range moves {
		if m.From != w.o.Self.Name || !w.heldLocked(m.Share) {
			continue
		}
		since, ok := w.due[m]
		if !ok {
			since = now
		}
		due[m] = since
		if w.leaving || now.Sub(since) >= settleTime {
			settled = append(settled, m)
		}
	}
	w.due = due
	return settled
}

// heldLocked reports whether this daemon's claim for a share stands.
func (w *Owner) heldLocked(share cluster.Share) bool {
	part := w.parts[share]
	return part.Effective && !part.Superseded && part.Tenure.Epoch >= part.StoppedBelow
}

// offerTo tells each daemon which shares to claim.
func (w *Owner) offerTo(joined daemons, moves []ownership.Move) {
	offers := make(map[string][]shareEpoch)
	w.mu.Lock()
	for _, m := range moves {
		offers[m.To] = append(offers[m.To], shareEpoch{m.Share, w.parts[m.Share].Tenure.Epoch})
	}
	w.mu.Unlock()
	for name, shares := range offers {
		w.ask(joined, methodOffer, joined.byName[name].Incarnation, shares, w.askOffer)
	}
}

func (w *Owner) askOffer(ctx context.Context, daemon string, r sharesRequest) error {
	var answer sharesAnswer
	if err := w.o.Peers.Call(ctx, daemon, methodOffer, r, &answer); err != nil {
		return err
	}
	w.metrics.handedOver.Add(len(r.Shares))
	return nil
}

// Stop hands all shares over, holding each until its successor does, and
// leaves. What nobody took by the end of ctx is released. The roles that act
// under rights must have stopped: of what they did, only what LeaseUntil was
// asked for may still be under way.
func (w *Owner) Stop(ctx context.Context) error {
	w.mu.Lock()
	w.leaving = true
	for share, part := range w.parts {
		w.parts[share] = w.protocol.Drain(part)
	}
	w.mu.Unlock()
	deadline := leaveTimeout
	if at, ok := ctx.Deadline(); ok {
		deadline = max(0, min(time.Until(at)-leaveTimeout, time.Until(at)/2+leaveTimeout))
	} else {
		deadline = time.Minute
	}
	handCtx, cancel := context.WithTimeout(ctx, deadline)
	w.handOver(handCtx)
	cancel()
	err := w.leave(ctx)
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.stop()
	w.calls.Wait()
	return err
}

// handOver offers all shares until none is acted for here or ctx ends.
func (w *Owner) handOver(ctx context.Context) {
	for w.holdsAny() {
		view := w.o.State.View()
		joined := w.daemonsOf(view)
		live := w.Live()
		placements := w.placements(view, live)
		candidates := w.candidates(live, joined, placements)
		if len(candidates) == 0 {
			return
		}
		moves := ownership.Plan(placements, candidates)
		w.offerTo(joined, w.toLeave(moves))
		if !duty.Sleep(ctx, stopTurn) {
			return
		}
	}
}

// toLeave returns the moves of shares that this daemon's claim stands for.
func (w *Owner) toLeave(moves []ownership.Move) []ownership.Move {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(moves, func(m ownership.Move) bool { return !w.heldLocked(m.Share) })
}

// holdsAny reports whether this daemon may act for any share or waits for a
// claim's fate.
func (w *Owner) holdsAny() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for _, part := range w.parts {
		if _, ok := w.protocol.Lease(part, now); ok || part.Pending.Epoch != 0 {
			return true
		}
	}
	return false
}

// leave releases what is left and records that this incarnation ends. While
// the log is down that cannot be recorded: the others learn of the end from the
// platform's list, and claim the shares when the log is back.
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
	w.left = true
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

// release ends this daemon's part in every share it holds and lists those that
// nothing done for can still take effect, at the latest when ctx ends.
func (w *Owner) release(ctx context.Context) record.Release {
	r := record.Release{Name: w.o.Self.Name, Incarnation: w.o.Self.Incarnation}
	for {
		ready, waiting := w.releasable()
		if waiting == 0 || !duty.Sleep(ctx, stopTurn) {
			r.Shares = ready
			return r
		}
		if at, ok := ctx.Deadline(); ok && time.Until(at) < leaveTimeout/2 {
			r.Shares = ready
			return r
		}
	}
}

func (w *Owner) releasable() (ready []record.ShareEpoch, waiting int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for share, part := range w.parts {
		if !part.Effective || part.Superseded {
			continue
		}
		part, ok := w.protocol.PrepareRelease(part, now)
		w.parts[share] = part
		if ok {
			ready = append(ready, record.ShareEpoch{Share: share, Epoch: part.Tenure.Epoch})
		} else {
			waiting++
		}
	}
	slices.SortFunc(ready, func(a, b record.ShareEpoch) int { return compareShares(a.Share, b.Share) })
	return ready, waiting
}
