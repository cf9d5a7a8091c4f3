package owner

import (
	"context"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/ownership"
)

// evidenceDuty asks others for evidence while this daemon's own reads of the
// log bring none.
func (w *Owner) evidenceDuty(ctx context.Context, turn duty.Heartbeat) error {
	for duty.Sleep(ctx, evidenceInterval) {
		turn()
		w.seekEvidence()
	}
	return nil
}

// seekEvidence asks the daemons alive to read the log, and the witnesses to
// vouch, for the shares whose evidence grows old.
func (w *Owner) seekEvidence() {
	stale, witnesses := w.staleShares()
	if len(stale) == 0 {
		return
	}
	joined := w.daemonsOf(w.o.State.View())
	for _, m := range w.Live() {
		if m.Daemon.Name != w.o.Self.Name {
			w.ask(joined, methodRead, m.Daemon.Incarnation, stale, w.askRead)
		}
	}
	for incarnation := range witnesses {
		w.ask(joined, methodVouch, incarnation, stale, w.askVouch)
	}
}

func (w *Owner) staleShares() (stale []shareEpoch, witnesses map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	witnesses = make(map[string]bool)
	for share, part := range w.parts {
		if !part.Effective || part.Superseded || part.Tenure.Epoch < part.StoppedBelow {
			continue
		}
		until, _ := w.protocol.Lease(part, now)
		if until.Sub(now) > w.protocol.Timing.LeaseDuration-staleAfter {
			continue
		}
		stale = append(stale, shareEpoch{share, part.Tenure.Epoch})
		for _, names := range [][]string{part.Tenure.Witnesses, part.Pending.Witnesses} {
			for _, n := range names {
				witnesses[n] = true
			}
		}
	}
	return stale, witnesses
}

func (w *Owner) askRead(ctx context.Context, daemon string, r sharesRequest) error {
	return w.askEvidence(ctx, daemon, methodRead, r, func(part ownership.ShareState, epoch uint64, asked, now ownership.Instant) ownership.ShareState {
		return w.protocol.ApplyPeerRead(part, epoch, asked, now)
	})
}

func (w *Owner) askVouch(ctx context.Context, daemon string, r sharesRequest) error {
	return w.askEvidence(ctx, daemon, methodVouch, r, func(part ownership.ShareState, epoch uint64, asked, now ownership.Instant) ownership.ShareState {
		return w.protocol.ApplyAttestation(part, r.To, epoch, asked, now)
	})
}

// askEvidence asks a question about shares and applies each yes, dated at the
// asking.
func (w *Owner) askEvidence(ctx context.Context, daemon, method string, r sharesRequest, apply func(ownership.ShareState, uint64, ownership.Instant, ownership.Instant) ownership.ShareState) error {
	asked := w.now()
	var answer sharesAnswer
	if err := w.o.Peers.Call(ctx, daemon, method, r, &answer); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for i, yes := range answer.Yes {
		if yes && i < len(r.Shares) {
			s := r.Shares[i]
			w.parts[s.Share] = apply(w.parts[s.Share], s.Epoch, asked, now)
		}
	}
	return nil
}
