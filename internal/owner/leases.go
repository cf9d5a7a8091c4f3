package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/ownership"
)

func compareShares(a, b cluster.Share) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Lease implements roles.Owners.
func (w *Owner) Lease(share cluster.Share) (roles.Lease, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.useLeaseLocked(share, w.now())
}

// LeaseUntil implements roles.Owners.
func (w *Owner) LeaseUntil(share cluster.Share, limit time.Time) (roles.Lease, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lease, ok := w.useLeaseLocked(share, w.now())
	if !ok {
		return roles.Lease{}, false
	}
	if limit.Before(lease.Until) {
		lease.Until = limit
	}
	w.shares[share] = w.protocol.RecordDeferredUse(w.shares[share], w.instant(lease.Until))
	return lease, true
}

// useLeaseLocked returns this daemon's lease on a share and records that a lease
// with that end was handed out. The caller holds w.mu.
func (w *Owner) useLeaseLocked(share cluster.Share, now ownership.Instant) (roles.Lease, bool) {
	state, ok := w.shares[share]
	if !ok {
		return roles.Lease{}, false
	}
	if !state.Effective && len(state.Prior) == 0 {
		state = w.protocol.Advance(state, noneEnded, now)
	}
	until, ok := w.protocol.Lease(state, now)
	ok = ok && !w.ending
	if ok {
		state = w.protocol.RecordUse(state, until)
	}
	w.shares[share] = state
	if !ok {
		return roles.Lease{}, false
	}
	return roles.Lease{
		Share: share, Epoch: state.FirstEpoch, ClaimEpoch: state.Tenure.Epoch, EffectiveSince: w.time(state.EffectiveSince), Until: w.time(until),
	}, true
}

// noneEnded is the answer, for every daemon, that its end is not recorded.
func noneEnded(string) bool { return false }

// Leases implements roles.Owners.
func (w *Owner) Leases() []roles.Lease {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	var leases []roles.Lease
	for share := range w.shares {
		if lease, ok := w.useLeaseLocked(share, now); ok {
			leases = append(leases, lease)
		}
	}
	slices.SortFunc(leases, func(a, b roles.Lease) int { return compareShares(a.Share, b.Share) })
	return leases
}

// Owner implements roles.Owners. A share that was released, or whose holder's
// process has ended, has no owner.
func (w *Owner) Owner(share cluster.Share) (cluster.Daemon, bool) {
	view := w.o.State.View()
	e, ok := view.Share(share)
	if !ok || e.Released {
		return cluster.Daemon{}, false
	}
	for _, d := range view.Daemons() {
		if d.Incarnation == e.Incarnation {
			return d, true
		}
	}
	return cluster.Daemon{}, false
}
