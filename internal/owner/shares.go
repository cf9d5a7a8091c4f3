package owner

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/ownership"
)

// onLogRead uses a read of the log that reached the head as evidence.
func (w *Owner) onLogRead(startedAt time.Time, _ uint64) {
	w.applyView(w.instant(startedAt))
	w.wakeShares()
}

// applyView applies the view to the state of every share. The zero Instant for
// dated means that the view is no new evidence.
func (w *Owner) applyView(dated ownership.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	view := w.o.State.View()
	now := w.now()
	for share, state := range w.shares {
		if state.Tenure.Epoch != 0 || state.Pending.Epoch != 0 {
			w.shares[share] = w.protocol.ApplyRead(state, w.o.Self.Incarnation, entry(view, share), dated, now)
		}
	}
}

// sharesDuty follows the view: it applies granted and superseding claims,
// claims the shares that this daemon should own, and requests the consents
// that its claims wait for.
func (w *Owner) sharesDuty(ctx context.Context, turn duty.Heartbeat) error {
	for duty.SleepOrWake(ctx, sharesPollInterval, w.wake) {
		turn()
		w.applyView(0)
		view := w.o.State.View()
		joined := w.joinedDaemons(view)
		w.advanceClaims(joined)
		w.claimWantedShares(view, joined)
		w.requestConsents(joined)
	}
	return nil
}

// advanceClaims makes claims effective that wait for nothing more, and logs
// leases that began or lapsed.
func (w *Owner) advanceClaims(joined daemonIndex) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for share, state := range w.shares {
		effective := state.Effective
		state = w.protocol.Advance(state, joined.ended, now)
		w.shares[share] = state
		if state.Effective && !effective {
			w.metrics.effectiveClaims.Inc()
		}
		_, ok := w.protocol.Lease(state, now)
		if ok == w.leased[share] {
			continue
		}
		if ok {
			w.leased[share] = true
			w.o.Events.Log(events.ShareLeaseStarted, "share", share.String(), "epoch", state.Tenure.Epoch)
			continue
		}
		delete(w.leased, share)
		if !state.Superseded {
			w.metrics.lapsedLeases.Inc()
		}
		w.o.Events.Log(events.ShareLeaseEnded, "share", share.String(), "epoch", state.Tenure.Epoch, "superseded", state.Superseded)
	}
}

// claimWantedShares claims the shares that this daemon should own and that
// have no live owner, and those that their owners offered.
func (w *Owner) claimWantedShares(view roles.View, joined daemonIndex) {
	now := w.o.Now()
	wanted := maps.Clone(w.plan(view, joined).wanted)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving || !w.joined || now.Sub(w.startedAt) < claimStartDelay {
		return
	}
	for share, at := range w.offeredAt {
		if now.Sub(at) > moveDelay {
			delete(w.offeredAt, share)
			continue
		}
		wanted[share] = true
	}
	w.claimLocked(view, joined, wanted, false)
}

// assignments lists all shares of the cell with their live owners. A restarted
// daemon still counts as the owner of the shares that its earlier incarnation
// claimed.
func (w *Owner) assignments(view roles.View, live []roles.Member) []ownership.Assignment {
	regions := w.shareRegions()
	owners := make(map[string]bool)
	for _, m := range live {
		if !m.Leaving {
			owners[m.Daemon.Name] = true
		}
	}
	placements := make([]ownership.Assignment, 0, len(regions))
	for share, region := range regions {
		p := ownership.Assignment{Share: share, Region: region}
		if e, ok := view.Share(share); ok && owners[e.Name] && !e.Released {
			p.Owner = e.Name
		}
		placements = append(placements, p)
	}
	return placements
}

// shareRegions lists the shares of the cell with the regions of their VMs.
func (w *Owner) shareRegions() map[cluster.Share]string {
	shares := make(map[cluster.Share]string)
	for i := range cluster.KeyShareCount {
		shares[cluster.Share{Kind: cluster.ShareKey, Name: strconv.Itoa(i)}] = ""
	}
	for _, vm := range w.VMs() {
		switch vm.Role {
		case cluster.RoleWorker:
			shares[cluster.RackShare(vm)] = vm.Location.Region
		case cluster.RoleBackend:
			shares[cluster.BackendShare(vm)] = vm.Location.Region
		}
	}
	return shares
}

