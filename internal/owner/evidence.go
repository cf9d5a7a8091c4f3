package owner

import (
	"context"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/ownership"
)

// evidenceDuty asks other daemons for evidence while this daemon's own reads
// of the log bring none.
func (w *Owner) evidenceDuty(ctx context.Context, turn duty.Heartbeat) error {
	for duty.Sleep(ctx, evidenceCheckInterval) {
		turn()
		w.refreshEvidence()
	}
	return nil
}

// refreshEvidence asks the live daemons to read the log, and the witnesses to
// attest, for the shares whose evidence is older than evidenceStaleAfter.
func (w *Owner) refreshEvidence() {
	stale, witnesses := w.staleShares()
	if len(stale) == 0 {
		return
	}
	joined := w.joinedDaemons(w.o.State.View())
	for _, m := range w.Live() {
		if m.Daemon.Name != w.o.Self.Name {
			w.request(joined, methodRead, m.Daemon.Incarnation, stale, w.requestPeerRead)
		}
	}
	for incarnation := range witnesses {
		w.request(joined, methodAttest, incarnation, stale, w.requestAttestation)
	}
}

// staleShares returns the held shares whose evidence is older than
// evidenceStaleAfter, and the witnesses of their claims.
func (w *Owner) staleShares() (stale []shareEpoch, witnesses map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	witnesses = make(map[string]bool)
	for share, state := range w.shares {
		if !state.Effective || state.Superseded || state.Tenure.Epoch < state.StoppedBelow {
			continue
		}
		until, _ := w.protocol.Lease(state, now)
		if until.Sub(now) > w.protocol.Timing.LeaseDuration-evidenceStaleAfter {
			continue
		}
		stale = append(stale, shareEpoch{share, state.Tenure.Epoch})
		for _, names := range [][]string{state.Tenure.Witnesses, state.Pending.Witnesses} {
			for _, n := range names {
				witnesses[n] = true
			}
		}
	}
	return stale, witnesses
}

func (w *Owner) requestPeerRead(ctx context.Context, daemon string, r sharesRequest) error {
	return w.requestEvidence(ctx, daemon, methodRead, r, func(state ownership.ShareState, epoch uint64, asked, now ownership.Instant) ownership.ShareState {
		return w.protocol.ApplyPeerRead(state, epoch, asked, now)
	})
}

func (w *Owner) requestAttestation(ctx context.Context, daemon string, r sharesRequest) error {
	return w.requestEvidence(ctx, daemon, methodAttest, r, func(state ownership.ShareState, epoch uint64, asked, now ownership.Instant) ownership.ShareState {
		return w.protocol.ApplyAttestation(state, r.To, epoch, asked, now)
	})
}

// requestEvidence sends a request about shares and applies each positive
// answer. Evidence is dated at the time of the request.
func (w *Owner) requestEvidence(ctx context.Context, daemon, method string, r sharesRequest, apply func(ownership.ShareState, uint64, ownership.Instant, ownership.Instant) ownership.ShareState) error {
	askedAt := w.now()
	var answer sharesResponse
	if err := w.o.Peers.Call(ctx, daemon, method, r, &answer); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for i, yes := range answer.Yes {
		if yes && i < len(r.Shares) {
			s := r.Shares[i]
			w.shares[s.Share] = apply(w.shares[s.Share], s.Epoch, askedAt, now)
		}
	}
	return nil
}
