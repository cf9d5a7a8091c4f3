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

// observe takes a read of the log for evidence. The log calls it.
func (w *Owner) observe(startedAt time.Time, _ uint64) {
	w.observeAll(w.instant(startedAt))
	w.poke()
}

// observeAll applies the view to every part. A dated of zero is no evidence.
func (w *Owner) observeAll(dated ownership.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	view := w.o.State.View()
	now := w.now()
	for share, part := range w.parts {
		if part.Tenure.Epoch != 0 || part.Pending.Epoch != 0 {
			w.parts[share] = w.protocol.ApplyRead(part, w.o.Self.Incarnation, entry(view, share), dated, now)
		}
	}
}

// sharesDuty follows the view: it sees claims granted and superseded, claims
// what this daemon should own, and asks for what a claim waits for.
func (w *Owner) sharesDuty(ctx context.Context, turn duty.Turn) error {
	for duty.SleepOr(ctx, sharesInterval, w.wake) {
		turn()
		w.observeAll(0)
		view := w.o.State.View()
		joined := w.daemonsOf(view)
		w.progress(joined)
		w.claimDue(view, joined)
		w.askConsents(joined)
	}
	return nil
}

// progress makes claims effective and logs what begins and ends.
func (w *Owner) progress(joined daemons) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for share, part := range w.parts {
		effective := part.Effective
		part = w.protocol.Advance(part, joined.ended, now)
		w.parts[share] = part
		if part.Effective && !effective {
			w.metrics.granted.Inc()
		}
		_, ok := w.protocol.Lease(part, now)
		if ok == w.acting[share] {
			continue
		}
		if ok {
			w.acting[share] = true
			w.o.Events.Log(events.ShareLeaseStarted, "share", share.String(), "epoch", part.Tenure.Epoch)
			continue
		}
		delete(w.acting, share)
		if !part.Superseded {
			w.metrics.lapses.Inc()
		}
		w.o.Events.Log(events.ShareLeaseEnded, "share", share.String(), "epoch", part.Tenure.Epoch, "superseded", part.Superseded)
	}
}

// claimDue claims the shares that this daemon should own and nobody alive
// does, and those that their owners offered.
func (w *Owner) claimDue(view roles.View, joined daemons) {
	now := w.o.Now()
	wanted := maps.Clone(w.plan(view, joined).wanted)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving || !w.joined || now.Sub(w.origin) < startGrace {
		return
	}
	for share, at := range w.offered {
		if now.Sub(at) > settleTime {
			delete(w.offered, share)
			continue
		}
		wanted[share] = true
	}
	w.claimLocked(view, joined, wanted, false)
}

// placements lists all shares of the cell with their living owners, and their
// entries by share. A daemon that was started anew still counts as the owner.
func (w *Owner) placements(view roles.View, live []roles.Member) []ownership.Assignment {
	regions := w.shares()
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

// shares lists the shares of the cell with the regions of their VMs.
func (w *Owner) shares() map[cluster.Share]string {
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

// candidates lists the daemons that shares are planned for: those that own
// some, those that have been alive for a while, and those that were there
// when this one started. If there is none of these, all that live are.
func (w *Owner) candidates(live []roles.Member, joined daemons, placements []ownership.Assignment) []ownership.Candidate {
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

func (w *Owner) stableLocked(name string, now time.Time) bool {
	if name == w.o.Self.Name {
		return true
	}
	e, ok := w.table.Get(name)
	return ok && (now.Sub(e.AliveSince) >= stableAfter || e.AliveSince.Sub(w.origin) < startTogether)
}

// askConsents asks the witnesses and the holders of the tenures that this
// daemon's claims wait for.
func (w *Owner) askConsents(joined daemons) {
	consents := make(map[string][]shareEpoch)
	stops := make(map[string][]shareEpoch)
	w.mu.Lock()
	for share, part := range w.parts {
		if part.Effective || part.Tenure.Epoch == 0 || part.Superseded {
			continue
		}
		at := shareEpoch{share, part.Tenure.Epoch}
		for _, t := range part.Prior {
			for _, witness := range t.Witnesses {
				if !slices.Contains(part.Consents, witness) && !contains(consents[witness], at) {
					consents[witness] = append(consents[witness], at)
				}
			}
		}
		if n := len(part.Prior); n > 0 {
			holder := part.Prior[n-1].Holder
			stops[holder] = append(stops[holder], at)
		}
	}
	w.mu.Unlock()
	for incarnation, shares := range consents {
		w.ask(joined, methodConsent, incarnation, shares, w.askConsent)
	}
	for incarnation, shares := range stops {
		w.ask(joined, methodStop, incarnation, shares, w.askStop)
	}
}

func contains(shares []shareEpoch, s shareEpoch) bool { return slices.Contains(shares, s) }

// askKey names a question to one incarnation; the next is put only when the
// last has been answered or given up.
type askKey struct{ method, incarnation string }

type askFunc func(ctx context.Context, daemon string, r sharesRequest) error

// ask puts a question to an incarnation that has not ended.
func (w *Owner) ask(joined daemons, method, incarnation string, shares []shareEpoch, f askFunc) {
	d, ok := joined.byIncarnation[incarnation]
	key := askKey{method, incarnation}
	w.mu.Lock()
	busy := w.asking[key]
	if ok && !busy {
		w.asking[key] = true
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
			w.poke()
		}
		duty.Sleep(ctx, pauseAfter(err))
		w.mu.Lock()
		delete(w.asking, key)
		w.mu.Unlock()
		if err == nil {
			w.poke()
		}
	})
}

// pauseAfter is how long the next question to an incarnation waits. It is never
// zero: a question that this daemon answers itself takes no time, and a refusal
// would be asked for again at once, for ever.
func pauseAfter(err error) time.Duration {
	if err != nil {
		return evidenceInterval
	}
	return askPause
}

func (w *Owner) askConsent(ctx context.Context, daemon string, r sharesRequest) error {
	var answer sharesAnswer
	if err := w.o.Peers.Call(ctx, daemon, methodConsent, r, &answer); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, yes := range answer.Yes {
		if yes && i < len(r.Shares) {
			s := r.Shares[i]
			w.parts[s.Share] = w.protocol.ApplyConsent(w.parts[s.Share], r.To, s.Epoch)
		}
	}
	return nil
}

func (w *Owner) askStop(ctx context.Context, daemon string, r sharesRequest) error {
	var answer stopAnswer
	if err := w.o.Peers.Call(ctx, daemon, methodStop, r, &answer); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for i, stop := range answer.Stops {
		if i < len(r.Shares) && stop.Epoch == r.Shares[i].Epoch {
			share := r.Shares[i].Share
			w.parts[share] = w.protocol.ApplyStop(w.parts[share], stop, now)
		}
	}
	return nil
}