// candidates lists the daemons that shares may be assigned to: those that own
// shares, those that reached their stable uptime, and those that were live
// when this daemon started. If there is none of these, it lists all live
// daemons.
func (w *Owner) candidates(live []roles.Member, joined daemonIndex, placements []ownership.Assignment) []ownership.Candidate {
	owns := make(map[string]bool)
	for _, p := range placements {
		owns[p.Owner] = true
	}
	now := w.o.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	var settled, all []ownership.Candidate
	for _, m := range live {
		d, ok := joined.byName[m.Daemon.Name]
		if !ok || m.Leaving {
			continue
		}
		c := ownership.Candidate{Name: d.Name, Location: d.Location}
		all = append(all, c)
		if owns[d.Name] || w.stableLocked(d.Name, now) {
			settled = append(settled, c)
		}
	}
	if len(settled) == 0 {
		return all
	}
	return settled
}

// stableLocked reports whether a daemon has reached its stable uptime, or was
// first heard within coldStartWindow of this daemon's start. The caller holds
// w.mu.
func (w *Owner) stableLocked(name string, now time.Time) bool {
	if name == w.o.Self.Name {
		return true
	}
	e, ok := w.detector.Get(name)
	return ok && (now.Sub(e.AliveSince) >= stableUptime || e.AliveSince.Sub(w.startedAt) < coldStartWindow)
}

// requestConsents asks the witnesses of the tenures that this daemon's claims
// wait for to consent, and the holders of the preceding tenures to stop.
func (w *Owner) requestConsents(joined daemonIndex) {
	consents := make(map[string][]shareEpoch)
	stops := make(map[string][]shareEpoch)
	w.mu.Lock()
	for share, state := range w.shares {
		if state.Effective || state.Tenure.Epoch == 0 || state.Superseded {
			continue
		}
		at := shareEpoch{share, state.Tenure.Epoch}
		for _, t := range state.Prior {
			for _, witness := range t.Witnesses {
				if !slices.Contains(state.Consents, witness) && !contains(consents[witness], at) {
					consents[witness] = append(consents[witness], at)
				}
			}
		}
		if n := len(state.Prior); n > 0 {
			holder := state.Prior[n-1].Holder
			stops[holder] = append(stops[holder], at)
		}
	}
	w.mu.Unlock()
	for incarnation, shares := range consents {
		w.request(joined, methodConsent, incarnation, shares, w.requestConsent)
	}
	for incarnation, shares := range stops {
		w.request(joined, methodStop, incarnation, shares, w.requestStop)
	}
}

func contains(shares []shareEpoch, s shareEpoch) bool { return slices.Contains(shares, s) }

// requestKey identifies a kind of request to one incarnation. Only one such
// request is in flight at a time.
type requestKey struct{ method, incarnation string }

type requestFunc func(ctx context.Context, daemon string, r sharesRequest) error

// request sends a request in the background to an incarnation that has not
// ended, unless one of the same kind is in flight.
func (w *Owner) request(joined daemonIndex, method, incarnation string, shares []shareEpoch, f requestFunc) {
	d, ok := joined.byIncarnation[incarnation]
	key := requestKey{method, incarnation}
	w.mu.Lock()
	busy := w.inFlight[key]
	if ok && !busy {
		w.inFlight[key] = true
	}
	w.mu.Unlock()
	if !ok || busy {
		return
	}
	w.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := f(ctx, d.Name, sharesRequest{To: incarnation, From: w.o.Self.Incarnation, Shares: shares})
		if err == nil {
			w.wakeShares()
		}
		duty.Sleep(ctx, requestPauseAfter(err))
		w.mu.Lock()
		delete(w.inFlight, key)
		w.mu.Unlock()
		if err == nil {
			w.wakeShares()
		}
	})
}

// requestPauseAfter returns the pause before the next request of the same kind
// to the same incarnation. It is never zero: a request that this daemon
// answers itself takes no time, so a refused one would be repeated in a busy
// loop.
func requestPauseAfter(err error) time.Duration {
	if err != nil {
		return evidenceCheckInterval
	}
	return requestPause
}

func (w *Owner) requestConsent(ctx context.Context, daemon string, r sharesRequest) error {
	var answer sharesResponse
	if err := w.o.Peers.Call(ctx, daemon, methodConsent, r, &answer); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, yes := range answer.Yes {
		if yes && i < len(r.Shares) {
			s := r.Shares[i]
			w.shares[s.Share] = w.protocol.ApplyConsent(w.shares[s.Share], r.To, s.Epoch)
		}
	}
	return nil
}

func (w *Owner) requestStop(ctx context.Context, daemon string, r sharesRequest) error {
	var answer stopResponse
	if err := w.o.Peers.Call(ctx, daemon, methodStop, r, &answer); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for i, stop := range answer.Stops {
		if i < len(r.Shares) && stop.Epoch == r.Shares[i].Epoch {
			share := r.Shares[i].Share
			w.shares[share] = w.protocol.ApplyStop(w.shares[share], stop, now)
		}
	}
	return nil
}
